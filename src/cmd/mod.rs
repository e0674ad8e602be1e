//! Commands, one a module.

pub mod check;
pub mod demo;
pub mod entry;
mod files;
pub mod measure;
pub mod measure_load;
pub mod publish;
mod publish_session;
pub mod side;
pub mod standin;
pub mod status;
