//! Stand-in of a model worker: its memory, its orders and its streams, as PROTOCOL.md has them.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, json_number, json_text, respond};
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of the worker's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time to load an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// What a model takes, which the worker itself knows.
#[derive(Clone, Debug)]
pub struct ModelSize {
    pub name: &'static str,
    pub weights_mb: u64,
    pub adapter_mb: u64,
}

/// A worker's limits and what models take.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub weights_mb: u64,
    pub adapter_slots: usize,
    pub load: Duration,
    pub sizes: Vec<ModelSize>,
    /// Models that it holds at its first start.
    pub preloaded: Vec<&'static str>,
    /// Part of a prompt that ends it when it begins to write an answer on it, and the time until it is back.
    pub crashing_part: Option<(String, Duration)>,
}

#[derive(Default)]
struct State {
    /// Unix time of its start in milliseconds.
    born_ms: u128,
    /// Models with their adapters.
    held: Vec<(String, Vec<String>)>,
    /// Model that is being loaded, and when it is there.
    loading: Option<(String, Instant)>,
    /// Adapters that are being loaded, as model and adapter.
    incoming: Vec<(String, String, Instant)>,
    sequence: u64,
    highest_fence: u64,
    running: Vec<String>,
}

/// A running worker; clones share it.
#[derive(Clone)]
pub struct Engine {
    settings: Arc<EngineSettings>,
    state: Arc<Mutex<State>>,
    /// Whether it was ordered to load more than it holds and has ended.
    crashed: Arc<AtomicBool>,
    /// Number of its life; it changes when a crash begins.
    life: Arc<AtomicU64>,
    store: Store,
    record: Record,
}

