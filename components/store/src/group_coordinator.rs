//! Groups whose members divide the numbered parts of some work among themselves.

use std::time::Duration;

use compact_str::CompactString;

use crate::StoreError;

/// A group used by the fleet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Group {
    /// Gateways that send orders to engines without an agent.
    EngineOrders,
}

/// Parts assigned to a member of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartAssignment {
    /// Number that increases with each change of the group.
    pub generation: u64,
    /// Parts assigned to the member, sorted.
    pub parts: Vec<u32>,
}

/// A store that assigns the parts of a group's work to its members.
///
/// A part is reassigned only after its member has joined without it, has left, or has not joined
/// for its lifetime. However, the store may also reassign all parts at any time.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait GroupCoordinator {
    /// Joins a group or renews the membership for `lifetime`; `generation` is the last one received
    /// by the member.
    ///
    /// # Errors
    ///
    /// Returns the reason for a missing response; the member may have joined nevertheless.
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
    /// Returns the reason for a missing response; the membership ends after its lifetime.
    async fn leave(&self, group: Group, member: &CompactString) -> Result<(), StoreError>;
}
