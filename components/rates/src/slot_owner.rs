//! Grants at the slots that one process owns.

use base::{Offset, ProcessId, SortedMap, Timestamp, Tokens, hash_bytes};
use compact_str::CompactString;
use config::{BucketLayout, FleetConfig};
use wire::{PermitOutcome, ReserveOutcome, SlotId};

use crate::permits::millis_rounded_up;
use crate::share::{bucket_share, partition_of, store_concurrency};
use crate::{
    Bucket, CustomerLevel, MicroTokens, Opening, PermitPool, Share, SlotLedger, SlotState,
    WEIGHT_STORE_CUSTOMER,
};

/// A bucket counts as nearly full if it lacks at most the cap divided by this.
const NEARLY_FULL_DIVISOR: u64 = 16;

/// Initial level of a bucket that is first used after its slot was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InitialLevel {
    Empty,
    Full,
}

#[derive(Clone, Debug)]
struct OwnedSlot {
    /// Offset of the record that assigned the slot to this process.
    since: Offset,
    /// State at the release, if the slot was released.
    ///
    /// Nothing is granted from then on, whether or not the log stores the record.
    released: Option<ReleasedSlot>,
    opened_at: Timestamp,
    initial_level: InitialLevel,
    buckets: SortedMap<CompactString, Bucket>,
    permits: Option<PermitPool>,
}

/// State of a released slot, handed over to its next owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReleasedSlot {
    /// Buckets that are not full.
    pub levels: Vec<CustomerLevel>,
    /// Milliseconds until each open permit expires.
    pub permit_holds_ms: Vec<u32>,
}

/// Grants and settles reservations and permits at the slots that this process owns.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    own_id: ProcessId,
    config: std::rc::Rc<FleetConfig>,
    slots: SortedMap<SlotId, OwnedSlot>,
    /// Number of the next reservation or permit.
    ///
    /// Starts at a hash of the process name and incarnation, so that a settlement intended for an
    /// earlier incarnation or another owner has an unknown number.
    next_number: u64,
}

impl SlotOwner {
    /// Creates the state of a process that owns no slots.
    pub fn new(own_id: ProcessId, config: std::rc::Rc<FleetConfig>) -> Self {
        let next_number = hash_bytes(own_id.to_string().as_bytes()) >> 1;
        Self { own_id, config, slots: SortedMap::new(), next_number }
    }

    /// Returns the bucket layout in force at this process.
    pub fn layout(&self) -> BucketLayout {
        self.config.buckets
    }

    /// Applies a configuration: new rates and caps are in force from `now` on.
    ///
    /// After a change of the bucket layout every bucket starts empty, since the tokens of a
    /// customer may have been spent at another owner.
    pub fn apply_configuration(&mut self, config: std::rc::Rc<FleetConfig>, now: Timestamp) {
        let layout_changed = config.buckets != self.config.buckets;
        self.config = config;
        for (slot, owned) in self.slots.iter_mut() {
            if layout_changed {
                owned.initial_level = InitialLevel::Empty;
                owned.opened_at = now;
                owned.buckets = SortedMap::new();
            }
            owned.apply_configuration(*slot, &self.config, now);
        }
    }

    /// Opens the slots that the ledger assigns to this process and closes all others.
    ///
    /// Must be called after each batch of records, with a time after they were read.
    pub fn sync(&mut self, ledger: &SlotLedger, now: Timestamp) {
        if !ledger.is_complete() {
            // The slots of this process can have been reassigned only with proof that its
            // incarnation has ended.
            return;
        }
        let own_id = &self.own_id;
        self.slots.retain(|slot, _| ledger.owner(*slot) == Some(own_id));
        let assigned: Vec<SlotId> = ledger.owned_by(&self.own_id).collect();
        for slot in assigned {
            if let Some(SlotState::Owned { since, opening, .. }) = ledger.state(slot)
                && self.slots.get(&slot).is_none_or(|open| open.since != *since)
            {
                let owned = OwnedSlot::open(slot, *since, opening, &self.config, now);
                self.slots.insert(slot, owned);
            }
        }
    }

    /// Returns the slots that grant reservations, in order.
    pub fn open_slots(&self) -> impl Iterator<Item = SlotId> {
        self.slots.iter().filter(|(_, owned)| owned.released.is_none()).map(|(slot, _)| *slot)
    }

