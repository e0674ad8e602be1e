//! Callers of the soak.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::seeded_rng;
use compact_str::{CompactString, format_compact};
use platform_standin::{CallerConnection, CallerKind, CallerRequest};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::evidence::Attempt;
use crate::site::{
    ADAPTERS, EXTRA_PATH, GENERATE_PATH, MODELS, ORDER_PATH, READ_PATH, Site, TENANTS, keys,
};

/// Time between two questions whether a gateway is ready.
const READY_INTERVAL: Duration = Duration::from_millis(500);
/// Misses after which a gateway gets no new connections.
const READY_MISSES: u32 = 2;
/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Requests on one connection as a rule.
const REQUESTS_PER_CONNECTION: usize = 15;
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..180;
/// Prompts that callers share.
const SHARED_PROMPTS: u64 = 12;

/// What all callers share.
pub(crate) struct Load {
    site: Rc<Site>,
    attempts: RefCell<Vec<Attempt>>,
    /// Misses in a row of each gateway's readiness check.
    misses: Vec<Cell<u32>>,
    ends: Cell<bool>,
}

impl Load {
    /// Starts callers and readiness checks as local tasks.
    pub(crate) fn start(site: &Rc<Site>, callers: usize, seed: u64) -> Rc<Self> {
        let load = Rc::new(Self {
            site: Rc::clone(site),
            attempts: RefCell::default(),
            misses: site.gateways.iter().map(|_| Cell::new(READY_MISSES)).collect(),
            ends: Cell::new(false),
        });
        for gateway in 0..site.gateways.len() {
            tokio::task::spawn_local(check_ready(Rc::clone(&load), gateway));
        }
        for number in 0..callers {
            let random = seeded_rng(seed ^ (number as u64 + 1) << 32);
            tokio::task::spawn_local(Caller::new(Rc::clone(&load), number, random).run());
        }
        load
    }

    /// Ends the load; requests under way end by themselves.
    pub(crate) fn stop(&self) {
        self.ends.set(true);
    }

    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.attempts.borrow().clone()
    }

    /// Gateways that get new connections: those that are ready, or all if fewer than half are.
    fn in_rotation(&self) -> Vec<usize> {
        let ready = |gateway: &usize| self.misses[*gateway].get() < READY_MISSES;
        let all: Vec<usize> = (0..self.misses.len()).collect();
        let rotation: Vec<usize> = all.iter().copied().filter(ready).collect();
        if rotation.len() * 2 < all.len() { all } else { rotation }
    }
}

/// Asks a gateway for its readiness as the platform's balancer does.
async fn check_ready(load: Rc<Load>, gateway: usize) {
    let address = load.site.gateways[gateway].ready;
    while !load.ends.get() {
        let is_ready = timeout(READY_INTERVAL, ask_ready(address)).await.unwrap_or(false);
        let misses = &load.misses[gateway];
        misses.set(if is_ready { 0 } else { misses.get().saturating_add(1) });
        sleep(READY_INTERVAL).await;
    }
}

async fn ask_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut socket = TcpStream::connect(address).await?;
        socket.write_all(b"GET /ready HTTP/1.1\r\nhost: ready\r\n\r\n").await?;
        let mut head = [0; 12];
        socket.read_exact(&mut head).await?;
        Ok::<bool, std::io::Error>(&head[9..] == b"200")
    };
    // A gateway that is not there is not ready.
    asked.await.unwrap_or(false)
}

struct Caller {
    load: Rc<Load>,
    number: usize,
    random: ChaCha8Rng,
    sent: usize,
    connection: Option<(CallerConnection, usize)>,
}

impl Caller {
    const fn new(load: Rc<Load>, number: usize, random: ChaCha8Rng) -> Self {
        Self { load, number, random, sent: 0, connection: None }
    }

    async fn run(mut self) {
        while !self.load.ends.get() {
            let mut request = self.draw_request();
            let began = Instant::now();
            let patience = request.deadline;
            let attempt = self.call(request.clone()).await;
            // A caller comes back once, on a new connection, if it was told that nothing has run.
            if let Some(attempt) = attempt
                && attempt.answer.guarantees_not_run()
            {
                let left = patience.saturating_sub(began.elapsed());
                sleep(attempt.answer.retry_after.unwrap_or_default().min(left / 3)).await;
                self.connection = None;
                request.id = self.next_id();
                request.deadline = patience.saturating_sub(began.elapsed());
                self.call(request).await;
            }
            sleep(Duration::from_millis(self.random.random_range(PAUSE_MS))).await;
        }
    }

    fn next_id(&mut self) -> CompactString {
        self.sent += 1;
        format_compact!("c{}-{}", self.number, self.sent)
    }

    fn draw_request(&mut self) -> CallerRequest {
        let tenant = TENANTS[self.number % TENANTS.len()];
        let (path, kind, deadline) = match self.random.random_range(0..100) {
            0..45 => (GENERATE_PATH, self.draw_generation(), Duration::from_secs(6)),
            45..70 => (READ_PATH, CallerKind::Read, Duration::from_secs(3)),
            70..92 => (ORDER_PATH, CallerKind::Order, Duration::from_secs(3)),
            _ => (EXTRA_PATH, CallerKind::Read, Duration::from_secs(3)),
        };
        let key = keys(tenant).choose(&mut self.random).cloned().unwrap_or_default();
        CallerRequest {
            id: self.next_id(),
            host: self.load.site.spec.borrow().host.clone(),
            path: path.into(),
            key,
            deadline,
            kind,
            after_event: None,
            resumes: None,
        }
    }

    fn draw_generation(&mut self) -> CallerKind {
        let hot = self.random.random_range(0..100) < 60;
        let model = if hot { 0 } else { self.random.random_range(1..MODELS.len()) };
        let adapter = self.random.random_range(0..=2 * ADAPTERS);
        let model = match adapter {
            1..=ADAPTERS => format_compact!("{}/a{adapter}", MODELS[model]),
            _ => MODELS[model].into(),
        };
        CallerKind::Generation {
            model,
            prompt_tokens: self.random.random_range(200..3_000),
            output_tokens: self.random.random_range(4..120),
            prompt: self.random.random_range(1..=SHARED_PROMPTS),
        }
    }

    /// Makes one attempt; none if no connection could be opened.
    async fn call(&mut self, request: CallerRequest) -> Option<Attempt> {
        let (mut connection, gateway) = self.connect().await?;
        let customer = TENANTS[self.number % TENANTS.len()].into();
        let sent_at = Instant::now();
        let answer = connection.call(&request).await;
        let ended_at = Instant::now();
        let reuse = answer.is_complete && !self.sent.is_multiple_of(REQUESTS_PER_CONNECTION);
        self.connection = reuse.then_some((connection, gateway));
        let attempt = Attempt { request, customer, gateway, sent_at, ended_at, answer };
        self.load.attempts.borrow_mut().push(attempt.clone());
        Some(attempt)
    }

    async fn connect(&mut self) -> Option<(CallerConnection, usize)> {
        if let Some((mut connection, gateway)) = self.connection.take()
            && connection.is_open().await
        {
            return Some((connection, gateway));
        }
        let gateway = self.load.in_rotation().choose(&mut self.random).copied()?;
        let address = self.load.site.gateways[gateway].callers.address();
        Some((CallerConnection::open(address, CONNECT_LIMIT).await?, gateway))
    }
}
