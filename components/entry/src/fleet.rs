//! The choice of a target for each attempt, and the budget of retries.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, SortedMap, Timestamp, seeded_rng};
use compact_str::CompactString;
use config::EntrySettings;
use membership::{Liveness, Membership};
use rand_chacha::ChaCha8Rng;
use routing::{
    Backoff, Choice, ModelRequirements, NetworkDelays, Pick, PlainRequirements, RetryBudget,
    Router, SendId, TargetInfo, prefix_blocks, reachability_of,
};
use wire::{GenerateRequest, Heartbeat, ModelDemand, SlotId};

use crate::app::App;
use crate::demand::DemandMeter;

/// Most attempts after the first for one request.
const MAX_RETRIES: u32 = 4;

/// Targets as this process knows them.
pub(crate) struct Fleet {
    router: Router,
    budget: RetryBudget,
    backoff: Backoff,
    demand: DemandMeter,
    /// Demand that other entries reported last.
    remote_demand: SortedMap<ProcessName, Vec<ModelDemand>>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// A process that knows no target; `seed` differs between processes.
    pub(crate) fn new(settings: &EntrySettings, seed: u64, now: Timestamp) -> Self {
        let place = &settings.process;
        Self {
            router: Router::new(&place.region, &place.data_centre, NetworkDelays::default()),
            budget: RetryBudget::new(
                settings.retry_budget_percent,
                settings.retry_floor_per_s,
                now,
            ),
            backoff: Backoff::default(),
            demand: DemandMeter::default(),
            remote_demand: SortedMap::new(),
            rng: seeded_rng(seed),
        }
    }

    /// Takes a heartbeat that the membership accepted.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, received_at: Timestamp) {
        self.router.apply_heartbeat(heartbeat, received_at);
        if heartbeat.role == Role::Entry {
            self.remote_demand.insert(heartbeat.from.name.clone(), heartbeat.demand.clone());
        }
    }

    /// Demand that another entry reported last.
    pub(crate) fn demand_at(&self, entry: &ProcessName) -> &[ModelDemand] {
        self.remote_demand.get(entry).map_or(&[], Vec::as_slice)
    }

    /// Targets that were heard of.
    pub(crate) fn targets(&self) -> impl Iterator<Item = TargetInfo<'_>> {
        self.router.targets()
    }

    /// Demand for each model here.
    pub(crate) fn demand(&mut self, now: Timestamp) -> Vec<ModelDemand> {
        self.demand.report(now)
    }
}

/// A request on its way to a target, counted as load until it ends.
pub(crate) struct SendGuard<'a> {
    app: &'a App,
    target: CompactString,
    send: Option<SendId>,
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        if let Some(send) = self.send {
            self.app.fleet.borrow_mut().router.record_end(&self.target, send);
        }
    }
}

impl App {
    /// Whether a run of a process is silent, replaced or unknown.
    pub(crate) fn is_unreachable(&self, process: &ProcessId) -> bool {
        !self.membership.borrow().is_reachable(process, self.clock.now())
    }

