//! How often requests of this gateway meet the crash of a target before their first output.

use std::collections::VecDeque;
use std::time::Duration;

use base::Timestamp;

use crate::crash::Crash;
use crate::suspect::Suspect;

/// Time that is looked back on.
const WINDOW: Duration = Duration::from_secs(60);
/// Requests and crashes that are added to what was seen, so that little evidence counts little.
const PRIOR_REQUESTS: f64 = 100.0;
const PRIOR_CRASHES: f64 = 2.0;
/// Most crashes kept.
const MAX_CRASHES: usize = 256;

/// Crashes and outputs of this gateway's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Background {
    crashes: VecDeque<Crash>,
    /// Outputs in the current half of the window and in the one before.
    outputs: [u32; 2],
    half_since: Timestamp,
}

impl Background {
    /// Records a crash.
    pub fn record_crash(&mut self, crash: Crash) {
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        self.expire(crash.at);
    }

    /// Records an output.
    pub fn record_output(&mut self, now: Timestamp) {
        self.expire(now);
        self.outputs[0] = self.outputs[0].saturating_add(1);
    }

    /// Probability that a request meets a crash that the subject did not cause.
    pub fn crash_probability(&self, suspect: &Suspect) -> f64 {
        let others = self.crashes.iter().filter(|crash| !suspect.was_in(crash)).count() as f64;
        let outputs = f64::from(self.outputs[0]) + f64::from(self.outputs[1]);
        (others + PRIOR_CRASHES) / (others + outputs + PRIOR_REQUESTS)
    }

    fn expire(&mut self, now: Timestamp) {
        while self.crashes.front().is_some_and(|crash| now.since(crash.at) > WINDOW) {
            self.crashes.pop_front();
        }
        if now.since(self.half_since) >= WINDOW / 2 {
            self.outputs = [0, self.outputs[0]];
            self.half_since = now;
        }
    }
}
