//! The two deployments of the design page, at their sizes of today.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fs;
use std::path::{Path, PathBuf};

use base::Offset;
use config::{
    FleetConfig, KeyEdits, ServiceKind, SourceFile, Sources, load_entry_settings,
    load_side_settings,
};

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fixtures").join(name)
}

fn read(deployment: &str, file: &str) -> SourceFile {
    SourceFile::new(file, &fs::read_to_string(directory(deployment).join(file)).unwrap())
}

fn compiled(deployment: &str, site: &str) -> FleetConfig {
    let overlays = vec![read(deployment, &format!("{site}.yaml"))];
    let base = read(deployment, "base.yaml");
    let sources = Sources { base, overlays, keys: KeyEdits::default() };
    assert_eq!(sources.check(), Ok(()));
    sources.compile(site, Offset(1)).unwrap()
}

/// Sizes of a deployment: data centres, customers, models, adapters, loads in 1,000 s, loads at once.
fn sizes(config: &FleetConfig) -> [u64; 6] {
    let count = |n: usize| u64::try_from(n).unwrap();
    [
        count(config.data_centres.len()),
        count(config.customers.len()),
        count(config.models.len()),
        count(config.adapters.len()),
        config.weight_store.loads_per_1000_s,
        u64::from(config.weight_store.concurrent_loads),
    ]
}

fn service_size(config: &FleetConfig, name: &str) -> (ServiceKind, usize) {
    let service = config.service(config.service_id(name).unwrap());
    (service.kind, service.targets.len())
}

#[test]
fn cwmcapsiwn_has_the_sizes_of_the_design_page() {
    let config = compiled("cwmcapsiwn", "cymru-de");
    assert_eq!(sizes(&config), [4, 5, 15, 80, 1_500, 5]);
    assert_eq!(service_size(&config, "llais-models"), (ServiceKind::Engine, 12));
    assert_eq!(service_size(&config, "teyrnged-app"), (ServiceKind::Plain, 4));
    // The overlay is in force.
    assert_eq!(config.target("llais-12").unwrap().1.batch, 32);
}

#[test]
fn fumeiro_has_the_sizes_of_the_design_page() {
    let config = compiled("fumeiro", "norte-pt");
    assert_eq!(sizes(&config), [3, 5, 30, 110, 2_000, 8]);
    assert_eq!(service_size(&config, "redactor"), (ServiceKind::Engine, 18));
    assert_eq!(service_size(&config, "balcao"), (ServiceKind::Plain, 3));
    assert_eq!(config.target("redactor-17").unwrap().1.memory_mb, 48_000);
}

#[test]
fn all_settings_files_load_and_match_their_deployment() {
    let mut loaded = 0;
    for (deployment, site) in [("cwmcapsiwn", "cymru-de"), ("fumeiro", "norte-pt")] {
        let config = compiled(deployment, site);
        for entry in fs::read_dir(directory(deployment)).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let source = read(deployment, &name);
            let problems = if name.starts_with("entry-") {
                load_entry_settings(&source).unwrap().check_against(&config, &source)
            } else if name.starts_with("side-") {
                load_side_settings(&source).unwrap().check_against(&config, &source)
            } else {
                continue;
            };
            assert_eq!(problems, [], "{name}");
            loaded += 1;
        }
    }
    assert_eq!(loaded, 6);
}
