//! An answer reaches the caller exactly once, in order and whole, or visibly broken.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::{
        retry::{Attempts, Loss, Retry, RetryBudget},
        stream::{AfterLoss, AtEnd, Joiner, PartAction, event_timeout, first_byte_timeout},
    },
};

use crate::matrix::{Protocol, run_all};

#[test]
fn part_in_order() {
    let mut joiner = Joiner::default();
    assert_eq!(joiner.accept_part(1, false), PartAction::Deliver);
    assert_eq!(joiner.accept_part(1, false), PartAction::Duplicate);
    assert_eq!(joiner.accept_part(3, false), PartAction::Gap);
    assert_eq!(joiner.accept_part(2, true), PartAction::Deliver);
    assert_eq!(
        joiner.accept_part(3, false),
        PartAction::Duplicate,
        "nothing follows the last event"
    );
    assert_eq!((joiner.at_end(), joiner.after_loss()), (AtEnd::Finish, AfterLoss::Finish));
}

#[test]
fn part_raw_not_resumed() {
    let mut joiner = Joiner::default();
    assert_eq!(joiner.accept_part(0, false), PartAction::Deliver);
    assert_eq!(joiner.after_loss(), AfterLoss::Break);
    assert_eq!(joiner.accept_part(1, false), PartAction::Gap);
}

#[test]
fn part_raw_after_events() {
    let mut joiner = Joiner::default();
    joiner.accept_part(1, false);
    assert_eq!(joiner.accept_part(0, false), PartAction::Gap);
}

#[test]
fn end_without_last_event() {
    let mut joiner = Joiner::default();
    joiner.accept_part(1, false);
    assert_eq!((joiner.at_end(), joiner.after_loss()), (AtEnd::Lost, AfterLoss::Resume(1)));
}

#[test]
fn first_bound_explains_length() {
    let target = Duration::from_secs(1);
    assert!(first_byte_timeout(false, 1_000, target) >= Duration::from_secs(100));
    assert!(first_byte_timeout(true, 1_000, target) <= Duration::from_secs(20));
    assert!(first_byte_timeout(false, u64::MAX, target) > Duration::from_secs(3_600));
}

#[test]
fn bounds_leave_background_work_its_time() {
    let minute = Duration::from_secs(60);
    assert!(first_byte_timeout(true, 1, minute) > minute);
    assert!(event_timeout(true) > event_timeout(false));
}

/// Events of the whole answer; the last one closes it.
const EVENTS: u64 = 5;

/// What the caller sees of its answer.
#[derive(Debug, PartialEq)]
enum Body {
    Open,
    Whole,
    Broken,
}

/// An attempt as the fake endpoint runs it: a message is an event's number, zero the end.
struct Attempt {
    next: u64,
    sent: Vec<u64>,
}

/// One stream; each step is an event, generated at the beginning and delivered at the end.
struct Stream {
    joiner: Joiner,
    tries: Attempts,
    budget: RetryBudget,
    attempt: Option<Attempt>,
    old: Vec<u64>,
    got: Vec<u64>,
    body: Body,
    left: bool,
    after_left: usize,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    EndpointDies,
    Cut,
    Crossed,
    Late,
    Duplicate,
    Lost,
    LinkLost,
    CallerLeaves,
}

impl Stream {
    fn generate(&mut self) {
        if let Some(attempt) = &mut self.attempt
            && attempt.next <= EVENTS + 1
        {
            attempt.sent.push(if attempt.next > EVENTS { 0 } else { attempt.next });
            attempt.next += 1;
        }
    }

    fn deliver(&mut self) {
        let sent = self.attempt.as_mut().map(|attempt| std::mem::take(&mut attempt.sent));
        for message in sent.unwrap_or_default() {
            self.take(message);
        }
    }

    /// Does what the relay of a node does with one message.
    fn take(&mut self, message: u64) {
        if self.body != Body::Open {
            return;
        }
        if message == 0 {
            match self.joiner.at_end() {
                AtEnd::Finish => self.body = Body::Whole,
                AtEnd::Lost => self.lose(Loss::Cut { progress: false }),
            }
            return;
        }
        match self.joiner.accept_part(message, message == EVENTS) {
            PartAction::Deliver => {
                self.got.push(message);
                self.after_left += usize::from(self.left);
            }
            PartAction::Duplicate => {}
            PartAction::Gap => self.lose(Loss::LinkLost),
        }
    }

