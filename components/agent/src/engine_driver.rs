//! Reads the engine's reports and sends it the orders that are due.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::app::App;
use crate::gateway_link::send_state_to_all;
use crate::order::send_order;
use crate::start_record::wants_fence;

/// Time between two reports while no change is pending. Reports are free on the engine's own
/// machine.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports while an order is executed: an adapter takes 5 to 10 ms to load.
const ORDER_REPORT_INTERVAL: Duration = Duration::from_millis(6);
/// Time between two reports while a model is loaded or unloaded, which takes 400 ms or more.
const MODEL_CHANGE_REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// Consecutive missed reports after which the engine counts as lost. A lost packet delays one.
const MAX_MISSED_REPORTS: u32 = 2;

/// Reads reports and sends orders until the task is aborted.
pub(crate) async fn drive_engine(app: Rc<App>) {
    let mut failures = 0;
    loop {
        match app.engine.report().await {
            Ok(report) => {
                failures = 0;
                if !app.engine_reachable.replace(true) {
                    log::info!("event=engine_regained");
                    send_state_to_all(&app);
                }
                let now = app.clock.now();
                let changed = {
                    let mut scheduler = app.scheduler.borrow_mut();
                    let before = scheduler.report();
                    let changed = before.models != report.models
                        || before.started_unix_ms != report.started_unix_ms
                        || before.warm != report.warm;
                    let was_changing = scheduler.change(now).is_some();
                    scheduler.apply_report(report, now);
                    let unload_selected = scheduler.select_unload(now);
                    changed || unload_selected || was_changing != scheduler.change(now).is_some()
                };
                if changed {
                    send_state_to_all(&app);
                }
                if wants_fence(&app) {
                    app.fence_wanted.notify_one();
                }
                if let Some(fencing_number) = app.fencing_number.get()
                    && send_order(
                        &app.scheduler,
                        &app.engine,
                        &app.settings.name,
                        fencing_number,
                        &app.clock,
                    )
                    .await
                {
                    // The next report shows the effect of the order.
                    app.order_wakeup.notify_one();
                }
            }
            Err(error) => {
                failures += 1;
                if failures >= MAX_MISSED_REPORTS && app.engine_reachable.replace(false) {
                    log::warn!("event=engine_lost failures={failures} error=\"{error}\"");
                    send_state_to_all(&app);
                }
            }
        }
        let interval = interval(&app);
        // Wakes up for an order or the next report.
        let _woken = timeout(interval, app.order_wakeup.notified()).await;
    }
}

fn interval(app: &App) -> Duration {
    if !app.engine_reachable.get() {
        return MODEL_CHANGE_REPORT_INTERVAL;
    }
    let scheduler = app.scheduler.borrow();
    if !scheduler.report().loading_adapters.is_empty()
        || scheduler.next_order(app.clock.now()).is_some()
    {
        ORDER_REPORT_INTERVAL
    } else if scheduler.awaits_report() {
        MODEL_CHANGE_REPORT_INTERVAL
    } else {
        IDLE_REPORT_INTERVAL
    }
}
