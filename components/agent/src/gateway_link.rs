//! Datagrams to and from gateways.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::ProcessId;
use streams::pack_streams;
use telemetry::quote;
use wire::{AgentAsk, Datagram, DatagramBody, Echo, StreamAnswer, StreamAsk};

use crate::app::{ActiveGateway, App};

/// Time after its last datagram for which a gateway receives state changes.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(2);

/// Gateways to which a stopping agent sends its streams, so that one may stand still.
const HAND_OVER_GATEWAYS: usize = 2;
/// Time after its last datagram for which a gateway receives them: gateways don't speak to agents whose
/// targets leave, and these stop some seconds later.
const HAND_OVER_EXPIRY: Duration = Duration::from_secs(60);
/// Most streams that are sent, the last ones: the receivers' buffers hold these at once.
const MAX_HANDED_OVER: usize = 4_096;

/// Handles datagrams until the task is aborted.
pub(crate) async fn receive_datagrams(app: Rc<App>) {
    let mut buffer = Vec::new();
    loop {
        let (Datagram { from: gateway, echo, body }, from) = app.socket.receive(&mut buffer).await;
        match body {
            DatagramBody::Ask(request) => handle_query(&app, &request, &gateway, echo, from),
            DatagramBody::StreamBegun(origin) => {
                app.streams.borrow_mut().record(&origin, app.clock.now());
            }
            DatagramBody::StreamsKnown(known) => {
                let mut streams = app.streams.borrow_mut();
                known.iter().for_each(|stream| streams.record_known(stream, app.clock.now()));
            }
            DatagramBody::StreamAsk(ask) => answer_stream_ask(&app, ask, &gateway, echo, from),
            DatagramBody::Agent(_)
            | DatagramBody::Gateway(_)
            | DatagramBody::Relayed { .. }
            | DatagramBody::StreamAnswer(_) => {
                log::debug!("event=datagram_misplaced from={from}");
            }
        }
    }
}

fn handle_query(app: &App, request: &AgentAsk, gateway: &ProcessId, echo: Echo, from: SocketAddr) {
    let now = app.clock.now();
    if let Some(era) = request.store_era.filter(|era| *era > app.store_era.get()) {
        app.store_era.set(era);
        app.store_restored.notify_one();
    }
    let peer = ActiveGateway {
        address: from,
        incarnation: gateway.incarnation,
        sent_micros: echo.sent_micros,
        queried_at: now,
        wants_state: request.wants_state,
        config: request.config,
    };
    {
        let mut active_gateways = app.active_gateways.borrow_mut();
        let known =
            active_gateways.get(&gateway.name).map(|known| (known.incarnation, known.sent_micros));
        if known.is_some_and(|known| known >= (peer.incarnation, peer.sent_micros)) {
            return;
        }
        if active_gateways.insert(gateway.name.clone(), peer).is_none() {
            log::info!("event=gateway_heard gateway={gateway} address={from}");
        }
        active_gateways.retain(|_, peer| now.since(peer.queried_at) < GATEWAY_EXPIRY);
    }
    let (former_target, target) = {
        let mut scheduler = app.scheduler.borrow_mut();
        let before = scheduler.incarnation().0.clone();
        scheduler.apply_request(request, now);
        (before, scheduler.incarnation().0.clone())
    };
    if former_target != target {
        log::info!("event=engine_known target={} told_by={gateway}", quote(&target));
    }
    app.order_wakeup.notify_one();
    app.query_received.notify_one();
    if peer.wants_state {
        send_state(app, &peer);
    }
}

/// Tells a gateway what is known of a stream.
fn answer_stream_ask(app: &App, ask: StreamAsk, gateway: &ProcessId, echo: Echo, from: SocketAddr) {
    let now = app.clock.now();
    let streams = app.streams.borrow();
    let answer = StreamAnswer {
        attempt: ask.attempt,
        software: streams.software_of(ask.attempt, ask.service, now).cloned(),
        versions: streams.versions(ask.service, now),
    };
    let echo = Echo {
        sent_micros: now.micros,
        heard_micros: echo.sent_micros,
        heard_incarnation: gateway.incarnation.0,
    };
    let body = DatagramBody::StreamAnswer(answer);
    app.socket.send(&Datagram { from: app.process.clone(), echo, body }, from);
}

/// Sends the streams that this agent knows to gateways, which pass them on to other agents.
pub(crate) fn hand_over_streams(app: &App) {
    let now = app.clock.now();
    let known = app.streams.borrow().known_streams(now).take(MAX_HANDED_OVER).collect::<Vec<_>>();
    let mut gateways: Vec<ActiveGateway> = app.active_gateways.borrow().values().copied().collect();
    gateways.retain(|peer| now.since(peer.queried_at) < HAND_OVER_EXPIRY);
    gateways.sort_unstable_by_key(|peer| Reverse(peer.queried_at));
    gateways.truncate(HAND_OVER_GATEWAYS);
    log::info!("event=streams_handed_over streams={} gateways={}", known.len(), gateways.len());
    let packed = pack_streams(known);
    for peer in gateways {
        for streams in &packed {
            let echo = Echo { sent_micros: now.micros, ..Echo::default() };
            let body = DatagramBody::StreamsKnown(streams.clone());
            app.socket.send(&Datagram { from: app.process.clone(), echo, body }, peer.address);
        }
    }
}

/// Sends the state to all gateways that sent a query recently and want state changes.
pub(crate) fn send_state_to_all(app: &App) {
    let now = app.clock.now();
    let active_gateways: Vec<ActiveGateway> =
        app.active_gateways.borrow().values().copied().collect();
    let is_recipient =
        |peer: &&ActiveGateway| peer.wants_state && now.since(peer.queried_at) < GATEWAY_EXPIRY;
    for peer in active_gateways.iter().filter(is_recipient) {
        send_state(app, peer);
    }
}

fn send_state(app: &App, peer: &ActiveGateway) {
    let now = app.clock.now();
    let state =
        app.scheduler.borrow().state(app.process.clone(), app.engine_reachable.get(), None, now);
    let Some(state) = state else { return };
    let echo = Echo {
        sent_micros: now.micros,
        heard_micros: peer.sent_micros,
        heard_incarnation: peer.incarnation.0,
    };
    let body = DatagramBody::Agent(state);
    app.socket.send(&Datagram { from: app.process.clone(), echo, body }, peer.address);
}
