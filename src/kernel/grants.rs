//! Grants: decides which endpoint a request is sent to and when, and which models engines load.
//!
//! The leader runs one [`Scheduler`] for the fleet. Every instance also has its own scheduler,
//! which decides for that instance alone while the leader is unreachable. Nothing here does I/O:
//! the scheduler takes events with a timestamp and returns [`Action`]s.

mod adapter;
mod allotment;
mod availability;
mod budget;
mod cache;
mod choice;
mod crash_causes;
mod endpoint;
mod failures;
mod fetch;
mod forecast;
mod heartbeats;
mod holders;
mod holdings;
mod index;
mod order;
mod order_state;
mod orders;
mod origins;
mod pace;
mod pauses;
mod placement;
mod queue;
mod queues;
mod rate;
mod request;
mod request_limit;
mod run;
mod running;
mod scheduler;
mod sizes;

pub use self::{
    allotment::{Allotment, AllotmentTable, Allotments, Subject},
    budget::{RetryBudget, RetryLimits, RetryStep},
    cache::KvCache,
    crash_causes::{Cause, CrashRecord},
    endpoint::{Command, Endpoint, EndpointEntry, EngineReport, Incarnation},
    failures::FailureRates,
    heartbeats::{Heartbeat, HeartbeatRound},
    holdings::Holdings,
    order_state::{Order, OrderId, OrderIds, OrderResult, OrderStep},
    origins::{Decider, Origin, STREAM_TTL, StreamId, StreamOrigins, VersionNeed, VersionStreams},
    pace::{LoadFigures, LoadReport, OutOfRange, SightedLoad},
    pauses::PauseControl,
    placement::{Demand, PlanInput, Swap, plan},
    rate::{RateShare, TokenBucket},
    request::{
        Action, ActiveGrant, EndpointLimit, Grant, GrantKey, GrantRequest, ModelWork, Outcome,
        Reason, Refusal,
    },
    request_limit::RequestLimit,
    scheduler::{
        Mode, ModelBacklog, Observations, RetryUsage, Scheduler, SchedulerLimits, TeamUse,
        UnusedRate,
    },
};
