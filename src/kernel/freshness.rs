//! Tells an instance that is cut off from one whose platform service is down for everybody.

use std::time::Duration;

/// What an instance knows of its contact with the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Age of the youngest contact with the platform's service, its own or a peer's.
    pub age: Duration,
    /// Listed live instances, this one included.
    pub listed: usize,
    /// Listed live instances heard within the bound, this one included.
    pub heard: usize,
}

/// Whether an instance may serve keyed work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// What it knows is young enough.
    Fresh,
    /// The service is down for most instances; serving goes on.
    ServiceDown,
    /// The instance is cut off.
    CutOff,
}

/// Age of the last contact above which an instance asks whether it is cut off.
pub const CONTACT_BOUND: Duration = Duration::from_millis(3_000);

/// Judges a contact.
pub fn judge(contact: Contact) -> Freshness {
    if contact.age <= CONTACT_BOUND {
        Freshness::Fresh
    } else if contact.heard * 2 > contact.listed {
        Freshness::ServiceDown
    } else {
        Freshness::CutOff
    }
}
