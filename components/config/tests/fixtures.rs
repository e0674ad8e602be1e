//! The two deployments of the design page, at their sizes of today.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fs;
use std::path::{Path, PathBuf};

use base::Offset;
use config::{
    KeyEdits, ServiceKind, SourceFile, Sources, Town, load_entry_settings, load_side_settings,
};

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fixtures").join(name)
}

fn read(deployment: &str, file: &str) -> SourceFile {
    SourceFile::new(file, &fs::read_to_string(directory(deployment).join(file)).unwrap())
}

fn compiled(deployment: &str, site: &str) -> Town {
    let overlays = vec![read(deployment, &format!("{site}.yaml"))];
    let base = read(deployment, "base.yaml");
    let sources = Sources { base, overlays, keys: KeyEdits::default() };
    assert_eq!(sources.check(), Ok(()));
    sources.compile(site, Offset(1)).unwrap()
}

/// Sizes of a deployment: data centres, customers, models, adapters, loads in 1,000 s, loads at once.
fn sizes(town: &Town) -> [u64; 6] {
    let count = |n: usize| u64::try_from(n).unwrap();
    [
        count(town.data_centres.len()),
        count(town.customers.len()),
        count(town.models.len()),
        count(town.adapters.len()),
        town.weight_store.loads_per_1000_s,
        u64::from(town.weight_store.concurrent_loads),
    ]
}

fn service_size(town: &Town, name: &str) -> (ServiceKind, usize) {
    let service = town.service(town.service_id(name).unwrap());
    (service.kind, service.targets.len())
}

#[test]
fn cwmcapsiwn_has_the_sizes_of_the_design_page() {
    let town = compiled("cwmcapsiwn", "cymru-de");
    assert_eq!(sizes(&town), [4, 5, 15, 80, 1_500, 5]);
    assert_eq!(service_size(&town, "llais-models"), (ServiceKind::Engine, 12));
    assert_eq!(service_size(&town, "teyrnged-app"), (ServiceKind::Plain, 4));
    // The overlay is in force.
    assert_eq!(town.target("llais-12").unwrap().1.batch, 32);
}

#[test]
fn fumeiro_has_the_sizes_of_the_design_page() {
    let town = compiled("fumeiro", "norte-pt");
    assert_eq!(sizes(&town), [3, 5, 30, 110, 2_000, 8]);
    assert_eq!(service_size(&town, "redactor"), (ServiceKind::Engine, 18));
    assert_eq!(service_size(&town, "balcao"), (ServiceKind::Plain, 3));
    assert_eq!(town.target("redactor-17").unwrap().1.memory_mb, 48_000);
}

#[test]
fn all_settings_files_load_and_match_their_deployment() {
    let mut loaded = 0;
    for (deployment, site) in [("cwmcapsiwn", "cymru-de"), ("fumeiro", "norte-pt")] {
        let town = compiled(deployment, site);
        for entry in fs::read_dir(directory(deployment)).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let source = read(deployment, &name);
            let problems = if name.starts_with("entry-") {
                load_entry_settings(&source).unwrap().check_against(&town, &source)
            } else if name.starts_with("side-") {
                load_side_settings(&source).unwrap().check_against(&town, &source)
            } else {
                continue;
            };
            assert_eq!(problems, [], "{name}");
            loaded += 1;
        }
    }
    assert_eq!(loaded, 6);
}
