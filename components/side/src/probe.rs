//! Health probes of the target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use engine::{Engine, EngineError, HttpEngine, ModelState};
use http::{Request, header};
use http_body_util::Empty;
use placement::{EngineCopy, EngineCopyState, EngineState};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use crate::clock::Clock;
use crate::core::Core;
use crate::event::{Event, ProbeFailure};
use crate::plain_client::PlainConnection;

/// Time limit for a plain target's response.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the engine's state, load and cache events every `interval`, or sooner when woken.
pub(crate) async fn probe_engine(
    engine: HttpEngine,
    interval: Duration,
    clock: Clock,
    wake: Rc<Notify>,
    core: Rc<RefCell<Core>>,
    events: mpsc::UnboundedSender<Event>,
) {
    loop {
        let asked_at = clock.now();
        let state =
            engine.state().await.map(|state| convert(&state)).map_err(|error| match error {
                EngineError::Unreachable => ProbeFailure::Unreachable,
                _ => ProbeFailure::NoAnswer,
            });
        if events.send(Event::StateRead(asked_at, state)).is_err() {
            return;
        }
        if let Ok(sample) = engine.load().await
            && events.send(Event::LoadRead(sample)).is_err()
        {
            return;
        }
        let after = core.borrow().cache.last();
        if let Ok(answer) = engine.cache_events(after).await
            && events.send(Event::CacheRead(answer)).is_err()
        {
            return;
        }
        // Woken or timed out, the next probe is due.
        let _woken = timeout(interval, wake.notified()).await;
    }
}

/// Requests `/healthz` of a plain target every `interval`. Any response but a server error counts
/// as healthy, since a service need not have the path.
pub(crate) async fn probe_plain(
    target: SocketAddr,
    interval: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    loop {
        let answered = timeout(PROBE_TIMEOUT, healthz(target));
        let answered = answered.await.unwrap_or(Err(ProbeFailure::NoAnswer));
        if events.send(Event::Probed(answered)).is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}

async fn healthz(target: SocketAddr) -> Result<(), ProbeFailure> {
    let mut connection = PlainConnection::open(target).await.ok_or(ProbeFailure::Unreachable)?;
    let request = Request::get("/healthz")
        .header(header::HOST, target.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| ProbeFailure::NoAnswer)?;
    match connection.send(request).await {
        Ok(answer) if !answer.status().is_server_error() => Ok(()),
        _ => Err(ProbeFailure::NoAnswer),
    }
}

fn convert(state: &engine::EngineState) -> EngineState {
    let mut models: Vec<EngineCopy> = state
        .models
        .iter()
        .map(|copy| EngineCopy {
            model: copy.model.clone(),
            version: copy.version.clone(),
            state: match copy.state {
                ModelState::Loading => EngineCopyState::Loading,
                ModelState::Resident => EngineCopyState::Resident,
                ModelState::Unloading => EngineCopyState::Unloading,
            },
        })
        .collect();
    models.sort_by(|a, b| a.model.cmp(&b.model));
    let mut adapters = state.adapters.clone();
    adapters.sort();
    EngineState {
        capacity_mb: state.capacity_mb,
        used_mb: state.used_mb,
        models,
        adapters,
        busy: !state.orders_in_progress.is_empty(),
    }
}
