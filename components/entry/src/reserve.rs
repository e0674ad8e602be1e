//! Reservation of a customer's tokens at the owners of its bucket's slots.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::Tokens;
use compact_str::CompactString;
use rates::{CollectAction, CollectRequest, Collector, ReservationPart, apportion_usage};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until};
use wire::{PeerCall, PeerReply, ReserveOutcome, SlotId};

use crate::app::App;

/// Attempts to reserve, since a pause of the process may make the first reservation too old, and a
/// slot may change hands while it is asked.
const MAX_ATTEMPTS: u32 = 3;
/// Time for the record of a slot that changes hands to be read, before the next attempt.
const STALE_OWNER_DELAY: Duration = Duration::from_millis(100);
/// Advice when no owner of a slot answered, in milliseconds.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// Tokens that were debited for one request.
///
/// Settles itself when dropped, so that no path leaves the customer with a larger debit than it used.
pub(crate) struct Reservation {
    app: Rc<App>,
    customer: CompactString,
    parts: Vec<ReservationPart>,
    used: Cell<Tokens>,
}

impl Reservation {
    /// Notes what has been used so far.
    pub(crate) fn set_used(&self, used: Tokens) {
        self.used.set(used);
    }

    /// Settles to what was used.
    pub(crate) fn settle(self, used: Tokens) {
        self.used.set(used);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        for part_usage in apportion_usage(&self.parts, self.used.get()) {
            settle_part(&self.app, &self.customer, part_usage.part, part_usage.used);
        }
    }
}

/// Settles one part at its owner; a settlement that gets lost leaves the debit as it was, which errs
/// on the safe side.
fn settle_part(app: &Rc<App>, customer: &CompactString, part: ReservationPart, used: Tokens) {
    if part.owner == app.process_id {
        let now = app.clock.now();
        app.slots.borrow_mut().owner.settle(part.slot, customer, part.reservation, used, now);
        return;
    }
    let call = PeerCall::Settle {
        slot: part.slot,
        customer: customer.clone(),
        reservation: part.reservation,
        used,
    };
    let app = Rc::clone(app);
    tokio::task::spawn_local(async move {
        let Some(address) = app.address_of(&part.owner) else { return };
        if let Err(error) = app.pool.call(address, &call, app.call_timeout()).await {
            log::debug!("event=settlement_lost owner={} error=\"{error}\"", part.owner);
        }
    });
}

/// Reserves `tokens` for a customer.
///
/// Dropping the future gives back what it holds by then.
///
/// # Errors
///
/// `rate_exceeded`, `exceeds_burst`, or `no_capacity` if no owner of a slot could be asked.
pub(crate) async fn reserve(
    app: &Rc<App>,
    customer: &str,
    tokens: Tokens,
) -> Result<Reservation, ApiError> {
    for attempt in 1..=MAX_ATTEMPTS {
        if let Some(reservation) = collect(app, customer, tokens, attempt == MAX_ATTEMPTS).await? {
            return Ok(reservation);
        }
    }
    Err(no_owner_error())
}

fn no_owner_error() -> ApiError {
    ApiError::new(ErrorCode::NoCapacity, "the customer's rate can't be checked now")
        .with_retry_after_ms(NO_OWNER_RETRY_MS)
}

/// Replies of owners on their way back to a collection.
type Replies = mpsc::UnboundedSender<(SlotId, Option<ReserveOutcome>)>;

/// A collection that gives its parts back if it is dropped before it ends.
struct ActiveCollection {
    app: Rc<App>,
    customer: CompactString,
    collector: Collector,
    replies: mpsc::UnboundedReceiver<(SlotId, Option<ReserveOutcome>)>,
}

impl ActiveCollection {
    fn apply_reply(&mut self, slot: SlotId, outcome: Option<ReserveOutcome>) -> Vec<CollectAction> {
        let now = self.app.clock.now();
        match outcome {
            Some(outcome) => self.collector.on_reply(slot, &outcome, now),
            None => self.collector.on_call_failure(slot, now),
        }
    }
}

impl Drop for ActiveCollection {
    fn drop(&mut self) {
        let cancelled = self.collector.cancel();
        refund_parts(&self.app, &self.customer, cancelled);
        if !self.collector.has_pending_calls() {
            return;
        }
        // Parts that are still on their way are given back as they arrive.
        let (app, customer) = (Rc::clone(&self.app), self.customer.clone());
        let (_, empty) = mpsc::unbounded_channel();
        let mut replies = std::mem::replace(&mut self.replies, empty);
        let mut collector = self.collector.clone();
        tokio::task::spawn_local(async move {
            while let Some((slot, outcome)) = replies.recv().await {
                if let Some(outcome) = outcome {
                    let actions = collector.on_reply(slot, &outcome, app.clock.now());
                    refund_parts(&app, &customer, actions);
                }
            }
        });
    }
}

