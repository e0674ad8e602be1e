//! What makes two requests the same one.

use base::hash_bytes;

/// The properties of a request that its repetitions share. Its id is not among them, and neither are
/// headers that say how the caller waits for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestIdentity<'a> {
    /// Host. Not the route, which a new configuration may rename or split.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Customer; none on open routes.
    pub customer: Option<&'a str>,
    /// Model, for a generation.
    pub model: Option<&'a str>,
    /// Adapter, for a generation.
    pub adapter: Option<&'a str>,
    /// Ids of the prompt's parts.
    pub parts: &'a [u64],
    /// Body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Digest that is the same in all gateways. Each field is hashed by itself, so that no two fields
    /// can exchange bytes.
    pub fn digest(&self) -> u64 {
        let text = |field: Option<&str>| field.map_or(0, |field| hash_bytes(field.as_bytes()));
        let fields = [
            text(Some(self.host)),
            text(Some(self.method)),
            text(Some(self.path)),
            text(self.customer),
            text(self.model),
            text(self.adapter),
            hash_bytes(self.body),
        ];
        let bytes: Vec<u8> =
            fields.iter().chain(self.parts).flat_map(|field| field.to_le_bytes()).collect();
        hash_bytes(&bytes)
    }
}
