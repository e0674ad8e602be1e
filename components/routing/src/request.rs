//! Requirements of requests to the router, and the targets chosen for them.

use std::net::SocketAddr;

use base::ProcessId;
use compact_str::CompactString;

/// Requirements of a generation.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequirements<'a> {
    /// Base model.
    pub model: &'a str,
    /// Service whose targets may be chosen.
    pub service: &'a str,
    /// Memory that a copy of the model needs, in MB.
    pub memory_mb: u64,
    /// Adapter of the base model.
    pub adapter: Option<&'a str>,
    /// Hashes of the prompt's blocks, from `prefix_blocks`.
    pub blocks: &'a [u64],
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Affinity key: requests with the same key prefer the same targets. For example a hash of the
    /// first block.
    pub affinity: u64,
    /// Targets that must not be chosen, because they failed this request before.
    pub exclude: &'a [CompactString],
}

/// Requirements of a call to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainRequirements<'a> {
    /// Service whose targets may be chosen.
    pub service: &'a str,
    /// Affinity key: requests with the same key prefer the same targets.
    pub affinity: u64,
    /// Targets that must not be chosen.
    pub exclude: &'a [CompactString],
}

/// A chosen target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Name of the target.
    pub target: CompactString,
    /// Side process of the target.
    pub process: ProcessId,
    /// Address at which the side process accepts peer connections.
    pub address: SocketAddr,
    /// Estimated cost in microseconds.
    pub cost_micros: u64,
}

/// Result of choosing a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// A target that serves the model or route now.
    Serve(Pick),
    /// A target that must load the model first, or is loading it.
    Load(Pick),
    /// No target can be used.
    None(NoTarget),
}

/// Why no target can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoTarget {
    /// No target of the service has sent a heartbeat.
    NoneKnown,
    /// Targets are known, but all are leaving, silent, unhealthy or excluded.
    NoneUsable,
    /// No usable target has enough memory for the model.
    TooLarge,
}

/// State of a target, for status output and the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo<'a> {
    /// Side process of the target.
    pub process: &'a ProcessId,
    /// Address of the side process.
    pub address: SocketAddr,
    /// Last report of the target.
    pub report: &'a wire::TargetReport,
    /// Tokens of this process's sends that the report does not include yet.
    pub unreported_tokens: u64,
}
