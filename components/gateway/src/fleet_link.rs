//! Datagrams to and from the other gateways and the agents.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Timestamp;
use compact_str::CompactString;
use routing::{DirectTarget, PrefixLink};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};
use wire::{
    AdapterName, AgentAsk, AgentState, Datagram, Echo, EnginePlan, GatewayState, LinkCopy, LogView,
    PlannedCopy, SendCopy,
};

use crate::app::App;
use crate::stage::Stage;

/// Time between two datagrams to a gateway.
const GATEWAY_INTERVAL: Duration = Duration::from_millis(100);
/// Datagrams of agents are asked for once in so many rounds.
const AGENT_ROUNDS: u64 = 4;
/// Rounds in which a send is told, so that a lost datagram does not hide it.
const SEND_ROUNDS: u64 = 3;
/// Largest datagram.
const MAX_BYTES: usize = 60_000;
/// Most sends told in one datagram.
const MAX_SENDS: usize = 128;

/// Link to the fleet.
pub(crate) struct FleetLink {
    socket: UdpSocket,
    sends: RefCell<VecDeque<(u64, SendCopy)>>,
    next_send: RefCell<u64>,
    round: RefCell<u64>,
    /// Highest number of a send taken from each gateway.
    taken: RefCell<base::SortedMap<base::ProcessId, u64>>,
}

impl FleetLink {
    /// A link over a bound socket.
    pub(crate) fn new(socket: UdpSocket) -> Self {
        Self {
            socket,
            sends: RefCell::new(VecDeque::new()),
            next_send: RefCell::new(1),
            round: RefCell::new(0),
            taken: RefCell::new(base::SortedMap::new()),
        }
    }

    /// Remembers a send, to tell the other gateways.
    pub(crate) fn note_send(&self, target: u64, links: &[PrefixLink]) {
        let mut next = self.next_send.borrow_mut();
        let send = SendCopy {
            number: *next,
            target,
            links: links
                .iter()
                .map(|link| LinkCopy { hash: link.hash, tokens: link.tokens })
                .collect(),
        };
        *next += 1;
        self.sends.borrow_mut().push_back((*self.round.borrow(), send));
    }

    fn recent_sends(&self) -> Vec<SendCopy> {
        let round = *self.round.borrow();
        let mut sends = self.sends.borrow_mut();
        while sends.front().is_some_and(|(at, _)| at + SEND_ROUNDS < round) {
            sends.pop_front();
        }
        sends.iter().rev().take(MAX_SENDS).map(|(_, send)| send.clone()).collect()
    }
}

/// Sends this gateway's state until the task is aborted.
pub(crate) async fn tell_fleet(app: Rc<App>, link: Rc<FleetLink>) {
    let mut ticks = interval(GATEWAY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let round = {
            let mut round = link.round.borrow_mut();
            *round += 1;
            *round
        };
        let now = app.clock.now();
        tell_gateways(&app, &link, now);
        if round % AGENT_ROUNDS == 0 {
            ask_agents(&app, &link, now);
        }
        for gone in app.gateways.borrow_mut().expire(now) {
            log::info!("event=gateway_gone gateway={gone}");
            app.rates.borrow_mut().forget_peer(&gone);
        }
    }
}

fn tell_gateways(app: &App, link: &FleetLink, now: Timestamp) {
    let view = app.authority.borrow().view(now);
    let mut state = GatewayState {
        from: app.me.clone(),
        echo: Echo::default(),
        config: app.version(),
        end_read_age_ms: view.end_read_age_ms,
        draining: *app.stage.borrow() > Stage::Serving,
        admitted: app.rates.borrow().admitted(),
        work: app.fleet.borrow().own_work(),
        sends: link.recent_sends(),
        demand: app.demand.borrow_mut().own_loads(now),
    };
    let gateways = app.gateways.borrow();
    for (name, peer) in gateways.peers() {
        state.echo = gateways.echo_for(name, now);
        let datagram = Datagram::Gateway(state);
        send(link, &datagram, peer.address);
        let Datagram::Gateway(again) = datagram else { return };
        state = again;
    }
}

