//! Headroom of a bucket (cap minus level), split into layers by the debit that created it.
//!
//! A debit pushes a layer; a refill removes from the newest layers first. The sum of the layers up
//! to and including a reservation's own is therefore the smallest headroom since that reservation,
//! as a stack of running minima would give it. A refund removes from the reservation's layer and
//! older ones, which also lowers the minima that bound later refunds. Otherwise two refunds of
//! overlapping reservations could together raise the level above what it would be if only the used
//! amounts had been taken.

/// Headroom layers in micro-tokens, with prefix sums in O(log n).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Headroom {
    layers: Vec<u128>,
    /// Fenwick tree over `layers`.
    tree: Vec<u128>,
    total: u128,
}

impl Headroom {
    /// Creates headroom of one layer.
    pub(crate) fn new(amount: u128) -> Self {
        let mut headroom = Self::default();
        headroom.push(amount);
        headroom
    }

    /// Returns the sum of all layers.
    pub(crate) const fn total(&self) -> u128 {
        self.total
    }

    /// Returns the number of layers, including empty ones.
    pub(crate) const fn len(&self) -> usize {
        self.layers.len()
    }

    /// Adds a layer on top and returns its position.
    pub(crate) fn push(&mut self, amount: u128) -> usize {
        let position = self.layers.len();
        self.layers.push(amount);
        let node = position + 1;
        let covered = node & node.wrapping_neg();
        let mut sum = amount;
        let mut step = 1;
        while step < covered {
            sum += self.tree[node - step - 1];
            step <<= 1;
        }
        self.tree.push(sum);
        self.total += amount;
        position
    }

    /// Returns the sum of the layers up to and including `position`.
    pub(crate) fn sum_through(&self, position: usize) -> u128 {
        let mut node = position + 1;
        let mut sum = 0;
        while node > 0 {
            sum += self.tree[node - 1];
            node &= node - 1;
        }
        sum
    }

    /// Removes up to `amount` from the layers up to and including `position`, newest first, and
    /// returns the amount removed.
    pub(crate) fn take_through(&mut self, position: usize, amount: u128) -> u128 {
        let available = self.sum_through(position);
        let mut rest = amount.min(available);
        let mut prefix_sum = available;
        let taken = rest;
        while rest > 0 {
            let at = self.position_of_sum(prefix_sum);
            let part = self.layers[at].min(rest);
            self.lower(at, part);
            prefix_sum -= part;
            rest -= part;
        }
        taken
    }

    /// Removes up to `amount` from the newest layers and returns the amount removed.
    pub(crate) fn take_newest(&mut self, amount: u128) -> u128 {
        match self.layers.len() {
            0 => 0,
            len => self.take_through(len - 1, amount),
        }
    }

    /// Merges layers so that one remains for each of `positions` (ascending), plus one for the
    /// rest.
    ///
    /// Each position is updated to its new value.
    pub(crate) fn compact<'a>(&mut self, positions: impl Iterator<Item = &'a mut usize>) {
        let mut merged = Self::default();
        let mut next = 0;
        for position in positions {
            let sum = self.layers[next..=*position].iter().sum();
            next = *position + 1;
            *position = merged.push(sum);
        }
        merged.push(self.layers[next..].iter().sum());
        *self = merged;
    }

    /// Returns the first position at which the running sum reaches `sum`, which must be positive.
    fn position_of_sum(&self, sum: u128) -> usize {
        let mut at = 0;
        let mut rest = sum;
        let mut step = self.tree.len().next_power_of_two();
        while step > 0 {
            if at + step <= self.tree.len() && self.tree[at + step - 1] < rest {
                at += step;
                rest -= self.tree[at - 1];
            }
            step >>= 1;
        }
        at
    }

    fn lower(&mut self, position: usize, amount: u128) {
        self.layers[position] -= amount;
        self.total -= amount;
        let mut node = position + 1;
        while node <= self.tree.len() {
            self.tree[node - 1] -= amount;
            node += node & node.wrapping_neg();
        }
    }
}
