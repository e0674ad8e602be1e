//! Start records of processes on the log stream `fleet`.

use base::{ProcessId, Role};
use serde::{Deserialize, Serialize};

/// Name of the stream.
pub const FLEET_STREAM: &str = "fleet";

/// Records the start of a process incarnation; the offset is its fencing token.
///
/// The peer address is bound before the record is written, so an earlier incarnation has exited.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRecord {
    /// Process with its incarnation.
    pub process: ProcessId,
    /// Role of the process.
    pub role: Role,
}
