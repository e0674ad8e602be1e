//! Requester's side of a reservation: collects parts of it from the owners of several slots.

use std::time::Duration;

use base::{ProcessId, Timestamp, Tokens, hash_bytes};
use compact_str::CompactString;
use wire::{ReserveOutcome, SlotId};

use crate::{Distance, ReservationPart, SlotHolder};

/// Time after which the share of an owner that has not replied is requested from other owners.
const HEDGE_DELAY: Duration = Duration::from_millis(25);
/// Smallest share requested from one owner, as a divisor of the burst, so that a small request
/// needs only one call.
const SMALLEST_SHARE_DIVISOR: u64 = 1_024;
/// Largest number of rounds of a collector that falls short.
///
/// Two concurrent collectors can each hold the tokens that the other one lacks, and both fall short
/// although one of them would fit. Each refunds its parts and retries after a different backoff.
const MAX_ROUNDS: u32 = 3;
/// Shortest backoff before another round.
const ROUND_BACKOFF_MIN: Duration = Duration::from_millis(1);
/// Longest backoff before the second round, as a multiple of the time spent so far; doubles with
/// each further round.
const ROUND_BACKOFF_FACTOR: u32 = 4;
/// Upper limit of the backoff before another round.
const ROUND_BACKOFF_MAX: Duration = Duration::from_millis(50);
/// Advised wait in milliseconds if no owner granted or reported an empty bucket.
const NO_OWNER_RETRY_MS: u32 = 1_000;

/// Reservation to collect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CollectRequest {
    /// Customer.
    pub customer: CompactString,
    /// Tokens to reserve.
    pub tokens: Tokens,
    /// Burst of the customer in the whole fleet.
    pub burst: Tokens,
    /// Rate of the customer in the whole fleet, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// Number of all slots of the customer's bucket.
    pub slot_count: u16,
    /// Slots whose owners are reachable, nearest first.
    pub holders: Vec<SlotHolder>,
    /// Whether the requester's own slot stays nearly full, by
    /// [`crate::SlotOwner::stays_nearly_full`].
    pub local_nearly_full: bool,
    /// Longest time between the request for a part and its use.
    pub validity: Duration,
    /// Longest wait for an owner's reply.
    pub call_timeout: Duration,
    /// Longest wait for tokens to accrue.
    pub max_wait: Duration,
    /// Number that differs between requests; spreads small requests over owners and backoffs over
    /// time.
    pub seed: u64,
}

