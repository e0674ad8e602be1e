//! Seeded HTTP load against a caller address or, for comparison, directly against an engine.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet, yield_now};
use tokio::time::{Instant, sleep_until};

/// The runtime's timer has a resolution of 1 ms; the rest of a wait is spent yielding.
const TIMER_SLACK: Duration = Duration::from_millis(2);
const MAX_LATENCY_US: u64 = 600_000_000;

/// What is sent where.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller address of an entry process, or address of an engine.
    pub address: SocketAddr,
    /// The address is that of an engine.
    pub engine: bool,
    /// Answers are streamed.
    pub streamed: bool,
    /// Model.
    pub model: String,
    /// Key of the customer.
    pub key: String,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Connections, each with at most one request at a time.
    pub connections: u32,
    /// Requests a second with exponential gaps; without it as fast as the connections allow.
    pub rate: Option<f64>,
    /// Length in seconds.
    pub seconds: u64,
    /// Seed of gaps and prompts.
    pub seed: u64,
}

/// What came back.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResult {
    /// Seed.
    pub seed: u64,
    /// Whole answers with status 200.
    pub answered: u64,
    /// Other answers and broken ones.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time until the last answer, in seconds.
    pub elapsed_s: f64,
    /// Answers a second.
    pub requests_per_s: f64,
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Median latency in microseconds, from the time at which the request was due.
    pub p50_us: u64,
    /// 99th percentile of the same.
    pub p99_us: u64,
    /// 99th percentile of the time to the first bytes of the body, in microseconds.
    pub first_p99_us: u64,
}

struct Run {
    plan: LoadPlan,
    start: Instant,
    /// Gaps have a generator of their own: the order of answers must not change them.
    gaps: RefCell<ChaCha8Rng>,
    prompts: RefCell<ChaCha8Rng>,
    next_due: Cell<Instant>,
    sequence: Cell<u64>,
    tally: RefCell<Tally>,
}

struct Tally {
    latency: Histogram<u64>,
    first: Histogram<u64>,
    answered: u64,
    failed: u64,
    tokens: u64,
}

/// Counts token events in a body that comes in pieces.
#[derive(Default)]
struct TokenCounter {
    rest: Vec<u8>,
    tokens: u64,
}

impl TokenCounter {
    fn add(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(length) = self.rest[from..].iter().position(|byte| *byte == b'\n') {
            let line = &self.rest[from..from + length];
            let mut fields = line.windows(8).filter(|window| window == b"\"text\":\"");
            // The last event of an answer has an empty text.
            let empty = line.windows(9).any(|window| window == b"\"text\":\"\"");
            self.tokens +=
                u64::from(line.starts_with(b"data: ") && !empty && fields.next().is_some());
            from += length + 1;
        }
        self.rest.drain(..from);
    }
}

/// Puts load on an address.
///
/// # Errors
///
/// If no connection can be made.
pub async fn put_load(plan: LoadPlan) -> std::io::Result<LoadResult> {
    let start = Instant::now();
    let histogram = || {
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .unwrap_or_else(|error| unreachable!("the bounds are constants: {error}"))
    };
    let mut prompts = ChaCha8Rng::seed_from_u64(plan.seed);
    prompts.set_stream(1);
    let tally =
        Tally { latency: histogram(), first: histogram(), answered: 0, failed: 0, tokens: 0 };
    let run = Rc::new(Run {
        start,
        gaps: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed)),
        prompts: RefCell::new(prompts),
        next_due: Cell::new(start),
        sequence: Cell::new(0),
        tally: RefCell::new(tally),
        plan,
    });
    // Connecting first shows a wrong address at once.
    drop(TcpStream::connect(run.plan.address).await?);
    LocalSet::new()
        .run_until(async {
            let mut connections = JoinSet::new();
            for _ in 0..run.plan.connections {
                connections.spawn_local(run.clone().use_connection());
            }
            while connections.join_next().await.is_some() {}
        })
        .await;
    Ok(run.result())
}

