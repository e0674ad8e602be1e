//! Executes the core's actions.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use engine::{Engine, HttpEngine, Order, OrderKind};
use placement::{Item, OrderId};
use tokio::sync::mpsc;
use wire::{PeerCall, PeerPool, PeerReply, PermitOutcome};

use crate::action::{Action, SlotOwner};
use crate::event::Event;
use crate::process::Shared;
use crate::start_record::append_start;

/// Pause before a lost order is reported, so that the resend does not busy-loop.
const LOST_ORDER_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a failed call to raise the fencing number is reported.
const LOST_FENCE_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of one `Unpin` call; unacknowledged ones are sent again with the heartbeats.
const UNPIN_TIMEOUT: Duration = Duration::from_millis(500);

impl Shared {
    /// Starts one action; its result arrives as an event.
    pub fn execute(&self, action: Action) {
        let (events, pool) = (self.events.clone(), self.pool.clone());
        let limit = Duration::from_millis(self.settings.membership.call_timeout_ms);
        match action {
            Action::AppendStart => {
                let (log, identity) = (self.log.clone(), self.identity.clone());
                let number = self.next_start.get();
                self.next_start.set(number + 1);
                tokio::task::spawn_local(async move {
                    let offset = append_start(log, identity, number).await;
                    send_event(&events, Event::StartRecorded(offset));
                });
            }
            Action::RequestPermit { owner, hold_ms } => {
                tokio::task::spawn_local(async move {
                    let call = PeerCall::Permit { slot: owner.slot, hold_ms };
                    let answer = match pool.call(owner.address, &call, limit).await {
                        Ok(PeerReply::Permit(PermitOutcome::Granted { permit })) => Ok(permit),
                        Ok(PeerReply::Permit(PermitOutcome::Wait { retry_after_ms })) => {
                            Err(Some(Duration::from_millis(u64::from(retry_after_ms))))
                        }
                        _ => Err(None),
                    };
                    send_event(&events, Event::PermitAnswered(owner, answer));
                });
            }
            Action::RequestPin { peer, model, ask } => self.request_pin(peer, model, ask, limit),
            Action::ReleasePin { peer, model, ask } => {
                let requester = self.identity.process.clone();
                tokio::task::spawn_local(async move {
                    let call = PeerCall::Unpin { model: model.clone(), requester, ask };
                    if let Ok(PeerReply::Done) = pool.call(peer, &call, UNPIN_TIMEOUT).await {
                        send_event(&events, Event::UnpinAnswered { peer, model, ask });
                    }
                });
            }
            Action::RaiseFence(fencing) => {
                let engine = self.engine.clone();
                tokio::task::spawn_local(async move {
                    let answered = engine.fence(fencing.0).await.is_ok();
                    if !answered {
                        tokio::time::sleep(LOST_FENCE_PAUSE).await;
                    }
                    send_event(&events, Event::FenceAnswered(fencing, answered));
                });
            }
            Action::Refuse { ticket, reason, retry_after_ms } => {
                self.decide(
                    ticket,
                    crate::request_task::Decision::Refuse { reason, retry_after_ms },
                );
            }
            Action::ReturnPermit { owner, permit } => {
                tokio::task::spawn_local(return_permit(pool, owner, permit, limit));
            }
            Action::SendOrder { order, version, load_ms } => {
                self.send_order(&order, version, load_ms);
            }
            Action::Start { ticket, waited } => {
                self.decide(ticket, crate::request_task::Decision::Start { waited });
            }
        }
    }

    fn request_pin(&self, peer: SocketAddr, model: CompactString, ask: u64, limit: Duration) {
        let (events, pool) = (self.events.clone(), self.pool.clone());
        let requester = self.identity.process.clone();
        // Before it grants a pin, the peer must have this process's address, to send it heartbeats.
        let heartbeat = PeerCall::Heartbeat(Box::new(self.heartbeat()));
        tokio::task::spawn_local(async move {
            let answer = async {
                if let PeerReply::Heartbeat(heard) = pool.call(peer, &heartbeat, limit).await? {
                    send_event(&events, Event::HeartbeatAnswered(heard));
                }
                let call = PeerCall::Pin { model: model.clone(), requester, ask };
                pool.call(peer, &call, limit).await
            };
            let answer = match answer.await {
                Ok(PeerReply::Pin(outcome)) => Some(outcome),
                _ => None,
            };
            send_event(&events, Event::PinAnswered { peer, model, ask, answer });
        });
    }

    fn send_order(&self, order: &placement::Order, version: CompactString, load_ms: u64) {
        let process = &self.identity.process;
        let id = order.id;
        let name = order.item.name().clone();
        let base = order.base_model.clone().unwrap_or_default();
        let kind = match (&order.item, order.kind) {
            (Item::Model(_), placement::OrderKind::Load) => {
                OrderKind::LoadModel { model: name, version, memory_mb: order.memory_mb, load_ms }
            }
            (Item::Adapter(_), placement::OrderKind::Load) => OrderKind::LoadAdapter {
                adapter: name,
                model: base,
                memory_mb: order.memory_mb,
                load_ms,
            },
            (Item::Model(_), placement::OrderKind::Unload) => {
                OrderKind::UnloadModel { model: name }
            }
            (Item::Adapter(_), placement::OrderKind::Unload) => {
                OrderKind::UnloadAdapter { adapter: name }
            }
        };
        log::info!(
            "event=order_sent order={} item={} kind={:?}",
            id.0,
            order.item.name(),
            order.kind
        );
        let order = Order {
            id: format_compact!("{}-{}-{}", process.name, process.incarnation, id.0),
            fencing: order.fencing.0,
            deadline: Duration::from_millis(self.settings.order_lifetime_ms),
            kind,
        };
        tokio::task::spawn_local(execute_order(
            self.engine.clone(),
            order,
            id,
            self.events.clone(),
        ));
    }
}

async fn execute_order(
    engine: HttpEngine,
    order: Order,
    id: OrderId,
    events: mpsc::UnboundedSender<Event>,
) {
    let result = engine.order(&order).await;
    if let Err(error) = result {
        log::warn!("event=order_lost order={} error=\"{error}\"", order.id);
        tokio::time::sleep(LOST_ORDER_PAUSE).await;
    }
    send_event(&events, Event::OrderAnswered(id, result));
}

async fn return_permit(pool: PeerPool, owner: SlotOwner, permit: u64, limit: Duration) {
    let call = PeerCall::PermitDone { slot: owner.slot, permit };
    // A permit that is not returned expires at its deadline.
    if let Err(error) = pool.call(owner.address, &call, limit).await {
        log::debug!("event=permit_not_returned error=\"{error}\"");
    }
}

/// Sends an event. The event loop ends only when the process exits, so errors are ignored.
fn send_event(events: &mpsc::UnboundedSender<Event>, event: Event) {
    let _sent = events.send(event);
}
