//! Sends of this process that a target's report does not include yet.

use std::collections::VecDeque;

use base::Timestamp;

/// Maximum number of unreported sends per target; beyond it the oldest is dropped.
const MAX_UNREPORTED_SENDS: usize = 1_024;

/// Identifier of a send, unique per target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SendId(pub u64);

#[derive(Clone, Copy, Debug)]
struct RecentSend {
    id: SendId,
    at: Timestamp,
    tokens: u64,
}

/// Sends to one target since its last load sample.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreportedSends {
    recent: VecDeque<RecentSend>,
    tokens: u64,
    next_id: u64,
}

impl UnreportedSends {
    pub(crate) fn add(&mut self, tokens: u64, now: Timestamp) -> SendId {
        let id = SendId(self.next_id);
        self.next_id += 1;
        if self.recent.len() >= MAX_UNREPORTED_SENDS {
            self.drop_first();
        }
        self.recent.push_back(RecentSend { id, at: now, tokens });
        self.tokens += tokens;
        id
    }

    /// Drops the sends before `sampled_at`, which the sample includes.
    pub(crate) fn apply_sample(&mut self, sampled_at: Timestamp) {
        while self.recent.front().is_some_and(|send| send.at < sampled_at) {
            self.drop_first();
        }
    }

    /// Drops a send that has ended.
    pub(crate) fn record_end(&mut self, id: SendId) {
        if let Ok(at) = self.recent.binary_search_by_key(&id, |send| send.id)
            && let Some(send) = self.recent.remove(at)
        {
            self.tokens -= send.tokens;
        }
    }

    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn count(&self) -> u64 {
        self.recent.len() as u64
    }

    fn drop_first(&mut self) {
        if let Some(send) = self.recent.pop_front() {
            self.tokens -= send.tokens;
        }
    }
}
