//! Grants: which endpoint a request may be sent to, when, and what engines load for it.
//!
//! The leader runs one [`Scheduler`] for the fleet. Every instance has one of its own as well, which
//! decides for that instance alone while the leader cannot be asked. Nothing here does input or
//! output; the scheduler takes events with a time and returns [`Action`]s.

mod ask;
mod budget;
mod cache;
mod choice;
mod endpoint;
mod failures;
mod index;
mod orders;
mod placement;
mod queue;
mod rate;
mod scheduler;

pub use self::{
    ask::{
        Action, ActiveGrant, Grant, GrantKey, GrantRequest, ModelWork, Outcome, Reason, Refusal,
    },
    budget::{RetryBudget, RetryLimits},
    cache::PromptCache,
    endpoint::{Command, Endpoint, EngineReport, Incarnation, Registration},
    failures::Failures,
    orders::{OrderResult, OrderStep},
    placement::{Demand, PlanInput, Swap, plan},
    rate::{Portion, TokenBucket},
    scheduler::{Limits, Mode, ModelBacklog, Scheduler},
};
