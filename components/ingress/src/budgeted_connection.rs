//! A caller's connection under the budget.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::SharedCallerBudget;
use crate::caller_budget::ConnectionKey;
use crate::held_bytes::HeldBytes;

/// First memory of a body. Larger bodies get more as their bytes arrive, whatever they announce.
const FIRST_CAPACITY_BYTES: usize = 16 << 10;
/// Least memory of a body without a known length.
const LEAST_CAPACITY_BYTES: usize = 1 << 10;

/// `Retry-After` of rejections by the budget. What has stalled gives way after half of it.
pub(crate) const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why there is no complete body. The request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFault {
    /// It is larger than the limit.
    TooLarge,
    /// The connection broke, or the body is malformed.
    Broken,
    /// It did not arrive in time, or it stalled and others needed the memory.
    Slow,
    /// The budget has no room for it.
    NoRoom,
}

impl BodyFault {
    /// The error for the caller, for a limit of `limit_bytes`.
    pub fn into_error(self, limit_bytes: usize) -> ApiError {
        match self {
            Self::TooLarge => {
                let text = format!("the body is larger than {limit_bytes} bytes");
                ApiError::new(ErrorCode::BodyTooLarge, text)
            }
            Self::Broken => ApiError::new(ErrorCode::InvalidRequest, "the body broke off"),
            Self::Slow => {
                ApiError::new(ErrorCode::RequestTimeout, "the body did not arrive in time")
            }
            Self::NoRoom => {
                ApiError::new(ErrorCode::NoCapacity, "this process has no room for the body now")
                    .with_retry_after(BUDGET_RETRY_AFTER)
            }
        }
    }
}

/// What the budget tells the task of a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSignals {
    closing: Cell<bool>,
    close: Notify,
    given_up: Cell<Option<BodyFault>>,
    body: Notify,
    buffer: RefCell<Vec<u8>>,
}

impl ConnectionSignals {
    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.buffer.take();
        self.closing.set(true);
        self.close.notify_one();
    }

    /// Frees the memory of the body at once and rejects its request.
    pub(crate) fn give_up_body(&self, fault: BodyFault) {
        self.buffer.take();
        self.given_up.set(Some(fault));
        self.body.notify_one();
    }
}

/// A caller's connection under the budget; it is removed from it when dropped.
pub struct BudgetedConnection {
    shared: Rc<SharedCallerBudget>,
    key: ConnectionKey,
    signals: Rc<ConnectionSignals>,
    answered: Cell<bool>,
}

impl Drop for BudgetedConnection {
    fn drop(&mut self) {
        self.shared.remove(self.key);
    }
}

impl BudgetedConnection {
    pub(crate) fn new(
        shared: Rc<SharedCallerBudget>,
        key: ConnectionKey,
        signals: Rc<ConnectionSignals>,
    ) -> Self {
        Self { shared, key, signals, answered: Cell::new(false) }
    }

    /// Waits until the budget closes the connection.
    pub(crate) async fn closed(&self) {
        while !self.signals.closing.get() {
            self.signals.close.notified().await;
        }
    }

    /// A complete head has arrived.
    pub(crate) fn start_request(&self) {
        self.answered.set(false);
        self.signals.given_up.set(None);
        self.shared.budget.borrow_mut().start_request(self.key, self.shared.now());
    }

    /// The response begins; `bytes` of it are in memory.
    pub(crate) fn start_response(&self, bytes: u64) {
        self.shared.budget.borrow_mut().start_response(self.key, bytes, self.shared.now());
    }

    /// Bytes were written to the connection.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.shared.budget.borrow_mut().record_sent(self.key, bytes as u64, self.shared.now());
    }

    /// The connection takes no more bytes for now.
    pub(crate) fn record_blocked(&self) {
        self.shared.budget.borrow_mut().record_blocked(self.key);
    }

    /// The last part of the response was passed to the HTTP server.
    pub(crate) fn finish_response(&self) {
        self.answered.set(true);
    }

    /// All that the HTTP server had to send was written.
    pub(crate) fn record_flush(&self) {
        if self.answered.replace(false) {
            self.shared.budget.borrow_mut().finish_request(self.key, self.shared.now());
        }
    }

    /// Reads the body of the request in progress: at most `limit_bytes` within `time`. `group`
    /// shares the memory fairly with other groups.
    ///
    /// # Errors
    ///
    /// Why there is no complete body; the connection must be closed after the error response.
    pub async fn read_body(
        &self,
        body: Incoming,
        limit_bytes: usize,
        time: Duration,
        group: u32,
    ) -> Result<Bytes, BodyFault> {
        if body.size_hint().lower() > limit_bytes as u64 {
            return Err(BodyFault::TooLarge);
        }
        self.shared.budget.borrow_mut().start_body(self.key, group, self.shared.now());
        let collected =
            timeout(time, self.collect(body, limit_bytes)).await.unwrap_or(Err(BodyFault::Slow));
        let bytes = self.signals.buffer.take();
        self.shared.budget.borrow_mut().finish_body(self.key, self.shared.now());
        collected.map(|()| HeldBytes::new(bytes, &self.shared.held_bytes).into_bytes())
    }

    async fn collect(&self, mut body: Incoming, limit_bytes: usize) -> Result<(), BodyFault> {
        let known =
            body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(limit_bytes));
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.signals.body.notified() => match self.signals.given_up.get() {
                    Some(fault) => return Err(fault),
                    None => continue,
                },
            };
            if let Some(fault) = self.signals.given_up.get() {
                return Err(fault);
            }
            match frame {
                None => return Ok(()),
                Some(Err(_)) => return Err(BodyFault::Broken),
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.append(&bytes, known, limit_bytes)?;
                }
            }
        }
    }

    /// Copies bytes into the one buffer of the body, so that a chunk costs nothing beyond its bytes.
    fn append(
        &self,
        bytes: &[u8],
        known: Option<usize>,
        limit_bytes: usize,
    ) -> Result<(), BodyFault> {
        let (length, capacity) = {
            let buffer = self.signals.buffer.borrow();
            (buffer.len() + bytes.len(), buffer.capacity())
        };
        if length > limit_bytes {
            return Err(BodyFault::TooLarge);
        }
        if length > capacity {
            let first = known.map_or(LEAST_CAPACITY_BYTES, |known| known.min(FIRST_CAPACITY_BYTES));
            let most = known.unwrap_or(limit_bytes).max(length);
            let wanted = length.max(first).max(capacity * 2).min(most);
            self.reserve(wanted as u64)?;
            let mut buffer = self.signals.buffer.borrow_mut();
            let more = wanted - buffer.len();
            buffer.reserve_exact(more);
        } else {
            self.shared.budget.borrow_mut().record_progress(self.key, self.shared.now());
        }
        self.signals.buffer.borrow_mut().extend_from_slice(bytes);
        Ok(())
    }

    fn reserve(&self, capacity_bytes: u64) -> Result<(), BodyFault> {
        let shared = &self.shared;
        let now = shared.now();
        let reservation =
            shared.budget.borrow_mut().reserve(self.key, capacity_bytes, shared.held(), now);
        for (key, stalled) in reservation.given_up {
            shared.count(|rejections| rejections.bodies += 1);
            let fault = if stalled { BodyFault::Slow } else { BodyFault::NoRoom };
            shared.with_signals(key, |signals| signals.give_up_body(fault));
        }
        if reservation.granted {
            return Ok(());
        }
        shared.count(|rejections| rejections.bodies += 1);
        Err(BodyFault::NoRoom)
    }
}
