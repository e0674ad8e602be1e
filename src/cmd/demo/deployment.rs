//! Deployment that the demo runs.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Role};
use changes::{CONFIG_STREAM, Change, Record, RecordId};
use compact_str::CompactString;
use config::{EntrySettings, PlatformSettings, ProcessSettings, SideSettings, SourceFile};
use entry::EntryHandle;
use side::SideProcess;
use standin::{
    EngineServer, EngineSettings, ListedState, ListedVm, LogServer, LogServerSettings, PlainServer,
    PlainSettings, PreloadedModel, VmListServer, VmListSettings, WeightStoreServer,
    WeightStoreSettings,
};
use store::{HttpLog, HttpLogOptions, Log};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::fixture::{
    CAPEL_KEY, DATA_CENTRES, ENGINE_MB, ENGINES, REGION, STIWDIO_KEY, TEYRNGED_MB, base_file,
};

type Error = Box<dyn std::error::Error>;

const FLEET_SECRET: &str = "demo-fleet-secret-0123456789";
/// Timeout for the processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for the processes to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which an engine may still execute an order after its side process has died. The engine
/// delays orders of a new side process by the same time.
const ORDER_LIFETIME_MS: u64 = 500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All running processes and test doubles.
pub(super) struct Deployment {
    log: LogServer,
    _vm_list: VmListServer,
    _weight_store: WeightStoreServer,
    pub(super) engines: Vec<EngineServer>,
    pub(super) plain: PlainServer,
    pub(super) entries: Vec<EntryHandle>,
    sides: Vec<JoinHandle<()>>,
    stop_sides: watch::Sender<bool>,
    writer: ProcessId,
    sequence: std::cell::Cell<u64>,
}

fn process_settings(name: &str, data_centre: &str) -> ProcessSettings {
    ProcessSettings {
        name: CompactString::new(name),
        vm: compact_str::format_compact!("vm-{name}"),
        region: CompactString::new(REGION),
        data_centre: CompactString::new(data_centre),
        fleet_secret: CompactString::new(FLEET_SECRET),
        drain_limit_ms: 5_000,
        ..ProcessSettings::default()
    }
}

fn vm_entry(settings: &ProcessSettings, role: Role, address: SocketAddr) -> ListedVm {
    ListedVm {
        name: settings.vm.clone(),
        address,
        role,
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        state: ListedState::Live,
    }
}

