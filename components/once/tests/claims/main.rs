//! Tests of at-most-once claims.

mod common;
mod random;
mod replay;
mod settle;
