//! Commands, one a module.

pub mod demo;
pub mod status;
