//! Handles messages of peers and events of tasks.

use std::rc::Rc;
use std::time::Duration;

use base::{ExecutionState, Role};
use queue::Ticket;
use telemetry::RequestClass;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::{
    ForwardDown, ForwardHead, ForwardUp, FrameReceiver, FrameSender, GenerateEvent, GenerateFrame,
    GenerateRequest, Incoming, PeerCall, PeerIdentity, PeerReply,
};

use crate::event::Event;
use crate::forward::Forward;
use crate::generation::Generation;
use crate::idempotent_call::IdempotentCall;
use crate::labels::refuse_label;
use crate::process::Shared;
use crate::request_task::{Decision, QueueGuard};

impl Shared {
    /// Handles a call or request of a peer.
    pub fn handle_incoming(self: &Rc<Self>, incoming: Incoming) {
        match incoming {
            Incoming::Call { peer, call, responder } => responder.reply(self.answer(&peer, call)),
            Incoming::Generate { request, sender, .. } => self.generate(request, sender),
            Incoming::Forward { head, body, sender, .. } => self.forward(head, body, sender),
        }
    }

    fn answer(&self, peer: &PeerIdentity, call: PeerCall) -> PeerReply {
        if self.core.borrow().peers.superseded(&peer.process) {
            log::warn!("event=call_refused peer={} reason=superseded", peer.process);
            return PeerReply::Unsupported;
        }
        match call {
            PeerCall::Heartbeat(heartbeat) => {
                if heartbeat.from != peer.process {
                    log::warn!("event=heartbeat_refused peer={}", peer.process);
                    return PeerReply::Unsupported;
                }
                self.heartbeat_received(&heartbeat);
                PeerReply::Heartbeat(Box::new(self.heartbeat()))
            }
            PeerCall::Status => {
                let (source, now) = (self.source.get(), self.clock.now());
                PeerReply::Status(Box::new(self.core.borrow().status(&source, now)))
            }
            PeerCall::CacheEvents { after } => {
                PeerReply::CacheEvents(self.core.borrow().cache.update_after(after))
            }
            PeerCall::Suggest(suggestion) => {
                PeerReply::Suggest(self.with_core(|core, now| core.suggest(&suggestion, now)))
            }
            PeerCall::Pin { model, requester, ask } if requester == peer.process => {
                PeerReply::Pin(self.with_core(|core, _| core.grant_pin(&model, &requester, ask)))
            }
            PeerCall::Unpin { model, requester, ask } if requester == peer.process => {
                self.with_core(|core, now| {
                    core.pins.release(&model, &requester, ask);
                    core.drive(now);
                });
                PeerReply::Done
            }
            PeerCall::Pin { .. }
            | PeerCall::Unpin { .. }
            | PeerCall::Reserve { .. }
            | PeerCall::Settle { .. }
            | PeerCall::CatchUp { .. }
            | PeerCall::Permit { .. }
            | PeerCall::PermitDone { .. } => PeerReply::Unsupported,
        }
    }

    fn generate(&self, request: GenerateRequest, sender: FrameSender<GenerateEvent>) {
        let deadline = Instant::now() + Duration::from_millis(u64::from(request.deadline_ms));
        self.metrics.record_request(&request.customer, RequestClass::Streamed);
        let generation = Generation {
            engine: self.engine.clone(),
            handover: self.handover.subscribe(),
            deadline,
            incarnation: self.identity.process.incarnation.0,
            probe_now: self.probe_now.clone(),
            metrics: self.metrics.clone(),
            sender,
            request,
        };
        let admitted = self.enqueue(|core, now| core.admit_generation(&generation.request, now));
        match admitted {
            Ok(guard) => {
                self.tasks.borrow_mut().spawn_local(generation.run(guard));
            }
            Err(refusal) => {
                self.metrics.record_refusal(refuse_label(refusal.reason));
                let last = GenerateFrame::Refused {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after_ms,
                };
                self.tasks.borrow_mut().spawn_local(generation.finish(last));
            }
        }
    }

    fn forward(
        self: &Rc<Self>,
        head: ForwardHead,
        body: FrameReceiver<ForwardUp>,
        sender: FrameSender<ForwardDown>,
    ) {
        let deadline = Instant::now() + Duration::from_millis(u64::from(head.deadline_ms));
        self.metrics
            .record_request(head.customer.as_deref().unwrap_or_default(), RequestClass::Plain);
        let target = self.settings.target_address;
        let call = Forward { head, body, sender, target, deadline };
        if !call.head.repeatable
            && let Some(key_sha256) = call.head.idempotency_key_sha256
        {
            let keyed = IdempotentCall { call, key_sha256 };
            self.tasks.borrow_mut().spawn_local(keyed.run(self.clone()));
            return;
        }
        if !call.head.repeatable
            && !self.recent_ids.borrow_mut().insert(call.head.request_id, self.clock.now())
        {
            log::warn!("event=call_repeated request_id={}", call.head.request_id);
            let last = ForwardDown::Failed { ran: ExecutionState::Unknown };
            self.tasks.borrow_mut().spawn_local(call.finish(last));
            return;
        }
        match self.enqueue(|core, now| core.admit_forward(&call.head, now)) {
            Ok(guard) => {
                self.tasks.borrow_mut().spawn_local(call.run(guard, self.recent_ids.clone()));
            }
            Err(refusal) => {
                self.recent_ids.borrow_mut().forget(call.head.request_id);
                self.metrics.record_refusal(refuse_label(refusal.reason));
                let last = ForwardDown::Refused {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after_ms,
                };
                self.tasks.borrow_mut().spawn_local(call.finish(last));
            }
        }
    }

