//! Quarantines in the store, where they outlast the loss of all gateways.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use store::{KeyedLog, KeyedReader, KeyedRecord, StoreError, Topic};
use tokio::time::{sleep, timeout};
use wire::{StoredSubject, Subject};

use crate::app::App;
use crate::crash_quarantine::EvidenceSource;

/// Time between two reads, for a gateway that no other one reaches.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads the quarantines, and writes those that this gateway has evidence for, until the task is
/// aborted.
pub(crate) async fn maintain_stored_quarantines(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Quarantines);
    loop {
        match reader.read(&app.store, Duration::ZERO).await {
            Ok(read) => {
                read.page().records.iter().for_each(|record| apply_record(&app, record));
                if !read.page().reaches_end() {
                    continue;
                }
            }
            Err(error) => {
                log::warn!("event=quarantines_unread error=\"{error}\"");
                sleep(app.retry_delay(RETRY_DELAY)).await;
                continue;
            }
        }
        let changed = timeout(READ_INTERVAL, app.stored_quarantines_changed.notified());
        if changed.await.is_ok() {
            write_quarantines(&app).await;
        }
    }
}

/// Writes the quarantines that have changed; what can't be written is tried again.
async fn write_quarantines(app: &App) {
    loop {
        let Some(subject) = app.changed_quarantines.borrow().last().copied() else { return };
        match write_quarantine(app, subject).await {
            Ok(()) => app.changed_quarantines.borrow_mut().retain(|changed| *changed != subject),
            Err(error) => {
                log::warn!("event=quarantine_unwritten subject={subject} error=\"{error}\"");
                sleep(app.retry_delay(RETRY_DELAY)).await;
            }
        }
    }
}

async fn write_quarantine(app: &App, subject: Subject) -> Result<(), StoreError> {
    let report = app.quarantine.borrow().held_report(subject, app.clock.now());
    let stored = report.map(|report| StoredSubject { report, stored_unix_ms: unix_ms() });
    let value = stored.and_then(|stored| wire::encode(&stored).ok());
    app.store.put(Topic::Quarantines, &subject.to_string(), value.as_deref()).await?;
    Ok(())
}

fn apply_record(app: &App, record: &KeyedRecord) {
    let Some(value) = &record.value else { return };
    match wire::decode::<StoredSubject>(value) {
        Ok(stored) => {
            let report = stored.report_at(unix_ms());
            app.apply_crash_reports(&[report], EvidenceSource::Store, app.clock.now());
        }
        Err(error) => log::warn!(
            "event=quarantine_rejected subject={} error=\"{error}\"",
            telemetry::quote(&record.key)
        ),
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
