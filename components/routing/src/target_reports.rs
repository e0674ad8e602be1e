//! What gateways tell each other of the targets of a fleet: limits and times.

use base::Timestamp;
use wire::{TargetLimitReport, TargetSpeedReport};

use crate::{DirectFleet, NamedLimit, SharingGateways, TargetKey};

/// Most limits, and most times, reported in one state, so that it fits into a datagram.
const MAX_TARGET_REPORTS: usize = 500;

impl DirectFleet {
    /// Returns the times of this gateway's plain requests, to report to the other gateways.
    pub fn speed_reports(&self, now: Timestamp) -> Vec<TargetSpeedReport> {
        let reports = self.targets.iter().filter_map(|target| target.speed_report(now));
        reports.take(MAX_TARGET_REPORTS).collect()
    }

    /// Applies the reports of the gateway whose process has the short hash `peer`.
    pub fn apply_speed_reports(
        &mut self,
        peer: u32,
        reports: &[TargetSpeedReport],
        now: Timestamp,
    ) {
        for report in reports {
            let Some(key) = self.by_hash.get(&report.target) else { continue };
            self.usual_times.apply_report(&mut self.targets[key.0 as usize], peer, report, now);
        }
    }

    /// Sets the gateways that share the limits of targets.
    pub fn set_sharing_gateways(&mut self, sharers: SharingGateways, now: Timestamp) {
        if sharers == self.sharing_gateways {
            return;
        }
        self.sharing_gateways = sharers;
        for target in &mut self.targets {
            target.limit.update_share(&target.id, &self.sharing_gateways, now);
        }
        self.update_cold_shares(now);
    }

    /// Records what a response says of its target's limit; `sent_at` is the time of its request.
    /// Returns whether the limit has changed.
    pub fn record_limit(
        &mut self,
        key: TargetKey,
        named: NamedLimit,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let target = &mut self.targets[key.0 as usize];
        target.limit.record_response(&target.id, named, &self.sharing_gateways, sent_at, now)
    }

    /// Applies another gateway's reports of limits; returns the targets whose limit has changed.
    pub fn apply_limit_reports(
        &mut self,
        reports: &[TargetLimitReport],
        now: Timestamp,
    ) -> Vec<TargetKey> {
        let mut changed = Vec::new();
        for report in reports {
            let Some(key) = self.by_hash.get(&report.target).copied() else { continue };
            let target = &mut self.targets[key.0 as usize];
            if target.started_unix_ms == report.born_ms
                && target.limit.apply_report(&target.id, report, &self.sharing_gateways, now)
            {
                changed.push(key);
            }
        }
        changed
    }

    /// Returns the limits of targets, to report to the other gateways.
    pub fn limit_reports(&self, now: Timestamp) -> Vec<TargetLimitReport> {
        self.targets
            .iter()
            .filter_map(|target| target.limit.report(target.hash, target.started_unix_ms, now))
            .take(MAX_TARGET_REPORTS)
            .collect()
    }
}
