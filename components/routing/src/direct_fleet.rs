//! Selection among the targets that a gateway calls directly.

use std::net::SocketAddr;
use std::time::Duration;

use base::{SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use streams::SoftwareHistory;
use wire::{AgentState, TargetEntry};

use crate::direct_choice::{
    DirectChoice, DirectPick, DirectPlainRequirements, GenerationRequirements,
};
use crate::direct_target::TYPICAL_RUN_MS;
use crate::silent_targets::Hearing;
use crate::software_versions::SOFTWARE_RETENTION;
use crate::target_speed::spread_ms;
use crate::usual_times::UsualTimes;
use crate::{
    ColdRules, DirectTarget, PrefillEstimator, PrefillGaps, RequestWork, SendId, SharingGateways,
    TargetKey, TargetLoadSample, TargetOutcome, TargetPhase, WorkKind,
};

/// Delay of a new request per request in the batch, which lengthens decoding, in milliseconds.
const BATCH_DELAY_PER_REQUEST_MS: f64 = 0.7;
/// Cost of sending a request to another data centre, in milliseconds. The network delay is about
/// 1 ms; the rest accounts for the price of traffic between data centres, which is equivalent to a
/// wait of about this length.
const CROSS_DATA_CENTRE_MS: f64 = 30.0;
/// Time to load an adapter and to receive the report of it, in milliseconds.
const ADAPTER_LOAD_MS: f64 = 25.0;
/// Time to load an adapter if another one must be unloaded first, in milliseconds.
const ADAPTER_SWAP_MS: f64 = 60.0;
/// Cost of a failed attempt, in milliseconds; weighted by the target's share of failures.
const FAILED_ATTEMPT_MS: f64 = 600.0;
/// Share of the prefill time by which the cost of the first target in rendezvous order is reduced,
/// so that gateways that don't receive each other's reports send the same prompts to the same
/// targets.
const AFFINITY_SHARE: f64 = 0.25;
/// Maximum share of the estimated wait in the estimated time of a request whose duration is used as
/// an observation of the prefill time.
const MAX_WAIT_SHARE_FOR_OBSERVATION: f64 = 0.25;

/// Targets that are called directly, with their state.
#[derive(Clone, Debug)]
pub struct DirectFleet {
    data_centre: CompactString,
    pub(crate) targets: Vec<DirectTarget>,
    by_id: SortedMap<CompactString, TargetKey>,
    pub(crate) by_hash: SortedMap<u32, TargetKey>,
    prefill_estimator: PrefillEstimator,
    pub(crate) usual_times: UsualTimes,
    cache_tokens: SortedMap<CompactString, u64>,
    prefill_gaps: SortedMap<CompactString, PrefillGaps>,
    /// Services of the configuration, sorted.
    services: Vec<CompactString>,
    pub(crate) sharing_gateways: SharingGateways,
    pub(crate) cold_rules: ColdRules,
    /// Data centres whose targets receive no requests, sorted by name.
    evacuated: Vec<CompactString>,
    pub(crate) hearing: Hearing,
    /// Versions of software that targets ran before they changed or left the list.
    pub(crate) software_history: SoftwareHistory,
}

impl DirectFleet {
    /// Creates a fleet without targets for a gateway in `data_centre`.
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: CompactString::new(data_centre),
            targets: Vec::new(),
            by_id: SortedMap::new(),
            by_hash: SortedMap::new(),
            prefill_estimator: PrefillEstimator::new(),
            usual_times: UsualTimes::default(),
            cache_tokens: SortedMap::new(),
            prefill_gaps: SortedMap::new(),
            services: Vec::new(),
            sharing_gateways: SharingGateways::default(),
            cold_rules: ColdRules::default(),
            evacuated: Vec::new(),
            hearing: Hearing::default(),
            software_history: SoftwareHistory::default(),
        }
    }

    /// Sets the prompt cache capacity of each engine of a service.
    pub fn set_cache_tokens(&mut self, service: &str, tokens: u64) {
        self.cache_tokens.insert(CompactString::new(service), tokens);
        for target in self.targets.iter_mut().filter(|target| target.service == service) {
            target.prefixes.set_capacity(tokens);
        }
    }

    /// Sets the shortest gap objective of the streams of a service.
    pub fn set_gap_objective(&mut self, service: &str, gap_objective: Duration) {
        self.prefill_gaps.insert(CompactString::new(service), PrefillGaps::new(gap_objective));
    }

    /// Applies the entry of a target in the target list.
    pub fn apply_entry(&mut self, entry: &TargetEntry, now: Timestamp) {
        self.software_history.record(&entry.service, &entry.software, SOFTWARE_RETENTION, now);
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            self.record_software(key, now);
            self.targets[key.0 as usize].apply_entry(entry, now);
            self.record_coldness(key, Some(entry.cold_ms), now);
            return;
        }
        let Ok(at) = u32::try_from(self.targets.len()) else { return };
        self.supersede_previous(&entry.service, entry.address, entry.born_ms);
        let cache_tokens = self.cache_tokens.get(&entry.service).copied().unwrap_or(0);
        let target = DirectTarget::new(entry, cache_tokens);
        self.by_id.insert(target.id.clone(), TargetKey(at));
        self.by_hash.insert(target.hash, TargetKey(at));
        self.targets.push(target);
        self.record_coldness(TargetKey(at), Some(entry.cold_ms), now);
    }

    /// Sets the services of the configuration.
    pub fn set_services<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let mut services: Vec<CompactString> = names.map(CompactString::new).collect();
        services.sort_unstable();
        if services == self.services {
            return;
        }
        self.services = services;
        // Entries may arrive before the configuration with their service.
        for at in 0..self.targets.len() {
            let target = &self.targets[at];
            if target.phase(Timestamp::default()) == TargetPhase::Active {
                let (service, address) = (target.service.clone(), target.address);
                self.supersede_previous(&service, address, target.started_unix_ms);
            }
        }
    }

    /// Marks targets with the same address and an earlier start as superseded: they have ended,
    /// even if they are still listed.
    ///
    /// An entry of a service that is neither that of the earlier target nor configured may be of
    /// another writer, and says nothing about the address.
    fn supersede_previous(
        &mut self,
        service: &str,
        address: SocketAddr,
        started_unix_ms: Option<u64>,
    ) {
        let is_configured =
            self.services.binary_search_by(|name| name.as_str().cmp(service)).is_ok();
        let same_address = self.targets.iter_mut().filter(|target| target.address == address);
        for target in same_address.filter(|target| {
            target.started_unix_ms < started_unix_ms && (is_configured || target.service == service)
        }) {
            target.accepts_work = false;
            target.is_superseded = true;
        }
    }

    /// Records that a target was removed from the list; returns its address, if the target is
    /// known.
    pub fn mark_unlisted(&mut self, id: &str, now: Timestamp) -> Option<SocketAddr> {
        let key = self.by_id.get(id).copied()?;
        self.record_software(key, now);
        let target = &mut self.targets[key.0 as usize];
        target.record_unlisted(now);
        Some(target.address)
    }

    /// Applies the state that an agent reports of its engine; returns false if the state is
    /// outdated or the engine is unknown.
    pub fn apply_agent_state(&mut self, state: &AgentState, now: Timestamp) -> bool {
        let Some(key) = self.by_id.get(&state.target).copied() else { return false };
        let is_new = self.targets[key.0 as usize].apply_agent_state(state, now);
        if is_new {
            self.record_coldness(key, None, now);
        }
        is_new
    }

    /// Returns the target with this key.
    pub fn target(&self, key: TargetKey) -> &DirectTarget {
        &self.targets[key.0 as usize]
    }

    /// Returns the target with this key, mutably.
    pub fn target_mut(&mut self, key: TargetKey) -> &mut DirectTarget {
        &mut self.targets[key.0 as usize]
    }

    /// Returns the key of the target with this id.
    pub fn key_of(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Iterates over all targets, including those that have ended.
    pub fn targets(&self) -> impl Iterator<Item = &DirectTarget> {
        self.targets.iter()
    }

    /// Returns the estimated prefill time of prompt tokens of a model, in milliseconds.
    pub fn prefill_ms(&self, model: &str, tokens: u64) -> f64 {
        self.prefill_estimator.prefill_ms(model, tokens)
    }

    /// Records a send of a generation.
    pub fn record_generation(
        &mut self,
        pick: &DirectPick,
        requirements: &GenerationRequirements<'_>,
        now: Timestamp,
    ) -> SendId {
        self.cold_rules.record_traffic();
        let target = &mut self.targets[pick.key.0 as usize];
        target.record_send(now);
        target.prefixes.record_prompt(requirements.links, now);
        let work = RequestWork {
            prefill_ms: pick.prefill_ms,
            cache_tokens: requirements.prompt_tokens + requirements.output_tokens,
            adapter: requirements.adapter_name(),
        };
        target.work.add(work, now)
    }

    /// Records a send of a plain request.
    pub fn record_plain(&mut self, key: TargetKey, now: Timestamp) -> SendId {
        self.cold_rules.record_traffic();
        let target = &mut self.targets[key.0 as usize];
        target.record_send(now);
        target.speed.record_send(now);
        target.work.add(RequestWork::default(), now)
    }

    /// Records the response of a plain request, `took_ms` after it was sent and before its end.
    pub fn record_plain_response(&mut self, pick: &DirectPick, took_ms: f64, now: Timestamp) {
        let target = &mut self.targets[pick.key.0 as usize];
        self.usual_times.record_plain_response(target, pick, took_ms, now);
    }

    /// Records that a plain request had no response `waited_ms` after it was sent.
    pub fn record_plain_timeout(&mut self, pick: &DirectPick, waited_ms: f64, now: Timestamp) {
        let target = &mut self.targets[pick.key.0 as usize];
        self.usual_times.record_plain_timeout(target, pick, waited_ms, now);
    }

    /// Records the average time between two parts of a complete stream.
    pub fn record_event_gap(&mut self, key: TargetKey, model: &str, gap_ms: f64, now: Timestamp) {
        let target = &mut self.targets[key.0 as usize];
        self.usual_times.record_event_gap(target, model, gap_ms, now);
    }

    /// Records that the first event of a generation arrived `took_ms` after the request was sent.
    pub fn record_first_event(
        &mut self,
        pick: &DirectPick,
        model: &str,
        id: SendId,
        took_ms: f64,
        now: Timestamp,
    ) {
        let target = &mut self.targets[pick.key.0 as usize];
        target.work.record_first_event(id);
        let wait_ms = pick.estimate_ms - pick.prefill_ms;
        if pick.prefill_ms > 0.0 && wait_ms <= MAX_WAIT_SHARE_FOR_OBSERVATION * pick.estimate_ms {
            let usual_ms = self.prefill_estimator.prefill_ms(model, pick.uncached_tokens);
            let assumed_slowdown = pick.prefill_ms / usual_ms;
            let ratio = assumed_slowdown * took_ms / pick.estimate_ms.max(1.0);
            target.speed.record_first_event(ratio, now);
            let slowdown = target.speed.slowdown(WorkKind::Prefill, now);
            self.prefill_estimator.observe(model, pick.uncached_tokens, took_ms / slowdown);
        }
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, key: TargetKey, id: SendId) {
        self.targets[key.0 as usize].work.record_end(id);
    }

    /// Records the outcome of a request in the health of its target.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: TargetOutcome, now: Timestamp) {
        self.targets[key.0 as usize].health.record(outcome, now);
    }

    /// Records that a target reported in a response that it is leaving.
    pub fn record_leaving(&mut self, key: TargetKey) {
        self.targets[key.0 as usize].record_leaving();
    }

    /// Records that a target requested a backoff of `wait`.
    pub fn record_backoff(&mut self, key: TargetKey, wait: Duration, now: Timestamp) {
        self.targets[key.0 as usize].record_backoff(wait, now);
    }

    /// Records that a target refused a connection.
    pub fn record_connection_refused(&mut self, key: TargetKey, now: Timestamp) {
        self.targets[key.0 as usize].record_connection_refused(now);
    }

    /// Records that a target refused a request because it is not the addressed target, or does not
    /// have the model or the adapter. A later state of its agent or a later entry can add them
    /// again.
    pub fn record_misdirected(
        &mut self,
        key: TargetKey,
        model: Option<&str>,
        adapter: Option<&str>,
        now: Timestamp,
    ) {
        self.targets[key.0 as usize].record_misdirected(model, adapter, now);
    }

    /// Records the load that a target reported with a response.
    pub fn record_load(&mut self, key: TargetKey, sample: TargetLoadSample, now: Timestamp) {
        let target = &mut self.targets[key.0 as usize];
        target.slots = sample.slots.max(1);
        target.speed.record_report(sample, now);
    }

    /// Sets the data centres that are being evacuated, sorted by name. Their targets are no choice
    /// for any request.
    pub fn set_evacuated(&mut self, data_centres: Vec<CompactString>) {
        self.evacuated = data_centres;
    }

    /// Returns whether the data centre of a target is being evacuated.
    pub fn is_evacuated(&self, target: &DirectTarget) -> bool {
        self.evacuated.binary_search(&target.data_centre).is_ok()
    }

    fn usable<'a>(
        &'a self,
        service: &'a str,
        software: Option<&'a str>,
        exclude: &'a [TargetKey],
        now: Timestamp,
    ) -> impl Iterator<Item = (TargetKey, &'a DirectTarget)> {
        (0..).map(TargetKey).zip(&self.targets).filter(move |(key, target)| {
            target.service == service
                && software.is_none_or(|software| target.software == software)
                && !exclude.contains(key)
                && target.is_usable(now)
                && !self.is_evacuated(target)
        })
    }

    /// Chooses a target for a generation.
    pub fn choose_generation(
        &self,
        requirements: &GenerationRequirements<'_>,
        now: Timestamp,
    ) -> DirectChoice {
        let mut any_usable = false;
        let mut loading_ms: Option<u32> = None;
        let mut limited: Option<(Timestamp, TargetKey)> = None;
        let mut best: Option<(f64, DirectPick)> = None;
        let affinity_target = self.affinity_target(requirements, now);
        for (key, target) in
            self.usable(requirements.service, requirements.software, requirements.exclude, now)
        {
            any_usable = true;
            if target.serves(requirements.model).is_none() {
                if let Some(change) =
                    target.model_change().filter(|c| c.loading && c.model == requirements.model)
                {
                    let remaining = change.remaining_ms;
                    loading_ms = Some(loading_ms.map_or(remaining, |known| known.min(remaining)));
                }
                continue;
            }
            if !target.is_open(now) {
                let candidate = (target.next_return(now), key);
                limited = Some(limited.map_or(candidate, |known| known.min(candidate)));
                continue;
            }
            let Some(pick) = self.estimate(key, target, requirements, now) else { continue };
            let affinity =
                if affinity_target == Some(key) { AFFINITY_SHARE * pick.prefill_ms } else { 0.0 };
            let cost = pick.estimate_ms - affinity
                + self.gap_cost_ms(target, pick.prefill_ms, now)
                + FAILED_ATTEMPT_MS * target.health.failure_share()
                + target.cold.cost_ms(now)
                + self.distance_ms(target);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, pick));
            }
        }
        match (best, limited, loading_ms) {
            (Some((_, pick)), _, _) => DirectChoice::Serve(pick),
            (None, Some((_, key)), None) => DirectChoice::Limited { key },
            (None, _, _) if any_usable => DirectChoice::NoCopy { loading_ms },
            (None, _, _) => DirectChoice::NoTarget,
        }
    }

    /// Returns the target that all gateways prefer for prompts with the same leading parts.
    fn affinity_target(
        &self,
        requirements: &GenerationRequirements<'_>,
        now: Timestamp,
    ) -> Option<TargetKey> {
        // The last part is specific to the request.
        let shared =
            requirements.links.len().checked_sub(2).and_then(|at| requirements.links.get(at))?;
        let hash = shared.hash.to_le_bytes();
        self.usable(requirements.service, requirements.software, &[], now)
            .filter(|(_, target)| target.serves(requirements.model).is_some())
            .max_by_key(|(_, target)| rendezvous_score(&hash, &target.id))
            .map(|(key, _)| key)
    }

    fn estimate(
        &self,
        key: TargetKey,
        target: &DirectTarget,
        requirements: &GenerationRequirements<'_>,
        now: Timestamp,
    ) -> Option<DirectPick> {
        let needs_adapter_load = requirements
            .adapter
            .is_some_and(|adapter| !target.has_adapter(requirements.model, adapter));
        let adapter_ms = match needs_adapter_load {
            false => 0.0,
            // Without its agent, no adapter can be loaded at the target.
            true if !target.has_recent_agent_state(now) => return None,
            true => adapter_load_ms(target),
        };
        let work = target.work.total(now);
        let uncached_tokens = requirements
            .prompt_tokens
            .saturating_sub(target.prefixes.matched_tokens(requirements.links))
            .max(1);
        let usual_prefill_ms =
            self.prefill_estimator.prefill_ms(requirements.model, uncached_tokens);
        let prefill_ms = usual_prefill_ms * target.speed.slowdown(WorkKind::Prefill, now);
        let wait_ms = work.pending_prefill_ms.max(target.work.oldest_wait_ms(now) / 2.0);
        let in_batch = work.running + work.waiting;
        let over = f64::from((in_batch + 1).saturating_sub(target.slots.max(1)));
        let slot_ms = over / f64::from(target.slots.max(1)) * TYPICAL_RUN_MS;
        let memory_ms = self.memory_ms(target, work.cache_tokens, requirements);
        let usual_batch_ms = BATCH_DELAY_PER_REQUEST_MS * f64::from(in_batch);
        let batch_ms = usual_batch_ms * target.speed.slowdown(WorkKind::Decode, now);
        let other_ms = wait_ms + slot_ms + memory_ms + adapter_ms;
        let estimate_ms = other_ms + prefill_ms + batch_ms;
        Some(DirectPick {
            key,
            id: target.id.clone(),
            address: target.address,
            estimate_ms,
            admission_ms: estimate_ms.min(other_ms + usual_prefill_ms + usual_batch_ms),
            prefill_ms,
            uncached_tokens,
            in_flight: in_batch + 1,
            needs_adapter_load,
        })
    }

    /// Returns the estimated wait for cache memory, in milliseconds.
    fn memory_ms(
        &self,
        target: &DirectTarget,
        used: u64,
        requirements: &GenerationRequirements<'_>,
    ) -> f64 {
        let Some(capacity) = self.cache_tokens.get(&target.service).filter(|tokens| **tokens > 0)
        else {
            return 0.0;
        };
        let over = (used + requirements.prompt_tokens + requirements.output_tokens)
            .saturating_sub(*capacity);
        over as f64 / *capacity as f64 * TYPICAL_RUN_MS
    }

    /// Returns the cost of the gaps that a prompt's prefill causes in the streams that run at a
    /// target, in milliseconds. The prompt's own stream counts too.
    fn gap_cost_ms(&self, target: &DirectTarget, prefill_ms: f64, now: Timestamp) -> f64 {
        let work = target.work.total(now);
        let gaps = self.prefill_gaps.get(&target.service).copied().unwrap_or_default();
        gaps.cost_ms(work.pending_prefill_ms + prefill_ms, work.running + 1)
    }

    fn distance_ms(&self, target: &DirectTarget) -> f64 {
        if target.data_centre == self.data_centre { 0.0 } else { CROSS_DATA_CENTRE_MS }
    }

    /// Chooses a target for a plain request.
    pub fn choose_plain(
        &self,
        requirements: &DirectPlainRequirements<'_>,
        now: Timestamp,
    ) -> DirectChoice {
        let mut best: Option<((bool, f64), DirectPick)> = None;
        let mut limited: Option<(Timestamp, TargetKey)> = None;
        let service_ms = self.usual_times.service_ms(requirements.service);
        for (key, target) in
            self.usable(requirements.service, requirements.software, requirements.exclude, now)
        {
            if !target.is_open(now) {
                let candidate = (target.next_return(now), key);
                limited = Some(limited.map_or(candidate, |known| known.min(candidate)));
                continue;
            }
            let load = target.plain_load(now);
            let estimate = target.speed.estimate_plain(load, service_ms, now);
            let cost = estimate.cost_ms
                + spread_ms(self.sharing_gateways.process, &target.id, service_ms, now)
                + FAILED_ATTEMPT_MS * target.health.failure_share()
                + self.distance_ms(target);
            // The ramp of new targets must not move requests to cold ones.
            let rank = (target.cold.is_cold(now), cost);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                let pick = DirectPick {
                    key,
                    id: target.id.clone(),
                    address: target.address,
                    estimate_ms: estimate.response_ms,
                    admission_ms: estimate.response_ms.min(estimate.usual_ms),
                    prefill_ms: 0.0,
                    uncached_tokens: 0,
                    in_flight: load.known + 1,
                    needs_adapter_load: false,
                };
                best = Some((rank, pick));
            }
        }
        match (best, limited) {
            (Some((_, pick)), _) => DirectChoice::Serve(pick),
            (None, Some((_, key))) => DirectChoice::Limited { key },
            (None, None) => DirectChoice::NoTarget,
        }
    }
}

/// Returns the time to load an adapter at a target, in milliseconds. A target loads no adapters
/// while it loads a model.
fn adapter_load_ms(target: &DirectTarget) -> f64 {
    let load_ms = if target.free_adapter_slots > 0 { ADAPTER_LOAD_MS } else { ADAPTER_SWAP_MS };
    load_ms + target.model_change().map_or(0.0, |change| f64::from(change.remaining_ms))
}
