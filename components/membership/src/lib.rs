//! Who is alive: heartbeats, incarnations, the VM list, leaving and proof of the end; and the authority
//! to serve requests with a key.
//!
//! Each process judges for itself. Everything is a function of recorded facts and `now`.

mod authority;
mod death_proof;
mod gateway_table;
mod listing;
mod member;
mod membership;
mod schedule;
mod target_directory;
mod vm_list;

pub use authority::{Authority, AuthorityBasis, AuthorityGrant};
pub use death_proof::DeathProof;
pub use gateway_table::{GatewayPeer, GatewayTable, StaleDatagram};
pub use member::{Liveness, Member};
pub use membership::{Heard, Membership, Myself};
pub use schedule::{LARGE_ROUND_PEERS, Round, SMALL_FLEET_PEERS, contact_interval};
pub use target_directory::{RETURN_TIME, TargetDirectory};
pub use vm_list::{Vm, VmList};
