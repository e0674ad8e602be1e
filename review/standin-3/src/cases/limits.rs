//! LIMIT: a worker is ordered to load more than its memory holds.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::Verdict;
use crate::client::wait_until;
use crate::deployment::{Configuration, Deployment, KEY, SIDE};
use crate::engine::ModelSize;
use crate::machine::log_lines;
use crate::record::Record;

const ADAPTER_MB: u64 = 40;
const FIRST: ModelSize = ModelSize { name: "cymraeg", weights_mb: 72_700, adapter_mb: ADAPTER_MB };
const SECOND: ModelSize = ModelSize { name: "saesneg", weights_mb: 72_700, adapter_mb: ADAPTER_MB };
/// Fits beside the first two, with room for two adapters.
const THIRD: ModelSize = ModelSize { name: "emynau", weights_mb: 54_500, adapter_mb: ADAPTER_MB };
/// Fits only in the place of the third.
const FOURTH: ModelSize =
    ModelSize { name: "emynau-2", weights_mb: 54_500, adapter_mb: ADAPTER_MB };
const ALL: [ModelSize; 4] = [FIRST, SECOND, THIRD, FOURTH];
/// Key that a second configuration adds.
const SECOND_KEY: &str = "key-of-the-hall";
/// Time after which an agent asks for the next configuration at once.
const CALM: Duration = Duration::from_secs(7);

fn configuration<'a>(
    version: u64,
    models: &'a [ModelSize],
    keys: &'a [&'a str],
) -> Configuration<'a> {
    Configuration { version, models, keys, rate: (0, 0), timeout_ms: 12_000 }
}

impl Deployment {
    /// Requests on six adapters of the first model at once, again and again for five seconds; returns
    /// the number of whole successes.
    fn use_adapters(self: &Arc<Self>) -> usize {
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicUsize::new(0));
        let threads: Vec<_> = (1..=6)
            .map(|adapter| {
                let (deployment, stop, served) =
                    (Arc::clone(self), Arc::clone(&stop), Arc::clone(&served));
                thread::spawn(move || {
                    for round in 0.. {
                        if stop.load(Ordering::SeqCst) || deployment.engine.has_crashed() {
                            return;
                        }
                        let id = format!("adapter-{adapter}-{round}");
                        let model = format!("{}/a{adapter}", FIRST.name);
                        if deployment.request(&id, &model, 60) {
                            served.fetch_add(1, Ordering::SeqCst);
                        } else {
                            thread::sleep(Duration::from_millis(200));
                        }
                    }
                })
            })
            .collect();
        wait_until(Duration::from_secs(5), || self.engine.has_crashed());
        stop.store(true, Ordering::SeqCst);
        for thread in threads {
            let _joined = thread.join();
        }
        served.load(Ordering::SeqCst)
    }

    /// Begins four streams of nine seconds on the second model.
    fn start_streams(self: &Arc<Self>) -> Vec<JoinHandle<bool>> {
        let streams = (1..=4)
            .map(|number| {
                let deployment = Arc::clone(self);
                thread::spawn(move || {
                    deployment.request(&format!("stream-{number}"), SECOND.name, 360)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        streams
    }

    fn await_streams(&self, streams: Vec<JoinHandle<bool>>) {
        let whole =
            streams.into_iter().filter_map(|stream| stream.join().ok()).filter(|whole| *whole);
        self.record.line(&format!("{} of 4 streams were served whole", whole.count()));
    }

    fn verdict(&self) -> Verdict {
        for line in
            log_lines(&format!("{SIDE}1"), &["event=configuration_in_force", "event=order_given"])
        {
            self.record.line(&format!("log of the agent: {line}"));
        }
        match self.engine.has_crashed() {
            true => {
                Verdict::Broken("LIMIT: the worker was ordered to load more than weights_mb".into())
            }
            false => Verdict::Held,
        }
    }
}

/// Starts a deployment that serves, and waits until it is calm.
fn calm_deployment(
    models: &[ModelSize],
    record: &Record,
) -> io::Result<Result<Arc<Deployment>, Verdict>> {
    let preloaded: Vec<&'static str> = models.iter().map(|model| model.name).collect();
    let first = configuration(10, models, &[KEY]);
    let Some(deployment) = Deployment::start(&first, &ALL, &preloaded, record)? else {
        return Ok(Err(Verdict::NotRun("the gateway doesn't become ready".into())));
    };
    if !wait_until(Duration::from_secs(10), || deployment.request("warm", FIRST.name, 8)) {
        return Ok(Err(Verdict::NotRun("no request is served at first".into())));
    }
    thread::sleep(CALM);
    Ok(Ok(Arc::new(deployment)))
}

/// A new model comes with the second of two configurations in quick succession; requests for adapters
/// follow. Without trouble the first of the two is left out.
pub fn new_model(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let deployment = match calm_deployment(&[FIRST, SECOND], record)? {
        Ok(deployment) => deployment,
        Err(verdict) => return Ok(verdict),
    };
    let keys = [KEY, SECOND_KEY];
    if trouble {
        deployment.configure(&configuration(13, &[FIRST, SECOND], &keys), "a key is added");
        thread::sleep(Duration::from_millis(1_000));
    }
    deployment.configure(&configuration(17, &[FIRST, SECOND, THIRD], &keys), "a model is added");
    if !wait_until(Duration::from_secs(15), || deployment.engine.holds(THIRD.name)) {
        return Ok(Verdict::NotRun("the new model is never loaded".into()));
    }
    let streams = deployment.start_streams();
    let served = deployment.use_adapters();
    record.line(&format!("{served} requests on adapters were served whole"));
    deployment.await_streams(streams);
    Ok(deployment.verdict())
}

/// A configuration replaces a model by another one. Without trouble it adds the new one and keeps the
/// old one.
pub fn retired_model(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let deployment = match calm_deployment(&[FIRST, SECOND, THIRD], record)? {
        Ok(deployment) => deployment,
        Err(verdict) => return Ok(verdict),
    };
    let streams = deployment.start_streams();
    if trouble {
        let second = configuration(13, &[FIRST, SECOND, FOURTH], &[KEY]);
        deployment.configure(&second, "a model is replaced by another one");
    } else {
        deployment.configure(&configuration(13, &ALL, &[KEY]), "a model is added");
    }
    deployment.await_streams(streams);
    Ok(deployment.verdict())
}
