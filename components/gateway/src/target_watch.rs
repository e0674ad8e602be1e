//! Follows the target list in the store.
//!
//! The first gateway by name reads it and reports changes to the others. Another gateway reads it
//! itself if the newest read of any gateway is old, in the order of names, or if it has missed an
//! update.

use std::rc::Rc;
use std::time::Duration;

use base::{Offset, Timestamp};
use compact_str::CompactString;
use membership::TargetDirectory;
use platform::decode_target_entry;
use store::{KeyedPage, KeyedRead, KeyedReader, KeyedRecord, Topic};
use telemetry::quote;
use tokio::time::sleep;
use wire::{TargetEntry, TargetNews, TargetState};

use crate::app::App;
use crate::fleet_link::FleetLink;

/// Age of the newest read of any gateway from which the second gateway by name reads the list
/// itself: a read interval, a call and the delay of a datagram.
const STANDBY_AFTER: Duration = Duration::from_millis(700);
/// Additional delay for each further gateway, so that not all of them read at once.
const STANDBY_STEP: Duration = Duration::from_millis(150);
/// Age of the newest read from which every gateway reads the list itself.
const STALE_AFTER: Duration = Duration::from_millis(1_000);
/// How long the digest of the list may differ from a reader's before this gateway reads the list
/// itself: longer than updates are repeated.
const MISMATCH_LIMIT: Duration = Duration::from_millis(800);
/// Time between two checks of whether a read is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reads the list until the task is aborted.
pub(crate) async fn watch_targets(app: Rc<App>, link: Rc<FleetLink>) {
    let mut reader = KeyedReader::new(Topic::Targets);
    let mut reachable = true;
    let mut mismatch_since: Option<Timestamp> = None;
    // Time until missing targets are judged, at the last read.
    let mut judgement_due: Option<Duration> = None;
    loop {
        if !is_read_due(&app, &mut mismatch_since) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let requested_at = app.clock.now();
        let read = reader.read(&app.store, Duration::ZERO).await;
        let now = app.clock.now();
        match read {
            Ok(read) => {
                if !reachable {
                    log::info!("event=store_regained topic=targets");
                    reachable = true;
                }
                app.directory.borrow_mut().note_contact(now);
                app.record_answered_era(now);
                for update in apply_read(&app, &read, now) {
                    app.apply_target_update(&update, now);
                    link.record_target_update(update);
                }
                app.record_missing_targets();
                app.store_read_at.set(Some(requested_at));
                if !read.page().reaches_end() {
                    // Such a read does not show that the list is known: the rest is read at once.
                    continue;
                }
                app.record_list_read(requested_at);
                judgement_due = app.log_missing_targets(judgement_due, now);
                // A list with targets that have no entry must not keep other gateways from reading.
                if judgement_due.is_none() {
                    app.targets_read_at.set(Some(requested_at));
                }
                mismatch_since = None;
                let interval = TargetDirectory::read_interval(now.since(Timestamp::default()));
                sleep(judgement_due.map_or(interval, |due| due.min(interval))).await;
            }
            Err(error) => {
                if reachable {
                    log::warn!("event=store_lost topic=targets error=\"{error}\"");
                    reachable = false;
                }
                app.directory.borrow_mut().note_failure(now);
                sleep(app.retry_delay(RETRY_DELAY)).await;
            }
        }
    }
}

fn is_read_due(app: &App, mismatch_since: &mut Option<Timestamp>) -> bool {
    let now = app.clock.now();
    let gateways = app.gateways.borrow();
    let Some(own_read_at) = app.targets_read_at.get() else { return true };
    if app.targets_wanted_at.get() >= Some(own_read_at) {
        return true;
    }
    let rank = gateways.rank(now);
    if app.directory.borrow().has_missing() {
        return true;
    }
    let Some((digest, read_at)) = gateways.freshest_targets(now).filter(|_| rank > 0) else {
        return true;
    };
    if now.since(read_at.max(own_read_at)) >= stale_after(rank) {
        return true;
    }
    if digest == app.directory.borrow().digest() {
        *mismatch_since = None;
        return false;
    }
    now.since(*mismatch_since.get_or_insert(now)) >= MISMATCH_LIMIT
}

/// Age of the newest read from which the gateway at position `rank` reads the list itself.
fn stale_after(rank: usize) -> Duration {
    let steps = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
    STANDBY_AFTER.saturating_add(STANDBY_STEP.saturating_mul(steps)).min(STALE_AFTER)
}

/// Applies a read to the directory and, from there, to the fleet. Returns the updates to distribute.
///
/// A reader whose position is old gets records from before those that other gateways have reported.
/// Therefore the directory compares offsets first, and only what it accepts reaches the fleet.
fn apply_read(app: &App, read: &KeyedRead, now: Timestamp) -> Vec<TargetNews> {
    let page = read.page();
    let mut directory = app.directory.borrow_mut();
    let mut updates = match read {
        KeyedRead::Snapshot(page) => replace_list(&mut directory, page, now),
        KeyedRead::Changes(page) => apply_records(&mut directory, &page.records, now),
    };
    directory.note_read_to(page.next);
    // Request counts and adapters aren't part of an update but are used here.
    let mut fleet = app.fleet.borrow_mut();
    for record in &page.records {
        if let Some(entry) = directory.entry_at(&record.key, record.offset) {
            fleet.apply_entry(entry, now);
        }
    }
    // Before the end of the list, a target that seems to be missing may have an entry.
    if page.reaches_end() {
        updates.extend(directory.expire(now));
    }
    updates
}

