//! Graceful stop.

use std::time::Duration;

use api::ErrorCode;
use ingress::ShutdownStage;
use tokio::time::{Instant, sleep, timeout_at};

use crate::app::App;

/// Time between looks at what is still in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time to hand over slots; an outage of the log must not hold up the stop.
const RELEASE_LIMIT: Duration = Duration::from_secs(3);
/// Time for the last answers to reach their callers.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Waits for the start of the stop, then brings the process to its end.
pub(crate) async fn drain(app: &App) {
    let mut stage = app.stage.subscribe();
    if stage.wait_for(|stage| *stage >= ShutdownStage::NotReady).await.is_err() {
        return;
    }
    let limit = Instant::now() + Duration::from_millis(app.settings.process.drain_limit_ms);
    log::info!("event=drain_started in_flight={}", app.in_flight.len());
    sleep(Duration::from_millis(app.settings.drain_notice_ms)).await;
    app.stage.send_replace(ShutdownStage::Draining);
    app.membership.borrow_mut().announce(app.clock.now());
    app.announced.notify_one();
    let release_limit = limit.min(Instant::now() + RELEASE_LIMIT);
    let released = timeout_at(release_limit, async {
        while app.owns_slots() {
            sleep(POLL_INTERVAL).await;
        }
    });
    if released.await.is_err() {
        log::warn!("event=slots_not_released");
    }
    let idle = async {
        while app.in_flight.len() > 0 || app.connections.get() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    };
    if timeout_at(limit, idle).await.is_err() {
        log::warn!("event=drain_limit_reached in_flight={}", app.in_flight.len());
        app.stage.send_replace(ShutdownStage::Aborting);
        app.in_flight.cancel_all(ErrorCode::Draining);
        sleep(FLUSH_LIMIT).await;
    }
    app.stage.send_replace(ShutdownStage::Stopped);
}

impl App {
    /// Whether the log still names this process as the owner of a slot.
    fn owns_slots(&self) -> bool {
        self.slots.borrow().ledger.owned_by(&self.process_id).next().is_some()
    }
}
