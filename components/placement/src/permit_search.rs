//! Search for a weight store permit among the owners of its slots.

use std::time::Duration;

use base::Timestamp;

/// Round-robin search over the candidates, starting with the one that last granted a permit.
///
/// `C` identifies a slot and its owner. A load starts only with a permit.
#[derive(Clone, Debug)]
pub struct PermitSearch<C> {
    candidates: Vec<C>,
    next: usize,
    tried: usize,
    not_before: Timestamp,
    shortest_wait: Option<Duration>,
}

/// Backoff after a round in which no candidate owned a slot or replied.
const ROUND_BACKOFF: Duration = Duration::from_millis(250);

impl<C: Clone + PartialEq> PermitSearch<C> {
    /// Creates a search without candidates.
    pub const fn new() -> Self {
        Self {
            candidates: Vec::new(),
            next: 0,
            tried: 0,
            not_before: Timestamp { micros: 0 },
            shortest_wait: None,
        }
    }

    /// Replaces the candidates; an unchanged list keeps the current position in the round.
    pub fn set_candidates(&mut self, candidates: Vec<C>) {
        if candidates != self.candidates {
            self.candidates = candidates;
            self.next = 0;
            self.tried = 0;
        }
    }

    /// Returns the candidate to request a permit from, or none during the backoff.
    pub fn candidate(&self, now: Timestamp) -> Option<C> {
        if now < self.not_before { None } else { self.candidates.get(self.next).cloned() }
    }

    /// Records that the candidate granted a permit; the next search starts with it.
    pub const fn granted(&mut self) {
        self.tried = 0;
        self.shortest_wait = None;
    }

    /// Records that the candidate granted no permit. `wait` is the time until one may be free; it
    /// is none if the candidate does not own the slot or did not reply.
    pub fn refused(&mut self, wait: Option<Duration>, now: Timestamp) {
        self.shortest_wait = match (self.shortest_wait, wait) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.tried += 1;
        self.next = (self.next + 1) % self.candidates.len().max(1);
        if self.tried >= self.candidates.len() {
            self.not_before = now + self.shortest_wait.take().unwrap_or(ROUND_BACKOFF);
            self.tried = 0;
        }
    }

    /// Earliest time of the next permit request.
    pub const fn not_before(&self) -> Timestamp {
        self.not_before
    }
}

impl<C: Clone + PartialEq> Default for PermitSearch<C> {
    fn default() -> Self {
        Self::new()
    }
}
