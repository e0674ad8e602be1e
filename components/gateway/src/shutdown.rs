//! Graceful shutdown.

use std::time::Duration;

use ingress::ShutdownStage;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::app::App;
use crate::registry;

/// Time from the first failing readiness check until no connections are accepted: the platform
/// checks once a second and removes a gateway after two failures.
const NOT_READY_PERIOD: Duration = Duration::from_millis(2_500);
/// Time before the forced kill at which the process exits.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Time before that exit at which unanswered requests receive an error response.
const ERROR_RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Time between two checks of what is still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for the start of the shutdown, then drains the process.
pub(crate) async fn drain(app: &App) {
    let mut stage = app.stage.subscribe();
    if stage.wait_for(|stage| *stage >= ShutdownStage::NotReady).await.is_err() {
        return;
    }
    let grace = Duration::from_millis(app.settings().bounds.grace_ms);
    let started = Instant::now();
    let exit_at = started + grace.saturating_sub(KILL_MARGIN);
    let not_ready_end = started + NOT_READY_PERIOD.min(grace / 2);
    log::info!(
        "event=drain_started in_flight={} connections={}",
        app.in_flight.get(),
        app.connections.get()
    );
    // Deregistration must not delay the shutdown.
    let _deregistered = timeout_at(not_ready_end, registry::deregister(app)).await;
    sleep_until(not_ready_end).await;
    app.stage.send_replace(ShutdownStage::Draining);
    let idle = async {
        while app.in_flight.get() > 0 || app.connections.get() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let mut idle = std::pin::pin!(idle);
    if timeout_at(exit_at - ERROR_RESPONSE_MARGIN, &mut idle).await.is_err() {
        log::warn!("event=drain_limit_reached in_flight={}", app.in_flight.get());
        app.stage.send_replace(ShutdownStage::Aborting);
        // Whatever is still in progress then is cut off when the process exits.
        let _done = timeout_at(exit_at, idle).await;
    }
    app.stage.send_replace(ShutdownStage::Stopped);
}
