//! What was done to a fleet during a soak, and when.

use crate::clock::Time;

/// A span of time in which gateways were disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The gateway; `None` if all were disturbed.
    pub gateway: Option<usize>,
    /// When it began.
    pub from: Time,
    /// When it ended; far in the future while it lasts.
    pub to: Time,
    /// Whether it is a planned stop.
    pub is_stop: bool,
    /// Whether only the store was disturbed.
    pub is_store: bool,
}

/// A change of the key that is withdrawn at times.
#[derive(Clone, Copy, Debug)]
pub struct KeyChange {
    /// When it was in the store.
    pub at: Time,
    /// Whether the key is valid from then on.
    pub is_valid: bool,
}

/// A route that was added.
#[derive(Clone, Debug)]
pub struct AddedRoute {
    /// When it was in the store.
    pub at: Time,
    /// Name of the route.
    pub name: String,
}

/// A span in which a gateway was cut off from all endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The gateway.
    pub gateway: usize,
    /// When it began.
    pub from: Time,
    /// When it ends.
    pub to: Time,
}

/// A span in which a data centre was out of service.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Index of the data centre.
    pub data_centre: usize,
    /// When it was in the store that the data centre is out of service.
    pub from: Time,
    /// When that was ended; `None` while it lasts.
    pub to: Option<Time>,
}
