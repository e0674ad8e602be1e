//! Answer to a status call.

use base::{Offset, ProcessId, Role};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// State of a process for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// The process.
    pub process: ProcessId,
    /// Its job.
    pub role: Role,
    /// Its region.
    pub region: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Configuration version in force.
    pub config_offset: Offset,
    /// Milliseconds since the log was read to its end, if ever.
    pub log_age_ms: Option<u32>,
    /// Whether it is draining.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bucket slots owned.
    pub slots_owned: u32,
    /// Names of live peers, sorted.
    pub live_peers: Vec<CompactString>,
    /// What is wrong; empty if nothing is.
    pub problems: Vec<StatusProblem>,
}

/// Something that an operator should look at.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusProblem {
    /// Keyed requests are refused: no contact with the log, directly or through peers.
    NoAuthority,
    /// No configuration is in force.
    NoConfiguration,
    /// The log can't be read.
    LogUnreachable,
    /// A record on the log needs a newer version of the program.
    NewerRules,
    /// Orders are withheld after a restart.
    Quarantined,
    /// The target does not answer.
    TargetUnhealthy,
}
