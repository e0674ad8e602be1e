//! Start records on the log stream `fleet`.

use base::{ProcessId, Role};
use serde::{Deserialize, Serialize};

/// Name of the stream.
pub const FLEET_STREAM: &str = "fleet";

/// Says that a run of a process has started; its offset is the run's fencing number.
///
/// The peer address is bound before the record is written, so an older run of the process has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRecord {
    /// The run.
    pub process: ProcessId,
    /// Its job.
    pub role: Role,
}
