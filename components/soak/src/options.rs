//! Size and length of a soak.

use std::path::PathBuf;
use std::time::Duration;

/// Options of one run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakOptions {
    /// Seed of the schedule and of the load.
    pub seed: u64,
    /// Time in which faults are begun.
    pub length: Duration,
    /// Gateway processes.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Engines with an agent process, the first ones; gateways give orders to the others.
    pub agents: usize,
    /// Plain targets.
    pub plain_targets: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// The shipped binary.
    pub binary: PathBuf,
    /// Directory for the logs of the processes, kept after the run; none for a temporary one.
    pub logs: Option<PathBuf>,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(20),
            gateways: 4,
            engines: 6,
            agents: usize::MAX,
            plain_targets: 3,
            callers: 32,
            binary: PathBuf::from("plantainbeam"),
            logs: None,
        }
    }
}
