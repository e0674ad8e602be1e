//! Budget of a process for its callers, with the connections that it governs.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{SortedMap, Timestamp};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::budgeted_connection::{BUDGET_RETRY_AFTER, BudgetedConnection, ConnectionSignals};
use crate::caller_budget::{Admission, CallerBudget, ConnectionKey};
use crate::{CallerBudgetSettings, raw_error_response};

/// Time between two reports of what was rejected.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What the budget has rejected since the last report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct BudgetRejections {
    /// Connections that were closed for others.
    pub connections_closed: u64,
    /// Connections that were refused because no other one could be closed.
    pub connections_refused: u64,
    /// Bodies that were given up or refused.
    pub bodies: u64,
    /// Connections that were closed because they did not read a response.
    pub responses: u64,
}

/// Budget of a process for its callers, with the connections that it governs.
pub struct SharedCallerBudget {
    pub(crate) budget: RefCell<CallerBudget>,
    connections: RefCell<SortedMap<ConnectionKey, Rc<ConnectionSignals>>>,
    /// Memory of complete bodies.
    pub(crate) held_bytes: Arc<AtomicU64>,
    rejections: Cell<BudgetRejections>,
    /// Whether a response uses the memory that is left for small bodies.
    pub(crate) overdrawn: Rc<Cell<bool>>,
    started: Instant,
}

impl SharedCallerBudget {
    /// An unused budget.
    pub fn new(settings: CallerBudgetSettings) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(CallerBudget::new(settings)),
            connections: RefCell::default(),
            held_bytes: Arc::default(),
            rejections: Cell::default(),
            overdrawn: Rc::default(),
            started: Instant::now(),
        })
    }

    /// Changes the sizes.
    pub fn set_settings(&self, settings: CallerBudgetSettings) {
        self.budget.borrow_mut().set_settings(settings);
    }

    /// Bounds the kernel's buffers of the connections that a listener accepts.
    pub fn bound_sockets(&self, listener: &TcpListener) {
        let socket = socket2::SockRef::from(listener);
        let bytes = self.budget.borrow().settings().socket_buffer_bytes;
        let bounded =
            socket.set_recv_buffer_size(bytes).and_then(|()| socket.set_send_buffer_size(bytes));
        if let Err(error) = bounded {
            log::warn!("event=socket_buffers_unbounded error=\"{error}\"");
        }
    }

    /// Admits a connection; `None` if it must be refused.
    pub fn open(self: &Rc<Self>) -> Option<Rc<BudgetedConnection>> {
        let admission = self.budget.borrow_mut().open(self.now());
        let Admission::Admitted { key, closed } = admission else {
            self.count(|rejections| rejections.connections_refused += 1);
            return None;
        };
        if let Some(closed) = closed {
            self.count(|rejections| rejections.connections_closed += 1);
            self.with_signals(closed, ConnectionSignals::close);
        }
        let signals = Rc::new(ConnectionSignals::default());
        self.connections.borrow_mut().insert(key, Rc::clone(&signals));
        Some(Rc::new(BudgetedConnection::new(Rc::clone(self), key, signals)))
    }

    /// Reports what was rejected, at most once a second, until the task is aborted: in one log line,
    /// and to `record` with a reason from a fixed set and a count.
    pub async fn report(&self, record: impl Fn(&'static str, u64)) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let rejections = self.rejections.take();
            if rejections == BudgetRejections::default() {
                continue;
            }
            let BudgetRejections { connections_closed, connections_refused, bodies, responses } =
                rejections;
            record("connection_closed", connections_closed);
            record("connection_refused", connections_refused);
            record("body", bodies);
            record("unread_response", responses);
            log::warn!(
                "event=caller_budget_used_up connections_closed={connections_closed} connections_refused={connections_refused} bodies={bodies} unread_responses={responses} connections={} body_bytes={} held_bytes={}",
                self.connections.borrow().len(),
                self.budget.borrow().reading_bytes(),
                self.held()
            );
        }
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut BudgetRejections)) {
        let mut rejections = self.rejections.get();
        change(&mut rejections);
        self.rejections.set(rejections);
    }

    pub(crate) fn now(&self) -> Timestamp {
        let micros = self.started.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    pub(crate) fn held(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn with_signals(&self, key: ConnectionKey, act: impl FnOnce(&ConnectionSignals)) {
        let signals = self.connections.borrow().get(&key).map(Rc::clone);
        if let Some(signals) = signals {
            act(&signals);
        }
    }

    pub(crate) fn remove(&self, key: ConnectionKey) {
        self.budget.borrow_mut().close(key);
        self.connections.borrow_mut().remove(&key);
    }
}

/// Answers a connection for which there is no room with 503, as far as its socket takes the answer
/// at once. Returns the code of the error.
pub fn refuse_connection(socket: &TcpStream, request_id: &str) -> ErrorCode {
    let error = ApiError::new(ErrorCode::NoCapacity, "this process has too many connections")
        .with_retry_after(BUDGET_RETRY_AFTER);
    if let Err(error) = socket.try_write(raw_error_response(&error, request_id).as_bytes()) {
        log::debug!("event=refusal_unsent error=\"{error}\"");
    }
    error.code
}
