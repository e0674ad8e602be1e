//! Names of the users' platform stand in `platform/` alone, so that a change there touches one folder.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fs;
use std::path::{Path, PathBuf};

/// Fields, topics and variables of the platform that have no other use. Header names are read from
/// `platform/src/header_names.rs`.
const NAMES: [&str; 24] = [
    "PLANTAINBEAM_SETTINGS",
    "\"app\"",
    "\"born\"",
    "bounds.budget_",
    "bounds.quota_",
    "\"cold_per_s\"",
    "cold_remaining_ms",
    "\"cold_s\"",
    "evacuate/",
    "\"expected\"",
    "fencing_token",
    "gap_target_ms",
    "\"home_regions\"",
    "internal_ports",
    "keyed.gateways",
    "keyed.op",
    "keyed.servers",
    "listen.front",
    "path_prefix",
    "platform_settings.address",
    "\"rate_per_s\"",
    "running_count",
    "target_latency_ms",
    "waiting_count",
];

fn rust_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Guards against code outside `platform/` that depends on how the platform spells something.
#[test]
fn no_name_of_the_platform_stands_outside_its_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let headers = fs::read_to_string(root.join("platform/src/header_names.rs")).unwrap();
    let headers: Vec<&str> = headers
        .split('"')
        .filter(|text| text.starts_with("plantainbeam-") || text.starts_with("kv-"))
        .collect();
    assert!(headers.len() > 15, "only {} header names were found", headers.len());
    let mut files = Vec::new();
    for directory in ["components", "src", "tests", "examples"] {
        rust_files(&root.join(directory), &mut files);
    }
    let this = root.join("tests/platform_names.rs");
    files.retain(|file| *file != this);
    assert!(files.len() > 200, "only {} files were found", files.len());
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let found = headers.iter().chain(&NAMES).find(|name| text.contains(**name));
        assert_eq!(found, None, "{}", file.display());
    }
}
