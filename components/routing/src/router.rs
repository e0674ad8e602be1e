//! Selection among targets behind side processes, by residency and load.

use base::{ProcessId, SortedMap, Timestamp};
use compact_str::CompactString;
use rand::Rng;
use wire::{CopyState, Heartbeat, TargetKind};

use crate::rendezvous_orders::RendezvousOrders;
use crate::request::{Choice, ModelRequirements, NoTarget, Pick, PlainRequirements, TargetInfo};
use crate::score::{NetworkDelays, Reachability, base_cost, model_cost};
use crate::sends::SendId;
use crate::target::Target;
use crate::{CacheEvent, PrefixIndex};

/// Maximum number of targets examined per request.
pub const MAX_CANDIDATES: usize = 8;
/// Maximum cost above the cheapest candidate at which a candidate is still considered, in
/// microseconds.
///
/// About the age of a load report. Smaller differences may be outdated, or may result from several
/// entries choosing the same target between two reports.
const COST_TOLERANCE_MICROS: u64 = 250_000;

/// Targets with their last reports, indexed by resident models and by service.
#[derive(Clone, Debug)]
pub struct Router {
    region: CompactString,
    data_centre: CompactString,
    delays: NetworkDelays,
    targets: Vec<Target>,
    by_name: SortedMap<CompactString, u32>,
    /// Free positions in `targets`.
    vacant: Vec<u32>,
    resident: SortedMap<CompactString, RendezvousOrders>,
    loading: SortedMap<CompactString, RendezvousOrders>,
    services: SortedMap<CompactString, RendezvousOrders>,
    prefixes: PrefixIndex,
}

impl Router {
    /// Creates a router without targets, located in the given region and data centre.
    pub fn new(region: &str, data_centre: &str, delays: NetworkDelays) -> Self {
        Self {
            region: CompactString::new(region),
            data_centre: CompactString::new(data_centre),
            delays,
            targets: Vec::new(),
            by_name: SortedMap::new(),
            vacant: Vec::new(),
            resident: SortedMap::new(),
            loading: SortedMap::new(),
            services: SortedMap::new(),
            prefixes: PrefixIndex::new(),
        }
    }

