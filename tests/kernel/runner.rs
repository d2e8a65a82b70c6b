//! Tests that the runner of the fault matrix finds a defect in a protocol.

use crate::matrix::{Protocol, run_all};

/// A protocol that counts to three. Unless `SOUND`, a fault after two resets its count.
struct Counter<const SOUND: bool> {
    count: u32,
    steps: u32,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Slip,
}

impl<const SOUND: bool> Protocol for Counter<SOUND> {
    type Fault = Fault;

    const NAME: &'static str = "runner";
    const STEPS: &'static [&'static str] = &["one", "two", "three"];
    const FAULTS: &'static [Fault] = &[Fault::Slip];

    fn start() -> Self {
        Self { count: 0, steps: 0 }
    }

    fn begin(&mut self, _: usize) {
        self.steps += 1;
    }

    fn end(&mut self, _: usize) {
        self.count += 1;
    }

    fn inject(&mut self, _: Fault) {
        if !SOUND && self.count == 2 {
            self.count = 0;
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.count + 1 >= self.steps { Ok(()) } else { Err("lost count".to_owned()) }
    }

    fn settle(&mut self) {}

    fn check_settled(&self) -> Result<(), String> {
        if self.count == 3 { Ok(()) } else { Err(format!("ended at {}", self.count)) }
    }
}

#[test]
fn matrix_runner_sound() {
    run_all::<Counter<true>>();
}

#[test]
#[should_panic(expected = "lost count")]
fn matrix_runner_finds_fault() {
    run_all::<Counter<false>>();
}
