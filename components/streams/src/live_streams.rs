//! Streams whose keepers must be told of them again when the keepers change.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use base::{SortedMap, Timestamp};
use wire::{KnownStream, StreamOrigin};

use crate::{Keeper, KeeperSet};

/// Bounds of the work for keepers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LiveStreamsSettings {
    /// Agents that are told of each stream, so that one of them may be lost.
    pub keepers: usize,
    /// Most ranks that a round computes; some 20 ns each.
    pub max_ranks: usize,
    /// Time after which the keepers of a stream are told again, before they forget it.
    pub refresh_interval: Duration,
    /// Most streams of stopped agents that wait to be passed on.
    pub max_waiting: usize,
}

impl Default for LiveStreamsSettings {
    fn default() -> Self {
        Self {
            keepers: 2,
            max_ranks: 50_000,
            refresh_interval: Duration::from_secs(30),
            max_waiting: 16_384,
        }
    }
}

/// A stream that a gateway relays.
#[derive(Clone, Debug)]
struct LiveStream {
    origin: StreamOrigin,
    /// Keepers that know it.
    told: Vec<Keeper>,
    /// When all of them were told.
    told_at: Timestamp,
    /// Version of the set of keepers that `told` belongs to.
    version: u64,
}

/// A stream that a stopped agent knew.
#[derive(Clone, Debug)]
struct WaitingStream {
    stream: KnownStream,
    /// Machine of the stopped agent.
    from: IpAddr,
    received_at: Timestamp,
}

/// The streams that a gateway relays, and those that it passes on for agents that stop.
#[derive(Clone, Debug, Default)]
pub struct LiveStreams {
    settings: LiveStreamsSettings,
    /// By number, in the order in which they began.
    streams: SortedMap<u64, LiveStream>,
    next_number: u64,
    /// Number of the stream from which the next round goes on.
    cursor: u64,
    waiting: VecDeque<WaitingStream>,
}

impl LiveStreams {
    /// Creates an empty table.
    pub fn new(settings: LiveStreamsSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a stream that begins or goes on; returns its number and the keepers to tell now.
    pub fn begin(
        &mut self,
        origin: StreamOrigin,
        keepers: &KeeperSet,
        now: Timestamp,
    ) -> (u64, Vec<Keeper>) {
        let told = keepers.keepers_of(origin.attempt, None, self.settings.keepers);
        let number = self.next_number;
        self.next_number += 1;
        let version = keepers.version();
        self.streams
            .insert(number, LiveStream { origin, told: told.clone(), told_at: now, version });
        (number, told)
    }

    /// Records the end of a stream.
    pub fn end(&mut self, number: u64) {
        self.streams.remove(&number);
    }

    /// Queues a stream that the stopped agent on the machine `from` knew; returns false if too many wait.
    pub fn pass_on(&mut self, stream: KnownStream, from: IpAddr, now: Timestamp) -> bool {
        let has_room = self.waiting.len() < self.settings.max_waiting;
        if has_room {
            self.waiting.push_back(WaitingStream { stream, from, received_at: now });
        }
        has_room
    }

    /// Returns what keepers must be told now. What exceeds the bound of a round follows in the next ones.
    pub fn next_messages(
        &mut self,
        keepers: &KeeperSet,
        now: Timestamp,
    ) -> Vec<(Keeper, KnownStream)> {
        if keepers.is_empty() {
            return Vec::new();
        }
        let most = (self.settings.max_ranks / keepers.len()).max(1);
        let mut messages = Vec::new();
        let passed_on = self.waiting.len().min(most);
        for WaitingStream { mut stream, from, received_at } in self.waiting.drain(..passed_on) {
            stream.add_age(now.since(received_at));
            let present =
                keepers.keepers_of(stream.origin.attempt, Some(from), self.settings.keepers);
            messages.extend(present.into_iter().map(|keeper| (keeper, stream.clone())));
        }
        for number in self.due(keepers, most - passed_on, now) {
            let Some(live) = self.streams.get_mut(&number) else { continue };
            let present = keepers.keepers_of(live.origin.attempt, None, self.settings.keepers);
            let refreshes = now.since(live.told_at) >= self.settings.refresh_interval;
            let stream = KnownStream { origin: live.origin.clone(), age_ms: 0 };
            let uninformed =
                present.iter().filter(|keeper| refreshes || !live.told.contains(keeper));
            messages.extend(uninformed.map(|keeper| (*keeper, stream.clone())));
            if refreshes {
                live.told_at = now;
            }
            live.told = present;
            live.version = keepers.version();
        }
        messages
    }

    /// Returns the streams to look at in this round, at most `most`. A round goes on where the one before
    /// ended, so that no stream is left out while keepers change all the time.
    fn due(&mut self, keepers: &KeeperSet, most: usize, now: Timestamp) -> Vec<u64> {
        let is_due = |live: &LiveStream| {
            live.version != keepers.version()
                || now.since(live.told_at) >= self.settings.refresh_interval
        };
        let later = self.streams.iter().filter(|(number, _)| **number >= self.cursor);
        let earlier = self.streams.iter().filter(|(number, _)| **number < self.cursor);
        let due: Vec<u64> = later
            .chain(earlier)
            .filter(|(_, live)| is_due(live))
            .map(|(number, _)| *number)
            .take(most)
            .collect();
        self.cursor = due.last().map_or(self.cursor, |last| last + 1);
        due
    }
}

/// Groups the messages by keeper, each group small enough for a datagram.
pub fn group_messages(mut messages: Vec<(Keeper, KnownStream)>) -> Vec<(Keeper, Vec<KnownStream>)> {
    messages.sort_by_key(|(keeper, _)| *keeper);
    messages
        .chunk_by(|(one, _), (other, _)| one == other)
        .filter_map(|group| {
            let (keeper, _) = group.first()?;
            let streams = group.iter().map(|(_, stream)| stream.clone());
            Some(pack_streams(streams).into_iter().map(|packed| (*keeper, packed)))
        })
        .flatten()
        .collect()
}

/// Groups streams so that each group takes at most some 8,000 bytes: few datagrams, which the buffers of
/// receivers hold at once.
pub fn pack_streams(streams: impl IntoIterator<Item = KnownStream>) -> Vec<Vec<KnownStream>> {
    const MAX_GROUP_BYTES: usize = 8_000;
    let mut groups: Vec<Vec<KnownStream>> = Vec::new();
    let mut filled = usize::MAX;
    for stream in streams {
        let bytes = stream.max_bytes();
        if filled.saturating_add(bytes) > MAX_GROUP_BYTES {
            groups.push(Vec::new());
            filled = 0;
        }
        filled += bytes;
        if let Some(group) = groups.last_mut() {
            group.push(stream);
        }
    }
    groups
}