fn refund_parts(app: &Rc<App>, customer: &CompactString, actions: Vec<CollectAction>) {
    for action in actions {
        if let CollectAction::Refund(part) = action {
            settle_part(app, customer, part, Tokens::ZERO);
        }
    }
}

/// One collection; none if its parts grew too old before they could be used, or if it is not the last
/// attempt and fell short while a slot changed hands.
async fn collect(
    app: &Rc<App>,
    customer: &str,
    tokens: Tokens,
    last: bool,
) -> Result<Option<Reservation>, ApiError> {
    let Some(config) = app.config() else { return Err(no_owner_error()) };
    let Some(id) = config.customer_id(customer) else {
        return Err(ApiError::new(ErrorCode::KeyWithdrawn, "the customer was removed"));
    };
    let holders = app.slot_holders(customer, &config);
    let local_nearly_full = holders.first().is_some_and(|nearest| {
        let now = app.clock.now();
        nearest.owner == app.process_id
            && app.slots.borrow_mut().owner.stays_nearly_full(nearest.slot, customer, tokens, now)
    });
    let request = CollectRequest {
        customer: CompactString::new(customer),
        tokens,
        burst: Tokens(config.customer(id).burst_tokens),
        rate_tokens_per_s: config.customer(id).rate_tokens_per_s,
        slot_count: config.buckets.slots,
        holders,
        local_nearly_full,
        validity: Duration::from_millis(app.settings.reservation_validity_ms),
        call_timeout: app.call_timeout(),
        max_wait: Duration::from_millis(app.settings.rate_wait_ms),
        seed: rand::random(),
    };
    let customer = request.customer.clone();
    let (sender, replies) = mpsc::unbounded_channel();
    let (collector, mut actions) = Collector::start(request, app.clock.now());
    let mut collection =
        ActiveCollection { app: Rc::clone(app), customer: customer.clone(), collector, replies };
    loop {
        let mut pending = actions.into_iter();
        let mut next = Vec::new();
        for action in pending.by_ref() {
            match action {
                CollectAction::Reserve { slot, owner, tokens } if owner == app.process_id => {
                    let now = app.clock.now();
                    let outcome =
                        app.slots.borrow_mut().owner.reserve(slot, &customer, tokens, now);
                    next.extend(collection.apply_reply(slot, Some(outcome)));
                }
                CollectAction::Reserve { slot, owner, tokens } => {
                    let call = PeerCall::Reserve {
                        slot,
                        customer: customer.clone(),
                        tokens,
                        config_offset: config.version,
                    };
                    request_reservation(app, &sender, slot, owner, call);
                }
                CollectAction::Refund(part) => {
                    settle_part(app, &customer, part, Tokens::ZERO);
                }
                CollectAction::Admitted { parts, valid_until } => {
                    let used = Cell::new(Tokens::ZERO);
                    let app = Rc::clone(app);
                    let reservation = Reservation { app, customer, parts, used };
                    let valid = reservation.app.clock.now() < valid_until;
                    return Ok(valid.then_some(reservation));
                }
                CollectAction::ExceedsBurst => {
                    return Err(ApiError::new(
                        ErrorCode::ExceedsBurst,
                        "prompt and max_tokens together exceed the customer's burst",
                    ));
                }
                CollectAction::Refused { .. }
                    if !last && collection.collector.saw_stale_owner() =>
                {
                    sleep(STALE_OWNER_DELAY).await;
                    return Ok(None);
                }
                CollectAction::Refused { retry_after_ms, answered: true } => {
                    return Err(ApiError::new(
                        ErrorCode::RateExceeded,
                        "the customer's rate is used up",
                    )
                    .with_retry_after_ms(u64::from(retry_after_ms)));
                }
                CollectAction::Refused { answered: false, .. } => return Err(no_owner_error()),
            }
        }
        actions = next;
        if !actions.is_empty() {
            continue;
        }
        let deadline = collection.collector.deadline().map(|at| app.clock.instant(at));
        actions = tokio::select! {
            reply = collection.replies.recv() => match reply {
                Some((slot, outcome)) => collection.apply_reply(slot, outcome),
                None => return Err(no_owner_error()),
            },
            () = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            } => collection.collector.tick(app.clock.now()),
        };
    }
}

fn request_reservation(
    app: &Rc<App>,
    replies: &Replies,
    slot: SlotId,
    owner: base::ProcessId,
    call: PeerCall,
) {
    let (app, replies) = (Rc::clone(app), replies.clone());
    tokio::task::spawn_local(async move {
        let outcome = match app.address_of(&owner) {
            None => None,
            Some(address) => match app.pool.call(address, &call, app.call_timeout()).await {
                Ok(PeerReply::Reserve(outcome)) => Some(outcome),
                Ok(_) => None,
                Err(error) => {
                    log::debug!("event=reserve_failed owner={owner} error=\"{error}\"");
                    None
                }
            },
        };
        // Without a receiver the collection has ended and given everything back; a part in this
        // outcome stays debited, which errs on the safe side.
        let _sent = replies.send((slot, outcome));
    });
}
