//! An engine that leaves an order unanswered, restarts under its id and then gets the order late.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{
    Agent, ENGINE_SERVICE, Folder, Gateway, Record, engine_configuration, has_trouble, own_ip,
    unix_ms,
};
use crate::http::{Connection, Head, call, response, serve};
use crate::store::Store;

/// Engines; one of them crashes, which is a share of 0.25.
const ENGINES: u8 = 4;
/// Models; an engine has room for two.
const MODELS: u8 = 12;
const MODEL_MB: u32 = 72_700;
const ENGINE_MB: u32 = 200_000;
const DISK_LOAD: Duration = Duration::from_millis(840);
const STORE_LOAD: Duration = Duration::from_millis(4_200);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which the crashed engine is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Bounds of the time after which an order without an answer is carried out.
const LATE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));
/// Limit on the whole run.
const LIMIT: Duration = Duration::from_secs(60);

fn model(number: u8) -> String {
    format!("daka{number:02}")
}

/// An order as the engine got it.
#[derive(Clone, Debug)]
struct Order {
    body: String,
    operation: String,
    model: String,
    expected: Option<u64>,
    fencing: u64,
}

#[derive(Default)]
struct State {
    is_down: bool,
    born_ms: u128,
    sequence: u64,
    fence: u64,
    loaded: Vec<String>,
    /// Model of the order under way, whether it is a load, and when it ends.
    change: Option<(String, bool, Instant)>,
    on_disk: Vec<String>,
    running: u32,
}

impl State {
    fn settle(&mut self, record: &Record, id: &str) {
        if let Some((model, loading, end)) = self.change.clone()
            && Instant::now() >= end
            && (loading || self.running == 0)
        {
            self.change = None;
            match loading {
                true => {
                    self.loaded.push(model.clone());
                    if !self.on_disk.contains(&model) {
                        self.on_disk.push(model.clone());
                    }
                }
                false => self.loaded.retain(|known| *known != model),
            }
            record
                .note(format!("{id}: {model} is {}", if loading { "loaded" } else { "unloaded" }));
        }
    }

    fn used_mb(&self) -> u32 {
        let loading = self.change.as_ref().is_some_and(|change| change.1);
        (self.loaded.len() as u32 + u32::from(loading)) * MODEL_MB
    }

    fn models_json(&self) -> String {
        let entry =
            |name: &String| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
        self.loaded.iter().map(entry).collect::<Vec<_>>().join(",")
    }

    fn available_json(&self) -> String {
        let names: Vec<String> = self.on_disk.iter().map(|name| format!("\"{name}\"")).collect();
        format!("{{\"in_memory\":[],\"on_disk\":[{}]}}", names.join(","))
    }
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reply {
    Status(u16),
    /// The order was carried out and more is loaded than fits.
    Crash,
}

struct Engine {
    id: String,
    address: SocketAddr,
    state: Mutex<State>,
    /// Order that the engine leaves unanswered, as (model, expected), and when it got it.
    withheld: Mutex<Option<(Order, Instant)>>,
    /// Model whose next load is to be withheld.
    withhold: Mutex<Option<String>>,
    broke: AtomicBool,
    record: Record,
}

impl Engine {
    fn entry(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"service\":\"{ENGINE_SERVICE}\",\"address\":\"{}\",\"zone\":\"caerdydd-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":{},\"born\":{},\"stage\":\"both\",\"models\":[{}],\"available\":{}}}",
            self.address,
            state.sequence,
            state.born_ms,
            state.models_json(),
            state.available_json()
        )
    }

