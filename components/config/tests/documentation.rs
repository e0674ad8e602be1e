//! The page for operators names every field.

use config::{KeyEdits, SourceFile, Sources, load_entry_settings, load_side_settings};

const PAGE: &str = include_str!("../../../docs/configuration.md");

/// Fields that the reader lists when it meets an unknown one.
fn fields_of(message: &str) -> Vec<String> {
    let (_, list) = message.split_once("expected one of ").unwrap_or_else(|| {
        panic!("no list of fields in {message:?}");
    });
    let list = list.split(';').next().unwrap_or_default();
    list.split(", ").map(|name| name.trim_matches('`').to_owned()).collect()
}

fn base_message(base: &str, overlay: Option<&str>) -> String {
    let overlays = overlay.iter().map(|text| SourceFile::new("o.yaml", text)).collect();
    let base = SourceFile::new("b.yaml", base);
    let problems = Sources { base, overlays, keys: KeyEdits::default() }.check();
    problems.expect_err("the unknown field was accepted")[0].message.clone()
}

fn settings_messages(text: &str) -> [String; 2] {
    let source = SourceFile::new("s.yaml", text);
    let entry = load_entry_settings(&source).expect_err("the unknown field was accepted");
    let side = load_side_settings(&source).expect_err("the unknown field was accepted");
    [entry[0].message.clone(), side[0].message.clone()]
}

#[test]
fn every_field_of_every_file_is_described() {
    let mut messages = vec![base_message("unknown: 1\n", None)];
    for list in ["data_centres", "customers", "keys", "services", "models", "adapters", "routes"] {
        messages.push(base_message(&format!("{list}: [{{unknown: 1}}]\n"), None));
    }
    messages.push(base_message("services: [{targets: [{unknown: 1}]}]\n", None));
    for section in ["weight_store", "buckets"] {
        messages.push(base_message(&format!("{section}: {{unknown: 1}}\n"), None));
    }
    let base = "name: x\ndata_centres: [{name: a, region: r}]\n";
    messages.push(base_message(base, Some("unknown: 1\n")));
    messages.extend(settings_messages("unknown: 1\n"));
    for section in ["process", "platform", "membership"] {
        messages.extend(settings_messages(&format!("{section}: {{unknown: 1}}\n")));
    }
    messages.push(settings_messages("callers: {unknown: 1}\n")[0].clone());
    let mut count = 0;
    for field in messages.iter().flat_map(|message| fields_of(message)) {
        assert!(PAGE.contains(&format!("`{field}`")), "`{field}` is not described");
        count += 1;
    }
    assert!(count > 100, "only {count} fields were found");
}
