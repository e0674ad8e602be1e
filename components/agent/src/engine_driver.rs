//! Reads the engine's reports and gives it the orders of the scheduler.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::app::App;
use crate::gateway_link::tell_all;
use crate::order::send_order;

/// Time between two reports while nothing is awaited. A report is free on the engine's own machine.
const CALM_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports while an order is carried out: an adapter takes 5 to 10 ms to load.
const BUSY_INTERVAL: Duration = Duration::from_millis(6);
/// Time between two reports while a model is loaded or unloaded, which takes 400 ms and more.
const CHANGE_INTERVAL: Duration = Duration::from_millis(25);

/// Reports in a row that did not come after which the engine counts as lost. A lost packet delays one.
const LOST_AFTER: u32 = 2;

/// Drives the engine until the task is aborted.
pub(crate) async fn drive_engine(app: Rc<App>) {
    let mut failures = 0;
    loop {
        match app.engine.report().await {
            Ok(report) => {
                failures = 0;
                if !app.engine_answers.replace(true) {
                    log::info!("event=engine_regained");
                    tell_all(&app);
                }
                let now = app.clock.now();
                let changed = {
                    let mut scheduler = app.scheduler.borrow_mut();
                    let before = scheduler.report();
                    let changed = before.models != report.models
                        || before.started_unix_ms != report.started_unix_ms
                        || before.warm != report.warm;
                    let changing = scheduler.change(now).is_some();
                    scheduler.apply_report(report, now);
                    let leaving = scheduler.select_unload(now);
                    changed || leaving || changing != scheduler.change(now).is_some()
                };
                if changed {
                    tell_all(&app);
                }
                if let Some(fencing) = app.fencing.get()
                    && send_order(
                        &app.scheduler,
                        &app.engine,
                        &app.settings.name,
                        fencing,
                        &app.clock,
                    )
                    .await
                {
                    // The next report shows what the order did.
                    app.work.notify_one();
                }
            }
            Err(error) => {
                failures += 1;
                if failures >= LOST_AFTER && app.engine_answers.replace(false) {
                    log::warn!("event=engine_lost failures={failures} error=\"{error}\"");
                    tell_all(&app);
                }
            }
        }
        let interval = interval(&app);
        // Either there is work or the next report is due.
        let _woken = timeout(interval, app.work.notified()).await;
    }
}

fn interval(app: &App) -> Duration {
    if !app.engine_answers.get() {
        return CHANGE_INTERVAL;
    }
    let scheduler = app.scheduler.borrow();
    if !scheduler.report().loading_adapters.is_empty()
        || scheduler.next_order(app.clock.now()).is_some()
    {
        BUSY_INTERVAL
    } else if scheduler.awaits_report() {
        CHANGE_INTERVAL
    } else {
        CALM_INTERVAL
    }
}
