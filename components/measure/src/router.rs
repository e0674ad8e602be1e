//! Choice of a target under each policy.

use std::cmp::Reverse;

use base::{ProcessId, Timestamp};
use compact_str::CompactString;
use config::{FleetConfig, Residency};
use rand::Rng;
use routing::{Choice, ModelRequirements, Reachability, Router, SendId};
use wire::{CopyState, Heartbeat};

use crate::{Arrival, Policy};

/// A router with the baselines beside it.
#[derive(Clone, Debug)]
pub(crate) struct PolicyRouter {
    policy: Policy,
    router: Router,
    turn: usize,
}

impl PolicyRouter {
    pub(crate) const fn new(policy: Policy, router: Router) -> Self {
        Self { policy, router, turn: 0 }
    }

    pub(crate) fn take_heartbeat(&mut self, heartbeat: &Heartbeat, heard_at: Timestamp) {
        self.router.apply_heartbeat(heartbeat, heard_at);
    }

    pub(crate) fn note_send(
        &mut self,
        target: &str,
        tokens: u64,
        now: Timestamp,
    ) -> Option<SendId> {
        self.router.record_send(target, tokens, now)
    }

    pub(crate) fn note_end(&mut self, target: &str, send: SendId) {
        self.router.record_end(target, send);
    }

    pub(crate) const fn core(&self) -> &Router {
        &self.router
    }

    /// Name of the target for a request; none if no target can serve it.
    pub(crate) fn choose(
        &mut self,
        config: &FleetConfig,
        arrival: &Arrival,
        exclude: &[CompactString],
        usable: impl Fn(&ProcessId) -> bool,
        rng: &mut impl Rng,
    ) -> Option<CompactString> {
        let model = config.model(arrival.model);
        if matches!(self.policy, Policy::RoundRobin | Policy::LeastLoaded)
            && let Some(target) = self.choose_baseline(&model.name, exclude, &usable)
        {
            return Some(target);
        }
        let need = ModelRequirements {
            model: &model.name,
            service: &config.service(model.service).name,
            memory_mb: model.memory_mb,
            adapter: arrival.adapter.map(|id| config.adapter(id).name.as_str()),
            blocks: &[],
            prompt_tokens: arrival.prompt_tokens.0,
            affinity: u64::from(arrival.customer.0),
            exclude,
        };
        let reach = |process: &ProcessId| {
            if usable(process) { Reachability::Usable } else { Reachability::Unusable }
        };
        match self.router.choose_model(&need, reach, rng) {
            // Fixed placement has no loads; a model that lost its last copy stays unreachable.
            Choice::Load(_) if self.policy == Policy::FixedPlacement => None,
            Choice::Load(pick) | Choice::Serve(pick) => Some(pick.target),
            Choice::None(_) => None,
        }
    }

    fn choose_baseline(
        &mut self,
        model: &str,
        exclude: &[CompactString],
        usable: &impl Fn(&ProcessId) -> bool,
    ) -> Option<CompactString> {
        let copies: Vec<(u64, CompactString)> = self
            .router
            .targets()
            .filter(|info| usable(info.process) && !exclude.contains(&info.report.target))
            .filter(|info| {
                let resident =
                    |c: &wire::ModelCopy| c.model == model && c.state == CopyState::Resident;
                info.report.models.iter().any(resident)
            })
            .map(|info| {
                let running = u64::from(info.report.running);
                (info.report.queued_tokens + running, info.report.target.clone())
            })
            .collect();
        if self.policy == Policy::LeastLoaded {
            return copies.into_iter().min().map(|(_, target)| target);
        }
        self.turn += 1;
        copies.get(self.turn % copies.len().max(1)).map(|(_, target)| target.clone())
    }
}

/// Copies at the start: models in order of memory, each to the emptiest target of its service, and then
/// again round by round while there is room, so that fixed placement uses all memory.
pub(crate) fn initial_placement(config: &FleetConfig) -> Vec<(CompactString, Vec<usize>)> {
    let mut placement = Vec::new();
    for (service_at, service) in config.services.iter().enumerate() {
        let mut free: Vec<u64> = service.targets.iter().map(|t| t.memory_mb).collect();
        let mut held: Vec<Vec<usize>> = vec![Vec::new(); service.targets.len()];
        let mut models: Vec<usize> = (0..config.models.len())
            .filter(|at| config.models[*at].service.index() == service_at)
            .collect();
        models.sort_by_key(|at| {
            let model = &config.models[*at];
            (model.residency != Residency::Always, Reverse(model.memory_mb))
        });
        loop {
            let mut placed = false;
            for model in &models {
                let memory = config.models[*model].memory_mb;
                let room = (0..free.len())
                    .filter(|t| free[*t] >= memory && !held[*t].contains(model))
                    .max_by_key(|t| (free[*t], Reverse(*t)));
                if let Some(target) = room {
                    free[target] -= memory;
                    held[target].push(*model);
                    placed = true;
                }
            }
            if !placed {
                break;
            }
        }
        placement.extend(service.targets.iter().map(|t| t.name.clone()).zip(held));
    }
    placement
}
