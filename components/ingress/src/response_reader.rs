//! Reading of responses into the memory for callers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::sleep;

use crate::SharedCallerBudget;
use crate::budgeted_connection::{BodyFault, ConnectionSignals};
use crate::caller_budget::ResponseRoom;
use crate::held_bytes::HeldBytes;

/// Time between two attempts to find room for a response.
const ROOM_RETRY: Duration = Duration::from_millis(50);
/// First memory of a response.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;

/// The response of a target is larger than the limit, or broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IncompleteResponse;

impl SharedCallerBudget {
    /// Reads a response of at most `limit_bytes` and waits while there is no room for it; unread
    /// responses and bodies that have stalled give way to it.
    ///
    /// # Errors
    ///
    /// If the response is larger, or breaks off.
    pub async fn read_response<B>(
        &self,
        mut body: B,
        limit_bytes: usize,
    ) -> Result<Bytes, IncompleteResponse>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let hint = body.size_hint();
        let most =
            hint.exact().and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(limit_bytes);
        let mut overdraft = None;
        let mut held = HeldBytes::new(Vec::new(), &self.held_bytes);
        while let Some(frame) = body.frame().await {
            let Ok(bytes) = frame.map_err(|_| IncompleteResponse)?.into_data() else { continue };
            let length = held.len() + bytes.len();
            if length > limit_bytes {
                return Err(IncompleteResponse);
            }
            if length > held.capacity() {
                let wanted = length.max(held.capacity() * 2).max(FIRST_CAPACITY_BYTES);
                let capacity = wanted.min(most.max(length));
                self.wait_for_room(capacity, held.capacity(), &mut overdraft).await;
                held.grow(capacity);
            }
            held.append(&bytes);
        }
        Ok(held.into_bytes())
    }

    async fn wait_for_room(
        &self,
        capacity: usize,
        present: usize,
        overdraft: &mut Option<Overdraft>,
    ) {
        loop {
            let (now, held) = (self.now(), self.held());
            let room = self.budget.borrow_mut().response_room(
                capacity as u64,
                (capacity - present) as u64,
                held,
                now,
            );
            match room {
                ResponseRoom::Granted => return,
                ResponseRoom::GiveUpBody(key) => {
                    self.count(|rejections| rejections.bodies += 1);
                    self.with_signals(key, |signals| signals.give_up_body(BodyFault::Slow));
                }
                ResponseRoom::Close(key) => {
                    self.count(|rejections| rejections.responses += 1);
                    self.with_signals(key, ConnectionSignals::close);
                    sleep(ROOM_RETRY).await;
                }
                ResponseRoom::Wait if self.may_overdraw(capacity - present, overdraft) => return,
                ResponseRoom::Wait => sleep(ROOM_RETRY).await,
            }
        }
    }

    /// Whether a response that finds no room may use what is left for small bodies. One response at
    /// a time may, so that partly read ones don't wait for each other without end.
    fn may_overdraw(&self, more_bytes: usize, overdraft: &mut Option<Overdraft>) -> bool {
        let budget = self.budget.borrow();
        let used = budget.reading_bytes() + self.held() + more_bytes as u64;
        if used > budget.settings().memory_bytes {
            return false;
        }
        if overdraft.is_none() && !self.overdrawn.replace(true) {
            *overdraft = Some(Overdraft(Rc::clone(&self.overdrawn)));
        }
        overdraft.is_some()
    }
}

/// Right of one response to the memory that is left for small bodies, until it is dropped.
struct Overdraft(Rc<Cell<bool>>);

impl Drop for Overdraft {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
