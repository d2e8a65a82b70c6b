//! Tests that run instances, engines, services and the platform as real processes on loopback.

mod util;

mod process {
    mod changes;
    mod cold;
    mod configuration;
    mod cost;
    mod crowd;
    mod cut_off;
    mod duties;
    mod duty_faults;
    mod fetch;
    mod input;
    mod keys;
    mod large;
    mod links;
    mod membership;
    mod memory;
    mod moved_keys;
    mod once;
    mod operators;
    mod path;
    mod placement;
    mod planned_stop;
    mod rate;
    mod returns;
    mod shutdown;
    mod silence;
    mod slow_callers;
    mod soak;
    mod streams;
    mod take_up;
}
