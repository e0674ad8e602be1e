//! Heartbeats: liveness, configuration offset, view of the log, load and residency.

use std::net::SocketAddr;

use base::{Offset, ProcessId, Role};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a process says about itself; sent as a call and as the reply to one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: ProcessId,
    /// Sender's job.
    pub role: Role,
    /// Sender's region.
    pub region: CompactString,
    /// Sender's data centre.
    pub data_centre: CompactString,
    /// Where the sender accepts peers.
    pub address: SocketAddr,
    /// Configuration version in force at the sender.
    pub config_offset: Offset,
    /// Sender's own contact with the log.
    pub log: LogView,
    /// The sender takes no new work.
    pub draining: bool,
    /// State of the target, if the sender runs beside one.
    pub target: Option<TargetReport>,
    /// Demand that the sender has seen, if it answers callers.
    pub demand: Vec<ModelDemand>,
}

/// A process's own contact with the log; never what it heard from others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogView {
    /// Milliseconds since the `config` stream was read to its end.
    pub end_read_age_ms: Option<u32>,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Model engine.
    Engine,
    /// Plain HTTP service.
    Plain,
}

/// State of one target as its side process sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: CompactString,
    /// Service that the target belongs to.
    pub service: CompactString,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Whether the target answered its last probe.
    pub healthy: bool,
    /// Whether orders are withheld after a restart.
    pub quarantined: bool,
    /// Copies of models, sorted by model.
    pub models: Vec<ModelCopy>,
    /// Names of loaded adapters, sorted.
    pub adapters: Vec<CompactString>,
    /// Memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Memory used or reserved in MB.
    pub used_mb: u64,
    /// Tokens queued at the side process.
    pub queued_tokens: u64,
    /// Requests in flight at the target.
    pub running: u32,
    /// Most requests in flight at the target.
    pub batch: u32,
    /// Tokens a second the target generates at full batch.
    pub tokens_per_s: u64,
    /// Age of the load figures above in milliseconds.
    pub sample_age_ms: u32,
}

/// State of a copy of a model at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyState {
    /// A load order is in progress.
    Loading,
    /// The engine serves the model.
    Resident,
    /// An unload order is in progress.
    Unloading,
}

/// A copy of a model at a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelCopy {
    /// Name of the model.
    pub model: CompactString,
    /// State of the copy.
    pub state: CopyState,
}

/// Demand for one model at one entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelDemand {
    /// Name of the model.
    pub model: CompactString,
    /// Tokens a second asked for, average over 10 s.
    pub fast_tokens_per_s: u64,
    /// Tokens a second asked for, average over 120 s.
    pub slow_tokens_per_s: u64,
}
