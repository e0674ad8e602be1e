//! Commands, one a module.

pub mod demo;
pub mod side;
pub mod standin;
pub mod status;
