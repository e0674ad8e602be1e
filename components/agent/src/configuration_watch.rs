//! Gets the sizes of models from the gateways that ask for something.
//!
//! The store is not asked: every gateway has the configuration, and calls to the store are paid for.

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

/// Longest wait for an answer of a gateway.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time between two calls. Limits of engines and sizes of models change rarely, so that a newer
/// version that changes something else need not be fetched at once.
const CALL_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a call without a result while no configuration is known.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Takes configurations from gateways until the task is aborted.
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

/// The gateway that asked last among those with a newer version.
fn newest_source(app: &App, version: Option<Offset>) -> Option<SocketAddr> {
    let active_gateways = app.active_gateways.borrow();
    let newer =
        active_gateways.values().filter(|peer| version.is_none_or(|known| peer.config > known));
    newer.max_by_key(|peer| peer.at).map(|peer| peer.address)
}

/// Takes the configuration of a gateway in force; returns its version.
async fn fetch(app: &App, address: SocketAddr) -> Option<Offset> {
    let call = HttpCall::get(address, StoredDocument::PATH, CALL_TIMEOUT);
    let answer = match app.gateway_client.call(call).await {
        Ok(answer) if answer.status == StatusCode::OK => answer,
        Ok(answer) => {
            let status = answer.status.as_u16();
            log::info!("event=gateway_without_configuration gateway={address} status={status}");
            return None;
        }
        Err(error) => {
            log::warn!("event=gateway_call_failed gateway={address} error=\"{error}\"");
            return None;
        }
    };
    let document = StoredDocument::from_answer(&answer.headers, answer.body)?;
    let config = read_configuration(document.offset, &document.bytes)?.town;
    log::info!("event=configuration_in_force config={}", config.version.0);
    app.scheduler.borrow_mut().set_limits(&config, &app.settings.service);
    app.order_wakeup.notify_one();
    Some(config.version)
}
