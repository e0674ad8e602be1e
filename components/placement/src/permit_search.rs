//! Search for a weight-store permit among the owners of its slots.

use std::time::Duration;

use base::Timestamp;

/// Asks the candidates in turn, beginning with the one that granted last.
///
/// `C` names a slot at an owner. A load starts only with a permit.
#[derive(Clone, Debug)]
pub struct PermitSearch<C> {
    candidates: Vec<C>,
    next: usize,
    asked: usize,
    not_before: Timestamp,
    shortest_wait: Option<Duration>,
}

/// Wait after a round in which no candidate owned a slot or answered.
const RETRY_AFTER: Duration = Duration::from_millis(250);

impl<C: Clone + PartialEq> PermitSearch<C> {
    /// A search without candidates.
    pub const fn new() -> Self {
        Self {
            candidates: Vec::new(),
            next: 0,
            asked: 0,
            not_before: Timestamp { micros: 0 },
            shortest_wait: None,
        }
    }

    /// Replaces the candidates, and keeps the place in the round if they are the same.
    pub fn set_candidates(&mut self, candidates: Vec<C>) {
        if candidates != self.candidates {
            self.candidates = candidates;
            self.next = 0;
            self.asked = 0;
        }
    }

    /// The candidate to ask now.
    pub fn candidate(&self, now: Timestamp) -> Option<C> {
        if now < self.not_before { None } else { self.candidates.get(self.next).cloned() }
    }

    /// Notes that the candidate granted a permit; the next search begins with it.
    pub const fn granted(&mut self) {
        self.asked = 0;
        self.shortest_wait = None;
    }

    /// Notes that the candidate had none: `wait` if it owns the slot, none if it does not or did not
    /// answer.
    pub fn refused(&mut self, wait: Option<Duration>, now: Timestamp) {
        self.shortest_wait = match (self.shortest_wait, wait) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.asked += 1;
        self.next = (self.next + 1) % self.candidates.len().max(1);
        if self.asked >= self.candidates.len() {
            self.not_before = now + self.shortest_wait.take().unwrap_or(RETRY_AFTER);
            self.asked = 0;
        }
    }

    /// When the next candidate may be asked.
    pub const fn not_before(&self) -> Timestamp {
        self.not_before
    }
}

impl<C: Clone + PartialEq> Default for PermitSearch<C> {
    fn default() -> Self {
        Self::new()
    }
}
