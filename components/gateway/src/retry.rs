//! Retries of a request within the budget of its service.

use base::Timestamp;
use telemetry::quote;

use crate::dispatch::Dispatch;

impl Dispatch {
    /// Takes one retry from the budget of the request's service; returns false if it is exhausted.
    pub(crate) fn try_take_retry(&self, now: Timestamp) -> bool {
        let service = &self.request.plan.service;
        let gateways = self.app.gateway_count(now).known;
        let decision = self.app.rates.borrow_mut().retries.try_acquire(service, gateways, now);
        // Every service of the configuration in force has a budget.
        let Some(decision) = decision else { return false };
        log::info!(
            "event=retry_checked request_id={} service={} allowed={} left={:.1} own_requests={} own_retries={} peer_requests={} peer_retries={} gateways={gateways} reporting={}",
            quote(&self.request.id),
            quote(service),
            decision.allowed,
            decision.left,
            decision.own.requests,
            decision.own.retries,
            decision.peers.requests,
            decision.peers.retries,
            decision.reporting
        );
        match decision.allowed {
            true => self.app.metrics.record_retry(),
            false => self.app.metrics.record_retry_refused(),
        }
        decision.allowed
    }
}
