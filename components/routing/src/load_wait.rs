//! Whether a request waits for a model or an adapter that no target has yet.

use std::time::Duration;

/// Part of the time that a request had on arrival for which it waits at most for a model that is being
/// loaded.
const MAX_LOAD_WAIT_SHARE: f64 = 0.45;
/// Time within which a model that is missing everywhere should begin to load: a round of the planner, the
/// way to the agent and back.
const LOAD_START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time within which an adapter should be there: up to 10 ms to load, more while many are loaded, and
/// the way to the agent and back.
const ADAPTER_LOAD_TIMEOUT: Duration = Duration::from_millis(350);
/// Advised wait while nothing loads the model.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Longest advised wait, as a part of the time left; callers don't heed a longer one.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

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
        Some(loading) => waited + loading <= allowed.mul_f64(MAX_LOAD_WAIT_SHARE),
        None => waited < LOAD_START_TIMEOUT,
    };
    if goes_on {
        return LoadWait::Wait;
    }
    let left = allowed.saturating_sub(waited);
    let retry_after =
        loading.unwrap_or(DEFAULT_RETRY_AFTER).min(left.mul_f64(MAX_RETRY_AFTER_SHARE));
    LoadWait::Refuse { retry_after }
}

/// Whether a target that was asked to load an adapter `asked` ago is still waited for.
pub fn waits_for_adapter(asked: Duration) -> bool {
    asked < ADAPTER_LOAD_TIMEOUT
}
