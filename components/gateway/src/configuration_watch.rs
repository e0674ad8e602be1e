//! Follows the operators' topic in the store.
//!
//! Two gateways, the readers, long-poll the topic. The others receive new configurations and
//! freshness evidence from them; a gateway reads the store itself if its evidence becomes stale.

use std::rc::Rc;
use std::time::Duration;

use base::{Offset, Timestamp};
use platform::{has_configuration, newest_configuration};
use store::{KeyedRead, KeyedReader, Topic};
use tokio::time::sleep;

use crate::app::App;
use crate::peer_configuration::fetch_from_peer;

/// Timeout of a long poll. A reader's evidence is as old as its poll is long, up to twice that
/// before the next response, and a few broadcast intervals older at gateways in other data centres.
/// With half a second it stays below `STALE_EVIDENCE_AGE` everywhere, and only the readers call the
/// store.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Age of the evidence from which a gateway that isn't a reader reads the store itself.
const STALE_EVIDENCE_AGE: Duration = Duration::from_millis(2_000);
/// How long another gateway may have a newer version before this one reads the store itself.
const MAX_TIME_BEHIND: Duration = Duration::from_millis(500);
/// Time between two checks of whether a read is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Delay after a read that is no evidence, while the store's content is being completed.
const INCOMPLETE_STORE_DELAY: Duration = Duration::from_millis(250);
/// Delay after the first failed call; doubles up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Watches for new configurations until the task is aborted.
pub(crate) async fn watch_configuration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Operators);
    let mut backoff = INITIAL_BACKOFF;
    let mut reachable = true;
    let mut behind_since: Option<Timestamp> = None;
    // Newest version that the store has.
    let mut stored_version = Offset::default();
    loop {
        let requested_at = app.clock.now();
        let wait = match read_mode(&app, &mut behind_since, requested_at).await {
            ReadMode::Skip => {
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
                backoff = INITIAL_BACKOFF;
                app.store_read_at.set(Some(requested_at));
                app.record_answered_era(app.clock.now());
                app.apply_evacuation_read(&read, app.clock.now());
                if let KeyedRead::Snapshot(page) = &read {
                    // A version that can't be read leaves the one in force, as if it were not there.
                    stored_version = match has_configuration(page) {
                        true => app.version(),
                        false => Offset::default(),
                    };
                }
                if let Some(configuration) = newest_configuration(read.page()) {
                    stored_version = configuration.config.version;
                    app.apply_configuration(configuration, "store", app.clock.now());
                }
                if !read.page().reaches_end() {
                    continue;
                }
                if is_evidence(&app, stored_version, requested_at) {
                    app.authority.borrow_mut().note_end_read(requested_at);
                } else if wait.is_zero() {
                    sleep(INCOMPLETE_STORE_DELAY).await;
                }
            }
            Err(error) => {
                if reachable {
                    log::warn!("event=store_lost topic=operators error=\"{error}\"");
                    reachable = false;
                }
                sleep(app.retry_delay(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Whether a read to the end of the topic, requested at `requested_at`, shows that no newer version
/// than the one in force was stored. A store that came back from an older copy may lack versions that
/// it had acknowledged, until the operators have written them again.
fn is_evidence(app: &App, stored_version: Offset, requested_at: Timestamp) -> bool {
    let newest_known = app.gateways.borrow().newest_config(requested_at).max(app.version());
    app.store_is_settled(requested_at) && stored_version >= newest_known
}

/// Age of the evidence from which the store is read, where an evacuation must take effect within
/// `evacuation_ms`: at most half of that time, so that the other half remains for a failed call.
fn stale_evidence_age(evacuation_ms: u64) -> Duration {
    STALE_EVIDENCE_AGE.min(Duration::from_millis(evacuation_ms / 2))
}

/// How this gateway reads the store.
enum ReadMode {
    /// No read: other gateways provide the configuration.
    Skip,
    /// One read of the current state.
    Once,
    /// Long poll for changes.
    LongPoll,
}

async fn read_mode(app: &App, behind_since: &mut Option<Timestamp>, now: Timestamp) -> ReadMode {
    if app.config().is_none() || app.gateways.borrow().is_reader(now) {
        // Without a configuration, ask other gateways as well: the store may be unreachable.
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
        return ReadMode::Skip;
    }
    *behind_since = None;
    match app.evidence_age(now) {
        Some(age) if age < stale_evidence_age(app.settings().bounds.evacuation_ms) => {
            ReadMode::Skip
        }
        _ => ReadMode::Once,
    }
}
