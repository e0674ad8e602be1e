//! Heartbeats and status replies of a side process.

use std::net::SocketAddr;

use base::{Role, Timestamp};
use config::ServiceKind;
use placement::{AllocationState, Item};
use wire::{
    CopyState, Heartbeat, LogView, ModelCopy, ProcessStatus, StatusProblem, TargetKind,
    TargetReport,
};

use crate::config_source_state::ConfigSourceState;
use crate::core::Core;

impl Core {
    /// State of the target for heartbeats; none until a configuration contains it.
    fn target_report(&self) -> Option<TargetReport> {
        let target_config = self.target_config.as_ref()?;
        let kind = match target_config.kind {
            ServiceKind::Engine => TargetKind::Engine,
            ServiceKind::Plain => TargetKind::Plain,
        };
        let models = self.ledger.allocations().filter_map(|(item, allocation)| match item {
            Item::Model(name) => Some(ModelCopy {
                model: name.clone(),
                state: match allocation.state {
                    AllocationState::Loading => CopyState::Loading,
                    AllocationState::Resident => CopyState::Resident,
                    AllocationState::Uncertain | AllocationState::Unloading => CopyState::Unloading,
                },
            }),
            Item::Adapter(_) => None,
        });
        let adapters = self.ledger.allocations().filter_map(|(item, allocation)| match item {
            Item::Adapter(name) if allocation.state == AllocationState::Resident => {
                Some(name.clone())
            }
            _ => None,
        });
        Some(TargetReport {
            target: target_config.target.name.clone(),
            service: self.config.service(target_config.service).name.clone(),
            kind,
            healthy: self.healthy,
            quarantined: self.quarantined(),
            models: models.collect(),
            adapters: adapters.collect(),
            capacity_mb: self.ledger.capacity_mb(),
            used_mb: self.ledger.used_mb(),
            queued_tokens: self.queue.queued_tokens().0.saturating_add(self.engine_waiting_tokens),
            running: u32::try_from(self.queue.running()).unwrap_or(u32::MAX),
            batch: target_config.target.batch,
            tokens_per_s: target_config.target.tokens_per_s,
            // Queued and running requests are counted by this process at this time.
            sample_age_ms: 0,
        })
    }

    /// Builds the heartbeat that is sent to peers and returned to them.
    pub fn heartbeat(
        &self,
        address: SocketAddr,
        source: &ConfigSourceState,
        now: Timestamp,
    ) -> Heartbeat {
        Heartbeat {
            from: self.process.clone(),
            role: Role::Side,
            region: self.settings.process.region.clone(),
            data_centre: self.settings.process.data_centre.clone(),
            address,
            config_offset: self.config.version,
            log: LogView { end_read_age_ms: source.end_read_age_ms(now) },
            draining: self.draining,
            target: self.target_report(),
            demand: Vec::new(),
        }
    }

    /// Builds the reply to a status call.
    pub fn status(&self, source: &ConfigSourceState, now: Timestamp) -> ProcessStatus {
        let silent_after =
            std::time::Duration::from_millis(self.settings.membership.silent_after_ms);
        let live = self.peers.live(silent_after, now).into_iter().map(|name| name.0);
        let problems = [
            (self.target_config.is_none(), StatusProblem::NoConfiguration),
            (source.log_unreachable, StatusProblem::LogUnreachable),
            (source.newer_rules, StatusProblem::NewerRules),
            (self.target_config.is_some() && self.quarantined(), StatusProblem::Quarantined),
            (self.target_config.is_some() && !self.healthy, StatusProblem::TargetUnhealthy),
        ];
        ProcessStatus {
            process: self.process.clone(),
            role: Role::Side,
            region: self.settings.process.region.clone(),
            data_centre: self.settings.process.data_centre.clone(),
            config_offset: self.config.version,
            log_age_ms: source.end_read_age_ms(now),
            draining: self.draining,
            in_flight: u64::try_from(self.requests.len()).unwrap_or(u64::MAX),
            slots_owned: 0,
            live_peers: live.collect(),
            problems: problems.into_iter().filter(|(is, _)| *is).map(|(_, p)| p).collect(),
        }
    }
}
