//! Commands, one a module.

pub mod check;
pub mod demo;
mod files;
pub mod publish;
mod publish_session;
pub mod standin;
pub mod status;
