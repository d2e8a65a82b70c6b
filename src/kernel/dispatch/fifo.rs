//! Dispatch policy that serves requests in the order of their arrival.

use super::{Contenders, DispatchPolicy, Pick};
use crate::{clock::Time, kernel::registry::DispatchPlugin};

/// Serves requests in the order of their arrival, whichever team sent them.
#[derive(Debug)]
pub struct Fifo;

impl DispatchPolicy for Fifo {
    fn pick(&self, contenders: &Contenders<'_>, _: Time) -> Pick {
        let lanes = contenders.lanes.iter().enumerate();
        let first = lanes.min_by_key(|(_, lane)| lane.oldest.arrived);
        Pick::Oldest(first.map_or(0, |(i, _)| i))
    }
}

inventory::submit! { DispatchPlugin { name: "fifo", policy: &Fifo } }
