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
/// written again in each era of the store.
///
/// If the response to a write is lost, the record is written again. The token is then the offset of
/// the last write, which is larger still.
pub(crate) async fn write_start_record(app: Rc<App>) {
    let record =
        OrderGiver { process: app.process.clone(), engine: Some(app.settings.engine_address) };
    let Ok(value) = wire::encode(&record) else { return };
    loop {
        match app.store.put(Topic::Agents, &app.settings.name, Some(&value)).await {
            Ok(offset) => {
                let fencing_number = offset.next().0;
                log::info!("event=fencing_number_taken number={fencing_number}");
                app.fencing_number.set(Some(fencing_number));
                app.order_wakeup.notify_one();
                while app.store_era.get() <= offset.era() {
                    app.store_restored.notified().await;
                }
            }
            Err(error) => {
                log::warn!("event=store_call_failed topic=agents error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
