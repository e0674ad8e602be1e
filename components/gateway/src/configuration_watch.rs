//! Follows the operators' topic on the store.
//!
//! Two gateways wait for changes there. The others get new configurations from them and count on their
//! evidence that nothing is hidden; a gateway whose evidence grows old reads itself.

use std::rc::Rc;
use std::time::Duration;

use base::Timestamp;
use platform::newest_configuration;
use store::{KeyedReader, Topic};
use tokio::time::sleep;

use crate::app::App;
use crate::peer_configuration::fetch_from_peer;

/// Longest wait of a long poll. The evidence of a reader is as old as its poll is long, up to twice that
/// before the next answer, and a few rounds of datagrams older at the gateways of other data centres; with
/// half a second all of them stay within `STALE_EVIDENCE_AGE` and read nothing themselves.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Age of the evidence from which a gateway that is no reader reads itself.
const STALE_EVIDENCE_AGE: Duration = Duration::from_millis(2_000);
/// Time for which another gateway may be ahead before this one reads itself.
const MAX_TIME_BEHIND: Duration = Duration::from_millis(500);
/// Time between two looks at whether a read is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after a failed call; doubles up to the longest.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Reads configurations until the task is aborted.
pub(crate) async fn watch_configuration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Operators);
    let mut pause = INITIAL_BACKOFF;
    let mut reachable = true;
    let mut behind_since: Option<Timestamp> = None;
    loop {
        let asked_at = app.clock.now();
        let wait = match read_mode(&app, &mut behind_since, asked_at).await {
            ReadMode::None => {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            ReadMode::Once => Duration::ZERO,
            ReadMode::LongPoll => POLL_WAIT,
        };
        match reader.read(&app.store, wait).await {
            Ok(read) => {
                if !reachable {
                    log::info!("event=store_regained topic=operators");
                    reachable = true;
                }
                pause = INITIAL_BACKOFF;
                app.store_read_at.set(Some(asked_at));
                if let Some(configuration) = newest_configuration(read.page()) {
                    app.apply_configuration(configuration, "store", app.clock.now());
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
                sleep(app.retry_delay(pause)).await;
                pause = (pause * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// What this gateway must ask of the store.
enum ReadMode {
    /// Nothing: others tell it.
    None,
    /// What is there now.
    Once,
    /// Every change, as it comes.
    LongPoll,
}

async fn read_mode(app: &App, behind_since: &mut Option<Timestamp>, now: Timestamp) -> ReadMode {
    if app.config().is_none() || app.gateways.borrow().is_reader(now) {
        // Without a configuration a gateway asks its peers as well: the store may be away.
        if app.config().is_none() {
            fetch_from_peer(app, now).await;
        }
        return ReadMode::LongPoll;
    }
    let is_behind = !app.gateways.borrow().peers_with_newer_config(app.version(), now).is_empty();
    if is_behind {
        let since = *behind_since.get_or_insert(now);
        fetch_from_peer(app, now).await;
        if now.since(since) >= MAX_TIME_BEHIND {
            return ReadMode::Once;
        }
        return ReadMode::None;
    }
    *behind_since = None;
    match app.evidence_age(now) {
        Some(age) if age < STALE_EVIDENCE_AGE => ReadMode::None,
        _ => ReadMode::Once,
    }
}
