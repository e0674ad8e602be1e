//! Limits of targets that all gateways share.

use base::{ProcessId, Timestamp, short_hash};
use routing::SharingGateways;
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
        self.fleet.borrow_mut().set_sharing_gateways(sharers, now);
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
