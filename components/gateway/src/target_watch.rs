//! Follows the list of targets on the store.

use std::rc::Rc;
use std::time::Duration;

use base::Timestamp;
use membership::{DirectoryChange, TargetEntry, TargetState};
use platform::decode_target;
use store::{KeyedPage, KeyedRead, KeyedReader, KeyedRecord, Topic};
use telemetry::quote;
use tokio::time::sleep;

use crate::app::App;

/// Time between two reads. Each is paid for; a leaving target must be noticed within the 2,000 ms
/// that it still serves, of which a failed call takes half.
const READ_INTERVAL: Duration = Duration::from_millis(550);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Reads the list until the task is aborted.
pub(crate) async fn watch_targets(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Targets);
    let mut reachable = true;
    loop {
        let read = reader.read(&app.store, Duration::ZERO).await;
        let now = app.clock.now();
        match read {
            Ok(read) => {
                if !reachable {
                    log::info!("event=store_regained topic=targets");
                    reachable = true;
                }
                app.directory.borrow_mut().note_contact(now);
                match read {
                    KeyedRead::Whole(page) => take_list(&app, &page, now),
                    KeyedRead::More(page) => take_records(&app, &page.records, now),
                }
                app.targets_read.set(true);
                expire(&app, now);
                sleep(READ_INTERVAL).await;
            }
            Err(error) => {
                if reachable {
                    log::warn!("event=store_lost topic=targets error=\"{error}\"");
                    reachable = false;
                }
                app.directory.borrow_mut().note_failure(now);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Entry in a record, if it names a target to use.
fn entry_of(record: &KeyedRecord) -> Option<TargetEntry> {
    let value = record.value.as_ref()?;
    match decode_target(&record.key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(
                "event=target_entry_rejected target={} offset={} error={}",
                quote(&record.key),
                record.offset.0,
                quote(&error.to_string())
            );
            None
        }
    }
}

fn take_list(app: &App, page: &KeyedPage, now: Timestamp) {
    let entries: Vec<TargetEntry> = page.records.iter().filter_map(entry_of).collect();
    log::info!("event=target_list_read targets={} offset={}", entries.len(), page.end.0);
    for entry in &entries {
        log::info!(
            "event=target_listed target={} models={}",
            quote(&entry.id),
            quote(&model_names(entry))
        );
        app.fleet.borrow_mut().take_entry(entry, now);
    }
    for (id, change) in app.directory.borrow_mut().replace(entries, now) {
        note_change(app, &id, change);
    }
}

fn take_records(app: &App, records: &[KeyedRecord], now: Timestamp) {
    for (at, record) in records.iter().enumerate() {
        // Of several records of a target only the last one counts.
        if records[at + 1..].iter().any(|later| later.key == record.key) {
            continue;
        }
        match entry_of(record) {
            Some(entry) => take_entry(app, entry, now),
            None => {
                let change = app.directory.borrow_mut().remove(&record.key, now);
                note_change(app, &record.key, change);
            }
        }
    }
}

fn take_entry(app: &App, entry: TargetEntry, now: Timestamp) {
    let known = app.directory.borrow().get(&entry.id).map(|known| (known.state, known.born_ms));
    let news = known != Some((entry.state, entry.born_ms));
    if news {
        log::info!(
            "event=target_announced target={} address={} state={} models={}",
            quote(&entry.id),
            entry.address,
            match entry.state {
                TargetState::Ready => "ready",
                TargetState::Leaving { .. } => "leaving",
            },
            quote(&model_names(&entry))
        );
    }
    app.fleet.borrow_mut().take_entry(&entry, now);
    app.directory.borrow_mut().insert(entry);
}

fn model_names(entry: &TargetEntry) -> String {
    let names: Vec<&str> = entry.models.iter().map(|loaded| loaded.model.as_str()).collect();
    names.join(",")
}

fn note_change(app: &App, id: &str, change: DirectoryChange) {
    match change {
        DirectoryChange::Present => {}
        DirectoryChange::Lapsed => {
            log::info!("event=target_lapsed target={} reason=store_was_away", quote(id));
        }
        DirectoryChange::Gone => {
            log::info!("event=target_gone target={}", quote(id));
            if let Some(address) = app.fleet.borrow_mut().retire(id) {
                app.pool.forget(address);
            }
        }
    }
}

fn expire(app: &App, now: Timestamp) {
    for id in app.directory.borrow_mut().expire(now) {
        note_change(app, &id, DirectoryChange::Gone);
    }
}
