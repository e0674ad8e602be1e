//! A real entry process between raw sockets and scripted side processes.

#![allow(dead_code, reason = "each test binary uses a part")]
#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

pub mod fake_side;
pub mod raw;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Role};
use changes::{CONFIG_STREAM, Change, Record, RecordId};
use config::{EntrySettings, PlatformSettings, ProcessSettings, SourceFile, format_sha256};
use entry::EntryHandle;
use standin::{
    Link, ListedState, ListedVm, LogServer, LogServerSettings, VmListServer, VmListSettings,
};
use tokio::task::LocalSet;

use self::fake_side::{Act, Addresses, FakeSide, Script};

pub const SECRET: &str = "test-fleet-secret-0123456789";
/// Key of `capel`, with a rate that no test reaches.
pub const KEY: &str = "sk-capel-0001";
/// Second key of `capel`.
pub const OLD_KEY: &str = "sk-capel-old-0002";
/// Key of `stiwdio`: 100 tokens at once, then one a second.
pub const SMALL_KEY: &str = "sk-stiwdio-0003";

/// Runs a test on one thread, with a limit that only a hang reaches.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { tokio::time::timeout(Duration::from_secs(60), test).await.unwrap() };
    LocalSet::new().block_on(&runtime, limited);
}

/// Waits until `condition` holds.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.expect("condition never held");
}

fn base_file() -> String {
    let hash = |key: &str| format_sha256(&auth::hash_key(key));
    format!(
        "\
name: town
data_centres: [{{name: dc-a, region: north}}]
customers:
  - {{name: capel, rate_tokens_per_s: 1000000, burst_tokens: 4000000}}
  - {{name: stiwdio, rate_tokens_per_s: 1, burst_tokens: 100}}
keys:
  - {{name: capel-1, customer: capel, sha256: {}}}
  - {{name: capel-old, customer: capel, sha256: {}}}
  - {{name: stiwdio-1, customer: stiwdio, sha256: {}}}
services:
  - name: engines
    targets:
      - {{name: e1, data_centre: dc-a, memory_mb: 1000, tokens_per_s: 1000}}
      - {{name: e2, data_centre: dc-a, memory_mb: 1000, tokens_per_s: 1000}}
  - name: shop
    kind: plain
    targets: [{{name: s1, data_centre: dc-a}}, {{name: s2, data_centre: dc-a}}]
models:
  - {{name: m, version: v1, service: engines, memory_mb: 100, default_max_output_tokens: 8}}
  - {{name: tribute, version: v1, service: engines, memory_mb: 100, residency: always}}
  - {{name: theirs, version: v1, service: engines, memory_mb: 100, customers: [stiwdio]}}
adapters:
  - {{name: m-fish, model: m, memory_mb: 5}}
routes:
  - {{name: pay, prefix: /pay/, service: shop, customers: [capel], timeout_ms: 3000}}
  - {{name: look, prefix: /look/, service: shop, customers: [capel], repeatable: true, timeout_ms: 3000}}
  - {{name: public, prefix: /public/, service: shop, public: true, repeatable: true}}
",
        hash(KEY),
        hash(OLD_KEY),
        hash(SMALL_KEY)
    )
}

/// An entry process with a link of its own to the log.
pub struct Node {
    pub handle: EntryHandle,
    pub log_link: Link,
}

/// A log, a VM list, entry processes and scripted side processes.
pub struct Site {
    pub log: LogServer,
    pub vm_list: VmListServer,
    pub nodes: Vec<Node>,
    pub sides: Vec<FakeSide>,
    entries: Addresses,
    acts: Script,
    published: u64,
}

pub fn settings() -> EntrySettings {
    named_settings("entry-1")
}

/// Settings of an entry process of this name.
pub fn named_settings(name: &str) -> EntrySettings {
    EntrySettings {
        process: ProcessSettings {
            name: name.into(),
            vm: format!("vm-{name}").into(),
            region: "north".into(),
            data_centre: "dc-a".into(),
            fleet_secret: SECRET.into(),
            drain_limit_ms: 5_000,
            ..ProcessSettings::default()
        },
        drain_notice_ms: 50,
        ..EntrySettings::default()
    }
}

