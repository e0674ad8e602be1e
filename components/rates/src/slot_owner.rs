//! The slots that one process owns.

use base::{Offset, ProcessId, SortedMap, Timestamp, Tokens, hash_bytes};
use compact_str::CompactString;
use config::{BucketLayout, Town};
use wire::{PermitOutcome, ReserveOutcome, SlotId};

use crate::permits::millis_rounded_up;
use crate::share::{bucket_share, partition_of, store_concurrency};
use crate::{
    Bucket, CustomerLevel, MicroTokens, Opening, PermitPool, Share, SlotLedger, SlotState,
    WEIGHT_STORE_CUSTOMER,
};

/// Part of the cap that may be missing from a bucket that has plenty, as a divisor.
const PLENTY_DIVISOR: u64 = 16;

/// Level of a bucket that is first seen after its slot was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unseen {
    Empty,
    Full,
}

#[derive(Clone, Debug)]
struct OwnedSlot {
    /// Record that made this process the owner.
    since: Offset,
    /// What was handed on, if the slot was released: nothing is granted from then on, whatever
    /// becomes of the record.
    released: Option<ReleasedSlot>,
    opened_at: Timestamp,
    unseen: Unseen,
    buckets: SortedMap<CompactString, Bucket>,
    permits: Option<PermitPool>,
}

/// What a released slot hands to its next owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReleasedSlot {
    /// Buckets that are not full.
    pub levels: Vec<CustomerLevel>,
    /// Milliseconds until each open permit runs out.
    pub permit_holds_ms: Vec<u32>,
}

/// Grants, settles and refills at the slots of this process.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    me: ProcessId,
    town: std::rc::Rc<Town>,
    slots: SortedMap<SlotId, OwnedSlot>,
    /// Next number of a reservation or a permit.
    ///
    /// Starts at a hash of the run of the process, so that a settlement meant for an earlier run or
    /// another owner meets an unknown number.
    next_number: u64,
}

impl SlotOwner {
    /// A process without slots.
    pub fn new(me: ProcessId, town: std::rc::Rc<Town>) -> Self {
        let next_number = hash_bytes(me.to_string().as_bytes()) >> 1;
        Self { me, town, slots: SortedMap::new(), next_number }
    }

    /// Split of the buckets in force here.
    pub fn layout(&self) -> BucketLayout {
        self.town.buckets
    }

    /// Adopts a configuration: new rates and caps from `now` on.
    ///
    /// After a change of the split every bucket starts empty, since the tokens of a customer may
    /// have been spent at another owner.
    pub fn apply_configuration(&mut self, town: std::rc::Rc<Town>, now: Timestamp) {
        let moved = town.buckets != self.town.buckets;
        self.town = town;
        for (slot, owned) in self.slots.iter_mut() {
            if moved {
                owned.unseen = Unseen::Empty;
                owned.opened_at = now;
                owned.buckets = SortedMap::new();
            }
            owned.adopt(*slot, &self.town, now);
        }
    }

    /// Opens the slots that the ledger gives to this process and closes those that it does not.
    ///
    /// Call it after each batch of records, with the time after they were read.
    pub fn sync(&mut self, ledger: &SlotLedger, now: Timestamp) {
        if !ledger.is_complete() {
            // Only proof that this run has ended could have moved its slots.
            return;
        }
        let me = &self.me;
        self.slots.retain(|slot, _| ledger.owner(*slot) == Some(me));
        let given: Vec<SlotId> = ledger.owned_by(&self.me).collect();
        for slot in given {
            if let Some(SlotState::Owned { since, opening, .. }) = ledger.state(slot)
                && self.slots.get(&slot).is_none_or(|open| open.since != *since)
            {
                let opened = OwnedSlot::open(slot, *since, opening, &self.town, now);
                self.slots.insert(slot, opened);
            }
        }
    }

    /// Slots that grant reservations, in order.
    pub fn open_slots(&self) -> impl Iterator<Item = SlotId> {
        self.slots.iter().filter(|(_, owned)| owned.released.is_none()).map(|(slot, _)| *slot)
    }

    /// Whether the slot grants reservations here.
    pub fn is_open(&self, slot: SlotId) -> bool {
        self.slots.get(&slot).is_some_and(|owned| owned.released.is_none())
    }

    /// Slots that were released here and that the ledger still gives to this process, in order.
    pub fn released_slots(&self) -> impl Iterator<Item = SlotId> {
        self.slots.iter().filter(|(_, owned)| owned.released.is_some()).map(|(slot, _)| *slot)
    }

    /// Stops granting at a slot, for good, and returns what the `Released` record must say; the
    /// same each time.
    pub fn release(&mut self, slot: SlotId, now: Timestamp) -> Option<ReleasedSlot> {
        let owned = self.slots.get_mut(&slot)?;
        if owned.released.is_none() {
            owned.released = Some(owned.contents(now));
        }
        owned.released.clone()
    }

