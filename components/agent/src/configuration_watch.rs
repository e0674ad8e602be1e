//! Fetches the configuration, which contains the sizes of models, from gateways that send queries.
//!
//! The store isn't read: every gateway has the configuration, and store calls are billed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Offset;
use calls::HttpCall;
use http::StatusCode;
use platform::read_configuration;
use tokio::time::sleep;
use wire::StoredDocument;

use crate::app::App;

/// Timeout for a call to a gateway.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time between two calls. Engine limits and model sizes change rarely, so a newer version
/// that changes something else needn't be fetched at once.
const CALL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed call while no configuration is known.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Fetches configurations from gateways until the task is aborted.
pub(crate) async fn watch_configuration(app: Rc<App>) {
    let mut version: Option<Offset> = None;
    loop {
        let Some(address) = newest_source(&app, version) else {
            app.query_received.notified().await;
            continue;
        };
        if let Some(newer) = fetch(&app, address).await {
            version = version.max(Some(newer));
        }
        sleep(if version.is_some() { CALL_INTERVAL } else { RETRY_DELAY }).await;
    }
}

/// The gateway with the newest query among those with a newer version.
fn newest_source(app: &App, version: Option<Offset>) -> Option<SocketAddr> {
    let active_gateways = app.active_gateways.borrow();
    let newer =
        active_gateways.values().filter(|peer| version.is_none_or(|known| peer.config > known));
    newer.max_by_key(|gateway| gateway.queried_at).map(|peer| peer.address)
}

/// Applies the configuration of a gateway; returns its version.
async fn fetch(app: &App, address: SocketAddr) -> Option<Offset> {
    let call = HttpCall::get(address, StoredDocument::PATH, CALL_TIMEOUT);
    let response = match app.gateway_client.call(call).await {
        Ok(response) if response.status == StatusCode::OK => response,
        Ok(response) => {
            let status = response.status.as_u16();
            log::info!("event=gateway_without_configuration gateway={address} status={status}");
            return None;
        }
        Err(error) => {
            log::warn!("event=gateway_call_failed gateway={address} error=\"{error}\"");
            return None;
        }
    };
    let document = StoredDocument::from_answer(&response.headers, response.body)?;
    let config = read_configuration(document.offset, &document.bytes)?.config;
    log::info!("event=configuration_in_force config={}", config.version.0);
    app.scheduler.borrow_mut().set_limits(&config, &app.settings.service);
    app.order_wakeup.notify_one();
    Some(config.version)
}
