//! Registry of gateways in the store.
//!
//! A store that comes back from an older copy may lack gateways, so each registers again. The first
//! ones also record when the content is complete again, for gateways that start later.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ingress::ShutdownStage;
use membership::REWRITE_PERIOD;
use store::{KeyedLog, KeyedReader, KeyedRecord, Topic};
use tokio::time::{sleep, timeout};
use wire::GatewayRecord;

use crate::app::App;

/// Time between two reads of the registry while state from all registered gateways is received. Of
/// any two gateways the one that starts later finds the other at its start, so a read only helps
/// gateways that have dropped each other during a long network partition.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two checks for gateways whose state is missing, which cause a read.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Number of gateways that record that the store's content is complete.
const SETTLED_RECORDERS: usize = 2;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Registers this gateway and reads the registry until the task is aborted.
pub(crate) async fn maintain_registration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Gateways);
    // Era of the store in which this gateway was registered; none if it must register.
    let mut registered: Option<u64> = None;
    // Newest era that a record names as settled.
    let mut recorded_era: Option<u64> = None;
    loop {
        if registered.is_none() {
            registered = register(&app).await;
        }
        app.record_answered_era(app.clock.now());
        match reader.read(&app.store, Duration::ZERO).await {
            Ok(read) => {
                app.record_answered_era(app.clock.now());
                for record in &read.page().records {
                    recorded_era = recorded_era.max(apply_record(&app, record));
                }
                if !read.page().reaches_end() {
                    continue;
                }
                app.registry_read.set(true);
            }
            Err(error) => {
                log::warn!("event=register_unread error=\"{error}\"");
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        if registered.is_none() {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let in_contact_with_all = || {
            let (known, reachable) = app.gateways.borrow().counts(app.clock.now());
            reachable >= known
        };
        let read_at = app.clock.now();
        while app.clock.now().since(read_at) < READ_INTERVAL {
            // Missed notifications are made up for by the next check.
            let wait = check_interval(&app, recorded_era);
            let _restored = timeout(wait, app.store_restored.notified()).await;
            let is_stale =
                app.store_era.get().known() > registered || records_settled_era(&app, recorded_era);
            // A gateway that is not in contact with all others can announce itself only here.
            if is_stale || !in_contact_with_all() {
                registered = None;
                break;
            }
        }
    }
}

/// Time until the next check, which is soon while the store's content is being completed.
fn check_interval(app: &App, recorded_era: Option<u64>) -> Duration {
    match app.store_era.get().known() > recorded_era.max(Some(0)) {
        true => REWRITE_PERIOD,
        false => CONTACT_CHECK_INTERVAL,
    }
}

/// Whether this gateway has to record that the store's content is complete. The first era needs no
/// record.
fn records_settled_era(app: &App, recorded_era: Option<u64>) -> bool {
    let now = app.clock.now();
    app.store_era.get().known() > recorded_era.max(Some(0))
        && app.store_is_settled(now)
        && app.gateways.borrow().rank(now) < SETTLED_RECORDERS
}

/// Registers this gateway; returns the era of the store in which it is registered.
async fn register(app: &App) -> Option<u64> {
    let settings = app.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let record = GatewayRecord {
        process: app.process.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        settled_era: app.store_era.get().known().filter(|_| app.store_is_settled(app.clock.now())),
    };
    let value = wire::encode(&record).ok()?;
    if *app.stage.borrow() > ShutdownStage::Serving {
        // A gateway that shuts down removes its entry.
        return Some(u64::MAX);
    }
    match app.store.put(Topic::Gateways, settings.name.as_str(), Some(&value)).await {
        Ok(offset) => {
            log::info!("event=registered offset={} address={address}", offset.0);
            Some(offset.era())
        }
        Err(error) => {
            log::warn!("event=register_failed error=\"{error}\"");
            None
        }
    }
}

/// Removes this gateway from the registry.
pub(crate) async fn deregister(app: &App) {
    let name = app.settings().name.clone();
    if let Err(error) = app.store.put(Topic::Gateways, name.as_str(), None).await {
        log::warn!("event=deregister_failed error=\"{error}\"");
    }
}

/// Applies a record; returns the era that it names as settled.
fn apply_record(app: &App, record: &KeyedRecord) -> Option<u64> {
    let now = app.clock.now();
    let Some(value) = &record.value else {
        app.gateways.borrow_mut().apply_deregistration(&record.key, now);
        return None;
    };
    match wire::decode::<GatewayRecord>(value) {
        Ok(entry) => {
            app.gateways.borrow_mut().apply_registration(&entry, now);
            if let Some(era) = entry.settled_era {
                app.record_settled_era(era);
            }
            entry.settled_era
        }
        Err(error) => {
            log::warn!(
                "event=register_entry_rejected gateway={} error=\"{error}\"",
                telemetry::quote(&record.key)
            );
            None
        }
    }
}
