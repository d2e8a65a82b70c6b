//! Decides which connections and bytes of clients a process takes, and what it closes first.
//!
//! All listeners share one budget of sockets and one of bytes. While both last, nothing is refused.
//! When one is short, idle and stalled connections are closed before anything else, then the slowest
//! ones; a request that an endpoint runs is never closed for it. This code runs for each read and write
//! of each connection. Choosing what to close looks at all connections, of which there are some
//! thousands at most, and happens only while a budget is short.

mod connection;
mod limits;
mod table;

use std::{collections::HashMap, net::IpAddr, time::Duration};

use self::connection::{Connection, Phase, Rank};
pub use self::limits::{IntakeLimits, Listener, Timeouts};
use self::table::Table;
use crate::clock::Time;

/// Memory of an open connection beyond what is counted for its request: its task and its first buffers.
pub const CONNECTION_BYTES: usize = 16 << 10;

/// Largest read buffer of a connection, which a body that arrives needs beside its own bytes.
pub const READ_BUFFER_BYTES: usize = 64 << 10;

/// Longest time for which a body waits for bytes before its request is refused.
pub const MAX_BODY_WAIT: Duration = Duration::from_secs(2);

/// Number of a connection. It is not given to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Why a connection is closed before its client ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Sockets are short.
    Sockets,
    /// Bytes are short.
    Bytes,
    /// A head was not complete in time.
    SlowHead,
    /// Nothing of a body arrived for too long.
    StalledBody,
    /// Nothing of a response was taken for too long.
    StalledReader,
}

/// A connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// The connection.
    pub id: ConnectionId,
    /// Why it is closed.
    pub cause: Cause,
}

/// What to do with a connection that a client has opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Serve it, and close another one first where one is named.
    Admit(ConnectionId, Option<Close>),
    /// Leave it in the queue of the operating system until a socket is free.
    Wait,
}

/// What to do with bytes that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// Keep them.
    Granted,
    /// Read no further until bytes are free, and close these connections.
    Wait(Vec<Close>),
}

/// What to do with a request whose body is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Serve it, and close another connection where one is named.
    Run(Option<Close>),
    /// Refuse it; it has not run.
    Refuse,
}

/// The connections of a process and what they use of its budget.
#[derive(Debug)]
pub struct Intake {
    limits: IntakeLimits,
    connections: Table,
    /// Bytes that all connections use.
    used: usize,
    /// Bytes of the connections that are being closed.
    freeing: usize,
    /// Connections of each peer address.
    peers: HashMap<IpAddr, usize>,
    /// Open connections of each listener, and those that are being closed.
    open: HashMap<Listener, (usize, usize)>,
    /// Requests that may have a connection to an endpoint.
    running: usize,
    /// When connections are looked through again for one to close, after none was found.
    next_scan_at: Time,
}

/// Time after which connections are looked through again for one to close, after none was found. Under
/// overload each request that waits would look through all connections otherwise.
const SCAN_INTERVAL: Duration = Duration::from_millis(20);

