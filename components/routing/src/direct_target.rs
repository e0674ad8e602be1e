//! State of a target that a gateway calls directly.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, LoadedModel, SortedMap, Timestamp, WarmCopies, short_hash};
use compact_str::CompactString;
use wire::{AdapterName, AgentState, ModelChange, TargetEntry, TargetSpeedReport, TargetState};

use crate::target_speed::PlainLoad;
use crate::{
    ColdLimit, PrefixCacheEstimate, TargetHealth, TargetLimit, TargetPhase, TargetSilence,
    TargetSpeed, TargetWork,
};

/// Time without a response to its agent after which an engine counts as lost and its model copies
/// are replaced: longer than most pauses of a process, shorter than the 3 s after which its entry
/// expires.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Time for which a plain target is excluded after another target answered at its address: two
/// reads of the target list.
const MISDIRECTED_EXCLUSION: Duration = Duration::from_millis(1_000);
/// Age at which an agent's state expires and the target's own entry is used instead.
const AGENT_STATE_TTL: Duration = Duration::from_millis(2_500);
/// Time after which a request for an adapter expires; a request that still waits repeats it.
const ADAPTER_REQUEST_TTL: Duration = Duration::from_millis(300);
/// Interval between two reports to an agent that an adapter is in use; within it the agent counts
/// the adapter as in use.
const ADAPTER_USE_REPORT_INTERVAL: Duration = Duration::from_millis(450);
/// Time that an engine which unloads a model may wait for its streams before they move elsewhere.
/// Most streams end within it; the last ones delayed the load of the next model by 2 to 5 s.
const UNLOAD_WAIT_LIMIT: Duration = Duration::from_millis(600);
/// Time for which a refused connection means that the target has ended; crashed targets restart
/// within seconds.
const CONNECTION_REFUSED_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a peer's report that a target does not respond is used.
const PEER_UNRESPONSIVE_TTL: Duration = Duration::from_millis(500);
/// Time for which loads from the weight store are recorded; longer than any window that is queried.
const WEIGHT_LOAD_RETENTION: Duration = Duration::from_secs(30);
/// Share of an engine's usual throughput below which a limit makes its copies count as missing.
const THROTTLED_SHARE: f64 = 0.25;
/// Typical time that a request occupies a slot of an engine, in milliseconds.
pub(crate) const TYPICAL_RUN_MS: f64 = 1_500.0;

/// Key of a target in its fleet; stays valid for as long as the process runs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetKey(pub u32);

/// State of one target.
#[derive(Clone, Debug)]
pub struct DirectTarget {
    /// Id of the target.
    pub id: CompactString,
    /// Short hash of the id, which identifies the target in datagrams.
    pub hash: u32,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: CompactString,
    /// Version of the target's software.
    pub software: CompactString,
    /// Data centre of the target.
    pub data_centre: CompactString,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Whether the target may receive new work.
    pub accepts_work: bool,
    /// Whether a target that started later has the same address.
    pub(crate) is_superseded: bool,
    /// When the target was removed from the target list.
    pub(crate) unlisted_at: Option<Timestamp>,
    /// Whether the target has no entry in the list, which may not have been restored after an outage yet.
    pub(crate) is_missing: bool,
    /// Whether the target reported in a response that it is leaving.
    announced_leaving: bool,
    /// End of the backoff that the target requested.
    backoff_until: Option<Timestamp>,
    /// Time of the last refused connection; nothing was listening at the address.
    connection_refused_at: Option<Timestamp>,
    /// Work in progress at the target.
    pub work: TargetWork,
    /// Health according to the outcomes of requests.
    pub health: TargetHealth,
    /// Limit that the target names in its responses.
    pub limit: TargetLimit,
    /// Limit while the target is cold.
    pub cold: ColdLimit,
    /// Estimated content of the prompt cache.
    pub prefixes: PrefixCacheEstimate,
    /// Unix time at which the target started, in milliseconds, if known.
    pub started_unix_ms: Option<u64>,
    /// Time at which each adapter was last requested.
    adapter_requests: SortedMap<AdapterName, Timestamp>,
    /// Time at which the use of each adapter was last reported to the agent.
    adapter_use_reported_at: SortedMap<AdapterName, Timestamp>,
    pub(crate) orders_accepted: u64,
    pub(crate) models: Vec<LoadedModel>,
    /// Copies of weights in host memory and on disk.
    pub(crate) warm_copies: WarmCopies,
    /// Load or unload of a model that is in progress.
    pub(crate) model_change: Option<ModelChange>,
    /// Model that the engine is unloading, and the time when this was first reported.
    unloading: Option<(CompactString, Timestamp)>,
    pub(crate) free_adapter_slots: u32,
    /// Whether the engine responds to its agent, according to the agent's last state.
    pub(crate) responds_to_agent: bool,
    pub(crate) agent_state_received_at: Option<Timestamp>,
    /// Address at which the process that sends orders to this target receives requests for them, if
    /// that process is remote; none for a local agent.
    order_request_address: Option<SocketAddr>,
    /// Whether a state from a local agent was ever received.
    has_local_agent: bool,
    /// End of the exclusion after another target answered at this target's address.
    misdirected_until: Option<Timestamp>,
    /// Time since which the engine has not responded to its agent.
    unresponsive_since: Option<Timestamp>,
    /// Incarnation of the agent and its clock in the newest state received.
    agent_state_version: Option<(Incarnation, u64)>,
    pub(crate) agent_load: Option<AgentLoad>,
    /// Incarnation of the agent in the last state received.
    pub(crate) agent_incarnation: Option<Incarnation>,
    /// Start times of loads from the weight store ordered by the current incarnation of the agent.
    weight_loads: Vec<Timestamp>,
    /// Start times of loads from the weight store ordered by earlier incarnations.
    earlier_weight_loads: Vec<Timestamp>,
    /// Time of the last report from a peer that the target does not respond.
    peer_unresponsive_at: Option<Timestamp>,
    /// Speed at which the target works.
    pub speed: TargetSpeed,
    /// Signs of life, and whether the target stands still.
    pub silence: TargetSilence,
}

