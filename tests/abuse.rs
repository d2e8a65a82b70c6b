//! Tests of a gateway process under clients that misbehave.
//!
//! Each test starts a gateway with lowered limits, applies a fixed load and checks what does not
//! depend on speed: the process lives, its memory and its open descriptors stay within the limits of
//! its settings, and one ordinary request is answered while the load's connections are still open.

mod util;

mod abuse {
    mod bodies;
    mod compare;
    mod connections;
    mod heads;
    mod instances;
    mod load;
    mod steady;
    mod target;
}
