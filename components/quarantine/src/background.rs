//! How often requests of this gateway meet the crash of a target before their first output.

use std::collections::VecDeque;
use std::time::Duration;

use base::{SortedMap, Timestamp};
use wire::Subject;

use crate::crash::Crash;
use crate::suspect::Suspect;

/// Time that is looked back on.
const WINDOW: Duration = Duration::from_secs(60);
/// Requests and crashes that are added to what was seen, so that little evidence counts little.
const PRIOR_REQUESTS: f64 = 100.0;
const PRIOR_CRASHES: f64 = 2.0;
/// Most crashes kept.
const MAX_CRASHES: usize = 256;

/// Crashes and outputs of this gateway's requests, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Background {
    services: SortedMap<u32, ServiceBackground>,
}

/// Crashes and outputs of requests to one service.
#[derive(Clone, Debug, Default)]
struct ServiceBackground {
    /// Crashes during requests whose response had begun, which are evidence on parts.
    begun: VecDeque<Crash>,
    /// Crashes during other requests.
    others: VecDeque<Crash>,
    /// Outputs in the current half of the window and in the one before.
    outputs: [u32; 2],
    half_since: Timestamp,
}

impl Background {
    /// Records a crash; `has_begun` tells whether the response to the request had.
    pub fn record_crash(&mut self, crash: Crash, has_begun: bool) {
        let service = self.services.get_or_insert_with(crash.service, ServiceBackground::default);
        let crashes = if has_begun { &mut service.begun } else { &mut service.others };
        if crashes.len() == MAX_CRASHES {
            crashes.pop_front();
        }
        crashes.push_back(crash);
        service.expire(crash.at);
    }

    /// Records an output for a request to `service`.
    pub fn record_output(&mut self, service: u32, now: Timestamp) {
        let service = self.services.get_or_insert_with(service, ServiceBackground::default);
        service.expire(now);
        service.outputs[0] = service.outputs[0].saturating_add(1);
    }

    /// Probability that a request to the service of the suspect's last crash meets a crash that neither
    /// the suspect caused nor, by `is_explained`, a subject in quarantine.
    pub fn crash_probability(
        &self,
        suspect: &Suspect,
        is_explained: impl Fn(&Crash) -> bool,
    ) -> f64 {
        let last = suspect.crashes.last().map(|crash| crash.service);
        let (others, outputs) =
            last.and_then(|service| self.services.get(&service)).map_or((0.0, 0.0), |service| {
                let is_other =
                    |crash: &&Crash| !suspect.had_head_at(crash.target) && !is_explained(crash);
                let mut others = service.begun.iter().filter(is_other).count();
                if matches!(suspect.subject, Subject::Request(_)) {
                    others += service.others.iter().filter(is_other).count();
                }
                let others = others as f64;
                (others, service.output_count())
            });
        probability(others, outputs)
    }

    /// The same for all requests, with a response begun or not, at targets that no request with the
    /// suspected part ran at; `is_explained` takes a target.
    pub fn crash_probability_beside(
        &self,
        suspect: &Suspect,
        is_explained: impl Fn(u32) -> bool,
    ) -> f64 {
        let last = suspect.part_crashes.as_slice().last().map(|crash| crash.service);
        let service = last.and_then(|service| self.services.get(&service));
        service.map_or_else(
            || probability(0.0, 0.0),
            |service| {
                let crashes = service.begun.iter().chain(&service.others);
                let others = crashes
                    .filter(|crash| !suspect.was_at(crash.target) && !is_explained(crash.target))
                    .count();
                probability(others as f64, service.output_count())
            },
        )
    }
}

fn probability(crashes: f64, outputs: f64) -> f64 {
    (crashes + PRIOR_CRASHES) / (crashes + outputs + PRIOR_REQUESTS)
}

impl ServiceBackground {
    fn output_count(&self) -> f64 {
        self.outputs.iter().copied().map(f64::from).sum()
    }

    fn expire(&mut self, now: Timestamp) {
        for crashes in [&mut self.begun, &mut self.others] {
            while crashes.front().is_some_and(|crash| now.since(crash.at) > WINDOW) {
                crashes.pop_front();
            }
        }
        if now.since(self.half_since) >= WINDOW / 2 {
            self.outputs = [0, self.outputs[0]];
            self.half_since = now;
        }
    }
}
