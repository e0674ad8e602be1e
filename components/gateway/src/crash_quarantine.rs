//! Quarantine of requests, and of prompt parts, that end targets.

use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{Timestamp, short_hash};
use quarantine::{QuarantineChange, Refusal, RequestSubjects};
use telemetry::quote;
use tokio::time::timeout;
use wire::{Subject, SubjectReport};

use crate::app::App;
use crate::dispatch::Dispatch;
use crate::in_flight_send::InFlightSend;
use crate::target_life::{Evidence, TargetFate};

/// Longest check whether a target has ended. A refusal takes a round trip, and the request waits for it.
const MAX_CHECK_TIME: Duration = Duration::from_millis(250);

/// What a quarantine began or ended on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EvidenceSource {
    /// Report of another gateway.
    Gateway,
    /// Crashes and outputs of this gateway's requests, with what the others reported.
    Own,
    /// Record in the store.
    Store,
}

impl EvidenceSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Own => "own",
            Self::Store => "store",
        }
    }
}

impl App {
    /// Evidence to report to the other gateways.
    pub(crate) fn crash_reports(&self, now: Timestamp) -> Vec<SubjectReport> {
        let reports = self.quarantine.borrow_mut().reports(now);
        self.handle_quarantine_changes(EvidenceSource::Own);
        reports
    }

    /// Applies evidence of another gateway or from the store.
    pub(crate) fn apply_crash_reports(
        &self,
        reports: &[SubjectReport],
        source: EvidenceSource,
        now: Timestamp,
    ) {
        if reports.is_empty() {
            return;
        }
        self.quarantine.borrow_mut().apply_reports(reports, now);
        self.handle_quarantine_changes(source);
    }

    fn store_quarantine(&self, subject: Subject) {
        let mut changed = self.changed_quarantines.borrow_mut();
        if !changed.contains(&subject) {
            changed.push(subject);
        }
        self.stored_quarantines_changed.notify_one();
    }

    /// Stores all quarantines again, since the store may have lost them.
    pub(crate) fn store_quarantines(&self) {
        let held: Vec<Subject> = self.quarantine.borrow().held_subjects().collect();
        held.into_iter().for_each(|subject| self.store_quarantine(subject));
    }

    fn handle_quarantine_changes(&self, source: EvidenceSource) {
        let changes = self.quarantine.borrow_mut().take_changes();
        for change in changes {
            match change {
                QuarantineChange::Begun {
                    subject,
                    companions,
                    crashes,
                    hold,
                    failed_trials,
                    is_own,
                } => {
                    log::warn!(
                        "event=quarantine_begun subject={subject} companions={} crashes={crashes} hold_ms={} failed_trials={failed_trials} source={}",
                        part_list(&companions),
                        hold.as_millis(),
                        source.as_str()
                    );
                    self.quarantine_begun.notify_waiters();
                    if is_own {
                        self.store_quarantine(subject);
                    }
                }
                QuarantineChange::Narrowed { subject, companions } => {
                    log::warn!(
                        "event=quarantine_narrowed subject={subject} companions={} source={}",
                        part_list(&companions),
                        source.as_str()
                    );
                    self.quarantine_begun.notify_waiters();
                    if source == EvidenceSource::Own {
                        self.store_quarantine(subject);
                    }
                }
                QuarantineChange::Released { subject } => {
                    log::info!(
                        "event=quarantine_ended subject={subject} reason=output source={}",
                        source.as_str()
                    );
                    if source == EvidenceSource::Own {
                        self.store_quarantine(subject);
                    }
                }
                QuarantineChange::Expired { subject } => {
                    log::info!(
                        "event=quarantine_ended subject={subject} reason=expired source={}",
                        source.as_str()
                    );
                    self.store_quarantine(subject);
                }
            }
        }
    }
}

/// Parts of a prompt as a field of a log line.
fn part_list(parts: &[u64]) -> String {
    if parts.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join(",")
}

