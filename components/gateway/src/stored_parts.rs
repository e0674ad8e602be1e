//! Quarantined parts in the store, where they outlast the loss of all gateways.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use store::{KeyedLog, KeyedReader, KeyedRecord, StoreError, Topic};
use tokio::time::{sleep, timeout};
use wire::StoredPart;

use crate::app::App;
use crate::quarantined_parts::EvidenceSource;

/// Time between two reads, for a gateway that no other one reaches.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads the quarantined parts, and writes those that this gateway has evidence for, until the task is
/// aborted.
pub(crate) async fn maintain_stored_parts(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::QuarantinedParts);
    loop {
        match reader.read(&app.store, Duration::ZERO).await {
            Ok(read) => {
                read.page().records.iter().for_each(|record| apply_record(&app, record));
                if !read.page().reaches_end() {
                    continue;
                }
            }
            Err(error) => {
                log::warn!("event=quarantined_parts_unread error=\"{error}\"");
                sleep(app.retry_delay(RETRY_DELAY)).await;
                continue;
            }
        }
        let changed = timeout(READ_INTERVAL, app.stored_parts_changed.notified());
        if changed.await.is_ok() {
            write_parts(&app).await;
        }
    }
}

/// Writes the parts whose quarantine has changed; what can't be written is tried again.
async fn write_parts(app: &App) {
    loop {
        let Some(part) = app.changed_parts.borrow().last().copied() else { return };
        match write_part(app, part).await {
            Ok(()) => app.changed_parts.borrow_mut().retain(|changed| *changed != part),
            Err(error) => {
                log::warn!("event=quarantined_part_unwritten part={part:x} error=\"{error}\"");
                sleep(app.retry_delay(RETRY_DELAY)).await;
            }
        }
    }
}

async fn write_part(app: &App, part: u64) -> Result<(), StoreError> {
    let report = app.quarantine.borrow().held_report(part, app.clock.now());
    let stored = report.map(|report| StoredPart { report, stored_unix_ms: unix_ms() });
    let value = stored.and_then(|stored| wire::encode(&stored).ok());
    app.store.put(Topic::QuarantinedParts, &format!("{part:x}"), value.as_deref()).await?;
    Ok(())
}

fn apply_record(app: &App, record: &KeyedRecord) {
    let Some(value) = &record.value else { return };
    match wire::decode::<StoredPart>(value) {
        Ok(stored) => {
            let report = stored.report_at(unix_ms());
            app.apply_part_reports(&[report], EvidenceSource::Store, app.clock.now());
        }
        Err(error) => log::warn!(
            "event=quarantined_part_rejected part={} error=\"{error}\"",
            telemetry::quote(&record.key)
        ),
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
