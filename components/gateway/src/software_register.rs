//! Register of the versions in service on the store, where it outlasts the loss of all gateways.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use config::FleetConfig;
use store::{KeyedLog, KeyedRead, KeyedReader, KeyedRecord, StoreError, Topic};
use streams::{RegisterStep, VersionsSeen};
use telemetry::quote;
use tokio::time::sleep;
use wire::SoftwareVersion;

use crate::app::App;

/// Time between two checks of whether a call is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads the register at the start and writes what changes until the task is aborted.
pub(crate) async fn maintain_software_register(app: Rc<App>) {
    let mut reader = KeyedReader::new(Topic::Software);
    loop {
        let result = match next_step(&app) {
            RegisterStep::Wait => {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            RegisterStep::Read => read_register(&app, &mut reader).await,
            RegisterStep::Write(version) => write_version(&app, &version).await,
            RegisterStep::Remove(key) => remove_version(&app, &key).await,
        };
        if let Err(error) = result {
            log::warn!("event=store_call_failed topic=software error=\"{error}\"");
            sleep(app.retry_delay(RETRY_DELAY)).await;
        }
    }
}

fn next_step(app: &App) -> RegisterStep {
    let now = app.clock.now();
    let view = app.version_view.get();
    if !view.has_history(now) {
        // What a restored store has is no evidence until the gateways have written again what it lacks.
        let is_due = app.store_is_settled(now) || !app.software_register.borrow().is_read();
        return if is_due { RegisterStep::Read } else { RegisterStep::Wait };
    }
    if !view.is_fresh(now) {
        return RegisterStep::Wait;
    }
    let config = app.config();
    let (in_service, lately) = {
        let fleet = app.fleet.borrow();
        let listed = fleet.listed_software();
        let mut lately = fleet.former_software(now);
        lately.extend(listed.iter().cloned());
        lately.sort_unstable();
        lately.dedup();
        let in_service: Vec<SoftwareVersion> =
            listed.into_iter().filter(|version| has_streams(config.as_deref(), version)).collect();
        (in_service, lately)
    };
    let seen = VersionsSeen {
        in_service: &in_service,
        lately: &lately,
        store_era: app.store_era.get().known(),
    };
    let rank = app.gateways.borrow().rank(now);
    app.software_register.borrow_mut().next_step(&seen, rank, now)
}

/// Whether callers may take up streams of a version's service.
fn has_streams(config: Option<&FleetConfig>, version: &SoftwareVersion) -> bool {
    let service = config.and_then(|config| Some((config, config.service_id(&version.service)?)));
    service.is_some_and(|(config, id)| {
        config.routes.iter().any(|route| {
            let shares = &route.direct.shares;
            let serves = route.service == id || shares.iter().any(|share| share.service == id);
            serves && route.direct.kind.is_stream()
        })
    })
}

/// Reads the register to its end or to the end of a page.
async fn read_register(app: &App, reader: &mut KeyedReader) -> Result<(), StoreError> {
    let requested_at = app.clock.now();
    let read = reader.read(&app.store, Duration::ZERO).await?;
    let now = app.clock.now();
    app.record_answered_era(now);
    let mut register = app.software_register.borrow_mut();
    match &read {
        KeyedRead::Snapshot(page) => {
            let decoded = page.records.iter().filter_map(|record| {
                decode_record(record).map(|version| (record.key.clone(), version))
            });
            register.replace(decoded);
        }
        KeyedRead::Changes(page) => {
            page.records
                .iter()
                .for_each(|record| register.apply(&record.key, decode_record(record)));
        }
    }
    if !read.page().reaches_end() {
        return Ok(());
    }
    register.record_read(requested_at, app.store_era.get().known());
    if !app.version_view.get().has_history(now) {
        let mut fleet = app.fleet.borrow_mut();
        register.versions().for_each(|version| fleet.record_former_software(version, now));
        if app.store_is_settled(now) {
            let mut view = app.version_view.get();
            view.record_register_read(requested_at);
            app.version_view.set(view);
        }
    }
    Ok(())
}

fn decode_record(record: &KeyedRecord) -> Option<SoftwareVersion> {
    let decoded = wire::decode::<SoftwareVersion>(record.value.as_ref()?);
    if let Err(error) = &decoded {
        log::warn!("event=software_rejected key={} error=\"{error}\"", quote(&record.key));
    }
    decoded.ok()
}

async fn write_version(app: &App, version: &SoftwareVersion) -> Result<(), StoreError> {
    let key = version.key();
    let Ok(value) = wire::encode(version) else { return Ok(()) };
    let offset = app.store.put(Topic::Software, &key, Some(&value)).await?;
    app.record_answered_era(app.clock.now());
    app.software_register.borrow_mut().apply(&key, Some(version.clone()));
    log::info!(
        "event=software_registered service={} software={} offset={}",
        quote(&version.service),
        quote(&version.software),
        offset.0
    );
    Ok(())
}

async fn remove_version(app: &App, key: &CompactString) -> Result<(), StoreError> {
    let offset = app.store.put(Topic::Software, key, None).await?;
    app.record_answered_era(app.clock.now());
    app.software_register.borrow_mut().apply(key, None);
    log::info!("event=software_removed key={} offset={}", quote(key), offset.0);
    Ok(())
}