    /// Applies the target report of a heartbeat that the membership accepted. `received_at` is the
    /// time of arrival or, for a heartbeat in a reply, the time before the call.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, received_at: Timestamp) {
        let Some(report) = &heartbeat.target else { return };
        let at = match self.by_name.get(&report.target) {
            Some(at) => *at,
            None => {
                self.add(Target::new(heartbeat, report, received_at));
                return;
            }
        };
        let target = &self.targets[at as usize];
        if heartbeat.from.name == target.process.name && heartbeat.from < target.process {
            return;
        }
        if heartbeat.from != target.process {
            self.prefixes.remove(at);
        }
        let changed = target.report.models != report.models
            || target.report.service != report.service
            || target.report.kind != report.kind;
        if changed {
            self.unindex_target(at);
        }
        self.targets[at as usize].update(heartbeat, report, received_at);
        if changed {
            self.index_target(at);
        }
    }

    /// Removes the targets for whose side process `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ProcessId) -> bool) {
        let removed: Vec<u32> = self
            .by_name
            .values()
            .copied()
            .filter(|at| !keep(&self.targets[*at as usize].process))
            .collect();
        for at in removed {
            self.unindex_target(at);
            self.prefixes.remove(at);
            self.by_name.remove(&self.targets[at as usize].name);
            self.vacant.push(at);
        }
    }

    fn add(&mut self, target: Target) {
        let name = target.name.clone();
        let at = match self.vacant.pop() {
            Some(at) => {
                self.targets[at as usize] = target;
                at
            }
            None => {
                let Ok(at) = u32::try_from(self.targets.len()) else { return };
                self.targets.push(target);
                at
            }
        };
        self.by_name.insert(name, at);
        self.index_target(at);
    }

    fn index_target(&mut self, at: u32) {
        let report = &self.targets[at as usize].report;
        self.services
            .get_or_insert_with(report.service.clone(), RendezvousOrders::default)
            .insert(at);
        for copy in &report.models {
            let index = match copy.state {
                CopyState::Resident => &mut self.resident,
                CopyState::Loading => &mut self.loading,
                CopyState::Unloading => continue,
            };
            index.get_or_insert_with(copy.model.clone(), RendezvousOrders::default).insert(at);
        }
    }

    fn unindex_target(&mut self, at: u32) {
        let report = &self.targets[at as usize].report;
        if let Some(service) = self.services.get_mut(&report.service) {
            service.remove(at);
        }
        for copy in &report.models {
            for index in [&mut self.resident, &mut self.loading] {
                if let Some(targets) = index.get_mut(&copy.model) {
                    targets.remove(at);
                }
            }
        }
    }

    /// Applies a cache event of a target.
    pub fn apply_cache_event(&mut self, target: &str, event: &CacheEvent) {
        if let Some(at) = self.by_name.get(target) {
            self.prefixes.apply(*at, event);
        }
    }

    /// Replaces the recorded cache content of a target by its blocks as of event `sequence`.
    pub fn resync_cache(&mut self, target: &str, sequence: u64, blocks: Vec<u64>) {
        if let Some(at) = self.by_name.get(target) {
            self.prefixes.resync(*at, sequence, blocks);
        }
    }

    /// Returns whether cache events of a target were missed.
    pub fn cache_is_stale(&self, target: &str) -> bool {
        self.by_name.get(target).is_some_and(|at| self.prefixes.is_stale(*at))
    }

    /// Records a send, so that it counts towards the target's load before the target reports it.
    pub fn record_send(&mut self, target: &str, tokens: u64, now: Timestamp) -> Option<SendId> {
        let at = *self.by_name.get(target)?;
        Some(self.targets[at as usize].sends.add(tokens, now))
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, target: &str, send: SendId) {
        if let Some(at) = self.by_name.get(target) {
            self.targets[*at as usize].sends.record_end(send);
        }
    }

    /// Returns the state of a target.
    pub fn target(&self, name: &str) -> Option<TargetInfo<'_>> {
        self.by_name.get(name).map(|at| info(&self.targets[*at as usize]))
    }

    /// Iterates over all known targets, in order of their names.
    pub fn targets(&self) -> impl Iterator<Item = TargetInfo<'_>> {
        self.by_name.values().map(|at| info(&self.targets[*at as usize]))
    }

    /// Iterates over the names of the targets that report the model as resident.
    pub fn copies(&self, model: &str) -> impl Iterator<Item = &CompactString> {
        let members = self.resident.get(model).map_or(&[] as &[u32], RendezvousOrders::members);
        members.iter().map(|at| &self.targets[*at as usize].name)
    }

    /// Chooses a target for a generation.
    pub fn choose_model(
        &mut self,
        requirements: &ModelRequirements<'_>,
        reachability: impl Fn(&ProcessId) -> Reachability,
        rng: &mut impl Rng,
    ) -> Choice {
        let usable = |target: &Target| match reachability(&target.process) {
            Reachability::Unusable => None,
            reachability => {
                let is_eligible = target.report.healthy
                    && !requirements.exclude.contains(&target.name)
                    && target.report.service == requirements.service;
                is_eligible.then_some(reachability)
            }
        };
        for (index, serves) in [(&mut self.resident, true), (&mut self.loading, false)] {
            let Some(copies) = index.get_mut(requirements.model) else { continue };
            let found = find_candidates(
                copies,
                &self.targets,
                requirements.model,
                requirements.affinity,
                &usable,
            );
            let scored = found.into_iter().map(|(at, reachability)| {
                let target = &self.targets[at as usize];
                let one_way = self.delays.one_way_to(&self.region, &self.data_centre, target);
                let base = base_cost(target, one_way, reachability);
                (
                    model_cost(
                        target,
                        requirements,
                        self.prefixes.matched(at, requirements.blocks),
                        base,
                    ),
                    at,
                )
            });
            if let Some((cost, at)) = pick_best_of_two(scored.collect(), rng) {
                let pick = pick(&self.targets[at as usize], cost);
                return if serves { Choice::Serve(pick) } else { Choice::Load(pick) };
            }
        }
        self.choose_load_target(requirements, usable)
    }

    /// Chooses the target that should load a model without a usable copy: the first in rendezvous
    /// order among those with enough memory. The order depends on the model only, so that every
    /// entry chooses the same target.
    fn choose_load_target(
        &mut self,
        requirements: &ModelRequirements<'_>,
        usable: impl Fn(&Target) -> Option<Reachability>,
    ) -> Choice {
        let Some(service) = self.services.get_mut(requirements.service).filter(|s| !s.is_empty())
        else {
            return Choice::None(NoTarget::NoneKnown);
        };
        let targets = &self.targets;
        let may_load = |target: &Target| {
            let report = &target.report;
            let holds = report.kind == TargetKind::Engine
                && !report.quarantined
                && report.capacity_mb >= requirements.memory_mb;
            if holds { usable(target) } else { None }
        };
        let found = find_candidates(service, targets, requirements.model, 0, &may_load);
        let first = found
            .iter()
            .find(|(_, reachability)| *reachability == Reachability::Usable)
            .or(found.first());
        match first {
            Some((at, reachability)) => {
                let target = &targets[*at as usize];
                let one_way = self.delays.one_way_to(&self.region, &self.data_centre, target);
                Choice::Load(pick(target, base_cost(target, one_way, *reachability)))
            }
            None => {
                let any =
                    service.members().iter().any(|at| usable(&targets[*at as usize]).is_some());
                Choice::None(if any { NoTarget::TooLarge } else { NoTarget::NoneUsable })
            }
        }
    }

    /// Chooses a target for a request to a plain service.
    pub fn choose_plain(
        &mut self,
        requirements: &PlainRequirements<'_>,
        reachability: impl Fn(&ProcessId) -> Reachability,
        rng: &mut impl Rng,
    ) -> Choice {
        let Some(service) = self.services.get_mut(requirements.service).filter(|s| !s.is_empty())
        else {
            return Choice::None(NoTarget::NoneKnown);
        };
        let usable = |target: &Target| match reachability(&target.process) {
            Reachability::Unusable => None,
            reachability => {
                let is_eligible = target.report.healthy
                    && target.report.kind == TargetKind::Plain
                    && !requirements.exclude.contains(&target.name);
                is_eligible.then_some(reachability)
            }
        };
        let found = find_candidates(
            service,
            &self.targets,
            requirements.service,
            requirements.affinity,
            &usable,
        );
        let scored = found.into_iter().map(|(at, reachability)| {
            let target = &self.targets[at as usize];
            let one_way = self.delays.one_way_to(&self.region, &self.data_centre, target);
            (base_cost(target, one_way, reachability), at)
        });
        match pick_best_of_two(scored.collect(), rng) {
            Some((cost, at)) => Choice::Serve(pick(&self.targets[at as usize], cost)),
            None => Choice::None(NoTarget::NoneUsable),
        }
    }
}