/// Content of a record in the list.
enum ListRecord {
    Entry(Box<TargetEntry>),
    /// The target has no entry any more.
    Removed,
    /// No entry that can be used; another writer's, which says nothing of a target.
    Undecoded,
}

fn decode_record(record: &KeyedRecord) -> ListRecord {
    let Some(value) = &record.value else { return ListRecord::Removed };
    match decode_target_entry(&record.key, value) {
        Ok(entry) => ListRecord::Entry(Box::new(entry)),
        Err(error) => {
            log::warn!(
                "event=target_entry_rejected target={} offset={} error={}",
                quote(&record.key),
                record.offset.0,
                quote(&error.to_string())
            );
            ListRecord::Undecoded
        }
    }
}

fn replace_list(
    directory: &mut TargetDirectory,
    page: &KeyedPage,
    now: Timestamp,
) -> Vec<TargetNews> {
    let mut entries: Vec<(Offset, TargetEntry)> = Vec::new();
    let mut undecoded: Vec<CompactString> = Vec::new();
    for record in &page.records {
        match decode_record(record) {
            ListRecord::Entry(entry) => entries.push((record.offset, *entry)),
            ListRecord::Removed => {}
            ListRecord::Undecoded => undecoded.push(record.key.clone()),
        }
    }
    log::info!("event=target_list_read targets={} offset={}", entries.len(), page.end.0);
    directory.replace(entries, &undecoded, page.end, now)
}

fn apply_records(
    directory: &mut TargetDirectory,
    records: &[KeyedRecord],
    now: Timestamp,
) -> Vec<TargetNews> {
    let decoded: Vec<(&KeyedRecord, Option<TargetEntry>)> = records
        .iter()
        .filter_map(|record| match decode_record(record) {
            ListRecord::Entry(entry) => Some((record, Some(*entry))),
            ListRecord::Removed => Some((record, None)),
            ListRecord::Undecoded => None,
        })
        .collect();
    let mut updates = Vec::new();
    for (at, (record, entry)) in decoded.iter().enumerate() {
        // Only the last of several records of a target counts, unless another one names a version that was in
        // service meanwhile: it may have begun streams.
        let is_superseded = decoded[at + 1..].iter().any(|(later, _)| later.key == record.key);
        if is_superseded && !entry.as_ref().is_some_and(|entry| is_new_version(directory, entry)) {
            continue;
        }
        updates.extend(directory.apply(record.offset, &record.key, entry.clone(), now));
    }
    updates
}

/// Whether no listed target of the service runs the version of this entry.
fn is_new_version(directory: &TargetDirectory, entry: &TargetEntry) -> bool {
    !directory
        .entries()
        .any(|known| known.service == entry.service && known.software == entry.software)
}

impl App {
    /// Records that the list known here is at least as new as a read at `read_at`.
    pub(crate) fn record_list_read(&self, read_at: Timestamp) {
        let mut view = self.version_view.get();
        view.record_list_read(read_at);
        self.version_view.set(view);
    }

    /// Marks the targets without an entry whose end is not certain yet.
    fn record_missing_targets(&self) {
        let directory = self.directory.borrow();
        self.fleet.borrow_mut().set_missing(directory.missing());
    }

    /// Returns the time until missing targets are judged, and logs it when the first one is missing.
    fn log_missing_targets(&self, former: Option<Duration>, now: Timestamp) -> Option<Duration> {
        let directory = self.directory.borrow();
        let due = directory.judgement_due(now)?;
        if former.is_none() {
            let count = directory.missing().count();
            log::warn!("event=targets_missing targets={count} judged_in_ms={}", due.as_millis());
        }
        Some(due)
    }

    /// Applies an update of a target.
    pub(crate) fn apply_target_update(&self, update: &TargetNews, now: Timestamp) {
        let Some(entry) = &update.entry else {
            log::info!("event=target_gone target={} offset={}", quote(&update.id), update.offset.0);
            if let Some(address) = self.fleet.borrow_mut().mark_unlisted(&update.id, now) {
                self.pool.remove(address);
            }
            return;
        };
        let models: Vec<&str> = entry.models.iter().map(|loaded| loaded.model.as_str()).collect();
        log::info!(
            "event=target_announced target={} address={} software={} state={} models={} cold_ms={} offset={}",
            quote(&update.id),
            entry.address,
            quote(&entry.software),
            match entry.state {
                TargetState::Ready => "ready",
                TargetState::Leaving { .. } => "leaving",
            },
            quote(&models.join(",")),
            entry.cold_ms,
            update.offset.0
        );
        self.fleet.borrow_mut().apply_entry(entry, now);
    }
}
