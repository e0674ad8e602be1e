//! A part of prompts on which workers crash when they begin to write an answer, before the head of it.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{StreamEnd, StreamRequest};
use crate::deployment::Deployment;
use crate::engine::EngineOptions;
use crate::record::Record;

const DEADLY_PART: &str = "dead";
const DEADLINE_MS: u64 = 6_000;
/// Time for which the requests with the part come.
const DURATION: Duration = Duration::from_secs(45);
/// Time between two requests with the part.
const DEADLY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time from a crash until the worker is back.
const RESTART_TIME: Duration = Duration::from_millis(3_000);
/// `contact_ms`.
const CONTACT_S: f64 = 3.0;
/// Number of the crash after which requests are counted, and how many the rule tolerates.
const COUNTED_CRASH: usize = 5;
const TOLERATED: usize = 3;

/// Plays the case; returns whether the rule was broken.
pub fn play(record: Record, trouble: bool) -> io::Result<bool> {
    // With HEAD=1 workers write the head of the answer before they crash.
    let head_first = std::env::var("HEAD").is_ok_and(|value| value == "1");
    let deployment = Deployment::start(
        record.clone(),
        "\"streaming\",\"attempts\":2,\"resumable\":true",
        DEADLINE_MS,
    )?;
    let gateways = [deployment.gateway(2)?, deployment.gateway(3)?];
    let mut workers = Vec::new();
    let mut agents = Vec::new();
    for number in 0..4_u8 {
        let options = EngineOptions {
            deadly_part: DEADLY_PART.to_owned(),
            event_ms: 20,
            head_first,
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
    sleep(Duration::from_secs(1));
    let addresses = [0, 1].map(|at: usize| deployment.caller_address(&gateways[at]));
    let started = Instant::now();
    let mut callers = Vec::new();
    let mut numbers = 0..;
    let mut next_deadly = started + Duration::from_secs(2);
    let mut crashed_at = [None; 4];
    // Sound requests, and how many of them failed.
    let sent = Arc::new(Mutex::new((0_u32, 0_u32)));
    while started.elapsed() < DURATION {
        for (at, worker) in workers.iter().enumerate() {
            match crashed_at[at] {
                None if worker.has_ended() => crashed_at[at] = Some(Instant::now()),
                Some(since) if Instant::now() >= since + RESTART_TIME => {
                    deployment.restart_worker(worker)?;
                    crashed_at[at] = None;
                }
                None | Some(_) => {}
            }
        }
        let is_deadly = trouble && Instant::now() >= next_deadly;
        if is_deadly {
            next_deadly += DEADLY_INTERVAL;
        }
        let Some(number) = numbers.next() else { break };
        let (record, sent) = (record.clone(), Arc::clone(&sent));
        // All share the first part; the last one is the request's own.
        let second = if is_deadly { DEADLY_PART } else { "5afe" };
        let request = StreamRequest {
            id: format!("{}{number:04}", if is_deadly { "d" } else { "c" }),
            parts: format!("5c1e:200,{second}:100,{:x}:100", 0xe0000 + number),
            events: 10,
            deadline_ms: DEADLINE_MS,
            resumes: None,
        };
        let address = addresses[number as usize % 2];
        callers.push(thread::spawn(move || {
            let answer = request.call(address);
            record.note(&format!("caller sent {}: {:?}", request.id, answer.end));
            if !is_deadly {
                let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
                sent.0 += 1;
                sent.1 += u32::from(answer.end != StreamEnd::Complete);
            }
        }));
        sleep(SOUND_INTERVAL);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let runs = deployment.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let crashes: Vec<f64> = runs
        .iter()
        .filter(|(_, _, line)| line.starts_with("crash "))
        .map(|(at, _, _)| *at)
        .collect();
    let late = match crashes.get(COUNTED_CRASH - 1) {
        Some(fifth) => runs
            .iter()
            .filter(|(at, _, line)| line.ends_with(" deadly") && *at > fifth + CONTACT_S)
            .count(),
        None => 0,
    };
    let (sound, failed) = *sent.lock().unwrap_or_else(PoisonError::into_inner);
    record.note(&format!(
        "crashes: {}; requests with the part that reached workers later than contact_ms after the fifth: {late}, \
         tolerated: {TOLERATED}; sound requests: {sound}, of them failed: {failed}",
        crashes.len()
    ));
    gateways.iter().chain(&agents).for_each(|machine| machine.kill());
    workers.iter().for_each(|worker| worker.kill());
    deployment.clean();
    Ok(late > TOLERATED)
}
