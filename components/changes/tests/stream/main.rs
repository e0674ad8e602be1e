//! Tests of the configuration stream.

mod common;
mod limits;
mod replicas;
mod snapshots;
mod verdicts;
