//! Budget of memory and connections for callers: what is admitted, and who gives way.

use std::cmp::Reverse;
use std::time::Duration;

use base::{SortedMap, Timestamp};

use crate::CallerBudgetSettings;

/// Bodies up to this size may use all of the memory, larger ones only [`LARGE_SHARE_PERCENT`] of it:
/// typical requests find room while large ones are being passed on and can't give way.
const SMALL_BODY_BYTES: u64 = 64 << 10;
/// Share of the memory for larger bodies and responses.
const LARGE_SHARE_PERCENT: u64 = 75;
/// Time without a byte after which a body or an unread response counts as stalled. A process with a
/// twentieth of a core may be suspended for most of each 100 ms.
const STALL: Duration = Duration::from_millis(500);
/// Time that a new connection has for its first head before it gives way to others earlier than
/// connections that wait for another request.
const HEAD_GRACE: Duration = Duration::from_millis(200);
/// Time after which a body that makes progress may give way to a new connection. Typical bodies take
/// a few round trips.
const BODY_GRACE: Duration = Duration::from_secs(1);

/// A connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionKey(u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// It has no complete head of a request.
    Waiting,
    /// The body of its request is being read.
    Reading,
    /// It has a request whose body is complete, rejected or passed on, and whose response is not
    /// sent to its end.
    Answering,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Whether it has had a complete head.
    has_had_head: bool,
    /// Start of the phase.
    since: Timestamp,
    /// When its last byte arrived or was sent.
    progress: Timestamp,
    /// Memory of the body that is being read.
    charged_bytes: u64,
    /// Bytes of its response that are not sent.
    unsent_bytes: u64,
    /// Whether its socket takes no more bytes now.
    is_blocked: bool,
    /// Group that shares its memory fairly with others: a hash of the presented key.
    group: u32,
}

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is served; `closed` was closed for it.
    Admitted {
        /// The new connection.
        key: ConnectionKey,
        /// Connection to close.
        closed: Option<ConnectionKey>,
    },
    /// All others are answering requests or making progress.
    Refused,
}

/// Whether memory for a body was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Whether the memory may be allocated. If not, the body must be given up.
    pub granted: bool,
    /// Connections whose bodies must be given up, with whether they had stalled.
    pub given_up: Vec<(ConnectionKey, bool)>,
}

/// What makes room for a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseRoom {
    /// There is room.
    Granted,
    /// The body of this connection has stalled and was given up.
    GiveUpBody(ConnectionKey),
    /// The response of this connection is not read; the connection is removed and must be closed.
    Close(ConnectionKey),
    /// Nothing gives way at this time.
    Wait,
}

/// Budget of memory and connections that a process has for its callers.
///
/// Only connections without a complete request give way, so that nothing is rejected as not run
/// after it was sent to a target.
#[derive(Debug)]
pub struct CallerBudget {
    settings: CallerBudgetSettings,
    connections: SortedMap<ConnectionKey, Connection>,
    reading_bytes: u64,
    last_key: u64,
}

impl CallerBudget {
    /// An unused budget.
    pub const fn new(settings: CallerBudgetSettings) -> Self {
        Self { settings, connections: SortedMap::new(), reading_bytes: 0, last_key: 0 }
    }

    /// Changes the sizes. What is in use beyond smaller ones ends by itself.
    pub const fn set_settings(&mut self, settings: CallerBudgetSettings) {
        self.settings = settings;
    }

    /// The sizes.
    pub const fn settings(&self) -> &CallerBudgetSettings {
        &self.settings
    }

    /// Number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Memory of the bodies that are being read, in bytes.
    pub const fn reading_bytes(&self) -> u64 {
        self.reading_bytes
    }

    /// Admits a connection, if necessary by closing another one: one that waits for a head,
    /// otherwise one whose body or reading of a response has stalled, otherwise the slowest body. At
    /// most half of the connections may be without their
    /// first head.
    pub fn open(&mut self, now: Timestamp) -> Admission {
        let half = self.settings.connections.div_ceil(2);
        let late = |each: &Connection| each.is_late_head(now);
        let closed = if self.connections.values().filter(|each| late(each)).count() >= half {
            self.longest_waiting(late)
        } else if self.connections.len() >= self.settings.connections {
            let Some(key) = self.connection_to_close(now) else { return Admission::Refused };
            Some(key)
        } else {
            None
        };
        if let Some(key) = closed {
            self.close(key);
        }
        self.last_key += 1;
        let key = ConnectionKey(self.last_key);
        let connection = Connection {
            phase: Phase::Waiting,
            has_had_head: false,
            since: now,
            progress: now,
            charged_bytes: 0,
            unsent_bytes: 0,
            is_blocked: false,
            group: 0,
        };
        self.connections.insert(key, connection);
        Admission::Admitted { key, closed }
    }

