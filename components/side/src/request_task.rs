//! Connection between the task of one request and the event loop.

use std::future::Future;
use std::time::Duration;

use base::Tokens;
use queue::Ticket;
use tokio::sync::{mpsc, oneshot, watch};
use wire::RefuseReason;

use crate::event::Event;

/// Decision of the event loop about a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Decision {
    /// It does not run.
    Refuse { reason: RefuseReason, retry_after_ms: Option<u32> },
    /// It runs now.
    Start { waited: Duration },
}

/// Guard of a queued or running request; dropping it ends the request in the event loop.
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

    /// Waits for the decision; none if `gone` completes first, that is, if the caller disconnects.
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

    /// Sets the number of tokens that the request has used so far.
    pub const fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        // The request may have been started at the same time as it was cancelled.
        let started =
            self.started || matches!(self.decision.try_recv(), Ok(Decision::Start { .. }));
        let event = if started {
            Event::Settled(self.ticket, self.used)
        } else {
            Event::Cancelled(self.ticket)
        };
        // The channel is closed only if the event loop has ended.
        let _sent = self.events.send(event);
    }
}

/// Waits for a signal of the drain; never returns if it isn't given.
pub(crate) async fn signalled(signal: &mut watch::Receiver<bool>) {
    if signal.wait_for(|given| *given).await.is_err() {
        std::future::pending::<()>().await;
    }
}
