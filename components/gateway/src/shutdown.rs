//! Graceful shutdown.

use std::time::Duration;

use api::{ApiError, ErrorCode};
use ingress::ShutdownStage;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::app::App;
use crate::registry;
use crate::request::RoutePlan;

/// Time from the first failing readiness check until only requests that end soon are taken: the
/// platform checks once a second and removes a gateway after two failures.
const NOT_READY_PERIOD: Duration = Duration::from_millis(2_500);
/// Time before the forced kill at which the process exits.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Time before that exit at which unanswered requests receive an error response.
const ERROR_RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Time before that at which no connections are accepted any more. On a slow link a body and the
/// response to it take most of a second.
const LAST_ACCEPT_MARGIN: Duration = Duration::from_secs(1);
/// Time between two checks of what is still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Latency objectives that must be left for a plain request that arrives during the drain. Most
/// answers take less than one.
const OBJECTIVES_LEFT: u32 = 2;
/// `Retry-After` while this process shuts down; another gateway can be tried at once.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Waits for the start of the shutdown, then drains the process.
pub(crate) async fn drain(app: &App) {
    let mut stage = app.stage.subscribe();
    if stage.wait_for(|stage| *stage >= ShutdownStage::NotReady).await.is_err() {
        return;
    }
    let grace = Duration::from_millis(app.settings().bounds.grace_ms);
    let started = Instant::now();
    let exit_at = started + grace.saturating_sub(KILL_MARGIN);
    let abort_at = exit_at - ERROR_RESPONSE_MARGIN;
    let not_ready_end = started + NOT_READY_PERIOD.min(grace / 2);
    log::info!(
        "event=drain_started in_flight={} connections={}",
        app.in_flight.get(),
        app.connections.get()
    );
    // Deregistration must not delay the shutdown.
    let _deregistered = timeout_at(not_ready_end, registry::deregister(app)).await;
    sleep_until(not_ready_end).await;
    app.abort_at.set(Some(app.clock.now() + abort_at.saturating_duration_since(Instant::now())));
    app.stage.send_replace(ShutdownStage::Draining);
    wait_until_idle(app, abort_at - LAST_ACCEPT_MARGIN).await;
    app.stage.send_replace(ShutdownStage::Closing);
    // Until then the connections that were made before count as in progress.
    sleep(DRAIN_POLL_INTERVAL).await;
    if !wait_until_idle(app, abort_at).await {
        log::warn!("event=drain_limit_reached in_flight={}", app.in_flight.get());
        app.stage.send_replace(ShutdownStage::Aborting);
        // Whatever is still in progress then is cut off when the process exits.
        wait_until_idle(app, exit_at).await;
    }
    app.stage.send_replace(ShutdownStage::Stopped);
}

/// Waits until nothing is in progress; returns whether that was before the limit.
async fn wait_until_idle(app: &App, limit: Instant) -> bool {
    let idle = async {
        while app.in_flight.get() > 0 || app.connections.get() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    timeout_at(limit, idle).await.is_ok()
}

/// Error for a request that was not sent to a target because this process shuts down.
pub(crate) fn draining_error() -> ApiError {
    ApiError::new(ErrorCode::Draining, "this process is shutting down")
        .with_retry_after(RETRY_AFTER)
}

/// Checks whether a request that arrives while this process drains is expected to end before the
/// process does. A stream may last longer than the drain.
///
/// # Errors
///
/// The error to return to the caller; the request has not been executed.
pub(crate) fn check_time_left(plan: &RoutePlan, left: Duration) -> Result<(), ApiError> {
    let ends_in_time = !plan.kind.is_stream() && left >= plan.objectives.response * OBJECTIVES_LEFT;
    if ends_in_time { Ok(()) } else { Err(draining_error()) }
}

/// Waits until unanswered requests are to be aborted.
pub(crate) async fn aborting(app: &App) {
    let mut stage = app.stage.subscribe();
    // The sender exists as long as the process, so this can't fail.
    let _aborting = stage.wait_for(|stage| *stage >= ShutdownStage::Aborting).await;
}
