//! Tests of the usage reports, with a store that takes conditional writes and a platform that checks
//! what it gets.

mod clock;
mod counts;
mod failures;
mod model;
mod play;
mod scaling;
