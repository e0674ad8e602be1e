//! Plain answers without a length whose worker is killed before they end.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::deployment::{
    Folder, Gateway, Process, Record, Route, configuration, entry, has_trouble, own_ip, request,
    unix_ms,
};
use crate::http::{Answer, Connection, call, response, serve};
use crate::store::Store;

/// Workers at any time; one of them is killed in a round, which is a share of 0.143.
const WORKERS: u16 = 7;
const ROUNDS: u16 = 6;
/// Parts of a body without a length, and the pause before each but the first.
const PARTS: usize = 4;
const PART_PAUSE: Duration = Duration::from_millis(150);
/// When the worker is killed, counted from its first part: between two parts.
const KILL_AFTER: Duration = Duration::from_millis(225);
/// How long a killed worker is down; another one starts then.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time in which the gateway learns of a worker.
const LEARN: Duration = Duration::from_millis(1_200);
/// Pause between two requests that are answered with a length.
const USUAL_PAUSE: Duration = Duration::from_millis(100);
/// Path whose answers have no length.
const REPORT_PATH: &str = "report";

fn part(id: &str, number: usize) -> String {
    format!("{id}: line {number} of {PARTS}; {}\n", "x".repeat(160))
}

fn whole_body(id: &str) -> String {
    (1..=PARTS).map(|number| part(id, number)).collect()
}

/// Runs a worker that listens at `address` until the process is killed. It prints the id of each
/// request that it answers without a length.
pub fn run_worker(address: &str) -> ExitCode {
    let Ok(listener) = TcpListener::bind(address) else { return ExitCode::from(2) };
    println!("listening");
    serve(listener, |mut connection| {
        while let Ok(Some(head)) = connection.read_head() {
            let id = head.get("plantainbeam-attempt-id").unwrap_or_default().to_owned();
            if connection.read_exact(head.content_length().unwrap_or(0)).is_err() {
                return;
            }
            let fields =
                format!("Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Response-Seal: s.{id}\r\n");
            if !head.target().ends_with(REPORT_PATH) {
                if connection.write(&response(200, &fields, whole_body(&id).as_bytes())).is_err() {
                    return;
                }
                continue;
            }
            let head = format!("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n");
            let mut written = connection.write(head.as_bytes());
            println!("{id}");
            for number in 1..=PARTS {
                if number > 1 {
                    thread::sleep(PART_PAUSE);
                }
                written = written.and_then(|()| connection.write(part(&id, number).as_bytes()));
            }
            // The gateway may have closed the connection; the end of this one ends the body.
            drop(written);
            return;
        }
    });
    loop {
        thread::park();
    }
}

struct Worker {
    id: String,
    process: Process,
}

