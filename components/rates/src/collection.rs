//! Requester's side of a reservation: collects parts of a customer's bucket from several owners.

use std::time::Duration;

use base::{ProcessId, Timestamp, Tokens, hash_bytes};
use compact_str::CompactString;
use wire::{ReserveOutcome, SlotId};

use crate::{Part, SlotHolder};

/// Time after which the next owner is asked although the last one has not answered.
const HEDGE: Duration = Duration::from_millis(25);
/// Rounds of a collection that falls short.
///
/// Two collections that run at once can each hold what the other lacks and both fall short although one
/// of them would fit. Each gives its parts back and tries again after a pause that differs.
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
    /// Slots that can be asked, in the order to ask.
    pub holders: Vec<SlotHolder>,
    /// Longest time between asking for a part and using it.
    pub validity: Duration,
    /// Longest wait for an owner's answer.
    pub call_timeout: Duration,
    /// Longest wait for tokens to accrue.
    pub max_wait: Duration,
    /// Any number that differs between requests; spreads further rounds.
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
    GiveBack(Part),
    /// The request is admitted, if it is dispatched before `valid_until`.
    Admitted {
        /// Parts to settle later.
        parts: Vec<Part>,
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
    Asked { at: Timestamp },
    Empty,
    Failed,
    Granted,
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
#[derive(Clone, Debug)]
pub struct Collection {
    request: CollectRequest,
    asks: Vec<Ask>,
    parts: Vec<Part>,
    phase: Phase,
    started_at: Timestamp,
    /// Time before the oldest part that is held was asked for.
    held_since: Option<Timestamp>,
    round: u32,
    answered: bool,
    met_moved_slot: bool,
}

impl Collection {
    /// Starts a collection.
    pub fn start(request: CollectRequest, now: Timestamp) -> (Self, Vec<CollectAction>) {
        let mut collection = Self {
            asks: vec![Ask::NotAsked; request.holders.len()],
            parts: Vec::new(),
            phase: Phase::Asking,
            started_at: now,
            held_since: None,
            round: 0,
            answered: false,
            met_moved_slot: false,
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
    pub fn replied(
        &mut self,
        slot: SlotId,
        outcome: &ReserveOutcome,
        now: Timestamp,
    ) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        let Some(at) = self.position(slot) else { return actions };
        let asked_at = match self.asks[at] {
            Ask::Asked { at } => Some(at),
            _ => None,
        };
        match outcome {
            ReserveOutcome::Granted { reservation, tokens } => {
                self.answered = true;
                let part = Part {
                    slot,
                    owner: self.request.holders[at].owner.clone(),
                    reservation: *reservation,
                    tokens: *tokens,
                };
                match asked_at {
                    Some(asked_at) if self.phase != Phase::Ended => {
                        self.held_since =
                            Some(self.held_since.map_or(asked_at, |s| s.min(asked_at)));
                        self.parts.push(part);
                        self.asks[at] = Ask::Granted;
                    }
                    _ => {
                        actions.push(CollectAction::GiveBack(part));
                        self.asks[at] = Ask::Granted;
                    }
                }
            }
            ReserveOutcome::Empty { .. } => {
                self.answered = true;
                self.asks[at] = Ask::Empty;
            }
            ReserveOutcome::NotOwner => {
                self.met_moved_slot = true;
                self.asks[at] = Ask::Failed;
            }
            ReserveOutcome::UnknownCustomer => self.asks[at] = Ask::Failed,
        }
        self.proceed(now, &mut actions);
        actions
    }

    /// Takes the failure of a call to an owner.
    pub fn failed(&mut self, slot: SlotId, now: Timestamp) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        if let Some(at) = self.position(slot) {
            self.asks[at] = Ask::Failed;
            self.proceed(now, &mut actions);
        }
        actions
    }

    /// Moves on when [`Collection::deadline`] has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        self.proceed(now, &mut actions);
        actions
    }

    /// Gives everything back, for a caller that has gone.
    pub fn cancel(&mut self) -> Vec<CollectAction> {
        self.phase = Phase::Ended;
        self.parts.drain(..).map(CollectAction::GiveBack).collect()
    }

    /// Whether it ended in `Admitted`, `Refused` or `ExceedsBurst`, or was cancelled.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Whether an owner still owes an answer.
    pub fn awaits_answers(&self) -> bool {
        self.asks.iter().any(|ask| matches!(ask, Ask::Asked { .. }))
    }

    /// Whether a process that was asked no longer owned its slot.
    ///
    /// A slot changes hands within a few hundred milliseconds. If such a collection is refused, the
    /// requester should read the log on and collect once more before it refuses the caller.
    pub const fn met_moved_slot(&self) -> bool {
        self.met_moved_slot
    }

    /// When to call [`Collection::tick`].
    pub fn deadline(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Pausing { until } => Some(until),
            Phase::Asking | Phase::Ended => {
                let asked = self.asks.iter().filter_map(|ask| match ask {
                    Ask::Asked { at } => Some(*at),
                    _ => None,
                });
                let latest = asked.clone().max()?;
                let earliest = asked.min()?;
                let timeout = earliest + self.request.call_timeout;
                if self.phase == Phase::Asking && self.asks.contains(&Ask::NotAsked) {
                    Some(timeout.min(latest + HEDGE))
                } else {
                    Some(timeout)
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
        for ask in &mut self.asks {
            if let Ask::Asked { at } = *ask
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
        let waiting =
            self.asks.iter().any(|ask| matches!(ask, Ask::Asked { at } if now.since(*at) < HEDGE));
        if waiting {
            return;
        }
        match self.asks.iter().position(|ask| *ask == Ask::NotAsked) {
            Some(at) => {
                let holder = &self.request.holders[at];
                self.asks[at] = Ask::Asked { at: now };
                actions.push(CollectAction::Reserve {
                    slot: holder.slot,
                    owner: holder.owner.clone(),
                    tokens: missing,
                });
            }
            None if self.awaits_answers() => {}
            None => self.fall_short(missing, now, actions),
        }
    }

    fn admit(&mut self, now: Timestamp, actions: &mut Vec<CollectAction>) {
        self.phase = Phase::Ended;
        let mut surplus = self.held() - self.request.tokens;
        let mut parts = Vec::with_capacity(self.parts.len());
        for part in self.parts.drain(..) {
            if part.tokens <= surplus {
                surplus -= part.tokens;
                actions.push(CollectAction::GiveBack(part));
            } else {
                parts.push(part);
            }
        }
        let valid_until = self.held_since.unwrap_or(now) + self.request.validity;
        actions.push(CollectAction::Admitted { parts, valid_until });
    }

    /// All owners were asked and the sum is short: waits for tokens to accrue if that is allowed, tries
    /// again if another request may have held a part for a moment, and refuses otherwise.
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
        actions.extend(self.parts.drain(..).map(CollectAction::GiveBack));
        self.held_since = None;
    }

    /// Time in which the slots that answered accrue `missing`, if nothing else is taken.
    fn accrual(&self, missing: Tokens) -> Option<Duration> {
        let answering = self.asks.iter().filter(|a| matches!(a, Ask::Empty | Ask::Granted)).count();
        let rate = u128::from(self.request.rate_tokens_per_s) * answering as u128;
        if rate == 0 {
            return None;
        }
        let micros = u128::from(missing.0) * 1_000_000 * u128::from(self.request.slot_count.max(1));
        u64::try_from(micros.div_ceil(rate)).ok().map(Duration::from_micros)
    }
}
