//! Detects a target that stands still, from what all gateways and its agent hear of it.

use std::time::Duration;

use base::Timestamp;

/// Times of the judgement; each is longer than the pauses of a target that works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SilenceSettings {
    /// Silence after which a target with several running streams counts as silent.
    pub several_streams: Duration,
    /// The same with one running stream, which may wait while others have its place.
    pub one_stream: Duration,
    /// The same while all requests wait for their first event; longer than two reports of an agent in
    /// another data centre are apart.
    pub waiting_only: Duration,
    /// Time after which a silent target of which nothing was heard may be tried again; longer than the
    /// entry of a target that has ended stays in the list.
    pub retry_after: Duration,
}

impl Default for SilenceSettings {
    fn default() -> Self {
        Self {
            several_streams: Duration::from_millis(500),
            one_stream: Duration::from_millis(900),
            waiting_only: Duration::from_millis(2_000),
            retry_after: Duration::from_millis(4_000),
        }
    }
}

/// Requests of all gateways at a target from which something should be heard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedSigns {
    /// Streams with a first event.
    pub running: u32,
    /// Requests without a first event.
    pub waiting: u32,
    /// Whether the target's agent reports regularly, also while no stream runs.
    pub from_agent: bool,
}

/// A change of the judgement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceChange {
    /// Something was heard again, or the target may be tried again.
    Ended,
    /// The target counts as silent.
    Fell {
        /// Time since the last sign of life, in milliseconds.
        silent_ms: u64,
    },
}

/// Signs of life of one target, and whether it counts as silent.
#[derive(Clone, Debug, Default)]
pub struct TargetSilence {
    /// Last sign of life that this process got: a part of a response, or a state of the agent.
    own_sign_at: Option<Timestamp>,
    /// Last sign of life that another gateway reported.
    peer_sign_at: Option<Timestamp>,
    /// When the target was last allowed to be tried again.
    retried_at: Option<Timestamp>,
    /// Since when something should be heard of the target, without a pause.
    expecting_since: Option<Timestamp>,
    /// When the target was judged silent; none while it is not.
    silent_since: Option<Timestamp>,
}

impl TargetSilence {
    /// Records a sign of life that this process got.
    pub fn record_own(&mut self, at: Timestamp) {
        self.own_sign_at = self.own_sign_at.max(Some(at));
    }

    /// Records a sign of life that another gateway got.
    pub fn record_peer(&mut self, at: Timestamp) {
        self.peer_sign_at = self.peer_sign_at.max(Some(at));
    }

    /// Returns the last sign of life that this process got. Those of others are not passed on, or
    /// gateways would keep a silent target alive for each other.
    pub const fn own_sign_at(&self) -> Option<Timestamp> {
        self.own_sign_at
    }

    /// Returns whether this process or another gateway has had a sign of life within `limit`.
    pub fn was_heard_within(&self, limit: Duration, now: Timestamp) -> bool {
        self.own_sign_at.max(self.peer_sign_at).is_some_and(|at| now.since(at) < limit)
    }

    /// Returns whether the target counts as silent.
    pub const fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Judges the target again. `heard_since` is the time since which this process has heard others
    /// without a pause; none if it hears nobody, which says nothing about the target.
    pub fn judge(
        &mut self,
        expected: ExpectedSigns,
        heard_since: Option<Timestamp>,
        settings: &SilenceSettings,
        now: Timestamp,
    ) -> Option<SilenceChange> {
        let sign_at = self.own_sign_at.max(self.peer_sign_at).max(self.retried_at);
        if let Some(since) = self.silent_since {
            let is_over = sign_at > Some(since) || now.since(since) >= settings.retry_after;
            if is_over {
                self.silent_since = None;
                self.retried_at = Some(now);
            }
            return is_over.then_some(SilenceChange::Ended);
        }
        let limit = match expected {
            ExpectedSigns { running: 2.., .. } => settings.several_streams,
            ExpectedSigns { running: 1, .. } => settings.one_stream,
            ExpectedSigns { waiting: 1.., from_agent: true, .. } => settings.waiting_only,
            ExpectedSigns { .. } => {
                self.expecting_since = None;
                return None;
            }
        };
        let expecting_since = *self.expecting_since.get_or_insert(now);
        let silent_for = now.since(sign_at?.max(heard_since?).max(expecting_since));
        if silent_for < limit {
            return None;
        }
        self.silent_since = Some(now);
        let silent_ms = u64::try_from(silent_for.as_millis()).unwrap_or(u64::MAX);
        Some(SilenceChange::Fell { silent_ms })
    }
}
