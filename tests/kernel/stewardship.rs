//! Tests that under every fault, at most one instance at a time acts as the steward of an endpoint,
//! that is, sends orders and dispatches requests.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::{
        freshness::Freshness,
        ledger::EndpointRecord,
        stewardship::{
            Authority, KeepContext, KeepDecision, LEASE_MARGIN, LEASE_TTL, Lease, LeaseTracker,
            Leases, RETURN_GRACE, SubstituteContext, decide_keep, may_substitute,
        },
    },
    names::InstanceId,
};

use super::ledger::world::{World, WriteFate};
use crate::matrix::{Protocol, run_all};

/// Length of a pause, longer than the lease TTL and the delay before a takeover together.
const PAUSE: Duration = Duration::from_secs(18);

/// A fault while an endpoint has a steward, the holder.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The holder's process ends.
    Killed,
    /// The holder's process pauses long enough for another instance to take over.
    Paused,
    /// The platform's service is down for a time.
    ServiceDown,
    /// The holder is in contact with the other instances, but does not reach the service.
    HolderWithoutService,
    /// The holder reaches neither the service nor the other instances.
    HolderCutOff,
    /// The service is down for a time, and the holder is cut off when the service returns.
    ServiceDownThenCutOff,
    /// The next takeover takes effect, and its response is lost.
    TakeoverResponseLost,
    /// All instances try to take the endpoint over at the same time.
    ConcurrentTakeovers,
}

/// A run in which an endpoint is taken over, kept, handed over, taken over again and lost.
struct Stewardship {
    world: World,
    /// Takeovers that were sent: the instance, its record and the revision that it expects.
    takeovers: Vec<(usize, (EndpointRecord, i64))>,
}

impl Stewardship {
    /// Prepares a takeover by every instance that may take the endpoint.
    fn prepare_takeovers(&mut self) {
        let all = 0..self.world.stewards.len();
        self.takeovers =
            all.filter_map(|index| Some((index, self.world.prepare_takeover(index)?))).collect();
    }

    /// Delivers the prepared takeovers.
    fn finish_takeovers(&mut self) {
        for (index, takeover) in std::mem::take(&mut self.takeovers) {
            self.world.take_over(index, takeover);
        }
    }

    /// Lets the holder hand the endpoint over.
    fn hand_over(&mut self) {
        let Some(holder) = self.world.holder() else { return };
        if self.world.authority(holder) != Authority::Full || self.world.service_down {
            return;
        }
        let Some((record, expected)) = self.world.build_record(holder) else { return };
        let record = EndpointRecord { holder: None, ..record };
        self.world.deliver_write(holder, record, expected);
        self.world.stewards[holder].ledger = None;
    }

    /// Applies a change to the holder, if there is one.
    fn with_holder(&mut self, change: impl Fn(&mut World, usize)) {
        if let Some(holder) = self.world.holder() {
            change(&mut self.world, holder);
        }
    }
}

impl Protocol for Stewardship {
    type Fault = Fault;

    const NAME: &'static str = "stewardship";
    const STEPS: &'static [&'static str] = &[
        "lease taken",
        "endpoint taken",
        "first dispatch",
        "renewal",
        "handover",
        "taken again",
        "loss",
    ];
    const FAULTS: &'static [Fault] = &[
        Fault::Killed,
        Fault::Paused,
        Fault::ServiceDown,
        Fault::HolderWithoutService,
        Fault::HolderCutOff,
        Fault::ServiceDownThenCutOff,
        Fault::TakeoverResponseLost,
        Fault::ConcurrentTakeovers,
    ];

    fn start() -> Self {
        let mut world = World::new(&[("glue", 400)]);
        world.step = Duration::from_millis(500);
        world.add_steward();
        Self { world, takeovers: Vec::new() }
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "lease taken" => self.world.advance(Duration::from_millis(500)),
            "endpoint taken" => self.prepare_takeovers(),
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match Self::STEPS[step] {
            "endpoint taken" => self.finish_takeovers(),
            "handover" => self.hand_over(),
            "loss" => self.with_holder(|world, holder| world.kill(holder)),
            _ => self.world.advance(Duration::from_secs(4)),
        }
        self.world.check_stewards();
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Killed => self.with_holder(|world, holder| world.kill(holder)),
            Fault::Paused => self.with_holder(|world, holder| {
                world.stewards[holder].paused = true;
                world.advance(PAUSE);
                world.stewards[holder].paused = false;
            }),
            Fault::ServiceDown => {
                self.world.service_down = true;
                self.world.advance(PAUSE);
                self.world.service_down = false;
            }
            Fault::HolderWithoutService => self.with_holder(|world, holder| {
                world.stewards[holder].service_unreachable = true;
                world.advance(PAUSE);
            }),
            Fault::HolderCutOff => self.with_holder(|world, holder| {
                world.stewards[holder].cut_off = true;
                world.advance(PAUSE);
            }),
            Fault::ServiceDownThenCutOff => {
                self.world.service_down = true;
                self.world.advance(PAUSE);
                self.with_holder(|world, holder| world.stewards[holder].cut_off = true);
                self.world.service_down = false;
                self.world.advance(PAUSE);
            }
            Fault::TakeoverResponseLost => self.world.write_fate = WriteFate::ResponseLost,
            Fault::ConcurrentTakeovers => {
                self.prepare_takeovers();
                self.finish_takeovers();
            }
        }
        self.world.check_stewards();
    }

    fn check(&self) -> Result<(), String> {
        self.world.check()
    }

    fn settle(&mut self) {
        self.world.recover();
    }

    fn check_settled(&self) -> Result<(), String> {
        self.world.check_recovered()
    }
}