    /// Peer address of a run of a process.
    pub(crate) fn address_of(&self, process: &ProcessId) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        membership.member(&process.name).filter(|m| m.process == *process).map(|m| m.address)
    }

    /// Whether every bucket slot has a live owner.
    pub(crate) fn all_slots_owned(&self) -> bool {
        let Some(config) = self.config() else { return false };
        let slots = self.slots.borrow();
        (0..config.buckets.partitions.max(1)).all(|partition| {
            (0..config.buckets.slots.max(1)).all(|index| {
                let owner = slots.ledger.owner(SlotId { partition, index });
                owner.is_some_and(|owner| *owner == self.process_id || !self.is_unreachable(owner))
            })
        })
    }

    /// Whether a target takes requests and orders.
    pub(crate) fn is_target_available(&self, target: &str) -> bool {
        let fleet = self.fleet.borrow();
        fleet
            .router
            .target(target)
            .is_some_and(|info| info.report.healthy && !info.report.quarantined)
    }

    /// Whether every target of the configuration takes requests and orders.
    pub(crate) fn are_all_targets_available(&self) -> bool {
        self.config().is_some_and(|config| {
            let mut targets = config.services.iter().flat_map(|service| &service.targets);
            targets.all(|target| self.is_target_available(&target.name))
        })
    }

    /// Counts a request in the demand for its model and in the budget of retries.
    pub(crate) fn record_generation(&self, model: &str, tokens: u64) {
        let now = self.clock.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.budget.record_request();
        fleet.demand.record(model, tokens, now);
    }

    /// Counts a call to a plain service in the budget of retries.
    pub(crate) fn record_call(&self) {
        self.fleet.borrow_mut().budget.record_request();
    }

    /// A target for a generation, other than those tried before if there is one.
    pub(crate) fn choose_engine(
        &self,
        request: &GenerateRequest,
        tried: &[CompactString],
    ) -> Option<Pick> {
        let config = self.config()?;
        let model = config.model(config.model_id(&request.model)?);
        let adapter = request.adapter.as_deref();
        let blocks = prefix_blocks(&request.model, adapter, &request.prompt);
        let mut requirements = ModelRequirements {
            model: &request.model,
            service: &config.service(model.service).name,
            memory_mb: model.memory_mb,
            adapter,
            blocks: &blocks,
            prompt_tokens: request.prompt_tokens,
            affinity: blocks.first().copied().unwrap_or_default(),
            exclude: tried,
        };
        let membership = self.membership.borrow();
        let now = self.clock.now();
        let fleet = &mut *self.fleet.borrow_mut();
        let reach = |process: &ProcessId| reachability_of(&membership, process, now);
        let choice = fleet.router.choose_model(&requirements, reach, &mut fleet.rng);
        picked(choice).or_else(|| {
            // A target that failed once is better than none.
            requirements.exclude = &[];
            picked(fleet.router.choose_model(&requirements, reach, &mut fleet.rng))
        })
    }

    /// A target of a plain service, other than those tried before if there is one.
    pub(crate) fn choose_plain(
        &self,
        service: &str,
        affinity: u64,
        tried: &[CompactString],
    ) -> Option<Pick> {
        let mut requirements = PlainRequirements { service, affinity, exclude: tried };
        let membership = self.membership.borrow();
        let now = self.clock.now();
        let fleet = &mut *self.fleet.borrow_mut();
        let reach = |process: &ProcessId| reachability_of(&membership, process, now);
        let choice = fleet.router.choose_plain(&requirements, reach, &mut fleet.rng);
        picked(choice).or_else(|| {
            requirements.exclude = &[];
            picked(fleet.router.choose_plain(&requirements, reach, &mut fleet.rng))
        })
    }

    /// Counts a request as load of a target until the value is dropped.
    pub(crate) fn record_send(&self, pick: &Pick, tokens: u64) -> SendGuard<'_> {
        let now = self.clock.now();
        let send = self.fleet.borrow_mut().router.record_send(&pick.target, tokens, now);
        SendGuard { app: self, target: pick.target.clone(), send }
    }

    /// Wait before the retry after attempt number `attempt`; none if there may be no more.
    pub(crate) fn next_retry(&self, attempt: u32) -> Option<Duration> {
        let now = self.clock.now();
        let fleet = &mut *self.fleet.borrow_mut();
        if attempt >= MAX_RETRIES || !fleet.budget.try_spend(now) {
            return None;
        }
        Some(fleet.backoff.delay(attempt, &mut fleet.rng))
    }

    /// Forgets targets of processes that are no longer remembered.
    pub(crate) fn expire_targets(&self, membership: &Membership) {
        let now = self.clock.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.remote_demand.retain(|name, _| membership.member(name).is_some());
        fleet.router.retain(|process| {
            membership.member(&process.name).is_some_and(|member| {
                member.process == *process
                    && (membership.liveness(member, now) != Liveness::Silent
                        || membership.termination_proof(process, now).is_none())
            })
        });
    }
}

fn picked(choice: Choice) -> Option<Pick> {
    match choice {
        Choice::Serve(pick) | Choice::Load(pick) => Some(pick),
        Choice::None(_) => None,
    }
}
