//! Sources of a side process's configuration.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use base::{Incarnation, Offset, ProcessId, ProcessName};
use changes::{CONFIG_STREAM, Change, Record, RecordId};
use common::{
    FakeEntry, Platform, RunningSide, connect, engine_settings, generate, request, run_test,
    side_settings, wait_for,
};
use config::SourceFile;
use standin::EngineServer;
use wire::{GenerateFrame, LogRecordCopy};

const BASE: &str = "\
name: test
data_centres:
  - {name: dc, region: r}
customers:
  - {name: ann, rate_tokens_per_s: 1000, burst_tokens: 1000}
services:
  - name: models
    targets:
      - {name: t1, data_centre: dc, memory_mb: 2500, batch: 4, tokens_per_s: 100000}
models:
  - {name: base, version: v1, service: models, memory_mb: 1000, residency: always, load_ms: 20}
";

fn record(sequence: u64, base_version: u64, files: &str) -> Vec<u8> {
    let writer = ProcessId { name: ProcessName::new("operator"), incarnation: Incarnation(1) };
    let change = Change::Files {
        base_version: Offset(base_version),
        base: SourceFile::new("base.yaml", files),
        overlays: Vec::new(),
    };
    Record { id: RecordId::new(&writer, sequence), change }.encode().unwrap()
}

/// Guards against a side process that stays without configuration when no entry process responds,
/// and against one that misses a newer version.
#[test]
fn configuration_comes_from_the_log_without_entries() {
    run_test(async {
        let platform = Platform::start().await;
        let engine = EngineServer::start(engine_settings()).await.unwrap();
        let settings = side_settings(&platform, "t1", engine.address());
        let side = RunningSide::follow(settings).await;
        let client = connect(side.address).await;
        let (_, last) = generate(&client, &request("base")).await;
        assert!(matches!(last, Some(GenerateFrame::Refused { .. })), "{last:?}");
        platform.log.append(CONFIG_STREAM, "operator#1", &record(1, 0, BASE));
        side.wait_status("version 1", |status| status.config_offset == Offset(1)).await;
        side.wait_ready().await;
        let (_, last) = generate(&client, &request("base")).await;
        assert!(matches!(last, Some(GenerateFrame::Finished { .. })), "{last:?}");
        let newer = BASE.replace("batch: 4", "batch: 5");
        platform.log.append(CONFIG_STREAM, "operator#2", &record(2, 1, &newer));
        side.wait_status("version 2", |status| status.config_offset == Offset(2)).await;
    });
}

/// Guards against a side process that depends on the log although an entry process has the records.
#[test]
fn configuration_comes_from_an_entry_during_an_outage() {
    run_test(async {
        let platform = Platform::start().await;
        platform.log.update(|settings| settings.outage = true);
        let entry = FakeEntry::start(&platform).await;
        let engine = EngineServer::start(engine_settings()).await.unwrap();
        let first = LogRecordCopy { offset: Offset(1), payload: record(1, 0, BASE) };
        entry.records.borrow_mut().push(first);
        let settings = side_settings(&platform, "t1", engine.address());
        let side = RunningSide::follow(settings).await;
        side.wait_status("version 1", |status| status.config_offset == Offset(1)).await;
        let newer = BASE.replace("batch: 4", "batch: 5");
        let second = LogRecordCopy { offset: Offset(2), payload: record(2, 1, &newer) };
        entry.records.borrow_mut().push(second);
        side.wait_status("version 2", |status| status.config_offset == Offset(2)).await;
        let client = connect(side.address).await;
        wait_for("the resident model is served", async || {
            matches!(
                generate(&client, &request("base")).await.1,
                Some(GenerateFrame::Finished { .. })
            )
        })
        .await;
    });
}
