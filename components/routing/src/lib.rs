//! Target selection, admission and retries.
//!
//! Decisions depend only on recorded reports, the `now` argument and the random generator that the
//! caller passes in. [`Router`] examines at most [`MAX_CANDIDATES`] targets per request, whatever
//! the size of the fleet.

mod admission;
mod attempts;
mod backoff;
mod cold_limit;
mod cold_targets;
mod concurrency_knee;
mod direct_choice;
mod direct_fleet;
mod direct_target;
mod ended_run;
mod homes;
mod latency_objectives;
mod load_wait;
mod missing_targets;
mod prefill_estimator;
mod prefill_gaps;
mod prefix;
mod prefix_cache_estimate;
mod prompt_part;
mod rendezvous_orders;
mod request;
mod retry;
mod router;
mod score;
mod sends;
mod shared_times;
mod silent_targets;
mod slowdown_estimate;
mod software_versions;
mod target;
mod target_health;
mod target_limit;
mod target_reports;
mod target_silence;
mod target_speed;
mod target_work;
mod usual_time;
mod usual_times;

pub use admission::{Admission, Slack, admit};
pub use attempts::{Attempts, TargetPhase};
pub use backoff::{Backoff, RetryBudget, remaining_for_hop};
pub use base::PREFIX_BLOCK_BYTES;
pub use cold_limit::{ColdLimit, ColdRule, ColdRules};
pub use direct_choice::{
    DirectChoice, DirectPick, DirectPlainRequirements, GenerationRequirements,
};
pub use direct_fleet::DirectFleet;
pub use direct_target::{AgentLoad, DirectTarget, TargetKey};
pub use ended_run::{EndedRun, TargetLife};
pub use homes::Homes;
pub use latency_objectives::LatencyObjectives;
pub use load_wait::{LoadWait, TargetRange, wait_for_model, waits_for_adapter};
pub use prefill_estimator::PrefillEstimator;
pub use prefill_gaps::PrefillGaps;
pub use prefix::{CacheEvent, CacheEventKind, PrefixIndex, prefix_blocks};
pub use prefix_cache_estimate::PrefixCacheEstimate;
pub use prompt_part::{PrefixLink, PromptPart, prefix_links};
pub use request::{Choice, ModelRequirements, NoTarget, Pick, PlainRequirements, TargetInfo};
pub use retry::{CallKind, Failure, RetryDecision, retry_decision};
pub use router::{MAX_CANDIDATES, Router};
pub use score::{NetworkDelays, Reachability, reachability_of};
pub use sends::SendId;
pub use software_versions::{SOFTWARE_RETENTION, VersionTargets};
pub use target_health::{TargetHealth, TargetOutcome};
pub use target_limit::{NamedLimit, SharingGateways, TargetLimit};
pub use target_silence::{ExpectedSigns, SilenceChange, SilenceSettings, TargetSilence};
pub use target_speed::{SpeedChange, TargetSpeed, WorkKind};
pub use target_work::{RequestWork, TargetLoadSample, TargetWork, Workload};
