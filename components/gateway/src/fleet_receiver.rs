//! Datagrams from the other gateways and from agents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ProcessId, Timestamp, short_hash};
use membership::StaleState;
use wire::{AgentState, Datagram, DatagramBody, GatewayState, LogView, RelayedItem};

use crate::app::App;
use crate::crash_quarantine::EvidenceSource;
use crate::fleet_link::{FleetLink, forward_to_local_gateways};

/// Handles datagrams until the task is aborted.
pub(crate) async fn receive_datagrams(app: Rc<App>, link: Rc<FleetLink>) {
    let mut buffer = Vec::new();
    loop {
        let (datagram, address) = link.socket.receive(&mut buffer).await;
        handle_datagram(&app, &link, datagram, address);
    }
}

fn handle_datagram(app: &App, link: &FleetLink, datagram: Datagram, address: SocketAddr) {
    let now = app.clock.now();
    let Datagram { from, echo, body } = datagram;
    app.fleet.borrow_mut().record_heard(now);
    match body {
        DatagramBody::Gateway(state) => {
            if state.from != from {
                log::warn!(
                    "event=datagram_rejected from={address} error=\"sender differs from the reported gateway\""
                );
                return;
            }
            let is_new = apply_gateway_state(app, link, &state, now).is_ok();
            let echoed_at = app.gateways.borrow_mut().apply_echo(&from, echo);
            record_store_contact(app, &state, echoed_at);
            record_evidence(app, &state, address, echoed_at);
            if is_new {
                link.record_local_gateway(state, now);
            }
        }
        DatagramBody::Relayed { pass_on: forward, items } => {
            let echoed_at = app.gateways.borrow_mut().apply_echo(&from, echo);
            for item in &items {
                apply_relayed_item(app, link, item, &from, address, echoed_at, now);
            }
            if forward {
                forward_to_local_gateways(app, link, items, now);
            }
        }
        DatagramBody::Agent(state) => {
            if apply_agent_state(app, &state, now) {
                // An engine without an agent may be managed by a gateway in another data centre.
                let is_local = state.asked_at.is_some() || {
                    let fleet = app.fleet.borrow();
                    let own = &app.settings().data_centre;
                    fleet
                        .key_of(&state.target)
                        .is_some_and(|key| fleet.target(key).data_centre == *own)
                };
                if is_local {
                    link.record_local_agent(state, now);
                }
            }
        }
        DatagramBody::Ask(request) => app.engine_orders.apply_request(&request, now),
        DatagramBody::StreamAnswer(answer) => {
            app.stream_lookups.borrow_mut().apply(address, &answer);
            app.stream_answered.notify_waiters();
        }
        DatagramBody::StreamsKnown(streams) => app.take_over_streams(&streams, address.ip(), now),
        DatagramBody::StreamAsk(_) | DatagramBody::StreamBegun(_) => {
            log::debug!("event=datagram_misplaced from={address}");
        }
    }
}

fn apply_relayed_item(
    app: &App,
    link: &FleetLink,
    item: &RelayedItem,
    relay: &ProcessId,
    address: SocketAddr,
    echoed_at: Option<Timestamp>,
    now: Timestamp,
) {
    match item {
        RelayedItem::Gateway(state) => {
            // Outdated state is ignored; the same state may arrive from several relays.
            let _applied = apply_gateway_state(app, link, state, now);
            record_store_contact(app, state, echoed_at);
            if state.from == *relay {
                record_evidence(app, state, address, echoed_at);
            }
        }
        RelayedItem::Agent(state) => {
            apply_agent_state(app, state, now);
        }
    }
}

/// Records when a gateway last read the target list, as of the own datagram that the sender of its state had
/// received: a state that waited while this process stood still tells nothing of the time since.
fn record_store_contact(app: &App, state: &GatewayState, echoed_at: Option<Timestamp>) {
    if let (Some(age_ms), Some(echoed_at)) = (state.targets_read_age_ms, echoed_at) {
        let read_at = echoed_at - Duration::from_millis(u64::from(age_ms));
        app.directory.borrow_mut().note_peer_contact(read_at);
    }
}

/// Records the evidence of a gateway whose datagram was received directly from it.
fn record_evidence(
    app: &App,
    state: &GatewayState,
    address: SocketAddr,
    echoed_at: Option<Timestamp>,
) {
    let Some(echoed_at) = echoed_at else { return };
    let view = LogView { end_read_age_ms: state.evidence_age_ms };
    app.authority.borrow_mut().note_peer(address, view, state.config, echoed_at);
    if let Some(age_ms) = state.targets_read_age_ms {
        let age = Duration::from_millis(u64::from(age_ms));
        app.gateways.borrow_mut().record_targets_read(&state.from.name, age, echoed_at);
    }
    // The digest of the last report is enough: what was applied since is newer.
    if state.targets_digest == app.targets_digest.get()
        && let Some(age_ms) = state.targets_view_age_ms
    {
        app.record_list_read(echoed_at - Duration::from_millis(u64::from(age_ms)));
    }
}

fn apply_gateway_state(
    app: &App,
    link: &FleetLink,
    state: &GatewayState,
    now: Timestamp,
) -> Result<(), StaleState> {
    let was_reachable = app.gateways.borrow().is_reachable(&state.from.name, now);
    app.gateways.borrow_mut().apply_state(state, now)?;
    if !was_reachable {
        log::info!(
            "event=gateway_heard gateway={} address={} data_centre={}",
            state.from,
            state.address,
            state.data_centre
        );
    }
    if let Some(era) = state.store_era {
        app.record_store_era(era, "gateway", now);
        if state.store_era_settled {
            app.record_settled_era(era);
        }
    }
    app.rates.borrow_mut().update_peer_admitted(
        &state.from.name,
        state.from.incarnation,
        &state.admitted,
    );
    app.rates.borrow_mut().retries.update_peer(&state.from, &state.further_sends, now);
    app.apply_crash_reports(&state.suspects, EvidenceSource::Gateway, now);
    app.demand.borrow_mut().update_peer(&state.from.name, state.demand.clone(), now);
    app.bound_demand.borrow_mut().update_peer(&state.from, state.bound_streams.clone(), now);
    {
        let mut fleet = app.fleet.borrow_mut();
        fleet.apply_peer_work(&state.from.name, &state.work, now);
        fleet.apply_peer_unresponsive(&state.silent_targets, now);
        let process = short_hash(state.from.to_string().as_bytes());
        fleet.apply_speed_reports(process, &state.target_speeds, now);
        for send in link.new_sends(state) {
            fleet.apply_peer_send(send, now);
        }
    }
    app.apply_limit_reports(&state.target_limits, &state.from, now);
    app.apply_evacuation_reports(&state.evacuations, &state.from, now);
    for update in &state.news {
        if app.directory.borrow_mut().apply_update(update, now) {
            app.apply_target_update(update, now);
        }
    }
    Ok(())
}

/// Applies the state of an engine as reported by its agent; returns false if nothing in it is new.
pub(crate) fn apply_agent_state(app: &App, state: &AgentState, now: Timestamp) -> bool {
    let is_new = app.fleet.borrow_mut().apply_agent_state(state, now);
    if is_new {
        app.engines_changed.notify_waiters();
    }
    is_new
}
