//! Tests that a response reaches the caller exactly once, in order and complete, or is visibly
//! broken.

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
        "no event follows the last one"
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
fn first_byte_timeout_grows_with_length() {
    let target = Duration::from_secs(1);
    assert!(first_byte_timeout(false, 1_000, target) >= Duration::from_secs(100));
    assert!(first_byte_timeout(true, 1_000, target) <= Duration::from_secs(20));
    assert!(first_byte_timeout(false, u64::MAX, target) > Duration::from_secs(3_600));
}

#[test]
fn timeouts_longer_for_background_work() {
    let minute = Duration::from_secs(60);
    assert!(first_byte_timeout(true, 1, minute) > minute);
    assert!(event_timeout(true) > event_timeout(false));
}

/// Number of events of the complete response, of which the last one ends it.
const EVENTS: u64 = 5;

/// State of the response as the caller sees it.
#[derive(Debug, PartialEq)]
enum Response {
    Open,
    Whole,
    Broken,
}

/// An attempt as the fake endpoint runs it. A message is the number of an event, or zero for the
/// end.
struct Attempt {
    /// Number of the next event.
    next: u64,
    /// Messages that were sent and have not arrived.
    sent: Vec<u64>,
}

/// One stream. Most steps are an event, which is generated at the beginning of the step and
/// delivered at its end.
struct Stream {
    joiner: Joiner,
    attempts: Attempts,
    budget: RetryBudget,
    attempt: Option<Attempt>,
    /// Messages of lost attempts that have not arrived.
    lost_parts: Vec<u64>,
    /// Events that the caller received.
    received: Vec<u64>,
    response: Response,
    caller_left: bool,
    /// Number of events delivered after the caller had left.
    delivered_after_left: usize,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The endpoint crashes.
    EndpointDies,
    /// The endpoint cuts off its response.
    Cut,
    /// The end of the attempt crosses another message; the fake treats this like `Cut`.
    Crossed,
    /// Messages of lost attempts arrive.
    Late,
    /// The latest event arrives once more.
    Duplicate,
    /// Messages that were sent do not arrive.
    Lost,
    /// The link to the instance that runs the attempt is lost.
    LinkLost,
    /// The caller disconnects.
    CallerLeaves,
}

impl Stream {
    /// Lets the endpoint send its next event, or the end after the last event.
    fn generate(&mut self) {
        if let Some(attempt) = &mut self.attempt
            && attempt.next <= EVENTS + 1
        {
            attempt.sent.push(if attempt.next > EVENTS { 0 } else { attempt.next });
            attempt.next += 1;
        }
    }

    /// Delivers all messages that the current attempt sent.
    fn deliver(&mut self) {
        let sent = self.attempt.as_mut().map(|attempt| std::mem::take(&mut attempt.sent));
        for message in sent.unwrap_or_default() {
            self.handle_message(message);
        }
    }

    /// Handles one message as the relay of an instance does.
    fn handle_message(&mut self, message: u64) {
        if self.response != Response::Open {
            return;
        }
        if message == 0 {
            match self.joiner.at_end() {
                AtEnd::Finish => self.response = Response::Whole,
                AtEnd::Lost => self.lose_attempt(Loss::Cut { progress: false }),
            }
            return;
        }
        match self.joiner.accept_part(message, message == EVENTS) {
            PartAction::Deliver => {
                self.received.push(message);
                self.delivered_after_left += usize::from(self.caller_left);
            }
            PartAction::Duplicate => {}
            PartAction::Gap => self.lose_attempt(Loss::LinkLost),
        }
    }

    /// Ends the current attempt as lost and makes the next one, if any.
    fn lose_attempt(&mut self, loss: Loss) {
        // Messages that the lost attempt still sends arrive at an exchange that was dropped.
        let Some(attempt) = self.attempt.take() else { return };
        self.lost_parts.extend(attempt.sent);
        let offset = match self.joiner.after_loss() {
            AfterLoss::Finish => return self.response = Response::Whole,
            AfterLoss::Break => return self.response = Response::Broken,
            AfterLoss::Resume(offset) => offset,
        };
        let now = Time::from_millis(10);
        match self.attempts.next_retry(loss, &mut self.budget, now, 0) {
            Retry::After(_) => {
                self.attempt = Some(Attempt { next: offset + 1, sent: Vec::new() });
            }
            Retry::Stop => self.response = Response::Broken,
        }
    }

    /// Returns whether the caller has received an event.
    fn progress(&self) -> bool {
        !self.received.is_empty()
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
            attempts: Attempts::new(Time::from_millis(20_000)),
            budget: RetryBudget::default(),
            attempt: Some(Attempt { next: 1, sent: Vec::new() }),
            lost_parts: Vec::new(),
            received: Vec::new(),
            response: Response::Open,
            caller_left: false,
            delivered_after_left: 0,
        }
    }

    fn begin(&mut self, step: usize) {
        if Self::STEPS[step] == "resume" {
            self.lose_attempt(Loss::Cut { progress: self.progress() });
        } else if step > 0 {
            self.generate();
        }
    }

    fn end(&mut self, _: usize) {
        self.deliver();
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::EndpointDies => self.lose_attempt(Loss::Crash),
            Fault::Cut | Fault::Crossed => {
                self.lose_attempt(Loss::Cut { progress: self.progress() })
            }
            Fault::LinkLost => self.lose_attempt(Loss::LinkLost),
            // Late parts reach the joiner only if the exchange of a lost attempt was not dropped.
            Fault::Late => {
                for message in std::mem::take(&mut self.lost_parts) {
                    if message > 0 && self.response == Response::Open {
                        let part = self.joiner.accept_part(message, message == EVENTS);
                        if part == PartAction::Deliver {
                            self.received.push(message);
                        }
                    }
                }
            }
            Fault::Duplicate => {
                if let Some(last) = self.received.last().copied() {
                    self.handle_message(last);
                }
            }
            Fault::Lost => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.sent.clear();
                }
            }
            Fault::CallerLeaves => {
                self.caller_left = true;
                self.attempt = None;
                self.response = Response::Broken;
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        let expected: Vec<u64> = (1..=self.received.len() as u64).collect();
        if self.received != expected {
            return Err(format!("the caller received events {:?}", self.received));
        }
        if self.response == Response::Whole && self.received.len() as u64 != EVENTS {
            return Err(format!("the response looks complete with events {:?}", self.received));
        }
        if self.delivered_after_left > 0 {
            Err("delivered events to a caller that had left".to_owned())
        } else {
            Ok(())
        }
    }

    fn settle(&mut self) {
        for _ in 0..100 {
            self.generate();
            self.deliver();
            let ended = self.attempt.as_ref().is_some_and(|attempt| attempt.next > EVENTS + 1);
            if ended && self.response == Response::Open {
                self.lose_attempt(Loss::LinkLost);
            }
        }
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.response == Response::Open {
            Err("the response is neither complete nor broken".to_owned())
        } else {
            Ok(())
        }
    }
}

#[test]
fn matrix_stream() {
    run_all::<Stream>();
}
