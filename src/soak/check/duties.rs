//! Promises about the calls to the platform API.

use std::{collections::BTreeMap, time::Duration};

use super::{Evidence, Violation};
use crate::{
    clock::{Time, wall_millis},
    soak::process::DUTY_WINDOW,
    standin::{
        duties::{DutyCall, DutyContent, violations},
        worker::{EVENT_INTERVAL, Run},
    },
};

/// Time after a gateway resumed from a pause in which its calls do not count: they may have been on the
/// way when it was paused.
const RESUME_TIME: Duration = Duration::from_millis(300);

/// Time after the end of a window at which its report is due.
const DUE: Duration = Duration::from_secs(2 * DUTY_WINDOW.as_secs());

/// Time before a window in which nothing must have been disturbed for its counts to be exact: a leader
/// is found and links are open by then. With the window and the time after it, this fits into the time
/// without faults at the end of a soak.
const QUIET_BEFORE: Duration = Duration::from_millis(2_500);

/// Time after a window in which nothing must have been disturbed. A report is normally accepted within
/// half a second.
const QUIET_AFTER: Duration = Duration::from_millis(1_500);

/// Fraction by which a report may differ from the truth.
const TOLERANCE: f64 = 0.05;

/// Runs by which a report may differ beyond that: those that begin as a window ends.
const BOUNDARY_RUNS: f64 = 3.0;

/// Returns when a run began, as reports count it: a stream begins with its first event.
fn begun_at(run: &Run) -> Time {
    run.at + if run.is_stream { EVENT_INTERVAL } else { Duration::ZERO }
}

impl Evidence<'_> {
    /// Returns whether a call arrived just after its sender resumed from a pause.
    fn is_resumed(&self, call: &DutyCall) -> bool {
        let gateway = self.memory.iter().position(|(name, _)| *name == call.holder);
        let own = self.disturbances.iter().filter(|d| d.gateway == gateway && gateway.is_some());
        own.filter(|d| !d.is_store).any(|d| call.at >= d.to && call.at.since(d.to) < RESUME_TIME)
    }

    /// One holder at a time calls the platform API, and no window has two reports.
    pub(super) fn check_duty_holders(&self, all: &mut Vec<Violation>) {
        let calls: Vec<DutyCall> =
            self.duty_calls.iter().filter(|call| !self.is_resumed(call)).cloned().collect();
        let promise = "one holder of a duty, one report of a window";
        all.extend(violations(&calls).into_iter().map(|seen| Violation { promise, seen }));
    }

    /// Windows around which nothing was disturbed are reported in time, with what endpoints ran.
    pub(super) fn check_usage(&self, all: &mut Vec<Violation>) {
        let (now, wall) = (Time::now(), wall_millis());
        let window_ms = DUTY_WINDOW.as_millis() as u64;
        let begin_of = |window: u64| {
            let age = Duration::from_millis(wall.saturating_sub(window * window_ms));
            now - age
        };
        let window_of = |at: Time| (wall - now.since(at).as_millis() as u64) / window_ms;
        let mut truth: BTreeMap<u64, u64> = BTreeMap::new();
        for run in &self.runs {
            *truth.entry(window_of(begun_at(run))).or_default() += 1;
        }
        for (window, ran) in &truth {
            let (from, to) = (begin_of(*window), begin_of(*window) + DUTY_WINDOW);
            if to + QUIET_AFTER > now || !self.is_quiet(from - QUIET_BEFORE, to + QUIET_AFTER) {
                continue;
            }
            let reports = self.duty_calls.iter().filter_map(|call| match &call.content {
                DutyContent::Usage { window_id, counts } if window_id == window => {
                    Some((call.at, counts.values().sum::<u64>()))
                }
                _ => None,
            });
            let first = reports.min_by_key(|(at, _)| *at);
            let allowed = *ran as f64 * TOLERANCE + BOUNDARY_RUNS;
            let is_right = first.is_some_and(|(at, count)| {
                at <= to + DUE && count.abs_diff(*ran) as f64 <= allowed
            });
            if !is_right {
                let seen = format!("window {window}: {first:?}, {ran} runs");
                all.push(Violation { promise: "usage is reported in time and right", seen });
            }
        }
    }

    /// Returns whether neither gateways, the store, endpoints nor the platform API were disturbed
    /// between two times.
    fn is_quiet(&self, from: Time, to: Time) -> bool {
        let is_inside = |at: &Time| *at >= from && *at <= to;
        let is_calm = !self.disturbances.iter().any(|d| d.from <= to && d.to >= from)
            && !self.worker_faults.iter().any(is_inside)
            && !self.ends.iter().any(|end| is_inside(&end.at))
            && !self.cuts.iter().any(|cut| cut.from <= to && cut.to >= from);
        is_calm && !self.api_faults.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }
}
