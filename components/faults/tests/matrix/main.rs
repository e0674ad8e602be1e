//! Every fault at every step of every protocol, with exact invariants.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod answers;
mod configuration;
mod drain;
mod once_call;
mod orders;
mod pins;
mod slots;
mod support;
mod windows;
