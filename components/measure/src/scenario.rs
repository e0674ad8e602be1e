//! What a run measures: deployment, load and fault.

use base::Timestamp;
use config::{BucketLayout, EntrySettings, FleetConfig};

/// A deployment at its size of today.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Compiled configuration.
    pub config: FleetConfig,
    /// Entry processes.
    pub entries: usize,
    /// One way between data centres, in microseconds.
    pub data_centre_delay_us: u64,
}

/// Fault in the middle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The log takes no appends for the middle third; slots stay where they are.
    LogOutage,
    /// None.
    None,
    /// Every entry process is replaced in turn.
    RollingRestart,
    /// The engine with most copies is lost.
    TargetLost,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 4] =
        [Self::None, Self::TargetLost, Self::LogOutage, Self::RollingRestart];

    /// Name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LogOutage => "log-outage",
            Self::None => "none",
            Self::RollingRestart => "rolling-restart",
            Self::TargetLost => "target-lost",
        }
    }
}

/// Load and fault of one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Length of the run in seconds.
    pub length_s: u64,
    /// Demand as a share of the engines' capacity at the start, in percent.
    pub load_percent: u64,
    /// Factor by which the largest customer exceeds its rate in the second half.
    pub overload_factor: u64,
    /// Factor by which the demand of one model rises in the course of the run.
    pub model_factor: u64,
    /// Fault.
    pub fault: Fault,
    /// Slots of each customer's bucket.
    pub slots: u16,
    /// Longest wait for tokens to accrue, in milliseconds.
    pub rate_wait_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 20_261_204,
            length_s: 120,
            load_percent: 60,
            overload_factor: 4,
            model_factor: 10,
            fault: Fault::None,
            slots: BucketLayout::default().slots,
            rate_wait_ms: EntrySettings::default().rate_wait_ms,
        }
    }
}

impl Scenario {
    /// End of the arrivals.
    pub const fn end(&self) -> Timestamp {
        Timestamp::from_millis(self.length_s * 1_000)
    }
}