/// Load of an engine as reported by its agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Cache memory that can't be evicted, in tokens.
    pub cache_used_tokens: u64,
}

impl DirectTarget {
    /// Creates a target from its first entry; `cache_tokens` is the capacity of its prompt cache.
    pub(crate) fn new(entry: &TargetEntry, cache_tokens: u64) -> Self {
        let mut target = Self {
            id: entry.id.clone(),
            hash: short_hash(entry.id.as_bytes()),
            address: entry.address,
            service: entry.service.clone(),
            software: entry.software.clone(),
            data_centre: entry.data_centre.clone(),
            slots: entry.slots,
            accepts_work: false,
            is_superseded: false,
            unlisted_at: None,
            is_missing: false,
            announced_leaving: false,
            backoff_until: None,
            connection_refused_at: None,
            work: TargetWork::default(),
            health: TargetHealth::default(),
            limit: TargetLimit::default(),
            cold: ColdLimit::default(),
            prefixes: PrefixCacheEstimate::new(cache_tokens),
            started_unix_ms: entry.born_ms,
            adapter_requests: SortedMap::new(),
            adapter_use_reported_at: SortedMap::new(),
            orders_accepted: 0,
            models: Vec::new(),
            warm_copies: WarmCopies::default(),
            model_change: None,
            unloading: None,
            free_adapter_slots: 0,
            responds_to_agent: true,
            agent_state_received_at: None,
            order_request_address: None,
            has_local_agent: false,
            misdirected_until: None,
            unresponsive_since: None,
            agent_state_version: None,
            agent_load: None,
            agent_incarnation: None,
            weight_loads: Vec::new(),
            earlier_weight_loads: Vec::new(),
            peer_unresponsive_at: None,
            speed: TargetSpeed::default(),
            silence: TargetSilence::default(),
        };
        target.apply_entry(entry, Timestamp::default());
        target
    }

    /// Applies a newer entry from the target list.
    pub(crate) fn apply_entry(&mut self, entry: &TargetEntry, now: Timestamp) {
        if entry.born_ms != self.started_unix_ms {
            self.reset_for_restart(entry.born_ms);
        }
        self.address = entry.address;
        self.service.clone_from(&entry.service);
        self.software.clone_from(&entry.software);
        self.data_centre.clone_from(&entry.data_centre);
        self.slots = entry.slots;
        self.unlisted_at = None;
        self.is_missing = false;
        let is_ready = entry.state == TargetState::Ready && !self.announced_leaving;
        self.accepts_work = is_ready && !self.is_superseded;
        // A recent state from the agent is newer than the entry.
        if !self.has_recent_agent_state(now) {
            self.models.clone_from(&entry.models);
            self.warm_copies.clone_from(&entry.warm);
            self.orders_accepted = entry.orders_accepted;
            self.model_change = None;
        }
    }

