//! Settings of the quarantine.

use std::time::Duration;

/// When a subject is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Fewest crashes that quarantine a subject.
    pub min_crashes: usize,
    /// Further crashes needed if a target has answered the same request before, or a request with the part
    /// if the targets had not sent a head; this speaks against it as the cause.
    pub answered_crashes: usize,
    /// Further crashes needed if another request was in exactly the same crashes.
    pub ambiguous_crashes: usize,
    /// Fewest crashes that quarantine a part if the targets had not sent the head of a response.
    pub headless_crashes: usize,
    /// By how many of these crashes the part must exceed each other one that was beside it.
    pub headless_lead: usize,
    /// Probability that a sound part was in that many crashes in a row, below which a part is
    /// quarantined.
    pub false_positive: f64,
    /// The same for a request. Unlike a part, it is in no other request, so that fewer are refused with
    /// it.
    pub request_false_positive: f64,
    /// Time within which crashes count once for a part: engines that lose power together end on
    /// requests that have nothing to do with it.
    pub crash_gap: Duration,
    /// Time within which crashes that one gateway saw count once for a request.
    pub exact_gap: Duration,
    /// Time within which crashes that two gateways saw count once for a request; ages don't contain the
    /// time that a report is under way.
    pub reported_gap: Duration,
    /// Age from which a crash counts: by then an output at another gateway has been reported.
    pub settle_time: Duration,
    /// The same for a request that no target has answered before.
    pub request_settle_time: Duration,
    /// Longest time that a report takes; times of other gateways are known no better.
    pub report_delay: Duration,
    /// Age up to which a crash counts.
    pub evidence_lifetime: Duration,
    /// Length of a first quarantine; each failed trial doubles it.
    pub hold: Duration,
    /// Length of the first quarantine of a part that targets have answered before, so that a trial soon
    /// tells whether it is the cause.
    pub answered_part_hold: Duration,
    /// Longest quarantine.
    pub max_hold: Duration,
    /// Time over which the gateways spread their trials after a quarantine, and between two trials of
    /// one gateway.
    pub trial_spread: Duration,
    /// Age up to which a single crash of a subject is reported. Most are bystanders, which would fill
    /// the reports.
    pub single_crash_reported: Duration,
    /// Time for which an output is reported, so that lost reports do no harm.
    pub clear_reported: Duration,
    /// Subjects whose last output is remembered, for crashes that are reported after it.
    pub max_outputs: usize,
    /// Most subjects with evidence; bounds the memory.
    pub max_subjects: usize,
    /// Most of these that are parts and were only in crashes of targets that had sent no head.
    pub max_headless_parts: usize,
    /// Most parts of a request that are suspected.
    pub max_parts_of_request: usize,
    /// Most subjects in a report to the other gateways.
    pub max_reported: usize,
    /// Most of these that are parts and were only in crashes of targets that had sent no head.
    pub max_headless_reported: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            answered_crashes: 2,
            ambiguous_crashes: 1,
            headless_crashes: 4,
            headless_lead: 2,
            false_positive: 1e-6,
            request_false_positive: 1e-5,
            crash_gap: Duration::from_millis(500),
            exact_gap: Duration::from_millis(40),
            reported_gap: Duration::from_millis(150),
            settle_time: Duration::from_millis(600),
            request_settle_time: Duration::from_millis(300),
            report_delay: Duration::from_secs(1),
            evidence_lifetime: Duration::from_secs(600),
            hold: Duration::from_secs(600),
            answered_part_hold: Duration::from_secs(10),
            max_hold: Duration::from_secs(14_400),
            trial_spread: Duration::from_secs(30),
            single_crash_reported: Duration::from_secs(30),
            clear_reported: Duration::from_secs(5),
            max_outputs: 2_048,
            max_subjects: 512,
            max_headless_parts: 256,
            max_parts_of_request: 16,
            max_reported: 48,
            max_headless_reported: 16,
        }
    }
}
