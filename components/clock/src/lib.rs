//! Clock and incarnation of a process.

mod boot_clock;

pub use boot_clock::{BootClock, new_incarnation};