    fn report(&self) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        state.settle(&self.record, &self.id);
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"waiting_count\":0,\
             \"running_count\":{},\"cache_used\":0,\"cache_total\":283072,\"handles\":0,\
             \"born\":{},\"incoming\":[],\"available\":{}}}",
            state.models_json(),
            state.change.is_some(),
            state.sequence,
            state.running,
            state.born_ms,
            state.available_json()
        );
        response(200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    /// Carries out an order.
    fn order(&self, order: &Order, how: &str) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.settle(&self.record, &self.id);
        let reply = if order.fencing < state.fence {
            Reply::Status(412)
        } else if state.change.is_some()
            || order.expected.is_some_and(|expected| expected != state.sequence)
        {
            Reply::Status(409)
        } else if state.loaded.contains(&order.model) == (order.operation == "loading") {
            Reply::Status(200)
        } else {
            state.fence = order.fencing;
            state.sequence += 1;
            let loading = order.operation == "loading";
            let took = match (loading, state.on_disk.contains(&order.model)) {
                (false, _) => Duration::from_millis(50),
                (true, true) => DISK_LOAD,
                (true, false) => STORE_LOAD,
            };
            state.change = Some((order.model.clone(), loading, Instant::now() + took));
            if state.used_mb() > ENGINE_MB { Reply::Crash } else { Reply::Status(202) }
        };
        if reply != Reply::Status(409) || !how.is_empty() {
            self.record.note(format!(
                "{}: order{how} {} -> {reply:?}; sequence is {}, {} of {ENGINE_MB} MB are in use or being \
                 loaded",
                self.id,
                order.body,
                state.sequence,
                state.used_mb()
            ));
        }
        reply
    }

    fn handle_order(&self, head: &Head, body: &str) -> Option<Vec<u8>> {
        let id = self.id.clone();
        if head.get("plantainbeam-expect-instance").is_some_and(|expected| expected != id) {
            return Some(response(421, "", b""));
        }
        let order = Order {
            body: body.to_owned(),
            operation: json_text(body, "operation")?,
            model: json_text(body, "model")?,
            expected: json_number(body, "expected"),
            fencing: json_number(body, "fencing_token")?,
        };
        let mut withhold = self.withhold.lock().unwrap();
        if withhold.as_ref() == Some(&order.model) && order.operation == "loading" {
            *withhold = None;
            self.record.note(format!("{id}: order {body} is left unanswered"));
            *self.withheld.lock().unwrap() = Some((order, Instant::now()));
            return None;
        }
        drop(withhold);
        match self.order(&order, "") {
            Reply::Status(status) => Some(response(status, "", b"")),
            Reply::Crash => {
                self.broke.store(true, Ordering::SeqCst);
                None
            }
        }
    }

    /// Answers a request with a stream of three events.
    fn handle_request(&self, head: &Head) -> Vec<u8> {
        let id = head.get("plantainbeam-attempt-id").unwrap_or_default();
        let wanted = head.get("plantainbeam-model").unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        state.settle(&self.record, &self.id);
        let is_meant = head.get("plantainbeam-expect-instance") == Some(&self.id);
        let fields = format!("Plantainbeam-Attempt-Id: {id}\r\n");
        if !is_meant || !state.loaded.contains(&wanted) {
            return response(421, &format!("{fields}Plantainbeam-Not-Executed: 1\r\n"), b"");
        }
        let events: String = (1..=3).map(|event| format!("id: {event}\ndata: {id}\n\n")).collect();
        let fields = format!(
            "{fields}Plantainbeam-Response-Seal: s.{id}\r\nContent-Type: text/event-stream\r\n"
        );
        response(200, &fields, events.as_bytes())
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_exact(head.content_length().unwrap_or(0)) else {
                return;
            };
            if self.state.lock().unwrap().is_down {
                return;
            }
            let reply = match (head.method(), head.target()) {
                ("GET", "/report") => self.report(),
                ("POST", "/order") => {
                    match self.handle_order(&head, &String::from_utf8_lossy(&body)) {
                        Some(reply) => reply,
                        None => {
                            thread::sleep(Duration::from_secs(1));
                            return;
                        }
                    }
                }
                ("GET", "/health") => response(200, "", b""),
                _ => self.handle_request(&head),
            };
            if connection.write(&reply).is_err() {
                return;
            }
        }
    }
}

fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split('"').next()?.to_owned())
}

fn json_number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Asks for `model` until a request is served.
fn ask_until_served(record: &Record, gateway: SocketAddr, model: &str, until: Instant) -> bool {
    static NUMBERS: Mutex<BTreeMap<String, u32>> = Mutex::new(BTreeMap::new());
    while Instant::now() < until {
        let number = {
            let mut numbers = NUMBERS.lock().unwrap();
            let number = numbers.entry(model.to_owned()).or_default();
            *number += 1;
            *number
        };
        let id = format!("caption-{model}-{number}");
        let bytes = format!(
            "POST /captions/1 HTTP/1.1\r\nHost: {}\r\nPlantainbeam-Attempt-Id: {id}\r\n\
             Plantainbeam-Deadline-Milliseconds: 6000\r\nAuthorization: Bearer {}\r\n\
             Plantainbeam-Model: {model}\r\nPlantainbeam-Token-Counts: 100,12\r\n\
             Plantainbeam-Prompt-Prefix: {number:x}{}:100\r\nContent-Length: 2\r\n\r\nhi",
            crate::deployment::HOST,
            crate::deployment::KEY,
            model.trim_start_matches("daka")
        );
        let answer = Connection::open(gateway, Duration::from_secs(1))
            .map(|mut connection| call(&mut connection, bytes.as_bytes(), Duration::from_secs(6)))
            .unwrap_or_default();
        record.note(format!("{id} got status {}", answer.status()));
        if answer.status() == 200 && answer.is_complete {
            return true;
        }
        thread::sleep(Duration::from_millis(150));
    }
    false
}

