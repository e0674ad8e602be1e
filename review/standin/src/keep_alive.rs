//! Workers that spoil the `Keep-Alive` header of a few answers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::deployment::{
    Folder, Gateway, Record, Route, configuration, entry, has_trouble, own_ip, request, unix_ms,
};
use crate::http::{Connection, call, response, serve};
use crate::store::Store;

/// Workers; the first half of them spoils answers.
const WORKERS: u32 = 4;
/// One answer of such a worker in so many is spoiled.
const SPOILED_EVERY: u64 = 25;
/// Ends of processes by themselves that a machine may have.
const MOST_ENDS: u32 = 2;
const REQUESTS: u32 = 400;
/// Delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn start_worker(number: u32, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((own_ip(10), 0))?;
    let address = listener.local_addr()?;
    let (answers, record) = (AtomicU64::new(0), record.clone());
    serve(listener, move |mut connection| {
        while let Ok(Some(head)) = connection.read_head() {
            let id = head.get("plantainbeam-attempt-id").unwrap_or_default().to_owned();
            if connection.read_exact(head.content_length().unwrap_or(0)).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(5));
            let count = answers.fetch_add(1, Ordering::Relaxed) + 1;
            let is_spoiled =
                has_trouble() && number <= WORKERS / 2 && count.is_multiple_of(SPOILED_EVERY);
            let limit = if is_spoiled { u64::MAX } else { 20 };
            if is_spoiled {
                record
                    .note(format!("worker {number} answers {id} with Keep-Alive: timeout={limit}"));
            }
            let fields = format!(
                "Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Response-Seal: s.{number}.{id}\r\n\
                 Keep-Alive: timeout={limit}\r\n"
            );
            if connection.write(&response(200, &fields, b"taken")).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

/// Runs the case.
pub fn run(record: &Record) -> Outcome {
    let folder = Folder::create()?;
    let store = Store::start((own_ip(0), 8_225).into())?;
    let route = Route { name: "orders", kind: "non_idempotent", attempts: 1, timeout_ms: 2_000 };
    store.put("keyed.op", "config", configuration(&[route]).as_bytes());
    for number in 1..=WORKERS {
        let address = start_worker(number, record)?;
        let text = entry(address, "caerdydd-a", "ready", unix_ms(), 1);
        store.put("keyed.servers", &format!("i-{number:08x}"), text.as_bytes());
    }
    let places = [(1, "front-caerdydd-a-1"), (2, "front-caerdydd-a-2")];
    let start = |at: usize| {
        let (machine, name) = places[at];
        Gateway::start(&folder, machine, name, "caerdydd-a", store.address)
    };
    let mut gateways = [start(0)?, start(1)?];
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    thread::sleep(Duration::from_millis(1_200));
    let mut ends = [0, 0];
    let (mut served, mut failed) = (0, 0);
    for number in 0..REQUESTS {
        let at = number as usize % gateways.len();
        if let Some(status) = gateways[at].exit() {
            ends[at] += 1;
            record.note(format!("{} has ended by itself: {status}", gateways[at].name));
            if ends.iter().all(|count| *count > MOST_ENDS) {
                break;
            }
            thread::sleep(RESTART_DELAY);
            gateways[at] = start(at)?;
            gateways[at].wait_ready()?;
        }
        let id = format!("order-{number}");
        let bytes = request("POST", "/orders/1", &id, 4_000, b"one keepsake");
        let answer = Connection::open(gateways[at].callers, Duration::from_secs(1))
            .map(|mut connection| call(&mut connection, &bytes, Duration::from_secs(4)))
            .unwrap_or_default();
        if answer.status() == 200 && answer.is_complete {
            served += 1;
        } else {
            failed += 1;
            record.note(format!(
                "{id} at {} got status {}, error {:?}",
                gateways[at].name,
                answer.status(),
                answer.error
            ));
            // The process needs a moment to end.
            thread::sleep(Duration::from_millis(100));
        }
    }
    record.note(format!(
        "{served} requests were answered with 200, {failed} were not; {} and {} processes ended",
        ends[0], ends[1]
    ));
    if !has_trouble() && failed > 0 {
        return Err(io::Error::other("an undisturbed request failed"));
    }
    Ok(ends.iter().any(|count| *count <= MOST_ENDS))
}
