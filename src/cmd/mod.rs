//! Commands, one a module.

pub mod demo;
pub mod standin;
pub mod status;
