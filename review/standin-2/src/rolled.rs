//! Streams that callers take up at another gateway while all machines are stopped and started in turn and
//! two versions of the workers' software serve side by side.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{StreamEnd, StreamRequest};
use crate::deployment::{Deployment, SIGTERM};
use crate::record::Record;

/// Streams that are taken up; the rule needs twelve.
const CALLERS: u64 = 16;
/// New streams that are sent at the time of the take-ups.
const NEW_STREAMS: u64 = 16;
const EVENTS: u64 = 150;
const NEW_EVENTS: u64 = 20;
const DEADLINE_MS: u64 = 15_000;
/// Time between two machines that are stopped.
const GAP: Duration = Duration::from_millis(1_000);
/// Time from the exit of a process until it starts again.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Plays the case; returns whether the rule was broken.
pub fn play(record: Record, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(
        record.clone(),
        "\"streaming\",\"attempts\":2,\"resumable\":true",
        DEADLINE_MS,
    )?;
    let gateways = [deployment.gateway(2)?, deployment.gateway(3)?];
    let mut workers = Vec::new();
    let mut agents = Vec::new();
    for number in 0..4_u8 {
        let version = if number < 2 { "v1" } else { "v2" };
        let options = deployment.engine(11 + number, &format!("i-{number}"), version);
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
    // Both gateways are in touch before the first request.
    sleep(Duration::from_secs(4));
    let addresses = [0, 1].map(|at: usize| deployment.caller_address(&gateways[at]));
    record.note("callers start");
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, number, addresses))
        })
        .collect();
    sleep(Duration::from_millis(1_500));
    record.note("the first gateway gets SIGTERM");
    gateways[0].signal(SIGTERM);
    let stopped_at = Instant::now();
    if trouble {
        for agent in &agents {
            sleep(GAP);
            record.note(&format!("{} gets SIGTERM and starts again", agent.name));
            agent.signal(SIGTERM);
            agent.wait();
            sleep(RESTART_DELAY);
            agent.start()?;
        }
    }
    gateways[0].wait();
    record.note(&format!(
        "the first gateway has exited after {:.2} s",
        stopped_at.elapsed().as_secs_f64()
    ));
    let newcomers: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, address) = (record.clone(), addresses[1]);
            thread::spawn(move || begin(&record, number, address))
        })
        .collect();
    let taken_up: Vec<bool> =
        callers.into_iter().filter_map(|caller| caller.join().ok().flatten()).collect();
    let begun: Vec<bool> = newcomers.into_iter().filter_map(|new| new.join().ok()).collect();
    let share = |all: &[bool]| {
        all.iter().filter(|went_on| **went_on).count() as f64 / all.len().max(1) as f64
    };
    record.note(&format!(
        "streams taken up: {}, share that went on: {:.2}; new streams: {}, share that began: {:.2}",
        taken_up.len(),
        share(&taken_up),
        begun.len(),
        share(&begun)
    ));
    gateways.iter().chain(&agents).for_each(|machine| machine.kill());
    workers.iter().for_each(|worker| worker.kill());
    deployment.clean();
    if taken_up.len() < 12 {
        return Err(io::Error::other("fewer than 12 streams were taken up"));
    }
    Ok(share(&taken_up) < share(&begun) / 2.0)
}

fn request(id: String, number: u64, events: u64, deadline_ms: u64) -> StreamRequest {
    let parts = format!("5c1e:200,{:x}:200", 0xe000 + number);
    StreamRequest { id, parts, events, deadline_ms, resumes: None }
}

/// One caller; returns whether its stream went on at the second gateway, if it was taken up there.
fn call(record: &Record, number: u64, gateways: [SocketAddr; 2]) -> Option<bool> {
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let first = request(format!("a{number:02}"), number, EVENTS, DEADLINE_MS);
    let answer = first.call(gateways[0]);
    let last = answer.events.last()?;
    record.note(&format!(
        "caller {number} sent {} to the first gateway: {:?}, last event {} of version {}",
        first.id, answer.end, last.number, last.version
    ));
    if answer.end != StreamEnd::Cut {
        return None;
    }
    // The installation's sheet has one retry.
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let again = StreamRequest {
        resumes: Some((last.number, first.id.clone())),
        ..request(format!("t{number:02}"), number, EVENTS, left)
    };
    let answer = again.call(gateways[1]);
    record.note(&format!(
        "caller {number} took the stream up with {}: {:?}, events: {}, of version {:?}",
        again.id,
        answer.end,
        answer.events.len(),
        answer.events.first().map(|event| &event.version)
    ));
    Some(!answer.events.is_empty())
}

/// A caller of a new stream; returns whether it began.
fn begin(record: &Record, number: u64, address: SocketAddr) -> bool {
    let new = request(format!("n{number:02}"), 100 + number, NEW_EVENTS, DEADLINE_MS);
    let answer = new.call(address);
    record.note(&format!(
        "new stream {}: {:?}, events: {}",
        new.id,
        answer.end,
        answer.events.len()
    ));
    !answer.events.is_empty()
}
