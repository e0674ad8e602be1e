//! Planner's view of a model.

use compact_str::CompactString;

use crate::BoundDemand;

/// Planner's view of a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetModel {
    /// Model name.
    pub name: CompactString,
    /// Memory of a copy in MB.
    pub memory_mb: u64,
    /// Number of adapters.
    pub adapters: u32,
    /// Time to load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time to load from the host's memory, in milliseconds.
    pub host_load_ms: u64,
    /// Time to load from the host's disk, in milliseconds.
    pub disk_load_ms: u64,
    /// Demand in milliseconds of engine time per second.
    pub work_ms_per_s: f64,
    /// Requests that wait because no engine serves the model.
    pub waiting: u32,
    /// Streams that may go on only at one version of the engines' software, sorted by version.
    pub bound: Vec<VersionDemand>,
}

/// Demand for a model at one version of the engines' software.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionDemand {
    /// Version.
    pub software: CompactString,
    /// Demand.
    pub demand: BoundDemand,
}

impl FleetModel {
    /// Returns the demand of the streams that are bound to a version.
    pub(crate) fn bound_at(&self, software: &str) -> BoundDemand {
        self.bound
            .binary_search_by(|version| version.software.as_str().cmp(software))
            .map_or_else(|_| BoundDemand::default(), |at| self.bound[at].demand)
    }
}