    fn connection_to_close(&self, now: Timestamp) -> Option<ConnectionKey> {
        let headless = self.connections.values().filter(|each| !each.has_had_head).count();
        let is_flooded = headless >= self.settings.connections.div_ceil(2);
        self.longest_waiting(|each| each.is_late_head(now))
            .or_else(|| self.longest_waiting(|each| is_flooded && !each.has_had_head))
            .or_else(|| self.longest_waiting(|each| each.has_had_head))
            .or_else(|| self.longest_waiting(|_| true))
            .or_else(|| self.longest_stalled(now, |each| each.phase == Phase::Reading))
            .or_else(|| self.longest_stalled(now, Connection::is_unread))
            .or_else(|| self.slowest_body(now))
    }

    fn slowest_body(&self, now: Timestamp) -> Option<ConnectionKey> {
        let slow =
            |each: &Connection| each.phase == Phase::Reading && now.since(each.since) >= BODY_GRACE;
        let bytes_per_s = |each: &Connection| {
            u128::from(each.charged_bytes) * 1_000 / now.since(each.since).as_millis().max(1)
        };
        let bodies = self.connections.iter().filter(|(_, each)| slow(each));
        bodies.min_by_key(|(key, each)| (bytes_per_s(each), **key)).map(|(key, _)| *key)
    }

    fn longest_stalled(
        &self,
        now: Timestamp,
        accept: impl Fn(&Connection) -> bool,
    ) -> Option<ConnectionKey> {
        let accepted = |each: &Connection| each.has_stalled(now) && accept(each);
        let stalled = self.connections.iter().filter(|(_, each)| accepted(each));
        stalled.min_by_key(|(key, each)| (each.progress, **key)).map(|(key, _)| *key)
    }

    fn longest_waiting(&self, accept: impl Fn(&Connection) -> bool) -> Option<ConnectionKey> {
        let accepted = |each: &Connection| each.phase == Phase::Waiting && accept(each);
        let waiting = self.connections.iter().filter(|(_, each)| accepted(each));
        waiting.min_by_key(|(key, each)| (each.since, **key)).map(|(key, _)| *key)
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(&key) {
            self.reading_bytes -= connection.charged_bytes;
        }
    }