impl Run {
    /// When the next request is due; `None` at the end of the run.
    fn take_due(&self) -> Option<Instant> {
        let end = self.start + Duration::from_secs(self.plan.seconds);
        let due = match self.plan.rate {
            None => Instant::now(),
            Some(rate) => {
                let due = self.next_due.get();
                let uniform: f64 = self.gaps.borrow_mut().random_range(f64::EPSILON..1.0);
                self.next_due.set(due + Duration::from_secs_f64(-uniform.ln() / rate));
                due
            }
        };
        (due < end).then_some(due)
    }

    async fn use_connection(self: Rc<Self>) {
        let mut sender = None;
        while let Some(due) = self.take_due() {
            if due > Instant::now() + TIMER_SLACK {
                sleep_until(due - TIMER_SLACK).await;
            }
            while Instant::now() < due {
                yield_now().await;
            }
            let answer = self.call(&mut sender, due).await;
            let mut tally = self.tally.borrow_mut();
            match answer {
                Ok(tokens) => {
                    tally.answered += 1;
                    tally.tokens += tokens;
                    tally.latency.saturating_record(micros_since(due));
                }
                Err(error) => {
                    tally.failed += 1;
                    sender = None;
                    log::debug!("event=load_request_failed error=\"{error}\"");
                }
            }
        }
    }

    /// Makes one request; the tokens of its answer.
    async fn call(
        &self,
        sender: &mut Option<SendRequest<Full<Bytes>>>,
        due: Instant,
    ) -> Result<u64, Box<dyn std::error::Error>> {
        let sender = match sender {
            Some(sender) => sender,
            None => sender.insert(connect(self.plan.address).await?),
        };
        sender.ready().await?;
        let response = sender.send_request(self.request()?).await?;
        let status = response.status();
        let mut body = response.into_body();
        let mut counter = TokenCounter::default();
        let mut first = true;
        while let Some(frame) = body.frame().await {
            if let Ok(bytes) = frame?.into_data() {
                if std::mem::take(&mut first) {
                    self.tally.borrow_mut().first.saturating_record(micros_since(due));
                }
                counter.add(&bytes);
            }
        }
        if status != StatusCode::OK {
            return Err(format!("status {status}").into());
        }
        let streamed = self.plan.streamed || self.plan.engine;
        Ok(if streamed { counter.tokens } else { self.plan.tokens })
    }

    fn request(&self) -> http::Result<Request<Full<Bytes>>> {
        let LoadPlan { address, engine, streamed, model, key, tokens, seed, .. } = &self.plan;
        let number = self.sequence.replace(self.sequence.get() + 1);
        let word: u32 = self.prompts.borrow_mut().random();
        let id = format!("load-{seed}-{number}");
        let request = Request::builder().method(Method::POST).header("host", address.to_string());
        let (request, body) = if *engine {
            let body = serde_json::json!({
                "id": id, "model": model, "adapter": null, "prompt": format!("line {word}"),
                "max_tokens": tokens, "priority": 0, "parameters": {}, "resume": null
            });
            (request.uri("/generate").header("x-request-id", id), body)
        } else {
            let body = serde_json::json!({
                "model": model, "prompt": format!("line {word}"), "max_tokens": tokens,
                "stream": streamed
            });
            let request = request.uri("/v1/completions");
            (request.header("authorization", format!("Bearer {key}")), body)
        };
        request.body(Full::new(Bytes::from(body.to_string())))
    }

    fn result(&self) -> LoadResult {
        let tally = self.tally.borrow();
        let elapsed_s = self.start.elapsed().as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
        let per_s = |count: u64| count as f64 / elapsed_s;
        LoadResult {
            seed: self.plan.seed,
            answered: tally.answered,
            failed: tally.failed,
            tokens: tally.tokens,
            elapsed_s,
            requests_per_s: per_s(tally.answered),
            tokens_per_s: per_s(tally.tokens),
            p50_us: tally.latency.value_at_quantile(0.5),
            p99_us: tally.latency.value_at_quantile(0.99),
            first_p99_us: tally.first.value_at_quantile(0.99),
        }
    }
}

fn micros_since(due: Instant) -> u64 {
    u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX)
}

async fn connect(
    address: SocketAddr,
) -> Result<SendRequest<Full<Bytes>>, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=load_connection_ended error=\"{error}\"");
        }
    });
    Ok(sender)
}
