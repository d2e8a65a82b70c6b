//! Escrow of every team's rate and burst over the instances, and loans between them.
//!
//! Each instance owns a part of the whole, recorded in one table that only changes by
//! compare-and-swap. The parts never add up to more than the whole, so the instances admit within
//! every team's rate and burst without asking anybody while a request waits. Loans move parts
//! between two instances for a short period where the demand is uneven.

mod custody;
mod lending;

pub use self::{
    custody::{
        CONFIRM_BOUND, HOLD_OFF, LIST_LAG, Membership, Owner, RETURN_GRACE, STALE_BOUND, ShareRow,
        ShareTable, ShareTableView, Step, TABLE_KEY,
    },
    lending::{ChargeOutcome, DRIFT, LOAN_TTL, TOTAL_PARTS, TeamLimits, TeamShare},
};
