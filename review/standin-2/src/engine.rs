//! Stand-in of a model worker, a process of its own that can be killed.
//!
//! It writes a line to its standard output for each run that begins or ends.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, response, serve};
use crate::store::{number, text};

/// How a worker behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub address: SocketAddr,
    /// Id of this life.
    pub id: String,
    /// Version of the software.
    pub version: String,
    /// Model that it can hold.
    pub model: String,
    /// Whether it holds the model from the start; a worker that starts later or again holds nothing.
    pub holds_model: bool,
    /// Whether it has a copy of the model on its disk, as after a restart.
    pub has_copy: bool,
    /// Time between two events.
    pub event_ms: u64,
    /// Whether streams have neither a length nor chunks.
    pub unframed: bool,
    /// Part of a prompt on which the worker crashes when it begins to write an answer; none if empty.
    pub deadly_part: String,
    /// Whether the head of a response is written before the crash.
    pub head_first: bool,
}

impl EngineOptions {
    /// Arguments of the process that runs such a worker.
    pub fn arguments(&self) -> Vec<String> {
        vec![
            "engine".into(),
            self.address.to_string(),
            self.id.clone(),
            self.version.clone(),
            self.model.clone(),
            self.holds_model.to_string(),
            self.has_copy.to_string(),
            self.event_ms.to_string(),
            self.unframed.to_string(),
            self.deadly_part.clone(),
            self.head_first.to_string(),
        ]
    }

    fn parse(arguments: &[String]) -> Option<Self> {
        let [
            address,
            id,
            version,
            model,
            holds_model,
            has_copy,
            event_ms,
            unframed,
            deadly_part,
            head_first,
        ] = arguments
        else {
            return None;
        };
        Some(Self {
            address: address.parse().ok()?,
            id: id.clone(),
            version: version.clone(),
            model: model.clone(),
            holds_model: holds_model.parse().ok()?,
            has_copy: has_copy.parse().ok()?,
            event_ms: event_ms.parse().ok()?,
            unframed: unframed.parse().ok()?,
            deadly_part: deadly_part.clone(),
            head_first: head_first.parse().ok()?,
        })
    }
}

/// Time to load the model from the store and from the disk.
const LOAD_TIME: Duration = Duration::from_millis(1_200);
const DISK_LOAD_TIME: Duration = Duration::from_millis(570);

/// What the worker holds, and the orders that it has accepted.
#[derive(Debug, Default)]
struct State {
    holds_model: bool,
    is_loading: bool,
    accepted: u64,
    fence: u64,
}

/// State of the worker, shared by its connections.
#[derive(Clone, Debug)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a worker until its process is killed.
pub fn run(arguments: &[String]) -> io::Result<()> {
    let options = EngineOptions::parse(arguments)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "wrong arguments"))?;
    let listener = TcpListener::bind(options.address)?;
    let born_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    println!("started {born_ms}");
    let holds_model = options.holds_model;
    let orders = Shared(Arc::new(Mutex::new(State { holds_model, ..State::default() })));
    serve(listener, move |head, body, socket| {
        answer(&options, &orders, born_ms, head, body, socket)
    });
    loop {
        sleep(Duration::from_secs(3_600));
    }
}

/// Description of what a worker holds.
fn models(model: &str, holds_model: bool) -> String {
    if !holds_model {
        return "[]".to_owned();
    }
    format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]")
}

/// Entry of a worker in the store's list.
pub fn entry(
    options: &EngineOptions,
    service: &str,
    zone: &str,
    born_ms: u64,
    state: &str,
    holds_model: bool,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\"slots\":64,\
         \"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":{},\"sequence\":0,\"born\":{born_ms}}}",
        options.address,
        options.version,
        models(&options.model, holds_model)
    )
}

