//! One connection of a client: what it does, and how soon it is closed.

use std::{net::IpAddr, time::Duration};

use super::{CONNECTION_BYTES, Cause, limits::*};
use crate::clock::Time;

/// Least age of a connection that has sent no whole request, before it may give up its socket. A caller
/// sends its head with the connection or a round trip later.
const MIN_FRESH_AGE: Duration = Duration::from_millis(50);

/// The same for a connection of another instance, which may be paused or have little processor time.
const MIN_HELLO_AGE: Duration = Duration::from_millis(250);

/// Least time for which a connection was idle after a request before it may give up its socket.
const MIN_IDLE: Duration = Duration::from_millis(250);

/// Least time without progress from which a body or a reader counts as stalled when bytes or sockets are
/// short.
const MIN_STALL: Duration = Duration::from_secs(1);

/// Least bytes beyond those of an idle connection, for which it is worth closing one.
const MIN_WORTH: usize = 2 << 10;

/// What the client of a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It sends a head, or nothing yet.
    Head,
    /// It sends a body.
    Body,
    /// It waits for a response or receives one.
    Running,
}

/// How soon a connection is closed: first its class, the highest first, then its slowness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It is slow, but makes progress; microseconds for each kilobyte.
    Slow(u64),
    /// It has been idle since its last request; microseconds.
    Idle(u64),
    /// It makes no progress; microseconds.
    Stalled(u64),
    /// It has not sent a whole head since it was opened, or since its first bytes; microseconds.
    Fresh(u64),
}

/// A connection of a client.
#[derive(Debug)]
pub struct Connection {
    pub listener: Listener,
    pub peer: IpAddr,
    pub phase: Phase,
    /// When the phase began; that of a head with its first byte.
    pub since: Time,
    /// When the client last sent or took something.
    pub progress_at: Time,
    /// Bytes that arrived in this phase.
    pub arrived: usize,
    /// Bytes that arrived beyond the request that runs.
    pub ahead: usize,
    /// Bytes of a response that was read as a whole and is not output yet.
    pub held: usize,
    /// Bytes that wait to be written.
    pub output: usize,
    /// All bytes that count for the connection.
    pub bytes: usize,
    /// Whether a request was served on it.
    pub is_used: bool,
    /// Whether it waits for this process and not for its client.
    pub is_waiting: bool,
    /// Whether it is being closed.
    pub closing: bool,
}

impl Connection {
    pub fn new(listener: Listener, peer: IpAddr, now: Time) -> Self {
        Self {
            listener,
            peer,
            phase: Phase::Head,
            since: now,
            progress_at: now,
            arrived: 0,
            ahead: 0,
            held: 0,
            output: 0,
            bytes: 0,
            is_used: false,
            is_waiting: false,
            closing: false,
        }
    }

    /// Records bytes that were read. Returns how many of them count at once.
    pub fn read(&mut self, bytes: usize, now: Time) -> usize {
        self.progress_at = now;
        match self.phase {
            Phase::Head => {
                if self.arrived == 0 {
                    self.since = now;
                }
                self.arrived += bytes;
                bytes
            }
            // The body itself is counted where it is kept.
            Phase::Body => {
                self.arrived += bytes;
                0
            }
            Phase::Running => {
                self.ahead += bytes;
                bytes
            }
        }
    }

    /// Begins a request whose head needs `bytes`. Returns the change of the connection's bytes.
    pub fn begin(&mut self, bytes: usize, now: Time) -> isize {
        let before = self.bytes;
        self.phase = Phase::Body;
        self.since = now;
        self.progress_at = now;
        (self.arrived, self.ahead) = (0, 0);
        self.is_used = true;
        (CONNECTION_BYTES + self.output + bytes) as isize - before as isize
    }

    /// Ends a request. Returns the change of the connection's bytes.
    pub fn end(&mut self, now: Time) -> isize {
        let before = self.bytes;
        self.phase = Phase::Head;
        self.since = now;
        self.progress_at = now;
        self.is_waiting = false;
        self.held = 0;
        self.arrived = std::mem::take(&mut self.ahead);
        (CONNECTION_BYTES + self.output + self.arrived) as isize - before as isize
    }

    /// Returns the time since the client last sent or took something.
    fn stalled(&self, now: Time) -> Duration {
        now.since(self.progress_at)
    }

    /// Returns whether the connection waits for its client.
    fn waits_for_client(&self) -> bool {
        match self.phase {
            Phase::Head => true,
            Phase::Body => !self.is_waiting,
            Phase::Running => self.output > 0,
        }
    }

    /// Returns how soon the connection is closed when sockets are short; `None` if it must not be.
    pub fn socket_rank(&self, now: Time) -> Option<Rank> {
        let stalled = self.stalled(now);
        if self.phase == Phase::Head && self.output == 0 {
            let age = now.since(self.since);
            let is_hello = self.listener == Listener::Hellos;
            let least_age = if is_hello { MIN_HELLO_AGE } else { MIN_FRESH_AGE };
            return match (self.is_used, self.arrived > 0) {
                (false, _) | (true, true) if age >= least_age => Some(Rank::Fresh(micros(age))),
                (true, false) if stalled >= MIN_IDLE => Some(Rank::Idle(micros(stalled))),
                _ => None,
            };
        }
        self.slow_rank(now)
    }

    /// Returns how soon the connection is closed when bytes are short; `None` if it must not be.
    pub fn byte_rank(&self, now: Time) -> Option<Rank> {
        if self.bytes < CONNECTION_BYTES + MIN_WORTH {
            return None;
        }
        self.slow_rank(now)
    }

    fn slow_rank(&self, now: Time) -> Option<Rank> {
        if !self.waits_for_client() {
            return None;
        }
        let (stalled, age) = (self.stalled(now), now.since(self.since));
        if stalled >= MIN_STALL {
            return Some(Rank::Stalled(micros(stalled)));
        }
        // A reader whose output moves is as fast as its network.
        let is_slow = self.phase != Phase::Running && self.output == 0 && age >= MIN_STALL;
        is_slow.then(|| Rank::Slow(micros(age) / (self.arrived as u64 / 1_024 + 1)))
    }

    /// Returns why the connection is closed whatever the load is; `None` if it is not.
    pub fn expiry(&self, timeouts: Timeouts, now: Time) -> Option<Cause> {
        // Twice the timeouts, since the process itself may have been paused or late.
        let (stalled, idle) = (self.stalled(now), timeouts.idle * 2);
        match self.phase {
            _ if self.output > 0 => (stalled > idle).then_some(Cause::StalledReader),
            Phase::Head => {
                let is_slow = self.arrived > 0 && now.since(self.since) > timeouts.header * 2;
                is_slow.then_some(Cause::SlowHead)
            }
            Phase::Body if !self.is_waiting && stalled > idle => Some(Cause::StalledBody),
            Phase::Body | Phase::Running => None,
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
