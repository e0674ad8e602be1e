//! Limits of targets that all gateways share, those that targets name and those of cold targets.

use std::time::Duration;

use base::{ProcessId, Timestamp, short_hash};
use compact_str::CompactString;
use routing::{ColdRule, SharingGateways};
use telemetry::quote;
use wire::TargetLimitReport;

use crate::app::App;

impl App {
    /// Shares the limits of targets among this gateway and those that are known now.
    pub(crate) fn update_sharing_gateways(&self, now: Timestamp) {
        let sharers = SharingGateways {
            process: short_hash(self.process.to_string().as_bytes()),
            local: self.process.name.as_str().to_owned(),
            others: self
                .gateways
                .borrow()
                .peers()
                .map(|(name, _)| name.as_str().to_owned())
                .collect(),
        };
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_sharing_gateways(sharers, now);
        fleet.record_register_read(self.registry_read.get(), now);
    }

    /// Sets the limits on cold targets from the configuration and the settings in force.
    pub(crate) fn update_cold_rules(&self, now: Timestamp) {
        let Some(config) = self.config() else { return };
        let bounds = self.settings().bounds;
        let rules: Vec<(CompactString, ColdRule)> = config
            .services
            .iter()
            .map(|service| {
                let per_s = service.cold_per_1000_s as f64 / 1_000.0;
                let rule = ColdRule {
                    per_s,
                    max_per_s: per_s * bounds.cold_overage + bounds.cold_slack,
                    cold_for: Duration::from_millis(service.cold_ms),
                };
                (service.name.clone(), rule)
            })
            .collect();
        self.fleet.borrow_mut().set_cold_rules(&rules, now);
    }

    /// Applies what another gateway reports of the limits of targets.
    pub(crate) fn apply_limit_reports(
        &self,
        reports: &[TargetLimitReport],
        from: &ProcessId,
        now: Timestamp,
    ) {
        let mut fleet = self.fleet.borrow_mut();
        for key in fleet.apply_limit_reports(reports, now) {
            let target = fleet.target(key);
            log::info!(
                "event=target_limit_changed target={} limit_per_s={} source=gateway gateway={from}",
                quote(&target.id),
                target.limit.per_s().unwrap_or(f64::INFINITY)
            );
        }
    }
}
