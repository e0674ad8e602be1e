//! Follows the operators' topic on the store.

use std::rc::Rc;
use std::time::Duration;

use platform::newest_configuration;
use store::{KeyedReader, Topic};
use tokio::time::sleep;

use crate::app::App;

/// Longest wait of a long poll. Each answer renews the evidence that no withdrawal is hidden, which
/// must stay well below the age at which it stops to count.
const POLL_WAIT: Duration = Duration::from_millis(1_200);
/// Pause after a failed call; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Reads configurations until the task is aborted.
pub(crate) async fn watch_configuration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Operators);
    let mut pause = FIRST_PAUSE;
    let mut reachable = true;
    loop {
        let asked_at = app.clock.now();
        match reader.read(&app.store, POLL_WAIT).await {
            Ok(read) => {
                if !reachable {
                    log::info!("event=store_regained topic=operators");
                    reachable = true;
                }
                pause = FIRST_PAUSE;
                if let Some(configuration) = newest_configuration(read.page()) {
                    let version = configuration.operators_version;
                    let offset = configuration.town.version;
                    if app.adopt(configuration.town, app.clock.now()) {
                        log::info!(
                            "event=configuration_in_force offset={} version={version}",
                            offset.0
                        );
                    }
                }
                if read.page().reaches_end() {
                    app.authority.borrow_mut().note_end_read(asked_at);
                }
            }
            Err(error) => {
                if reachable {
                    log::warn!("event=store_lost topic=operators error=\"{error}\"");
                    reachable = false;
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}
