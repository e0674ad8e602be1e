//! Changes of settings by JSON.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// `settings` with the fields of the JSON object `change` in place of its own.
pub(crate) fn merge<T: DeserializeOwned + Serialize>(
    settings: &T,
    change: &[u8],
) -> Result<T, serde_json::Error> {
    let mut merged = serde_json::to_value(settings)?;
    let change: serde_json::Map<String, Value> = serde_json::from_slice(change)?;
    if let Value::Object(fields) = &mut merged {
        fields.extend(change);
    }
    serde_json::from_value(merged)
}
