//! Requesters that are not controlled: requests inside the limits that exhaust a gateway.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::wait_until;
use crate::deployment::{Configuration, Deployment, GATEWAY, KEY, ModelRequest, part_id};
use crate::engine::ModelSize;
use crate::machine::memory_mb;
use crate::record::Record;

const MODEL: ModelSize = ModelSize { name: "cymraeg", weights_mb: 72_700, adapter_mb: 40 };
/// Route's `timeout_ms`.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after it at which an answer is overdue, from the rule.
const OVERDUE: Duration = Duration::from_millis(500);
/// Pause of a requester after a refusal, and between ordinary requests.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Memory of the gateway's machine, as its settings say.
const MEMORY_LIMIT_MB: u64 = 260;

fn start(record: &Record) -> io::Result<Result<Arc<Deployment>, Verdict>> {
    let first = Configuration {
        version: 10,
        models: &[MODEL],
        keys: &[KEY],
        rate: (60_000, 120_000),
        timeout_ms: TIMEOUT.as_millis() as u64,
    };
    let Some(deployment) = Deployment::start(&first, &[MODEL], &[MODEL.name], record)? else {
        return Ok(Err(Verdict::NotRun("the gateway doesn't become ready".into())));
    };
    if !wait_until(Duration::from_secs(10), || deployment.request("warm", MODEL.name, 8)) {
        return Ok(Err(Verdict::NotRun("no request is served at first".into())));
    }
    Ok(Ok(Arc::new(deployment)))
}

/// Threads that do the same again and again until they are stopped.
struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(size: usize, step: impl Fn(usize, usize) + Send + Sync + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let step = Arc::new(step);
        let threads = (0..size)
            .map(|member| {
                let (stop, step) = (Arc::clone(&stop), Arc::clone(&step));
                thread::spawn(move || {
                    for round in 0.. {
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        step(member, round);
                    }
                })
            })
            .collect();
        Self { stop, threads }
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _joined = thread.join();
        }
    }
}

/// What became of ordinary requests.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    /// Without an answer at the route's timeout.
    late: AtomicUsize,
    /// Without an answer half a second after it.
    overdue: AtomicUsize,
}

/// Eight requesters send prompts of many short parts, inside their tenant's rate. Without trouble the
/// same prompts have two parts.
pub fn prompt_parts(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const PARTS: u64 = 3_700;
    let deployment = match start(record)? {
        Ok(deployment) => deployment,
        Err(verdict) => return Ok(verdict),
    };
    let crowd = {
        let deployment = Arc::clone(&deployment);
        Crowd::start(8, move |member, round| {
            let id = format!("many-{member}-{round}");
            let own = part_id(&id) & 0xffff_ffff;
            let parts = match trouble {
                true => format!("{own:x}:1{}", ",1:1".repeat(PARTS as usize - 1)),
                false => format!("{own:x}:{},1:1", PARTS - 1),
            };
            let request = ModelRequest {
                id: &id,
                key: KEY,
                model: MODEL.name,
                parts: &parts,
                prompt_tokens: PARTS,
                output_tokens: 4,
                deadline: TIMEOUT,
            };
            let sent = Instant::now();
            let answer = deployment.send(&request, Duration::from_secs(20));
            let took = sent.elapsed().as_millis();
            deployment
                .record
                .line(&format!("{id} of the crowd after {took} ms: {}", answer.text()));
            if !answer.is_success() {
                thread::sleep(RETRY_PAUSE);
            }
        })
    };
    thread::sleep(Duration::from_secs(10));
    let counts = Arc::new(Counts::default());
    let ordinary = {
        let (deployment, counts) = (Arc::clone(&deployment), Arc::clone(&counts));
        Crowd::start(8, move |member, round| {
            let id = format!("ordinary-{member}-{round}");
            let parts = format!("5c1e07a2:60,{:x}:40", part_id(&id));
            let request = ModelRequest {
                id: &id,
                key: KEY,
                model: MODEL.name,
                parts: &parts,
                prompt_tokens: 100,
                output_tokens: 4,
                deadline: 2 * TIMEOUT,
            };
            counts.sent.fetch_add(1, Ordering::SeqCst);
            let sent = Instant::now();
            let answer = deployment.send(&request, Duration::ZERO);
            let took = sent.elapsed();
            let tests = [
                (&counts.served, answer.is_success()),
                (&counts.late, took >= TIMEOUT),
                (&counts.overdue, took >= TIMEOUT + OVERDUE),
            ];
            for (count, _) in tests.iter().filter(|(_, holds)| *holds) {
                count.fetch_add(1, Ordering::SeqCst);
            }
            deployment.record.line(&format!(
                "{id} after {} ms: {}",
                took.as_millis(),
                answer.text()
            ));
            thread::sleep(RETRY_PAUSE);
        })
    };
    let mut unready = 0;
    for _ in 0..20 {
        let asked = Instant::now();
        unready += usize::from(!deployment.is_ready());
        thread::sleep(Duration::from_secs(1).saturating_sub(asked.elapsed()));
    }
    ordinary.end();
    crowd.end();
    let [sent, served, late, overdue] =
        [&counts.sent, &counts.served, &counts.late, &counts.overdue]
            .map(|count| count.load(Ordering::SeqCst));
    record.line(&format!(
        "ordinary requests: {sent} sent, {served} served, {late} without an answer at the route's timeout, \
         {overdue} of these {} ms later; {unready} of 20 questions whether the gateway is ready had no 200",
        OVERDUE.as_millis()
    ));
    // Both sentences of the rule: eight or more and over a quarter, and more than half.
    if overdue >= 8 && overdue * 2 > late {
        let text = format!(
            "CONFIG: {overdue} of {late} requests that last longer than timeout_ms have no final answer \
             0.5 s after it"
        );
        return Ok(Verdict::Broken(text));
    }
    Ok(Verdict::Held)
}

