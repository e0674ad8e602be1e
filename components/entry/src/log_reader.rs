//! Reading of one log stream by long polls.

use std::rc::Rc;
use std::time::Duration;

use base::{Offset, Timestamp};
use store::{Log, LogPage};
use tokio::time::sleep;

use crate::app::App;

/// Records asked for in one read.
const MAX_RECORDS_PER_READ: u32 = 500;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A replica of a stream in this process.
pub(crate) trait Follower {
    /// Name of the stream.
    const STREAM: &'static str;

    /// Where to read on.
    fn next_offset(&self, app: &App) -> Offset;

    /// Takes records that were requested at `requested_at`; `at_end` if the stream was read to its end.
    fn apply_page(&self, app: &Rc<App>, page: &LogPage, at_end: bool, requested_at: Timestamp);
}

/// Reads a stream until the task is aborted.
pub(crate) async fn follow(app: Rc<App>, follower: impl Follower) {
    let wait = Duration::from_millis(app.settings.platform.log_poll_ms);
    // The first read does not wait, so that an empty stream holds up nothing.
    let mut first = true;
    loop {
        let from = follower.next_offset(&app);
        let requested_at = app.clock.now();
        let read = app.log.read(
            stream_of(&follower),
            from,
            MAX_RECORDS_PER_READ,
            if first { Duration::ZERO } else { wait },
        );
        match read.await {
            Ok(page) => {
                first = false;
                let at_end = page.reaches_end(from);
                follower.apply_page(&app, &page, at_end, requested_at);
            }
            Err(error) => {
                log::debug!(
                    "event=log_read_failed stream={} error=\"{error}\"",
                    stream_of(&follower)
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

const fn stream_of<F: Follower>(_: &F) -> &'static str {
    F::STREAM
}
