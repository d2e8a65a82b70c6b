//! Shares of the teams' rates and bursts at the instances, and loans between the shares.
//!
//! Admission charges a request to its team's share at the entry instance, so that no other instance
//! must be asked while the request waits. All teams' rates and bursts are divided into the same
//! number of parts. A table at the platform's service, which changes only by compare-and-swap, says
//! how many parts each instance owns. The owned parts never exceed the total, so all instances
//! together admit no more than a team's rate and burst. Where demand is uneven, instances lend
//! each other parts for a short time.

mod lending;
mod table;
mod view;

pub use self::{
    lending::{ChargeOutcome, LOAN_TTL, MAX_CLOCK_DRIFT, TOTAL_PARTS, TeamLimits, TeamShare},
    table::{Owner, ShareRow, ShareTable, Step, TABLE_KEY},
    view::{
        MAX_STALENESS, Membership, RETURN_GRACE, REUSE_DELAY, REVOKE_DELAY, ROW_TTL, ShareTableView,
    },
};
