//! Tests of scaling, which play a load on engines that take a while to boot.

use std::time::Duration;

use cardamomshore::kernel::duties::{
    demand::Demand,
    scaling::{SubjectState, needed},
};

use super::play::{Play, SLOTS, SPEC, WORK, subject};

/// Guards against engines that come too late or not at all for a rise of the load.
#[test]
fn duties_scaling_follows_rise_within_boot_time() {
    let mut play = Play::new(&[("a", 4), ("b", 4)]);
    play.play(Duration::from_secs(30), |_, _| 10.0);
    // Four times the load within 10 s.
    play.play(Duration::from_secs(10), |_, at| 10.0 + 3.0 * at);
    play.play(Duration::from_secs(12), |_, _| 40.0);
    play.take_longest_wait("a");
    play.play(Duration::from_secs(20), |_, _| 40.0);
    let wait = play.take_longest_wait("a");
    assert!(wait < Duration::from_millis(500), "waits of {wait:?} 12 s after the rise");
}

/// Guards against idle engines that are billed for the whole day, those at the start included.
#[test]
fn duties_scaling_releases_idle_engines() {
    let mut play = Play::new(&[("a", 20), ("b", 20)]);
    play.play(Duration::from_secs(60), |_, _| 8.0);
    // 8 requests a second of half a second fill one engine; the loss of a data centre takes two and
    // a bit.
    for name in ["a", "b"] {
        assert!((2..=4).contains(&play.ready(name)), "{} engines in {name}", play.ready(name));
    }
    assert!(play.take_longest_wait("a") < Duration::from_millis(200));
}

/// Guards against orders up and down under a load that swings around one level.
#[test]
fn duties_scaling_does_not_oscillate() {
    let mut play = Play::new(&[("a", 4), ("b", 4)]);
    let swing = |at: f64| 16.0 + 1.5 * (at * std::f64::consts::TAU / 12.0).sin();
    play.play(Duration::from_secs(60), |_, at| swing(at));
    play.sites.values_mut().for_each(|site| site.orders.clear());
    play.play(Duration::from_secs(120), |_, at| swing(at));
    for (name, site) in &play.sites {
        assert!(site.orders.len() <= 1, "orders {:?} in {name}", site.orders);
    }
}

/// Guards against a loss of one data centre that the others cannot bear.
#[test]
fn duties_scaling_floor_covers_loss_of_data_centre() {
    for rates in [[16.0, 16.0, 16.0], [40.0, 4.0, 4.0]] {
        let states = ["a", "b", "c"].into_iter().zip(rates).map(|(name, rate)| {
            let demand = Demand { rate, work: WORK, ..Demand::default() };
            (subject(name), SubjectState { demand, ready: 1, leaving: 0, slots: SLOTS })
        });
        let needed = needed(&states.collect(), &SPEC, 0.7);
        let total = rates.iter().sum::<f64>() * WORK.as_secs_f64() / f64::from(SLOTS);
        for lost in needed.keys() {
            let rest: u32 = needed.iter().filter(|(it, _)| *it != lost).map(|(_, n)| n).sum();
            assert!(f64::from(rest) >= total, "{rest} engines left of {needed:?} for {total}");
        }
    }
}

/// Guards against engines that stay where the demand was.
#[test]
fn duties_scaling_follows_demand_to_another_data_centre() {
    let mut play = Play::new(&[("a", 8), ("b", 2), ("c", 2)]);
    play.play(Duration::from_secs(40), |name, _| if name == "a" { 40.0 } else { 2.0 });
    let before = play.ready("a");
    play.play(Duration::from_secs(50), |name, _| if name == "b" { 40.0 } else { 2.0 });
    assert!(play.ready("b") > play.ready("a"), "{} and {}", play.ready("b"), play.ready("a"));
    assert!(play.ready("a") < before);
    play.take_longest_wait("b");
    play.play(Duration::from_secs(10), |name, _| if name == "b" { 40.0 } else { 2.0 });
    assert!(play.take_longest_wait("b") < Duration::from_millis(300));
}

/// Guards against a new holder that releases engines before it has measured, or that cancels those
/// which still boot.
#[test]
fn duties_scaling_new_holder_keeps_engines() {
    let mut play = Play::new(&[("a", 6), ("b", 6)]);
    play.play(Duration::from_secs(30), |_, _| 30.0);
    let before = play.ready("a");
    play.change_holder();
    play.play(Duration::from_secs(15), |_, _| 30.0);
    assert!(play.ready("a") >= before, "{} of {before}", play.ready("a"));
}

