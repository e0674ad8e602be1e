//! A worker that has told the store that it drains, and a gateway that reads an old part of the list.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{
    Folder, Gateway, Record, Route, configuration, entry, has_trouble, own_ip, request, unix_ms,
};
use crate::http::{Connection, call, response, serve};
use crate::store::Store;

/// Workers of the service. Each writes its entry every 1.2 s; with this number the list grows beyond
/// what one read returns within a minute, for which 16 workers need a few minutes.
const WORKERS: usize = 100;
/// Workers in the data centre of the gateway that is asked.
const NEAR_WORKERS: usize = 4;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Growth of the list after which the worker drains; one read returns 1,024 KB.
const LIST_GROWTH: u64 = 1_150_000;
const LIST_LIMIT: Duration = Duration::from_secs(100);
const DRAIN: Duration = Duration::from_millis(2_000);
/// When the first gateway is killed, counted from the worker's report.
const KILL_AFTER: Duration = Duration::from_millis(2_500);
/// How long the draining worker serves on, and how long requests are sent.
const LINGER: Duration = Duration::from_millis(8_000);
/// Callers of the second gateway, enough to keep all near workers busy: a gateway sends to the worker that it expects
/// to answer first, and with 8 callers it had no need of the draining one in a run beside a build.
const CALLERS: usize = 24;
/// Time that a request takes, as in the users' table for orders.
const WORK: Duration = Duration::from_millis(60);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// An arrival at a worker: its id, the request's id and the time.
type Arrival = (usize, String, Instant);

fn start_worker(number: usize, arrivals: &Arc<Mutex<Vec<Arrival>>>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((own_ip(10), 0))?;
    let address = listener.local_addr()?;
    let arrivals = Arc::clone(arrivals);
    serve(listener, move |mut connection| {
        while let Ok(Some(head)) = connection.read_head() {
            let id = head.get("plantainbeam-attempt-id").unwrap_or_default().to_owned();
            if connection.read_exact(head.content_length().unwrap_or(0)).is_err() {
                return;
            }
            let fields = format!("Plantainbeam-Attempt-Id: {id}\r\n");
            let reply = if head.get("plantainbeam-expect-instance") == Some(&worker_id(number)) {
                arrivals.lock().unwrap().push((number, id.clone(), Instant::now()));
                thread::sleep(WORK);
                let fields = format!("{fields}Plantainbeam-Response-Seal: s.{number}.{id}\r\n");
                response(200, &fields, format!("order {id} taken").as_bytes())
            } else {
                response(421, &format!("{fields}Plantainbeam-Not-Executed: 1\r\n"), b"")
            };
            if connection.write(&reply).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

fn worker_id(number: usize) -> String {
    format!("i-{number:08x}")
}

/// Runs the case.
pub fn run(record: &Record) -> Outcome {
    let folder = Folder::create()?;
    let store = Store::start((own_ip(0), 8_225).into())?;
    let route = Route { name: "orders", kind: "non_idempotent", attempts: 1, timeout_ms: 2_000 };
    store.put("keyed.op", "config", configuration(&[route]).as_bytes());
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let born_ms = unix_ms();
    let mut addresses = Vec::new();
    for number in 0..WORKERS {
        addresses.push(start_worker(number, &arrivals)?);
    }
    let drains = Arc::new(AtomicBool::new(false));
    let announce = {
        let (store, drains) = (store.clone(), Arc::clone(&drains));
        move |number: usize, beat: u64| {
            let zone = if number < NEAR_WORKERS { "caerdydd-a" } else { "caerdydd-b" };
            let state = match number == 0 && drains.load(Ordering::SeqCst) {
                true => "draining",
                false => "ready",
            };
            let text = entry(addresses[number], zone, state, born_ms, beat);
            store.put("keyed.servers", &worker_id(number), text.as_bytes());
        }
    };
    (0..WORKERS).for_each(|number| announce(number, 0));
    let beats = announce.clone();
    thread::spawn(move || {
        for beat in 1.. {
            for number in 0..WORKERS {
                beats(number, beat);
                thread::sleep(HEARTBEAT / WORKERS as u32);
            }
        }
    });

    let mut first = Gateway::start(&folder, 1, "front-caerdydd-a-1", "caerdydd-a", store.address)?;
    let second = Gateway::start(&folder, 2, "front-caerdydd-a-2", "caerdydd-a", store.address)?;
    first.wait_ready()?;
    second.wait_ready()?;
    let size = store.bytes("keyed.servers");
    record.note(format!("both gateways are ready; the list of workers has {size} bytes"));
    let waited = Instant::now();
    while store.bytes("keyed.servers") < size + LIST_GROWTH {
        if waited.elapsed() > LIST_LIMIT {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the list grows too slowly"));
        }
        thread::sleep(Duration::from_millis(100));
    }

    let sent = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let ends = Instant::now() + Duration::from_millis(1_000) + LINGER;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (sent, answered) = (Arc::clone(&sent), Arc::clone(&answered));
            let address = second.callers;
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                for number in 0.. {
                    if Instant::now() >= ends {
                        return;
                    }
                    let opened = || Connection::open(address, Duration::from_secs(1)).ok();
                    let Some(mut connection) = kept.take().or_else(opened) else { continue };
                    let id = format!("order-{caller}-{number}");
                    let bytes = request("POST", "/orders/1", &id, 4_000, b"one keepsake");
                    sent.fetch_add(1, Ordering::Relaxed);
                    let answer = call(&mut connection, &bytes, Duration::from_secs(4));
                    if answer.is_complete {
                        kept = Some(connection);
                    }
                    if answer.status() == 200 {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(CALLER_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));

    drains.store(true, Ordering::SeqCst);
    announce(0, 1_000_000);
    let acked = Instant::now();
    record.note(format!("the store has accepted that worker {} is draining", worker_id(0)));
    thread::sleep(KILL_AFTER);
    if has_trouble() {
        first.process.0.kill()?;
        record.note(format!("{} is killed", first.name));
    }
    for caller in callers {
        caller.join().map_err(|_| io::Error::other("a caller failed"))?;
    }
    record.note(format!(
        "{} requests were sent to {}, {} were answered with 200",
        sent.load(Ordering::Relaxed),
        second.name,
        answered.load(Ordering::Relaxed)
    ));
    let arrivals = arrivals.lock().unwrap();
    let at_drained: Vec<&Arrival> = arrivals.iter().filter(|(number, ..)| *number == 0).collect();
    let before = at_drained.iter().filter(|(_, _, at)| *at < acked).count();
    record.note(format!("{before} requests reached {} before its report", worker_id(0)));
    let mut late = 0;
    for (_, id, at) in at_drained.iter().filter(|(_, _, at)| *at >= acked) {
        let after = at.duration_since(acked);
        let verdict = if after > DRAIN { "late" } else { "in time" };
        late += u32::from(after > DRAIN);
        record.note(format!(
            "{id} ran at {} {} ms after the ack of its report: {verdict}",
            worker_id(0),
            after.as_millis()
        ));
    }
    for read in store.partial_reads() {
        record.note(format!(
            "a read of {} from offset {} returned {} records of the {} there were, {} ms after the ack",
            read.topic,
            read.from,
            read.records,
            read.end,
            read.at.saturating_duration_since(acked).as_millis()
        ));
    }
    for line in second.log_lines(&["event=target_announced target=i-00000000", "gateway_gone"]) {
        record.note(format!("{}: {line}", second.name));
    }
    if before == 0 {
        return Err(io::Error::other("the worker got no request before its report"));
    }
    Ok(late == 0)
}