/// Returns the first usable targets in rendezvous order for `(key, affinity)`.
fn find_candidates(
    set: &mut RendezvousOrders,
    targets: &[Target],
    key: &str,
    affinity: u64,
    usable: &impl Fn(&Target) -> Option<Reachability>,
) -> Vec<(u32, Reachability)> {
    let name_of = |at: u32| &targets[at as usize].name;
    let accept = |at: &u32| usable(&targets[*at as usize]).map(|reachability| (*at, reachability));
    let near: Vec<(u32, Reachability)> =
        set.order(key, affinity, name_of).iter().filter_map(accept).take(MAX_CANDIDATES).collect();
    if !near.is_empty() {
        return near;
    }
    let all = set.full_order(key, affinity, |at| accept(at).is_some(), name_of);
    all.iter().filter_map(accept).take(MAX_CANDIDATES).collect()
}

/// Returns the cheaper of two candidates drawn at random from the cheaper half.
///
/// If the cheapest candidate were always chosen, every entry would send to the same target until
/// its next report.
fn pick_best_of_two(mut scored: Vec<(u64, u32)>, rng: &mut impl Rng) -> Option<(u64, u32)> {
    // A stable sort keeps candidates of equal cost in rendezvous order, which differs by request.
    scored.sort_by_key(|(cost, _)| *cost);
    let (best, _) = *scored.first()?;
    scored.truncate(scored.len().div_ceil(2).max(2));
    scored.retain(|(cost, _)| *cost <= best.saturating_add(COST_TOLERANCE_MICROS));
    let first = rng.random_range(0..scored.len());
    if scored.len() == 1 {
        return scored.first().copied();
    }
    let second = (first + rng.random_range(1..scored.len())) % scored.len();
    scored.get(first.min(second)).copied()
}

fn pick(target: &Target, cost_micros: u64) -> Pick {
    Pick {
        target: target.name.clone(),
        process: target.process.clone(),
        address: target.address,
        cost_micros,
    }
}

fn info(target: &Target) -> TargetInfo<'_> {
    TargetInfo {
        process: &target.process,
        address: target.address,
        report: &target.report,
        unreported_tokens: target.sends.tokens(),
    }
}