    /// Applies a state from the target's agent; returns false if it is not newer than the applied
    /// one, or describes the engine before its last restart.
    pub(crate) fn apply_agent_state(&mut self, state: &AgentState, now: Timestamp) -> bool {
        let version = (state.from.incarnation, state.sent_micros);
        // An agent that starts after a backward step of its clock has a lower incarnation.
        let may_be_restart = |known: (Incarnation, u64)| {
            known.0 != state.from.incarnation && !self.has_recent_agent_state(now)
        };
        if self.agent_state_version.is_some_and(|known| known >= version && !may_be_restart(known))
        {
            return false;
        }
        if state.born_ms.is_some() && state.born_ms != self.started_unix_ms {
            if state.born_ms < self.started_unix_ms {
                return false;
            }
            self.reset_for_restart(state.born_ms);
        }
        self.agent_state_version = Some(version);
        self.responds_to_agent = state.answers;
        if state.answers {
            self.unresponsive_since = None;
            let waited = Duration::from_millis(u64::from(state.waited_ms));
            self.silence.record_own(now - waited);
        } else {
            self.unresponsive_since.get_or_insert(now);
        }
        self.agent_state_received_at = Some(now);
        self.order_request_address = state.asked_at;
        self.has_local_agent |= state.asked_at.is_none();
        self.models.clone_from(&state.models);
        self.warm_copies.clone_from(&state.warm);
        self.model_change.clone_from(&state.changing);
        self.record_unload(now);
        self.orders_accepted = state.orders_accepted;
        self.free_adapter_slots = state.free_adapter_slots;
        self.update_weight_loads(state, now);
        self.agent_load = Some(AgentLoad {
            running: state.running,
            waiting: state.waiting,
            cache_used_tokens: state.cache_used_tokens,
        });
        true
    }

    fn record_unload(&mut self, now: Timestamp) {
        let model = self.model_change.as_ref().filter(|c| !c.loading).map(|change| &change.model);
        match (model, &self.unloading) {
            (Some(model), Some((known, _))) if model == known => {}
            (Some(model), _) => self.unloading = Some((model.clone(), now)),
            (None, _) => self.unloading = None,
        }
    }

    /// Returns whether the target has been unloading a model for longer than most requests on the
    /// model take. The next load waits until the last of them has ended.
    pub fn unload_is_overdue(&self, model: &str, now: Timestamp) -> bool {
        self.unloading
            .as_ref()
            .is_some_and(|(known, since)| known == model && now.since(*since) >= UNLOAD_WAIT_LIMIT)
    }

    /// Updates the loads from the weight store. A new incarnation of the agent does not report
    /// loads of earlier ones, so those are kept separately.
    fn update_weight_loads(&mut self, state: &AgentState, now: Timestamp) {
        if self.agent_incarnation != Some(state.from.incarnation) {
            self.agent_incarnation = Some(state.from.incarnation);
            self.earlier_weight_loads.append(&mut self.weight_loads);
            self.earlier_weight_loads.retain(|at| now.since(*at) < WEIGHT_LOAD_RETENTION);
        }
        self.weight_loads = state
            .fetch_ages_ms
            .iter()
            .map(|age_ms| now - Duration::from_millis(u64::from(*age_ms)))
            .collect();
    }

    /// Clears all state that a restart of the engine invalidates.
    fn reset_for_restart(&mut self, started_unix_ms: Option<u64>) {
        self.started_unix_ms = started_unix_ms;
        self.models.clear();
        self.model_change = None;
        self.unloading = None;
        self.prefixes.clear();
        self.health = TargetHealth::default();
        self.limit = TargetLimit::default();
        self.cold.record_restart();
        self.speed = TargetSpeed::default();
        self.silence = TargetSilence::default();
        self.unresponsive_since = None;
        self.announced_leaving = false;
        self.backoff_until = None;
        self.connection_refused_at = None;
    }

    /// Records that the target was removed from the target list.
    pub(crate) fn record_unlisted(&mut self, now: Timestamp) {
        self.unlisted_at = Some(now);
        self.accepts_work = false;
    }

    /// Records that the target reported in a response that it is leaving; its entry may show this
    /// later or never.
    pub(crate) fn record_leaving(&mut self) {
        self.announced_leaving = true;
        self.accepts_work = false;
    }

