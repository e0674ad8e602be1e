//! Fault matrix for tests: runs a protocol step by step and applies each fault at each step.
//!
//! A [`Protocol`] holds the state machines of its processes and sends messages by a [`Network`]. The
//! run is deterministic: without faults every message takes the same time. [`enumerate`] first runs the
//! protocol without a fault to learn its steps, then once for each step and fault, and once for each
//! pair of them.

mod fault;
mod matrix;
mod network;
mod protocol;

pub use fault::{Fault, Injection, Step};
pub use matrix::{Matrix, cells, enumerate, enumerate_some};
pub use network::{Network, Timing};
pub use protocol::{Outcome, Protocol, run};
