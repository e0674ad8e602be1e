//! Sends heartbeats and polls the VM list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Role;
use membership::Round;
use store::{HttpVmList, VmListSource};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};
use wire::{PeerCall, PeerReply};

use crate::event::Event;
use crate::process::Shared;

/// Sends heartbeats in rounds; `now` triggers a round to all entry processes.
pub(crate) async fn send_heartbeats(shared: Rc<Shared>, now: Rc<Notify>) {
    let mut next = 0;
    let mut all = true;
    loop {
        let entries = shared.core.borrow().peers.addresses(Role::Entry);
        let round = Round::new(entries.len(), &shared.settings.membership);
        let count = if all { entries.len() } else { entries.len().min(round.peers) };
        for offset in 0..count {
            send_heartbeat(&shared, entries[(next + offset) % entries.len()]);
        }
        next = if entries.is_empty() { 0 } else { (next + count) % entries.len() };
        // Side processes with a pin of this one receive heartbeats too, which report its state.
        let pinned = shared.core.borrow().pin_requesters();
        for address in pinned {
            send_heartbeat(&shared, address);
        }
        shared.with_core(|core, _| core.send_unpins());
        all = timeout(round.interval, now.notified()).await.is_ok();
    }
}

fn send_heartbeat(shared: &Shared, address: SocketAddr) {
    let call = PeerCall::Heartbeat(Box::new(shared.heartbeat()));
    let limit = Duration::from_millis(shared.settings.membership.call_timeout_ms);
    let (pool, events) = (shared.pool.clone(), shared.events.clone());
    tokio::task::spawn_local(async move {
        if let Ok(PeerReply::Heartbeat(heard)) = pool.call(address, &call, limit).await {
            // The event loop ends only when the process exits.
            let _sent = events.send(Event::HeartbeatAnswered(heard));
        }
    });
}

/// Polls the VM list.
pub(crate) async fn read_vm_list(
    list: HttpVmList,
    interval: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    loop {
        match list.list().await {
            Ok(snapshot) => {
                if events.send(Event::VmListed(snapshot)).is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("event=vm_list_failed error=\"{error}\""),
        }
        sleep(interval).await;
    }
}
