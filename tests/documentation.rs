//! The pages of `docs/` name what the sources have: metrics, log events, settings, error codes, links.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::StatusCode;
use telemetry::{Metrics, RequestClass};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap()
}

/// Source files of all crates, without tests and benches.
fn sources() -> Vec<PathBuf> {
    let crates = fs::read_dir(root().join("components")).unwrap();
    let mut pending: Vec<PathBuf> = crates.map(|c| c.unwrap().path().join("src")).collect();
    pending.extend([root().join("src"), root().join("platform/src")]);
    let mut files = Vec::new();
    while let Some(directory) = pending.pop() {
        for entry in fs::read_dir(directory).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                pending.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files.push(path);
            }
        }
    }
    files
}

/// The identifiers that follow each `marker` in `text`.
fn names_after<'a>(text: &'a str, marker: &str) -> Vec<&'a str> {
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let parts = text.split(marker).skip(1);
    let names = parts.map(|rest| rest.split(|c| !is_name(c)).next().unwrap());
    names.filter(|name| !name.is_empty()).collect()
}

/// The part of `text` from `from` to the next `to`.
fn section<'a>(text: &'a str, from: &str, to: &str) -> &'a str {
    let (_, rest) = text.split_once(from).unwrap_or_else(|| panic!("no {from:?}"));
    rest.split(to).next().unwrap()
}

/// The names in the first column of the tables of `page`.
fn first_cells(page: &str) -> Vec<&str> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once("` |"))
        .map(|p| p.0)
        .collect()
}

fn assert_listed(page: &str, rows: &[&str], name: &str) {
    assert!(rows.contains(&name), "{page} has no line for `{name}`");
}

/// Guards against a metric that operators find nowhere.
#[test]
fn every_metric_has_its_line() {
    let page = read("docs/metrics.md");
    let rows = first_cells(section(&page, "\n## Metrics", "\n### "));
    let source = read("components/telemetry/src/metrics.rs");
    let makers = [
        "wait(\"",
        "count(\"",
        "seconds(\"",
        "number(\"",
        "_counter(\"",
        "_gauge(\"",
        "_histogram(\"",
    ];
    let names: Vec<&str> = makers.iter().flat_map(|maker| names_after(&source, maker)).collect();
    let fields = section(&source, "pub struct Metrics {", "\n}");
    let instruments = ["Counter<", "Gauge<", "Histogram<"];
    let instruments: usize = instruments.iter().map(|kind| fields.matches(kind).count()).sum();
    assert_eq!(names.len(), instruments, "not all instruments were found: {names:?}");
    for name in &names {
        assert_listed("docs/metrics.md", &rows, name);
    }
    assert_eq!(rows.len(), names.len(), "docs/metrics.md lists a metric that is not registered");
}

/// Guards against exported names that differ from the page, for example by a changed unit.
#[test]
fn every_exported_name_is_in_the_page() {
    let page = read("docs/metrics.md");
    let metrics = Metrics::new().unwrap();
    let wait = Duration::from_millis(1);
    metrics.record_request("a", RequestClass::Plain);
    metrics.record_first_token("a", RequestClass::Streamed, wait);
    metrics.record_between_tokens("a", RequestClass::Streamed, wait);
    metrics.record_total("a", RequestClass::Whole, wait, 1);
    metrics.record_queue_wait("a", RequestClass::Whole, wait);
    metrics.record_refusal("queue_full");
    metrics.record_retry();
    metrics.record_retry_refused();
    metrics.record_late_answer();
    metrics.record_replay();
    metrics.record_budget_rejections("body", 1);
    metrics.set_in_flight(1);
    metrics.record_late_stream("pause", "north-a");
    metrics.record_resumed_stream("continued");
    metrics.record_settings_read("taken");
    metrics.set_freshness(wait, Some(wait), 1, 0);
    metrics.set_quarantined(0, 0);
    metrics.set_uneven_targets(0, 0);
    let text = metrics.to_text().unwrap();
    let exported = names_after(&text, "# TYPE ");
    assert_eq!(exported.len(), first_cells(section(&page, "\n## Metrics", "\n### ")).len());
    for name in exported {
        assert!(page.contains(&format!("| `{name}` |")), "docs/metrics.md lacks `{name}`");
    }
}

/// Guards against log events without explanation, and against lines for events that are gone.
#[test]
fn every_log_event_has_its_line() {
    let page = read("docs/metrics.md");
    let (_, events) = page.split_once("## Log events").unwrap();
    let rows = first_cells(events);
    let mut found = BTreeSet::new();
    for file in sources() {
        let text = fs::read_to_string(file).unwrap();
        found.extend(names_after(&text, "event=").into_iter().map(str::to_owned));
    }
    assert!(found.len() > 50, "only {} events were found", found.len());
    for name in &found {
        assert_listed("docs/metrics.md", &rows, name);
    }
    for row in rows {
        assert!(found.contains(row), "docs/metrics.md lists `{row}`, which nothing logs");
    }
}

