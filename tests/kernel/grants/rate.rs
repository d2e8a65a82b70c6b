//! The teams' rates and the retry budget.

use std::time::Duration;

use cardamomshore::{
    catalog::Team,
    clock::Time,
    kernel::grants::{
        GrantRequest, Mode, Outcome, RateShare, Reason, RetryBudget, Scheduler, TokenBucket,
    },
};

use super::fleet::{
    LEADING, START, engine, granted, key, limits, model_request, plain_request, refused, scheduler,
};

/// Window over which the platform counts a team's tokens.
const WINDOW: Duration = Duration::from_secs(8);

/// Interval between the requests of a flood.
const STEP: Duration = Duration::from_millis(10);

fn team(rate: f64) -> Team {
    Team { name: "shop".into(), rate, burst: rate, priority: None, default_tokens: 200 }
}

/// Returns the tokens that the platform tolerates in a window.
fn bound(rate: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + rate) * 1.1 + 110_000.0
}

/// Returns the maximum number of tokens that a flood of requests takes in any window.
fn flood(rate: f64, shares: &[f64], tokens: u64) -> f64 {
    let team = team(rate);
    let rate_share = |fraction| RateShare { fraction, slack: 110_000.0 };
    let mut buckets: Vec<TokenBucket> = shares
        .iter()
        .map(|share| TokenBucket::new(&team, rate_share(*share), 1.0, START))
        .collect();
    let mut taken: Vec<(Time, u64)> = Vec::new();
    for step in 0..3_000 {
        let now = START + Duration::from_millis(10) * step;
        for (bucket, share) in buckets.iter_mut().zip(shares) {
            while bucket.take(&team, rate_share(*share), tokens, now).is_ok() {
                taken.push((now, tokens));
            }
        }
    }
    let (mut most, mut sum, mut first) = (0, 0, 0);
    for (at, tokens) in &taken {
        sum += tokens;
        while at.since(taken[first].0) >= WINDOW {
            sum -= taken[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most as f64
}

#[test]
fn bucket_flood_stays_within_tolerance() {
    for rate in [29_000.0, 93_000.0, 166_000.0] {
        for tokens in [200, 1_100, 9_200, 39_000] {
            let most = flood(rate, &[1.0], tokens);
            assert!(
                most <= bound(rate),
                "{most} tokens in a window at rate {rate} and {tokens} tokens a request"
            );
        }
    }
}

#[test]
fn bucket_divided_flood_stays_within_tolerance() {
    // Three of eight instances are cut off, each with its own share.
    let most = flood(121_000.0, &[0.625, 0.125, 0.125, 0.125], 9_200);
    assert!(most <= bound(121_000.0), "{most} tokens in a window");
}

#[test]
fn bucket_large_request_not_starved() {
    let (team, share) = (team(100_000.0), RateShare { fraction: 1.0, slack: 0.0 });
    let mut bucket = TokenBucket::new(&team, share, 0.0, START);
    let later = START + Duration::from_millis(10);
    assert!(bucket.take(&team, share, 39_000, later).is_ok(), "some tokens are available");
    assert!(bucket.take(&team, share, 9_000, later).is_err(), "the tokens are spent");
}

#[test]
fn bucket_small_request_has_reserve() {
    let (team, share) = (team(100_000.0), RateShare { fraction: 1.0, slack: 0.0 });
    let mut bucket = TokenBucket::new(&team, share, 0.05, START);
    assert!(bucket.take(&team, share, 9_000, START).is_ok());
    assert!(bucket.take(&team, share, 9_000, START).is_err());
    assert!(bucket.take(&team, share, 200, START).is_ok(), "small requests have a reserve");
}

/// Returns the tokens that a scheduler grants at `now` to requests of 1,000 tokens each.
fn grant_all(scheduler: &mut Scheduler, from: u64, now: Time) -> u64 {
    let mut tokens = 0;
    for number in from..from + 1_000 {
        let request = GrantRequest { charge: 1_000, ..plain_request(now) };
        let actions = scheduler.handle_request(key(number), request, now);
        if granted(&actions).is_none() {
            break;
        }
        tokens += 1_000;
        scheduler.handle_outcome(&key(number), Outcome::Whole, now);
    }
    tokens
}

/// Returns a scheduler that decides alone for one of `count` instances and has just lost its leader.
fn lone_scheduler(count: u32) -> Scheduler {
    let share = 1.0 / f64::from(count);
    let mut scheduler = scheduler(Mode::Alone { share }, vec![super::fleet::desk("d1")]);
    scheduler.restart_rates(START);
    scheduler
}

#[test]
fn rates_unused_without_leader_serve_returning_callers() {
    // For 1.5 s there is no leader and hardly a request is served. All callers return to the next.
    let elected = START + Duration::from_millis(1_500);
    let mut leader = lone_scheduler(24);
    leader.set_mode(LEADING, elected);
    for _ in 1..24 {
        let unused = lone_scheduler(24).release_rates(elected);
        leader.add_rates(&unused, elected);
    }
    let tokens = grant_all(&mut leader, 0, elected) as f64;
    assert!(tokens >= 0.95 * 100_000.0, "{tokens} tokens are granted at once");
    assert!(tokens <= 1.2 * 100_000.0, "no more than the burst and a rest: {tokens}");
}

#[test]
fn rates_used_without_leader_not_granted_again() {
    let elected = START + Duration::from_millis(1_500);
    let mut leader = lone_scheduler(4);
    leader.set_mode(LEADING, elected);
    let mut total = 0;
    for number in 1..4 {
        let mut other = lone_scheduler(4);
        for step in 0..150 {
            total += grant_all(
                &mut other,
                number * 1_000_000 + step * 1_000,
                START + STEP * step as u32,
            );
        }
        leader.add_rates(&other.release_rates(elected), elected);
        assert_eq!(grant_all(&mut other, 1, elected), 0, "its share is with the leader now");
    }
    total += grant_all(&mut leader, 0, elected);
    let bound = 100_000.0 * 1.5 * 1.08 + 0.2 * 100_000.0;
    assert!((total as f64) <= bound, "{total} tokens, {bound} at most");
}

#[test]
fn rates_of_lost_leader_not_used_twice() {
    // While there was a leader, the instance's own share must not have grown.
    let mut follower = lone_scheduler(4);
    let lost = START + Duration::from_secs(60);
    follower.restart_rates(lost);
    let tokens = grant_all(&mut follower, 0, lost) as f64;
    assert!(tokens <= 0.25 * 0.2 * 100_000.0, "{tokens} tokens are granted at once");
}

#[test]
fn request_over_rate_refused_at_once() {
    let mut scheduler = scheduler(Mode::Alone { share: 0.01 }, vec![engine("e1", &["m0"])]);
    let mut number = 0;
    let refusal = loop {
        number += 1;
        let actions = scheduler.handle_request(key(number), model_request("m0", 900, START), START);
        if let Some(refusal) = refused(&actions) {
            break refusal;
        }
        assert!(number < 100, "a flood is refused");
    };
    assert_eq!(refusal.reason, Reason::OverRate);
    assert!(
        refusal.retry >= Duration::from_millis(150),
        "a retry is suggested after {:?}",
        refusal.retry
    );
}

#[test]
fn retry_charged_but_not_refused() {
    let mut scheduler = scheduler(Mode::Alone { share: 1.0 }, vec![super::fleet::desk("d1")]);
    let mut retry = plain_request(START);
    retry.is_retry = true;
    retry.charge = 300_000;
    assert!(granted(&scheduler.handle_request(key(1), retry, START)).is_some());
    let mut next = plain_request(START);
    next.charge = 9_000;
    let refusal =
        refused(&scheduler.handle_request(key(2), next, START)).expect("the bucket is in debt");
    assert_eq!(refusal.reason, Reason::OverRate);
}

#[test]
fn retry_budget_bounded() {
    let limits = limits().retries;
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(&limits, START);
    }
    let granted = (0..1_000).filter(|_| budget.try_retry(&limits, 1.0, START)).count() as f64;
    assert!(granted <= limits.ratio * 100.0 + limits.slack, "{granted} retries exceed the budget");
    assert!(granted >= 50.0, "only {granted} retries");
    let later = START + Duration::from_secs(11);
    assert!(budget.try_retry(&limits, 1.0, later), "the window has passed");
}
