//! Targets of a fleet that stand still while requests run there.

use std::time::Duration;

use base::Timestamp;

use crate::{DirectFleet, DirectTarget, ExpectedSigns, SilenceChange, SilenceSettings, TargetKey};

/// Longest time between two signs of anybody after which this process still counts as hearing others.
/// Gateways report ten times a second.
const MAX_HEARING_GAP: Duration = Duration::from_millis(300);

/// When this process hears the other processes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Hearing {
    heard_at: Timestamp,
    since: Timestamp,
}

impl Hearing {
    /// Records that something arrived from any process. After a pause, of this process or its link, the
    /// silence of targets is measured anew.
    fn record(&mut self, now: Timestamp) {
        if now.since(self.heard_at) > MAX_HEARING_GAP {
            self.since = now;
        }
        self.heard_at = self.heard_at.max(now);
    }

    fn since(self, now: Timestamp) -> Option<Timestamp> {
        (now.since(self.heard_at) <= MAX_HEARING_GAP).then_some(self.since)
    }
}

impl DirectFleet {
    /// Records that something arrived from another process.
    pub fn record_heard(&mut self, now: Timestamp) {
        self.hearing.record(now);
    }

    /// Returns when something last arrived from another process or a target; none in a fleet without
    /// agents, where the others may have ended.
    pub fn agents_heard_at(&self) -> Option<Timestamp> {
        let has_agents = self.targets.iter().any(DirectTarget::has_local_agent);
        has_agents.then_some(self.hearing.heard_at)
    }

    /// Records that a part of a response arrived from a target.
    pub fn record_sign(&mut self, key: TargetKey, now: Timestamp) {
        self.hearing.record(now);
        self.targets[key.0 as usize].silence.record_own(now);
    }

    /// Judges again which targets stand still; returns those for which this has changed.
    pub fn judge_silence(
        &mut self,
        settings: &SilenceSettings,
        now: Timestamp,
    ) -> Vec<(TargetKey, SilenceChange)> {
        let heard_since = self.hearing.since(now);
        let judged = (0..).map(TargetKey).zip(&mut self.targets);
        judged
            .filter(|(_, target)| target.accepts_work || target.silence.is_silent())
            .filter_map(|(key, target)| {
                let work = target.work.total(now);
                let expected = ExpectedSigns {
                    running: work.running,
                    waiting: work.waiting,
                    from_agent: target.agent_state_received_at.is_some(),
                };
                let change = target.silence.judge(expected, heard_since, settings, now)?;
                Some((key, change))
            })
            .collect()
    }
}
