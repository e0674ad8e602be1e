//! Removal of the presented API key from a request body.

use serde_json::Value;

/// Removes every member and element whose value equals `key`.
pub(crate) fn remove_key(value: &mut Value, key: &str) {
    match value {
        Value::Array(items) => {
            items.retain(|item| item.as_str() != Some(key));
            items.iter_mut().for_each(|item| remove_key(item, key));
        }
        Value::Object(members) => {
            members.retain(|name, member| name != key && member.as_str() != Some(key));
            members.values_mut().for_each(|member| remove_key(member, key));
        }
        Value::Bool(_) | Value::Null | Value::Number(_) | Value::String(_) => {}
    }
}