fn ask_agents(app: &App, link: &FleetLink, now: Timestamp) {
    let Some(town) = app.town() else { return };
    let is_engine = |service: &str| {
        town.service_id(service).is_some_and(|id| town.service(id).engine.is_some())
    };
    for target in app.fleet.borrow().targets() {
        if target.takes_work && is_engine(&target.service) {
            ask_agent(app, link, target, now);
        }
    }
}

/// Tells the agent beside a target what this gateway needs of it.
pub(crate) fn ask_agent(app: &App, link: &FleetLink, target: &DirectTarget, now: Timestamp) {
    let mut used_adapters: Vec<AdapterName> = target.work.adapters().cloned().collect();
    used_adapters.sort_unstable();
    used_adapters.dedup();
    let ask = Datagram::Ask(AgentAsk {
        from: app.me.clone(),
        echo: Echo { sent_micros: now.micros, ..Echo::default() },
        target: target.id.clone(),
        born_ms: target.born_ms,
        used_adapters,
        wanted_adapters: target.wanted(now),
        plan: engine_plan(app, &target.id),
    });
    send(link, &ask, SocketAddr::new(target.address.ip(), app.settings().peer_port));
}

/// What the engine should hold, if this gateway plans a move for it.
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

fn send(link: &FleetLink, datagram: &Datagram, to: SocketAddr) {
    match wire::encode(datagram) {
        Ok(bytes) => transmit(link, &bytes, to),
        Err(error) => log::error!("event=datagram_unsent to={to} error=\"{error}\""),
    }
}

fn transmit(link: &FleetLink, bytes: &[u8], to: SocketAddr) {
    // A datagram that can't be sent now is made up for by the next one.
    if let Err(error) = link.socket.try_send_to(bytes, to) {
        log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
    }
}

/// Takes datagrams until the task is aborted.
pub(crate) async fn hear_fleet(app: Rc<App>, link: Rc<FleetLink>) {
    let mut space = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match link.socket.recv_from(&mut space).await {
            Ok(received) => received,
            Err(error) => {
                // A target that refuses the port shows as an error of the socket.
                log::debug!("event=datagram_error error=\"{error}\"");
                continue;
            }
        };
        match wire::decode::<Datagram>(&space[..length]) {
            Ok(Datagram::Gateway(state)) => take_gateway(&app, &link, state, from),
            Ok(Datagram::Agent(state)) => take_agent(&app, &state),
            Ok(Datagram::Ask(_)) => log::debug!("event=datagram_misplaced from={from}"),
            Err(error) => log::warn!("event=datagram_rejected from={from} error=\"{error}\""),
        }
    }
}

fn take_gateway(app: &App, link: &FleetLink, state: GatewayState, from: SocketAddr) {
    let now = app.clock.now();
    let known = app.gateways.borrow().is_heard(&state.from.name, now);
    let heard = app.gateways.borrow_mut().heard(&state.from, from, state.echo, state.draining, now);
    let Ok(dated) = heard else { return };
    if !known {
        log::info!("event=gateway_heard gateway={} address={from}", state.from);
    }
    if let Some(asked_at) = dated {
        let view = LogView { end_read_age_ms: state.end_read_age_ms, unavailable_age_ms: None };
        app.authority.borrow_mut().note_peer(from, view, state.config, asked_at);
    }
    app.rates.borrow_mut().take_peer(&state.from.name, state.from.incarnation, &state.admitted);
    app.demand.borrow_mut().take_peer(&state.from.name, state.demand, now);
    let mut fleet = app.fleet.borrow_mut();
    fleet.take_peer_work(&state.from.name, &state.work, now);
    let mut taken = link.taken.borrow_mut();
    let last = taken.get_or_insert_with(state.from.clone(), || 0);
    let mut newest = *last;
    for send in state.sends.iter().filter(|send| send.number > *last) {
        fleet.take_peer_send(send, now);
        newest = newest.max(send.number);
    }
    *last = newest;
}

fn take_agent(app: &App, state: &AgentState) {
    if app.fleet.borrow_mut().take_agent(state, app.clock.now()) {
        app.engines_changed.notify_waiters();
    }
}
