//! Tests of the dispatch policies with floods, overload and background work.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::{
        dispatch::{DispatchPolicy, Fifo, Queue, Slack, Ticket},
        registry,
    },
};

/// Time from the arrival of a request until its first token is due.
const TARGET: Duration = Duration::from_millis(1_500);
/// Time from the arrival of a request until its deadline.
const DEADLINE: Duration = Duration::from_secs(20);

/// Largest fraction of a team's requests whose target a flood of another team may cost.
const MAX_FLOOD_LOSS: f64 = 0.02;

/// Requests of one team that arrive at a fixed interval.
#[derive(Clone, Copy)]
struct TeamLoad {
    team: &'static str,
    interval: Duration,
    /// Tokens a second to which the team is entitled.
    rate: u64,
    /// Deadline of the requests if they are background work.
    background: Option<Duration>,
}

impl TeamLoad {
    fn every(team: &'static str, interval_ms: u64, rate: u64) -> Self {
        Self { team, interval: Duration::from_millis(interval_ms), rate, background: None }
    }

    fn ticket(&self, now: Time) -> Ticket {
        let deadline = now + self.background.unwrap_or(DEADLINE);
        Ticket {
            team: self.team.into(),
            class: if self.background.is_some() { "audit".into() } else { "chat".into() },
            arrived: now,
            due: if self.background.is_some() { deadline } else { now + TARGET },
            deadline,
            background: self.background.is_some(),
            tokens: 100,
            target_fraction: 0.95,
            rate: self.rate,
        }
    }
}

/// Counts of one team's requests.
#[derive(Clone, Copy, Default)]
struct Count {
    /// Requests that arrived.
    requests: u32,
    /// Requests that met their target.
    attained: u32,
    /// Requests that were refused or expired.
    refused: u32,
}

impl Count {
    fn attained_fraction(self) -> f64 {
        f64::from(self.attained) / f64::from(self.requests)
    }
}

/// Serves the teams' requests for a minute at an endpoint that runs four requests of 100 ms at
/// once, and then the requests that still wait.
fn serve(policy: &dyn DispatchPolicy, loads: &[TeamLoad]) -> BTreeMap<&'static str, Count> {
    let mut counts: BTreeMap<&str, Count> = BTreeMap::new();
    let mut queue: Queue<&'static str> = Queue::default();
    for step in 0..18_000_u64 {
        let now = Time::from_millis(step * 5);
        for load in loads.iter().filter(|_| step < 12_000) {
            if (step * 5).is_multiple_of(load.interval.as_millis() as u64) {
                let count = counts.entry(load.team).or_default();
                count.requests += 1;
                count.refused += u32::from(queue.push(load.ticket(now), load.team).is_err());
            }
        }
        for team in queue.take_expired(now) {
            counts.entry(team).or_default().refused += 1;
        }
        // With four requests of 100 ms at once, one ends every 25 ms.
        if step % 5 == 0
            && let Some((ticket, team)) = queue.pop(policy, now)
        {
            let limit = if ticket.background { ticket.deadline } else { ticket.due };
            counts.entry(team).or_default().attained += u32::from(now <= limit);
        }
    }
    counts
}

#[test]
fn slack_flood_bounded() {
    let calm = [TeamLoad::every("calm", 100, 1_000), TeamLoad::every("quiet", 125, 1_000)];
    let mut flooded = calm.to_vec();
    flooded.push(TeamLoad::every("flood", 5, 1_000));
    let (before, after) = (serve(&Slack, &calm), serve(&Slack, &flooded));
    for team in ["calm", "quiet"] {
        let loss = before[team].attained_fraction() - after[team].attained_fraction();
        assert!(
            loss <= MAX_FLOOD_LOSS,
            "the flood cost {team} a fraction of {loss} of its targets"
        );
    }
    assert!(after["flood"].attained > 500, "the flood must get the slots that other teams leave");
    assert!(
        serve(&Fifo, &flooded)["calm"].attained_fraction() < 0.5,
        "a flood must be able to displace other teams under fifo"
    );
}

#[test]
fn slack_overload_shared_by_rate() {
    let loads = [TeamLoad::every("large", 25, 3_000), TeamLoad::every("small", 50, 1_000)];
    let counts = serve(&Slack, &loads);
    assert!(
        counts["large"].attained_fraction() > 0.6,
        "team large attained {}",
        counts["large"].attained_fraction()
    );
    assert!(
        counts["small"].attained_fraction() > 0.4,
        "team small attained {}",
        counts["small"].attained_fraction()
    );
}

#[test]
fn slack_background_ends_by_deadline() {
    let audit = TeamLoad {
        background: Some(Duration::from_secs(60)),
        ..TeamLoad::every("audit", 1_000, 1_000)
    };
    let loads = [TeamLoad::every("chat", 10, 100_000), audit];
    let counts = serve(&Slack, &loads);
    assert_eq!((counts["audit"].attained, counts["audit"].refused), (60, 0));
    assert!(counts["chat"].attained > 1_500, "team chat attained {}", counts["chat"].attained);
}

#[test]
fn slack_overload_serves_requests_in_time() {
    let counts = serve(&Slack, &[TeamLoad::every("only", 20, 1_000)]);
    assert!(
        counts["only"].attained_fraction() > 0.6,
        "attained {}",
        counts["only"].attained_fraction()
    );
    assert!(serve(&Fifo, &[TeamLoad::every("only", 20, 1_000)])["only"].attained_fraction() < 0.4);
}

#[test]
fn queue_limit_is_per_team() {
    let mut queue = Queue::default();
    let flood = TeamLoad::every("flood", 5, 1_000).ticket(Time(0));
    let pushed = (0..1_000).filter(|i| queue.push(flood.clone(), *i).is_ok()).count();
    assert_eq!(pushed, cardamomshore::kernel::dispatch::MAX_TEAM_QUEUE);
    assert!(queue.push(TeamLoad::every("calm", 5, 1_000).ticket(Time(0)), 0).is_ok());
}

#[test]
fn queue_expired_removed_from_all_indexes() {
    let mut queue = Queue::default();
    let now = Time::from_millis(1);
    assert!(queue.push(TeamLoad::every("a", 5, 1).ticket(now), 7).is_ok());
    assert_eq!(queue.take_expired(now + DEADLINE), [7]);
    assert!(queue.is_empty() && queue.pop(&Slack, now + DEADLINE).is_none());
}

#[test]
fn registry_finds_each_dispatch_policy() {
    for name in ["slack", "fifo"] {
        assert!(registry::dispatch(name).is_some(), "{name}");
    }
    assert!(registry::dispatch("none").is_none());
}
