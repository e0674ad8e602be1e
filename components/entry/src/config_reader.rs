//! The streams `config` and `fleet`, and catch-up from peers.

use std::net::SocketAddr;
use std::rc::Rc;

use base::{Offset, Timestamp};
use changes::{CONFIG_STREAM, RecordId};
use store::{Log, LogPage};
use telemetry::quote;
use wire::{FLEET_STREAM, LogRecordCopy, PeerCall, PeerReply, StartRecord};

use crate::app::App;
use crate::log_reader::Follower;
use crate::slots::SLOTS_STREAM;

/// Most rounds of one catch-up.
const CATCH_UP_ROUNDS: u32 = 64;

/// Follows the configuration.
#[derive(Default)]
pub(crate) struct ConfigFollower {
    /// First offset that the log still keeps.
    oldest: std::cell::Cell<Offset>,
}

impl Follower for ConfigFollower {
    const STREAM: &'static str = CONFIG_STREAM;

    fn next_offset(&self, app: &App) -> Offset {
        app.config.borrow().next_offset(self.oldest.get())
    }

    fn apply_page(&self, app: &Rc<App>, page: &LogPage, at_end: bool, requested_at: Timestamp) {
        self.oldest.set(page.oldest);
        for record in &page.records {
            apply_record(app, record.offset, &record.payload);
        }
        if !at_end {
            return;
        }
        let now = app.clock.now();
        let current = {
            let mut config = app.config.borrow_mut();
            config.note_end(now);
            config.is_up_to_date(page.end)
        };
        if current {
            app.authority.borrow_mut().note_end_read(requested_at);
        }
        write_snapshot_if_due(app, now);
    }
}

fn apply_record(app: &Rc<App>, offset: Offset, payload: &[u8]) {
    let progress = app.config.borrow_mut().apply(offset, payload, app.clock.now());
    for judgement in &progress.verdicts {
        log::debug!(
            "event=configuration_judged offset={} verdict={}",
            judgement.offset.0,
            quote(&format!("{:?}", judgement.verdict))
        );
    }
    if let Some(config) = &progress.new_config {
        app.apply_configuration(config);
    }
}

fn write_snapshot_if_due(app: &Rc<App>, now: Timestamp) {
    let due = app.config.borrow().is_snapshot_due(now);
    if !due || !app.membership.borrow().is_first_entry(now) {
        return;
    }
    let id = RecordId::new(&app.process_id, app.next_record_number());
    let Some(payload) = app.config.borrow_mut().take_snapshot(id.clone(), now) else { return };
    let app = Rc::clone(app);
    tokio::task::spawn_local(async move {
        // A snapshot that gets lost is due again later.
        if let Err(error) = app.log.append(CONFIG_STREAM, &id.0, &payload).await {
            log::warn!("event=snapshot_not_written stream={CONFIG_STREAM} error=\"{error}\"");
        }
    });
}

/// Follows start records.
#[derive(Default)]
pub(crate) struct FleetFollower {
    through: std::cell::Cell<Offset>,
}

impl Follower for FleetFollower {
    const STREAM: &'static str = FLEET_STREAM;

    fn next_offset(&self, _app: &App) -> Offset {
        self.through.get().next()
    }

    fn apply_page(&self, app: &Rc<App>, page: &LogPage, _at_end: bool, _asked_at: Timestamp) {
        for record in &page.records {
            self.through.set(record.offset);
            match wire::decode::<StartRecord>(&record.payload) {
                Ok(start) => app.membership.borrow_mut().note_start(&start.process),
                Err(error) => log::warn!(
                    "event=record_ignored stream={FLEET_STREAM} offset={} error=\"{error}\"",
                    record.offset.0
                ),
            }
        }
    }
}

/// Fetches what a peer has and this process lacks, unless a catch-up is under way.
pub(crate) fn start_catch_up(app: &Rc<App>, address: SocketAddr) {
    if app.catching_up.replace(true) {
        return;
    }
    let app = Rc::clone(app);
    tokio::task::spawn_local(async move {
        catch_up_config(&app, address).await;
        catch_up_slots(&app, address).await;
        app.catching_up.set(false);
    });
}

async fn catch_up_config(app: &Rc<App>, address: SocketAddr) {
    for _ in 0..CATCH_UP_ROUNDS {
        let before = app.config.borrow().position();
        let Some((records, end)) = fetch(app, address, CONFIG_STREAM, before.next()).await else {
            return;
        };
        for record in records {
            apply_record(app, record.offset, &record.payload);
        }
        let position = app.config.borrow().position();
        if position >= end || position == before {
            return;
        }
    }
}

async fn catch_up_slots(app: &Rc<App>, address: SocketAddr) {
    let from = app.slots.borrow().ledger.through().next();
    if let Some((records, _)) = fetch(app, address, SLOTS_STREAM, from).await {
        for record in records {
            app.apply_slot_record(record.offset, &record.payload);
        }
        app.sync_slots();
    }
}

async fn fetch(
    app: &Rc<App>,
    address: SocketAddr,
    stream: &str,
    from: Offset,
) -> Option<(Vec<LogRecordCopy>, Offset)> {
    let call = PeerCall::CatchUp { stream: stream.into(), from };
    match app.pool.call(address, &call, app.call_timeout()).await {
        Ok(PeerReply::Records { records, end }) => Some((records, end)),
        Ok(_) => None,
        Err(error) => {
            log::debug!("event=catch_up_failed stream={stream} error=\"{error}\"");
            None
        }
    }
}

/// Answers a peer's catch-up.
pub(crate) fn records_for_peer(app: &App, stream: &str, from: Offset) -> PeerReply {
    if stream == SLOTS_STREAM {
        return app.slots.borrow().records_for_peer(&app.process_id, from);
    }
    if stream != CONFIG_STREAM {
        return PeerReply::Unsupported;
    }
    let config = app.config.borrow();
    let records = config
        .records_from(from)
        .into_iter()
        .map(|record| LogRecordCopy { offset: record.offset, payload: record.payload })
        .collect();
    PeerReply::Records { records, end: config.position() }
}
