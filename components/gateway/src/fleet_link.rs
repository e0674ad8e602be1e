//! Datagrams to the other gateways and to agents.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ProcessId, ProcessName, SortedMap, Timestamp};
use compact_str::CompactString;
use ingress::ShutdownStage;
use routing::{DirectTarget, PrefixLink};
use tokio::time::{MissedTickBehavior, interval};
use wire::{
    AdapterName, AgentAsk, AgentState, Datagram, DatagramBody, DatagramSocket, Echo, EnginePlan,
    GatewayState, LinkCopy, PlannedCopy, RelayedItem, SendCopy, TargetNews,
};

use crate::app::App;

/// Time between two state datagrams to a gateway in the same data centre.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two state datagrams to other data centres; traffic between data centres is
/// expensive.
const REMOTE_STATE_ROUNDS: u64 = 2;
/// Rounds between two checks of the agents that remember streams.
const KEEPER_ROUNDS: u64 = 2;
/// Rounds between two queries to an agent.
const AGENT_QUERY_ROUNDS: u64 = 4;
/// Rounds between two updates of the freshness metrics: one second.
const METRICS_ROUNDS: u64 = 10;
/// Time after the start in which agents without known state are queried in every round: after a
/// power failure of the whole fleet no model can be loaded before the state of the engines is
/// known.
const EAGER_QUERY_PERIOD: Duration = Duration::from_secs(3);
/// Rounds in which a send is reported, so that a lost datagram doesn't hide it.
const SEND_REPEAT_ROUNDS: u64 = 3;
/// Rounds in which a target update is reported. A gateway that misses them all detects it by the
/// digest of the target list.
const UPDATE_REPEAT_ROUNDS: u64 = 6;
/// Most sends and target updates reported in one state.
const MAX_REPORTS_PER_STATE: usize = 128;
/// Size from which another datagram is started, so that most datagrams fit into one packet.
const DATAGRAM_FILL_BYTES: usize = 1_200;
/// Time after which the state of an agent is forwarded even if nothing changed.
const AGENT_FORWARD_INTERVAL: Duration = Duration::from_millis(1_000);

/// State of a local agent, which is forwarded to other data centres.
#[derive(Clone, Debug)]
struct LocalAgent {
    state: AgentState,
    /// When it arrived.
    received_at: Timestamp,
    /// State that was forwarded last, and when.
    last_forwarded: Option<(AgentState, Timestamp)>,
}

/// Sender of this gateway's datagrams, with the state that waits to be reported or forwarded.
pub(crate) struct FleetLink {
    pub(crate) socket: DatagramSocket,
    round: Cell<u64>,
    next_send: Cell<u64>,
    sends: RefCell<VecDeque<(u64, SendCopy)>>,
    target_updates: RefCell<VecDeque<(u64, TargetNews)>>,
    /// Highest processed send number of each gateway incarnation.
    last_processed: RefCell<SortedMap<ProcessId, u64>>,
    /// State of gateways in this data centre that has not been forwarded yet, and when it arrived.
    local_gateway_states: RefCell<SortedMap<ProcessName, (GatewayState, Timestamp)>>,
    /// State of agents in this data centre, by target.
    local_agents: RefCell<SortedMap<CompactString, LocalAgent>>,
}

impl FleetLink {
    /// A link over a bound socket.
    pub(crate) fn new(socket: DatagramSocket) -> Self {
        Self {
            socket,
            round: Cell::new(0),
            next_send: Cell::new(1),
            sends: RefCell::new(VecDeque::new()),
            target_updates: RefCell::new(VecDeque::new()),
            last_processed: RefCell::new(SortedMap::new()),
            local_gateway_states: RefCell::new(SortedMap::new()),
            local_agents: RefCell::new(SortedMap::new()),
        }
    }

    /// Queues a send to be reported to the other gateways.
    pub(crate) fn record_send(&self, target: u32, links: &[PrefixLink]) {
        let links =
            links.iter().map(|link| LinkCopy { hash: link.hash, tokens: link.tokens }).collect();
        let send = SendCopy { number: self.next_send.get(), target, links };
        self.next_send.set(send.number + 1);
        self.sends.borrow_mut().push_back((self.round.get(), send));
    }

    /// Queues a target update to be reported to the other gateways.
    pub(crate) fn record_target_update(&self, update: TargetNews) {
        self.target_updates.borrow_mut().push_back((self.round.get(), update));
    }

