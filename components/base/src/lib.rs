//! Types shared by all crates: timestamps, token counts, names, identifiers, sorted maps and seeded
//! random number generators.
//!
//! Nothing here reads a clock, a socket or an unseeded source of random numbers.

mod execution_state;
mod ids;
mod loaded_model;
mod offset;
mod prefix;
mod process;
mod rendezvous;
mod rng;
mod snapshot_schedule;
mod sorted;
mod timestamp;
mod tokens;

pub use execution_state::ExecutionState;
pub use ids::{AdapterId, CustomerId, KeyId, ModelId, RouteId, ServiceId};
pub use loaded_model::{LoadedModel, WarmCopies};
pub use offset::Offset;
pub use prefix::{PREFIX_BLOCK_BYTES, prefix_blocks};
pub use process::{Incarnation, ProcessId, ProcessName, Role};
pub use rendezvous::{hash_bytes, rank_members, rendezvous_score, short_hash};
pub use rng::seeded_rng;
pub use snapshot_schedule::SnapshotSchedule;
pub use sorted::SortedMap;
pub use timestamp::Timestamp;
pub use tokens::Tokens;
