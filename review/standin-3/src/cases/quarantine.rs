//! LOST: sound requests that share a part with those that crash workers are shut out.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::wait_until;
use crate::deployment::{Configuration, Deployment, GATEWAY, KEY, ModelRequest, part_id};
use crate::engine::ModelSize;
use crate::machine::log_lines;
use crate::record::Record;

const MODEL: ModelSize = ModelSize { name: "cymraeg", weights_mb: 72_700, adapter_mb: 40 };
/// Part that crashes workers.
const CRASHING_PART: &str = "bad0bad0";
/// First part of the requests that crash workers, and of the sound ones that are counted.
const SHARED_PART: &str = "5c1e07a2";
/// Key of the other sound requests.
const OTHER_KEY: &str = "key-of-the-hall";
/// Time until a crashed worker is back.
const DOWN: Duration = Duration::from_secs(4);
/// Time between two sound requests with the shared part.
const SOUND_INTERVAL: Duration = Duration::from_millis(2_200);
/// Sound requests before the crashes, and while requests that crash workers come.
const SOUND_REQUESTS: usize = 20;
/// Time between two requests that crash workers, at first and later.
const CRASHING_INTERVALS: [Duration; 2] =
    [Duration::from_millis(600), Duration::from_millis(1_500)];
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_secs(3);

/// Sends a request with these first parts and a part of its own; returns whether it begins.
fn send(deployment: &Deployment, id: &str, key: &str, first: &str) -> bool {
    let parts = format!("{first},{:x}:40", part_id(id));
    let request = ModelRequest {
        id,
        key,
        model: MODEL.name,
        parts: &parts,
        prompt_tokens: 200,
        output_tokens: 12,
        deadline: Duration::from_secs(4),
    };
    let answer = deployment.send(&request, Duration::from_millis(500));
    deployment.record.line(&format!("{id}: {}", answer.text()));
    answer.status == Some(200) && !answer.body.is_empty()
}

/// Sends sound requests with the shared part at even times; returns how many of them begin.
fn send_sound(deployment: &Arc<Deployment>, name: &str, count: usize) -> usize {
    let requests: Vec<_> = (0..count)
        .map(|number| {
            let (deployment, id) = (Arc::clone(deployment), format!("{name}-{number}"));
            let request = thread::spawn(move || {
                send(&deployment, &id, KEY, &format!("{SHARED_PART}:120,7a:40"))
            });
            thread::sleep(SOUND_INTERVAL);
            request
        })
        .collect();
    requests.into_iter().filter_map(|request| request.join().ok()).filter(|begins| *begins).count()
}

/// Requests with a part that crashes workers come beside sound ones with the same first part and key.
/// Without trouble the requests that come don't hold the part.
pub fn shared_part(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let first = Configuration {
        version: 10,
        models: &[MODEL],
        keys: &[KEY, OTHER_KEY],
        rate: (0, 0),
        timeout_ms: 4_000,
    };
    let crashing = Some((CRASHING_PART.to_owned(), DOWN));
    let started = Deployment::start_with(&first, &[MODEL], &[MODEL.name], 8, crashing, record)?;
    let Some(deployment) = started.map(Arc::new) else {
        return Ok(Verdict::NotRun("the gateway doesn't become ready".into()));
    };
    if !wait_until(Duration::from_secs(10), || deployment.request("warm", MODEL.name, 8)) {
        return Ok(Verdict::NotRun("no request is served at first".into()));
    }
    // Other sound requests, without the shared part and with another key.
    {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || {
            for number in 0.. {
                let (deployment, id) = (Arc::clone(&deployment), format!("other-{number}"));
                thread::spawn(move || {
                    send(&deployment, &id, OTHER_KEY, &format!("{:x}:120", number % 5 + 16))
                });
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    let before = send_sound(&deployment, "before", SOUND_REQUESTS);
    record.line(&format!(
        "{before} of {SOUND_REQUESTS} sound requests with the shared part begin before"
    ));
    let crashes_began = Instant::now();
    {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || {
            for number in 0.. {
                let (deployment, id) = (Arc::clone(&deployment), format!("crashing-{number}"));
                let part = if trouble { CRASHING_PART } else { "600d600d" };
                let parts = format!("{SHARED_PART}:120,{part}:40");
                thread::spawn(move || send(&deployment, &id, KEY, &parts));
                thread::sleep(CRASHING_INTERVALS[usize::from(number >= 6)]);
            }
        });
    }
    // The sound requests go on at their pace; only those after twice `contact_ms` from the last crash count.
    let crashes_end = crashes_began + Duration::from_secs(5);
    let mut uncounted = 0;
    while Instant::now() < crashes_end + 2 * CONTACT {
        send_sound(&deployment, &format!("uncounted-{uncounted}"), 1);
        uncounted += 1;
    }
    let during = send_sound(&deployment, "during", SOUND_REQUESTS);
    for line in log_lines(GATEWAY, &["event=quarantine_begun", "event=quarantine_ended"]) {
        record.line(&format!("log of the gateway: {line}"));
    }
    record.line(&format!(
        "{during} of {SOUND_REQUESTS} sound requests with the shared part begin while the others come, \
         {before} of {SOUND_REQUESTS} before"
    ));
    match during * 2 < before {
        true => {
            Ok(Verdict::Broken(format!("LOST: {during} sound requests begin, {before} before")))
        }
        false => Ok(Verdict::Held),
    }
}