/// Action that the requester must take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CollectAction {
    /// Request up to `tokens` from `owner`, which may be this process.
    Reserve {
        /// Slot.
        slot: SlotId,
        /// Owner.
        owner: ProcessId,
        /// Largest number of tokens to reserve.
        tokens: Tokens,
    },
    /// Settle a part with zero tokens used, which refunds it in full.
    Refund(ReservationPart),
    /// The request is admitted, provided that it is dispatched before `valid_until`.
    Admitted {
        /// Parts to settle later.
        parts: Vec<ReservationPart>,
        /// End of the validity of the parts.
        valid_until: Timestamp,
    },
    /// The request exceeds the customer's burst and can never be admitted.
    ExceedsBurst,
    /// The request is refused and may be retried.
    Refused {
        /// Advised wait in milliseconds.
        retry_after_ms: u32,
        /// Whether any owner granted a part or reported an empty bucket.
        ///
        /// If not, the cause is the fleet and not the customer's rate.
        answered: bool,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OwnerState {
    Untried,
    Pending {
        at: Timestamp,
        tokens: Tokens,
    },
    /// Granted all that was requested, and may have more.
    GrantedInFull,
    /// Has no tokens left.
    Exhausted,
    Failed,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Requesting,
    /// All owners were tried; requests are sent again at `until`.
    Waiting {
        until: Timestamp,
    },
    Ended,
}

/// Collects the parts of one reservation. After its end it still accepts late replies, to refund
/// their parts.
///
/// Requests an equal share from every slot in the requester's region, and only the remainder from
/// other regions. Taking everything from the nearest slot would leave the others full: tokens that
/// accrue there would be lost, and a customer within its rate would be refused. While the
/// requester's own slot is nearly full, only that slot is used, since few tokens are lost and no
/// call is needed.
#[derive(Clone, Debug)]
pub struct Collector {
    request: CollectRequest,
    owner_states: Vec<OwnerState>,
    parts: Vec<ReservationPart>,
    phase: Phase,
    started_at: Timestamp,
    /// Time of the last call.
    last_call_at: Timestamp,
    /// Time at which the oldest of the held parts was requested.
    held_since: Option<Timestamp>,
    round: u32,
    answered: bool,
    saw_stale_owner: bool,
}

impl Collector {
    /// Starts collecting.
    pub fn start(request: CollectRequest, now: Timestamp) -> (Self, Vec<CollectAction>) {
        let mut collector = Self {
            owner_states: vec![OwnerState::Untried; request.holders.len()],
            parts: Vec::new(),
            phase: Phase::Requesting,
            started_at: now,
            last_call_at: now,
            held_since: None,
            round: 0,
            answered: false,
            saw_stale_owner: false,
            request,
        };
        let mut actions = Vec::new();
        if collector.request.tokens > collector.request.burst {
            collector.phase = Phase::Ended;
            actions.push(CollectAction::ExceedsBurst);
        } else {
            collector.advance(now, &mut actions);
        }
        (collector, actions)
    }

    /// Handles the reply of an owner.
    pub fn on_reply(
        &mut self,
        slot: SlotId,
        outcome: &ReserveOutcome,
        now: Timestamp,
    ) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        let Some(at) = self.position(slot) else { return actions };
        let pending = match self.owner_states[at] {
            OwnerState::Pending { at, tokens } => Some((at, tokens)),
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
                match pending {
                    Some((asked_at, wanted)) if self.phase != Phase::Ended => {
                        let since = self.held_since.map_or(asked_at, |s| s.min(asked_at));
                        self.held_since = Some(since);
                        self.parts.push(part);
                        self.owner_states[at] = if *tokens < wanted {
                            OwnerState::Exhausted
                        } else {
                            OwnerState::GrantedInFull
                        };
                    }
                    _ => {
                        actions.push(CollectAction::Refund(part));
                        self.owner_states[at] = OwnerState::GrantedInFull;
                    }
                }
            }
            ReserveOutcome::Empty { .. } => {
                self.answered = true;
                self.owner_states[at] = OwnerState::Exhausted;
            }
            ReserveOutcome::NotOwner => {
                self.saw_stale_owner = true;
                self.owner_states[at] = OwnerState::Failed;
            }
            ReserveOutcome::UnknownCustomer => self.owner_states[at] = OwnerState::Failed,
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Handles the failure of a call to an owner.
    pub fn on_call_failure(&mut self, slot: SlotId, now: Timestamp) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        if let Some(at) = self.position(slot) {
            self.owner_states[at] = OwnerState::Failed;
            self.advance(now, &mut actions);
        }
        actions
    }

    /// Advances the collector; must be called when [`Collector::deadline`] has passed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<CollectAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Ends the collector and refunds all parts, because the caller has disconnected.
    pub fn cancel(&mut self) -> Vec<CollectAction> {
        self.phase = Phase::Ended;
        self.parts.drain(..).map(CollectAction::Refund).collect()
    }

    /// Returns whether it ended in `Admitted`, `Refused` or `ExceedsBurst`, or was cancelled.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns whether the reply of an owner is outstanding.
    pub fn has_pending_calls(&self) -> bool {
        self.owner_states.iter().any(|state| matches!(state, OwnerState::Pending { .. }))
    }

    /// Returns whether a request reached a process that no longer owned the slot.
    ///
    /// A handover takes a few hundred milliseconds. If such a collector ends in a refusal, the
    /// requester should catch up with the log and collect once more before it refuses the caller.
    pub const fn saw_stale_owner(&self) -> bool {
        self.saw_stale_owner
    }

    /// Returns the time at which [`Collector::tick`] must be called, if any.
    pub fn deadline(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Waiting { until } => Some(until),
            Phase::Requesting | Phase::Ended => {
                let pending = self.owner_states.iter().filter_map(|state| match state {
                    OwnerState::Pending { at, .. } => Some(*at),
                    _ => None,
                });
                let hedge = pending
                    .clone()
                    .map(|at| at + HEDGE_DELAY)
                    .filter(|at| *at > self.last_call_at)
                    .min();
                let timeout = pending.min()? + self.request.call_timeout;
                match hedge {
                    Some(hedge) if self.phase == Phase::Requesting => Some(timeout.min(hedge)),
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

    fn advance(&mut self, now: Timestamp, actions: &mut Vec<CollectAction>) {
        self.last_call_at = now;
        for state in &mut self.owner_states {
            if let OwnerState::Pending { at, .. } = *state
                && now.since(at) >= self.request.call_timeout
            {
                *state = OwnerState::Failed;
            }
        }
        if self.phase == Phase::Ended {
            return;
        }
        if let Phase::Waiting { until } = self.phase {
            if now < until {
                return;
            }
            self.phase = Phase::Requesting;
            self.owner_states.fill(OwnerState::Untried);
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
        let in_flight: Tokens = self.in_flight_requests(now).sum();
        let uncovered = missing.saturating_sub(in_flight);
        if uncovered > Tokens::ZERO
            && !self.request_shares(uncovered, now, actions)
            && !self.has_pending_calls()
        {
            self.handle_shortfall(missing, now, actions);
        }
    }

    /// Returns the tokens of each pending request that has not reached its hedge delay.
    fn in_flight_requests(&self, now: Timestamp) -> impl Iterator<Item = Tokens> {
        self.owner_states.iter().filter_map(move |state| match state {
            OwnerState::Pending { at, tokens } if now.since(*at) < HEDGE_DELAY => Some(*tokens),
            _ => None,
        })
    }

    /// Requests `tokens` in equal shares from the nearest owners that may have some; returns false
    /// if there are none.
    fn request_shares(
        &mut self,
        tokens: Tokens,
        now: Timestamp,
        actions: &mut Vec<CollectAction>,
    ) -> bool {
        let mut chosen = self.candidates(|distance| distance != Distance::OtherRegion);
        if chosen.is_empty() {
            // Other regions are used only after this region has no more tokens to grant.
            if self.in_flight_requests(now).next().is_some() {
                return true;
            }
            chosen = self.candidates(|distance| distance == Distance::OtherRegion);
        }
        let Some(first) = chosen.first().copied() else { return false };
        let local = self.request.local_nearly_full
            && self.owner_states[first] == OwnerState::Untried
            && self.request.holders[first].distance == Distance::Local;
        let smallest = (self.request.burst.0 / SMALLEST_SHARE_DIVISOR).max(1);
        let shares = if local { 1 } else { (tokens.0 / smallest).clamp(1, chosen.len() as u64) };
        if !local {
            let rotation = self.request.seed % chosen.len() as u64;
            chosen.rotate_left(usize::try_from(rotation).unwrap_or(0));
        }
        for (at, share) in chosen.into_iter().zip(0..shares) {
            let tokens = Tokens(tokens.0 / shares + u64::from(share < tokens.0 % shares));
            self.owner_states[at] = OwnerState::Pending { at: now, tokens };
            let SlotHolder { slot, owner, .. } = self.request.holders[at].clone();
            actions.push(CollectAction::Reserve { slot, owner, tokens });
        }
        true
    }

    /// Returns the positions of the holders at these distances that may have tokens, nearest first.
    fn candidates(&self, at_distance: impl Fn(Distance) -> bool) -> Vec<usize> {
        let holders = self.request.holders.iter().zip(&self.owner_states).enumerate();
        holders
            .filter(|(_, (h, state))| {
                at_distance(h.distance)
                    && matches!(state, OwnerState::Untried | OwnerState::GrantedInFull)
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

    /// Handles a shortfall after all owners were tried.
    ///
    /// Waits for tokens to accrue if the allowed wait is long enough, starts another round if
    /// another request may have held a part temporarily, and refuses otherwise.
    fn handle_shortfall(
        &mut self,
        missing: Tokens,
        now: Timestamp,
        actions: &mut Vec<CollectAction>,
    ) {
        let time_to_accrue = self.time_to_accrue(missing);
        let waited = now.since(self.started_at);
        if let Some(time_to_accrue) = time_to_accrue
            && waited + time_to_accrue <= self.request.max_wait
        {
            self.phase = Phase::Waiting { until: now + time_to_accrue };
        } else if self.round + 1 < MAX_ROUNDS && !self.parts.is_empty() {
            self.refund_parts(actions);
            self.phase = Phase::Waiting { until: now + self.round_backoff(waited) };
            self.round += 1;
        } else {
            self.refuse(actions);
        }
    }

    fn round_backoff(&self, waited: Duration) -> Duration {
        let longest = waited
            .saturating_mul(ROUND_BACKOFF_FACTOR << self.round)
            .clamp(ROUND_BACKOFF_MIN, ROUND_BACKOFF_MAX);
        let longest = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX);
        let hash = hash_bytes(&(self.request.seed ^ u64::from(self.round)).to_le_bytes());
        ROUND_BACKOFF_MIN + Duration::from_micros(hash % (longest + 1))
    }

    fn refuse(&mut self, actions: &mut Vec<CollectAction>) {
        let missing = self.request.tokens.saturating_sub(self.held());
        let retry_after_ms = self
            .time_to_accrue(missing)
            .and_then(|wait| u32::try_from(wait.as_millis()).ok())
            .map_or(NO_OWNER_RETRY_MS, |ms| ms.max(1));
        self.refund_parts(actions);
        self.phase = Phase::Ended;
        actions.push(CollectAction::Refused { retry_after_ms, answered: self.answered });
    }

    fn refund_parts(&mut self, actions: &mut Vec<CollectAction>) {
        actions.extend(self.parts.drain(..).map(CollectAction::Refund));
        self.held_since = None;
    }

    /// Returns the time in which the slots that replied accrue `missing` if nothing else is taken.
    fn time_to_accrue(&self, missing: Tokens) -> Option<Duration> {
        let answering = self
            .owner_states
            .iter()
            .filter(|a| matches!(a, OwnerState::Exhausted | OwnerState::GrantedInFull))
            .count();
        let rate = u128::from(self.request.rate_tokens_per_s) * answering as u128;
        if rate == 0 {
            return None;
        }
        let micros = u128::from(missing.0) * 1_000_000 * u128::from(self.request.slot_count.max(1));
        u64::try_from(micros.div_ceil(rate)).ok().map(Duration::from_micros)
    }
}
