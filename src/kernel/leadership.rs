//! What an instance knows of the leader, and the lease by which it leads itself.
//!
//! The leader holds the lease of a record in the platform's store. Its term is the ordinal of that
//! record's revision, so it grows with each leader, also when the store has returned from an older
//! copy. A process that was paused may find that its lease has ended
//! meanwhile, or that it leads again in a later term; whatever it decided before is void then.
//!
//! What leads is one start of one process. A replacement may bear the name of the instance that it
//! replaces, so names are only shown to operators and never compared.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::revision::{LeaseId, Revision};
use crate::clock::Time;

/// TTL of the leader's lease.
pub const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// Interval of the lease's renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Time before the end of the lease in the store at which the leader stops relying on it.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Random identity of one start of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartId(pub u64);

/// A leader of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Start of its process; `None` if an earlier release, which names none, has written the record.
    pub start: Option<StartId>,
    /// Address at which the leader accepts links of other instances.
    pub address: SocketAddr,
    /// Ordinal of the revision of the leader's record, which grows with each leader.
    pub term: u64,
}

/// The lease by which this instance leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The lease in the store.
    pub lease: LeaseId,
    /// Term of this leader.
    pub term: u64,
    /// When the last successful renewal was sent; the lease lasts at least [`LEASE_TTL`] from then
    /// on.
    pub renewed_at: Time,
    /// When this leader may give its first order to an engine.
    pub orders_from: Time,
    /// Whether the store names this leader as the one that gave the last orders, which it must before
    /// the first order.
    pub recorded: bool,
    /// When this instance was elected.
    pub elected_at: Time,
}

impl HeldLease {
    /// Returns whether this leader may give orders at `now`.
    fn may_order(&self, now: Time) -> bool {
        self.recorded && now >= self.orders_from && self.is_valid(now)
    }

    /// Returns whether the store still holds the lease at `now`, with [`LEASE_MARGIN`] to spare.
    fn is_valid(&self, now: Time) -> bool {
        now.since(self.renewed_at) + LEASE_MARGIN < LEASE_TTL
    }
}

/// What an instance does next about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Renew this lease.
    Renew(HeldLease),
    /// Record that this leader gives orders from now on.
    RecordOrders(HeldLease),
    /// Write the leader's record in place of the one with this revision; the number zero if there is
    /// none.
    Acquire(Revision),
    /// Do nothing.
    Wait,
}

/// The instance that gave the last orders to engines as leader, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastLeader {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Start of its process; `None` if an earlier release, which names none, has written the record.
    pub start: Option<StartId>,
    /// Whether the record was written in the store's current era. Another record may have survived a
    /// return of the store that lost a later one.
    pub is_current: bool,
}

/// What has changed with a record or an announcement of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderChange {
    /// Whether another leader is known now, or none.
    pub is_new: bool,
    /// Term that this instance led in until another leader was known.
    pub lost_term: Option<u64>,
}

/// What is known of the records in the store, and the lease of this instance.
#[derive(Clone, Debug)]
pub struct Leadership {
    /// Name of this instance.
    own_name: Arc<str>,
    /// This start of its process.
    start: StartId,
    /// Address at which this process listens for links; `None` before it does.
    address: Option<SocketAddr>,
    leader: Option<Leader>,
    /// Latest term of a leader that this instance has known.
    latest_term: u64,
    /// The instance that gave the last orders; `None` if none is recorded.
    pub last_leader: Option<LastLeader>,
    /// Name of the latest other leader that this instance has known.
    other_leader: Option<Arc<str>>,
    /// Name of the instance that led before this one, while this instance leads.
    former_leader: Option<Arc<str>>,
    /// Recorded number of instances; zero where none is known.
    fleet_size: usize,
    /// Era in which the number of instances was read; `None` before the first time.
    size_era: Option<u64>,
    /// Whether the store has lost the recorded number of instances.
    size_lost: bool,
    /// Revision of the leader's record; the number zero if there is none.
    revision: Revision,
    /// Whether the records have been read since the last error.
    pub synced: bool,
    /// Lease of this instance; `None` if it does not lead.
    held: Option<HeldLease>,
    /// When the store last confirmed the lease by which this instance led until the store returned
    /// from an older copy; `None` if it gave no orders then.
    led_until: Option<Time>,
}

