//! What gateways tell each other of the targets of a fleet: work, sends, limits and times.

use std::time::Duration;

use base::{ProcessName, SortedMap, Timestamp};
use wire::{SendCopy, TargetLimitReport, TargetSpeedReport, TargetWorkCopy};

use crate::{DirectFleet, NamedLimit, PrefixLink, SharingGateways, TargetKey, Workload};

/// Most limits, and most times, reported in one state, so that it fits into a datagram.
const MAX_TARGET_REPORTS: usize = 500;

impl DirectFleet {
    /// Applies a peer's report of its work at targets; targets missing from the report have none.
    pub fn apply_peer_work(&mut self, peer: &ProcessName, work: &[TargetWorkCopy], now: Timestamp) {
        if !work.is_empty() {
            self.cold_rules.record_traffic();
        }
        let named: SortedMap<u32, &TargetWorkCopy> =
            work.iter().map(|copy| (copy.target, copy)).collect();
        for target in &mut self.targets {
            let workload =
                named.get(&target.hash).map_or_else(Workload::default, |copy| Workload {
                    pending_prefill_ms: f64::from(copy.unread_ms),
                    waiting: copy.waiting,
                    running: copy.running,
                    cache_tokens: copy.cache_tokens,
                });
            target.work.update_peer(peer, workload, now);
            if let Some(quiet_ms) = named.get(&target.hash).and_then(|copy| copy.quiet_ms) {
                target.silence.record_peer(now - Duration::from_millis(u64::from(quiet_ms)));
            }
        }
    }

    /// Records a prompt that a peer sent to a target.
    pub fn apply_peer_send(&mut self, send: &SendCopy, now: Timestamp) {
        let Some(key) = self.by_hash.get(&send.target) else { return };
        let links: Vec<PrefixLink> = send
            .links
            .iter()
            .map(|link| PrefixLink { hash: link.hash, tokens: link.tokens })
            .collect();
        self.targets[key.0 as usize].prefixes.record_prompt(&links, now);
    }

    /// Returns the work of this process at each target where it has any.
    pub fn local_work(&self, now: Timestamp) -> Vec<TargetWorkCopy> {
        self.targets
            .iter()
            .filter(|target| !target.work.is_idle())
            .map(|target| {
                let local = target.work.local();
                TargetWorkCopy {
                    target: target.hash,
                    unread_ms: local.pending_prefill_ms.round().clamp(0.0, f64::from(u32::MAX))
                        as u32,
                    waiting: local.waiting,
                    running: local.running,
                    cache_tokens: local.cache_tokens,
                    quiet_ms: target
                        .silence
                        .own_sign_at()
                        .map(|at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)),
                }
            })
            .collect()
    }

    /// Returns the short hashes of the targets that recently did not respond to this process.
    pub fn unresponsive_targets(&self, now: Timestamp) -> Vec<u32> {
        self.targets
            .iter()
            .filter(|target| target.accepts_work && !target.health.is_usable(now))
            .map(|target| target.hash)
            .collect()
    }

    /// Applies a peer's report of targets that do not respond to it.
    pub fn apply_peer_unresponsive(&mut self, targets: &[u32], now: Timestamp) {
        for hash in targets {
            if let Some(key) = self.by_hash.get(hash) {
                self.targets[key.0 as usize].record_peer_unresponsive(now);
            }
        }
    }

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
