//! What the task of one request shares with the event loop.

use std::future::Future;
use std::time::Duration;

use base::Tokens;
use queue::Ticket;
use tokio::sync::{mpsc, oneshot, watch};
use wire::RefuseReason;

use crate::event::Event;

/// What the event loop decided about a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Decision {
    /// It does not run.
    Refuse { reason: RefuseReason, retry_after_ms: Option<u32> },
    /// It runs now.
    Start { waited: Duration },
}

/// A queued request's place in the event loop; it ends the request there when it is dropped.
pub(crate) struct QueueGuard {
    ticket: Ticket,
    events: mpsc::UnboundedSender<Event>,
    decision: oneshot::Receiver<Decision>,
    started: bool,
    used: Tokens,
}

impl QueueGuard {
    pub fn new(
        ticket: Ticket,
        events: mpsc::UnboundedSender<Event>,
        decision: oneshot::Receiver<Decision>,
    ) -> Self {
        Self { ticket, events, decision, started: false, used: Tokens::ZERO }
    }

    /// Waits for the decision, or for `gone`; none if the caller went away first.
    pub async fn decision(&mut self, gone: impl Future<Output = ()>) -> Option<Decision> {
        tokio::select! {
            biased;
            decision = &mut self.decision => {
                let decision = decision.ok()?;
                self.started = matches!(decision, Decision::Start { .. });
                Some(decision)
            }
            () = gone => None,
        }
    }

    /// Sets the tokens that the request used so far.
    pub const fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        // A decision to start may have crossed with the cancellation.
        let started =
            self.started || matches!(self.decision.try_recv(), Ok(Decision::Start { .. }));
        let event = if started {
            Event::Settled(self.ticket, self.used)
        } else {
            Event::Cancelled(self.ticket)
        };
        // A closed channel means that the process has ended.
        let _sent = self.events.send(event);
    }
}

/// Waits until streams are to be handed over; never returns if that does not happen.
pub(crate) async fn handed_over(handover: &mut watch::Receiver<bool>) {
    if handover.wait_for(|handed_over| *handed_over).await.is_err() {
        std::future::pending::<()>().await;
    }
}
