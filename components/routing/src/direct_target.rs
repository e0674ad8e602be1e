//! A target that a gateway calls directly.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, LoadedModel, SortedMap, Timestamp, WarmCopies, short_hash};
use compact_str::CompactString;
use wire::{AdapterName, AgentState, ModelChange, TargetEntry, TargetState};

use crate::{PrefixCacheEstimate, TargetHealth, TargetPhase, TargetWork};

/// Time without an answer to its agent after which an engine's copies are replaced: longer than most
/// pauses of a process, shorter than the 3 s after which its entry lapses.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Time for which a plain target is left after another one answered at its address: two readings of the
/// list.
const MISDIRECTED_EXCLUSION: Duration = Duration::from_millis(1_000);
/// Silence of an agent after which the target's own entry is believed instead.
const AGENT_STATE_TTL: Duration = Duration::from_millis(2_500);
/// Time for which a request waits for an adapter before it looks again.
const ADAPTER_REQUEST_TTL: Duration = Duration::from_millis(300);
/// Time between two words to an agent on the use of one adapter; within it the agent counts the adapter
/// as in use.
const ADAPTER_USE_REPORT_INTERVAL: Duration = Duration::from_millis(450);
/// Time for which an engine that gives up a model waits for its streams to end before they move. Most end within
/// it; the last ones delayed the load of the next model by 2 to 5 s.
const UNLOAD_WAIT_LIMIT: Duration = Duration::from_millis(600);
/// Time for which a refused connection says that nothing listens: targets that crash are back after seconds.
const CONNECTION_REFUSED_TTL: Duration = Duration::from_millis(1_500);
/// Time for which the word of a peer that a target gave no answer counts.
const PEER_UNRESPONSIVE_TTL: Duration = Duration::from_millis(500);
/// Time for which loads from the weight store are remembered; longer than any window for them.
const WEIGHT_LOAD_RETENTION: Duration = Duration::from_secs(30);
/// Weight of a new observation of how slow a target is.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Bounds of the slowness of a target against the usual pace of its models.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Most that one observation can say of how slow a target is, against what is known.
const MAX_SLOWDOWN_RATIO: f64 = 2.0;
/// Usual time of a plain request that was never timed, in milliseconds.
const DEFAULT_PLAIN_DURATION_MS: f64 = 50.0;

/// Key of a target in its fleet; kept for as long as the process runs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetKey(pub u32);

/// What is known of one target.
#[derive(Clone, Debug)]
pub struct DirectTarget {
    /// Id of this life.
    pub id: CompactString,
    /// Short hash of the id, its name in datagrams.
    pub hash: u32,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Service.
    pub service: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Most requests that run at once.
    pub slots: u32,
    /// Whether it may be sent new work.
    pub accepts_work: bool,
    /// Whether a younger target has its address.
    pub(crate) is_superseded: bool,
    /// Whether the list has it no more.
    is_unlisted: bool,
    /// Whether it said in an answer that it is leaving.
    announced_leaving: bool,
    /// Until when it asked this process to send it nothing.
    backoff_until: Option<Timestamp>,
    /// When it last refused a connection: nothing listens at its address.
    connection_refused_at: Option<Timestamp>,
    /// Work at it.
    pub work: TargetWork,
    /// Health by outcomes.
    pub health: TargetHealth,
    /// Prompts that it keeps.
    pub prefixes: PrefixCacheEstimate,
    /// Unix time of its start in milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
    adapter_requests: SortedMap<AdapterName, Timestamp>,
    /// When the agent was last told of the use of an adapter.
    adapter_use_reported_at: SortedMap<AdapterName, Timestamp>,
    pub(crate) orders_accepted: u64,
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) warm: WarmCopies,
    pub(crate) changing: Option<ModelChange>,
    /// Model that it gives up, and since when.
    unloading: Option<(CompactString, Timestamp)>,
    pub(crate) free_adapter_slots: u32,
    /// Whether the engine answers its agent, by the agent's last word.
    pub(crate) responds_to_agent: bool,
    pub(crate) agent_state_received_at: Option<Timestamp>,
    /// Where the process takes asks that gives it orders from afar; none for an agent beside it.
    order_request_address: Option<SocketAddr>,
    /// Whether an agent beside it was ever heard.
    has_local_agent: bool,
    /// Until when it is left because another target answered at its address.
    misdirected_until: Option<Timestamp>,
    /// Since when the engine has not answered its agent.
    unresponsive_since: Option<Timestamp>,
    /// Run of the agent and its clock in its newest word.
    agent_state_version: Option<(Incarnation, u64)>,
    pub(crate) agent_load: Option<AgentLoad>,
    /// Run of the agent that was heard last.
    agent_incarnation: Option<Incarnation>,
    /// When loads from the weight store began that this run of the agent ordered.
    weight_loads: Vec<Timestamp>,
    /// When those began that earlier runs ordered.
    earlier_weight_loads: Vec<Timestamp>,
    /// When a peer last said that it gave no answer.
    peer_unresponsive_at: Option<Timestamp>,
    pub(crate) prefill_slowdown: f64,
    pub(crate) plain_duration_ms: f64,
}