fn answer(
    options: &EngineOptions,
    orders: &Shared,
    born_ms: u64,
    head: &Head,
    body: &[u8],
    socket: &mut TcpStream,
) -> io::Result<bool> {
    let id = head.field("plantainbeam-attempt-id").unwrap_or_default();
    let expected = head.field("plantainbeam-expect-instance");
    let instance = ("Plantainbeam-Instance-Id", options.id.as_str());
    if expected.is_some_and(|expected| expected != options.id) {
        let echo = ("Plantainbeam-Attempt-Id", id);
        socket.write_all(&response(421, &[instance, echo], b""))?;
        return Ok(true);
    }
    match head.path() {
        "/health" => socket.write_all(&response(200, &[instance], b""))?,
        "/report" => {
            let report = {
                let state = orders.lock();
                let on_disk = if options.has_copy || state.holds_model {
                    format!("\"{}\"", options.model)
                } else {
                    String::new()
                };
                format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\"waiting_count\":0,\
                     \"running_count\":0,\"cache_used\":0,\"cache_total\":90000,\"handles\":0,\"born\":{born_ms},\
                     \"available\":{{\"in_memory\":[],\"on_disk\":[{on_disk}]}}}}",
                    models(&options.model, state.holds_model),
                    state.is_loading,
                    state.accepted
                )
            };
            socket.write_all(&response(
                200,
                &[("Content-Type", "application/json")],
                report.as_bytes(),
            ))?;
        }
        "/order" => {
            let status = order(options, orders, &String::from_utf8_lossy(body));
            socket.write_all(&response(status, &[], b""))?;
        }
        _ if id.is_empty() => {
            let fields = [instance, ("Plantainbeam-Not-Executed", "1")];
            socket.write_all(&response(400, &fields, b""))?;
        }
        _ if !orders.lock().holds_model => {
            let echo = ("Plantainbeam-Attempt-Id", id);
            socket.write_all(&response(421, &[instance, echo], b""))?;
        }
        _ => return generate(options, head, id, socket),
    }
    Ok(true)
}

/// Takes an order to load the model; others don't fit.
fn order(options: &EngineOptions, orders: &Shared, body: &str) -> u16 {
    let mut state = orders.lock();
    let token = number(body, "fencing_token");
    if token < state.fence {
        return 412;
    }
    state.fence = token;
    if state.is_loading || number(body, "expected") != state.accepted {
        return 409;
    }
    if text(body, "operation") != "loading" || text(body, "model") != options.model {
        return 400;
    }
    if state.holds_model {
        return 200;
    }
    state.is_loading = true;
    state.accepted += 1;
    let (orders, time) =
        (orders.clone(), if options.has_copy { DISK_LOAD_TIME } else { LOAD_TIME });
    thread::spawn(move || {
        sleep(time);
        let mut state = orders.lock();
        state.is_loading = false;
        state.holds_model = true;
        println!("holds the model");
    });
    202
}

fn generate(
    options: &EngineOptions,
    head: &Head,
    id: &str,
    socket: &mut TcpStream,
) -> io::Result<bool> {
    let parts: Vec<&str> = head
        .field("plantainbeam-prompt-prefix")
        .unwrap_or_default()
        .split(',')
        .map(|part| part.split(':').next().unwrap_or_default())
        .collect();
    let is_deadly =
        !options.deadly_part.is_empty() && parts.contains(&options.deadly_part.as_str());
    println!("run {id} {}", if is_deadly { "deadly" } else { "sound" });
    // Reads the prompt.
    sleep(Duration::from_millis(60));
    let seal = format!("{}.{id}", options.id);
    let mut start = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPlantainbeam-Attempt-Id: {id}\r\n\
         Plantainbeam-Response-Seal: {seal}\r\nPlantainbeam-Server-Load: 1,0,64\r\n"
    );
    start.push_str(if options.unframed {
        "Connection: close\r\n\r\n"
    } else {
        "Transfer-Encoding: chunked\r\n\r\n"
    });
    if is_deadly {
        if options.head_first {
            socket.write_all(start.as_bytes())?;
            sleep(Duration::from_millis(20));
        }
        println!("crash {id}");
        io::stdout().flush()?;
        std::process::abort();
    }
    socket.write_all(start.as_bytes())?;
    let counts = head.field("plantainbeam-token-counts").unwrap_or("0,4");
    let tokens: u64 = counts.split(',').nth(1).and_then(|count| count.parse().ok()).unwrap_or(4);
    let last = tokens.div_ceil(4);
    let after = head.field("last-event-id").and_then(|event| event.parse().ok()).unwrap_or(0_u64);
    for number in after + 1..=last {
        let event = format!(
            "id: {number}\ndata: {} {} piece {number} of {last}\n\n",
            options.id, options.version
        );
        let part = match options.unframed {
            true => event,
            false => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        if socket.write_all(part.as_bytes()).is_err() {
            println!("left {id} after {number}");
            return Ok(false);
        }
        sleep(Duration::from_millis(options.event_ms));
    }
    if !options.unframed {
        socket.write_all(b"0\r\n\r\n")?;
    }
    println!("whole {id} {last}");
    Ok(!options.unframed)
}
