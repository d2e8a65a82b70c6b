//! What the endpoints of a trial have seen.

use std::{net::IpAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;

use super::inventory::ArrivedOrder;
use crate::clock::Time;

/// A request that an endpoint has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Endpoint that ran it.
    pub endpoint: Arc<str>,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Version of the endpoint's software.
    pub version: String,
    /// Whether the response is a stream.
    pub is_stream: bool,
    /// Number of the event after which it goes on; zero for a new run.
    pub after: u64,
    /// When it began.
    pub at: Time,
    /// Team that the request was sent for.
    pub team: Option<String>,
    /// Whether the endpoint was shown a key.
    pub shows_key: bool,
    /// Whether the run crashes the endpoint.
    pub is_fatal: bool,
    /// Address of the engine from which the endpoint was told to fetch the beginning of the prompt.
    pub holder: Option<String>,
    /// Host that sent it; `None` if it is not known.
    pub sender: Option<IpAddr>,
}

/// What an endpoint has told the host that sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sign {
    /// The endpoint leaves.
    Leaving,
    /// The endpoint wants no requests for this time.
    Pause(Duration),
    /// Nothing: a request has arrived, whether it runs or not.
    Arrival,
}

/// A sign, and the host that got it.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The host.
    pub sender: Option<IpAddr>,
    /// What it was told.
    pub sign: Sign,
}

/// An order that an endpoint has accepted.
#[derive(Clone, Debug)]
pub struct Order {
    /// Endpoint that accepted it.
    pub endpoint: Arc<str>,
    /// Instance that gave it.
    pub holder: String,
    /// When it was accepted.
    pub at: Time,
    /// The order.
    pub what: ArrivedOrder,
    /// Whether the endpoint had room for what it was ordered to load.
    pub fits: bool,
}

/// An event in the life of an endpoint.
#[derive(Clone, Debug)]
pub struct Mark<T> {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// When it happened.
    pub at: Time,
    /// What has changed.
    pub value: T,
}

/// What the endpoints have seen, in the order of time.
#[derive(Debug, Default)]
pub struct WorkerLog {
    runs: Mutex<Vec<Run>>,
    orders: Mutex<Vec<Order>>,
    drains: Mutex<Vec<Mark<()>>>,
    ends: Mutex<Vec<Mark<()>>>,
    limits: Mutex<Vec<Mark<Option<f64>>>>,
    told: Mutex<Vec<Mark<Told>>>,
}

fn mark<T>(endpoint: Arc<str>, value: T) -> Mark<T> {
    Mark { endpoint, at: Time::now(), value }
}

impl WorkerLog {
    /// Records a run.
    pub fn record_run(&self, run: Run) {
        self.runs.lock().push(run);
    }

    /// Records an order.
    pub fn record_order(&self, order: Order) {
        self.orders.lock().push(order);
    }

    /// Records that an endpoint drains.
    pub fn record_drain(&self, endpoint: Arc<str>) {
        self.drains.lock().push(mark(endpoint, ()));
    }

    /// Records that an endpoint has ended.
    pub fn record_end(&self, endpoint: Arc<str>) {
        self.ends.lock().push(mark(endpoint, ()));
    }

    /// Records the limit that an endpoint names from now on.
    pub fn record_limit(&self, endpoint: Arc<str>, limit: Option<f64>) {
        self.limits.lock().push(mark(endpoint, limit));
    }

    /// Records what an endpoint has told a host.
    pub fn record_told(&self, endpoint: Arc<str>, told: Told) {
        self.told.lock().push(mark(endpoint, told));
    }

    /// Returns what endpoints have told hosts.
    pub fn told(&self) -> Vec<Mark<Told>> {
        self.told.lock().clone()
    }

    /// Returns the runs.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }

    /// Returns the orders.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().clone()
    }

    /// Returns when endpoints began to drain.
    pub fn drains(&self) -> Vec<Mark<()>> {
        self.drains.lock().clone()
    }

    /// Returns when endpoints ended.
    pub fn ends(&self) -> Vec<Mark<()>> {
        self.ends.lock().clone()
    }

    /// Returns when endpoints changed the limits that they name.
    pub fn limits(&self) -> Vec<Mark<Option<f64>>> {
        self.limits.lock().clone()
    }
}
