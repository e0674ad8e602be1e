//! Groups whose members share out the numbered parts of some work.

use std::time::Duration;

use compact_str::CompactString;

use crate::StoreError;

/// A group that the fleet uses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Group {
    /// Gateways that give orders to engines without an agent.
    EngineOrders,
}

/// What a member of a group has to do.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartAssignment {
    /// Number that rises with each change of the group.
    pub generation: u64,
    /// Parts of the member, sorted.
    pub parts: Vec<u32>,
}

/// A store that deals out the parts of a group's work.
///
/// A part goes to another member only after the one that had it has joined without it, has left, or
/// has not joined for its lifetime; but the store may also deal all parts anew at any time.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait GroupCoordinator {
    /// Joins a group or stays in it for `lifetime`; `generation` is the last one that the member
    /// was told.
    ///
    /// # Errors
    ///
    /// Why there is no answer; the member may have joined all the same.
    async fn join(
        &self,
        group: Group,
        member: &CompactString,
        lifetime: Duration,
        generation: u64,
    ) -> Result<PartAssignment, StoreError>;

    /// Leaves a group.
    ///
    /// # Errors
    ///
    /// Why there is no answer; the member is out after its lifetime.
    async fn leave(&self, group: Group, member: &CompactString) -> Result<(), StoreError>;
}
