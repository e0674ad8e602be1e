//! Keys to customers, and what a customer may use.

mod caller;
mod permission;

pub use caller::{AuthFault, Caller, authenticate, authenticate_hash, hash_key};
pub use permission::{Permission, TargetName, permit_model, permit_route, permitted_names};
