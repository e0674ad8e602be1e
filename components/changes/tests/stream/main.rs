//! Tests of the configuration stream.

mod common;
mod replicas;
mod snapshots;
mod verdicts;
