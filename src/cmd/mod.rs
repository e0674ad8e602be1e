//! Commands, one a module.

pub mod demo;
pub mod entry;
pub mod standin;
pub mod status;
