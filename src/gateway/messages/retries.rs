//! Frames about the use of the retry budgets.

use std::time::Duration;

use prost::Message;

use crate::kernel::grants::{RetryStep, RetryUsage};

/// What the sender has used of the retry budgets.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RetriesFrame {
    /// The use by service.
    #[prost(message, repeated, tag = "1")]
    pub usage: Vec<RetryUsageFrame>,
}

/// Use of the retry budget of a service.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RetryUsageFrame {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// What was counted in each step of the window.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<RetryStepFrame>,
}

/// What was counted in a step.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RetryStepFrame {
    /// Time since the step began, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// First attempts of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Retries.
    #[prost(uint32, tag = "3")]
    pub retries: u32,
}

impl From<Vec<RetryUsage>> for RetriesFrame {
    fn from(usage: Vec<RetryUsage>) -> Self {
        let usage = usage.into_iter().map(|usage| RetryUsageFrame {
            service: usage.service.to_string(),
            steps: usage.steps.iter().map(RetryStepFrame::from).collect(),
        });
        Self { usage: usage.collect() }
    }
}

impl From<&RetryStep> for RetryStepFrame {
    fn from(step: &RetryStep) -> Self {
        let age_ms = step.age.as_millis() as u64;
        Self { age_ms, requests: step.requests, retries: step.retries }
    }
}

impl From<RetriesFrame> for Vec<RetryUsage> {
    fn from(frame: RetriesFrame) -> Self {
        let usage = frame.usage.into_iter().map(|usage| RetryUsage {
            service: usage.service.into(),
            steps: usage.steps.into_iter().map(RetryStep::from).collect(),
        });
        usage.collect()
    }
}

impl From<RetryStepFrame> for RetryStep {
    fn from(frame: RetryStepFrame) -> Self {
        let age = Duration::from_millis(frame.age_ms);
        Self { age, requests: frame.requests, retries: frame.retries }
    }
}
