//! Whether a request waits for a model or an adapter that no target has yet.

use std::time::Duration;

/// Part of the time that a request had on arrival for which it waits at most for a model that is being
/// loaded.
const LOADING_PART: f64 = 0.45;
/// Time within which a model that is missing everywhere should begin to load: a round of the planner, the
/// way to the agent and back.
const PLAN_TIME: Duration = Duration::from_millis(700);
/// Time within which an adapter should be there: up to 10 ms to load, more while many are loaded, and
/// the way to the agent and back.
const ADAPTER_TIME: Duration = Duration::from_millis(350);
/// Advised wait while nothing loads the model.
const UNKNOWN_RETURN: Duration = Duration::from_millis(1_000);
/// Longest advised wait, as a part of the time left; callers don't heed a longer one.
const RETURN_PART: f64 = 1.0 / 3.0;

/// Decision on a request that no target can serve now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadWait {
    /// It waits on.
    Wait,
    /// It is refused.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Decides on a request whose model no target serves. `loading` is the time until one has it, if it is
/// being loaded; `waited` the time for which the request has waited, `allowed` the time that it had on
/// arrival.
pub fn wait_for_model(loading: Option<Duration>, waited: Duration, allowed: Duration) -> LoadWait {
    let goes_on = match loading {
        Some(loading) => waited + loading <= allowed.mul_f64(LOADING_PART),
        None => waited < PLAN_TIME,
    };
    if goes_on {
        return LoadWait::Wait;
    }
    let left = allowed.saturating_sub(waited);
    let retry_after = loading.unwrap_or(UNKNOWN_RETURN).min(left.mul_f64(RETURN_PART));
    LoadWait::Refuse { retry_after }
}

/// Whether a target that was asked to load an adapter `asked` ago is still waited for.
pub fn waits_for_adapter(asked: Duration) -> bool {
    asked < ADAPTER_TIME
}
