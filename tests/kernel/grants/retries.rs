//! Retry budgets across changes of the leader.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{GrantRequest, Mode, Outcome, Scheduler},
};

use super::fleet::{
    LEADING, START, desk, end_request, granted, key, limits, plain_request, scheduler,
};

/// Requests of callers in the window.
const REQUESTS: u64 = 20;

/// Requests and retries that were granted.
#[derive(Default)]
struct Granted {
    requests: u32,
    retries: u32,
}

impl Granted {
    /// Returns the retries that the platform tolerates in a window.
    fn tolerated(&self) -> u32 {
        let limits = limits().retries;
        (limits.ratio * f64::from(self.requests) + limits.slack) as u32
    }
}

/// Submits [`REQUESTS`] requests to a scheduler and retries each ten times; adds what was granted.
fn flood(scheduler: &mut Scheduler, first: u64, now: Time, total: &mut Granted) {
    for number in 0..REQUESTS * 11 {
        let is_retry = number >= REQUESTS;
        let request = GrantRequest { is_retry, ..plain_request(now) };
        let service = request.service.clone();
        let number = first + number;
        let actions = scheduler.handle_request(key(number), request, now);
        if granted(&actions).is_none() {
            continue;
        }
        scheduler.record_own_grant(service, is_retry, now);
        end_request(scheduler, number, Outcome::Failed, now);
        total.requests += u32::from(!is_retry);
        total.retries += u32::from(is_retry);
    }
}

#[test]
fn retries_across_change_of_leader_within_budget() {
    let mut total = Granted::default();
    let mut first = scheduler(LEADING, vec![desk("d1")]);
    flood(&mut first, 0, START, &mut total);
    let now = START + Duration::from_secs(2);
    let mut next = scheduler(LEADING, vec![desk("d1")]);
    next.add_retry_usage(first.retry_usage(now), now);
    flood(&mut next, 1_000, now, &mut total);
    assert!(total.retries <= total.tolerated(), "{} of {}", total.retries, total.tolerated());
    assert!(total.retries >= total.tolerated() / 2, "the budget is used: {}", total.retries);
}

#[test]
fn retries_after_loss_of_leader_within_budget() {
    let mut total = Granted::default();
    let mut alone = scheduler(Mode::Alone { share: 1.0 }, vec![desk("d1")]);
    for number in 0..50 {
        // A leader has granted these.
        alone.record_own_grant("desk".into(), true, START);
        total.retries += 1;
        total.requests += u32::from(number % 5 == 0);
    }
    alone.restart_retries();
    flood(&mut alone, 0, START + Duration::from_secs(2), &mut total);
    assert!(total.retries <= total.tolerated(), "{} of {}", total.retries, total.tolerated());
}

#[test]
fn retries_of_earlier_window_forgotten() {
    let mut total = Granted::default();
    let mut first = scheduler(LEADING, vec![desk("d1")]);
    flood(&mut first, 0, START, &mut total);
    let now = START + Duration::from_secs(12);
    assert!(first.retry_usage(now).is_empty());
    let mut again = Granted::default();
    flood(&mut first, 1_000, now, &mut again);
    assert_eq!(again.retries, total.retries);
}

#[test]
fn retries_of_former_leader_counted_by_their_instances() {
    let mut leader = scheduler(LEADING, vec![desk("d1")]);
    for number in 0..40 {
        // Requests of a peer, which reports them to the next leader itself.
        let request = GrantRequest { is_retry: true, ..plain_request(START) };
        leader.handle_request(key(number), request, START);
    }
    leader.set_mode(Mode::Alone { share: 1.0 }, START);
    assert!(leader.retry_usage(START).is_empty());
}