    /// Admits a request and returns its queue guard.
    ///
    /// The actions of the admission run after the decision channel is registered, since they may
    /// already start the request.
    pub fn enqueue<E>(
        &self,
        admit: impl FnOnce(&mut crate::core::Core, base::Timestamp) -> Result<Ticket, E>,
    ) -> Result<QueueGuard, E> {
        let now = self.clock.now();
        let ticket = admit(&mut self.core.borrow_mut(), now);
        let guard = ticket.map(|ticket| {
            let (decide, decision) = oneshot::channel();
            self.decisions.borrow_mut().insert(ticket, decide);
            QueueGuard::new(ticket, self.events.clone(), decision)
        });
        self.execute_actions();
        guard
    }

    /// Sends a decision to a request's task.
    pub fn decide(&self, ticket: Ticket, decision: Decision) {
        if let Some(decide) = self.decisions.borrow_mut().remove(&ticket) {
            // A task that has ended has reported its request as cancelled.
            let _sent = decide.send(decision);
        }
    }

    /// Handles an event of a task.
    pub fn handle_event(&self, event: Event) {
        match event {
            Event::CacheRead(answer) => self.core.borrow_mut().cache.apply_answer(&answer),
            Event::Cancelled(ticket) => {
                self.decisions.borrow_mut().remove(&ticket);
                self.with_core(|core, now| core.cancelled(ticket, now));
            }
            Event::Configured(config) => {
                self.metrics.admit_customers(config.customers.iter().map(|c| c.name.as_str()));
                self.with_core(|core, now| core.configure(config, now));
                self.start_probes();
            }
            Event::FenceAnswered(fencing, answered) => self.with_core(|core, now| {
                core.fence_pending = false;
                if answered {
                    core.ledger.quarantine_mut().acknowledge_fence(fencing);
                }
                core.drive(now);
            }),
            Event::HeartbeatAnswered(heartbeat) => self.heartbeat_received(&heartbeat),
            Event::LoadRead(sample) => {
                self.core.borrow_mut().engine_waiting_tokens = sample.waiting_tokens;
            }
            Event::OrderAnswered(id, Ok(result)) => {
                self.with_core(|core, now| core.order_answered(id, convert(result), now));
            }
            Event::OrderAnswered(id, Err(_)) => {
                self.with_core(|core, now| core.resend_order(id, now));
                self.probe_now.notify_one();
            }
            Event::PermitAnswered(owner, answer) => {
                self.with_core(|core, now| core.permit_answered(owner, answer, now));
            }
            Event::PinAnswered { peer, model, ask, answer } => {
                self.with_core(|core, now| core.pin_answered(peer, &model, ask, answer, now));
            }
            Event::Probed(Ok(())) => self.with_core(|core, now| {
                core.probe_answered();
                core.drive(now);
            }),
            Event::Probed(Err(failure)) | Event::StateRead(_, Err(failure)) => {
                self.with_core(|core, now| core.probe_failed(failure, now));
            }
            Event::Settled(ticket, used) => {
                self.with_core(|core, now| core.settled(ticket, used, now));
            }
            Event::StartRecorded(offset) => self.with_core(|core, now| {
                core.start_pending = false;
                core.ledger.quarantine_mut().set_fencing(offset);
                core.drive(now);
            }),
            Event::StateRead(asked_at, Ok(state)) => {
                self.with_core(|core, now| core.state_read(&state, asked_at, now));
            }
            Event::UnpinAnswered { peer, model, ask } => {
                self.with_core(|core, _| core.unpin_answered(peer, &model, ask));
            }
            Event::VmListed(list) => {
                let silent = Duration::from_millis(self.settings.membership.silent_after_ms);
                self.with_core(|core, now| core.vm_list_received(&list, silent, now));
            }
        }
    }

    fn heartbeat_received(&self, heartbeat: &wire::Heartbeat) {
        self.with_core(|core, now| core.heartbeat_received(heartbeat, now));
        let newer = heartbeat.config_offset > self.core.borrow().config.version;
        if heartbeat.role == Role::Entry && newer {
            self.read_config_now.notify_one();
        }
    }
}

const fn convert(result: engine::OrderResult) -> placement::OrderResult {
    match result {
        engine::OrderResult::Done => placement::OrderResult::Done,
        engine::OrderResult::Expired => placement::OrderResult::Expired,
        engine::OrderResult::Failed => placement::OrderResult::Failed,
        engine::OrderResult::Fenced => placement::OrderResult::Fenced,
        engine::OrderResult::NoMemory => placement::OrderResult::NoMemory,
    }
}