    fn lose(&mut self, loss: Loss) {
        // What the lost attempt still sends arrives at an exchange that was dropped.
        let Some(attempt) = self.attempt.take() else { return };
        self.old.extend(attempt.sent);
        let offset = match self.joiner.after_loss() {
            AfterLoss::Finish => return self.body = Body::Whole,
            AfterLoss::Break => return self.body = Body::Broken,
            AfterLoss::Resume(offset) => offset,
        };
        let now = Time::from_millis(10);
        match self.tries.next_retry(loss, &mut self.budget, now, 0) {
            Retry::After(_) => {
                self.attempt = Some(Attempt { next: offset + 1, sent: Vec::new() });
            }
            Retry::Stop => self.body = Body::Broken,
        }
    }

    fn progress(&self) -> bool {
        !self.got.is_empty()
    }
}

impl Protocol for Stream {
    type Fault = Fault;

    const NAME: &'static str = "stream";
    const STEPS: &'static [&'static str] =
        &["open", "first byte", "mid-stream", "resume", "mid-stream again", "last byte", "end"];
    const FAULTS: &'static [Fault] = &[
        Fault::EndpointDies,
        Fault::Cut,
        Fault::Crossed,
        Fault::Late,
        Fault::Duplicate,
        Fault::Lost,
        Fault::LinkLost,
        Fault::CallerLeaves,
    ];

    fn start() -> Self {
        Self {
            joiner: Joiner::default(),
            tries: Attempts::new(Time::from_millis(20_000)),
            budget: RetryBudget::default(),
            attempt: Some(Attempt { next: 1, sent: Vec::new() }),
            old: Vec::new(),
            got: Vec::new(),
            body: Body::Open,
            left: false,
            after_left: 0,
        }
    }

    fn begin(&mut self, step: usize) {
        if Self::STEPS[step] == "resume" {
            self.lose(Loss::Cut { progress: self.progress() });
        } else if step > 0 {
            self.generate();
        }
    }

    fn end(&mut self, _: usize) {
        self.deliver();
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::EndpointDies => self.lose(Loss::Crash),
            Fault::Cut | Fault::Crossed => self.lose(Loss::Cut { progress: self.progress() }),
            Fault::LinkLost => self.lose(Loss::LinkLost),
            // Late parts of lost attempts meet the joiner only if an exchange were not dropped.
            Fault::Late => {
                for message in std::mem::take(&mut self.old) {
                    if message > 0 && self.body == Body::Open {
                        let part = self.joiner.accept_part(message, message == EVENTS);
                        if part == PartAction::Deliver {
                            self.got.push(message);
                        }
                    }
                }
            }
            Fault::Duplicate => {
                if let Some(last) = self.got.last().copied() {
                    self.take(last);
                }
            }
            Fault::Lost => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.sent.clear();
                }
            }
            Fault::CallerLeaves => {
                self.left = true;
                self.attempt = None;
                self.body = Body::Broken;
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        let expected: Vec<u64> = (1..=self.got.len() as u64).collect();
        if self.got != expected {
            return Err(format!("caller got {:?}", self.got));
        }
        if self.body == Body::Whole && self.got.len() as u64 != EVENTS {
            return Err(format!("looks whole with {:?}", self.got));
        }
        if self.after_left > 0 { Err("served a caller that left".to_owned()) } else { Ok(()) }
    }

    fn settle(&mut self) {
        for _ in 0..100 {
            self.generate();
            self.deliver();
            let over = self.attempt.as_ref().is_some_and(|attempt| attempt.next > EVENTS + 1);
            if over && self.body == Body::Open {
                self.lose(Loss::LinkLost);
            }
        }
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.body == Body::Open { Err("neither whole nor broken".to_owned()) } else { Ok(()) }
    }
}

#[test]
fn matrix_stream() {
    run_all::<Stream>();
}