/// Load of an engine by its agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that can't yield, in tokens.
    pub cache_used_tokens: u64,
}

impl DirectTarget {
    /// A target by its first entry; `cache_tokens` is the memory of an engine for prompts.
    pub(crate) fn new(entry: &TargetEntry, cache_tokens: u64) -> Self {
        let mut target = Self {
            id: entry.id.clone(),
            hash: short_hash(entry.id.as_bytes()),
            address: entry.address,
            service: entry.service.clone(),
            data_centre: entry.data_centre.clone(),
            slots: entry.slots,
            accepts_work: false,
            is_superseded: false,
            is_unlisted: false,
            announced_leaving: false,
            backoff_until: None,
            connection_refused_at: None,
            work: TargetWork::default(),
            health: TargetHealth::default(),
            prefixes: PrefixCacheEstimate::new(cache_tokens),
            started_unix_ms: entry.born_ms,
            adapter_requests: SortedMap::new(),
            adapter_use_reported_at: SortedMap::new(),
            orders_accepted: 0,
            models: Vec::new(),
            warm: WarmCopies::default(),
            changing: None,
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
            prefill_slowdown: 1.0,
            plain_duration_ms: DEFAULT_PLAIN_DURATION_MS,
        };
        target.apply_entry(entry, Timestamp::default());
        target
    }

    /// Takes a newer entry.
    pub(crate) fn apply_entry(&mut self, entry: &TargetEntry, now: Timestamp) {
        if entry.born_ms != self.started_unix_ms {
            self.reset_for_restart(entry.born_ms);
        }
        self.address = entry.address;
        self.service.clone_from(&entry.service);
        self.data_centre.clone_from(&entry.data_centre);
        self.slots = entry.slots;
        self.is_unlisted = false;
        let is_ready = entry.state == TargetState::Ready && !self.announced_leaving;
        self.accepts_work = is_ready && !self.is_superseded;
        // The agent's word is fresher while it is heard.
        if !self.has_recent_agent_state(now) {
            self.models.clone_from(&entry.models);
            self.warm.clone_from(&entry.warm);
            self.orders_accepted = entry.orders_accepted;
            self.changing = None;
        }
    }

    /// Takes the word of the agent beside it; false if a newer one was taken.
    pub(crate) fn apply_agent_state(&mut self, state: &AgentState, now: Timestamp) -> bool {
        let said = (state.from.incarnation, state.sent_micros);
        if self.agent_state_version.is_some_and(|known| known >= said) {
            return false;
        }
        if state.born_ms.is_some() && state.born_ms != self.started_unix_ms {
            if state.born_ms < self.started_unix_ms {
                return false;
            }
            self.reset_for_restart(state.born_ms);
        }
        self.agent_state_version = Some(said);
        self.responds_to_agent = state.answers;
        if state.answers {
            self.unresponsive_since = None;
        } else {
            self.unresponsive_since.get_or_insert(now);
        }
        self.agent_state_received_at = Some(now);
        self.order_request_address = state.asked_at;
        self.has_local_agent |= state.asked_at.is_none();
        self.models.clone_from(&state.models);
        self.warm.clone_from(&state.warm);
        self.changing.clone_from(&state.changing);
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
        let model = self.changing.as_ref().filter(|c| !c.loading).map(|change| &change.model);
        match (model, &self.unloading) {
            (Some(model), Some((known, _))) if model == known => {}
            (Some(model), _) => self.unloading = Some((model.clone(), now)),
            (None, _) => self.unloading = None,
        }
    }

