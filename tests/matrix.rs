//! The fault matrix: every fault before, during and after every step of a protocol.
//!
//! A protocol lists its steps and faults as data and drives the decision code that a node runs. The
//! runner injects each fault at each place, singly and in pairs, checks all invariants after each
//! event and, at the end, that the protocol recovered.

use std::fmt::Debug;

/// A protocol under test, with its fakes at the interfaces and a virtual clock.
pub trait Protocol: Sized {
    /// Faults of the protocol.
    type Fault: Copy + Debug + 'static;

    /// Name of the protocol.
    const NAME: &'static str;

    /// Steps in their order.
    const STEPS: &'static [&'static str];

    /// Faults.
    const FAULTS: &'static [Self::Fault];

    /// Creates the protocol in its first state.
    fn start() -> Self;

    /// Begins a step: messages are sent, nothing is answered yet.
    fn begin(&mut self, step: usize);

    /// Ends a step: what was sent arrives and is answered.
    fn end(&mut self, step: usize);

    /// Injects a fault.
    fn inject(&mut self, fault: Self::Fault);

    /// Checks what must hold at any moment.
    fn check(&self) -> Result<(), String>;

    /// Lets all faults end and recovery run its course.
    fn settle(&mut self);

    /// Checks what must hold after recovery.
    fn check_settled(&self) -> Result<(), String>;
}

/// A place in a protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Before the step begins.
    Before(usize),
    /// Between its beginning and its end.
    During(usize),
    /// After its end.
    After(usize),
}

/// Runs the protocol without faults, then with every single fault and every pair at every place.
///
/// `MATRIX_CASE=NUMBER` runs one case only.
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

type Case<P> = Vec<(Place, <P as Protocol>::Fault)>;

fn cases<P: Protocol>() -> Vec<Case<P>> {
    let places = (0..P::STEPS.len())
        .flat_map(|step| [Place::Before(step), Place::During(step), Place::After(step)]);
    let singles: Vec<(Place, P::Fault)> =
        places.flat_map(|place| P::FAULTS.iter().map(move |fault| (place, *fault))).collect();
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
        inject_at(&mut protocol, case, Place::Before(step))?;
        protocol.begin(step);
        check(&protocol, step)?;
        inject_at(&mut protocol, case, Place::During(step))?;
        protocol.end(step);
        check(&protocol, step)?;
        inject_at(&mut protocol, case, Place::After(step))?;
    }
    protocol.settle();
    protocol.check().map_err(|reason| format!("after recovery: {reason}"))?;
    protocol.check_settled().map_err(|reason| format!("not recovered: {reason}"))
}

fn inject_at<P: Protocol>(protocol: &mut P, case: &Case<P>, here: Place) -> Result<(), String> {
    for (_, fault) in case.iter().filter(|(place, _)| *place == here) {
        protocol.inject(*fault);
        protocol.check().map_err(|reason| format!("{reason}, after {fault:?} at {here:?}"))?;
    }
    Ok(())
}

fn check<P: Protocol>(protocol: &P, step: usize) -> Result<(), String> {
    protocol.check().map_err(|reason| format!("{reason}, at step {}", P::STEPS[step]))
}
