//! Changes of the platform's settings file under a running gateway.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use platform_standin::FleetLimits;
use rustix::process::Signal;
use support::{Process, gateway_machine};
use tempfile::TempDir;

/// A settings file of a gateway on the loopback interface whose store answers nobody.
fn settings() -> String {
    let spec = gateway_machine(SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    spec.settings_file(&FleetLimits { drain_ms: 2_000, ..FleetLimits::default() })
}

/// A gateway that was started with a settings file, the file, and its content.
async fn gateway_with_settings() -> (Process, PathBuf, String, TempDir) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("settings.conf");
    let whole = settings();
    fs::write(&path, &whole).unwrap();
    let gateway = started(&path).await;
    (gateway, path, whole, directory)
}

async fn started(path: &Path) -> Process {
    let arguments = ["gateway", "--settings", path.to_str().unwrap()].map(str::to_owned);
    let gateway = Process::start("gateway", &arguments);
    gateway.wait_for_line("event=gateway_started").await;
    gateway
}

/// Guards against settings that are taken from a file which is being written, is gone or is wrong, and against a
/// change that nobody can see: each field is told with both values.
#[tokio::test]
async fn only_a_whole_and_usable_file_replaces_the_settings() {
    let (gateway, path, whole, _directory) = gateway_with_settings().await;

    fs::write(&path, &whole[..whole.find("bounds.").unwrap()]).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_line("event=settings_incomplete").await;
    assert!(!gateway.log().iter().any(|line| line.contains("event=settings_reloaded")));

    let changed = whole.replace("drain_ms=2000", "drain_ms=1500");
    fs::write(&path, &changed).unwrap();
    gateway.signal(Signal::HUP);
    let line = gateway.wait_for_line("event=setting_changed").await;
    assert!(line.contains("field=bounds.drain_ms from=2000 to=1500 takes_effect=now"), "{line}");
    gateway.wait_for_line("event=settings_reloaded").await;

    fs::write(&path, changed.replace("drain_ms=1500", "drain_ms=-3")).unwrap();
    gateway.signal(Signal::HUP);
    let line = gateway.wait_for_line("event=settings_rejected").await;
    assert!(line.contains("bounds.drain_ms"), "{line}");

    fs::remove_file(&path).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_line("event=settings_unreadable").await;
    let reloads = gateway.log().iter().filter(|l| l.contains("event=settings_reloaded")).count();
    assert_eq!(reloads, 1, "only the whole and usable file was taken");
}

/// Guards against a file that lacks a field for good and is never taken.
#[tokio::test]
async fn a_file_that_stays_without_a_field_is_taken() {
    let (gateway, path, whole, _directory) = gateway_with_settings().await;
    fs::write(&path, whole.replace("bounds.drain_ms=2000\n", "")).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_line("event=settings_incomplete").await;
    let line = gateway.wait_for_line("event=setting_changed").await;
    assert!(line.contains("field=bounds.drain_ms from=2000 to=-"), "{line}");
    gateway.wait_for_line("event=settings_reloaded").await;
}
