//! The fault matrix: injects every fault before, during and after every step of a protocol.
//!
//! A protocol lists its steps and faults as data and drives the decision code that an instance
//! runs. The runner injects each fault at each point, alone and in pairs. It checks all invariants
//! after each event and, at the end, that the protocol has recovered.

use std::fmt::Debug;

/// A protocol under test, with fakes at its interfaces and a virtual clock.
pub trait Protocol: Sized {
    /// Kinds of faults that may be injected.
    type Fault: Copy + Debug + 'static;

    /// Name of the protocol, which ends the name of its test.
    const NAME: &'static str;

    /// Names of the steps, in their order.
    const STEPS: &'static [&'static str];

    /// All faults that are injected.
    const FAULTS: &'static [Self::Fault];

    /// Creates the protocol in its initial state.
    fn start() -> Self;

    /// Begins a step: its messages are sent, but none has been replied to.
    fn begin(&mut self, step: usize);

    /// Ends a step: its messages arrive and are replied to.
    fn end(&mut self, step: usize);

    /// Injects a fault.
    fn inject(&mut self, fault: Self::Fault);

    /// Checks the invariants that must hold at any time.
    fn check(&self) -> Result<(), String>;

    /// Ends all faults and lets the protocol recover.
    fn settle(&mut self);

    /// Checks the conditions that must hold after recovery.
    fn check_settled(&self) -> Result<(), String>;
}

/// A point in a protocol at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Point {
    /// Before the step begins.
    Before(usize),
    /// Between the beginning and the end of the step.
    During(usize),
    /// After the end of the step.
    After(usize),
}

/// Runs the protocol without faults, then with each fault and each pair of faults at all points.
///
/// The environment variable `MATRIX_CASE=NUMBER` selects a single case.
pub fn run_all<P: Protocol>() {
    let only: Option<usize> = std::env::var("MATRIX_CASE").ok().and_then(|n| n.parse().ok());
    let cases = cases::<P>();
    for (number, case) in cases.iter().enumerate() {
        if only.is_some_and(|only| only != number) {
            continue;
        }
        if let Err(reason) = run_case::<P>(case) {
            panic!(
                "{}: {reason}\ncase {number}: {case:?}\nreplay: MATRIX_CASE={number} cargo test \
                 --test kernel matrix_{}",
                P::NAME,
                P::NAME
            );
        }
    }
    println!("{}: {} cases", P::NAME, cases.len());
}

/// The faults of one run, each with its point.
type Case<P> = Vec<(Point, <P as Protocol>::Fault)>;

fn cases<P: Protocol>() -> Vec<Case<P>> {
    let points = (0..P::STEPS.len())
        .flat_map(|step| [Point::Before(step), Point::During(step), Point::After(step)]);
    let singles: Vec<(Point, P::Fault)> =
        points.flat_map(|point| P::FAULTS.iter().map(move |fault| (point, *fault))).collect();
    let mut cases: Vec<Case<P>> = vec![Vec::new()];
    cases.extend(singles.iter().map(|single| vec![*single]));
    for (i, first) in singles.iter().enumerate() {
        cases.extend(singles[i..].iter().map(|second| vec![*first, *second]));
    }
    cases
}

fn run_case<P: Protocol>(case: &Case<P>) -> Result<(), String> {
    let mut protocol = P::start();
    for step in 0..P::STEPS.len() {
        inject_at(&mut protocol, case, Point::Before(step))?;
        protocol.begin(step);
        check(&protocol, step)?;
        inject_at(&mut protocol, case, Point::During(step))?;
        protocol.end(step);
        check(&protocol, step)?;
        inject_at(&mut protocol, case, Point::After(step))?;
    }
    protocol.settle();
    protocol.check().map_err(|reason| format!("after recovery: {reason}"))?;
    protocol.check_settled().map_err(|reason| format!("not recovered: {reason}"))
}

fn inject_at<P: Protocol>(protocol: &mut P, case: &Case<P>, current: Point) -> Result<(), String> {
    for (_, fault) in case.iter().filter(|(point, _)| *point == current) {
        protocol.inject(*fault);
        protocol.check().map_err(|reason| format!("{reason}, after {fault:?} at {current:?}"))?;
    }
    Ok(())
}

fn check<P: Protocol>(protocol: &P, step: usize) -> Result<(), String> {
    protocol.check().map_err(|reason| format!("{reason}, at step {}", P::STEPS[step]))
}
