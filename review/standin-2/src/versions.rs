//! Two versions of a worker's software: streams of the former one that are taken up after all gateways were
//! killed at the same time, while the workers of the service are replaced. The agents are not killed.

use std::io;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Event, StreamEnd, StreamRequest};
use crate::deployment::{Deployment, Machine};
use crate::engine::EngineOptions;
use crate::record::Record;

const CALLERS: u64 = 8;
const EVENTS: u64 = 150;
const DEADLINE_MS: u64 = 15_000;
/// Attempts of a caller: the first one and one retry, as on the installation's sheet.
const MAX_ATTEMPTS: usize = 2;
/// Time that a caller waits before its retry.
const RETRY_DELAY: Duration = Duration::from_millis(3_500);
/// Streams with events of two versions that the rule tolerates.
const TOLERATED: usize = 2;

/// Plays the case; returns whether the rule was broken.
pub fn play(record: Record, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(
        record.clone(),
        "\"streaming\",\"attempts\":2,\"resumable\":true",
        DEADLINE_MS,
    )?;
    let gateways = [deployment.gateway(2)?, deployment.gateway(3)?];
    let old = [
        deployment.start_worker(deployment.engine(11, "i-old-1", "v1"))?,
        deployment.start_worker(deployment.engine(12, "i-old-2", "v1"))?,
    ];
    let mut agents: Vec<Machine> = Vec::new();
    for worker in &old {
        agents.push(deployment.agent(worker)?);
    }
    gateways.iter().chain(&agents).try_for_each(Machine::start)?;
    for gateway in &gateways {
        deployment.wait_until_ready(gateway, Duration::from_secs(10))?;
    }
    sleep(Duration::from_secs(1));
    record.note("callers start");
    let addresses = [0, 1].map(|at: usize| deployment.caller_address(&gateways[at]));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, number, addresses))
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    // The release: each new worker starts before the old one reports that it leaves.
    let mut new = Vec::new();
    for (at, worker) in old.iter().enumerate() {
        let id = format!("i-new-{}", at + 1);
        let options =
            EngineOptions { holds_model: false, ..deployment.engine(13 + at as u8, &id, "v2") };
        let started = deployment.start_worker(options)?;
        let agent = deployment.agent(&started)?;
        agent.start()?;
        agents.push(agent);
        new.push(started);
        sleep(Duration::from_millis(700));
        deployment.drain(worker);
        sleep(Duration::from_millis(300));
    }
    sleep(Duration::from_millis(1_500));
    if trouble {
        record.note("both gateways are killed");
        gateways.iter().for_each(Machine::kill);
    }
    // Both old workers have served for more than drain_ms since they reported that they leave.
    sleep(Duration::from_millis(1_000));
    old.iter().for_each(|worker| deployment.leave(worker));
    sleep(Duration::from_millis(1_000));
    if trouble {
        record.note("both gateways start again");
        gateways.iter().try_for_each(Machine::start)?;
    }
    let mut mixed = 0;
    for caller in callers {
        let events = caller.join().unwrap_or_default();
        let versions: std::collections::BTreeSet<&str> =
            events.iter().map(|event| event.version.as_str()).collect();
        mixed += usize::from(versions.len() > 1);
    }
    record.note(&format!(
        "streams with events of two software versions: {mixed}, tolerated: {TOLERATED}"
    ));
    gateways.iter().chain(&agents).for_each(Machine::kill);
    new.iter().for_each(|worker| worker.kill());
    deployment.clean();
    Ok(mixed > TOLERATED)
}

/// One caller, which takes its stream up again after the last event that it has.
fn call(record: &Record, number: u64, gateways: [std::net::SocketAddr; 2]) -> Vec<Event> {
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let mut events: Vec<Event> = Vec::new();
    let mut first_attempt = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        if left < 500 {
            break;
        }
        let request = StreamRequest {
            id: format!("a{number:02}{attempt:02}"),
            parts: format!("5c1e:200,{:x}:200", 0xe000 + number),
            events: EVENTS,
            deadline_ms: left,
            resumes: events.last().map(|event| (event.number, first_attempt.clone())),
        };
        // Retries reach another gateway.
        let answer = request.call(gateways[(number as usize + attempt) % 2]);
        if events.is_empty() && !answer.events.is_empty() {
            first_attempt.clone_from(&request.id);
        }
        let versions: Vec<&str> =
            answer.events.iter().map(|event| event.version.as_str()).collect();
        record.note(&format!(
            "caller {number} sent {} resumes {:?}: {:?}, events {:?} to {:?} of versions {:?} to {:?}",
            request.id,
            request.resumes,
            answer.end,
            answer.events.first().map(|event| event.number),
            answer.events.last().map(|event| event.number),
            versions.first(),
            versions.last(),
        ));
        events.extend(answer.events);
        if answer.end == StreamEnd::Complete {
            break;
        }
        sleep(RETRY_DELAY);
    }
    events
}
