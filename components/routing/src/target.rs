//! State of one target in the router.

use std::time::Duration;

use base::{ProcessId, Timestamp};
use compact_str::CompactString;
use wire::{Heartbeat, TargetReport};

use crate::sends::UnreportedSends;

/// A target with its last report and the sends not yet included in it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: CompactString,
    pub(crate) process: ProcessId,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) region: CompactString,
    pub(crate) data_centre: CompactString,
    pub(crate) report: TargetReport,
    pub(crate) sends: UnreportedSends,
}

impl Target {
    pub(crate) fn new(
        heartbeat: &Heartbeat,
        report: &TargetReport,
        received_at: Timestamp,
    ) -> Self {
        let mut target = Self {
            name: report.target.clone(),
            process: heartbeat.from.clone(),
            address: heartbeat.address,
            region: heartbeat.region.clone(),
            data_centre: heartbeat.data_centre.clone(),
            report: report.clone(),
            sends: UnreportedSends::default(),
        };
        target.apply_sample(received_at);
        target
    }

    /// Applies a newer report.
    pub(crate) fn update(
        &mut self,
        heartbeat: &Heartbeat,
        report: &TargetReport,
        received_at: Timestamp,
    ) {
        self.process = heartbeat.from.clone();
        self.address = heartbeat.address;
        self.region.clone_from(&heartbeat.region);
        self.data_centre.clone_from(&heartbeat.data_centre);
        self.report = report.clone();
        self.apply_sample(received_at);
    }

    fn apply_sample(&mut self, received_at: Timestamp) {
        let age = Duration::from_millis(u64::from(self.report.sample_age_ms));
        self.sends.apply_sample(received_at - age);
    }

    pub(crate) fn has_adapter(&self, adapter: &str) -> bool {
        self.report.adapters.binary_search_by(|a| a.as_str().cmp(adapter)).is_ok()
    }
}