    /// Whether it has been giving up a model for longer than most requests on it take to end. The load that
    /// follows waits for the last of them.
    pub fn unload_is_overdue(&self, model: &str, now: Timestamp) -> bool {
        self.unloading
            .as_ref()
            .is_some_and(|(known, since)| known == model && now.since(*since) >= UNLOAD_WAIT_LIMIT)
    }

    /// Takes the times of loads from the weight store. A new run of the agent does not know of those
    /// before it, so what an older run said stays.
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

    /// A new life of the engine holds and knows nothing of before.
    fn reset_for_restart(&mut self, started_unix_ms: Option<u64>) {
        self.started_unix_ms = started_unix_ms;
        self.models.clear();
        self.changing = None;
        self.unloading = None;
        self.prefixes.clear();
        self.health = TargetHealth::default();
        self.prefill_slowdown = 1.0;
        self.unresponsive_since = None;
        self.announced_leaving = false;
        self.backoff_until = None;
        self.connection_refused_at = None;
    }

    /// Takes notice that the list has it no more.
    pub(crate) fn record_unlisted(&mut self) {
        self.is_unlisted = true;
        self.accepts_work = false;
    }

    /// Takes notice that it said in an answer that it is leaving: its entry may say so later, or never.
    pub(crate) fn record_leaving(&mut self) {
        self.announced_leaving = true;
        self.accepts_work = false;
    }

    /// Takes notice that it asked this process to send it nothing for a while.
    pub(crate) fn record_backoff(&mut self, wait: Duration, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(Some(now + wait));
    }

    /// Takes notice that it refused a connection.
    pub(crate) fn record_connection_refused(&mut self, now: Timestamp) {
        self.connection_refused_at = Some(now);
    }

    /// Whether it has ended: it is gone from the list, its address refuses connections or belongs to another
    /// target, or its agent gets no answer either.
    pub fn phase(&self, now: Timestamp) -> TargetPhase {
        let refused =
            self.connection_refused_at.is_some_and(|at| now.since(at) < CONNECTION_REFUSED_TTL);
        let silent = self.has_recent_agent_state(now) && !self.responds_to_agent;
        if self.is_superseded || self.is_unlisted || refused || silent {
            TargetPhase::Ended
        } else if self.accepts_work {
            TargetPhase::Active
        } else {
            TargetPhase::Leaving
        }
    }

    /// Whether it has probably ended, though the list still has it: its copies should be replaced. A short
    /// pause is no reason, since a load costs more.
    pub fn is_lost(&self, now: Timestamp) -> bool {
        let long_ago =
            |at: Option<Timestamp>, limit: Duration| at.is_some_and(|at| now.since(at) >= limit);
        if self.has_recent_agent_state(now) {
            return long_ago(self.unresponsive_since, LOST_AFTER);
        }
        let unheard = long_ago(self.agent_state_received_at, AGENT_STATE_TTL);
        unheard && self.health.answered_at().is_none_or(|at| now.since(at) >= AGENT_STATE_TTL)
    }

    /// Whether an agent beside it was ever heard in this life.
    pub const fn has_local_agent(&self) -> bool {
        self.has_local_agent
    }

    /// Where the process takes asks that gives it orders; `agent_port` is that of agents.
    pub fn order_request_address(&self, agent_port: u16) -> SocketAddr {
        self.order_request_address.unwrap_or_else(|| SocketAddr::new(self.address.ip(), agent_port))
    }

    /// Whether the agent beside it was heard lately.
    pub fn has_recent_agent_state(&self, now: Timestamp) -> bool {
        self.agent_state_received_at.is_some_and(|at| now.since(at) < AGENT_STATE_TTL)
    }