    /// Returns whether the slot grants reservations at this process.
    pub fn is_open(&self, slot: SlotId) -> bool {
        self.slots.get(&slot).is_some_and(|owned| owned.released.is_none())
    }

    /// Returns the slots that this process released but that the ledger still assigns to it, in
    /// order.
    pub fn released_slots(&self) -> impl Iterator<Item = SlotId> {
        self.slots.iter().filter(|(_, owned)| owned.released.is_some()).map(|(slot, _)| *slot)
    }

    /// Stops granting at a slot permanently and returns the state for the `Released` record.
    ///
    /// Repeated calls return the same state.
    pub fn release(&mut self, slot: SlotId, now: Timestamp) -> Option<ReleasedSlot> {
        let owned = self.slots.get_mut(&slot)?;
        if owned.released.is_none() {
            owned.released = Some(owned.handover_state(now));
        }
        owned.released.clone()
    }

    /// Debits a customer's bucket by `tokens`, or by all available whole tokens if there are fewer.
    pub fn reserve(
        &mut self,
        slot: SlotId,
        customer: &str,
        tokens: Tokens,
        now: Timestamp,
    ) -> ReserveOutcome {
        let Some(owned) = self.slots.get_mut(&slot).filter(|owned| owned.released.is_none()) else {
            return ReserveOutcome::NotOwner;
        };
        let Some(share) = bucket_share(&self.config, customer, slot) else {
            return ReserveOutcome::UnknownCustomer;
        };
        let bucket = owned.bucket(customer, share);
        match bucket.take(self.next_number, tokens, now) {
            Some(granted) => {
                let reservation = self.next_number;
                self.next_number += 1;
                ReserveOutcome::Granted { reservation, tokens: granted }
            }
            None => ReserveOutcome::Empty {
                retry_after_ms: millis_rounded_up(bucket.time_until(Tokens(1), now)),
            },
        }
    }

    /// Returns whether a slot is open at this process and stays nearly full after a debit of
    /// `tokens`.
    ///
    /// Such a slot can serve a request alone: few tokens that accrue at the other slots are lost.
    pub fn stays_nearly_full(
        &mut self,
        slot: SlotId,
        customer: &str,
        tokens: Tokens,
        now: Timestamp,
    ) -> bool {
        let Some(share) = bucket_share(&self.config, customer, slot) else { return false };
        let Some(owned) = self.slots.get_mut(&slot).filter(|owned| owned.released.is_none()) else {
            return false;
        };
        let level = owned.bucket(customer, share).level(now).whole_tokens();
        let nearly_full = share.cap_tokens - share.cap_tokens / NEARLY_FULL_DIVISOR;
        level >= tokens && level.0 - tokens.0 >= nearly_full
    }

    /// Settles a reservation and returns the refund; does nothing if the reservation is unknown.
    pub fn settle(
        &mut self,
        slot: SlotId,
        customer: &str,
        reservation: u64,
        used: Tokens,
        now: Timestamp,
    ) -> Option<MicroTokens> {
        let owned = self.slots.get_mut(&slot).filter(|owned| owned.released.is_none())?;
        owned.buckets.get_mut(customer)?.settle(reservation, used, now)
    }

    /// Issues a permit for a load from the weight store, if the limits of the slot allow it.
    pub fn request_permit(&mut self, slot: SlotId, hold_ms: u32, now: Timestamp) -> PermitOutcome {
        let owned = self.slots.get_mut(&slot).filter(|owned| owned.released.is_none());
        let Some(pool) = owned.and_then(|owned| owned.permits.as_mut()) else {
            return PermitOutcome::NotOwner;
        };
        let outcome = pool.try_acquire(self.next_number, hold_ms, now);
        if matches!(outcome, PermitOutcome::Granted { .. }) {
            self.next_number += 1;
        }
        outcome
    }

    /// Ends a permit; does nothing if it is unknown.
    pub fn release_permit(&mut self, slot: SlotId, permit: u64) {
        if let Some(pool) = self.slots.get_mut(&slot).and_then(|owned| owned.permits.as_mut()) {
            pool.release(permit);
        }
    }

    /// Returns the level of a customer's bucket at a slot, for status and tests.
    pub fn level(&mut self, slot: SlotId, customer: &str, now: Timestamp) -> Option<MicroTokens> {
        let share = bucket_share(&self.config, customer, slot)?;
        let owned = self.slots.get_mut(&slot)?;
        Some(owned.bucket(customer, share).level(now))
    }
}

