//! Frames about usage counts and true time.

use std::collections::BTreeMap;

use prost::Message;

use crate::kernel::duties::{
    counts::{StartId, StartUsage, TeamCounts, Window, WindowCounts},
    demand::Subject,
    ledger::Ledger,
};

/// Instance to leader: the instance's clock, and counts that it knows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct UsageFrame {
    /// The sender's wall clock, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub wall_ms: u64,
    /// Start of the sender's process.
    #[prost(fixed64, tag = "2")]
    pub sender: u64,
    /// Counts of starts, the sender's own included.
    #[prost(message, repeated, tag = "3")]
    pub starts: Vec<StartFrame>,
}

/// Leader to instance: true time and what is fixed.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct DutiesFrame {
    /// True time, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub true_ms: u64,
    /// First usage window that is not fixed; zero if it is not known.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// The record of the fixed windows, for an instance that keeps a copy.
    #[prost(message, optional, tag = "3")]
    pub ledger: Option<LedgerFrame>,
    /// Counts of the leader and of starts that are not linked, for an instance that keeps a copy.
    #[prost(message, repeated, tag = "4")]
    pub starts: Vec<StartFrame>,
    /// Numbers of engines that were ordered last, for an instance that keeps a copy.
    #[prost(message, repeated, tag = "5")]
    pub orders: Vec<ScaleFrame>,
}

/// Number of engines that was ordered last for a service in a data centre.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ScaleFrame {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Number of engines.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

impl From<(&Subject, u32)> for ScaleFrame {
    fn from((subject, count): (&Subject, u32)) -> Self {
        let (service, data_centre) = (subject.service.to_string(), subject.data_centre.to_string());
        Self { service, data_centre, count }
    }
}

impl From<ScaleFrame> for (Subject, u32) {
    fn from(frame: ScaleFrame) -> Self {
        let (service, data_centre) = (frame.service.into(), frame.data_centre.into());
        (Subject { service, data_centre }, frame.count)
    }
}

/// Counts of one start of a process.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct StartFrame {
    /// The start.
    #[prost(fixed64, tag = "1")]
    pub start: u64,
    /// Window in which it began to count.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Window in which it counts now.
    #[prost(uint64, tag = "3")]
    pub open: u64,
    /// Counts of windows.
    #[prost(message, repeated, tag = "4")]
    pub windows: Vec<WindowFrame>,
}

/// Counts of one window.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WindowFrame {
    /// The window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Runs by team.
    #[prost(btree_map = "string, uint64", tag = "2")]
    pub counts: BTreeMap<String, u64>,
    /// Those of the runs that turned out not to have been run.
    #[prost(btree_map = "string, uint64", tag = "3")]
    pub not_run: BTreeMap<String, u64>,
}

/// The record of the fixed windows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LedgerFrame {
    /// Era of the store in which the record was written.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// First window of all.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// First window that is not fixed.
    #[prost(uint64, tag = "3")]
    pub next: u64,
    /// Reports that may not have been accepted.
    #[prost(message, repeated, tag = "4")]
    pub reports: Vec<WindowFrame>,
}

fn encode_counts(counts: &TeamCounts) -> BTreeMap<String, u64> {
    counts.iter().map(|(team, count)| (team.to_string(), *count)).collect()
}

fn decode_counts(counts: BTreeMap<String, u64>) -> TeamCounts {
    counts.into_iter().map(|(team, count)| (team.into(), count)).collect()
}

impl StartFrame {
    /// Creates the frame of a start's counts in the windows for which `includes` says so.
    pub fn new(usage: &StartUsage, includes: impl Fn(Window) -> bool) -> Self {
        let windows = usage.windows.iter().filter(|(window, _)| includes(**window));
        Self {
            start: usage.start.0,
            since: usage.since,
            open: usage.open,
            windows: windows
                .map(|(window, counts)| WindowFrame {
                    window: *window,
                    counts: encode_counts(&counts.begun),
                    not_run: encode_counts(&counts.not_run),
                })
                .collect(),
        }
    }
}

impl From<StartFrame> for StartUsage {
    fn from(frame: StartFrame) -> Self {
        Self {
            start: StartId(frame.start),
            since: frame.since,
            open: frame.open,
            windows: frame
                .windows
                .into_iter()
                .map(|frame| {
                    let (begun, not_run) = (frame.counts, frame.not_run);
                    let (begun, not_run) = (decode_counts(begun), decode_counts(not_run));
                    (frame.window, WindowCounts { begun, not_run })
                })
                .collect(),
        }
    }
}

impl From<&Ledger> for LedgerFrame {
    fn from(ledger: &Ledger) -> Self {
        Self {
            era: ledger.era,
            first: ledger.first,
            next: ledger.next,
            reports: ledger
                .reports
                .iter()
                .map(|(window, counts)| WindowFrame {
                    window: *window,
                    counts: encode_counts(counts),
                    not_run: BTreeMap::new(),
                })
                .collect(),
        }
    }
}

impl From<LedgerFrame> for Ledger {
    fn from(frame: LedgerFrame) -> Self {
        Self {
            era: frame.era,
            first: frame.first,
            next: frame.next,
            reports: frame
                .reports
                .into_iter()
                .map(|frame| (frame.window, decode_counts(frame.counts)))
                .collect(),
        }
    }
}
