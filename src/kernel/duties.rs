//! Duties that one instance at a time has towards the platform: usage reports and scaling.
//!
//! Only the leader makes duty calls. Instances count the runs of their requests; the leader merges the
//! counts, fixes the content of each report once, and sends it until it is accepted.

pub mod clock;
pub mod counts;
pub mod demand;
pub mod ledger;
pub mod pace;
pub mod roster;
pub mod scaling;
pub mod usage;