impl Leadership {
    /// Creates the state of the instance `own_name` in this `start` of its process, which knows no
    /// leader yet.
    pub fn new(own_name: Arc<str>, start: StartId) -> Self {
        Self {
            own_name,
            start,
            address: None,
            leader: None,
            latest_term: 0,
            last_leader: None,
            other_leader: None,
            former_leader: None,
            fleet_size: 0,
            size_era: None,
            size_lost: false,
            revision: Revision::default(),
            synced: false,
            held: None,
            led_until: None,
        }
    }

    /// Returns this start of the process.
    pub fn start(&self) -> StartId {
        self.start
    }

    /// Returns whether `start` is this start of the process.
    fn is_own(&self, start: Option<StartId>) -> bool {
        start == Some(self.start)
    }

    /// Records that this process listens at `address` for links, so that no former start does any more.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = Some(address);
    }

    /// Returns whether a leader was a former start of this instance at the same address. It has ended,
    /// since two processes cannot listen there. A machine that has taken over the name has another
    /// address.
    fn replaces(&self, leader: &Leader) -> bool {
        leader.instance == self.own_name && self.address == Some(leader.address)
    }

    /// Returns whether no other instance can become leader now: the record names a former start of this
    /// one, for which all others wait until its lease ends.
    pub fn is_sole_candidate(&self) -> bool {
        self.held.is_none() && self.leader.as_ref().is_some_and(|leader| self.replaces(leader))
    }

    /// Returns the leader that is known.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the revision of the leader's record; the number zero if there is none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the recorded number of instances; zero where none is known.
    pub fn fleet_size(&self) -> usize {
        self.fleet_size
    }

    /// Returns whether the store has lost the recorded number of instances.
    pub fn is_size_lost(&self) -> bool {
        self.size_lost
    }

    /// Applies the number of instances that was read from the store in `era`. A new era may have lost
    /// a larger number, which then still holds.
    pub fn apply_fleet_size(&mut self, size: usize, era: u64) {
        let has_returned = self.size_era.is_some_and(|known| era > known);
        self.size_era = Some(era);
        self.size_lost = size < self.fleet_size && (has_returned || self.size_lost);
        if !self.size_lost {
            self.fleet_size = size;
        }
    }

    /// Records that this instance has recorded the number of instances in the store.
    pub fn set_fleet_size(&mut self, size: usize) {
        self.fleet_size = size;
        self.size_lost = false;
    }

    /// Returns whether this instance leads. Its lease may have ended if the store cannot be
    /// reached.
    pub fn leads(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the term of this instance as leader; zero if it does not lead.
    pub fn term(&self) -> u64 {
        self.held.map_or(0, |held| held.term)
    }

    /// Returns whether this instance leads and certainly still has the lease.
    pub fn holds_lease(&self, now: Time) -> bool {
        self.held.is_some_and(|held| held.is_valid(now))
    }

    /// Returns whether this instance leads and may give orders to engines.
    pub fn may_order(&self, now: Time) -> bool {
        self.held.is_some_and(|held| held.may_order(now))
    }

    /// Returns whether an order that was decided in `term` may still be given. The decision of an
    /// earlier term is void, even if this instance leads again.
    pub fn may_order_in(&self, term: u64, now: Time) -> bool {
        self.term() == term && self.may_order(now)
    }

    /// Returns the name of the instance that led before this one, if it is known, and the time since
    /// this instance was elected.
    pub fn succession(&self, now: Time) -> (Option<Arc<str>>, Duration) {
        let led_for = self.held.map_or(Duration::ZERO, |held| now.since(held.elected_at));
        (self.former_leader.clone(), led_for)
    }

    /// Applies the leader's record of the store; `None` if there is none. A record that is older
    /// than the leader which this instance knows from an announcement does not replace it.
    pub fn apply_record(&mut self, leader: Option<Leader>) -> LeaderChange {
        let term = leader.as_ref().map_or(0, |leader| leader.term);
        self.revision = Revision::from_ordinal(term);
        match leader {
            Some(leader) if leader.term < self.latest_term => LeaderChange::default(),
            leader => self.set_leader(leader),
        }
    }

    /// Applies the announcement of a new leader, unless this instance knows a later one.
    pub fn apply_announcement(&mut self, leader: Leader) -> LeaderChange {
        match leader.term > self.latest_term {
            true => self.set_leader(Some(leader)),
            false => LeaderChange::default(),
        }
    }

    /// Sets the leader. Another leader ends this instance's leadership.
    fn set_leader(&mut self, leader: Option<Leader>) -> LeaderChange {
        let is_other = leader.as_ref().is_some_and(|leader| !self.is_own(leader.start));
        let lost = if is_other { self.held.take() } else { None };
        if is_other {
            self.other_leader = leader.as_ref().map(|leader| leader.instance.clone());
        }
        self.latest_term = leader.as_ref().map_or(0, |leader| leader.term).max(self.latest_term);
        let is_new = self.leader != leader;
        self.leader = leader;
        LeaderChange { is_new, lost_term: lost.map(|held| held.term) }
    }

    /// Records that this instance was elected: it has written the leader's record in the term of
    /// `held`, with its own `address`.
    pub fn elect(&mut self, held: HeldLease, address: SocketAddr) {
        let instance = self.own_name.clone();
        let last = self.last_leader.as_ref().map(|last| last.instance.clone());
        self.former_leader = self.other_leader.take().or(last);
        let start = Some(self.start);
        self.leader = Some(Leader { instance, start, address, term: held.term });
        self.revision = Revision::from_ordinal(held.term);
        self.latest_term = held.term;
        self.held = Some(held);
        if held.recorded {
            self.set_orders_recorded(held.term);
        }
    }

    /// Records that the store names this leader, which leads in `term`, as the one that gave the last
    /// orders.
    pub fn set_orders_recorded(&mut self, term: u64) {
        if let Some(held) = self.held.as_mut().filter(|held| held.term == term) {
            held.recorded = true;
            let instance = self.own_name.clone();
            let start = Some(self.start);
            self.last_leader = Some(LastLeader { instance, start, is_current: true });
        }
    }

    /// Returns whether this instance certainly gave the last orders. Such a leader need not wait
    /// before its first order.
    ///
    /// Where the store has lost who led last, it is this instance if it led less than `order_gap`
    /// ago, since any other leader waits so long before its first order.
    pub fn ordered_last(&self, order_gap: Duration, now: Time) -> bool {
        match &self.last_leader {
            Some(last) if last.is_current => self.is_own(last.start),
            _ => self.led_until.is_some_and(|at| now.since(at) < order_gap),
        }
    }

    /// Records that the renewal of `lease` that was sent at `sent_at` succeeded.
    pub fn renew(&mut self, lease: LeaseId, sent_at: Time) {
        if let Some(held) = self.held.as_mut().filter(|held| held.lease == lease) {
            held.renewed_at = sent_at;
        }
    }

    /// Ends this instance's leadership after its lease has ended. Returns the term in which it led.
    pub fn step_down(&mut self) -> Option<u64> {
        let held = self.held.take()?;
        self.leader = None;
        self.revision = Revision::default();
        Some(held.term)
    }

    /// Ends this instance's leadership after the store has returned from an older copy, whose leases
    /// are not those that it granted. The record of the leader may still be there. Returns the term in
    /// which this instance led.
    pub fn step_down_after_return(&mut self, now: Time) -> Option<u64> {
        let held = self.held.take()?;
        let may_have_ordered = held.recorded && now >= held.orders_from;
        self.led_until = may_have_ordered.then_some(held.renewed_at);
        Some(held.term)
    }

    /// Ends this instance's leadership and returns its lease, which is to be revoked.
    pub fn resign(&mut self) -> Option<HeldLease> {
        self.held.take()
    }

    /// Decides what to do with the lease now.
    pub fn next_step(&self, stopping: bool, now: Time) -> LeaseStep {
        match (&self.held, &self.leader) {
            (Some(held), _) if now.since(held.renewed_at) >= RENEW_INTERVAL => {
                LeaseStep::Renew(*held)
            }
            (Some(held), _) if !held.recorded && now >= held.orders_from => {
                LeaseStep::RecordOrders(*held)
            }
            (Some(_), _) => LeaseStep::Wait,
            (None, _) if stopping || !self.synced => LeaseStep::Wait,
            // Another process under the same name may still lead, so its lease must end first.
            (None, Some(leader)) if !self.is_own(leader.start) && !self.replaces(leader) => {
                LeaseStep::Wait
            }
            // A record of this start, which holds no lease, was written by a call whose response was
            // lost, or before the store returned from an older copy.
            (None, _) => LeaseStep::Acquire(self.revision),
        }
    }
}