/// Guards against orders outside the bounds of the configuration.
#[test]
fn duties_scaling_keeps_bounds() {
    let mut play = Play::new(&[("a", 1), ("b", 1)]);
    play.play(Duration::from_secs(30), |_, _| 300.0);
    assert!(play.sites.values().flat_map(|site| &site.orders).all(|count| *count <= SPEC.max));
    play.play(Duration::from_secs(90), |_, _| 0.0);
    assert!(play.sites.values().flat_map(|site| &site.orders).all(|count| *count >= SPEC.min));
}

/// Guards against engines that are ordered for the load of now, although it will have risen once they
/// serve. Without other data centres there is no spare capacity for their loss.
#[test]
fn duties_scaling_is_ahead_of_steady_rise() {
    let mut play = Play::new(&[("a", 4)]);
    play.play(Duration::from_secs(30), |_, _| 30.0);
    play.take_longest_wait("a");
    play.play(Duration::from_secs(20), |_, at| 30.0 + 4.0 * at);
    let wait = play.take_longest_wait("a");
    // Measured: 100 ms, and 1.2 s without the trend.
    assert!(wait < Duration::from_millis(400), "waits of {wait:?} during the rise");
}

/// Guards against orders up and down under a load that swings more slowly than engines are released.
#[test]
fn duties_scaling_does_not_follow_slow_swing() {
    let mut play = Play::new(&[("a", 6)]);
    let swing = |at: f64| 30.0 + 3.0 * (at * std::f64::consts::TAU / 80.0).sin();
    play.play(Duration::from_secs(80), |_, at| swing(at));
    play.sites.values_mut().for_each(|site| site.orders.clear());
    play.play(Duration::from_secs(240), |_, at| swing(at));
    let orders = &play.sites["a"].orders;
    assert!(orders.len() <= 1, "orders {orders:?}");
}

/// Guards against engines that are billed for noise alone, and against waits in it: independent callers
/// at a constant rate.
#[test]
fn duties_scaling_bounds_cost_of_noise() {
    // Requests a second, and engines that may be billed for each one that the load fills. Few requests
    // need relatively more, since their number varies more.
    for (rate, most) in [(8.0, 6.0), (32.0, 4.0), (100.0, 3.0)] {
        let mut play = Play::new(&[("a", 4)]).with_noise(7);
        play.play(Duration::from_secs(60), |_, _| rate);
        play.forget();
        play.play(Duration::from_secs(300), |_, _| rate);
        let full = rate * WORK.as_secs_f64() / f64::from(SLOTS);
        let billed = play.sites["a"].billed / 300.0 / full;
        let (orders, wait) = (play.sites["a"].orders.len(), play.wait("a", 0.99));
        assert!(billed < most, "{billed} engines for each full one at {rate}");
        assert!(orders <= 15, "{orders} orders in 5 min at {rate}");
        assert!(wait <= WORK / 2, "waits of {wait:?} at {rate}");
    }
}

/// Guards against a lost data centre whose callers the others cannot serve, and against engines that
/// are released there before it is back.
#[test]
fn duties_scaling_lost_data_centre_is_borne() {
    let mut play = Play::new(&[("a", 6), ("b", 6)]);
    play.play(Duration::from_secs(60), |_, _| 30.0);
    play.forget();
    play.lose("a", "b");
    play.play(Duration::from_secs(20), |_, _| 30.0);
    let (wait, most) = (play.wait("b", 0.95), play.wait("b", 1.0));
    assert!(wait <= WORK, "waits of {wait:?}, {most:?} at most");
    play.forget();
    play.play(Duration::from_secs(60), |_, _| 30.0);
    assert!(play.wait("b", 0.99) <= WORK / 2, "the load is borne for good");
    assert!(play.sites["a"].orders.iter().all(|count| *count >= 1));
}

/// Guards against engines that leave at short notice and are replaced only after several boot times.
#[test]
fn duties_scaling_replaces_engines_that_leave() {
    let notice = Duration::from_secs(5);
    for (notice, counts_leaving) in [(Duration::ZERO, true), (notice, true), (notice, false)] {
        let mut play = Play::new(&[("a", 12)]).with_noise(5);
        play.counts_leaving = counts_leaving;
        play.play(Duration::from_secs(60), |_, _| 50.0);
        let before = play.ready("a");
        play.leave("a", before / 2, notice);
        // A platform that counts an engine until its end replaces it only then.
        let counted = if counts_leaving { notice } else { Duration::ZERO };
        play.play(counted + SPEC.boot + Duration::from_secs(1), |_, _| 50.0);
        assert!(play.ready("a") >= before * 9 / 10, "{} of {before} engines", play.ready("a"));
    }
}
