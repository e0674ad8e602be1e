//! Decides whether a request waits for a model or an adapter to be loaded.

use std::time::Duration;

/// Maximum wait for a model that is being loaded, as a share of the time that the request had on
/// arrival.
const MAX_LOAD_WAIT_SHARE: f64 = 0.45;
/// The same for a stream that may go on only at one version of the software. The rest is for the
/// prefill.
const MAX_BOUND_LOAD_WAIT_SHARE: f64 = 0.85;
/// Maximum wait for a load to begin, for a model that no target has: one planner round plus the
/// round trip to the agent.
const LOAD_START_TIMEOUT: Duration = Duration::from_millis(700);
/// The same for a stream that may go on only at one version of the software: it includes the time until
/// the planner knows that a target has ended, and the unload of another model.
const BOUND_LOAD_START_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum wait for an adapter: up to 10 ms to load, more while many adapters are loaded, plus the
/// round trip to the agent.
const ADAPTER_LOAD_TIMEOUT: Duration = Duration::from_millis(350);
/// Retry delay returned while no target is loading the model.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Maximum retry delay, as a share of the remaining time; callers ignore a longer one.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Targets that may serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetRange {
    /// Any target of the service.
    Any,
    /// Targets of the version of the software that began the request's stream. A caller that is refused
    /// has no better place to return to.
    OneVersion,
}

/// Decision about a request that no target can serve now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadWait {
    /// The request keeps waiting.
    Wait,
    /// The request is refused.
    Refuse {
        /// Retry delay for the caller.
        retry_after: Duration,
    },
}

/// Decides whether a request waits for a model that no target serves.
///
/// `loading` is the remaining load time if a target is loading the model, `waited` the time that
/// the request has waited, and `allowed` the time that it had on arrival.
pub fn wait_for_model(
    range: TargetRange,
    loading: Option<Duration>,
    waited: Duration,
    allowed: Duration,
) -> LoadWait {
    let (max_share, start_timeout) = match range {
        TargetRange::Any => (MAX_LOAD_WAIT_SHARE, LOAD_START_TIMEOUT),
        TargetRange::OneVersion => (MAX_BOUND_LOAD_WAIT_SHARE, BOUND_LOAD_START_TIMEOUT),
    };
    let keeps_waiting = match loading {
        Some(loading) => waited + loading <= allowed.mul_f64(max_share),
        None => waited < start_timeout,
    };
    if keeps_waiting {
        return LoadWait::Wait;
    }
    let left = allowed.saturating_sub(waited);
    let retry_after =
        loading.unwrap_or(DEFAULT_RETRY_AFTER).min(left.mul_f64(MAX_RETRY_AFTER_SHARE));
    LoadWait::Refuse { retry_after }
}

/// Returns whether a request keeps waiting for an adapter whose load was requested `elapsed` ago.
pub fn waits_for_adapter(elapsed: Duration) -> bool {
    elapsed < ADAPTER_LOAD_TIMEOUT
}
