//! Stand-in for a model engine.

use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::EngineSettings;
use crate::engine_journal::EngineJournal;
use crate::engine_state::EngineState;
use crate::reply::{Reply, full, json, query, read_body, text};
use crate::server::{Server, Service, lock};

pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Behaviour of the stand-in engine.
pub struct EngineService {
    pub(crate) settings: Mutex<EngineSettings>,
    pub(crate) state: Mutex<EngineState>,
    /// Told when a request leaves or the engine dies.
    pub(crate) changed: Notify,
}

/// The stand-in engine.
pub type EngineServer = Server<EngineService>;

#[derive(Deserialize)]
struct IdBody {
    id: CompactString,
}

#[derive(Deserialize)]
struct FenceBody {
    fencing: u64,
}

#[derive(Serialize)]
struct FenceAnswer {
    floor: u64,
}

impl Server<EngineService> {
    /// What the engine ran so far, earlier lives included.
    pub fn journal(&self) -> EngineJournal {
        lock(&self.service.state).journal.clone()
    }

    /// Number of requests inside the engine.
    pub fn requests_inside(&self) -> usize {
        lock(&self.service.state).requests.len()
    }
}

impl Service for EngineService {
    type Settings = EngineSettings;

    fn new(settings: EngineSettings) -> Self {
        let state = Mutex::new(EngineState::new(&settings));
        Self { settings: Mutex::new(settings), state, changed: Notify::new() }
    }

    fn settings(&self) -> &Mutex<EngineSettings> {
        &self.settings
    }

    fn started(self: &Arc<Self>) {
        tokio::spawn(sample_load(Arc::downgrade(self)));
    }

    fn settings_changed(&self) {
        let settings = lock(&self.settings);
        let mut state = lock(&self.state);
        state.cache.capacity = settings.cache_blocks;
        state.cache.loss_percent = settings.cache_event_loss_percent;
        state.fill_batch(settings.batch);
        self.changed.notify_waiters();
    }

    fn restarted(&self) {
        let settings = lock(&self.settings).clone();
        lock(&self.state).die(&settings);
        self.changed.notify_waiters();
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let id = request.headers().get(REQUEST_ID).cloned();
        let mut answer = self.dispatch(request).await?;
        if let Some(id) = id
            && !answer.headers().contains_key(REQUEST_ID)
        {
            answer.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(answer)
    }
}

/// Takes a load sample again and again, so that the reported one is old.
async fn sample_load(service: Weak<EngineService>) {
    while let Some(service) = service.upgrade() {
        let settings = lock(&service.settings).clone();
        let sample = lock(&service.state).take_sample(&settings);
        lock(&service.state).sample = Some(sample);
        drop(service);
        sleep(Duration::from_millis(settings.load_report_lag_ms.max(1))).await;
    }
}

impl EngineService {
    async fn dispatch(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let query_text = head.uri.query();
        match (&head.method, path) {
            (&Method::GET, "/state") => {
                let settings = lock(&self.settings).clone();
                let report = lock(&self.state).report(&settings);
                json(StatusCode::OK, &report)
            }
            (&Method::GET, "/load") => self.load_report(),
            (&Method::GET, "/cache-events") => {
                let after = query(query_text, "after").and_then(|after| after.parse().ok());
                let lag = Duration::from_millis(lock(&self.settings).cache_event_lag_ms);
                let events = lock(&self.state).cache.events_after(after.unwrap_or(0), lag);
                json(StatusCode::OK, &events)
            }
            (&Method::GET, "/journal") => {
                let journal = lock(&self.state).journal.clone();
                json(StatusCode::OK, &journal)
            }
            (&Method::POST, _) => {
                let bytes = read_body(body).await?;
                match path {
                    "/generate" => self.generate(&head.headers, &bytes).await,
                    "/models/load" | "/models/unload" | "/adapters/load" | "/adapters/unload"
                    | "/role" => self.order(path.into(), &bytes).await,
                    "/kv/import" => {
                        let id = query(query_text, "id").unwrap_or_default();
                        lock(&self.state).imported.push(id.into());
                        text(StatusCode::OK, "{}")
                    }
                    _ => self.small_call(path, &bytes),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn load_report(&self) -> Reply {
        let settings = lock(&self.settings).clone();
        let mut state = lock(&self.state);
        let mut sample = match state.sample {
            Some(sample) if settings.load_report_lag_ms > 0 => sample,
            _ => state.take_sample(&settings),
        };
        state.sample = Some(sample);
        drop(state);
        sample.sample_age_ms = u64::try_from(sample.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        json(StatusCode::OK, &sample)
    }

    fn small_call(&self, path: &str, body: &Bytes) -> Reply {
        match path {
            "/cancel" => {
                let Ok(IdBody { id }) = serde_json::from_slice(body) else {
                    return text(StatusCode::BAD_REQUEST, "malformed call");
                };
                // The request's task ends when its cancel side is dropped.
                lock(&self.state).requests.retain(|request| request.id != id);
                text(StatusCode::OK, "{}")
            }
            "/fence" => {
                let Ok(FenceBody { fencing }) = serde_json::from_slice(body) else {
                    return text(StatusCode::BAD_REQUEST, "malformed call");
                };
                let honours = lock(&self.settings).honours_fencing;
                let mut state = lock(&self.state);
                if honours {
                    state.floor = state.floor.max(fencing);
                }
                let floor = state.floor;
                drop(state);
                json(StatusCode::OK, &FenceAnswer { floor })
            }
            "/kv/export" => {
                let Ok(IdBody { id }) = serde_json::from_slice(body) else {
                    return text(StatusCode::BAD_REQUEST, "malformed call");
                };
                match self.exported_kv(&id) {
                    Some(bytes) => Ok(http::Response::new(full(bytes))),
                    None => text(StatusCode::NOT_FOUND, "unknown request"),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