    /// Whether it may be sent work now.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let answers = self.responds_to_agent || !self.has_recent_agent_state(now);
        let is_before = |until: Option<Timestamp>| until.is_some_and(|until| now < until);
        self.accepts_work
            && answers
            && !is_before(self.misdirected_until)
            && !is_before(self.backoff_until)
            && self.health.is_usable(now)
            && !self.is_unresponsive_for_peers(now)
    }

    /// Whether peers got no answer from it lately, and this process has not either.
    fn is_unresponsive_for_peers(&self, now: Timestamp) -> bool {
        let lately =
            |at: Option<Timestamp>, limit: Duration| at.is_some_and(|at| now.since(at) < limit);
        lately(self.peer_unresponsive_at, PEER_UNRESPONSIVE_TTL)
            && !lately(self.health.answered_at(), PEER_UNRESPONSIVE_TTL)
    }

    /// Takes the word of a peer that it gave no answer.
    pub(crate) fn record_peer_unresponsive(&mut self, now: Timestamp) {
        self.peer_unresponsive_at = Some(now);
    }

    /// Gives up the belief that it has an adapter, or a model, or that it is at its address.
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
            // The model is probably there: adapters come and go all the time.
            Some(adapter) => self.models[at].adapters.retain(|known| known != adapter),
            None => {
                self.models.remove(at);
            }
        }
    }

    /// A model that it serves and is not giving up.
    pub fn serves(&self, model: &str) -> Option<&LoadedModel> {
        let leaving =
            self.changing.as_ref().is_some_and(|change| !change.loading && change.model == model);
        if leaving {
            return None;
        }
        let at = self.models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)).ok()?;
        self.models.get(at)
    }

    /// Models that it holds, those that it is giving up included.
    pub fn models(&self) -> &[LoadedModel] {
        &self.models
    }

    /// Copies of weights near it.
    pub const fn warm(&self) -> &WarmCopies {
        &self.warm
    }

    /// Loads from the weight store that began within the last `window`.
    pub fn weight_loads_within(&self, window: Duration, now: Timestamp) -> usize {
        let known = self.weight_loads.iter().chain(&self.earlier_weight_loads);
        known.filter(|at| now.since(**at) < window).count()
    }

    /// A change of a model that is under way.
    pub const fn changing(&self) -> Option<&ModelChange> {
        self.changing.as_ref()
    }

    /// Whether it has an adapter of a model loaded.
    pub fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        self.serves(model).is_some_and(|loaded| {
            loaded.adapters.binary_search_by(|name| name.as_str().cmp(adapter)).is_ok()
        })
    }

    /// Takes notice that a request waits for an adapter; true if none did before.
    pub fn record_adapter_request(&mut self, adapter: AdapterName, now: Timestamp) -> bool {
        self.adapter_requests.retain(|_, at| now.since(*at) < ADAPTER_REQUEST_TTL);
        self.adapter_requests.insert(adapter, now).is_none()
    }

    /// Takes notice that a request uses an adapter; true if the agent is due to be told.
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

    /// Adapters that requests wait for.
    pub fn wanted_adapters(&self, now: Timestamp) -> Vec<AdapterName> {
        let lacks = |name: &AdapterName| !self.has_adapter(&name.model, &name.adapter);
        self.adapter_requests
            .iter()
            .filter(|(name, at)| now.since(**at) < ADAPTER_REQUEST_TTL && lacks(name))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Takes notice of how long a prompt took against the estimate.
    pub(crate) fn record_prefill_ratio(&mut self, ratio: f64) {
        let (least, most) = SLOWDOWN_BOUNDS;
        let seen = (self.prefill_slowdown * ratio.min(MAX_SLOWDOWN_RATIO)).clamp(least, most);
        self.prefill_slowdown += OBSERVATION_WEIGHT * (seen - self.prefill_slowdown);
    }

    /// Takes notice of how long a plain request took, in milliseconds.
    pub fn record_plain_duration(&mut self, took_ms: f64) {
        self.plain_duration_ms += OBSERVATION_WEIGHT * (took_ms - self.plain_duration_ms);
    }
}
