//! Quarantine of prompt parts that end engines.

use api::{ApiError, ErrorCode};
use base::{Timestamp, short_hash};
use quarantine::{QuarantineChange, Refusal};
use telemetry::quote;
use wire::PartReport;

use crate::app::App;
use crate::dispatch::Dispatch;
use crate::in_flight_send::InFlightSend;
use crate::target_pool::SendFailure;

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
    /// Evidence on parts, to report to the other gateways.
    pub(crate) fn part_reports(&self, now: Timestamp) -> Vec<PartReport> {
        let reports = self.quarantine.borrow_mut().reports(now);
        self.handle_quarantine_changes(EvidenceSource::Own);
        reports
    }

    /// Applies evidence on parts of another gateway or from the store.
    pub(crate) fn apply_part_reports(
        &self,
        reports: &[PartReport],
        source: EvidenceSource,
        now: Timestamp,
    ) {
        if reports.is_empty() {
            return;
        }
        self.quarantine.borrow_mut().apply_reports(reports, now);
        self.handle_quarantine_changes(source);
    }

    fn store_part(&self, part: u64) {
        let mut changed = self.changed_parts.borrow_mut();
        if !changed.contains(&part) {
            changed.push(part);
        }
        self.stored_parts_changed.notify_one();
    }

    /// Stores all parts in quarantine again, since the store may have lost them.
    pub(crate) fn store_held_parts(&self) {
        let held = self.quarantine.borrow().held_parts();
        held.into_iter().for_each(|part| self.store_part(part));
    }

    fn handle_quarantine_changes(&self, source: EvidenceSource) {
        let changes = self.quarantine.borrow_mut().take_changes();
        for change in changes {
            match change {
                QuarantineChange::Begun { part, crashes, hold, failed_trials, is_own } => {
                    log::warn!(
                        "event=part_quarantined part={part:x} crashes={crashes} hold_ms={} failed_trials={failed_trials} source={}",
                        hold.as_millis(),
                        source.as_str()
                    );
                    self.part_quarantined.notify_waiters();
                    if is_own {
                        self.store_part(part);
                    }
                }
                QuarantineChange::Released { part } => {
                    log::info!(
                        "event=part_released part={part:x} reason=output source={}",
                        source.as_str()
                    );
                    if source == EvidenceSource::Own {
                        self.store_part(part);
                    }
                }
                QuarantineChange::Expired { part } => {
                    log::info!(
                        "event=part_released part={part:x} reason=expired source={}",
                        source.as_str()
                    );
                    self.store_part(part);
                }
            }
        }
    }
}

impl Dispatch {
    /// Returns the error for a request with a part in quarantine.
    pub(crate) fn check_quarantine(&self, now: Timestamp) -> Result<(), ApiError> {
        let refusal = self.app.quarantine.borrow().refusal(&self.request.parts, now);
        let Some(Refusal { part, remaining }) = refusal else { return Ok(()) };
        log::info!(
            "event=part_refused request_id={} part={part:x} remaining_ms={}",
            quote(&self.request.id),
            remaining.as_millis()
        );
        let text = "a part of the prompt has ended the engines that began to answer it";
        Err(ApiError::new(ErrorCode::PromptQuarantined, text).with_retry_after(remaining))
    }

    /// Whether a part of the request is in quarantine.
    pub(crate) fn is_quarantined(&self, now: Timestamp) -> bool {
        self.app.quarantine.borrow().refusal(&self.request.parts, now).is_some()
    }

    /// Waits until a part of the request is quarantined.
    pub(crate) async fn quarantined(&self) {
        loop {
            self.app.part_quarantined.notified().await;
            if self.is_quarantined(self.app.clock.now()) {
                return;
            }
        }
    }

    /// Records that a target wrote output for the request.
    pub(crate) fn record_output(&self, now: Timestamp) {
        self.app.quarantine.borrow_mut().record_output(&self.request.parts, now);
        self.app.handle_quarantine_changes(EvidenceSource::Own);
    }

    /// Checks whether the target of a response that broke off before its first output has ended, and
    /// records this as evidence against the parts of the request; returns whether the request may be
    /// sent again.
    pub(crate) async fn allows_retry_after_break(&self, send: &InFlightSend) -> bool {
        if self.request.parts.len() < 2 {
            return true;
        }
        let checked = self.app.pool.add_connection(send.pick.address).await;
        let now = self.app.clock.now();
        if !matches!(checked, Err(SendFailure::Refused)) {
            return true;
        }
        self.app.fleet.borrow_mut().record_connection_refused(send.pick.key, now);
        let target = short_hash(send.pick.id.as_bytes());
        let mut quarantine = self.app.quarantine.borrow_mut();
        quarantine.record_crash(&self.request.parts, target, now);
        let allowed = quarantine.allows_retry(&self.request.parts, now);
        drop(quarantine);
        log::info!(
            "event=crash_recorded request_id={} target={} parts={} retry={allowed}",
            quote(&self.request.id),
            quote(&send.pick.id),
            self.request.parts.len() - 1
        );
        self.app.handle_quarantine_changes(EvidenceSource::Own);
        allowed
    }
}