    /// Queues the state of a gateway in this data centre to be forwarded.
    pub(crate) fn record_local_gateway(&self, state: GatewayState, now: Timestamp) {
        self.local_gateway_states.borrow_mut().insert(state.from.name.clone(), (state, now));
    }

    /// Queues the state of an agent in this data centre to be forwarded.
    pub(crate) fn record_local_agent(&self, state: AgentState, now: Timestamp) {
        let mut agents = self.local_agents.borrow_mut();
        let last_forwarded =
            agents.get(&state.target).and_then(|agent| agent.last_forwarded.clone());
        let target = state.target.clone();
        agents.insert(target, LocalAgent { state, received_at: now, last_forwarded });
    }

    /// Returns the sends of a gateway that were not processed before.
    pub(crate) fn new_sends<'a>(&self, state: &'a GatewayState) -> Vec<&'a SendCopy> {
        let mut last_processed = self.last_processed.borrow_mut();
        let last = last_processed.get_or_insert_with(state.from.clone(), || 0);
        let known = *last;
        *last = state.sends.iter().map(|send| send.number).max().unwrap_or(known).max(known);
        state.sends.iter().filter(|send| send.number > known).collect()
    }

    fn recent<T: Clone>(&self, queue: &RefCell<VecDeque<(u64, T)>>, rounds: u64) -> Vec<T> {
        let round = self.round.get();
        let mut queue = queue.borrow_mut();
        while queue.front().is_some_and(|(at, _)| at + rounds < round) {
            queue.pop_front();
        }
        // The newest ones, in the order in which they came.
        let surplus = queue.len().saturating_sub(MAX_REPORTS_PER_STATE);
        queue.iter().skip(surplus).map(|(_, item)| item.clone()).collect()
    }

    /// Returns the agent states that are due to be forwarded.
    fn agents_to_forward(&self, now: Timestamp) -> Vec<AgentState> {
        let mut due = Vec::new();
        for agent in self.local_agents.borrow_mut().values_mut() {
            let is_due = agent.last_forwarded.as_ref().is_none_or(|(forwarded, at)| {
                let is_newer = (forwarded.from.incarnation, forwarded.sent_micros)
                    != (agent.state.from.incarnation, agent.state.sent_micros);
                is_newer
                    && (differs_for_routing(forwarded, &agent.state)
                        || now.since(*at) >= AGENT_FORWARD_INTERVAL)
            });
            if is_due {
                agent.last_forwarded = Some((agent.state.clone(), now));
                let waited = now.since(agent.received_at).as_millis();
                let mut state = agent.state.clone();
                state.waited_ms = u32::try_from(waited).unwrap_or(u32::MAX);
                due.push(state);
            }
        }
        due
    }
}

/// Whether two states of an agent differ in what other gateways use to choose targets.
fn differs_for_routing(former: &AgentState, state: &AgentState) -> bool {
    former.born_ms != state.born_ms
        || former.answers != state.answers
        || former.models != state.models
        || former.changing.as_ref().map(|change| (&change.model, change.loading))
            != state.changing.as_ref().map(|change| (&change.model, change.loading))
        || (former.free_adapter_slots == 0) != (state.free_adapter_slots == 0)
        || former.warm != state.warm
        || former.fetch_ages_ms.len() != state.fetch_ages_ms.len()
}

/// Broadcasts this gateway's state until the task is aborted.
pub(crate) async fn broadcast_state(app: Rc<App>, link: Rc<FleetLink>) {
    let mut ticks = interval(BROADCAST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let round = link.round.get() + 1;
        link.round.set(round);
        let now = app.clock.now();
        let state = own_state(&app, &link, now);
        send_to_local_gateways(&app, &link, &state, now);
        if round.is_multiple_of(REMOTE_STATE_ROUNDS) {
            send_to_remote_gateways(&app, &link, state, now);
        }
        if round.is_multiple_of(KEEPER_ROUNDS) {
            app.tell_keepers(&link.socket, now);
        }
        let all = round.is_multiple_of(AGENT_QUERY_ROUNDS);
        if all || now.since(Timestamp::default()) < EAGER_QUERY_PERIOD {
            query_agents(&app, &link, all, now);
        }
        if round.is_multiple_of(METRICS_ROUNDS) {
            app.update_freshness_metrics();
        }
        let expired = app.gateways.borrow_mut().expire(now);
        app.update_sharing_gateways(now);
        app.judge_silence(now);
        for name in expired {
            log::info!("event=gateway_gone gateway={name}");
            app.rates.borrow_mut().remove_peer(&name);
        }
    }
}

