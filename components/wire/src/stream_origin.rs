//! Which version of a service's software began a stream, told to and asked of agents.

use std::time::Duration;

use base::hash_bytes;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// A stream that has begun, or that another attempt goes on with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Hash of the id of the attempt that brought its first event.
    pub attempt: u64,
    /// Short hash of the service's name.
    pub service: u32,
    /// Version of the software of the target that made its first event.
    pub software: CompactString,
}

/// A stream that a process knows, for another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownStream {
    /// The stream.
    pub origin: StreamOrigin,
    /// Time since it was last recorded as begun or gone on, in milliseconds.
    pub age_ms: u32,
}

impl KnownStream {
    /// Adds the time that the stream waited at a process that passes it on.
    pub fn add_age(&mut self, waited: Duration) {
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        self.age_ms = self.age_ms.saturating_add(waited_ms);
    }

    /// Returns an upper bound on the bytes that it takes in a datagram.
    pub fn max_bytes(&self) -> usize {
        24 + self.origin.software.len()
    }
}

/// Asks an agent for the version that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamAsk {
    /// Hash of the id of the attempt that brought its first event.
    pub attempt: u64,
    /// Short hash of the service's name.
    pub service: u32,
}

/// What an agent knows of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamAnswer {
    /// Hash of the id of the attempt that was asked for.
    pub attempt: u64,
    /// Version that began the stream; none if the agent doesn't know the stream.
    pub software: Option<CompactString>,
    /// Versions of the service that began any stream that the agent knows, sorted.
    pub versions: Vec<CompactString>,
}

/// A version of a service's software that is in service, as the store keeps it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoftwareVersion {
    /// Service.
    pub service: CompactString,
    /// Version of the software of some of its targets.
    pub software: CompactString,
}

impl SoftwareVersion {
    /// Returns the key under which the store keeps the version, short whatever the names are.
    pub fn key(&self) -> CompactString {
        let [service, software] =
            [&self.service, &self.software].map(|name| hash_bytes(name.as_bytes()));
        format_compact!("{service:016x}-{software:016x}")
    }
}
