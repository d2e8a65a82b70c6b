//! What the steward knows of an endpoint's memory from reports and from responses to orders.
//!
//! Reports may arrive late and in any order. The view keeps the latest state and ignores reports
//! of older ones.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{AdapterKey, StateVersion};
use crate::{clock::Time, endpoint::Report, names::Model};

/// Largest number of superseded incarnations that a view remembers.
const MAX_SUPERSEDED: usize = 64;

/// How the state in a report relates to the states that were known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStatus {
    /// The report shows the latest state that is known.
    Fresh,
    /// The report shows that the endpoint restarted.
    Restarted,
    /// The report is older than the latest known state.
    Stale,
    /// The report shows another incarnation, which may be later or earlier than the known one.
    Uncertain,
}

/// The endpoint's memory as far as it is known.
///
/// Incarnation numbers do not tell which incarnation is later. Once another incarnation has
/// followed one, the earlier one is superseded for good. A report of an unknown incarnation shows a
/// restart if a report of the known incarnation was seen before. If the known incarnation comes
/// from a response or from the record, a delayed report may show an earlier incarnation instead.
/// The unknown incarnation then counts as a restart only if it is still reported after the order
/// TTL.
#[derive(Clone, Debug, Default)]
pub struct MemoryView {
    /// The latest known state.
    latest: StateVersion,
    /// Resident models with their bytes in the last report, or `None` before the first one.
    residents: Option<BTreeMap<Model, u64>>,
    /// Resident adapters with their bytes in the last report.
    adapters: BTreeMap<AdapterKey, u64>,
    /// Ids of the orders that the last report showed in progress.
    open_orders: Vec<String>,
    /// Incarnations that another one has followed, the oldest first.
    superseded: VecDeque<u64>,
    /// Incarnation that may be a restart, and when a report first showed it.
    unconfirmed: Option<(u64, Time)>,
}

impl MemoryView {
    /// Creates the view of a steward that knows only the state in the endpoint's record.
    pub fn from_version(latest: StateVersion) -> Self {
        Self { latest, ..Self::default() }
    }

    /// Returns the latest known state.
    pub fn latest(&self) -> StateVersion {
        self.latest
    }

    /// Returns the resident models with their bytes, or `None` while they are unknown.
    pub fn residents(&self) -> Option<&BTreeMap<Model, u64>> {
        if self.unconfirmed.is_some() { None } else { self.residents.as_ref() }
    }

    /// Returns whether the model is known to be resident.
    pub fn has_model(&self, model: &Model) -> bool {
        self.residents().is_some_and(|residents| residents.contains_key(model))
    }

    /// Returns the adapters that the last report showed, with their bytes.
    pub fn adapters(&self) -> &BTreeMap<AdapterKey, u64> {
        &self.adapters
    }

    /// Returns whether the last report showed the adapter as resident.
    pub fn has_adapter(&self, key: &AdapterKey) -> bool {
        self.adapters.contains_key(key)
    }

    /// Returns whether the last report showed the order in progress.
    pub fn has_open_order(&self, order: &str) -> bool {
        self.open_orders.iter().any(|open| open == order)
    }

    /// Returns whether a report showed this state or a later one, or the endpoint restarted since.
    pub fn covers(&self, version: StateVersion) -> bool {
        self.is_superseded(version.incarnation)
            || (self.is_current() && self.latest.covers(version))
    }

    /// Returns whether the endpoint's memory is known: a report of the known incarnation was seen,
    /// and no report since then leaves open whether the endpoint restarted.
    pub fn is_current(&self) -> bool {
        self.residents().is_some()
    }

    /// Returns whether another incarnation of the endpoint is known to have followed this one.
    pub fn is_superseded(&self, incarnation: u64) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// Records the state in the endpoint's response to an order.
    ///
    /// A state of the known incarnation changes nothing: delayed reports remain usable, and the
    /// ledger accounts for the order itself until a report covers the state.
    pub fn record_response(&mut self, version: StateVersion) {
        if version.incarnation == self.latest.incarnation || self.is_superseded(version.incarnation)
        {
            return;
        }
        self.replace_latest(version);
        self.residents = None;
        self.adapters.clear();
    }

    /// Applies a report and returns how the report relates to what was known.
    ///
    /// `order_ttl` is the time for which an unknown incarnation must be reported to count as a
    /// restart when no report of the known incarnation was seen.
    pub fn apply_report(
        &mut self,
        report: &Report,
        order_ttl: Duration,
        now: Time,
    ) -> ReportStatus {
        let version = StateVersion { incarnation: report.incarnation, sequence: report.sequence };
        if self.is_superseded(version.incarnation) {
            return ReportStatus::Stale;
        }
        if version.incarnation == self.latest.incarnation {
            return self.apply_known(version, report);
        }
        if self.latest.incarnation != 0
            && !self.has_report()
            && !self.confirm_restart(version, order_ttl, now)
        {
            return ReportStatus::Uncertain;
        }
        let is_first = self.latest.incarnation == 0;
        self.replace_latest(version);
        self.store_report(report);
        if is_first { ReportStatus::Fresh } else { ReportStatus::Restarted }
    }

    /// Applies a report of the known incarnation, which also ends any doubt about a restart.
    fn apply_known(&mut self, version: StateVersion, report: &Report) -> ReportStatus {
        if version.sequence < self.latest.sequence {
            return ReportStatus::Stale;
        }
        if let Some((incarnation, _)) = self.unconfirmed.take() {
            self.mark_superseded(incarnation);
        }
        self.latest = version;
        self.store_report(report);
        ReportStatus::Fresh
    }

    /// Replaces what is known of the memory with the content of a report.
    fn store_report(&mut self, report: &Report) {
        let models = report.residents.iter().filter(|resident| resident.adapter.is_none());
        self.residents = Some(models.map(|r| (r.model.clone(), r.bytes)).collect());
        let adapters = report.residents.iter().filter_map(|resident| {
            let key = (resident.model.clone(), resident.adapter.clone()?);
            Some((key, resident.bytes))
        });
        self.adapters = adapters.collect();
        self.open_orders = report.open.clone();
        self.unconfirmed = None;
    }

    /// Returns whether a report of the latest known incarnation was applied.
    fn has_report(&self) -> bool {
        self.residents.is_some()
    }

    /// Returns whether the incarnation has been reported for `order_ttl`, and remembers when it was
    /// first reported.
    fn confirm_restart(&mut self, version: StateVersion, order_ttl: Duration, now: Time) -> bool {
        match self.unconfirmed {
            Some((incarnation, since)) if incarnation == version.incarnation => {
                now.since(since) >= order_ttl
            }
            _ => {
                self.unconfirmed = Some((version.incarnation, now));
                false
            }
        }
    }

    /// Makes `version`, a state of another incarnation, the latest known state.
    fn replace_latest(&mut self, version: StateVersion) {
        self.mark_superseded(self.latest.incarnation);
        self.latest = version;
        self.unconfirmed = None;
    }

    /// Remembers that another incarnation followed `incarnation`. If [`MAX_SUPERSEDED`] incarnations
    /// are remembered already, the oldest one is forgotten.
    fn mark_superseded(&mut self, incarnation: u64) {
        if incarnation == 0 {
            return;
        }
        if self.superseded.len() == MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
        self.superseded.push_back(incarnation);
    }
}
