//! What a response, or its absence, tells of its target.

use api::{ApiError, ErrorCode};
use base::Timestamp;
use http::StatusCode;
use routing::{NamedLimit, TargetKey, TargetOutcome};
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
        self.record_limit(response, send);
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

    fn record_limit(&self, response: &TargetResponse, send: &InFlightSend) {
        let now = self.app.clock.now();
        if response.head.limit == NamedLimit::Unreadable {
            log::info!(
                "event=target_limit_unreadable request_id={} target={}",
                quote(&self.request.id),
                quote(&send.pick.id)
            );
        }
        let mut fleet = self.app.fleet.borrow_mut();
        if fleet.record_limit(send.pick.key, response.head.limit, send.sent_at, now) {
            log::info!(
                "event=target_limit_changed target={} limit_per_s={} source=answer request_id={}",
                quote(&send.pick.id),
                fleet.target(send.pick.key).limit.per_s().unwrap_or(f64::INFINITY),
                quote(&self.request.id)
            );
        }
    }

    /// Error for a request whose targets are all limited, by themselves or because they are cold: `key`
    /// takes a request first.
    pub(crate) fn limited_error(&self, key: TargetKey, now: Timestamp) -> ApiError {
        let mut fleet = self.app.fleet.borrow_mut();
        let target = fleet.target_mut(key);
        let retry_after = target.advise_return(now);
        log::info!(
            "event=target_limit_reached request_id={} target={} limit_per_s={} cold={} retry_after_ms={}",
            quote(&self.request.id),
            quote(&target.id),
            target.limit.per_s().unwrap_or(f64::INFINITY),
            target.cold.is_cold(now),
            retry_after.as_millis()
        );
        let text = "every target of the service is limited or cold";
        ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(retry_after)
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
                self.attempts.record_not_sent();
                send.record_outcome(TargetOutcome::NoResponse);
            }
            ExchangeFailure::Refused => {
                self.attempts.record_not_sent();
                send.record_outcome(TargetOutcome::NoResponse);
                let now = self.app.clock.now();
                self.app.fleet.borrow_mut().record_connection_refused(send.pick.key, now);
            }
            ExchangeFailure::NoResponse(reason) => {
                if reason == NoResponse::Timeout && !self.request.plan.engine {
                    send.record_plain_timeout();
                }
                match reason {
                    NoResponse::Broken | NoResponse::Truncated => self.attempts.record_broken(),
                    NoResponse::Mismatched | NoResponse::TargetSilent | NoResponse::Timeout => {
                        self.attempts.record_may_have_run()
                    }
                }
                send.record_outcome(match reason {
                    NoResponse::Broken | NoResponse::TargetSilent | NoResponse::Timeout => {
                        TargetOutcome::NoResponse
                    }
                    NoResponse::Truncated | NoResponse::Mismatched => TargetOutcome::Failed,
                });
            }
        }
    }
}
