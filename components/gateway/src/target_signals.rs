//! What a response, or its absence, tells of its target.

use http::StatusCode;
use routing::TargetOutcome;
use telemetry::quote;

use crate::dispatch::Dispatch;
use crate::exchange::{ExchangeFailure, NoResponse, TargetResponse};
use crate::in_flight_send::InFlightSend;

impl Dispatch {
    /// Records whether the target announces in its response that it is leaving or overloaded.
    pub(crate) fn record_target_signals(&self, response: &TargetResponse, send: &InFlightSend) {
        if response.head.leaving {
            self.app.fleet.borrow_mut().record_leaving(send.pick.key);
            log::info!(
                "event=target_leaving request_id={} target={}",
                quote(&self.request.id),
                quote(&send.pick.id)
            );
        }
        if let Some(wait) = response.head.retry_after
            && response.status == StatusCode::SERVICE_UNAVAILABLE
        {
            let now = self.app.clock.now();
            self.app.fleet.borrow_mut().record_backoff(send.pick.key, wait, now);
            log::info!(
                "event=target_backs_off request_id={} target={} wait_ms={}",
                quote(&self.request.id),
                quote(&send.pick.id),
                wait.as_millis()
            );
        }
    }

    /// Handles an attempt that got no usable response.
    pub(crate) fn handle_failure(&mut self, failure: ExchangeFailure, send: &InFlightSend) {
        let reason = match failure {
            ExchangeFailure::NotSent => "not_sent",
            ExchangeFailure::Refused => "connection_refused",
            ExchangeFailure::NoResponse(reason) => reason.as_str(),
        };
        log::info!(
            "event=answer_missing request_id={} target={} reason={reason} waited_ms={}",
            quote(&self.request.id),
            quote(&send.pick.id),
            self.app.clock.now().since(send.sent_at).as_millis()
        );
        self.excluded.push(send.pick.key);
        match failure {
            ExchangeFailure::NotSent => {
                self.attempts.record_not_run();
                send.record_outcome(TargetOutcome::NoResponse);
            }
            ExchangeFailure::Refused => {
                self.attempts.record_not_run();
                send.record_outcome(TargetOutcome::NoResponse);
                let now = self.app.clock.now();
                self.app.fleet.borrow_mut().record_connection_refused(send.pick.key, now);
            }
            ExchangeFailure::NoResponse(reason) => {
                match reason {
                    NoResponse::Broken | NoResponse::Truncated => self.attempts.record_broken(),
                    NoResponse::Mismatched | NoResponse::Timeout => {
                        self.attempts.record_may_have_run()
                    }
                }
                send.record_outcome(match reason {
                    NoResponse::Broken | NoResponse::Timeout => TargetOutcome::NoResponse,
                    NoResponse::Truncated | NoResponse::Mismatched => TargetOutcome::Failed,
                });
            }
        }
    }
}
