//! Authentication of callers by key, and authorization for models, adapters and routes.

mod caller;
mod permission;

pub use caller::{AuthFault, Caller, authenticate, authenticate_hash, hash_key};
pub use permission::{Permission, TargetName, permit_model, permit_route, permitted_names};
