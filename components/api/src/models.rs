//! Model list for callers.

use serde::Serialize;

use crate::sse::to_json;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Entry<'a>>,
}

#[derive(Serialize)]
struct Entry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// The body of `GET /v1/models`: names of models and adapters, in the order given.
pub fn model_list<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let data = names.map(|id| Entry { id, object: "model", owned_by: "plantainbeam" }).collect();
    to_json(&List { object: "list", data })
}