impl Deployment {
    /// Starts all processes and waits until the entry processes are ready.
    pub(super) async fn start() -> Result<Self, Error> {
        let log = LogServer::start(LogServerSettings::default()).await?;
        let vm_list = VmListServer::start(VmListSettings::default()).await?;
        let weight_store = WeightStoreServer::start(WeightStoreSettings::default()).await?;
        let plain = PlainServer::start(PlainSettings {
            answer: "{\"payment\":\"done\"}".to_owned(),
            ..PlainSettings::default()
        })
        .await?;
        let mut engines = Vec::new();
        for (at, name) in ENGINES.iter().enumerate() {
            let teyrnged = PreloadedModel {
                model: "teyrnged".into(),
                version: "v1".into(),
                memory_mb: TEYRNGED_MB,
            };
            let settings = EngineSettings {
                name: CompactString::new(name),
                capacity_mb: ENGINE_MB,
                models: if at < 2 { vec![teyrnged] } else { Vec::new() },
                token_us: 5_000,
                weight_store: Some(weight_store.address()),
                ..EngineSettings::default()
            };
            engines.push(EngineServer::start(settings).await?);
        }
        let platform = PlatformSettings {
            log_address: log.address(),
            vm_list_address: vm_list.address(),
            ..PlatformSettings::default()
        };
        let mut vms = Vec::new();
        let mut entries = Vec::new();
        for (name, data_centre) in ["entry-1", "entry-2"].into_iter().zip(DATA_CENTRES) {
            let settings = EntrySettings {
                process: process_settings(name, data_centre),
                platform,
                drain_notice_ms: 100,
                ..EntrySettings::default()
            };
            let handle = entry::start(settings.clone()).await?;
            vms.push(vm_entry(&settings.process, Role::Entry, handle.peer_address()));
            entries.push(handle);
        }
        let (stop_sides, stopped) = watch::channel(false);
        let targets: Vec<(&str, SocketAddr)> = ENGINES
            .into_iter()
            .zip(engines.iter().map(EngineServer::address))
            .chain([("taliadau-1", plain.address())])
            .collect();
        let mut sides = Vec::new();
        for ((target, address), data_centre) in targets.into_iter().zip(DATA_CENTRES.iter().cycle())
        {
            let settings = SideSettings {
                process: process_settings(&format!("side-{target}"), data_centre),
                platform,
                target: CompactString::new(target),
                target_address: address,
                order_lifetime_ms: ORDER_LIFETIME_MS,
                probe_ms: 100,
                ..SideSettings::default()
            };
            let side = SideProcess::bind(settings.clone(), Incarnation(1)).await?;
            vms.push(vm_entry(&settings.process, Role::Side, side.peer_address()));
            let mut stopped = stopped.clone();
            sides.push(tokio::task::spawn_local(side.run(async move {
                // An error means that the deployment was dropped, which stops the process as well.
                let _stop = stopped.wait_for(|stop| *stop).await;
            })));
        }
        vm_list.update(|settings| settings.vms = vms);
        let writer = ProcessId { name: ProcessName::new("demo"), incarnation: Incarnation(1) };
        let deployment = Self {
            log,
            _vm_list: vm_list,
            _weight_store: weight_store,
            engines,
            plain,
            entries,
            sides,
            stop_sides,
            writer,
            sequence: std::cell::Cell::new(0),
        };
        let base = SourceFile::new("demo.yaml", &base_file());
        let files = Change::Files { base_version: Offset(0), base, overlays: Vec::new() };
        deployment.publish(files).await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Appends a configuration change to the log.
    pub(super) async fn publish(&self, change: Change) -> Result<(), Error> {
        self.sequence.set(self.sequence.get() + 1);
        let id = RecordId::new(&self.writer, self.sequence.get());
        let payload =
            Record { id: id.clone(), change }.encode().ok_or("the change is too large")?;
        let log = HttpLog::new(self.log.address(), HttpLogOptions::default());
        log.append(CONFIG_STREAM, &id.0, &payload).await?;
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        let ready = async {
            while !self.entries.iter().all(|entry| entry.is_ready() && entry.is_fleet_available()) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| "the processes did not get ready in time".into())
    }

    /// Returns the address on which an entry process accepts client requests.
    pub(super) fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].caller_address()
    }

    /// Prints example curl commands.
    pub(super) fn print_examples(&self) {
        let (first, second) = (self.callers(0), self.callers(1));
        let operators = self.entries[0].operator_address();
        println!(
            "
Up until Ctrl-C. Try:

curl -s http://{first}/v1/models -H 'Authorization: Bearer {CAPEL_KEY}'
curl -s http://{first}/v1/chat/completions -H 'Authorization: Bearer {CAPEL_KEY}' -d '{{\"model\":\"teyrnged\",\"max_tokens\":12,\"messages\":[{{\"role\":\"user\",\"content\":\"A line for Mair\"}}]}}'
curl -sN http://{second}/v1/chat/completions -H 'Authorization: Bearer {CAPEL_KEY}' -d '{{\"model\":\"teyrnged-capel\",\"stream\":true,\"max_tokens\":12,\"messages\":[{{\"role\":\"user\",\"content\":\"A line for Mair\"}}]}}'
curl -s http://{first}/v1/completions -H 'Authorization: Bearer {CAPEL_KEY}' -d '{{\"model\":\"capsiwn\",\"prompt\":\"Caption:\",\"max_tokens\":8}}'
curl -si http://{first}/v1/completions -H 'Authorization: Bearer {STIWDIO_KEY}' -d '{{\"model\":\"teyrnged\",\"prompt\":\"Over the rate\",\"max_tokens\":50}}'
curl -si http://{first}/payments/7 -H 'Authorization: Bearer {CAPEL_KEY}' -H 'Idempotency-Key: order-7' -d 'amount=20'
curl -si http://{second}/payments/7 -H 'Authorization: Bearer {CAPEL_KEY}' -H 'Idempotency-Key: order-7' -d 'amount=20'
curl -si http://{first}/v1/models -H 'Authorization: Bearer wrong'
curl -s http://{operators}/metrics
curl -s http://{operators}/readyz
"
        );
    }

    /// Stops all processes gracefully and returns the result for the report.
    pub(super) async fn stop(self) -> &'static str {
        let stopping = async {
            for entry in &self.entries {
                entry.stop();
            }
            for entry in self.entries {
                entry.finished().await;
            }
            self.stop_sides.send_replace(true);
            for side in self.sides {
                if side.await.is_err() {
                    return false;
                }
            }
            true
        };
        match tokio::time::timeout(STOP_TIMEOUT, stopping).await {
            Ok(true) => "in time",
            Ok(false) => "a side process failed",
            Err(_) => "late",
        }
    }
}
