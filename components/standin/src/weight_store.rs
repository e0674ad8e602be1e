//! Stand-in for the weight store.

use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::rate::Rate;
use crate::reply::{Reply, json, read_body, text, wait_ms};
use crate::server::{Server, Service, lock};

/// Settings of the stand-in weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Every load is answered 503.
    pub outage: bool,
    /// Duration of a load that does not name its own, in milliseconds.
    pub load_ms: u64,
    /// Loads at once at full speed.
    pub concurrent_loads: u32,
    /// Loads in 1,000 seconds; more are answered 429.
    pub loads_per_1000_s: u64,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self { outage: false, load_ms: 100, concurrent_loads: 4, loads_per_1000_s: 2_000 }
    }
}

/// Counts of the stand-in weight store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadCounts {
    /// Loads started.
    pub started: u64,
    /// Loads refused by the rate.
    pub refused: u64,
    /// Most loads at once.
    pub most_concurrent: u32,
}

#[derive(Default)]
struct State {
    counts: LoadCounts,
    running: u32,
    rate: Rate,
}

/// Behaviour of the stand-in weight store.
pub struct WeightStoreService {
    settings: Mutex<WeightStoreSettings>,
    state: Mutex<State>,
}

/// The stand-in weight store.
pub type WeightStoreServer = Server<WeightStoreService>;

#[derive(Deserialize)]
struct LoadBody {
    target: CompactString,
    name: CompactString,
    megabytes: u64,
    #[serde(default)]
    load_ms: Option<u64>,
}

/// Counts a load as running until dropped, also when its caller goes away.
struct Running<'a>(&'a WeightStoreService);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).running -= 1;
    }
}

impl Server<WeightStoreService> {
    /// Counts so far.
    pub fn counts(&self) -> LoadCounts {
        lock(&self.service.state).counts
    }
}

impl Service for WeightStoreService {
    type Settings = WeightStoreSettings;

    fn new(settings: WeightStoreSettings) -> Self {
        Self { settings: Mutex::new(settings), state: Mutex::default() }
    }

    fn settings(&self) -> &Mutex<WeightStoreSettings> {
        &self.settings
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let settings = lock(&self.settings).clone();
        if settings.outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        if request.uri().path() != "/loads" {
            return text(StatusCode::NOT_FOUND, "no such path");
        }
        if request.method() == Method::GET {
            let counts = lock(&self.state).counts;
            return json(StatusCode::OK, &counts);
        }
        let body = read_body(request.into_body()).await?;
        let Ok(load) = serde_json::from_slice::<LoadBody>(&body) else {
            return text(StatusCode::BAD_REQUEST, "malformed load");
        };
        self.load(&settings, &load).await
    }
}

impl WeightStoreService {
    async fn load(&self, settings: &WeightStoreSettings, load: &LoadBody) -> Reply {
        let concurrent = settings.concurrent_loads.max(1);
        let (running, running_now) = {
            let mut state = lock(&self.state);
            #[expect(clippy::cast_precision_loss, reason = "rates are small")]
            let per_s = settings.loads_per_1000_s as f64 / 1_000.0;
            if !state.rate.take(per_s, f64::from(concurrent)) {
                state.counts.refused += 1;
                return text(StatusCode::TOO_MANY_REQUESTS, "load rate");
            }
            state.running += 1;
            state.counts.started += 1;
            state.counts.most_concurrent = state.counts.most_concurrent.max(state.running);
            (Running(self), state.running)
        };
        log::debug!("event=load target={} name={} mb={}", load.target, load.name, load.megabytes);
        // Beyond the limit the loads share the store's bandwidth.
        let shared = u64::from(running_now.max(concurrent));
        let load_ms = load.load_ms.unwrap_or(settings.load_ms);
        wait_ms(load_ms * shared / u64::from(concurrent)).await;
        drop(running);
        text(StatusCode::OK, "{}")
    }
}
