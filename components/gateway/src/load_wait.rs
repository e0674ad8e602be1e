//! Waits of a request for a model or an adapter.

use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::Timestamp;
use ingress::ShutdownStage;
use routing::{DirectPick, LoadWait, TargetRange, wait_for_model, waits_for_adapter};
use telemetry::quote;
use tokio::time::timeout;

use crate::dispatch::{Dispatch, generation_requirements};
use crate::fleet_link::query_agent;
use crate::shutdown::draining_error;

/// Longest wait for a model or adapter while this process shuts down.
const MAX_DRAINING_WAIT: Duration = Duration::from_millis(700);
/// Longest wait for an engine state change before the targets are checked again, while a model or
/// adapter is loaded.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Dispatch {
    /// Waits for the adapter at a target; stops using the target if it isn't loaded in time.
    pub(crate) async fn wait_for_adapter(
        &mut self,
        pick: &DirectPick,
        wait_started: Timestamp,
    ) -> Result<(), ApiError> {
        let now = self.app.clock.now();
        let requested_at = match self.adapter_requested {
            Some((key, requested_at)) if key == pick.key => requested_at,
            _ => now,
        };
        self.adapter_requested = Some((pick.key, requested_at));
        if !waits_for_adapter(now.since(requested_at)) {
            log::info!(
                "event=adapter_missing request_id={} target={} waited_ms={}",
                quote(&self.request.id),
                quote(&pick.id),
                now.since(requested_at).as_millis()
            );
            self.without_adapter.push(pick.key);
            self.adapter_requested = None;
            return Ok(());
        }
        if let Some(name) = generation_requirements(&self.request, &[]).adapter_name() {
            let mut fleet = self.app.fleet.borrow_mut();
            if fleet.target_mut(pick.key).record_adapter_request(name, now) {
                query_agent(&self.app, &self.link, fleet.target(pick.key), true, now);
            }
        }
        self.reject_if_draining(now.since(wait_started))?;
        self.wait_for_engine_change().await;
        Ok(())
    }

    /// Waits for a copy of the model; rejects the request at once if no copy will be ready in time.
    pub(crate) async fn wait_for_copy(
        &self,
        loading_ms: Option<u32>,
        wait_started: Timestamp,
    ) -> Result<(), ApiError> {
        let now = self.app.clock.now();
        let loading = loading_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        let allowed = self.time_for_first_event(wait_started);
        let range = match self.bound {
            Some(_) => TargetRange::OneVersion,
            None => TargetRange::Any,
        };
        match wait_for_model(range, loading, now.since(wait_started), allowed) {
            LoadWait::Wait => {
                self.reject_if_draining(now.since(wait_started))?;
                self.wait_for_engine_change().await;
                Ok(())
            }
            LoadWait::Refuse { retry_after } => {
                let text = "no target has the model or adapter";
                Err(ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(retry_after))
            }
        }
    }

    /// Rejects a waiting request while this process shuts down.
    fn reject_if_draining(&self, waited: Duration) -> Result<(), ApiError> {
        if *self.app.stage.borrow() == ShutdownStage::Serving || waited < MAX_DRAINING_WAIT {
            return Ok(());
        }
        Err(draining_error())
    }

    /// Waits until the state of an engine changes or the poll interval has passed.
    pub(crate) async fn wait_for_engine_change(&self) {
        let _changed = timeout(LOAD_POLL_INTERVAL, self.app.engines_changed.notified()).await;
    }
}
