//! Commands, one a module.

pub mod demo;
pub mod entry;
pub mod side;
pub mod standin;
pub mod status;
