//! Tests of the decision logic in `kernel` under virtual time, and the fault matrix.

mod matrix;

mod kernel {
    mod candidacy;
    mod configuration;
    mod dispatch;
    mod duties;
    mod endpoint_table;
    mod evacuation;
    mod event_splitter;
    mod freshness;
    mod grants;
    mod intake;
    mod leadership;
    mod ledger;
    mod lending;
    mod membership;
    mod once;
    mod overload;
    mod pacing;
    mod placement;
    mod quota;
    mod reach;
    mod record_age;
    mod request_rate;
    mod retry;
    mod routing;
    mod runner;
    mod send_gate;
    mod shutdown;
    mod stewardship;
    mod stopping;
    mod stream;
    mod suspect;
    mod table_digest;
    mod versioned;
    mod warmup;
    mod withdrawal;
}