/// Starts a worker process and writes its entry; `reports` gets its id when it answers without a length.
fn start_worker(number: u16, store: &Store, reports: &Sender<u16>) -> io::Result<Worker> {
    let address = SocketAddr::from((own_ip(10), 8_300 + number));
    let mut child = Command::new(std::env::current_exe()?)
        .args(["unframed-worker", &address.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let process = Process(child);
    let mut lines = BufReader::new(output).lines();
    if lines.next().transpose()?.as_deref() != Some("listening") {
        return Err(io::Error::other("a worker doesn't listen"));
    }
    let reports = reports.clone();
    thread::spawn(move || {
        for _line in lines.map_while(Result::ok) {
            // The scenario may have ended.
            let _sent = reports.send(number);
        }
    });
    let id = format!("i-{number:08x}");
    let text = entry(address, "caerdydd-a", "ready", unix_ms(), 1);
    store.put("keyed.servers", &id, text.as_bytes());
    Ok(Worker { id, process })
}

fn ask(gateway: SocketAddr, method: &str, path: &str, id: &str) -> Answer {
    let limit = Duration::from_secs(4);
    match Connection::open(gateway, Duration::from_secs(1)) {
        Ok(mut connection) => {
            call(&mut connection, &request(method, path, id, 4_000, b"one keepsake"), limit)
        }
        Err(error) => Answer { error: Some(error.to_string()), ..Answer::default() },
    }
}

/// Runs the case.
pub fn run(record: &Record) -> Outcome {
    let folder = Folder::create()?;
    let store = Store::start((own_ip(0), 8_225).into())?;
    let routes = [
        Route { name: "orders", kind: "non_idempotent", attempts: 1, timeout_ms: 2_000 },
        Route { name: "preview", kind: "idempotent", attempts: 2, timeout_ms: 2_000 },
    ];
    store.put("keyed.op", "config", configuration(&routes).as_bytes());
    let (sender, reports): (Sender<u16>, Receiver<u16>) = channel();
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(start_worker(number, &store, &sender)?);
    }
    let gateway = Gateway::start(&folder, 1, "front-caerdydd-a-1", "caerdydd-a", store.address)?;
    gateway.wait_ready()?;
    thread::sleep(LEARN);

    let ends = Arc::new(AtomicBool::new(false));
    let usual = {
        let (ends, callers, served) = (Arc::clone(&ends), gateway.callers, AtomicU32::new(0));
        thread::spawn(move || {
            for number in 0.. {
                if ends.load(Ordering::Relaxed) {
                    return (number, served.into_inner());
                }
                let id = format!("usual-{number}");
                let answer = ask(callers, "GET", "/preview/page", &id);
                let is_whole = answer.body == whole_body(&id).as_bytes();
                served.fetch_add(u32::from(answer.status() == 200 && is_whole), Ordering::Relaxed);
                thread::sleep(USUAL_PAUSE);
            }
            unreachable!("the loop ends with the scenario")
        })
    };
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let (method, path) = match round % 2 {
            0 => ("GET", format!("/preview/{REPORT_PATH}")),
            _ => ("POST", format!("/orders/{REPORT_PATH}")),
        };
        let id = format!("request-{round}");
        record.note(format!("{id} is sent: {method} {path}"));
        let (callers, asked_id) = (gateway.callers, id.clone());
        let asked = thread::spawn(move || ask(callers, method, &path, &asked_id));
        let number = reports.recv_timeout(Duration::from_secs(2)).map_err(io::Error::other)?;
        let at = workers.iter().position(|worker| worker.id == format!("i-{number:08x}"));
        let at = at.ok_or_else(|| io::Error::other("an ended worker answers"))?;
        record.note(format!(
            "worker {} runs {id} and sends an answer without a length",
            workers[at].id
        ));
        thread::sleep(KILL_AFTER);
        if has_trouble() {
            workers[at].process.0.kill()?;
            record.note(format!("worker {} is killed", workers[at].id));
        }
        let answer = asked.join().map_err(|_| io::Error::other("a caller failed"))?;
        let whole = whole_body(&id);
        let is_whole = answer.body == whole.as_bytes();
        record.note(format!(
            "{id} got status {}, seal {}, content-length {}, {} of the worker's {} bytes, complete \
             by its framing: {}, error {:?}",
            answer.status(),
            answer.has_seal(),
            answer.head.as_ref().and_then(|head| head.get("content-length")).unwrap_or("none"),
            answer.body.len(),
            whole.len(),
            answer.is_complete,
            answer.error
        ));
        let is_served = is_whole && answer.status() == 200;
        if !has_trouble() && !is_served {
            return Err(io::Error::other("an undisturbed request got no whole answer"));
        }
        if (200..300).contains(&answer.status()) && answer.is_complete && !is_whole {
            broken += 1;
            record.note(format!("{id}: a success whose body isn't the worker's whole body"));
        }
        thread::sleep(DOWN);
        if has_trouble() {
            store.put("keyed.servers", &workers[at].id, b"");
            workers[at] = start_worker(WORKERS + round, &store, &sender)?;
            thread::sleep(LEARN);
        }
    }
    ends.store(true, Ordering::Relaxed);
    let (sent, served) = usual.join().map_err(|_| io::Error::other("a caller failed"))?;
    record.note(format!("{served} of {sent} requests beside them got whole answers with a length"));
    for line in gateway.log_lines(&["request_id=request-"]) {
        record.note(format!("{}: {line}", gateway.name));
    }
    record.note(format!("{broken} of {ROUNDS} answers were cut and looked complete"));
    if served * 10 < sent * 9 {
        return Err(io::Error::other("the requests beside them were not served"));
    }
    Ok(broken == 0)
}