    /// A complete head has arrived.
    pub fn start_request(&mut self, key: ConnectionKey, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.phase = Phase::Answering;
            connection.has_had_head = true;
            connection.since = now;
        }
    }

    /// The body of the request is being read; `group` shares the memory fairly with other groups.
    pub fn start_body(&mut self, key: ConnectionKey, group: u32, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.phase = Phase::Reading;
            connection.since = now;
            connection.progress = now;
            connection.group = group;
        }
    }

    /// Asks for memory of `capacity_bytes` in total for the body of a connection, while
    /// `held_bytes` are in use for complete bodies and responses.
    ///
    /// If there is no room, bodies are given up until there is: first those of the group that uses
    /// most, of these the stalled ones, and of these the largest that have taken longest. The body
    /// that asks may itself be the first.
    pub fn reserve(
        &mut self,
        key: ConnectionKey,
        capacity_bytes: u64,
        held_bytes: u64,
        now: Timestamp,
    ) -> Reservation {
        let refused = Reservation { granted: false, given_up: Vec::new() };
        let Some(connection) = self.connections.get_mut(&key) else { return refused };
        if connection.phase != Phase::Reading {
            return refused;
        }
        let before = connection.charged_bytes;
        connection.charged_bytes = capacity_bytes;
        connection.progress = now;
        self.reading_bytes = self.reading_bytes - before + capacity_bytes;
        let room = self.room(capacity_bytes);
        if held_bytes.saturating_add(capacity_bytes) > room {
            self.finish_body(key, now);
            return refused;
        }
        let mut reservation = Reservation { granted: true, given_up: Vec::new() };
        while self.reading_bytes.saturating_add(held_bytes) > room {
            let Some((first, stalled)) = self.body_to_give_up(now) else { break };
            self.finish_body(first, now);
            if first == key {
                reservation.granted = false;
                return reservation;
            }
            reservation.given_up.push((first, stalled));
        }
        reservation
    }

    /// Memory of which a body or response of this size may be a part.
    fn room(&self, bytes: u64) -> u64 {
        match bytes <= SMALL_BODY_BYTES {
            true => self.settings.memory_bytes,
            false => self.settings.memory_bytes / 100 * LARGE_SHARE_PERCENT,
        }
        .max(bytes)
    }

    fn body_to_give_up(&self, now: Timestamp) -> Option<(ConnectionKey, bool)> {
        let mut groups: SortedMap<u32, u64> = SortedMap::new();
        for connection in self.connections.values() {
            *groups.get_or_insert_with(connection.group, || 0) += connection.charged_bytes;
        }
        let rank = |key: ConnectionKey, each: &Connection| {
            let group_bytes = groups.get(&each.group).copied().unwrap_or_default();
            let occupied =
                u128::from(each.charged_bytes) * now.since(each.since).as_millis().max(1);
            (group_bytes, each.has_stalled(now), occupied, Reverse(key))
        };
        self.connections
            .iter()
            .filter(|(_, each)| each.phase == Phase::Reading && each.charged_bytes > 0)
            .max_by_key(|(key, each)| rank(**key, each))
            .map(|(key, each)| (*key, each.has_stalled(now)))
    }

    /// Finds room for a response that grows by `more_bytes` to `capacity_bytes`, while `held_bytes`
    /// are in use for complete bodies and responses. What has stalled gives way, the largest first.
    pub fn response_room(
        &mut self,
        capacity_bytes: u64,
        more_bytes: u64,
        held_bytes: u64,
        now: Timestamp,
    ) -> ResponseRoom {
        let used = self.reading_bytes.saturating_add(held_bytes);
        if used.saturating_add(more_bytes) <= self.room(capacity_bytes) {
            return ResponseRoom::Granted;
        }
        let stalled_body = self.largest_stalled(now, |each| {
            (each.phase == Phase::Reading).then_some(each.charged_bytes)
        });
        if let Some(key) = stalled_body {
            self.finish_body(key, now);
            return ResponseRoom::GiveUpBody(key);
        }
        let unread =
            self.largest_stalled(now, |each| each.is_unread().then_some(each.unsent_bytes));
        if let Some(key) = unread {
            self.close(key);
            return ResponseRoom::Close(key);
        }
        ResponseRoom::Wait
    }

    fn largest_stalled(
        &self,
        now: Timestamp,
        bytes: impl Fn(&Connection) -> Option<u64>,
    ) -> Option<ConnectionKey> {
        let stalled = self.connections.iter().filter(|(_, each)| each.has_stalled(now));
        let sized = stalled.filter_map(|(key, each)| {
            bytes(each).filter(|bytes| *bytes > 0).map(|bytes| (bytes, Reverse(*key)))
        });
        sized.max().map(|(_, Reverse(key))| key)
    }

    /// The response to the request of a connection begins; `bytes` of it are in memory.
    pub fn start_response(&mut self, key: ConnectionKey, bytes: u64, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.unsent_bytes = bytes;
            connection.progress = now;
        }
    }

    /// Bytes of the response were sent.
    pub fn record_sent(&mut self, key: ConnectionKey, bytes: u64, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&key)
            && connection.phase == Phase::Answering
        {
            connection.unsent_bytes = connection.unsent_bytes.saturating_sub(bytes);
            connection.is_blocked = false;
            connection.progress = now;
        }
    }

    /// The socket takes no more bytes of the response for now.
    pub fn record_blocked(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.is_blocked = true;
        }
    }

    /// Bytes of the body have arrived.
    pub fn record_progress(&mut self, key: ConnectionKey, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.progress = now;
        }
    }

    /// The body is complete or given up; its memory is no longer that of a body being read.
    pub fn finish_body(&mut self, key: ConnectionKey, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&key) {
            self.reading_bytes -= connection.charged_bytes;
            connection.charged_bytes = 0;
            connection.phase = Phase::Answering;
            connection.since = now;
        }
    }

    /// The response was sent to its end; the connection waits for another request.
    pub fn finish_request(&mut self, key: ConnectionKey, now: Timestamp) {
        self.finish_body(key, now);
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.phase = Phase::Waiting;
            connection.unsent_bytes = 0;
            connection.is_blocked = false;
        }
    }
}

impl Connection {
    fn is_late_head(&self, now: Timestamp) -> bool {
        !self.has_had_head && now.since(self.since) >= HEAD_GRACE
    }

    fn is_unread(&self) -> bool {
        self.phase == Phase::Answering && self.is_blocked
    }

    fn has_stalled(&self, now: Timestamp) -> bool {
        now.since(self.progress) >= STALL
    }
}