/// Structs of the settings, the file of each, and where its fields are described.
const SETTINGS: [(&str, &str, &str); 7] = [
    ("ProcessSettings", "process_settings", "\n`process`:"),
    ("PlatformSettings", "platform_settings", "\n`platform`:"),
    ("MembershipSettings", "process_settings", "\n`membership`:"),
    ("LogSettings", "log_settings", "\n`log`: "),
    ("EntrySettings", "entry_settings", "\nEntry only:"),
    ("CallerLimits", "entry_settings", "\n`callers` (entry only)"),
    ("SideSettings", "side_settings", "\nSide only:"),
];

/// Guards against a setting that operators can't look up; also where two sections have a field of the
/// same name.
#[test]
fn every_setting_is_described_in_its_section() {
    let page = read("docs/configuration.md");
    let (_, page) = page.split_once("## Settings of a process").unwrap();
    let mut count = 0;
    for (name, file, marker) in SETTINGS {
        let source = read(&format!("components/config/src/{file}.rs"));
        let fields = section(&source, &format!("pub struct {name} {{"), "\n}");
        let start = page.find(marker).unwrap_or_else(|| panic!("no {marker:?}")) + marker.len();
        let ends = SETTINGS.iter().filter_map(|s| page[start..].find(s.2)).min();
        let text = &page[start..ends.map_or(page.len(), |end| start + end)];
        for line in fields.lines().filter_map(|line| line.trim().strip_prefix("pub ")) {
            let (field, kind) = line.trim_end_matches(',').split_once(": ").unwrap();
            let nested = SETTINGS.iter().find(|s| s.0 == kind);
            let described = match nested {
                Some((_, _, marker)) => marker.contains(&format!("`{field}`")),
                // The only setting outside a table.
                None if field == "level" => text.starts_with("`level`"),
                None => text.contains(&format!("\n| `{field}` |")),
            };
            assert!(described, "docs/configuration.md has no line for `{field}` of {name}");
            count += 1;
        }
    }
    assert!(count > 50, "only {count} settings were found");
}

/// The status that a constant of `StatusCode` names.
fn status_by_name(name: &str) -> u16 {
    let constant = |status: StatusCode| {
        let reason = status.canonical_reason()?;
        Some(reason.to_uppercase().replace([' ', '-'], "_"))
    };
    let named =
        |number: &u16| constant(StatusCode::from_u16(*number).unwrap()).as_deref() == Some(name);
    (400..600).find(named).unwrap_or_else(|| panic!("unknown status {name}"))
}

/// Guards against error codes that callers can't look up, and against a wrong status in the page.
#[test]
fn every_error_code_has_its_line_with_its_status() {
    let page = read("docs/callers.md");
    let source = read("components/api/src/error_code.rs");
    let codes = section(&source, "pub const fn as_str", "pub const fn status");
    let statuses = section(&source, "pub const fn status", "pub const fn kind");
    let parts: Vec<&str> = statuses.split("StatusCode::").collect();
    let mut count = 0;
    for arm in codes.lines().filter(|line| line.contains("=> \"")) {
        let variant = names_after(arm, "Self::")[0];
        let code = names_after(arm, "=> \"")[0];
        let at = parts.iter().position(|part| names_after(part, "Self::").contains(&variant));
        let constant = parts[at.unwrap() + 1].split([',', '\n']).next().unwrap();
        let row = format!("\n| `{code}` | {} |", status_by_name(constant));
        assert!(page.contains(&row), "docs/callers.md has no line {row:?}");
        count += 1;
    }
    assert_eq!(count, section(&source, "pub enum ErrorCode {", "\n}").matches("    /// ").count());
}

/// The anchor of a heading.
fn anchor(heading: &str) -> String {
    let text = heading.trim_start_matches('#').trim().to_lowercase().replace(' ', "-");
    text.chars().filter(|c| c.is_alphanumeric() || matches!(c, '-' | '_')).collect()
}

/// Guards against links to pages or headings that were moved.
#[test]
fn every_relative_link_leads_somewhere() {
    let docs = fs::read_dir(root().join("docs")).unwrap().map(|entry| entry.unwrap().path());
    let mut pages: Vec<PathBuf> =
        docs.filter(|p| p.extension().is_some_and(|e| e == "md")).collect();
    pages.push(root().join("README.md"));
    let mut count = 0;
    for page in pages {
        let text = fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1).map(|rest| rest.split(')').next().unwrap()) {
            if link.starts_with("http://") || link.starts_with("https://") {
                continue;
            }
            let (file, heading) = link.split_once('#').unwrap_or((link, ""));
            let target = if file.is_empty() { page.clone() } else { page.with_file_name(file) };
            assert!(target.exists(), "{}: {link} does not exist", page.display());
            if !heading.is_empty() {
                let text = fs::read_to_string(&target).unwrap();
                let mut headings = text.lines().filter(|line| line.starts_with('#'));
                let found = headings.any(|line| anchor(line) == heading);
                assert!(found, "{}: {link} has no such heading", page.display());
            }
            count += 1;
        }
    }
    assert!(count > 10, "only {count} links were found");
}