    /// Debits a customer's bucket by `tokens` or by what is there.
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
        let Some(share) = bucket_share(&self.town, customer, slot) else {
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

    /// Whether a slot is open here and stays nearly full after a debit of `tokens`, so that it
    /// alone can serve a request without the tokens that accrue at the other slots being lost.
    pub fn stays_nearly_full(
        &mut self,
        slot: SlotId,
        customer: &str,
        tokens: Tokens,
        now: Timestamp,
    ) -> bool {
        let Some(share) = bucket_share(&self.town, customer, slot) else { return false };
        let Some(owned) = self.slots.get_mut(&slot).filter(|owned| owned.released.is_none()) else {
            return false;
        };
        let level = owned.bucket(customer, share).level(now).whole_tokens();
        let spared = share.cap_tokens - share.cap_tokens / PLENTY_DIVISOR;
        level >= tokens && level.0 - tokens.0 >= spared
    }

    /// Settles a reservation and returns the refund; an unknown one changes nothing.
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

    /// Gives a permit for a load from the weight store.
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

    /// Ends a permit.
    pub fn release_permit(&mut self, slot: SlotId, permit: u64) {
        if let Some(pool) = self.slots.get_mut(&slot).and_then(|owned| owned.permits.as_mut()) {
            pool.release(permit);
        }
    }

    /// Level of a customer's bucket at a slot, for status and tests.
    pub fn level(&mut self, slot: SlotId, customer: &str, now: Timestamp) -> Option<MicroTokens> {
        let share = bucket_share(&self.town, customer, slot)?;
        let owned = self.slots.get_mut(&slot)?;
        Some(owned.bucket(customer, share).level(now))
    }
}

impl OwnedSlot {
    fn open(slot: SlotId, since: Offset, opening: &Opening, town: &Town, now: Timestamp) -> Self {
        let unseen = if *opening == Opening::Empty { Unseen::Empty } else { Unseen::Full };
        let mut owned = Self {
            since,
            released: None,
            opened_at: now,
            unseen,
            buckets: SortedMap::new(),
            permits: None,
        };
        let levels = match opening {
            Opening::Levels { levels, .. } => levels.as_slice(),
            Opening::Empty | Opening::Full => &[],
        };
        for CustomerLevel { customer, level } in levels {
            if customer != WEIGHT_STORE_CUSTOMER
                && let Some(share) = bucket_share(town, customer, slot)
            {
                owned.buckets.insert(customer.clone(), Bucket::with_level(share, *level, now));
            }
        }
        if let Some(share) = bucket_share(town, WEIGHT_STORE_CUSTOMER, slot) {
            let level =
                levels.iter().find(|l| l.customer == WEIGHT_STORE_CUSTOMER).map(|l| l.level);
            let level = level.unwrap_or(match unseen {
                Unseen::Empty => MicroTokens(0),
                Unseen::Full => MicroTokens::from_tokens(Tokens(share.cap_tokens)),
            });
            let mut pool = PermitPool::new(share, store_concurrency(town, slot), level, now);
            match opening {
                Opening::Empty => pool.inherit_unknown(now),
                Opening::Full => {}
                Opening::Levels { permit_holds_ms, .. } => pool.inherit(permit_holds_ms, now),
            }
            owned.permits = Some(pool);
        }
        owned.adopt(slot, town, now);
        owned
    }

    fn contents(&mut self, now: Timestamp) -> ReleasedSlot {
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
        let (unseen, opened_at) = (self.unseen, self.opened_at);
        self.buckets.get_or_insert_with(CompactString::new(customer), || match unseen {
            Unseen::Empty => Bucket::empty(share, opened_at),
            Unseen::Full => Bucket::full(share, opened_at),
        })
    }

    /// Brings every bucket to the configured rate and cap. A removed customer's bucket stays until
    /// it is full, so that removing and adding a customer does not refill it.
    fn adopt(&mut self, slot: SlotId, town: &Town, now: Timestamp) {
        for (customer, bucket) in self.buckets.iter_mut() {
            if let Some(share) = bucket_share(town, customer, slot) {
                bucket.set_share(share, now);
            }
        }
        let unseen = self.unseen;
        self.buckets.retain(|customer, bucket| {
            unseen == Unseen::Empty
                || bucket_share(town, customer, slot).is_some()
                || !bucket.is_idle(now)
        });
        if unseen == Unseen::Empty {
            // Created now, since a later rate must not count for the time before it.
            for customer in &town.customers {
                if let Some(share) = bucket_share(town, &customer.name, slot) {
                    self.bucket(&customer.name, share);
                }
            }
        }
        if partition_of(WEIGHT_STORE_CUSTOMER, town.buckets) == slot.partition
            && let Some(share) = bucket_share(town, WEIGHT_STORE_CUSTOMER, slot)
        {
            let concurrent = store_concurrency(town, slot);
            match &mut self.permits {
                Some(pool) => pool.set_limits(share, concurrent, now),
                none => *none = Some(PermitPool::new(share, concurrent, MicroTokens(0), now)),
            }
        } else {
            self.permits = None;
        }
    }
}
