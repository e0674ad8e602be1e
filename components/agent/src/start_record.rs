//! Acquires the fencing token of this run.

use std::rc::Rc;
use std::time::Duration;

use store::{KeyedLog, Topic};
use tokio::time::sleep;
use wire::OrderGiver;

use crate::app::App;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes a record of this start; its offset, used as the fencing token, is larger than that of
/// every earlier run. A store that comes back from an older copy may lack the record, so it is
/// written again in each era of the store. It is also written again when the engine has restarted
/// while orders to it are without a response: the engine refuses those that carry the former token.
///
/// If the response to a write is lost, the record is written again. The token is then the offset of
/// the last write, which is larger still.
pub(crate) async fn write_start_record(app: Rc<App>) {
    let record =
        OrderGiver { process: app.process.clone(), engine: Some(app.settings.engine_address) };
    let Ok(value) = wire::encode(&record) else { return };
    loop {
        let engine_started = app.scheduler.borrow().incarnation().1;
        match app.store.put(Topic::Agents, &app.settings.name, Some(&value)).await {
            Ok(offset) => {
                let fencing_number = offset.next().0;
                log::info!("event=fencing_number_taken number={fencing_number}");
                app.fencing_number.set(Some(fencing_number));
                if app.settings.bounds.checks_fence {
                    app.scheduler.borrow_mut().record_fence(engine_started);
                }
                app.order_wakeup.notify_one();
                while app.store_era.get() <= offset.era() && !wants_fence(&app) {
                    tokio::select! {
                        () = app.store_restored.notified() => {}
                        () = app.fence_wanted.notified() => {}
                    }
                }
            }
            Err(error) => {
                log::warn!("event=store_call_failed topic=agents error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Whether a new token would end a wait for late orders.
pub(crate) fn wants_fence(app: &App) -> bool {
    app.settings.bounds.checks_fence && app.scheduler.borrow().needs_fence(app.clock.now())
}