impl Intake {
    /// Returns a budget without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: Table::default(),
            used: 0,
            freeing: 0,
            peers: HashMap::new(),
            open: HashMap::new(),
            running: 0,
            next_scan_at: Time::default(),
        }
    }

    /// Returns the bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Decides on a connection that a client has opened.
    pub fn open(&mut self, listener: Listener, peer: IpAddr, now: Time) -> Opening {
        let of_peer = self.peers.get(&peer).copied().unwrap_or_default();
        let peer_full = listener.is_shared() && of_peer >= self.limits.peer_sockets();
        let mut close = None;
        if peer_full || !self.has_socket(listener) {
            let of_group = |it: &Connection| {
                it.listener.shares_with(listener) && (!peer_full || it.peer == peer)
            };
            let closing: usize = self.open.values().map(|(_, closing)| closing).sum();
            // Closing takes a moment, in which the connection still has its socket.
            if closing >= self.limits.closing_sockets() {
                return Opening::Wait;
            }
            let Some(id) = self.choose(of_group, |it| it.socket_rank(now), now) else {
                return Opening::Wait;
            };
            close = Some(self.close(id, Cause::Sockets));
        }
        let id = self.connections.insert(Connection::new(listener, peer, now));
        self.open.entry(listener).or_default().0 += 1;
        *self.peers.entry(peer).or_default() += 1;
        self.add_bytes(id, CONNECTION_BYTES as isize);
        Opening::Admit(id, close)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.stop_running(id);
        let bytes = self.connections.get(&id).map_or(0, |it| it.bytes);
        self.add_bytes(id, -(bytes as isize));
        let Some(connection) = self.connections.remove(&id) else { return };
        let (open, closing) = self.open.entry(connection.listener).or_default();
        *open -= 1;
        if connection.closing {
            *closing -= 1;
        }
        if let Some(count) = self.peers.get_mut(&connection.peer) {
            *count -= 1;
            if *count == 0 {
                self.peers.remove(&connection.peer);
            }
        }
    }

    /// Records bytes that were read from a connection.
    pub fn record_read(&mut self, id: ConnectionId, bytes: usize, now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let kept = connection.read(bytes, now);
        self.add_bytes(id, kept as isize);
    }

    /// Records bytes of a response that wait to be written, and returns what to close for them.
    pub fn record_output(&mut self, id: ConnectionId, bytes: usize, now: Time) -> Vec<Close> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        if connection.output == 0 {
            connection.progress_at = now;
        }
        connection.output += bytes;
        // What was read as a whole has been counted then.
        let counted = bytes.min(connection.held);
        connection.held -= counted;
        self.add_bytes(id, (bytes - counted) as isize);
        self.make_room(0, self.limits.bytes, |_| true, now)
    }

    /// Records bytes that were written to a connection.
    pub fn record_written(&mut self, id: ConnectionId, bytes: usize, now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let freed = bytes.min(connection.output);
        connection.output -= freed;
        connection.progress_at = now;
        self.add_bytes(id, -(freed as isize));
    }

    /// Records that nothing waits to be written to a connection any more.
    pub fn record_flushed(&mut self, id: ConnectionId, now: Time) {
        let output = self.connections.get(&id).map_or(0, |it| it.output);
        if output > 0 {
            self.record_written(id, output, now);
        }
    }

    /// Returns whether output of a connection waits to be written.
    pub fn has_output(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|it| it.output > 0)
    }

    /// Begins a request whose head needs `bytes`. Returns whether there is room for it, and what to
    /// close.
    pub fn begin_request(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Time,
    ) -> (bool, Vec<Close>) {
        let Some(connection) = self.connections.get_mut(&id) else { return (false, Vec::new()) };
        let change = connection.begin(bytes, now);
        self.add_bytes(id, change);
        let closes = self.make_room(0, self.limits.bytes, |_| true, now);
        // The answers of the small listeners need next to nothing.
        let is_small = self.connections.get(&id).is_some_and(|it| !it.listener.is_shared());
        let fits = self.used - self.freeing <= self.limits.bytes;
        (fits || is_small || self.is_sole(id), closes)
    }

    /// Decides on `bytes` more that the body of a request needs. Bodies leave a part of the budget to
    /// requests in progress and to output.
    pub fn grow_body(&mut self, id: ConnectionId, bytes: usize, now: Time) -> Growth {
        let Some(connection) = self.connections.get(&id) else { return Growth::Wait(Vec::new()) };
        let peer = connection.peer;
        // No peer has more than all together, so its own bytes are only added up when these are many.
        let peer_fits = self.used + bytes <= self.limits.peer_bytes()
            || self.bytes_of(peer) + bytes <= self.limits.peer_bytes();
        let fits = peer_fits && self.used + bytes <= self.limits.body_bytes();
        if fits || self.is_sole(id) {
            self.set_waiting(id, false, now);
            self.add_bytes(id, bytes as isize);
            return Growth::Granted;
        }
        self.set_waiting(id, true, now);
        if self.used + bytes > self.limits.body_bytes() {
            return Growth::Wait(self.make_room(bytes, self.limits.body_bytes(), |_| true, now));
        }
        // Only what this peer has already is in the way.
        let excess = (self.bytes_of(peer) + bytes).saturating_sub(self.limits.peer_bytes());
        let limit = self.used.saturating_sub(excess);
        Growth::Wait(self.make_room(0, limit, |it| it.peer == peer, now))
    }

    /// Decides on `bytes` more of a response that is read as a whole before it is passed on.
    pub fn grow_response(&mut self, id: ConnectionId, bytes: usize, now: Time) -> Growth {
        if self.used + bytes > self.limits.bytes && !self.is_sole(id) {
            return Growth::Wait(self.make_room(bytes, self.limits.bytes, |_| true, now));
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
            self.add_bytes(id, bytes as isize);
        }
        Growth::Granted
    }

    /// Ends the body of a request, and decides whether the request may be served.
    pub fn start_run(&mut self, id: ConnectionId, now: Time) -> Start {
        let close = if self.shared_sockets() < self.limits.shared_sockets() {
            None
        } else {
            let is_shared = |it: &Connection| it.listener.is_shared();
            let Some(other) = self.choose(is_shared, |it| it.socket_rank(now), now) else {
                return Start::Refuse;
            };
            Some(self.close(other, Cause::Sockets))
        };
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.phase != Phase::Running
        {
            connection.phase = Phase::Running;
            connection.is_waiting = false;
            self.running += 1;
        }
        Start::Run(close)
    }

    /// Ends a request: the connection waits for the next one, and the request's bytes are free.
    pub fn end_request(&mut self, id: ConnectionId, now: Time) {
        self.stop_running(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let change = connection.end(now);
        self.add_bytes(id, change);
    }

    /// Turns a connection of another instance into a link, which is not closed for a budget. Returns
    /// whether there is room for another link.
    pub fn establish_link(&mut self, id: ConnectionId) -> bool {
        let (open, _) = self.open.get(&Listener::Links).copied().unwrap_or_default();
        if open >= self.limits.sockets_of(Listener::Links) {
            return false;
        }
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.listener = Listener::Links;
        connection.phase = Phase::Running;
        self.open.entry(Listener::Hellos).or_default().0 -= 1;
        self.open.entry(Listener::Links).or_default().0 += 1;
        if connection.closing {
            self.open.entry(Listener::Hellos).or_default().1 -= 1;
            self.open.entry(Listener::Links).or_default().1 += 1;
        }
        true
    }

    /// Returns the connections whose clients have been too slow, whatever the load is.
    pub fn expired(&mut self, timeouts: Timeouts, now: Time) -> Vec<Close> {
        let expired = self.connections.iter().filter(|(_, it)| !it.closing);
        let expired = expired.filter_map(|(id, it)| Some((id, it.expiry(timeouts, now)?)));
        let expired: Vec<_> = expired.collect();
        expired.into_iter().map(|(id, cause)| self.close(id, cause)).collect()
    }

    /// Returns whether a listener has a socket left.
    fn has_socket(&self, listener: Listener) -> bool {
        if listener.is_shared() {
            return self.shared_sockets() < self.limits.shared_sockets();
        }
        let (open, closing) = self.open.get(&listener).copied().unwrap_or_default();
        open - closing < self.limits.sockets_of(listener)
    }

    /// Returns the sockets that callers' requests use, their connections and those to endpoints, and
    /// those of links.
    fn shared_sockets(&self) -> usize {
        let is_counted = |it: &Listener| it.is_shared() || *it == Listener::Links;
        let shared = self.open.iter().filter(|(listener, _)| is_counted(listener));
        let open: usize = shared.map(|(_, (open, closing))| open - closing).sum();
        open + self.running
    }

    /// Returns the bytes of all connections of a peer address.
    fn bytes_of(&self, peer: IpAddr) -> usize {
        self.connections.iter().filter(|(_, it)| it.peer == peer).map(|(_, it)| it.bytes).sum()
    }

    /// Returns whether no other connection has a request, so that this one is served whatever the budget
    /// is.
    fn is_sole(&self, id: ConnectionId) -> bool {
        let own = self.connections.get(&id).map_or(0, |it| it.bytes);
        self.used - own <= (self.connections.len().max(1) - 1) * CONNECTION_BYTES
    }

    /// Chooses connections of a group to close so that `bytes` more fit into `limit`. Chooses none
    /// while others that are being closed suffice.
    fn make_room(
        &mut self,
        bytes: usize,
        limit: usize,
        of_group: impl Fn(&Connection) -> bool,
        now: Time,
    ) -> Vec<Close> {
        let mut closes = Vec::new();
        while self.used - self.freeing + bytes > limit {
            let Some(id) = self.choose(&of_group, |it| it.byte_rank(now), now) else { break };
            closes.push(self.close(id, Cause::Bytes));
        }
        closes
    }

    /// Returns the connection of a group that has the highest rank.
    fn choose(
        &mut self,
        of_group: impl Fn(&Connection) -> bool,
        rank: impl Fn(&Connection) -> Option<Rank>,
        now: Time,
    ) -> Option<ConnectionId> {
        if now < self.next_scan_at {
            return None;
        }
        let group = self.connections.iter().filter(|(_, it)| !it.closing && of_group(it));
        let ranked = group.filter_map(|(id, it)| Some((rank(it)?, id)));
        let chosen = ranked.max().map(|(_, id)| id);
        if chosen.is_none() {
            self.next_scan_at = now + SCAN_INTERVAL;
        }
        chosen
    }

    /// Marks a connection as being closed.
    fn close(&mut self, id: ConnectionId, cause: Cause) -> Close {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closing = true;
            self.freeing += connection.bytes;
            self.open.entry(connection.listener).or_default().1 += 1;
        }
        Close { id, cause }
    }

    /// Records whether the client waits for this process, whose time then does not count as its own.
    fn set_waiting(&mut self, id: ConnectionId, is_waiting: bool, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.is_waiting && !is_waiting {
                connection.progress_at = now;
            }
            connection.is_waiting = is_waiting;
        }
    }

    fn stop_running(&mut self, id: ConnectionId) {
        let is_request = |it: &Connection| it.phase == Phase::Running && it.listener.is_shared();
        if self.connections.get(&id).is_some_and(is_request) {
            self.running -= 1;
        }
    }

    /// Adds to the bytes of a connection.
    fn add_bytes(&mut self, id: ConnectionId, change: isize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let add = |sum: &mut usize| *sum = sum.saturating_add_signed(change);
        add(&mut connection.bytes);
        add(&mut self.used);
        if connection.closing {
            add(&mut self.freeing);
        }
    }
}