impl Site {
    /// Starts an entry with these settings and the side processes of `targets`, and waits until it
    /// serves.
    pub async fn start(settings: EntrySettings, targets: &[&str]) -> Self {
        Self::start_all(vec![settings], targets).await
    }

    /// Starts several entries and the side processes of `targets`, and waits until all serve.
    pub async fn start_all(settings: Vec<EntrySettings>, targets: &[&str]) -> Self {
        let log = LogServer::start(LogServerSettings::default()).await.unwrap();
        let vm_list = VmListServer::start(VmListSettings::default()).await.unwrap();
        let mut site = Self {
            log,
            vm_list,
            nodes: Vec::new(),
            sides: Vec::new(),
            entries: Addresses::default(),
            acts: Script::default(),
            published: 0,
        };
        for settings in settings {
            site.add_entry(settings).await;
        }
        for target in targets {
            site.add_side(target).await;
        }
        let base = SourceFile::new("base.yaml", &base_file());
        let overlays = Vec::new();
        site.publish(Change::Files { base_version: Offset(0), base, overlays });
        site.wait_until_ready().await;
        site
    }

    /// Starts an entry process and lists its VM.
    pub async fn add_entry(&mut self, settings: EntrySettings) {
        let log_link = Link::start(self.log.address()).await.unwrap();
        let platform = PlatformSettings {
            log_address: log_link.address(),
            vm_list_address: self.vm_list.address(),
            ..settings.platform
        };
        let vm = settings.process.vm.clone();
        let handle = entry::start(EntrySettings { platform, ..settings }).await.unwrap();
        self.list_entry(&vm, handle.peer_address());
        self.entries.borrow_mut().push(handle.peer_address());
        self.nodes.push(Node { handle, log_link });
    }

    /// Puts an entry's VM on the list.
    pub fn list_entry(&self, vm: &str, address: SocketAddr) {
        let listed = ListedVm {
            name: vm.into(),
            address,
            role: Role::Entry,
            region: "north".into(),
            data_centre: "dc-a".into(),
            state: ListedState::Live,
        };
        self.vm_list.update(|settings| settings.vms.push(listed));
    }

    /// Waits until every entry serves and knows every target.
    pub async fn wait_until_ready(&self) {
        let ready = |node: &Node| {
            let handle = &node.handle;
            handle.is_ready()
                && handle.all_slots_owned()
                && self.sides.iter().all(|side| handle.is_target_available(side.target()))
        };
        eventually(|| self.nodes.iter().all(ready)).await;
    }

    /// The first entry.
    pub fn entry(&self) -> &EntryHandle {
        &self.nodes[0].handle
    }

    /// Sets what the next requests meet, at whichever side process they arrive.
    pub fn script(&self, acts: &[Act]) {
        *self.acts.borrow_mut() = acts.iter().copied().collect();
    }

    /// Adds the side process of a target.
    pub async fn add_side(&mut self, target: &str) {
        let side = FakeSide::start(target, self.entries.clone(), self.acts.clone()).await;
        self.sides.push(side);
    }

    /// Adds the side process of a target; it sends heartbeats and accepts nothing.
    pub async fn add_unreachable_side(&mut self, target: &str) {
        let side = FakeSide::start_unreachable(target, self.entries.clone()).await;
        self.sides.push(side);
        self.wait_until_ready().await;
    }

    /// Puts a change on the log.
    pub fn publish(&mut self, change: Change) {
        self.published += 1;
        let writer = ProcessId { name: ProcessName::new("test"), incarnation: Incarnation(1) };
        let id = RecordId::new(&writer, self.published);
        let payload = Record { id: id.clone(), change }.encode().unwrap();
        self.log.append(CONFIG_STREAM, &id.0, &payload);
    }

    /// Withdraws a key.
    pub fn withdraw(&mut self, name: &str) {
        self.publish(Change::WithdrawKey { name: name.into() });
    }

    /// Where callers of the first entry connect.
    pub fn callers(&self) -> SocketAddr {
        self.entry().caller_address()
    }
}

/// Body of a completion.
pub fn completion(model: &str, tokens: u64, stream: bool) -> String {
    format!(r#"{{"model":"{model}","prompt":"hello","max_tokens":{tokens},"stream":{stream}}}"#)
}
