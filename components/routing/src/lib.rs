//! Choice of a target, and retries.
//!
//! Decisions are functions of recorded reports, `now` and a generator that is passed in. A request
//! examines at most [`MAX_CANDIDATES`] targets, whatever the size of the fleet.

mod admission;
mod attempts;
mod backoff;
mod direct_choice;
mod direct_fleet;
mod direct_target;
mod engine_pace;
mod load_wait;
mod patience;
mod preference;
mod prefix;
mod prefix_memory;
mod prompt_part;
mod request;
mod retry;
mod router;
mod score;
mod sends;
mod target;
mod target_health;
mod target_work;

pub use admission::{Admission, Slack, admit};
pub use attempts::{Attempts, TargetEnd};
pub use backoff::{Backoff, RetryBudget, remaining_for_hop};
pub use base::PREFIX_BLOCK_BYTES;
pub use direct_choice::{DirectChoice, DirectPick, GenerationNeed, PlainDirectNeed};
pub use direct_fleet::DirectFleet;
pub use direct_target::{AgentLoad, DirectTarget, TargetKey};
pub use engine_pace::EnginePace;
pub use load_wait::{LoadWait, wait_for_model, waits_for_adapter};
pub use patience::Objectives;
pub use prefix::{CacheEvent, CacheEventKind, PrefixIndex, prefix_blocks};
pub use prefix_memory::PrefixMemory;
pub use prompt_part::{PrefixLink, PromptPart, prefix_links};
pub use request::{Choice, ModelNeed, NoTarget, Pick, PlainNeed, TargetInfo};
pub use retry::{CallKind, Failure, RetryVerdict, retry_verdict};
pub use router::{MAX_CANDIDATES, Router};
pub use score::{Delays, Reach, reach_of};
pub use sends::SendId;
pub use target_health::{TargetHealth, TargetOutcome};
pub use target_work::{OwnWork, TargetLoadSample, TargetWork, WorkShare};
