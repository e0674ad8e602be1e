//! Selection among the targets that a gateway calls directly.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessName, SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use wire::{AgentState, SendCopy, TargetEntry, TargetLimitReport, TargetWorkCopy};

use crate::direct_choice::{
    DirectChoice, DirectPick, DirectPlainRequirements, GenerationRequirements,
};
use crate::direct_target::TYPICAL_RUN_MS;
use crate::{
    DirectTarget, NamedLimit, PrefillEstimator, PrefixLink, RequestWork, SendId, SharingGateways,
    TargetKey, TargetLoadSample, TargetOutcome, TargetPhase, Workload,
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
/// Backlog of prefill work above which the streams at the same engine stall, in milliseconds.
const TOLERATED_PREFILL_MS: f64 = 250.0;
/// Cost per stalled stream, in milliseconds.
const STALLED_STREAM_MS: f64 = 60.0;
/// Costs that differ by less than this count as equal, in milliseconds.
const EQUAL_COST_MARGIN_MS: f64 = 1.0;
/// Most limits reported in one state, so that it fits into a datagram.
const MAX_LIMIT_REPORTS: usize = 500;
/// Maximum share of the estimated wait in the estimated time of a request whose duration is used as
/// an observation of the prefill time.
const MAX_WAIT_SHARE_FOR_OBSERVATION: f64 = 0.25;

/// Targets that are called directly, with their state.
#[derive(Clone, Debug)]
pub struct DirectFleet {
    data_centre: CompactString,
    targets: Vec<DirectTarget>,
    by_id: SortedMap<CompactString, TargetKey>,
    by_hash: SortedMap<u32, TargetKey>,
    prefill_estimator: PrefillEstimator,
    cache_tokens: SortedMap<CompactString, u64>,
    /// Services of the configuration, sorted.
    services: Vec<CompactString>,
    sharing_gateways: SharingGateways,
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
            cache_tokens: SortedMap::new(),
            services: Vec::new(),
            sharing_gateways: SharingGateways::default(),
        }
    }

    /// Sets the prompt cache capacity of each engine of a service.
    pub fn set_cache_tokens(&mut self, service: &str, tokens: u64) {
        self.cache_tokens.insert(CompactString::new(service), tokens);
        for target in self.targets.iter_mut().filter(|target| target.service == service) {
            target.prefixes.set_capacity(tokens);
        }
    }

    /// Applies the entry of a target in the target list.
    pub fn apply_entry(&mut self, entry: &TargetEntry, now: Timestamp) {
        if let Some(key) = self.by_id.get(&entry.id) {
            self.targets[key.0 as usize].apply_entry(entry, now);
            return;
        }
        let Ok(at) = u32::try_from(self.targets.len()) else { return };
        self.supersede_previous(&entry.service, entry.address, entry.born_ms);
        let cache_tokens = self.cache_tokens.get(&entry.service).copied().unwrap_or(0);
        let target = DirectTarget::new(entry, cache_tokens);
        self.by_id.insert(target.id.clone(), TargetKey(at));
        self.by_hash.insert(target.hash, TargetKey(at));
        self.targets.push(target);
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
    pub fn mark_unlisted(&mut self, id: &str) -> Option<SocketAddr> {
        let key = self.by_id.get(id)?;
        let target = &mut self.targets[key.0 as usize];
        target.record_unlisted();
        Some(target.address)
    }

    /// Applies the state that an agent reports of its engine; returns false if the state is
    /// outdated or the engine is unknown.
    pub fn apply_agent_state(&mut self, state: &AgentState, now: Timestamp) -> bool {
        match self.by_id.get(&state.target) {
            Some(key) => self.targets[key.0 as usize].apply_agent_state(state, now),
            None => false,
        }
    }

    /// Applies a peer's report of its work at targets; targets missing from the report have none.
    pub fn apply_peer_work(&mut self, peer: &ProcessName, work: &[TargetWorkCopy], now: Timestamp) {
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
    pub fn local_work(&self) -> Vec<TargetWorkCopy> {
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
        let target = &mut self.targets[pick.key.0 as usize];
        target.limit.record_send(now);
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
        let target = &mut self.targets[key.0 as usize];
        target.limit.record_send(now);
        target.work.add(RequestWork::default(), now)
    }

    /// Records that the first event of a generation arrived `took_ms` after the request was sent.
    pub fn record_first_event(&mut self, pick: &DirectPick, model: &str, id: SendId, took_ms: f64) {
        let target = &mut self.targets[pick.key.0 as usize];
        target.work.record_first_event(id);
        let wait_ms = pick.estimate_ms - pick.prefill_ms;
        if pick.prefill_ms > 0.0 && wait_ms <= MAX_WAIT_SHARE_FOR_OBSERVATION * pick.estimate_ms {
            target.record_prefill_ratio(took_ms / pick.estimate_ms.max(1.0));
            let slowdown = target.prefill_slowdown;
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

    /// Sets the gateways that share the limits of targets.
    pub fn set_sharing_gateways(&mut self, sharers: SharingGateways, now: Timestamp) {
        if sharers == self.sharing_gateways {
            return;
        }
        self.sharing_gateways = sharers;
        for target in &mut self.targets {
            target.limit.update_share(&target.id, &self.sharing_gateways, now);
        }
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
            .take(MAX_LIMIT_REPORTS)
            .collect()
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
    pub fn record_load(&mut self, key: TargetKey, sample: TargetLoadSample) {
        self.targets[key.0 as usize].slots = sample.slots.max(1);
    }

    fn usable<'a>(
        &'a self,
        service: &'a str,
        exclude: &'a [TargetKey],
        now: Timestamp,
    ) -> impl Iterator<Item = (TargetKey, &'a DirectTarget)> {
        (0..).map(TargetKey).zip(&self.targets).filter(move |(key, target)| {
            target.service == service && !exclude.contains(key) && target.is_usable(now)
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
        for (key, target) in self.usable(requirements.service, requirements.exclude, now) {
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
            if !target.limit.is_open(now) {
                let candidate = (target.limit.next_return(now), key);
                limited = Some(limited.map_or(candidate, |known| known.min(candidate)));
                continue;
            }
            let Some(pick) = self.estimate(key, target, requirements, now) else { continue };
            let affinity =
                if affinity_target == Some(key) { AFFINITY_SHARE * pick.prefill_ms } else { 0.0 };
            let cost = pick.estimate_ms - affinity
                + stall_cost(target, pick.prefill_ms, now)
                + FAILED_ATTEMPT_MS * target.health.failure_share()
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
        self.usable(requirements.service, &[], now)
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
        let prefill_ms = self.prefill_estimator.prefill_ms(requirements.model, uncached_tokens)
            * target.prefill_slowdown;
        let wait_ms = work.pending_prefill_ms.max(target.work.oldest_wait_ms(now) / 2.0);
        let in_batch = work.running + work.waiting;
        let over = f64::from((in_batch + 1).saturating_sub(target.slots.max(1)));
        let slot_ms = over / f64::from(target.slots.max(1)) * TYPICAL_RUN_MS;
        let memory_ms = self.memory_ms(target, work.cache_tokens, requirements);
        let batch_ms = BATCH_DELAY_PER_REQUEST_MS * f64::from(in_batch);
        Some(DirectPick {
            key,
            id: target.id.clone(),
            address: target.address,
            estimate_ms: wait_ms + prefill_ms + slot_ms + memory_ms + batch_ms + adapter_ms,
            prefill_ms,
            uncached_tokens,
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

    fn distance_ms(&self, target: &DirectTarget) -> f64 {
        if target.data_centre == self.data_centre { 0.0 } else { CROSS_DATA_CENTRE_MS }
    }

    /// Chooses a target for a plain request.
    pub fn choose_plain(
        &self,
        requirements: &DirectPlainRequirements<'_>,
        now: Timestamp,
    ) -> DirectChoice {
        let mut best: Option<(f64, DirectPick)> = None;
        let mut limited: Option<(Timestamp, TargetKey)> = None;
        for (key, target) in self.usable(requirements.service, requirements.exclude, now) {
            if !target.limit.is_open(now) {
                let candidate = (target.limit.next_return(now), key);
                limited = Some(limited.map_or(candidate, |known| known.min(candidate)));
                continue;
            }
            let work = target.work.total(now);
            let in_flight = f64::from(work.running + work.waiting);
            let slots = f64::from(target.slots.max(1));
            let queued = (in_flight + 1.0 - slots).max(0.0);
            let estimate_ms = target.plain_duration_ms * (1.0 + queued / slots);
            let cost = estimate_ms
                + target.plain_duration_ms * in_flight / slots
                + FAILED_ATTEMPT_MS * target.health.failure_share()
                + self.distance_ms(target);
            if best.as_ref().is_none_or(|(least, _)| cost + EQUAL_COST_MARGIN_MS < *least) {
                let pick = DirectPick {
                    key,
                    id: target.id.clone(),
                    address: target.address,
                    estimate_ms,
                    prefill_ms: 0.0,
                    uncached_tokens: 0,
                    needs_adapter_load: false,
                };
                best = Some((cost, pick));
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

/// Returns the cost of the stalls that a prompt's prefill causes in the streams that run at a
/// target, in milliseconds.
///
/// Engines prefill prompts in chunks between the tokens of running streams. While there is a
/// backlog of chunks, each token takes as long as a chunk, so that an event of several tokens
/// misses its objective.
fn stall_cost(target: &DirectTarget, prefill_ms: f64, now: Timestamp) -> f64 {
    let work = target.work.total(now);
    let backlog_ms = work.pending_prefill_ms + prefill_ms;
    let over = ((backlog_ms - TOLERATED_PREFILL_MS) / TOLERATED_PREFILL_MS).clamp(0.0, 1.0);
    over * STALLED_STREAM_MS * f64::from(work.running)
}
