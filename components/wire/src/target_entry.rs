//! What a target says of itself on the platform's list.

use std::net::SocketAddr;

use base::{LoadedModel, WarmCopies};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// Yes.
    #[default]
    Ready,
    /// No; it finishes what it has and ends.
    Leaving {
        /// Time after which it is gone whatever it is doing, in milliseconds, if it said so.
        remaining_ms: Option<u64>,
    },
}

/// Entry of one target, by the target itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Unique name of this life of the target; a restart may keep it.
    pub id: CompactString,
    /// Unix time of its start in milliseconds; differs between two lives under one name. None if
    /// the target does not say.
    pub born_ms: Option<u64>,
    /// Service.
    pub service: CompactString,
    /// Version of its software; empty if it does not say.
    pub software: CompactString,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// Most requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: TargetState,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Orders that it has accepted in this life.
    pub orders_accepted: u64,
    /// Models that it serves, sorted by name; empty for a plain service.
    pub models: Vec<LoadedModel>,
    /// Copies of weights near it.
    pub warm: WarmCopies,
}
