//! Authentication of callers by key.

use base::{CustomerId, KeyId};
use config::FleetConfig;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// An authenticated caller; its ids are valid in one configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Customer that the key belongs to.
    pub customer: CustomerId,
    /// Entry of the key in that configuration.
    pub key: KeyId,
}

/// Why authentication or authorization failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AuthFault {
    /// The key is not in the configuration in force.
    UnknownKey,
    /// The customer may not use the model, adapter or route.
    NotAllowed,
    /// No model or adapter has this name.
    UnknownModel,
}

/// SHA-256 of a presented key; the key itself is not kept.
pub fn hash_key(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Finds the customer of a presented key.
///
/// # Errors
///
/// `UnknownKey`.
pub fn authenticate(config: &FleetConfig, key: &str) -> Result<Caller, AuthFault> {
    authenticate_hash(config, &hash_key(key))
}

/// Finds the customer of a key by its hash; also used for requests in progress.
///
/// The lookup searches by the hash, whose bits a caller can't choose; the full hash is then compared
/// in constant time.
///
/// # Errors
///
/// `UnknownKey`.
pub fn authenticate_hash(config: &FleetConfig, sha256: &[u8; 32]) -> Result<Caller, AuthFault> {
    let key = config.key_by_sha256(sha256).ok_or(AuthFault::UnknownKey)?;
    let entry = config.key(key);
    if bool::from(entry.sha256.ct_eq(sha256)) {
        Ok(Caller { customer: entry.customer, key })
    } else {
        Err(AuthFault::UnknownKey)
    }
}
