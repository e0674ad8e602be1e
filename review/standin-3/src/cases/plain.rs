//! Cases with workers of a plain service.

use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Answer, call, is_ready, wait_until};
use crate::machine::{address, caller_address, ready_address, start_gateway, store_address};
use crate::plain::PlainWorker;
use crate::record::Record;
use crate::store::Store;

const GATEWAY_HOST: u8 = 1;
const SERVICE: &str = "teyrnged-app";
/// Time between the end of a worker and its next start.
const RESTART: Duration = Duration::from_millis(300);
/// Time from the start of a worker to the end of the next one.
const NEXT: Duration = Duration::from_millis(50);
const KEY: &str = "key-of-the-chapel";

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":8000,\"target_latency_ms\":2000,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":{},\"gap_target_ms\":400}}",
            kind == "streaming"
        )
    };
    format!(
        "{{\"version\":10,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"connection_limit\":230}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"capel\",\"keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0,\
         \"unit\":\"tokens\",\"plain_tokens\":200}}]}}",
        route("stream", "streaming"),
        route("orders", "non_idempotent")
    )
}

/// A gateway before workers.
struct Deployment {
    workers: Vec<PlainWorker>,
    record: Record,
}

impl Deployment {
    fn start(workers: usize, record: &Record) -> io::Result<Option<Self>> {
        let store = Store::start(store_address())?;
        store.put("keyed.op", "config", configuration().as_bytes());
        let workers: Vec<PlainWorker> = (1..=workers)
            .map(|number| {
                let at = (address(100 + number as u8), 8080).into();
                PlainWorker::new(&format!("i-7f3a91c{number}"), SERVICE, at, &store, record)
            })
            .collect();
        for worker in &workers {
            worker.start("v1")?;
        }
        start_gateway("front-caerdydd-a-1", GATEWAY_HOST)?;
        let ready = wait_until(Duration::from_secs(10), || is_ready(ready_address(GATEWAY_HOST)));
        Ok(ready.then(|| Self { workers, record: record.clone() }))
    }

    fn send(&self, id: &str, path: &str) -> Answer {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: app.example\r\nPlantainbeam-Attempt-Id: {id}\r\n\
             Plantainbeam-Deadline-Milliseconds: 8000\r\nAuthorization: Bearer {KEY}\r\n"
        );
        self.record.line(&format!("sent {id} to {path}"));
        let answer = call(caller_address(GATEWAY_HOST), &head, b"order", Duration::from_secs(9));
        self.record.line(&format!("answered {id}: {}", answer.text()));
        answer
    }
}

/// Four workers end one after the other without notice, and each starts again under its identifier with newer
/// software; the next one ends when the one before is up. This comes five times. Without trouble they start
/// again with the software that they had.
pub fn in_place_update(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let Some(deployment) = Deployment::start(4, record)? else {
        return Ok(Verdict::NotRun("the gateway doesn't become ready".into()));
    };
    let deployment = Arc::new(deployment);
    if !wait_until(Duration::from_secs(10), || deployment.send("warm", "/orders/1").is_success()) {
        return Ok(Verdict::NotRun("no request is served at first".into()));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicUsize::new(0));
    let mixed = Arc::new(Mutex::new(Vec::new()));
    // Sixty new streams a second, whatever became of the ones before.
    let arrivals = {
        let (deployment, stop, number, mixed) =
            (Arc::clone(&deployment), Arc::clone(&stop), Arc::clone(&number), Arc::clone(&mixed));
        thread::spawn(move || {
            let mut streams = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let (deployment, mixed) = (Arc::clone(&deployment), Arc::clone(&mixed));
                let id = format!("stream-{}", number.fetch_add(1, Ordering::SeqCst));
                streams.push(thread::spawn(move || {
                    let answer = deployment.send(&id, "/stream/1");
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let versions: BTreeSet<&str> =
                        text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
                    if versions.len() > 1 {
                        deployment
                            .record
                            .line(&format!("{id} holds events of versions {versions:?}"));
                        mixed.lock().unwrap_or_else(PoisonError::into_inner).push(id);
                    }
                }));
                thread::sleep(Duration::from_millis(16));
            }
            for stream in streams {
                let _joined = stream.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(4));
    for update in ["v2", "v3", "v4", "v5", "v6"] {
        let software = if trouble { update } else { "v1" };
        for worker in &deployment.workers {
            worker.crash();
            thread::sleep(RESTART);
            worker.start(software)?;
            thread::sleep(NEXT);
        }
        thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
    let _joined = arrivals.join();
    let mixed = mixed.lock().unwrap_or_else(PoisonError::into_inner).len();
    record.line(&format!(
        "{} streams, {mixed} with events of two versions",
        number.load(Ordering::SeqCst)
    ));
    match mixed > 2 {
        true => Ok(Verdict::Broken(format!(
            "ORDER: {mixed} streams hold events of two software versions"
        ))),
        false => Ok(Verdict::Held),
    }
}
