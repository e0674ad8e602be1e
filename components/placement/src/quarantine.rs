//! Withholding of orders after a restart.

use base::{Offset, Timestamp};

use crate::EngineState;

/// Progress of a new incarnation towards giving orders.
///
/// Orders of the incarnation before may still be on their way, and the engine may ignore fencing
/// numbers. So no order is given before the lifetime of such orders has passed and two reads of the
/// engine's state agree, the second of them asked for after that.
#[derive(Clone, Debug)]
pub struct Quarantine {
    until: Timestamp,
    fencing: Option<Offset>,
    fence_acknowledged: bool,
    previous: Option<EngineState>,
    over: bool,
}

impl Quarantine {
    /// Starts a quarantine that lasts at least to `until`.
    pub const fn new(until: Timestamp) -> Self {
        Self { until, fencing: None, fence_acknowledged: false, previous: None, over: false }
    }

    /// Takes the offset of the start record as the fencing number.
    ///
    /// A number that is not larger than the present one is ignored.
    pub fn set_fencing(&mut self, fencing: Offset) {
        if self.fencing.is_none_or(|present| present < fencing) {
            self.fencing = Some(fencing);
            self.fence_acknowledged = false;
        }
    }

    /// The fencing number to raise the engine's minimum to, until the engine has answered.
    pub const fn pending_fence(&self) -> Option<Offset> {
        if self.fence_acknowledged { None } else { self.fencing }
    }

    /// The fencing number, once known.
    pub const fn fencing(&self) -> Option<Offset> {
        self.fencing
    }

    /// Notes that the engine answered the call to raise its minimum to `fencing`.
    pub fn acknowledge_fence(&mut self, fencing: Offset) {
        if self.fencing == Some(fencing) {
            self.fence_acknowledged = true;
        }
    }

    /// Takes a read of the engine's state that was asked for at `asked_at`.
    pub fn observe(&mut self, state: &EngineState, asked_at: Timestamp) {
        if self.over {
            return;
        }
        let agrees = self.previous.as_ref() == Some(state);
        let ready = self.fence_acknowledged && asked_at > self.until;
        self.over = agrees && ready && state.settled();
        self.previous = Some(state.clone());
    }

    /// Whether orders may be given.
    pub const fn is_over(&self) -> bool {
        self.over
    }
}
