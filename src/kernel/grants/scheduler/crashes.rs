//! Crashes of endpoints, and the requests that are refused because they cause crashes.
//!
//! A connection that breaks is not yet a crash: an endpoint may reset single connections. The runs
//! that broke at an endpoint count once the endpoint cannot be reached, has left the table or is silent
//! for a while, and no longer once it responds to a later request.

use std::{sync::Arc, time::Duration};

use super::Scheduler;
use crate::{
    clock::Time,
    kernel::{
        grants::{
            CrashRecord, Endpoint, GrantRequest, Incarnation, Mode, Outcome,
            crash_causes::{Cause, CrashCheck, possible_causes},
            run::ActiveRun,
        },
        suspect::CrashId,
    },
    names::EndpointId,
};

/// Time after which runs that broke no longer count if their endpoint leaves the table.
const BREAK_TTL: Duration = Duration::from_secs(10);

/// Time without a response after which runs that broke count as ended by a crash.
const BREAK_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether an endpoint has crashed, as far as its connections show.
#[derive(Clone, Debug, Default)]
pub(in crate::kernel::grants) enum CrashState {
    /// No run has broken since the endpoint last responded.
    #[default]
    Sound,
    /// Runs with these causes broke, and it is not known why.
    Broken {
        /// When the first of them broke.
        since: Time,
        /// Possible causes of each run.
        runs: Vec<Vec<Cause>>,
    },
    /// The endpoint has crashed.
    Crashed,
}

impl CrashState {
    /// Returns whether nothing suggests that the endpoint has crashed.
    pub fn is_sound(&self) -> bool {
        matches!(self, Self::Sound)
    }
}

/// Returns the id of the crash that ends this incarnation of an endpoint.
fn crash_id(endpoint: &Endpoint) -> CrashId {
    let Incarnation(incarnation) = endpoint.info.incarnation;
    CrashId::of(&EndpointId::from(&*endpoint.info.id), incarnation, false)
}

impl Scheduler {
    /// Returns whether a request may run, by the causes of crashes.
    pub(super) fn check_crashes(&self, request: &GrantRequest, now: Time) -> CrashCheck {
        // Only one scheduler tries a refused cause again, or each would crash an endpoint.
        let leads = matches!(self.mode, Mode::Leading { .. });
        self.crash_causes.check(&possible_causes(request), leads, now)
    }

    /// Records what the end of a run shows about the causes of crashes.
    pub(super) fn record_crash_evidence(
        &mut self,
        id: &str,
        run: &ActiveRun,
        outcome: Outcome,
        now: Time,
    ) {
        let causes = possible_causes(&run.request);
        // The trial of a run that broke ends when it is known whether the endpoint has crashed.
        if outcome != Outcome::Broke {
            self.crash_causes.record_end(&causes);
        }
        match outcome {
            Outcome::Whole => {
                self.record_response(id, run.granted_at);
                self.crash_causes.record_complete(&causes, now);
            }
            Outcome::Failed | Outcome::Full => self.record_response(id, run.granted_at),
            Outcome::Broke => self.record_broken_run(id, causes, now),
            Outcome::Unreached => self.confirm_crash(id, now),
            // A misplaced request may have reached another endpoint at the same address.
            Outcome::Misplaced
            | Outcome::Silent
            | Outcome::Leaving
            | Outcome::CutOff
            | Outcome::Left => {}
        }
    }

    /// Records that a run with these causes broke at an endpoint.
    fn record_broken_run(&mut self, id: &str, causes: Vec<Cause>, now: Time) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        // An endpoint that leaves ends its runs itself.
        if endpoint.is_leaving() {
            return;
        }
        match &mut endpoint.crash_state {
            CrashState::Sound => {
                endpoint.crash_state = CrashState::Broken { since: now, runs: vec![causes] };
                endpoint.order_state.require_report();
                let id = endpoint.info.id.clone();
                self.broken.push_back((now, id));
            }
            CrashState::Broken { runs, .. } => runs.push(causes),
            CrashState::Crashed => {
                let crash = crash_id(endpoint);
                self.crash_causes.record_crash(crash, &[causes], now);
            }
        }
    }

    /// Records that an endpoint cannot be reached, so that the runs which broke there were ended by
    /// its crash.
    pub fn handle_unreachable(&mut self, id: &str, now: Time) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.record_unreachable(now);
        self.confirm_crash(id, now);
    }

    /// Counts the runs that broke at an endpoint as ended by its crash.
    fn confirm_crash(&mut self, id: &str, now: Time) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let CrashState::Broken { runs, .. } = &mut endpoint.crash_state else { return };
        let runs = std::mem::take(runs);
        endpoint.crash_state = CrashState::Crashed;
        let crash = crash_id(endpoint);
        self.crash_causes.record_crash(crash, &runs, now);
    }

    /// Counts the runs that broke at endpoints which have not responded since, for [`BREAK_TIMEOUT`].
    pub(super) fn confirm_silent_crashes(&mut self, now: Time) {
        let is_over = |(since, _): &mut (Time, Arc<str>)| now.since(*since) >= BREAK_TIMEOUT;
        while let Some((broken_at, id)) = self.broken.pop_front_if(is_over) {
            let endpoint = self.endpoints.get(&id);
            let is_silent = endpoint.is_some_and(|endpoint| {
                matches!(endpoint.crash_state, CrashState::Broken { since, .. } if since == broken_at)
            });
            if is_silent {
                self.confirm_crash(&id, now);
            }
        }
    }

    /// Records that an endpoint responded to a request that was sent at `sent_at`, so that runs which
    /// broke before then were not ended by a crash.
    pub(super) fn record_response(&mut self, id: &str, sent_at: Time) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        match &mut endpoint.crash_state {
            CrashState::Broken { since, runs } if sent_at >= *since => {
                let runs = std::mem::take(runs);
                endpoint.crash_state = CrashState::Sound;
                runs.iter().for_each(|causes| self.crash_causes.record_end(causes));
            }
            CrashState::Crashed => endpoint.crash_state = CrashState::Sound,
            CrashState::Sound | CrashState::Broken { .. } => {}
        }
    }

    /// Records the crash of an endpoint that has left the table, if runs broke there shortly before.
    pub(super) fn record_loss(&mut self, endpoint: Endpoint, now: Time) {
        let crash = crash_id(&endpoint);
        if let CrashState::Broken { since, runs } = endpoint.crash_state
            && now.since(since) < BREAK_TTL
        {
            self.crash_causes.record_crash(crash, &runs, now);
        }
    }

    /// Returns the version of the causes that are refused.
    pub fn crash_version(&self) -> u64 {
        self.crash_causes.version()
    }

    /// Returns the causes that are refused.
    pub fn refused_causes(&self) -> Vec<CrashRecord> {
        self.crash_causes.refused()
    }

    /// Returns the possible causes that a new leader must know.
    pub fn crash_handover(&self, now: Time) -> Vec<CrashRecord> {
        self.crash_causes.handover(now)
    }

    /// Adds the possible causes that another scheduler knows.
    pub fn merge_crashes(&mut self, records: Vec<CrashRecord>, now: Time) {
        self.crash_causes.merge(records, now);
    }

    /// Replaces the causes that are refused by those of the leader.
    pub fn replace_refused_causes(&mut self, records: Vec<CrashRecord>, now: Time) {
        self.crash_causes.replace_refused(records, now);
    }
}