/// Requesters ask for models that don't exist, each time for another one, and leave soon. Without trouble
/// they ask for the same one each time.
pub fn model_names(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const NAME_BYTES: usize = 12_000;
    let deployment = match start(record)? {
        Ok(deployment) => deployment,
        Err(verdict) => return Ok(verdict),
    };
    let before = memory_mb(GATEWAY).unwrap_or_default();
    let sent = Arc::new(AtomicUsize::new(0));
    let crowd = {
        let (deployment, sent) = (Arc::clone(&deployment), Arc::clone(&sent));
        Crowd::start(60, move |member, round| {
            let id = format!("name-{member}-{round}");
            let own = if trouble { id.as_str() } else { "name" };
            let model = format!("{own}-{}", "x".repeat(NAME_BYTES));
            let request = ModelRequest {
                id: &id,
                key: KEY,
                model: &model,
                parts: "5c1e07a2:60",
                prompt_tokens: 60,
                output_tokens: 4,
                deadline: Duration::from_millis(50),
            };
            let answer = deployment.send(&request, Duration::from_secs(2));
            let number = sent.fetch_add(1, Ordering::SeqCst);
            if number % 1_000 == 0 {
                deployment
                    .record
                    .line(&format!("request {number} of the crowd: {}", answer.text()));
            }
        })
    };
    let mut most = before;
    for second in 1..=60 {
        thread::sleep(Duration::from_secs(1));
        let Some(now) = memory_mb(GATEWAY) else {
            crowd.end();
            return Ok(Verdict::Broken("the gateway has ended".into()));
        };
        most = most.max(now);
        if second % 5 == 0 {
            let count = sent.load(Ordering::SeqCst);
            record.line(&format!("after {count} requests the gateway takes {now} MB"));
        }
        if most > MEMORY_LIMIT_MB {
            break;
        }
    }
    crowd.end();
    thread::sleep(Duration::from_secs(5));
    let after = memory_mb(GATEWAY).unwrap_or_default();
    let count = sent.load(Ordering::SeqCst);
    record.line(&format!(
        "{count} requests; memory of the gateway before: {before} MB, most: {most} MB, 5 s after the last: \
         {after} MB; its machine has {MEMORY_LIMIT_MB} MB"
    ));
    match most > MEMORY_LIMIT_MB {
        true => {
            Ok(Verdict::Broken("a process takes more than limits.memory_mb, and is killed".into()))
        }
        false => Ok(Verdict::Held),
    }
}
