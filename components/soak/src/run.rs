//! One run of the soak.

use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::checks::findings;
use crate::evidence::Evidence;
use crate::load::Load;
use crate::options::SoakOptions;
use crate::report::SoakReport;
use crate::schedule::Schedule;
use crate::site::Site;

/// Time before the first request and the first fault.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time for which the load goes on after the last fault: that within which requests must be served again,
/// and some seconds in which they are.
const AFTERMATH: Duration = Duration::from_secs(17);
/// Time in which the last requests end.
const LAST_REQUESTS: Duration = Duration::from_secs(7);

/// Why a run could not be made.
#[derive(Debug)]
pub enum SoakError {
    /// A port, a file or a process could not be had.
    Start(io::Error),
}

impl fmt::Display for SoakError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(error) => write!(f, "can't start the deployment: {error}"),
        }
    }
}

impl std::error::Error for SoakError {}

/// Runs the schedule of a seed, within a `LocalSet`.
///
/// # Errors
///
/// If the deployment can't be started.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let temporary = tempfile::tempdir().map_err(SoakError::Start)?;
    let directory = options.logs.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(directory).map_err(SoakError::Start)?;
    let schedule = Schedule::draw(options);
    let site = Site::start(options, directory).await.map_err(SoakError::Start)?;
    sleep(WARM_UP).await;
    let load = Load::start(&site, options.callers, options.seed);
    let began = Instant::now();
    let mut faults = JoinSet::new();
    for planned in &schedule.planned {
        sleep_until(began + planned.at).await;
        faults.spawn_local(Rc::clone(&site).strike(planned.fault, planned.lasts));
    }
    // A fault that panics is a fault of the soak itself.
    while let Some(ended) = faults.join_next().await {
        ended.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
    }
    let calm_at = Instant::now();
    sleep(AFTERMATH).await;
    load.stop();
    sleep(LAST_REQUESTS).await;
    let evidence = Evidence {
        limits: site.limits,
        tenants: site.spec.borrow().tenants.clone(),
        attempts: load.attempts(),
        runs: site.journal.runs(),
        arrivals: site.journal.arrivals(),
        orders: site.journal.orders(),
        overcommits: site.journal.overcommits(),
        lost_models: site.journal.lost_models(),
        spans: site.spans.borrow().clone(),
        withdrawn: site.withdrawn.borrow().clone(),
        extra_route: site.extra_route.borrow().clone(),
        services: Site::services(),
        calm_at,
    };
    let findings = findings(&evidence);
    Ok(SoakReport::new(options.seed, schedule, &evidence, findings))
}
