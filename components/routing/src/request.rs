//! What a request needs and what was chosen.

use std::net::SocketAddr;

use base::ProcessId;
use compact_str::CompactString;

/// What a generation needs.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequirements<'a> {
    /// Base model.
    pub model: &'a str,
    /// Service whose targets may hold it.
    pub service: &'a str,
    /// Memory of a copy in MB.
    pub memory_mb: u64,
    /// Adapter.
    pub adapter: Option<&'a str>,
    /// Hashes of the prompt's blocks, from `prefix_blocks`.
    pub blocks: &'a [u64],
    /// Estimate of prompt tokens.
    pub prompt_tokens: u64,
    /// Groups requests that should meet the same targets, for example a hash of the first block.
    pub affinity: u64,
    /// Targets that must not be chosen, because they failed this request before.
    pub exclude: &'a [CompactString],
}

/// What a call to a plain service needs.
#[derive(Clone, Copy, Debug)]
pub struct PlainRequirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Groups requests that should meet the same targets.
    pub affinity: u64,
    /// Targets that must not be chosen.
    pub exclude: &'a [CompactString],
}

/// A chosen target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Target.
    pub target: CompactString,
    /// Its side process.
    pub process: ProcessId,
    /// Where the side process accepts peers.
    pub address: SocketAddr,
    /// Estimated cost in microseconds.
    pub cost_micros: u64,
}

/// Result of a choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// A target that serves the model or route now.
    Serve(Pick),
    /// A target that must load the model first, or is loading it.
    Load(Pick),
    /// No target.
    None(NoTarget),
}

/// Why there is no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoTarget {
    /// The service has no target that was heard from.
    NoneKnown,
    /// Targets are known, but all are leaving, silent, unhealthy or excluded.
    NoneUsable,
    /// No usable target has enough memory for the model.
    TooLarge,
}

/// What is known of a target, for status and the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInfo<'a> {
    /// Side process.
    pub process: &'a ProcessId,
    /// Its address.
    pub address: SocketAddr,
    /// Last report.
    pub report: &'a wire::TargetReport,
    /// Tokens of own sends that the report does not count yet.
    pub unreported_tokens: u64,
}
