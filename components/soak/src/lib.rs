//! Randomized soak: the shipped binary as separate processes on one machine, faults from outside them on a
//! seeded schedule, and checks of what callers and targets see.

mod checks;
mod evidence;
mod fault;
mod finding;
mod load;
mod machine;
mod options;
mod report;
mod run;
mod schedule;
mod site;
mod targets;

pub use checks::findings;
pub use evidence::{Attempt, Evidence, Span, Subject};
pub use fault::{Fault, LinkFault, StoreFault};
pub use finding::{Check, Finding};
pub use options::SoakOptions;
pub use report::SoakReport;
pub use run::{SoakError, run};
pub use schedule::{Planned, Schedule};
