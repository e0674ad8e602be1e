//! Workers that answer before they have read a long body, keep the channel and read on.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{
    Folder, Gateway, Record, Route, configuration, entry, has_trouble, own_ip, request, unix_ms,
};
use crate::http::{Answer, Connection, call, response, serve};
use crate::store::Store;

/// Long bodies; the configuration allows 4,194,304 bytes.
const LONG_BODY_BYTES: usize = 4_000_000;
const LONG_REQUESTS: usize = 16;
/// Short requests beside them, so that at most one answer in 20 comes early.
const SHORT_REQUESTS: usize = 400;
const WORK: Duration = Duration::from_millis(30);
/// How a worker reads on after an early answer: 100 KB at a time.
const READ_PART: usize = 100 << 10;
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Workers; the first half of them answers early.
const WORKERS: u32 = 4;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after the route's timeout by which an answer must have come.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Of the requests that last longer than the timeout, so many may have no answer by then.
const MOST_UNANSWERED: usize = 7;
const DEADLINE: Duration = Duration::from_millis(4_000);

unsafe extern "C" {
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

/// Gives the connections to a listener the segment size of an Ethernet and a receive buffer of 128 KB.
/// With the 64 KB segments of the loopback interface and growing buffers the kernel holds megabytes
/// of a body that nobody reads.
fn limit_buffers(listener: &TcpListener) {
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    const IPPROTO_TCP: c_int = 6;
    const TCP_MAXSEG: c_int = 2;
    for (level, name, value) in
        [(SOL_SOCKET, SO_RCVBUF, 128 << 10), (IPPROTO_TCP, TCP_MAXSEG, 1_448)]
    {
        let value: c_int = value;
        let length = size_of::<c_int>() as u32;
        let pointer = std::ptr::from_ref(&value).cast();
        // SAFETY: the pointer is valid for `length` bytes during the call.
        unsafe { setsockopt(listener.as_raw_fd(), level, name, pointer, length) };
    }
}

/// Starts a worker; `record` gets a line for each long request.
fn start_worker(number: u32, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((own_ip(10), 0))?;
    limit_buffers(&listener);
    let address = listener.local_addr()?;
    serve(listener, move |mut connection| {
        while let Ok(Some(head)) = connection.read_head() {
            let id = head.get("plantainbeam-attempt-id").unwrap_or_default().to_owned();
            let length = head.content_length().unwrap_or(0);
            let is_early = has_trouble() && length >= LONG_BODY_BYTES && number <= WORKERS / 2;
            if !is_early && connection.read_exact(length).is_err() {
                return;
            }
            thread::sleep(WORK);
            let fields = format!(
                "Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Response-Seal: s.{number}.{id}\r\n"
            );
            let reply = response(200, &fields, format!("order {id} taken").as_bytes());
            if connection.write(&reply).is_err() {
                return;
            }
            if length >= LONG_BODY_BYTES {
                record.note(format!(
                    "worker {number} ran {id} and answered 200, with {} of {length} bytes read",
                    if is_early { connection.read_ahead() } else { length }
                ));
            }
            let mut left = if is_early { length } else { 0 };
            while left > 0 {
                thread::sleep(READ_PAUSE);
                let part = left.min(READ_PART);
                if connection.read_exact(part).is_err() {
                    record.note(format!("worker {number}: the channel of {id} was closed"));
                    return;
                }
                left -= part;
            }
        }
    });
    Ok(address)
}

/// Sends a request on a channel of its own.
fn ask(gateway: SocketAddr, id: &str, body: &[u8]) -> Answer {
    match Connection::open(gateway, Duration::from_secs(1)) {
        Ok(mut connection) => {
            let bytes = request("POST", "/orders/1", id, DEADLINE.as_millis() as u64, body);
            call(&mut connection, &bytes, DEADLINE)
        }
        Err(error) => Answer { error: Some(error.to_string()), ..Answer::default() },
    }
}

/// Runs the case.
pub fn run(record: &Record) -> Outcome {
    let folder = Folder::create()?;
    let store = Store::start((own_ip(0), 8_225).into())?;
    let timeout_ms = ROUTE_TIMEOUT.as_millis() as u64;
    let route = Route { name: "orders", kind: "non_idempotent", attempts: 1, timeout_ms };
    store.put("keyed.op", "config", configuration(&[route]).as_bytes());
    for number in 1..=WORKERS {
        let address = start_worker(number, record.clone())?;
        // The workers that answer early are in the gateway's data centre, which it prefers.
        let zone = if number <= WORKERS / 2 { "caerdydd-a" } else { "caerdydd-b" };
        let text = entry(address, zone, "ready", unix_ms(), 1);
        store.put("keyed.servers", &format!("i-{number:08x}"), text.as_bytes());
    }
    let gateway = Gateway::start(&folder, 1, "front-caerdydd-a-1", "caerdydd-a", store.address)?;
    gateway.wait_ready()?;
    thread::sleep(Duration::from_millis(1_200));

    let callers = gateway.callers;
    let short = thread::spawn(move || {
        (0..SHORT_REQUESTS)
            .filter(|number| {
                thread::sleep(Duration::from_millis(10));
                ask(callers, &format!("short-{number}"), b"one keepsake").status() == 200
            })
            .count()
    });
    let results = Arc::new(Mutex::new(Vec::new()));
    let long: Vec<_> = (0..LONG_REQUESTS)
        .map(|number| {
            let (record, results) = (record.clone(), Arc::clone(&results));
            thread::sleep(Duration::from_millis(500));
            thread::spawn(move || {
                let id = format!("long-{number}");
                let body = vec![b'k'; LONG_BODY_BYTES];
                record.note(format!("{id} is sent, {LONG_BODY_BYTES} bytes"));
                let sent = Instant::now();
                let answer = ask(callers, &id, &body);
                record.note(format!(
                    "{id} got status {} after {} ms, complete {}, error {:?}",
                    answer.status(),
                    sent.elapsed().as_millis(),
                    answer.is_complete,
                    answer.error
                ));
                results.lock().unwrap().push((answer, sent.elapsed()));
            })
        })
        .collect();
    for caller in long {
        caller.join().map_err(|_| io::Error::other("a caller failed"))?;
    }
    let served = short.join().map_err(|_| io::Error::other("a caller failed"))?;
    record.note(format!("{served} of {SHORT_REQUESTS} short requests got 200"));
    let results = results.lock().unwrap();
    let longer: Vec<_> = results.iter().filter(|(_, took)| *took > ROUTE_TIMEOUT).collect();
    let unanswered = longer
        .iter()
        .filter(|(answer, took)| !answer.is_complete || *took > ROUTE_TIMEOUT + TIMEOUT_MARGIN)
        .count();
    record.note(format!(
        "{} of {LONG_REQUESTS} long requests lasted longer than the route's timeout of {} ms; {unanswered} \
         of them had no final answer {} ms later",
        longer.len(),
        ROUTE_TIMEOUT.as_millis(),
        TIMEOUT_MARGIN.as_millis()
    ));
    for line in gateway.log_lines(&["request_id=\"long-", "request_id=long-"]) {
        record.note(format!("{}: {line}", gateway.name));
    }
    if served < SHORT_REQUESTS * 9 / 10 {
        return Err(io::Error::other("short requests were not served"));
    }
    Ok(unanswered <= MOST_UNANSWERED || unanswered * 4 <= longer.len())
}