    /// Records that the target requested a backoff of `wait`.
    pub(crate) fn record_backoff(&mut self, wait: Duration, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(Some(now + wait));
    }

    /// Records a refused connection.
    pub(crate) fn record_connection_refused(&mut self, now: Timestamp) {
        self.connection_refused_at = Some(now);
    }

    /// Returns the lifecycle phase of the target.
    pub fn phase(&self, now: Timestamp) -> TargetPhase {
        let refused =
            self.connection_refused_at.is_some_and(|at| now.since(at) < CONNECTION_REFUSED_TTL);
        let unresponsive = self.has_recent_agent_state(now) && !self.responds_to_agent;
        if self.is_superseded || refused {
            TargetPhase::Ended
        } else if self.unlisted_at.is_some() || unresponsive {
            TargetPhase::Unheard
        } else if self.accepts_work {
            TargetPhase::Active
        } else {
            TargetPhase::Leaving
        }
    }

    /// Returns whether the target has probably ended although it is still listed, so that its model
    /// copies should be replaced. A short pause does not count, since a load costs more than the
    /// pause.
    pub fn is_lost(&self, now: Timestamp) -> bool {
        let long_ago =
            |at: Option<Timestamp>, limit: Duration| at.is_some_and(|at| now.since(at) >= limit);
        if self.has_recent_agent_state(now) {
            return long_ago(self.unresponsive_since, LOST_AFTER);
        }
        let agent_expired = long_ago(self.agent_state_received_at, AGENT_STATE_TTL);
        agent_expired && self.health.answered_at().is_none_or(|at| now.since(at) >= AGENT_STATE_TTL)
    }

    /// Returns whether the engine has named a limit far below its usual throughput, so that its model
    /// copies don't carry their part of the demand.
    pub fn is_throttled(&self) -> bool {
        let usual_per_s = f64::from(self.slots) * 1_000.0 / TYPICAL_RUN_MS;
        self.limit.per_s().is_some_and(|limit_per_s| limit_per_s < THROTTLED_SHARE * usual_per_s)
    }

    /// Returns whether the target is in the target list.
    pub const fn is_listed(&self) -> bool {
        self.unlisted_at.is_none() && !self.is_superseded
    }

    /// Returns whether a state from a local agent was ever received.
    pub const fn has_local_agent(&self) -> bool {
        self.has_local_agent
    }

    /// Returns the address for requests to the process that sends orders to this target;
    /// `agent_port` is the port of local agents.
    pub fn order_request_address(&self, agent_port: u16) -> SocketAddr {
        self.order_request_address.unwrap_or_else(|| SocketAddr::new(self.address.ip(), agent_port))
    }

    /// Returns whether a state from the agent was received within its time to live.
    pub fn has_recent_agent_state(&self, now: Timestamp) -> bool {
        self.agent_state_received_at.is_some_and(|at| now.since(at) < AGENT_STATE_TTL)
    }

    /// Returns whether the target answers its agent, as far as a recent state tells.
    pub fn responds(&self, now: Timestamp) -> bool {
        self.responds_to_agent || !self.has_recent_agent_state(now)
    }

