//! Gets the fencing number of this run.

use std::rc::Rc;
use std::time::Duration;

use store::{KeyedLog, Topic};
use tokio::time::sleep;
use wire::OrderGiver;

use crate::app::App;

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes the record of this start; its offset is larger than that of every run before.
///
/// A record whose answer was lost is written again: the number is the offset of the last one, which
/// is larger still.
pub(crate) async fn write_start_record(app: Rc<App>) {
    let record =
        OrderGiver { process: app.process.clone(), engine: Some(app.settings.engine_address) };
    let Ok(value) = wire::encode(&record) else { return };
    loop {
        match app.store.put(Topic::Agents, &app.settings.name, Some(&value)).await {
            Ok(offset) => {
                let fencing = offset.next().0;
                log::info!("event=fencing_number_taken number={fencing}");
                app.fencing_token.set(Some(fencing));
                app.order_wakeup.notify_one();
                return;
            }
            Err(error) => {
                log::warn!("event=store_call_failed topic=agents error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
