//! What the leader reports of teams that are refused by their rate.

use std::time::Duration;

use cardamomshore::kernel::grants::Outcome;

use super::fleet::{LEADING, START, catalog, desk, end_request, key, plain_request, scheduler};

#[test]
fn refused_team_reported_with_what_it_got() {
    // Guards against a report that counts refunded tokens as used: a team would seem to be at its rate.
    let mut scheduler = scheduler(LEADING, vec![desk("d1")]);
    scheduler.set_catalog(catalog(100.0));
    let requests = 2_000;
    for number in 0..requests {
        scheduler.handle_request(key(number), plain_request(START), START);
    }
    end_request(&mut scheduler, 0, Outcome::Full, START + Duration::from_millis(1));
    let reported = scheduler.take_refused_teams();
    let (team, used) = reported.first().expect("the team was refused");
    assert_eq!(&**team, "shop");
    assert_eq!(used.rate, 100.0);
    assert_eq!(used.asked, requests * 200);
    assert_eq!(used.admitted + used.refused * 200, used.asked);
    assert!(used.refunded >= 200, "{used:?}");
    assert!(scheduler.take_refused_teams().is_empty(), "reported once");
}