impl Engine {
    /// Starts a worker that keeps its entry in the store.
    pub fn start(settings: EngineSettings, store: &Store, record: &Record) -> io::Result<Self> {
        let held = settings.preloaded.iter().map(|name| ((*name).to_owned(), Vec::new())).collect();
        let born_ms = unix_ms();
        let engine = Self {
            state: Arc::new(Mutex::new(State { held, born_ms, ..State::default() })),
            settings: Arc::new(settings),
            crashed: Arc::default(),
            life: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        engine.begin_life()?;
        Ok(engine)
    }

    /// Listens, and keeps its entry in the store, until the life ends.
    fn begin_life(&self) -> io::Result<()> {
        let life = self.life.load(Ordering::SeqCst);
        let listener = TcpListener::bind(self.settings.address)?;
        listener.set_nonblocking(true)?;
        let engine = self.clone();
        thread::spawn(move || {
            while engine.lives(life) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let engine = engine.clone();
                        thread::spawn(move || engine.serve_connection(socket, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        let engine = self.clone();
        thread::spawn(move || {
            while engine.lives(life) {
                engine.store.put("keyed.servers", &engine.id(life), engine.entry().as_bytes());
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    /// Ends the life; the worker is back after this time, empty and under another identifier.
    fn crash_for(&self, time: Duration) {
        let life = self.life.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("worker {} crashes", self.id(life)));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            // The entry of the life before goes after three heartbeats of silence.
            *engine.state() = State { born_ms: unix_ms(), ..State::default() };
            if let Err(error) = engine.begin_life() {
                engine.record.line(&format!("the worker doesn't come back: {error}"));
            }
            thread::sleep((3 * HEARTBEAT).saturating_sub(time));
            engine.store.put("keyed.servers", &engine.id(life), b"");
        });
    }

    /// Identifier in this life.
    fn id(&self, life: u64) -> String {
        match life {
            0 => self.settings.id.clone(),
            _ => format!("{}-{life}", self.settings.id),
        }
    }

    fn lives(&self, life: u64) -> bool {
        !self.has_crashed() && self.life.load(Ordering::SeqCst) == life
    }

    /// Whether an order has ended it.
    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    /// Whether a model is loaded.
    pub fn holds(&self, model: &str) -> bool {
        let state = self.state();
        state.held.iter().any(|(name, _)| name == model)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some((model, _)) = state.loading.take_if(|(_, at)| now >= *at) {
            state.held.push((model, Vec::new()));
        }
        let ready: Vec<_> = state.incoming.extract_if(.., |(_, _, at)| now >= *at).collect();
        for (model, adapter, _) in ready {
            if let Some((_, adapters)) = state.held.iter_mut().find(|(name, _)| *name == model) {
                adapters.push(adapter);
            }
        }
        state
    }

    fn models_json(state: &State) -> String {
        let models: Vec<String> = state
            .held
            .iter()
            .map(|(name, adapters)| {
                let adapters: Vec<String> =
                    adapters.iter().map(|name| format!("\"{name}\"")).collect();
                format!(
                    "{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}",
                    adapters.join(",")
                )
            })
            .collect();
        format!("[{}]", models.join(","))
    }

    fn entry(&self) -> String {
        let state = self.state();
        let EngineSettings { service, address, .. } = &*self.settings;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"caerdydd-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"stage\":\"both\",\"models\":{},\"sequence\":{},\"born\":{}}}",
            Self::models_json(&state),
            state.sequence,
            state.born_ms
        )
    }

    fn report(&self) -> String {
        let state = self.state();
        let incoming: Vec<String> = state
            .incoming
            .iter()
            .map(|(model, adapter, _)| format!("\"{model}/{adapter}@1\""))
            .collect();
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\"waiting_count\":0,\
             \"running_count\":{},\"cache_used\":1000,\"cache_total\":200000,\"handles\":0,\
             \"incoming\":[{}],\"born\":{}}}",
            Self::models_json(&state),
            state.loading.is_some(),
            state.sequence,
            state.running.len(),
            incoming.join(","),
            state.born_ms
        )
    }

    fn serve_connection(&self, socket: TcpStream, life: u64) {
        let _blocking = socket.set_nonblocking(false);
        let _nodelay = socket.set_nodelay(true);
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = BufReader::new(socket);
        while let Ok(Some(request)) = Request::read(&mut reader) {
            if !self.lives(life) {
                break;
            }
            let is_other = request
                .header("plantainbeam-expect-instance")
                .is_some_and(|expected| expected != self.id(life));
            let answered = match (request.method.as_str(), request.path()) {
                ("GET", "/report") => {
                    let body = self.report();
                    respond(
                        &mut writer,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        body.as_bytes(),
                    )
                }
                _ if is_other => self.misdirected(&request, &mut writer, life),
                ("POST", "/order") => {
                    let status = self.take_order(&request.body);
                    if self.has_crashed() {
                        break;
                    }
                    respond(&mut writer, status, "", b"")
                }
                _ => self.generate(&request, &mut writer, life),
            };
            if answered.is_err() {
                break;
            }
        }
        let _closed = writer.shutdown(Shutdown::Both);
    }

    fn misdirected(&self, request: &Request, writer: &mut TcpStream, life: u64) -> io::Result<()> {
        let id = request.header("plantainbeam-attempt-id").unwrap_or_default();
        let headers = format!(
            "Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Instance-Id: {}\r\nPlantainbeam-Not-Executed: 1\r\n",
            self.id(life)
        );
        respond(writer, "421 Misdirected Request", &headers, b"")
    }

    /// Carries an order out, or ends the worker if it is told to load more than it holds.
    fn take_order(&self, body: &[u8]) -> &'static str {
        const CONFLICT: &str = "409 Conflict";
        let (Some(_), Some(fence)) =
            (json_text(body, "holder"), json_number(body, "fencing_token"))
        else {
            return "400 Bad Request";
        };
        let loads = json_text(body, "operation").as_deref() == Some("loading");
        let model = json_text(body, "model").unwrap_or_default();
        let adapter = json_text(body, "adapter");
        let mut state = self.state();
        if fence < state.highest_fence {
            return "412 Precondition Failed";
        }
        let is_expected = json_number(body, "expected").is_none_or(|count| count == state.sequence);
        if !is_expected || state.loading.is_some() {
            return CONFLICT;
        }
        state.highest_fence = fence;
        let held = state.held.iter().position(|(name, _)| *name == model);
        match (loads, adapter, held) {
            (true, None, Some(_)) => return "200 OK",
            (true, None, None) => {
                let needed = self.size(&model).weights_mb;
                if !self.has_room(&state, &model, needed, 0) {
                    return CONFLICT;
                }
                state.loading = Some((model.clone(), Instant::now() + self.settings.load));
                self.record.line(&format!("the worker loads {model} of {needed} MB"));
            }
            (true, Some(adapter), Some(at)) => {
                let is_coming = state.incoming.iter().any(|(m, a, _)| *m == model && *a == adapter);
                if state.held[at].1.contains(&adapter) || is_coming {
                    return "200 OK";
                }
                let needed = self.size(&model).adapter_mb;
                if !self.has_room(&state, &format!("{model}/{adapter}"), needed, 1) {
                    return CONFLICT;
                }
                state.incoming.push((
                    model.clone(),
                    adapter.clone(),
                    Instant::now() + ADAPTER_LOAD,
                ));
                self.record.line(&format!("the worker loads {model}/{adapter} of {needed} MB"));
            }
            (false, None, Some(at)) => {
                if state.running.iter().any(|run| run.split('/').next() == Some(&model)) {
                    return CONFLICT;
                }
                state.held.remove(at);
                self.record.line(&format!("the worker drops {model}"));
            }
            (false, Some(adapter), Some(at)) => {
                if state.running.contains(&format!("{model}/{adapter}")) {
                    return CONFLICT;
                }
                state.held[at].1.retain(|known| *known != adapter);
                self.record.line(&format!("the worker drops {model}/{adapter}"));
                state.sequence += 1;
                return "200 OK";
            }
            (_, _, None) => return CONFLICT,
        }
        state.sequence += 1;
        "202 Accepted"
    }

    fn size(&self, model: &str) -> ModelSize {
        let known = self.settings.sizes.iter().find(|size| size.name == model);
        known.cloned().unwrap_or(ModelSize { name: "", weights_mb: 0, adapter_mb: 0 })
    }

    /// Whether there is room; if not, the worker crashes, as PROTOCOL.md says.
    fn has_room(&self, state: &State, what: &str, needed_mb: u64, slots: usize) -> bool {
        let models: u64 = state.held.iter().map(|(name, _)| self.size(name).weights_mb).sum();
        let loaded =
            state.held.iter().flat_map(|(name, adapters)| adapters.iter().map(move |_| name));
        let coming = state.incoming.iter().map(|(name, _, _)| name);
        let adapters: Vec<u64> =
            loaded.chain(coming).map(|name| self.size(name).adapter_mb).collect();
        let used_mb = models + adapters.iter().sum::<u64>();
        let limit_mb = self.settings.weights_mb;
        if used_mb + needed_mb <= limit_mb && adapters.len() + slots <= self.settings.adapter_slots
        {
            return true;
        }
        self.record.line(&format!(
            "the worker is ordered to load {what} of {needed_mb} MB beside {used_mb} MB ({} adapters); \
             it holds {limit_mb} MB and {} adapters: it crashes with {} requests running",
            adapters.len(),
            self.settings.adapter_slots,
            state.running.len()
        ));
        self.crashed.store(true, Ordering::SeqCst);
        false
    }

    fn generate(&self, request: &Request, writer: &mut TcpStream, life: u64) -> io::Result<()> {
        let id = request.header("plantainbeam-attempt-id").unwrap_or_default().to_owned();
        let name = request.header("plantainbeam-model").unwrap_or_default().to_owned();
        let (model, adapter) = match name.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name.as_str(), None),
        };
        {
            let mut state = self.state();
            let is_held = state.held.iter().any(|(held, adapters)| {
                held == model
                    && adapter.is_none_or(|adapter| adapters.iter().any(|known| known == adapter))
            });
            if !is_held {
                drop(state);
                return self.misdirected(request, writer, life);
            }
            state.running.push(name.clone());
        }
        self.record.line(&format!("the worker runs {id} on {name}"));
        let result = self.stream(request, &id, writer, life);
        let mut state = self.state();
        if let Some(at) = state.running.iter().position(|run| *run == name) {
            state.running.remove(at);
        }
        result
    }

    fn stream(
        &self,
        request: &Request,
        id: &str,
        writer: &mut TcpStream,
        life: u64,
    ) -> io::Result<()> {
        let counts = request.header("plantainbeam-token-counts").unwrap_or("100,40");
        let output: u64 = counts.split(',').nth(1).and_then(|text| text.parse().ok()).unwrap_or(40);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Response-Seal: seal-{id}\r\n\
             Plantainbeam-Weight-Versions: 1\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        if let Some((part, down)) = &self.settings.crashing_part {
            let parts = request.header("plantainbeam-prompt-prefix").unwrap_or_default();
            if parts.split(',').any(|named| named.split(':').next() == Some(part)) {
                thread::sleep(EVENT_INTERVAL / 2);
                if self.lives(life) {
                    self.crash_for(*down);
                }
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        for number in 1..=output.div_ceil(4) {
            thread::sleep(EVENT_INTERVAL);
            if !self.lives(life) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}