/// Runs the case.
pub fn run(record: &Record) -> Outcome {
    let folder = Folder::create()?;
    let store = Store::start((own_ip(0), 8_225).into())?;
    let models: Vec<String> = (0..MODELS).map(model).collect();
    store.put("keyed.op", "config", engine_configuration(&models, MODEL_MB, ENGINE_MB).as_bytes());
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 0..ENGINES {
        let listener = TcpListener::bind((own_ip(20 + number), 8_305))?;
        // The first engine holds one model and has most of the others on its disk; the planner fills its
        // second place with the first order.
        let loaded = match number {
            0 => vec![model(0)],
            _ => vec![model(4 + 2 * number), model(5 + 2 * number)],
        };
        let on_disk = match number {
            0 => (0..6).map(model).collect(),
            _ => loaded.clone(),
        };
        let state = State { born_ms: unix_ms(), loaded, on_disk, ..State::default() };
        let engine = Arc::new(Engine {
            id: format!("i-{number:08x}"),
            address: listener.local_addr()?,
            state: Mutex::new(state),
            withheld: Mutex::default(),
            withhold: Mutex::default(),
            broke: AtomicBool::default(),
            record: record.clone(),
        });
        let served = Arc::clone(&engine);
        serve(listener, move |connection| served.serve(connection));
        let (beating, beats) = (Arc::clone(&engine), store.clone());
        thread::spawn(move || {
            loop {
                if !beating.state.lock().unwrap().is_down {
                    beats.put("keyed.servers", &beating.id, beating.entry().as_bytes());
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let name = format!("side-caerdydd-a-{}", number + 1);
        agents.push(Agent::start(&folder, 20 + number, &name, engine.address, store.address)?);
        engines.push(engine);
    }
    let gateway = Gateway::start(&folder, 1, "front-caerdydd-a-1", "caerdydd-a", store.address)?;
    gateway.wait_ready()?;
    let limit = Instant::now() + LIMIT;
    let engine = Arc::clone(&engines[0]);
    while engine.state.lock().unwrap().loaded.len() < 2 {
        if Instant::now() > limit {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the second place stays empty"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let callers = gateway.callers;

    if has_trouble() {
        *engine.withhold.lock().unwrap() = Some(model(2));
    }
    record.note(format!("{} is asked for", model(2)));
    ask_until_served(record, callers, &model(2), limit);
    // The demand for the model ends.
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        let Some((_, withheld_at)) = engine.withheld.lock().unwrap().clone() else {
            return Err(io::Error::other("no order for the model was withheld"));
        };
        {
            let mut state = engine.state.lock().unwrap();
            let on_disk = std::mem::take(&mut state.on_disk);
            *state = State { is_down: true, on_disk, ..State::default() };
        }
        record.note(format!("{} crashes", engine.id));
        thread::sleep(DOWN);
        {
            let mut state = engine.state.lock().unwrap();
            state.is_down = false;
            state.born_ms = unix_ms();
        }
        store.put("keyed.servers", &engine.id, engine.entry().as_bytes());
        record.note(format!("{} starts again under its id", engine.id));
        let (late, record) = (Arc::clone(&engine), record.clone());
        thread::spawn(move || {
            let Some((order, _)) = late.withheld.lock().unwrap().clone() else { return };
            while withheld_at.elapsed() < LATE.1 {
                thread::sleep(Duration::from_millis(5));
                if withheld_at.elapsed() < LATE.0 {
                    continue;
                }
                let is_due = {
                    let mut state = late.state.lock().unwrap();
                    state.settle(&record, &late.id);
                    Some(state.sequence) == order.expected && state.change.is_none()
                };
                if is_due {
                    let after = withheld_at.elapsed().as_millis();
                    let how = format!(" that was left unanswered {after} ms ago");
                    if late.order(&order, &how) == Reply::Crash {
                        late.broke.store(true, Ordering::SeqCst);
                    }
                    return;
                }
            }
            record.note("the late order found no moment at which its count holds");
        });
    }
    for number in [3, 4] {
        record.note(format!("{} is asked for", model(number)));
        ask_until_served(record, callers, &model(number), limit);
    }
    thread::sleep(Duration::from_secs(6));
    for line in gateway.log_lines(&["event=move_planned", "event=planner_changed"]) {
        record.note(format!("{}: {line}", gateway.name));
    }
    for line in agents[0].log_lines(&["event=order_given", "event=fencing_number_taken"]) {
        record.note(format!("{}: {line}", agents[0].name));
    }
    Ok(engines.iter().all(|engine| !engine.broke.load(Ordering::SeqCst)))
}
