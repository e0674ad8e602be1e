//! Rendezvous hashing orders of a set of targets, cached until the set changes.

use base::rendezvous_score;
use compact_str::CompactString;

/// Number of cached orders per set; the affinity of a request selects one.
const ORDERS_PER_SET: usize = 64;
/// Maximum length of a cached order. Larger than the number of targets examined per request, so
/// that a few silent or excluded targets don't require ranking the whole set again.
const MAX_ORDER_LEN: usize = 24;

/// Members of a set, with their rendezvous order for each of a fixed number of keys.
///
/// Ranking scores every member, so it is done once per key after a change of the set instead of
/// once per request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RendezvousOrders {
    /// Positions of the targets in the router, sorted.
    members: Vec<u32>,
    orders: Vec<Vec<u32>>,
}

impl RendezvousOrders {
    pub(crate) fn insert(&mut self, member: u32) {
        if let Err(at) = self.members.binary_search(&member) {
            self.members.insert(at, member);
            self.orders.clear();
        }
    }

    pub(crate) fn remove(&mut self, member: u32) {
        if let Ok(at) = self.members.binary_search(&member) {
            self.members.remove(at);
            self.orders.clear();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub(crate) fn members(&self) -> &[u32] {
        &self.members
    }

    /// Returns the first members in the order for `(key, affinity)`.
    pub(crate) fn order<'a>(
        &mut self,
        key: &str,
        affinity: u64,
        name_of: impl Fn(u32) -> &'a CompactString,
    ) -> &[u32] {
        if self.orders.is_empty() {
            self.orders = vec![Vec::new(); ORDERS_PER_SET];
        }
        let at = usize::try_from(affinity % ORDERS_PER_SET as u64).unwrap_or(0);
        if self.orders[at].is_empty() {
            let ranked = rank(&self.members, key, at, name_of);
            self.orders[at] = ranked.into_iter().take(MAX_ORDER_LEN).collect();
        }
        &self.orders[at]
    }

    /// Returns all members that `keep` accepts, in the order for `(key, affinity)`. Ranks the whole
    /// set; used in the rare case that none of the first members is usable.
    pub(crate) fn full_order<'a>(
        &self,
        key: &str,
        affinity: u64,
        keep: impl Fn(&u32) -> bool,
        name_of: impl Fn(u32) -> &'a CompactString,
    ) -> Vec<u32> {
        let at = usize::try_from(affinity % ORDERS_PER_SET as u64).unwrap_or(0);
        let kept: Vec<u32> = self.members.iter().copied().filter(keep).collect();
        rank(&kept, key, at, name_of)
    }
}

fn rank<'a>(
    members: &[u32],
    key: &str,
    order: usize,
    name_of: impl Fn(u32) -> &'a CompactString,
) -> Vec<u32> {
    let key = compact_str::format_compact!("{key}#{order}");
    let mut ranked: Vec<(u64, u32)> = members
        .iter()
        .map(|member| (rendezvous_score(key.as_bytes(), name_of(*member)), *member))
        .collect();
    ranked.sort_unstable_by_key(|(score, member)| (std::cmp::Reverse(*score), *member));
    ranked.into_iter().map(|(_, member)| member).collect()
}
