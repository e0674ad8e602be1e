//! Registry of gateways in the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ingress::ShutdownStage;
use store::{KeyedLog, KeyedReader, KeyedRecord, Topic};
use tokio::time::sleep;
use wire::GatewayRecord;

use crate::app::App;

/// Time between two reads of the registry while state from all registered gateways is received. Of
/// any two gateways the one that starts later finds the other at its start, so a read only helps
/// gateways that have dropped each other during a long network partition.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two checks for gateways whose state is missing, which cause a read.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Registers this gateway and reads the registry until the task is aborted.
pub(crate) async fn maintain_registration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Gateways);
    let mut registered = false;
    loop {
        registered = registered || register(&app).await;
        match reader.read(&app.store, Duration::ZERO).await {
            Ok(read) => {
                read.page().records.iter().for_each(|record| apply_record(&app, record));
                app.registry_read.set(true);
            }
            Err(error) => {
                log::warn!("event=register_unread error=\"{error}\"");
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        if !registered {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let in_contact_with_all = || {
            let (known, reachable) = app.gateways.borrow().counts(app.clock.now());
            reachable >= known
        };
        let read_at = app.clock.now();
        while app.clock.now().since(read_at) < READ_INTERVAL {
            sleep(CONTACT_CHECK_INTERVAL).await;
            // A gateway that is not in contact with all others can announce itself only here.
            registered = in_contact_with_all();
            if !registered {
                break;
            }
        }
    }
}

async fn register(app: &App) -> bool {
    let settings = app.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_port);
    let record = GatewayRecord {
        process: app.process.clone(),
        address,
        data_centre: settings.data_centre.clone(),
    };
    let Ok(value) = wire::encode(&record) else { return false };
    if *app.stage.borrow() > ShutdownStage::Serving {
        return true;
    }
    match app.store.put(Topic::Gateways, settings.name.as_str(), Some(&value)).await {
        Ok(offset) => {
            log::info!("event=registered offset={} address={address}", offset.0);
            true
        }
        Err(error) => {
            log::warn!("event=register_failed error=\"{error}\"");
            false
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

fn apply_record(app: &App, record: &KeyedRecord) {
    let now = app.clock.now();
    let Some(value) = &record.value else {
        app.gateways.borrow_mut().apply_deregistration(&record.key, now);
        return;
    };
    match wire::decode::<GatewayRecord>(value) {
        Ok(entry) => app.gateways.borrow_mut().apply_registration(&entry, now),
        Err(error) => {
            log::warn!(
                "event=register_entry_rejected gateway={} error=\"{error}\"",
                telemetry::quote(&record.key)
            );
        }
    }
}
