//! Datagrams to and from gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::ProcessId;
use telemetry::quote;
use wire::{AgentAsk, Datagram, DatagramBody, Echo};

use crate::app::{App, Asker};

/// Time after its last datagram for which a gateway is told of changes.
const ASKER_LIFETIME: Duration = Duration::from_secs(2);
/// Takes datagrams until the task is aborted.
pub(crate) async fn hear_gateways(app: Rc<App>) {
    let mut space = Vec::new();
    loop {
        let (Datagram { from: gateway, echo, body }, from) = app.socket.receive(&mut space).await;
        match body {
            DatagramBody::Ask(ask) => take_ask(&app, &ask, &gateway, echo, from),
            DatagramBody::Agent(_) | DatagramBody::Gateway(_) | DatagramBody::Relayed { .. } => {
                log::debug!("event=datagram_misplaced from={from}");
            }
        }
    }
}

fn take_ask(app: &App, ask: &AgentAsk, gateway: &ProcessId, echo: Echo, from: SocketAddr) {
    let now = app.clock.now();
    let asker = Asker {
        address: from,
        incarnation: gateway.incarnation,
        sent_micros: echo.sent_micros,
        at: now,
        wants_state: ask.wants_state,
        config: ask.config,
    };
    {
        let mut askers = app.askers.borrow_mut();
        let known = askers.get(&gateway.name).map(|known| (known.incarnation, known.sent_micros));
        if known.is_some_and(|known| known >= (asker.incarnation, asker.sent_micros)) {
            return;
        }
        if askers.insert(gateway.name.clone(), asker).is_none() {
            log::info!("event=gateway_heard gateway={gateway} address={from}");
        }
        askers.retain(|_, asker| now.since(asker.at) < ASKER_LIFETIME);
    }
    let (life_before, life_after) = {
        let mut scheduler = app.scheduler.borrow_mut();
        let before = scheduler.incarnation().0.clone();
        scheduler.apply_request(ask, now);
        (before, scheduler.incarnation().0.clone())
    };
    if life_before != life_after {
        log::info!("event=engine_known target={} told_by={gateway}", quote(&life_after));
    }
    app.work.notify_one();
    app.asked.notify_one();
    if asker.wants_state {
        tell(app, &asker);
    }
}

/// Tells all gateways that asked lately.
pub(crate) fn tell_all(app: &App) {
    let now = app.clock.now();
    let askers: Vec<Asker> = app.askers.borrow().values().copied().collect();
    let lately = |asker: &&Asker| asker.wants_state && now.since(asker.at) < ASKER_LIFETIME;
    for asker in askers.iter().filter(lately) {
        tell(app, asker);
    }
}

fn tell(app: &App, asker: &Asker) {
    let now = app.clock.now();
    let state = app.scheduler.borrow().state(app.me.clone(), app.engine_answers.get(), None, now);
    let Some(state) = state else { return };
    let echo = Echo {
        sent_micros: now.micros,
        heard_micros: asker.sent_micros,
        heard_incarnation: asker.incarnation.0,
    };
    let body = DatagramBody::Agent(state);
    app.socket.send(&Datagram { from: app.me.clone(), echo, body }, asker.address);
}