fn own_state(app: &App, link: &FleetLink, now: Timestamp) -> GatewayState {
    let settings = app.settings();
    let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let (admitted, further_sends) = {
        let mut rates = app.rates.borrow_mut();
        (rates.admitted(), rates.retries.reports(now))
    };
    let (work, silent_targets, target_limits, target_speeds) = {
        let fleet = app.fleet.borrow();
        let speeds = fleet.speed_reports(now);
        (fleet.local_work(now), fleet.unresponsive_targets(now), fleet.limit_reports(now), speeds)
    };
    let mut bound_streams = app.bound_demand.borrow_mut().own_streams(now);
    if !app.fleet.borrow().has_mixed_software() {
        bound_streams.clear();
    }
    let targets_digest = app.directory.borrow().digest();
    app.targets_digest.set(targets_digest);
    GatewayState {
        from: app.process.clone(),
        address: SocketAddr::new(settings.ip, settings.peer_port),
        data_centre: settings.data_centre.clone(),
        sent_micros: now.micros,
        config: app.version(),
        store_era: app.store_era.get().known(),
        store_era_settled: app.store_is_settled(now),
        // Rounded up, so that no gateway assumes the evidence to be newer than it is.
        evidence_age_ms: app.evidence_age(now).map(|age| millis(age).saturating_add(1)),
        store_read_age_ms: app.store_read_at.get().map(|at| millis(now.since(at))),
        targets_read_age_ms: app.targets_read_at.get().map(|at| millis(now.since(at))),
        targets_view_age_ms: app
            .version_view
            .get()
            .list_age(now)
            .map(|age| millis(age).saturating_add(1)),
        targets_digest,
        draining: *app.stage.borrow() > ShutdownStage::Serving,
        admitted,
        work,
        sends: link.recent(&link.sends, SEND_REPEAT_ROUNDS),
        demand: app.demand.borrow_mut().own_loads(now),
        bound_streams,
        news: link.recent(&link.target_updates, UPDATE_REPEAT_ROUNDS),
        silent_targets,
        further_sends,
        suspects: app.crash_reports(now),
        target_limits,
        evacuations: app.evacuations.borrow().reports(now),
        target_speeds,
    }
}

fn send_to_local_gateways(app: &App, link: &FleetLink, state: &GatewayState, now: Timestamp) {
    let gateways = app.gateways.borrow();
    for (name, peer) in gateways.peers().filter(|(_, peer)| gateways.is_same_data_centre(peer)) {
        let datagram = Datagram {
            from: app.process.clone(),
            echo: gateways.echo_for(name, now),
            body: DatagramBody::Gateway(state.clone()),
        };
        link.socket.send(&datagram, peer.address);
    }
}

/// If this gateway is the relay of its data centre, sends its state and that of the other gateways
/// and agents in it to the relays of the other data centres.
fn send_to_remote_gateways(app: &App, link: &FleetLink, state: GatewayState, now: Timestamp) {
    let gateways = app.gateways.borrow();
    let local = link.local_gateway_states.take();
    if !gateways.is_relay(now) {
        return;
    }
    let agents = link.agents_to_forward(now);
    let items = std::iter::once(state)
        .chain(local.values().map(|(state, arrived)| {
            let mut state = state.clone();
            state.add_age(now.since(*arrived));
            state
        }))
        .map(RelayedItem::Gateway)
        .chain(agents.into_iter().map(RelayedItem::Agent))
        .collect();
    let packets = pack(items);
    for (name, address) in gateways.remote_relays(now) {
        for items in &packets {
            let datagram = Datagram {
                from: app.process.clone(),
                echo: gateways.echo_for(&name, now),
                body: DatagramBody::Relayed { pass_on: true, items: items.clone() },
            };
            link.socket.send(&datagram, address);
        }
    }
}