impl Dispatch {
    /// What the request has in common with others.
    fn subjects(&self) -> RequestSubjects<'_> {
        RequestSubjects {
            parts: &self.request.parts,
            digest: self.request.digest,
            service: short_hash(self.request.plan.service.as_bytes()),
        }
    }

    /// Returns the error for a request that is in quarantine or has a part in it.
    pub(crate) fn check_quarantine(&self, now: Timestamp) -> Result<(), ApiError> {
        let refusal = self.app.quarantine.borrow().refusal(&self.subjects(), now);
        let Some(Refusal { subject, remaining }) = refusal else { return Ok(()) };
        log::info!(
            "event=quarantine_refused request_id={} subject={subject} remaining_ms={}",
            quote(&self.request.id),
            remaining.as_millis()
        );
        let (code, text) = match subject {
            Subject::Part(_) => (
                ErrorCode::PromptQuarantined,
                "a part of the prompt has ended the engines that began to answer it",
            ),
            Subject::Request(_) => (
                ErrorCode::RequestQuarantined,
                "the same request has ended the targets that ran it",
            ),
        };
        Err(ApiError::new(code, text).with_retry_after(remaining))
    }

    /// Whether the request, or a part of it, is in quarantine.
    pub(crate) fn is_quarantined(&self, now: Timestamp) -> bool {
        self.app.quarantine.borrow().refusal(&self.subjects(), now).is_some()
    }

    /// Waits until the request, or a part of it, is quarantined.
    pub(crate) async fn quarantined(&self) {
        loop {
            self.app.quarantine_begun.notified().await;
            if self.is_quarantined(self.app.clock.now()) {
                return;
            }
        }
    }

    /// Records that the request is sent to a target.
    pub(crate) fn record_quarantined_send(&self, now: Timestamp) {
        self.app.quarantine.borrow_mut().record_send(&self.subjects(), now);
    }

    /// Records that a target wrote output for the request.
    pub(crate) fn record_output(&self, now: Timestamp) {
        self.app.quarantine.borrow_mut().record_output(&self.subjects(), now);
        self.app.handle_quarantine_changes(EvidenceSource::Own);
    }

    /// Checks whether the target of a response that broke off before its first output has ended, and
    /// records this as evidence against the request and its parts; returns whether the request may be
    /// sent again. An engine reads prompts before it sends the head of a response, many at a time, so
    /// that the evidence against parts is weaker without it.
    pub(crate) async fn allows_retry_after_break(
        &self,
        send: &InFlightSend,
        has_head: bool,
    ) -> bool {
        let broken_at = self.app.clock.now();
        // A target that leaves as announced, or is listed no more, may cut what it has not finished.
        if !self.app.fleet.borrow().target(send.pick.key).accepts_work {
            return true;
        }
        // Another target may serve at the address, or the same one again, if this process stood still.
        let Ok((TargetFate::Ended, evidence)) = timeout(MAX_CHECK_TIME, self.find_life(send)).await
        else {
            return true;
        };
        let now = self.app.clock.now();
        if evidence == Evidence::Connection {
            self.app.fleet.borrow_mut().record_connection_refused(send.pick.key, now);
        }
        let target = short_hash(send.pick.id.as_bytes());
        let subjects = self.subjects();
        let mut quarantine = self.app.quarantine.borrow_mut();
        match has_head {
            true => quarantine.record_crash(&subjects, target, broken_at),
            false => quarantine.record_crash_before_head(&subjects, target, broken_at),
        }
        let allowed = quarantine.allows_retry(&subjects, now);
        drop(quarantine);
        log::info!(
            "event=crash_recorded request_id={} digest={:x} target={} parts={} head={has_head} retry={allowed}",
            quote(&self.request.id),
            self.request.digest,
            quote(&send.pick.id),
            subjects.parts.len().saturating_sub(1)
        );
        self.app.handle_quarantine_changes(EvidenceSource::Own);
        allowed
    }
}
