//! Quarantine after a restart, during which a side process sends no orders.

use base::{Offset, Timestamp};

use crate::EngineState;

/// Quarantine of a new incarnation of a side process.
///
/// Orders of the previous incarnation may still be in flight, and the engine may ignore fencing
/// tokens. No order is therefore sent until the lifetime of such orders has passed and two
/// successive reads of the engine's state agree, with the second read requested after that time.
#[derive(Clone, Debug)]
pub struct Quarantine {
    until: Timestamp,
    fencing: Option<Offset>,
    fence_acknowledged: bool,
    previous: Option<EngineState>,
    is_over: bool,
}

impl Quarantine {
    /// Starts a quarantine that lasts at least until `until`.
    pub const fn new(until: Timestamp) -> Self {
        Self { until, fencing: None, fence_acknowledged: false, previous: None, is_over: false }
    }

    /// Sets the fencing token, which is the offset of the start record.
    ///
    /// A token that is not larger than the current one is ignored.
    pub fn set_fencing(&mut self, fencing: Offset) {
        if self.fencing.is_none_or(|current| current < fencing) {
            self.fencing = Some(fencing);
            self.fence_acknowledged = false;
        }
    }

    /// Returns the fencing token to which the engine's minimum must be raised, until the engine has
    /// acknowledged it.
    pub const fn pending_fence(&self) -> Option<Offset> {
        if self.fence_acknowledged { None } else { self.fencing }
    }

    /// Returns the fencing token, once known.
    pub const fn fencing(&self) -> Option<Offset> {
        self.fencing
    }

    /// Records that the engine acknowledged `fencing` as its minimum.
    pub fn acknowledge_fence(&mut self, fencing: Offset) {
        if self.fencing == Some(fencing) {
            self.fence_acknowledged = true;
        }
    }

    /// Applies a read of the engine's state that was requested at `requested_at`.
    pub fn observe(&mut self, state: &EngineState, requested_at: Timestamp) {
        if self.is_over {
            return;
        }
        let agrees = self.previous.as_ref() == Some(state);
        let is_confirmed = self.fence_acknowledged && requested_at > self.until;
        self.is_over = agrees && is_confirmed && state.is_settled();
        self.previous = Some(state.clone());
    }

    /// Returns whether the quarantine is over and orders may be sent.
    pub const fn is_over(&self) -> bool {
        self.is_over
    }
}