/// Groups states so that most groups fit into one packet.
fn pack(items: Vec<RelayedItem>) -> Vec<Vec<RelayedItem>> {
    let mut packets: Vec<Vec<RelayedItem>> = Vec::new();
    let mut filled = usize::MAX;
    for item in items {
        let length = wire::encode(&item).map_or(0, |bytes| bytes.len());
        if filled.saturating_add(length) > DATAGRAM_FILL_BYTES {
            packets.push(Vec::new());
            filled = 0;
        }
        filled += length;
        if let Some(packet) = packets.last_mut() {
            packet.push(item);
        }
    }
    packets
}

/// Sends the state of an engine managed by this gateway to the gateways in this data centre and
/// queues it to be forwarded to the others.
pub(crate) fn broadcast_engine_state(
    app: &App,
    link: &FleetLink,
    state: AgentState,
    now: Timestamp,
) {
    let gateways = app.gateways.borrow();
    let body = DatagramBody::Agent(state.clone());
    for (name, peer) in gateways.peers().filter(|(_, peer)| gateways.is_same_data_centre(peer)) {
        let echo = gateways.echo_for(name, now);
        link.socket
            .send(&Datagram { from: app.process.clone(), echo, body: body.clone() }, peer.address);
    }
    link.record_local_agent(state, now);
}

/// Forwards state from another data centre to the gateways in this one.
pub(crate) fn forward_to_local_gateways(
    app: &App,
    link: &FleetLink,
    items: Vec<RelayedItem>,
    now: Timestamp,
) {
    let gateways = app.gateways.borrow();
    let body = DatagramBody::Relayed { pass_on: false, items };
    for (name, peer) in gateways.peers().filter(|(_, peer)| gateways.is_same_data_centre(peer)) {
        let echo = gateways.echo_for(name, now);
        link.socket
            .send(&Datagram { from: app.process.clone(), echo, body: body.clone() }, peer.address);
    }
}

/// Queries the state of agents in this data centre and in data centres without a gateway: of all
/// agents, or only of those without current state.
fn query_agents(app: &App, link: &FleetLink, all: bool, now: Timestamp) {
    let Some(config) = app.config() else { return };
    let is_engine = |service: &str| {
        config.service_id(service).is_some_and(|id| config.service(id).engine.is_some())
    };
    let gateways = app.gateways.borrow();
    let own = app.settings().data_centre.clone();
    let has_gateway = |name: &CompactString| *name == own || gateways.has_gateway(name, now);
    for target in app.fleet.borrow().targets().filter(|t| all || !t.has_recent_agent_state(now)) {
        let is_local = target.data_centre == own || !has_gateway(&target.data_centre);
        let planned = app.planner.borrow().moves().any(|planned| planned.engine == target.id);
        // Adapters in use must be reported regularly, or the agent may unload them.
        let uses_adapters = target.work.adapters().next().is_some();
        let due = is_local || planned || uses_adapters;
        if target.accepts_work && due && is_engine(&target.service) {
            query_agent(app, link, target, is_local, now);
        }
    }
}

/// Sends the agent of a target what this gateway requires of it.
pub(crate) fn query_agent(
    app: &App,
    link: &FleetLink,
    target: &DirectTarget,
    wants_state: bool,
    now: Timestamp,
) {
    let mut used_adapters: Vec<AdapterName> = target.work.adapters().cloned().collect();
    used_adapters.sort_unstable();
    used_adapters.dedup();
    let request = AgentAsk {
        wants_state,
        config: app.version(),
        store_era: app.store_era.get().known(),
        target: target.id.clone(),
        born_ms: target.started_unix_ms,
        used_adapters,
        wanted_adapters: target.wanted_adapters(now),
        plan: engine_plan(app, &target.id),
    };
    let datagram = Datagram {
        from: app.process.clone(),
        echo: Echo { sent_micros: now.micros, ..Echo::default() },
        body: DatagramBody::Ask(request),
    };
    link.socket.send(&datagram, target.order_request_address(app.settings().peer_port));
}

/// Target state of the engine, if this gateway plans a move for it.
fn engine_plan(app: &App, target: &CompactString) -> Option<EnginePlan> {
    let planner = app.planner.borrow();
    let planned = planner.moves().find(|planned| planned.engine == *target)?;
    Some(EnginePlan {
        target: target.clone(),
        models: vec![PlannedCopy {
            model: planned.load.clone(),
            memory_mb: planned.memory_mb,
            may_fetch: planned.may_fetch,
        }],
        surplus: planned.unload.clone(),
    })
}
