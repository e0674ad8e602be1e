//! Requester's side of a reservation: collects parts of a customer's bucket from several owners.

use std::time::Duration;

use base::{ProcessId, Timestamp, Tokens, hash_bytes};
use compact_str::CompactString;
use wire::{ReserveOutcome, SlotId};

use crate::{Distance, ReservationPart, SlotHolder};

/// Time after which others are asked for the share of an owner that has not answered.
const HEDGE: Duration = Duration::from_millis(25);
/// Smallest share that one owner is asked for, as a part of the burst, so that small requests cost
/// one call.
const SMALLEST_SHARE_DIVISOR: u64 = 1_024;
/// Rounds of a collection that falls short.
///
/// Two collections that run at once can each hold what the other lacks and both fall short although
/// one of them would fit. Each gives its parts back and tries again after a pause that differs.
const MAX_ROUNDS: u32 = 3;
/// Shortest pause before another round.
const ROUND_PAUSE_MIN: Duration = Duration::from_millis(1);
/// Longest pause before another round, in lengths of the first round; doubles with each round.
const ROUND_PAUSE_SPREAD: u32 = 4;
/// Longest pause before another round.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(50);
/// Advice when no owner could be asked, in milliseconds.
const NO_OWNER_RETRY_MS: u32 = 1_000;

/// What to collect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CollectRequest {
    /// Customer.
    pub customer: CompactString,
    /// Tokens to reserve.
    pub tokens: Tokens,
    /// The customer's burst in the whole fleet.
    pub burst: Tokens,
    /// The customer's rate in the whole fleet, in tokens a second.
    pub rate_tokens_per_s: u64,
    /// Slots of the customer's bucket altogether.
    pub slot_count: u16,
    /// Slots that can be asked, nearest first.
    pub holders: Vec<SlotHolder>,
    /// Whether the requester's own slot has plenty, by `SlotOwner::stays_nearly_full`.
    pub local_nearly_full: bool,
    /// Longest time between asking for a part and using it.
    pub validity: Duration,
    /// Longest wait for an owner's answer.
    pub call_timeout: Duration,
    /// Longest wait for tokens to accrue.
    pub max_wait: Duration,
    /// Any number that differs between requests; spreads small requests and further rounds.
    pub seed: u64,
}

