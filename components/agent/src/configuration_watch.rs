//! Follows the operators' topic for the sizes of models.

use std::rc::Rc;
use std::time::Duration;

use platform::newest_configuration;
use store::{KeyedReader, Topic};
use tokio::time::sleep;

use crate::app::App;

/// Longest wait of a long poll. Sizes change rarely, and a call costs.
const POLL_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed call. Sizes that are seconds late cost nothing, and in an outage all agents call.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// Reads configurations until the task is aborted.
pub(crate) async fn watch_configuration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Operators);
    loop {
        match reader.read(&app.store, POLL_WAIT).await {
            Ok(read) => {
                if let Some(configuration) = newest_configuration(read.page()) {
                    let town = configuration.town;
                    log::info!("event=configuration_in_force config={}", town.version.0);
                    app.desk.borrow_mut().adopt(&town, &app.settings.service);
                    app.work.notify_one();
                }
            }
            Err(error) => {
                log::warn!("event=store_call_failed topic=operators error=\"{error}\"");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
