//! Decision logic: every function takes its inputs and the current time and returns what to do next.
//!
//! No module below holds a socket, a clock or a random source of its own, so the same code runs in
//! an instance, in property tests and in benchmarks. The `node` and `gateway` modules carry the
//! decisions out.

pub mod addresses;
pub mod admission;
pub mod candidacy;
pub mod configuration;
pub mod dispatch;
pub mod drain;
pub mod duties;
pub mod endpoint_table;
pub mod evacuation;
pub mod event_splitter;
pub mod freshness;
pub mod grants;
pub mod intake;
pub mod leadership;
pub mod ledger;
pub mod membership;
pub mod once;
pub mod overload;
pub mod pacing;
pub mod placement;
pub mod quota;
pub mod reach;
pub mod record_age;
pub mod registry;
pub mod request_rate;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod send_gate;
pub mod shares;
pub mod stewardship;
pub mod stopping;
pub mod stream;
pub mod suspect;
pub mod table_digest;
pub mod versioned;
pub mod warmup;
