//! A configuration as published: files and edits of keys.

use base::Offset;
use serde::{Deserialize, Serialize};

use crate::base_file::BaseFile;
use crate::compile::compile_merged;
use crate::located::FileIndex;
use crate::merge::{apply_overlay, check_overlay};
use crate::overlay_file::OverlayFile;
use crate::report::Report;
use crate::yaml::read_yaml;
use crate::{FleetConfig, KeyEdits, Problem, SourceFile, parse_sha256};

/// Everything that a version of the configuration is made from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sources {
    /// Base file of the deployment.
    pub base: SourceFile,
    /// Overlays; each applies to the site that it names.
    pub overlays: Vec<SourceFile>,
    /// Edits of keys on top of the base file.
    pub keys: KeyEdits,
}

/// Result of a check without problems.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The configuration for the site asked for.
    pub config: FleetConfig,
    /// Hashes of the keys that the base file lists, sorted.
    pub listed_keys: Vec<[u8; 32]>,
}

struct Parsed {
    base: BaseFile,
    overlays: Vec<(FileIndex, OverlayFile)>,
}

impl Sources {
    /// Checks the files for every site, and the base file alone.
    ///
    /// What passes compiles for any site, so that the verdict on a change is the same everywhere.
    ///
    /// # Errors
    ///
    /// All problems found, sorted by file and line.
    pub fn check(&self) -> Result<(), Vec<Problem>> {
        self.check_and_compile("", Offset::default()).map(|_| ())
    }

    /// Checks the files for every site and compiles them for one, reading them only once.
    ///
    /// # Errors
    ///
    /// As [`Sources::check`].
    pub fn check_and_compile(&self, site: &str, version: Offset) -> Result<Checked, Vec<Problem>> {
        let mut report = Report::new(&self.base, &self.overlays);
        let Some(parsed) = self.parse(&mut report) else { return Err(report.finish()) };
        let mut sites: Vec<&str> =
            parsed.base.data_centres.iter().map(|d| d.region.value.as_str()).collect();
        if sites.is_empty() {
            report.add_at(0, parsed.base.name.line, NO_DATA_CENTRE.to_owned());
        }
        // The base file alone is what a reader without a site compiles.
        sites.extend(["", site]);
        sites.sort_unstable();
        sites.dedup();
        let mut config = FleetConfig::default();
        for checked in sites {
            let merged = merge_site(&mut report, &parsed, checked);
            let compiled = compile_merged(&mut report, &merged, &self.keys, version);
            if checked == site {
                config = compiled;
            }
        }
        self.refuse_withdrawn(&mut report, &parsed.base);
        self.refuse_equal_names(&mut report);
        if !report.is_empty() {
            return Err(report.finish());
        }
        Ok(Checked { config, listed_keys: listed_keys(&parsed.base) })
    }

    /// Compiles the files for one site; a site without an overlay gets the base file alone.
    ///
    /// Keys that were withdrawn are left out.
    ///
    /// # Errors
    ///
    /// All problems found for the site, sorted by file and line.
    pub fn compile(&self, site: &str, version: Offset) -> Result<FleetConfig, Vec<Problem>> {
        let mut report = Report::new(&self.base, &self.overlays);
        if let Some(parsed) = self.parse(&mut report) {
            let merged = merge_site(&mut report, &parsed, site);
            let config = compile_merged(&mut report, &merged, &self.keys, version);
            if report.is_empty() {
                return Ok(config);
            }
        }
        Err(report.finish())
    }

    /// Hashes of the keys that the base file lists; empty if it can't be read.
    pub fn listed_keys(&self) -> Vec<[u8; 32]> {
        read_yaml::<BaseFile>(&self.base).map_or_else(|_| Vec::new(), |base| listed_keys(&base))
    }

    fn parse(&self, report: &mut Report<'_>) -> Option<Parsed> {
        let base = match read_yaml::<BaseFile>(&self.base) {
            Ok(base) => Some(base),
            Err(problem) => {
                report.add_problem(problem);
                None
            }
        };
        let mut overlays = Vec::new();
        for (source, file) in self.overlays.iter().zip(1..) {
            match read_yaml::<OverlayFile>(source) {
                Ok(overlay) => overlays.push((file, overlay)),
                Err(problem) => report.add_problem(problem),
            }
        }
        base.map(|base| Parsed { base, overlays })
    }

    /// Problems name files, so two files of one name can't be told apart.
    fn refuse_equal_names(&self, report: &mut Report<'_>) {
        let mut names = vec![&self.base.name];
        for (overlay, file) in self.overlays.iter().zip(1..) {
            if names.contains(&&overlay.name) {
                let message = format!("two files are named {}; rename one of them", overlay.name);
                report.add_at(file, 0, message);
            }
            names.push(&overlay.name);
        }
    }

    /// A withdrawn key must not come back with files that were made before its withdrawal.
    fn refuse_withdrawn(&self, report: &mut Report<'_>, base: &BaseFile) {
        for entry in &base.keys {
            if parse_sha256(&entry.sha256.value).is_some_and(|h| self.keys.is_withdrawn(&h)) {
                let message = format!(
                    "key {} was withdrawn and can't come back; remove it from keys",
                    entry.name.value
                );
                report.add_at(0, entry.name.line, message);
            }
        }
    }
}

const NO_DATA_CENTRE: &str = "data_centres is empty; list at least one data centre";

fn listed_keys(base: &BaseFile) -> Vec<[u8; 32]> {
    let mut hashes: Vec<[u8; 32]> =
        base.keys.iter().filter_map(|key| parse_sha256(&key.sha256.value)).collect();
    hashes.sort_unstable();
    hashes
}

fn merge_site(report: &mut Report<'_>, parsed: &Parsed, site: &str) -> BaseFile {
    let mut merged = parsed.base.clone();
    for (file, overlay) in &parsed.overlays {
        check_overlay(report, &parsed.base, overlay, *file);
        if overlay.site.value == site {
            apply_overlay(report, &mut merged, overlay, *file);
        }
    }
    merged
}

/// Compiles a base file and overlays for one site.
///
/// # Errors
///
/// All problems found for the site, sorted by file and line.
pub fn compile(
    base: SourceFile,
    overlays: &[SourceFile],
    site: &str,
    version: Offset,
) -> Result<FleetConfig, Vec<Problem>> {
    let sources = Sources { base, overlays: overlays.to_vec(), keys: KeyEdits::default() };
    sources.compile(site, version)
}
