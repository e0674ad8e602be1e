//! Reads the configuration from entry processes, or from the log if none responds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Offset, Role};
use changes::{CONFIG_STREAM, ConfigLog};
use store::Log;
use tokio::time::timeout;
use wire::{PeerCall, PeerReply};

use crate::event::Event;
use crate::process::Shared;

/// Time between reads; a heartbeat of an entry process with a newer version triggers one at once.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time between reads while there is no configuration.
const UNCONFIGURED_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of records per read of the log.
const PAGE_RECORDS: u32 = 500;
/// Maximum number of pages read before the loop yields to other tasks.
const MAX_CONSECUTIVE_PAGES: usize = 64;

/// Follows the configuration stream and reports each version that becomes active.
pub(crate) async fn follow_config(shared: Rc<Shared>) {
    let retention = Duration::from_secs(shared.settings.platform.log_retention_s);
    let mut records = ConfigLog::new(&shared.settings.process.region, retention);
    let mut next_entry = 0;
    loop {
        let entries = shared.core.borrow().peers.addresses(Role::Entry);
        let from_peer = match entries.get(next_entry % entries.len().max(1)) {
            Some(address) => read_peer(&shared, &mut records, *address).await,
            None => false,
        };
        next_entry = next_entry.wrapping_add(1);
        if !from_peer || records.current().is_none() || records.has_gap() {
            read_log(&shared, &mut records).await;
        }
        let mut source = shared.source.get();
        source.newer_rules = records.newer_rules().is_some();
        source.log_unreachable = !from_peer && source.log_unreachable;
        shared.source.set(source);
        let interval =
            if records.current().is_some() { INTERVAL } else { UNCONFIGURED_READ_INTERVAL };
        // Woken or timed out, the next read is due.
        let _woken = timeout(interval, shared.read_config_now.notified()).await;
    }
}

/// Applies records and reports each version that becomes active.
fn apply_records<'a>(
    shared: &Shared,
    log: &mut ConfigLog,
    records: impl Iterator<Item = (Offset, &'a [u8])>,
) {
    for (offset, payload) in records {
        let progress = log.apply(offset, payload, shared.clock.now());
        if let Some(config) = progress.new_config {
            log::info!("event=configuration version={}", config.version.0);
            shared.handle_event(Event::Configured(config));
        }
    }
}

/// Reads all records that an entry process has; returns whether it responded.
async fn read_peer(shared: &Shared, log: &mut ConfigLog, address: SocketAddr) -> bool {
    let limit = Duration::from_millis(shared.settings.membership.call_timeout_ms);
    for _ in 0..MAX_CONSECUTIVE_PAGES {
        let from = log.position().next();
        let call = PeerCall::CatchUp { stream: CONFIG_STREAM.into(), from };
        let Ok(PeerReply::Records { records, end }) = shared.pool.call(address, &call, limit).await
        else {
            return false;
        };
        apply_records(shared, log, records.iter().map(|r| (r.offset, r.payload.as_slice())));
        if log.position() >= end || log.position() < from {
            return true;
        }
    }
    true
}

/// Reads from the log to its end.
async fn read_log(shared: &Shared, log: &mut ConfigLog) {
    let mut next = log.position().next();
    for _ in 0..MAX_CONSECUTIVE_PAGES {
        let page = shared.log.read(CONFIG_STREAM, next, PAGE_RECORDS, Duration::ZERO).await;
        let mut source = shared.source.get();
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=config_read_failed error=\"{error}\"");
                source.log_unreachable = true;
                shared.source.set(source);
                return;
            }
        };
        apply_records(shared, log, page.records.iter().map(|r| (r.offset, r.payload.as_ref())));
        source.log_unreachable = false;
        if page.reaches_end(next) {
            let now = shared.clock.now();
            log.note_end(now);
            source.end_read = Some(now);
            shared.source.set(source);
            return;
        }
        shared.source.set(source);
        next = page.records.last().map_or(page.oldest, |last| last.offset.next());
    }
}