    /// Returns whether the target may receive work now.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let is_before = |until: Option<Timestamp>| until.is_some_and(|until| now < until);
        self.accepts_work
            && self.responds(now)
            && !is_before(self.misdirected_until)
            && !is_before(self.backoff_until)
            && self.health.is_usable(now)
            && !self.silence.is_silent()
            && !self.is_unresponsive_for_peers(now)
    }

    /// Returns whether a peer recently reported that the target does not respond, and this process
    /// received no response recently either.
    fn is_unresponsive_for_peers(&self, now: Timestamp) -> bool {
        let recently =
            |at: Option<Timestamp>, limit: Duration| at.is_some_and(|at| now.since(at) < limit);
        recently(self.peer_unresponsive_at, PEER_UNRESPONSIVE_TTL)
            && !recently(self.health.answered_at(), PEER_UNRESPONSIVE_TTL)
    }

    /// Records a peer's report that the target does not respond.
    pub(crate) fn record_peer_unresponsive(&mut self, now: Timestamp) {
        self.peer_unresponsive_at = Some(now);
    }

    /// Records a misdirected request: removes the adapter or the model from the recorded state or,
    /// if neither is given, excludes the target for a while because another one answered at its
    /// address.
    pub(crate) fn record_misdirected(
        &mut self,
        model: Option<&str>,
        adapter: Option<&str>,
        now: Timestamp,
    ) {
        let Some(model) = model else {
            self.misdirected_until = Some(now + MISDIRECTED_EXCLUSION);
            return;
        };
        let Ok(at) = self.models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)) else {
            return;
        };
        match adapter {
            // The model is probably still loaded; adapters are loaded and unloaded all the time.
            Some(adapter) => self.models[at].adapters.retain(|known| known != adapter),
            None => {
                self.models.remove(at);
            }
        }
    }

    /// Returns a loaded model, unless it is being unloaded.
    pub fn serves(&self, model: &str) -> Option<&LoadedModel> {
        let is_unloading = self
            .model_change
            .as_ref()
            .is_some_and(|change| !change.loading && change.model == model);
        if is_unloading {
            return None;
        }
        let at = self.models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)).ok()?;
        self.models.get(at)
    }

    /// Returns the loaded models, including one that is being unloaded.
    pub fn models(&self) -> &[LoadedModel] {
        &self.models
    }

    /// Returns the copies of weights in host memory and on disk.
    pub const fn warm_copies(&self) -> &WarmCopies {
        &self.warm_copies
    }

    /// Returns the number of loads from the weight store that began within the last `window`.
    pub fn weight_loads_within(&self, window: Duration, now: Timestamp) -> usize {
        let all = self.weight_loads.iter().chain(&self.earlier_weight_loads);
        all.filter(|at| now.since(**at) < window).count()
    }

    /// Returns the load or unload of a model that is in progress.
    pub const fn model_change(&self) -> Option<&ModelChange> {
        self.model_change.as_ref()
    }

    /// Returns whether an adapter of a model is loaded.
    pub fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        self.serves(model).is_some_and(|loaded| {
            loaded.adapters.binary_search_by(|name| name.as_str().cmp(adapter)).is_ok()
        })
    }

    /// Records that a request waits for an adapter; returns true if no other request waits for it.
    pub fn record_adapter_request(&mut self, adapter: AdapterName, now: Timestamp) -> bool {
        self.adapter_requests.retain(|_, at| now.since(*at) < ADAPTER_REQUEST_TTL);
        self.adapter_requests.insert(adapter, now).is_none()
    }

    /// Records that a request uses an adapter; returns true if this is due to be reported to the
    /// agent.
    pub fn record_adapter_use(&mut self, adapter: AdapterName, now: Timestamp) -> bool {
        if self
            .adapter_use_reported_at
            .get(&adapter)
            .is_some_and(|at| now.since(*at) < ADAPTER_USE_REPORT_INTERVAL)
        {
            return false;
        }
        self.adapter_use_reported_at.retain(|_, at| now.since(*at) < ADAPTER_USE_REPORT_INTERVAL);
        self.adapter_use_reported_at.insert(adapter, now);
        true
    }

    /// Returns the adapters that requests wait for and that are not loaded.
    pub fn wanted_adapters(&self, now: Timestamp) -> Vec<AdapterName> {
        let lacks = |name: &AdapterName| !self.has_adapter(&name.model, &name.adapter);
        self.adapter_requests
            .iter()
            .filter(|(name, at)| now.since(**at) < ADAPTER_REQUEST_TTL && lacks(name))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the average number of requests at a plain target between the choice of one of them,
    /// when there were `chosen_at`, and now.
    pub(crate) fn mean_in_flight(&self, chosen_at: u32, now: Timestamp) -> u32 {
        let at_end = self.speed.in_flight(self.plain_load(now), now);
        ((f64::from(chosen_at) + at_end) / 2.0).round().max(1.0) as u32
    }

    /// Returns the times of this gateway's plain requests at the target, to report to the others.
    pub(crate) fn speed_report(&self, now: Timestamp) -> Option<TargetSpeedReport> {
        self.speed.plain_totals(now).map(|totals| TargetSpeedReport {
            target: self.hash,
            born_ms: self.started_unix_ms,
            responses: totals.responses,
            log_ms_sum: totals.log_ms_sum,
        })
    }

    /// Returns the requests at a plain target.
    pub(crate) fn plain_load(&self, now: Timestamp) -> PlainLoad {
        let (total, local) = (self.work.total(now), self.work.local());
        PlainLoad {
            known: total.running + total.waiting,
            local: local.running + local.waiting,
            slots: self.slots,
        }
    }
}
