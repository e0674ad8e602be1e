//! Answers other processes.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wire::{FleetSecret, Incoming, PeerCall, PeerIdentity, PeerReply, serve_connection};

use crate::app::App;
use crate::config_reader::records_for_peer;

/// Calls that may wait for the event loop.
const INCOMING_BUFFER: usize = 1_024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts peers until the task is aborted.
pub(crate) async fn accept_peers(app: Rc<App>, listener: Rc<TcpListener>, secret: FleetSecret) {
    let identity = PeerIdentity { process: app.process_id.clone(), role: Some(base::Role::Entry) };
    let (sender, incoming) = mpsc::channel(INCOMING_BUFFER);
    tokio::task::spawn_local(answer_calls(app, incoming));
    loop {
        let Ok((socket, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (identity, secret, sender) = (identity.clone(), secret.clone(), sender.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_connection(socket, &identity, &secret, sender).await {
                log::info!("event=peer_connection_closed address={address} reason=\"{error}\"");
            }
        });
    }
}

async fn answer_calls(app: Rc<App>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(item) = incoming.recv().await {
        match item {
            Incoming::Call { peer, call, responder } => {
                // Without a reply the stream is reset, which tells the peer that it was refused.
                if let Some(reply) = answer(&app, &peer, call) {
                    responder.reply(reply);
                }
            }
            // Entries run nothing; dropping the sender resets the stream.
            Incoming::Generate { peer, .. } | Incoming::Forward { peer, .. } => {
                log::warn!("event=request_to_entry_refused peer={}", peer.process);
            }
        }
    }
}

fn answer(app: &Rc<App>, peer: &PeerIdentity, call: PeerCall) -> Option<PeerReply> {
    if peer.role.is_none() {
        return Some(match call {
            PeerCall::Status => PeerReply::Status(Box::new(app.status())),
            _ => PeerReply::Unsupported,
        });
    }
    if !app.membership.borrow().is_current(&peer.process) {
        log::info!("event=stale_peer_refused peer={}", peer.process);
        return None;
    }
    let now = app.clock.now();
    Some(match call {
        PeerCall::Heartbeat(heartbeat) => {
            if heartbeat.from != peer.process || !app.apply_heartbeat(&heartbeat) {
                return None;
            }
            PeerReply::Heartbeat(Box::new(app.heartbeat_to(heartbeat.address)))
        }
        PeerCall::Reserve { slot, customer, tokens, .. } => {
            let outcome = app.slots.borrow_mut().owner.reserve(slot, &customer, tokens, now);
            PeerReply::Reserve(outcome)
        }
        PeerCall::Settle { slot, customer, reservation, used } => {
            app.slots.borrow_mut().owner.settle(slot, &customer, reservation, used, now);
            PeerReply::Done
        }
        PeerCall::CatchUp { stream, from } => records_for_peer(app, &stream, from),
        PeerCall::Permit { slot, hold_ms } => {
            PeerReply::Permit(app.slots.borrow_mut().owner.request_permit(slot, hold_ms, now))
        }
        PeerCall::PermitDone { slot, permit } => {
            app.slots.borrow_mut().owner.release_permit(slot, permit);
            PeerReply::Done
        }
        PeerCall::Status => PeerReply::Status(Box::new(app.status())),
        PeerCall::CacheEvents { .. }
        | PeerCall::Suggest(_)
        | PeerCall::Pin { .. }
        | PeerCall::Unpin { .. } => PeerReply::Unsupported,
    })
}
