//! The order of dispatch under floods, overload and with background work.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::{
        dispatch::{DispatchPolicy, Fifo, Queue, Slack, Ticket},
        registry,
    },
};

const TARGET: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(20);

/// Part of a team's attainment that a flood of another may take.
const FLOOD_BOUND: f64 = 0.02;

/// Arrivals of one team.
#[derive(Clone, Copy)]
struct Source {
    team: &'static str,
    period: Duration,
    rate: u64,
    background: Option<Duration>,
}

impl Source {
    fn every(team: &'static str, period_ms: u64, rate: u64) -> Self {
        Self { team, period: Duration::from_millis(period_ms), rate, background: None }
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

#[derive(Clone, Copy, Default)]
struct Count {
    asked: u32,
    attained: u32,
    refused: u32,
}

impl Count {
    fn part(self) -> f64 {
        f64::from(self.attained) / f64::from(self.asked)
    }
}

/// Serves the sources for a minute at an endpoint with four places of 100 ms, and then drains.
fn serve(policy: &dyn DispatchPolicy, sources: &[Source]) -> BTreeMap<&'static str, Count> {
    let mut counts: BTreeMap<&str, Count> = BTreeMap::new();
    let mut queue: Queue<&'static str> = Queue::default();
    for step in 0..18_000_u64 {
        let now = Time::from_millis(step * 5);
        for source in sources.iter().filter(|_| step < 12_000) {
            if (step * 5).is_multiple_of(source.period.as_millis() as u64) {
                let count = counts.entry(source.team).or_default();
                count.asked += 1;
                count.refused += u32::from(queue.push(source.ticket(now), source.team).is_err());
            }
        }
        for team in queue.take_expired(now) {
            counts.entry(team).or_default().refused += 1;
        }
        // Four places of 100 ms free one place every 25 ms.
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
    let calm = [Source::every("calm", 100, 1_000), Source::every("quiet", 125, 1_000)];
    let mut flooded = calm.to_vec();
    flooded.push(Source::every("flood", 5, 1_000));
    let (before, after) = (serve(&Slack, &calm), serve(&Slack, &flooded));
    for team in ["calm", "quiet"] {
        let loss = before[team].part() - after[team].part();
        assert!(loss <= FLOOD_BOUND, "{team} lost {loss}");
    }
    assert!(after["flood"].attained > 500, "the places that others leave are used");
    assert!(serve(&Fifo, &flooded)["calm"].part() < 0.5, "the flood tells policies apart");
}

#[test]
fn slack_overload_shared_by_rate() {
    let sources = [Source::every("large", 25, 3_000), Source::every("small", 50, 1_000)];
    let counts = serve(&Slack, &sources);
    assert!(counts["large"].part() > 0.6, "{}", counts["large"].part());
    assert!(counts["small"].part() > 0.4, "{}", counts["small"].part());
}

#[test]
fn slack_background_ends_by_deadline() {
    let audit = Source {
        background: Some(Duration::from_secs(60)),
        ..Source::every("audit", 1_000, 1_000)
    };
    let sources = [Source::every("chat", 10, 100_000), audit];
    let counts = serve(&Slack, &sources);
    assert_eq!((counts["audit"].attained, counts["audit"].refused), (60, 0));
    assert!(counts["chat"].attained > 1_500, "{}", counts["chat"].attained);
}

#[test]
fn slack_overload_serves_what_can_be_met() {
    let counts = serve(&Slack, &[Source::every("only", 20, 1_000)]);
    assert!(counts["only"].part() > 0.6, "{}", counts["only"].part());
    assert!(serve(&Fifo, &[Source::every("only", 20, 1_000)])["only"].part() < 0.4);
}

#[test]
fn queue_limit_is_per_team() {
    let mut queue = Queue::default();
    let flood = Source::every("flood", 5, 1_000).ticket(Time(0));
    let pushed = (0..1_000).filter(|i| queue.push(flood.clone(), *i).is_ok()).count();
    assert_eq!(pushed, cardamomshore::kernel::dispatch::MAX_TEAM_QUEUE);
    assert!(queue.push(Source::every("calm", 5, 1_000).ticket(Time(0)), 0).is_ok());
}

#[test]
fn queue_expired_leaves_all_orders() {
    let mut queue = Queue::default();
    let now = Time::from_millis(1);
    assert!(queue.push(Source::every("a", 5, 1).ticket(now), 7).is_ok());
    assert_eq!(queue.take_expired(now + DEADLINE), [7]);
    assert!(queue.is_empty() && queue.pop(&Slack, now + DEADLINE).is_none());
}

#[test]
fn registry_finds_each_policy() {
    for name in ["slack", "fifo"] {
        assert!(registry::dispatch(name).is_some(), "{name}");
    }
    assert!(registry::dispatch("none").is_none());
}
