//! Appends the start record, whose offset is the fencing number.

use std::time::Duration;

use base::{Offset, ProcessId, Role};
use compact_str::format_compact;
use store::{HttpLog, Log};
use tokio::time::{Instant, sleep};
use wire::{FLEET_STREAM, PeerIdentity, StartRecord, encode};

/// Time limit of one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed append.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Appends start record number `number` of this incarnation, with retries until it succeeds.
///
/// Each attempt has the same id, so that reading the log shows whether an unacknowledged append
/// succeeded.
pub(crate) async fn append_start(log: HttpLog, identity: PeerIdentity, number: u32) -> Offset {
    let ProcessId { name, incarnation } = &identity.process;
    let record = StartRecord { process: identity.process.clone(), role: Role::Side };
    let id = format_compact!("{name}#{incarnation}/start/{number}");
    loop {
        let Ok(payload) = encode(&record) else {
            unreachable!("a start record is far below the frame limit");
        };
        let deadline = Instant::now() + APPEND_TIMEOUT;
        match log.append_confirmed(FLEET_STREAM, &id, &payload, Offset(1), deadline).await {
            Ok(offset) => return offset,
            Err(error) => log::warn!("event=start_record_failed error=\"{error}\""),
        }
        sleep(APPEND_RETRY_PAUSE).await;
    }
}
