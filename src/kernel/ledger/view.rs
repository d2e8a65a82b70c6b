//! What is known of an endpoint's memory from its reports and answers, oldest to youngest.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{AdapterKey, Mark};
use crate::{clock::Time, endpoint::Report, names::Model};

/// Superseded incarnations that are remembered.
const PAST_CAPACITY: usize = 64;

/// What a report was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStatus {
    /// It shows the youngest known state.
    Fresh,
    /// It shows that the endpoint restarted.
    Restarted,
    /// It is older than what is known.
    Stale,
    /// It may show a restart or a time before the last answer.
    Uncertain,
}

/// The endpoint's memory as far as it is known.
///
/// Incarnations have no order of their own. One that was seen before another is superseded for
/// good. An unknown one counts as a restart where a report of the known one was seen; where the
/// known one comes from an answer or from the record, a lagging report could show a time before
/// it, so that it counts only after the order life.
#[derive(Clone, Debug, Default)]
pub struct View {
    floor: Mark,
    residents: Option<BTreeMap<Model, u64>>,
    adapters: BTreeMap<AdapterKey, u64>,
    open: Vec<String>,
    past: VecDeque<u64>,
    doubt: Option<(u64, Time)>,
}

impl View {
    /// Creates the view of a steward that knows the record only.
    pub fn inherit(floor: Mark) -> Self {
        Self { floor, ..Self::default() }
    }

    /// Returns the youngest known state.
    pub fn floor(&self) -> Mark {
        self.floor
    }

    /// Returns the resident models with their bytes, or `None` while they are unknown.
    pub fn residents(&self) -> Option<&BTreeMap<Model, u64>> {
        if self.doubt.is_some() { None } else { self.residents.as_ref() }
    }

    /// Returns whether a model is known to be resident.
    pub fn has(&self, model: &Model) -> bool {
        self.residents().is_some_and(|residents| residents.contains_key(model))
    }

    /// Returns the adapters that the last report showed, with their bytes.
    pub fn adapters(&self) -> &BTreeMap<AdapterKey, u64> {
        &self.adapters
    }

    /// Returns whether the last report showed an adapter.
    pub fn has_adapter(&self, key: &AdapterKey) -> bool {
        self.adapters.contains_key(key)
    }

    /// Returns whether the last report showed an order in progress.
    pub fn runs(&self, order: &str) -> bool {
        self.open.iter().any(|open| open == order)
    }

    /// Returns whether a report covers a state, or the endpoint restarted since.
    pub fn shows(&self, mark: Mark) -> bool {
        self.is_past(mark.incarnation) || (self.is_current() && self.floor.covers(mark))
    }

    /// Returns whether a report of the known incarnation was seen.
    pub fn is_current(&self) -> bool {
        self.residents().is_some()
    }

    /// Returns whether an incarnation is known to be over.
    pub fn is_past(&self, incarnation: u64) -> bool {
        self.past.contains(&incarnation)
    }

    /// Takes in the state after an order, as the endpoint's answer states it.
    ///
    /// A state of the known incarnation changes nothing: lagging reports stay of use, and what the
    /// order did counts until one covers the state.
    pub fn answered(&mut self, mark: Mark) {
        if mark.incarnation == self.floor.incarnation || self.is_past(mark.incarnation) {
            return;
        }
        self.supersede(mark);
        self.residents = None;
        self.adapters.clear();
    }

    /// Takes in a report.
    pub fn take(&mut self, report: &Report, life: Duration, now: Time) -> ReportStatus {
        let mark = Mark { incarnation: report.incarnation, sequence: report.sequence };
        if self.is_past(mark.incarnation) {
            return ReportStatus::Stale;
        }
        if mark.incarnation == self.floor.incarnation {
            return self.take_known(mark, report);
        }
        if self.floor.incarnation != 0 && !self.seen() && !self.is_settled(mark, life, now) {
            return ReportStatus::Uncertain;
        }
        let first = self.floor.incarnation == 0;
        self.supersede(mark);
        self.accept(report);
        if first { ReportStatus::Fresh } else { ReportStatus::Restarted }
    }

    fn take_known(&mut self, mark: Mark, report: &Report) -> ReportStatus {
        if mark.sequence < self.floor.sequence {
            return ReportStatus::Stale;
        }
        if let Some((doubted, _)) = self.doubt.take() {
            self.bury(doubted);
        }
        self.floor = mark;
        self.accept(report);
        ReportStatus::Fresh
    }

    fn accept(&mut self, report: &Report) {
        let models = report.residents.iter().filter(|resident| resident.adapter.is_none());
        self.residents = Some(models.map(|r| (r.model.clone(), r.bytes)).collect());
        let adapters = report.residents.iter().filter_map(|resident| {
            let key = (resident.model.clone(), resident.adapter.clone()?);
            Some((key, resident.bytes))
        });
        self.adapters = adapters.collect();
        self.open = report.open.clone();
        self.doubt = None;
    }

    /// Returns whether a report of the known incarnation was ever seen.
    fn seen(&self) -> bool {
        self.residents.is_some()
    }

    fn is_settled(&mut self, mark: Mark, life: Duration, now: Time) -> bool {
        match self.doubt {
            Some((incarnation, since)) if incarnation == mark.incarnation => {
                now.since(since) >= life
            }
            _ => {
                self.doubt = Some((mark.incarnation, now));
                false
            }
        }
    }

    fn supersede(&mut self, mark: Mark) {
        self.bury(self.floor.incarnation);
        self.floor = mark;
        self.doubt = None;
    }

    fn bury(&mut self, incarnation: u64) {
        if incarnation == 0 {
            return;
        }
        if self.past.len() == PAST_CAPACITY {
            self.past.pop_front();
        }
        self.past.push_back(incarnation);
    }
}
