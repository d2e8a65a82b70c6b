//! The platform API of a soak, with faults of its own.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::process::{ProcessError, free_address, io_error};
use crate::{
    clock::Time,
    standin::duties::{DutyApi, DutyFaults},
};

/// Longest fault, in milliseconds.
const MAX_FAULT_MS: u64 = 7_000;

/// Time without faults between two of them. Windows that are checked must fit in.
const QUIET_TIME: Duration = Duration::from_secs(16);

/// A platform API. Its faults are drawn apart, so that the other faults stay those of their seed.
pub struct PlatformApi {
    /// The API.
    pub server: DutyApi,
    /// Spans in which it had faults.
    pub faults: Vec<(Time, Time)>,
    rng: StdRng,
    begun_at: Time,
}

impl PlatformApi {
    /// Starts the API without faults.
    pub fn start(seed: u64) -> Result<Self, ProcessError> {
        let server = DutyApi::start(free_address()).map_err(io_error("cannot serve the API"))?;
        let (rng, begun_at) = (StdRng::seed_from_u64(seed), Time::now());
        Ok(Self { server, faults: Vec::new(), rng, begun_at })
    }

    /// Begins and ends faults as time passes.
    pub fn disturb(&mut self, now: Time) {
        let ended_at = self.faults.last().map_or(self.begun_at, |(_, to)| *to);
        if now < ended_at {
            return;
        }
        if now.since(ended_at) < QUIET_TIME {
            return self.server.set_faults(DutyFaults::default());
        }
        let length = Duration::from_millis(self.rng.random_range(500..MAX_FAULT_MS));
        let mut faults = DutyFaults::default();
        match self.rng.random_range(0..5) {
            0 => faults.refusing = true,
            1 => faults.silent = true,
            2 => faults.mute = true,
            3 => faults.busy = true,
            _ => faults.delay = Duration::from_millis(self.rng.random_range(50..1_500)),
        }
        self.server.set_faults(faults);
        self.faults.push((now, now + length));
    }
}
