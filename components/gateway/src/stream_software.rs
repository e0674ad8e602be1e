//! Keeps each stream at the version of the software that began it, across gateways and attempts.

use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{Timestamp, hash_bytes, short_hash};
use compact_str::CompactString;
use streams::{Lookup, Ruling};
use telemetry::quote;
use tokio::time::timeout;
use wire::{DatagramBody, StreamAsk, StreamOrigin};

use crate::app::App;
use crate::bound_stream::BoundStreamGuard;
use crate::dispatch::{Dispatch, NO_TARGET_RETRY_AFTER};
use crate::in_flight_send::InFlightSend;
use crate::list_wait::LIST_CHECK_INTERVAL;
use crate::stream_keepers::LiveStreamGuard;

/// Time between two asks of an agent that has not answered.
const ASK_INTERVAL: Duration = Duration::from_millis(60);
/// Longest wait for the answers of agents.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// A search that ends when it is dropped.
struct SearchGuard<'a> {
    app: &'a App,
    id: u64,
}

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        self.app.stream_lookups.borrow_mut().end(self.id);
    }
}

impl Dispatch {
    /// Hash of the attempt that brought the first event of the stream.
    fn first_attempt(&self) -> u64 {
        let request = &self.request;
        let earlier = request.head.resumes.as_ref().filter(|_| request.is_taken_up());
        hash_bytes(earlier.unwrap_or(&request.id).as_bytes())
    }

    /// Version of the software that the stream is bound to.
    pub(crate) fn software(&self) -> Option<&CompactString> {
        self.bound.as_ref().map(BoundStreamGuard::software)
    }

    fn bind(&mut self, software: &str) {
        let model = self.request.head.model.as_deref().unwrap_or_default();
        self.bound = Some(BoundStreamGuard::new(&self.app, model, software));
    }

    /// Records at the first event of a response which version the stream is bound to, here and at agents,
    /// which outlive the gateways. The agents are told again while the returned entry lasts.
    pub(crate) fn record_software(&mut self, send: &InFlightSend) -> Option<LiveStreamGuard> {
        if !self.request.plan.kind.may_run_again() {
            return None;
        }
        if self.bound.is_none() {
            self.bind(&send.software);
        }
        let software = self.software().unwrap_or(&send.software).clone();
        let service = short_hash(self.request.plan.service.as_bytes());
        let origin = StreamOrigin { attempt: self.first_attempt(), service, software };
        let now = self.app.clock.now();
        Some(self.app.begin_stream(&self.link.socket, origin, now))
    }

    /// Whether a target that has not failed the request runs the version of the stream.
    pub(crate) fn may_find_software(&self) -> bool {
        let fleet = self.app.fleet.borrow();
        self.software().is_none_or(|software| {
            fleet.has_software(&self.request.plan.service, software, &self.excluded)
        })
    }

    /// Finds the version at which a stream of an earlier attempt must go on.
    ///
    /// # Errors
    ///
    /// `no_capacity` if it can't be known; the request has not run.
    pub(crate) async fn find_software(&mut self) -> Result<(), ApiError> {
        if !self.request.is_taken_up() || self.bound.is_some() {
            return Ok(());
        }
        let started = self.app.clock.now();
        let (ruling, source) = match self.ruling_here(started) {
            Some(ruling) => (ruling, "own"),
            None => (self.search_software().await, "agents"),
        };
        let (outcome, source, software) = match ruling {
            Ruling::Known(software) => ("known", source, Some(software)),
            Ruling::OnlyVersion(software) => ("only_version", "list", Some(software)),
            Ruling::Unknown => ("unknown", source, None),
        };
        let ruled_at = self.app.clock.now();
        let view = self.app.version_view.get();
        log::info!(
            "event=stream_software request_id={} resumes={} outcome={outcome} source={source} software={} waited_ms={} view_age_ms={} history={}",
            quote(&self.request.id),
            quote(self.request.head.resumes.as_deref().unwrap_or("-")),
            quote(software.as_deref().unwrap_or("-")),
            ruled_at.since(started).as_millis(),
            view.list_age(ruled_at)
                .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
            view.has_history(ruled_at)
        );
        let Some(software) = software else {
            let text = "the software version that began the stream is not known";
            return Err(
                ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(NO_TARGET_RETRY_AFTER)
            );
        };
        self.bind(&software);
        Ok(())
    }

    /// Logs what the targets of the stream's version can do for it, if no target takes it.
    pub(crate) fn log_unserved_version(&self) {
        let Some(software) = self.software() else { return };
        let model = self.request.head.model.as_deref().unwrap_or_default();
        let targets = self.app.fleet.borrow().version_targets(
            &self.request.plan.service,
            software,
            model,
            self.app.clock.now(),
        );
        log::info!(
            "event=version_unserved request_id={} software={} model={} accepting={} usable={} with_model={} loading={} leaving_with_model={} excluded={}",
            quote(&self.request.id),
            quote(software),
            quote(model),
            targets.accepting,
            targets.usable,
            targets.with_model,
            targets.loading,
            targets.leaving_with_model,
            self.excluded.len()
        );
    }

    /// Ruling of this gateway alone, if it was there when the stream began.
    fn ruling_here(&self, now: Timestamp) -> Option<Ruling> {
        let service = short_hash(self.request.plan.service.as_bytes());
        let streams = self.app.streams.borrow();
        let software = streams.software_of(self.first_attempt(), service, now)?;
        Some(Ruling::Known(software.clone()))
    }

    /// Asks agents for the version, and meanwhile waits for a view of the target list that is as new as the
    /// request: the stream began before it, at a target that was listed then.
    async fn search_software(&self) -> Ruling {
        let app = &self.app;
        let attempt = self.first_attempt();
        let service = &self.request.plan.service;
        let started = app.clock.now();
        let asked = app.keepers_to_ask(attempt, started);
        let id = app.stream_lookups.borrow_mut().begin(attempt, Lookup::new(asked, []));
        let _guard = SearchGuard { app, id };
        let ask = StreamAsk { attempt, service: short_hash(service.as_bytes()) };
        let mut ask_at = started;
        loop {
            let answered = app.stream_answered.notified();
            let now = app.clock.now();
            let waited = now.since(started);
            let in_service = app.fleet.borrow().software_versions(service, now);
            let open = {
                let mut lookups = app.stream_lookups.borrow_mut();
                lookups.add_in_service(id, &in_service);
                let Some(lookup) = lookups.get(id) else { return Ruling::Unknown };
                let has_view = app.version_view.get().is_complete_as_of(started, now);
                let has_answers = lookup.is_complete() || waited >= LOOKUP_TIMEOUT;
                if has_answers
                    && (has_view || !lookup.awaits_view() || !app.may_get_list(waited, now))
                {
                    return lookup.ruling(has_view);
                }
                lookup.open().to_vec()
            };
            app.request_list(started, waited);
            if now >= ask_at && waited < LOOKUP_TIMEOUT {
                ask_at = now + ASK_INTERVAL;
                for agent in open {
                    let body = DatagramBody::StreamAsk(ask);
                    app.send_to_agent(&self.link.socket, agent.ip(), body, now);
                }
            }
            let _answered = timeout(LIST_CHECK_INTERVAL, answered).await;
        }
    }
}
