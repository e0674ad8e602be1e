//! Which version of a service's software began a stream, told to and asked of agents.

use compact_str::CompactString;
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
