//! Measures of the policy: the decision core under a seeded workload, with fakes at its interfaces,
//! beside baselines and a bound.

mod arrival;
mod crash_result;
mod crash_run;
mod crash_scenario;
mod deployments;
mod engine;
mod entry_node;
mod event;
mod judge;
mod load;
mod outcome;
mod policy;
mod report;
mod request;
mod router;
mod run;
mod run_admission;
mod run_faults;
mod run_placement;
mod run_result;
mod scenario;
mod side_node;
mod workload;

pub use arrival::Arrival;
pub use crash_result::{CrashResult, SoundRequests};
pub use crash_run::run_crashes;
pub use crash_scenario::{CrashScenario, DeadlyPosition};
pub use deployments::deployments;
pub use judge::Judge;
pub use load::{LoadPlan, LoadResult, put_load};
pub use outcome::{Outcome, RunResult};
pub use policy::Policy;
pub use report::{print_json, print_table};
pub use run::run;
pub use scenario::{Deployment, Fault, Scenario};
pub use workload::{make_arrivals, scale_rates};
