//! Serves in the order of arrival.

use super::{Contest, DispatchPolicy, Pick};
use crate::{clock::Time, kernel::registry::DispatchPlugin};

/// Serves in the order of arrival, whoever asks.
#[derive(Debug)]
pub struct Fifo;

impl DispatchPolicy for Fifo {
    fn pick(&self, contest: &Contest<'_>, _: Time) -> Pick {
        let lanes = contest.lanes.iter().enumerate();
        let first = lanes.min_by_key(|(_, lane)| lane.oldest.arrived);
        Pick::Oldest(first.map_or(0, |(i, _)| i))
    }
}

inventory::submit! { DispatchPlugin { name: "fifo", policy: &Fifo } }
