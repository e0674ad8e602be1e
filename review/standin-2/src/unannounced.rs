//! Workers whose entries are removed without a report that they leave, about when the store serves one
//! gateway again that it had turned away. Requests are sent to the other gateway only.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{StreamEnd, StreamRequest};
use crate::deployment::Deployment;
use crate::engine::EngineOptions;
use crate::record::Record;

/// Rounds, in each of which one worker leaves.
const ROUNDS: u32 = 8;
const DEADLINE_MS: u64 = 4_000;
/// Time for which the store turns the first gateway away.
const TURNED_AWAY: Duration = Duration::from_millis(3_000);
/// Time from its end until the entry of a worker is removed.
const REMOVED_AFTER: Duration = Duration::from_millis(100);
/// Time for which the worker serves on: `drain_ms` and a little longer.
const SERVED_ON: Duration = Duration::from_millis(2_150);
/// Time from the exit of a worker to the start of the next one.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Callers that send one request after the other.
const CALLERS: u32 = 24;
/// `drain_ms` in seconds.
const DRAIN_S: f64 = 2.0;

/// Plays the case; returns whether the rule was broken.
pub fn play(record: Record, trouble: bool) -> io::Result<bool> {
    let deployment =
        Deployment::start(record.clone(), "\"non_idempotent\",\"attempts\":2", DEADLINE_MS)?;
    let gate = deployment.store.gate()?;
    let gateways = [deployment.gateway_behind(2, gate.address)?, deployment.gateway(3)?];
    let mut workers = Vec::new();
    let mut agents = Vec::new();
    for number in 0..3_u8 {
        let options = EngineOptions {
            event_ms: 60,
            ..deployment.engine(11 + number, &format!("i-{number}"), "v1")
        };
        let worker = deployment.start_worker(options)?;
        let agent = deployment.agent(&worker)?;
        agent.start()?;
        agents.push(agent);
        workers.push(worker);
    }
    gateways.iter().try_for_each(|gateway| gateway.start())?;
    for gateway in &gateways {
        deployment.wait_until_ready(gateway, Duration::from_secs(10))?;
    }
    sleep(Duration::from_secs(4));
    let ends = Arc::new(AtomicBool::new(false));
    let address = deployment.caller_address(&gateways[1]);
    let numbers = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (ends, numbers) = (Arc::clone(&ends), Arc::clone(&numbers));
            thread::spawn(move || call_on(&ends, &numbers, address))
        })
        .collect();
    let mut removed_at = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("i-leaving-{round}");
        let options =
            EngineOptions { event_ms: 60, ..deployment.engine(21 + round as u8, &id, "v1") };
        let worker = deployment.start_worker(options)?;
        let agent = deployment.agent(&worker)?;
        agent.start()?;
        sleep(Duration::from_millis(2_500));
        if trouble {
            record.note("the store turns the first gateway away");
            gate.is_closed.store(true, Ordering::Relaxed);
        }
        sleep(TURNED_AWAY);
        if trouble {
            record.note("the store serves the first gateway again");
            gate.is_closed.store(false, Ordering::Relaxed);
        }
        sleep(REMOVED_AFTER);
        deployment.remove_entry(&worker);
        removed_at.push((id, record.seconds()));
        let until = Instant::now() + SERVED_ON;
        sleep(until.saturating_duration_since(Instant::now()));
        deployment.leave(&worker);
        agent.kill();
        sleep(PAUSE);
    }
    ends.store(true, Ordering::Relaxed);
    let answers: Vec<(String, StreamEnd)> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).flatten().collect();
    let runs = deployment.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let (mut late, mut lost) = (0, 0);
    for (id, removed_at) in &removed_at {
        let arrivals: Vec<(f64, &str)> = runs
            .iter()
            .filter(|(_, worker, line)| worker == id && line.starts_with("run "))
            .map(|(at, _, line)| (at - removed_at, line.split(' ').nth(1).unwrap_or_default()))
            .collect();
        let latest = arrivals.iter().map(|(after, _)| *after).fold(f64::NEG_INFINITY, f64::max);
        let beyond: Vec<&str> =
            arrivals.iter().filter(|(after, _)| *after > DRAIN_S).map(|(_, id)| *id).collect();
        let failed = answers
            .iter()
            .filter(|(id, end)| beyond.contains(&id.as_str()) && *end != StreamEnd::Complete);
        let failed: Vec<String> = failed.map(|(id, end)| format!("{id} {end:?}")).collect();
        late += beyond.len();
        lost += failed.len();
        record.note(&format!(
            "worker {id}: last request {latest:.3} s after the store had acknowledged its leaving, {} later than \
             drain_ms, of these failed: {failed:?}",
            beyond.len()
        ));
    }
    record.note(&format!(
        "requests of {} that reached workers later than drain_ms: {late}, of these failed: {lost}",
        answers.len()
    ));
    gateways.iter().chain(&agents).for_each(|machine| machine.kill());
    workers.iter().for_each(|worker| worker.kill());
    deployment.clean();
    Ok(late > 0)
}

/// Sends requests that run at most once, one after the other; returns how each ended.
fn call_on(
    ends: &AtomicBool,
    numbers: &AtomicU32,
    address: std::net::SocketAddr,
) -> Vec<(String, StreamEnd)> {
    let mut answers = Vec::new();
    while !ends.load(Ordering::Relaxed) {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        let request = StreamRequest {
            id: format!("u{number:05}"),
            parts: format!("{:x}:200,{:x}:200", 0x5c1e0 + number % 50, 0xe0000 + number),
            events: 2,
            deadline_ms: DEADLINE_MS,
            resumes: None,
        };
        let answer = request.call(address);
        answers.push((request.id, answer.end));
        sleep(Duration::from_millis(10));
    }
    answers
}
