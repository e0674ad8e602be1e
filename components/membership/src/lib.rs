//! Membership of the fleet: heartbeats, incarnations, VM lists, draining and proof of termination;
//! and the authority to serve requests with an API key.
//!
//! Each process decides for itself. Every decision is a function of recorded facts and `now`.

mod authority;
mod evacuations;
mod gateway_table;
mod member;
mod membership;
mod schedule;
mod store_contact;
mod store_era;
mod target_directory;
mod termination_proof;
mod vm_list;
mod vm_list_history;

pub use authority::{Authority, AuthorityBasis, AuthorityGrant};
pub use evacuations::{EvacuationChange, Evacuations};
pub use gateway_table::{GatewayPeer, GatewayTable, StaleState};
pub use member::{Liveness, Member};
pub use membership::{HeartbeatOutcome, LocalProcess, Membership};
pub use schedule::{MAX_FULL_ROUND_PEERS, PARTIAL_ROUND_PEERS, Round, contact_interval};
pub use store_era::{REWRITE_PERIOD, StoreEra};
pub use target_directory::{REREGISTRATION_PERIOD, TargetDirectory};
pub use termination_proof::TerminationProof;
pub use vm_list::{Vm, VmList};