/// What the requester must do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CollectAction {
    /// Ask `owner` (which may be this process) for up to `tokens`.
    Reserve {
        /// Slot.
        slot: SlotId,
        /// Owner.
        owner: ProcessId,
        /// Tokens wanted.
        tokens: Tokens,
    },
    /// Settle a part with nothing used.
    Refund(ReservationPart),
    /// The request is admitted, if it is dispatched before `valid_until`.
    Admitted {
        /// Parts to settle later.
        parts: Vec<ReservationPart>,
        /// End of their validity.
        valid_until: Timestamp,
    },
    /// The request exceeds the customer's burst and will never be admitted.
    ExceedsBurst,
    /// The request is refused for now.
    Refused {
        /// Advice, in milliseconds.
        retry_after_ms: u32,
        /// Whether any owner granted or had nothing; if not, the fleet is at fault and not the
        /// customer.
        answered: bool,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ask {
    NotAsked,
    Asked {
        at: Timestamp,
        tokens: Tokens,
    },
    /// Granted all that it was asked for, and may have more.
    Full,
    /// Has nothing left.
    Drained,
    Failed,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Asking,
    /// All were asked; asks again at `until`.
    Pausing {
        until: Timestamp,
    },
    Ended,
}

/// One collection. After it has ended it still takes late answers, to give their parts back.
///
/// Takes an even share from every slot in the requester's region, and only what is then missing
/// from other regions. Taking all from the nearest slot would leave the others full, so that the
/// tokens that accrue there are lost, and a customer inside its rate would be refused. The
/// requester's own slot alone is asked while it is nearly full, since then little is lost and no
/// call is needed.
#[derive(Clone, Debug)]
pub struct Collector {
    request: CollectRequest,
    asks: Vec<Ask>,
    parts: Vec<ReservationPart>,
    phase: Phase,
    started_at: Timestamp,
    /// Last time that was passed in.
    seen_at: Timestamp,
    /// Time before the oldest part that is held was asked for.
    held_since: Option<Timestamp>,
    round: u32,
    answered: bool,
    saw_stale_owner: bool,
}

impl Collector {
    /// Starts a collection.
    pub fn start(request: CollectRequest, now: Timestamp) -> (Self, Vec<CollectAction>) {
        let mut collection = Self {
            asks: vec![Ask::NotAsked; request.holders.len()],
            parts: Vec::new(),
            phase: Phase::Asking,
            started_at: now,
            seen_at: now,
            held_since: None,
            round: 0,
            answered: false,
            saw_stale_owner: false,
            request,
        };
        let mut actions = Vec::new();
        if collection.request.tokens > collection.request.burst {
            collection.phase = Phase::Ended;
            actions.push(CollectAction::ExceedsBurst);
        } else {
            collection.proceed(now, &mut actions);
        }
        (collection, actions)
    }

    /// Takes an owner's answer.
    pub fn on_reply(
        &mut self,
        slot: SlotId,
        outcome: &ReserveOutcome,
        now: Timestamp,
    ) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        let Some(at) = self.position(slot) else { return actions };
        let asked = match self.asks[at] {
            Ask::Asked { at, tokens } => Some((at, tokens)),
            _ => None,
        };
        match outcome {
            ReserveOutcome::Granted { reservation, tokens } => {
                self.answered = true;
                let part = ReservationPart {
                    slot,
                    owner: self.request.holders[at].owner.clone(),
                    reservation: *reservation,
                    tokens: *tokens,
                };
                match asked {
                    Some((asked_at, wanted)) if self.phase != Phase::Ended => {
                        let since = self.held_since.map_or(asked_at, |s| s.min(asked_at));
                        self.held_since = Some(since);
                        self.parts.push(part);
                        self.asks[at] = if *tokens < wanted { Ask::Drained } else { Ask::Full };
                    }
                    _ => {
                        actions.push(CollectAction::Refund(part));
                        self.asks[at] = Ask::Full;
                    }
                }
            }
            ReserveOutcome::Empty { .. } => {
                self.answered = true;
                self.asks[at] = Ask::Drained;
            }
            ReserveOutcome::NotOwner => {
                self.saw_stale_owner = true;
                self.asks[at] = Ask::Failed;
            }
            ReserveOutcome::UnknownCustomer => self.asks[at] = Ask::Failed,
        }
        self.proceed(now, &mut actions);
        actions
    }

    /// Takes the failure of a call to an owner.
    pub fn on_call_failure(&mut self, slot: SlotId, now: Timestamp) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        if let Some(at) = self.position(slot) {
            self.asks[at] = Ask::Failed;
            self.proceed(now, &mut actions);
        }
        actions
    }

    /// Moves on when [`Collector::deadline`] has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        self.proceed(now, &mut actions);
        actions
    }

    /// Gives everything back, for a caller that has gone.
    pub fn cancel(&mut self) -> Vec<CollectAction> {
        self.phase = Phase::Ended;
        self.parts.drain(..).map(CollectAction::Refund).collect()
    }

    /// Whether it ended in `Admitted`, `Refused` or `ExceedsBurst`, or was cancelled.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Whether an owner still owes an answer.
    pub fn has_pending_calls(&self) -> bool {
        self.asks.iter().any(|ask| matches!(ask, Ask::Asked { .. }))
    }

    /// Whether a process that was asked no longer owned its slot.
    ///
    /// A slot changes hands within a few hundred milliseconds. If such a collection is refused, the
    /// requester should read the log on and collect once more before it refuses the caller.
    pub const fn saw_stale_owner(&self) -> bool {
        self.saw_stale_owner
    }

    /// When to call [`Collector::tick`].
    pub fn deadline(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Pausing { until } => Some(until),
            Phase::Asking | Phase::Ended => {
                let asked = self.asks.iter().filter_map(|ask| match ask {
                    Ask::Asked { at, .. } => Some(*at),
                    _ => None,
                });
                let hedge =
                    asked.clone().map(|at| at + HEDGE).filter(|at| *at > self.seen_at).min();
                let timeout = asked.min()? + self.request.call_timeout;
                match hedge {
                    Some(hedge) if self.phase == Phase::Asking => Some(timeout.min(hedge)),
                    _ => Some(timeout),
                }
            }
        }
    }

    fn position(&self, slot: SlotId) -> Option<usize> {
        self.request.holders.iter().position(|h| h.slot == slot)
    }

    fn held(&self) -> Tokens {
        self.parts.iter().map(|p| p.tokens).sum()
    }

    fn proceed(&mut self, now: Timestamp, actions: &mut Vec<CollectAction>) {
        self.seen_at = now;
        for ask in &mut self.asks {
            if let Ask::Asked { at, .. } = *ask
                && now.since(at) >= self.request.call_timeout
            {
                *ask = Ask::Failed;
            }
        }
        if self.phase == Phase::Ended {
            return;
        }
        if let Phase::Pausing { until } = self.phase {
            if now < until {
                return;
            }
            self.phase = Phase::Asking;
            self.asks.fill(Ask::NotAsked);
        }
        if self.held_since.is_some_and(|since| now.since(since) >= self.request.validity) {
            self.refuse(actions);
            return;
        }
        let missing = self.request.tokens.saturating_sub(self.held());
        if missing == Tokens::ZERO {
            self.admit(now, actions);
            return;
        }
        let on_the_way: Tokens = self.fresh_asks(now).sum();
        let unasked = missing.saturating_sub(on_the_way);
        if unasked > Tokens::ZERO && !self.ask(unasked, now, actions) && !self.has_pending_calls() {
            self.fall_short(missing, now, actions);
        }
    }

    /// Tokens asked for at owners that may still answer soon.
    fn fresh_asks(&self, now: Timestamp) -> impl Iterator<Item = Tokens> {
        self.asks.iter().filter_map(move |ask| match ask {
            Ask::Asked { at, tokens } if now.since(*at) < HEDGE => Some(*tokens),
            _ => None,
        })
    }

    /// Asks for `tokens` in even shares at the nearest holders that may have some; false if there
    /// are none.
    fn ask(&mut self, tokens: Tokens, now: Timestamp, actions: &mut Vec<CollectAction>) -> bool {
        let mut chosen = self.askable(|distance| distance != Distance::OtherRegion);
        if chosen.is_empty() {
            // Other regions are asked only once this one has nothing more to give.
            if self.fresh_asks(now).next().is_some() {
                return true;
            }
            chosen = self.askable(|distance| distance == Distance::OtherRegion);
        }
        let Some(first) = chosen.first().copied() else { return false };
        let local = self.request.local_nearly_full
            && self.asks[first] == Ask::NotAsked
            && self.request.holders[first].distance == Distance::Local;
        let smallest = (self.request.burst.0 / SMALLEST_SHARE_DIVISOR).max(1);
        let shares = if local { 1 } else { (tokens.0 / smallest).clamp(1, chosen.len() as u64) };
        if !local {
            let turn = self.request.seed % chosen.len() as u64;
            chosen.rotate_left(usize::try_from(turn).unwrap_or(0));
        }
        for (at, share) in chosen.into_iter().zip(0..shares) {
            let tokens = Tokens(tokens.0 / shares + u64::from(share < tokens.0 % shares));
            self.asks[at] = Ask::Asked { at: now, tokens };
            let SlotHolder { slot, owner, .. } = self.request.holders[at].clone();
            actions.push(CollectAction::Reserve { slot, owner, tokens });
        }
        true
    }

    /// Positions of the holders at these distances that may have tokens, nearest first.
    fn askable(&self, at_distance: impl Fn(Distance) -> bool) -> Vec<usize> {
        let holders = self.request.holders.iter().zip(&self.asks).enumerate();
        holders
            .filter(|(_, (h, ask))| {
                at_distance(h.distance) && matches!(ask, Ask::NotAsked | Ask::Full)
            })
            .map(|(at, _)| at)
            .collect()
    }

    fn admit(&mut self, now: Timestamp, actions: &mut Vec<CollectAction>) {
        self.phase = Phase::Ended;
        let mut surplus = self.held() - self.request.tokens;
        let mut parts = Vec::with_capacity(self.parts.len());
        for part in self.parts.drain(..) {
            if part.tokens <= surplus {
                surplus -= part.tokens;
                actions.push(CollectAction::Refund(part));
            } else {
                parts.push(part);
            }
        }
        let valid_until = self.held_since.unwrap_or(now) + self.request.validity;
        actions.push(CollectAction::Admitted { parts, valid_until });
    }

    /// All owners were asked and the sum is short: waits for tokens to accrue if that is allowed,
    /// tries again if another request may have held a part for a moment, and refuses otherwise.
    fn fall_short(&mut self, missing: Tokens, now: Timestamp, actions: &mut Vec<CollectAction>) {
        let accrual = self.accrual(missing);
        let waited = now.since(self.started_at);
        if let Some(accrual) = accrual
            && waited + accrual <= self.request.max_wait
        {
            self.phase = Phase::Pausing { until: now + accrual };
        } else if self.round + 1 < MAX_ROUNDS && !self.parts.is_empty() {
            self.give_back(actions);
            self.phase = Phase::Pausing { until: now + self.round_pause(waited) };
            self.round += 1;
        } else {
            self.refuse(actions);
        }
    }

    fn round_pause(&self, waited: Duration) -> Duration {
        let longest = waited
            .saturating_mul(ROUND_PAUSE_SPREAD << self.round)
            .clamp(ROUND_PAUSE_MIN, ROUND_PAUSE_MAX);
        let longest = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX);
        let draw = hash_bytes(&(self.request.seed ^ u64::from(self.round)).to_le_bytes());
        ROUND_PAUSE_MIN + Duration::from_micros(draw % (longest + 1))
    }

    fn refuse(&mut self, actions: &mut Vec<CollectAction>) {
        let missing = self.request.tokens.saturating_sub(self.held());
        let retry_after_ms = self
            .accrual(missing)
            .and_then(|wait| u32::try_from(wait.as_millis()).ok())
            .map_or(NO_OWNER_RETRY_MS, |ms| ms.max(1));
        self.give_back(actions);
        self.phase = Phase::Ended;
        actions.push(CollectAction::Refused { retry_after_ms, answered: self.answered });
    }

    fn give_back(&mut self, actions: &mut Vec<CollectAction>) {
        actions.extend(self.parts.drain(..).map(CollectAction::Refund));
        self.held_since = None;
    }

    /// Time in which the slots that answered accrue `missing`, if nothing else is taken.
    fn accrual(&self, missing: Tokens) -> Option<Duration> {
        let answering = self.asks.iter().filter(|a| matches!(a, Ask::Drained | Ask::Full)).count();
        let rate = u128::from(self.request.rate_tokens_per_s) * answering as u128;
        if rate == 0 {
            return None;
        }
        let micros = u128::from(missing.0) * 1_000_000 * u128::from(self.request.slot_count.max(1));
        u64::try_from(micros.div_ceil(rate)).ok().map(Duration::from_micros)
    }
}
