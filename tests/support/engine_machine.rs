//! A machine with an engine and the agent beside it.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use compact_str::{CompactString, format_compact};
use platform_standin::{
    DeploymentSpec, EngineServer, EngineSettings, FleetLimits, MachineSpec, TargetAnnouncement,
};
use rustix::process::Signal;
use tempfile::TempDir;

use super::{PlainGateway, Process, gateway_machine, own_ip};

/// Port of the engine.
const ENGINE_PORT: u16 = 9_100;

/// An engine with a running agent, listed in the store of a gateway.
pub struct EngineMachine {
    agent: Process,
    settings: PathBuf,
    _engine: EngineServer,
    _directory: TempDir,
}

impl EngineMachine {
    /// Starts both, and waits until `gateway` and the agent have heard each other.
    pub async fn start(gateway: &PlainGateway, number: usize) -> Self {
        let id = format_compact!("engine-{number}");
        let ip = IpAddr::from(own_ip());
        let address = SocketAddr::new(ip, ENGINE_PORT);
        let service = CompactString::const_new("engines");
        let settings = EngineSettings {
            id: id.clone(),
            service: service.clone(),
            data_centre: "north-a".into(),
            ..EngineSettings::default()
        };
        let engine = EngineServer::start_at(address, settings).await.unwrap();
        let notice = TargetAnnouncement {
            born_ms: 1,
            number: 1,
            software: Some("v1"),
            ..TargetAnnouncement::default()
        };
        let entry = engine.service().entry(address, notice);
        gateway.store().put(DeploymentSpec::TARGETS, &id, &entry);
        let machine = MachineSpec {
            name: format_compact!("side-{number}"),
            ip,
            engine: Some((address, service)),
            ..gateway_machine(gateway.store_address())
        };
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.conf");
        std::fs::write(&path, machine.settings_file(&FleetLimits::default())).unwrap();
        let agent = start_agent(&path).await;
        Self { agent, settings: path, _engine: engine, _directory: directory }
    }

    /// Ends the agent with a signal, and starts it again.
    pub async fn restart_agent(&mut self, signal: Signal) {
        self.agent.signal(signal);
        self.agent.wait_exit().await;
        self.agent = start_agent(&self.settings).await;
    }
}

async fn start_agent(settings: &std::path::Path) -> Process {
    let arguments = ["agent", "--settings", settings.to_str().unwrap()].map(str::to_owned);
    let process = Process::start("agent", &arguments);
    process.wait_for_line("event=gateway_heard").await;
    process
}