#[test]
fn matrix_stewardship() {
    run_all::<Stewardship>();
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn next_authority_ends_before_lease() {
    let mut lease = LeaseTracker::default();
    assert_eq!(lease.next_authority(Freshness::Fresh, at(0)), Authority::Stop);
    lease.record_renewal(at(1_000));
    let end = at(1_000) + LEASE_TTL - LEASE_MARGIN;
    assert_eq!(
        lease.next_authority(Freshness::CutOff, end - Duration::from_micros(1)),
        Authority::Full
    );
    assert_eq!(lease.next_authority(Freshness::CutOff, end), Authority::Stop);
}

#[test]
fn next_authority_dispatches_while_service_down() {
    let mut lease = LeaseTracker::default();
    lease.record_renewal(at(1_000));
    for ms in (1_000..120_000).step_by(500) {
        assert_ne!(
            lease.next_authority(Freshness::ServiceDown, at(ms)),
            Authority::Stop,
            "at {ms}"
        );
    }
    let returned_at = at(120_000);
    assert_eq!(lease.next_authority(Freshness::Fresh, returned_at), Authority::DispatchOnly);
    assert_eq!(
        lease.next_authority(Freshness::Fresh, returned_at + Duration::from_secs(1)),
        Authority::DispatchOnly
    );
    assert_eq!(lease.next_authority(Freshness::Fresh, returned_at + RETURN_GRACE), Authority::Stop);
}

#[test]
fn next_authority_stops_after_pause_despite_contact() {
    let mut lease = LeaseTracker::default();
    lease.record_renewal(at(1_000));
    assert_eq!(lease.next_authority(Freshness::ServiceDown, at(2_000)), Authority::Full);
    assert_eq!(lease.next_authority(Freshness::ServiceDown, at(30_000)), Authority::Stop);
    assert_eq!(lease.next_authority(Freshness::ServiceDown, at(30_200)), Authority::Stop);
    lease.record_renewal(at(31_000));
    assert_eq!(lease.next_authority(Freshness::ServiceDown, at(31_200)), Authority::Full);
}

/// Returns the decision of the steward `i-1` about an endpoint whose preferred steward is `preferred`.
fn keep_decision(preferred: &str, idle: bool, listed: bool) -> KeepDecision {
    let own = InstanceId::from("i-1");
    let record = EndpointRecord { holder: Some(own.clone()), fence: 3, ..Default::default() };
    let ranked = [InstanceId::from(preferred), InstanceId::from("i-1")];
    let lease = Lease { incarnation: 1, revision: 1 };
    let leases: Leases = ranked.iter().map(|id| (id.clone(), lease)).collect();
    decide_keep(&KeepContext {
        own: &own,
        written: &record,
        record: Some(&record),
        listed,
        idle,
        preferred: ranked.first(),
        leases: &leases,
    })
}

#[test]
fn keep_hands_only_idle_endpoints_to_a_newcomer() {
    assert_eq!(keep_decision("i-0", false, true), KeepDecision::Keep);
    assert_eq!(keep_decision("i-0", true, true), KeepDecision::HandOver);
    assert_eq!(keep_decision("i-1", true, true), KeepDecision::Keep);
}

#[test]
fn keep_drains_an_endpoint_that_leaves() {
    assert_eq!(keep_decision("i-1", false, false), KeepDecision::Drain);
    assert_eq!(keep_decision("i-1", true, false), KeepDecision::HandOver);
}

#[test]
fn substitutes_only_without_a_lease_while_the_service_is_down() {
    let own = InstanceId::from("i-1");
    let context = SubstituteContext {
        own: &own,
        freshness: Freshness::ServiceDown,
        authority: Authority::DispatchOnly,
        steward_ended: true,
        preferred: Some(&own),
    };
    assert!(may_substitute(&context));
    assert!(!may_substitute(&SubstituteContext { steward_ended: false, ..context }));
    assert!(!may_substitute(&SubstituteContext { authority: Authority::Full, ..context }));
    assert!(!may_substitute(&SubstituteContext { freshness: Freshness::Fresh, ..context }));
    let other = InstanceId::from("i-0");
    assert!(!may_substitute(&SubstituteContext { preferred: Some(&other), ..context }));
}
