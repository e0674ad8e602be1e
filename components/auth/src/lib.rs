//! Keys to customers, permissions, and authority to serve when cut off from the log.

mod authority;
mod caller;
mod permission;

pub use authority::{Authority, AuthorityLimits, LogContact, PeerContact};
pub use caller::{AuthFault, Caller, authenticate, authenticate_hash, hash_key};
pub use permission::{Permission, TargetName, permit_model, permit_route, permitted_names};