impl OwnedSlot {
    fn open(
        slot: SlotId,
        since: Offset,
        opening: &Opening,
        config: &FleetConfig,
        now: Timestamp,
    ) -> Self {
        let initial_level =
            if *opening == Opening::Empty { InitialLevel::Empty } else { InitialLevel::Full };
        let mut owned = Self {
            since,
            released: None,
            opened_at: now,
            initial_level,
            buckets: SortedMap::new(),
            permits: None,
        };
        let levels = match opening {
            Opening::Levels { levels, .. } => levels.as_slice(),
            Opening::Empty | Opening::Full => &[],
        };
        for CustomerLevel { customer, level } in levels {
            if customer != WEIGHT_STORE_CUSTOMER
                && let Some(share) = bucket_share(config, customer, slot)
            {
                owned.buckets.insert(customer.clone(), Bucket::with_level(share, *level, now));
            }
        }
        if let Some(share) = bucket_share(config, WEIGHT_STORE_CUSTOMER, slot) {
            let level =
                levels.iter().find(|l| l.customer == WEIGHT_STORE_CUSTOMER).map(|l| l.level);
            let level = level.unwrap_or(match initial_level {
                InitialLevel::Empty => MicroTokens(0),
                InitialLevel::Full => MicroTokens::from_tokens(Tokens(share.cap_tokens)),
            });
            let mut pool = PermitPool::new(share, store_concurrency(config, slot), level, now);
            match opening {
                Opening::Empty => pool.inherit_unknown(now),
                Opening::Full => {}
                Opening::Levels { permit_holds_ms, .. } => pool.inherit(permit_holds_ms, now),
            }
            owned.permits = Some(pool);
        }
        owned.apply_configuration(slot, config, now);
        owned
    }

    fn handover_state(&mut self, now: Timestamp) -> ReleasedSlot {
        let mut released = ReleasedSlot::default();
        for (customer, bucket) in self.buckets.iter_mut() {
            if !bucket.is_idle(now) {
                let level = bucket.level(now);
                released.levels.push(CustomerLevel { customer: customer.clone(), level });
            }
        }
        if let Some(permits) = &mut self.permits {
            let customer = CompactString::const_new(WEIGHT_STORE_CUSTOMER);
            released.levels.push(CustomerLevel { customer, level: permits.level(now) });
            released.permit_holds_ms = permits.remaining_holds_ms(now);
        }
        released
    }

    fn bucket(&mut self, customer: &str, share: Share) -> &mut Bucket {
        let (initial_level, opened_at) = (self.initial_level, self.opened_at);
        self.buckets.get_or_insert_with(CompactString::new(customer), || match initial_level {
            InitialLevel::Empty => Bucket::empty(share, opened_at),
            InitialLevel::Full => Bucket::full(share, opened_at),
        })
    }

    /// Applies the configured rate and cap to every bucket.
    ///
    /// The bucket of a removed customer is kept until it is full, so that removing and re-adding a
    /// customer does not refill it.
    fn apply_configuration(&mut self, slot: SlotId, config: &FleetConfig, now: Timestamp) {
        for (customer, bucket) in self.buckets.iter_mut() {
            if let Some(share) = bucket_share(config, customer, slot) {
                bucket.set_share(share, now);
            }
        }
        let initial_level = self.initial_level;
        self.buckets.retain(|customer, bucket| {
            initial_level == InitialLevel::Empty
                || bucket_share(config, customer, slot).is_some()
                || !bucket.is_idle(now)
        });
        if initial_level == InitialLevel::Empty {
            // Created eagerly: a bucket created on first use would accrue tokens since `opened_at`
            // at a rate that may have come into force later.
            for customer in &config.customers {
                if let Some(share) = bucket_share(config, &customer.name, slot) {
                    self.bucket(&customer.name, share);
                }
            }
        }
        if partition_of(WEIGHT_STORE_CUSTOMER, config.buckets) == slot.partition
            && let Some(share) = bucket_share(config, WEIGHT_STORE_CUSTOMER, slot)
        {
            let concurrent = store_concurrency(config, slot);
            match &mut self.permits {
                Some(pool) => pool.set_limits(share, concurrent, now),
                missing => *missing = Some(PermitPool::new(share, concurrent, MicroTokens(0), now)),
            }
        } else {
            self.permits = None;
        }
    }
}
