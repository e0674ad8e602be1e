//! Choice of a target, and retries.
//!
//! Decisions are functions of recorded reports, `now` and a generator that is passed in. A request
//! examines at most [`MAX_CANDIDATES`] targets, whatever the size of the fleet.

mod backoff;
mod preference;
mod prefix;
mod request;
mod retry;
mod router;
mod score;
mod sends;
mod target;

pub use backoff::{Backoff, RetryBudget, remaining_for_hop};
pub use base::PREFIX_BLOCK_BYTES;
pub use prefix::{CacheEvent, CacheEventKind, PrefixIndex, prefix_blocks};
pub use request::{Choice, ModelNeed, NoTarget, Pick, PlainNeed, TargetInfo};
pub use retry::{CallKind, Failure, RetryVerdict, retry_verdict};
pub use router::{MAX_CANDIDATES, Router};
pub use score::{Delays, Reach, reach_of};
pub use sends::SendId;
