//! Division of a customer's bucket into the shares of its slots.

use base::{Tokens, hash_bytes};
use config::{BucketLayout, Customer, FleetConfig};
use serde::{Deserialize, Serialize};
use wire::SlotId;

/// Name of the internal customer whose bucket limits loads from the weight store.
///
/// Customer names can't contain parentheses, so it can't collide with one.
pub const WEIGHT_STORE_CUSTOMER: &str = "(weight-store)";

/// Millionths of a token; one token per second is exactly one micro-token per microsecond.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MicroTokens(pub u128);

impl MicroTokens {
    /// Micro-tokens in one token.
    pub const PER_TOKEN: u128 = 1_000_000;

    /// Converts whole tokens.
    pub const fn from_tokens(tokens: Tokens) -> Self {
        Self(tokens.0 as u128 * Self::PER_TOKEN)
    }

    /// Converts to whole tokens, rounded down.
    pub fn whole_tokens(self) -> Tokens {
        Tokens(u64::try_from(self.0 / Self::PER_TOKEN).unwrap_or(u64::MAX))
    }
}

/// Rate and cap of one slot of a bucket.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Tokens per second.
    pub rate_tokens_per_s: u64,
    /// Largest level.
    pub cap_tokens: u64,
}

/// Returns part `index` of `amount` split into `parts`.
///
/// The remainder is distributed over the first parts, so that the parts add up exactly.
pub fn split(amount: u64, parts: u16, index: u16) -> u64 {
    let (parts, index) = (u64::from(parts.max(1)), u64::from(index));
    if index >= parts {
        return 0;
    }
    amount / parts + u64::from(index < amount % parts)
}

/// Returns the partition of a customer's bucket.
pub fn partition_of(customer: &str, layout: BucketLayout) -> u16 {
    let partition = hash_bytes(customer.as_bytes()) % u64::from(layout.partitions.max(1));
    u16::try_from(partition).unwrap_or(0)
}

/// Returns the slots of a customer's bucket, in order.
pub fn slots_of(customer: &str, layout: BucketLayout) -> impl Iterator<Item = SlotId> {
    let partition = partition_of(customer, layout);
    (0..layout.slots.max(1)).map(move |index| SlotId { partition, index })
}

/// Returns the share of the slot at `index` in the bucket of `customer`.
fn customer_share(customer: &Customer, layout: BucketLayout, index: u16) -> Share {
    Share {
        rate_tokens_per_s: split(customer.rate_tokens_per_s, layout.slots, index),
        cap_tokens: split(customer.burst_tokens, layout.slots, index),
    }
}

/// Returns the share of `slot` in the bucket of `customer`, or none if the configuration has no
/// such customer or its bucket is in another partition.
///
/// A token of the weight store is a thousandth of a load, so that 1.5 loads per second is exact.
pub fn bucket_share(config: &FleetConfig, customer: &str, slot: SlotId) -> Option<Share> {
    let layout = config.buckets;
    if slot.index >= layout.slots.max(1) || partition_of(customer, layout) != slot.partition {
        return None;
    }
    if customer == WEIGHT_STORE_CUSTOMER {
        let slots = store_slots(config);
        let loads = split(u64::from(config.weight_store.concurrent_loads), slots, slot.index);
        return Some(Share {
            rate_tokens_per_s: split(config.weight_store.loads_per_1000_s, slots, slot.index),
            cap_tokens: loads * 1_000,
        });
    }
    let id = config.customer_id(customer)?;
    Some(customer_share(config.customer(id), layout, slot.index))
}

/// Returns the number of slots of the weight store's bucket that issue permits.
///
/// It is at most the number of concurrent loads, so that each of these slots has room for a whole
/// load.
fn store_slots(config: &FleetConfig) -> u16 {
    let loads = u16::try_from(config.weight_store.concurrent_loads).unwrap_or(u16::MAX);
    config.buckets.slots.min(loads).max(1)
}

/// Returns the number of loads that may run concurrently on permits of `slot`.
pub(crate) fn store_concurrency(config: &FleetConfig, slot: SlotId) -> u32 {
    let loads = u64::from(config.weight_store.concurrent_loads);
    u32::try_from(split(loads, store_slots(config), slot.index)).unwrap_or(u32::MAX)
}
