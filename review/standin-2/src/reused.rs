//! Streams without a length and without chunks whose worker leaves in their middle, while the gateway's
//! machine is frozen; when it goes on, another worker serves at the address.

use std::io;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{Answer, StreamEnd, StreamRequest};
use crate::deployment::{Deployment, SIGCONT, SIGSTOP};
use crate::engine::EngineOptions;
use crate::record::Record;

const CALLERS: u64 = 6;
const EVENTS: u64 = 100;
const DEADLINE_MS: u64 = 15_000;
/// Time from the report that the worker leaves to its exit; `drain_ms` is 2,000.
const SERVED_ON: Duration = Duration::from_millis(2_400);
/// Time from the exit to the next worker at the address; `reuse_after_s` is 2.
const REUSED_AFTER: Duration = Duration::from_millis(2_200);

/// Plays the case; returns whether the rule was broken.
pub fn play(record: Record, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(
        record.clone(),
        "\"streaming\",\"attempts\":1,\"resumable\":false",
        DEADLINE_MS,
    )?;
    let gateway = deployment.gateway(2)?;
    let engine = |number: u8, id: &str| EngineOptions {
        unframed: true,
        event_ms: 100,
        ..deployment.engine(number, id, "v1")
    };
    let leaving = deployment.start_worker(engine(11, "i-leaving"))?;
    let agent = deployment.agent(&leaving)?;
    agent.start()?;
    gateway.start()?;
    deployment.wait_until_ready(&gateway, Duration::from_secs(10))?;
    sleep(Duration::from_secs(1));
    record.note("callers start");
    let address = deployment.caller_address(&gateway);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, number, address))
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let other = EngineOptions { holds_model: false, ..engine(12, "i-other") };
    let other = deployment.start_worker(other)?;
    deployment.drain(&leaving);
    sleep(Duration::from_millis(2_000));
    if trouble {
        record.note("the gateway's machine is frozen");
        gateway.signal(SIGSTOP);
    }
    sleep(SERVED_ON - Duration::from_millis(2_000));
    deployment.leave(&leaving);
    sleep(REUSED_AFTER);
    let next = EngineOptions { holds_model: false, ..engine(11, "i-next") };
    let next = deployment.start_worker(next)?;
    sleep(Duration::from_millis(1_400));
    if trouble {
        record.note("the gateway's machine goes on");
        gateway.signal(SIGCONT);
    }
    let answers: Vec<Answer> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let is_false_end = |answer: &&Answer| {
        answer.end == StreamEnd::Complete
            && answer.events.last().is_none_or(|event| event.number < event.last)
    };
    let broken = answers.iter().filter(is_false_end).count();
    record.note(&format!(
        "streams that ended as complete before their last event: {broken} of {CALLERS}"
    ));
    gateway.kill();
    agent.kill();
    [other, next].iter().for_each(|worker| worker.kill());
    deployment.clean();
    Ok(broken > 0)
}

fn call(record: &Record, number: u64, address: std::net::SocketAddr) -> Answer {
    let request = StreamRequest {
        id: format!("b{number:02}"),
        parts: format!("5c1e:200,{:x}:200", 0xe000 + number),
        events: EVENTS,
        deadline_ms: DEADLINE_MS,
        resumes: None,
    };
    let answer = request.call(address);
    let last = answer.events.last();
    record.note(&format!(
        "caller {number} sent {}: {:?}, last event {:?} of {:?}",
        request.id,
        answer.end,
        last.map(|event| event.number),
        last.map(|event| event.last)
    ));
    answer
}
