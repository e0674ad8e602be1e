//! The register of gateways on the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ingress::ShutdownStage;
use store::{KeyedLog, KeyedReader, KeyedRecord, Topic};
use tokio::time::sleep;
use wire::GatewayRecord;

use crate::app::App;

/// Time between two reads of the register while all gateways in it are heard: of any two the later one finds
/// the other at its start, so that a read helps only those that forgot each other in a long separation.
const CALM_INTERVAL: Duration = Duration::from_secs(30);
/// The same while some are not heard.
const SEARCH_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Enters this process and reads the register until the task is aborted.
pub(crate) async fn maintain_registration(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Gateways);
    let mut entered = false;
    loop {
        entered = entered || register(&app).await;
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
        if !entered {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let hears_all = || {
            let (known, heard) = app.gateways.borrow().counts(app.clock.now());
            heard >= known
        };
        let read_at = app.clock.now();
        while app.clock.now().since(read_at) < CALM_INTERVAL {
            sleep(SEARCH_INTERVAL).await;
            // A gateway that is not heard by all can show only here that it is alive.
            entered = hears_all();
            if !entered {
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

/// Takes this process out of the register.
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
