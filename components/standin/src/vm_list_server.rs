//! Stand-in for the platform's VM list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::Role;
use compact_str::CompactString;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::reply::{Reply, json, text, wait_ms};
use crate::server::{Server, Service, lock};

/// State of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Will be taken away.
    Leaving,
    /// Runs.
    Live,
}

/// A VM on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name.
    pub name: CompactString,
    /// Peer address of the process on it.
    pub address: SocketAddr,
    /// Job of the process on it.
    pub role: Role,
    /// Region.
    pub region: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// State.
    pub state: ListedState,
}

/// Settings of the stand-in VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListSettings {
    /// Every call is answered 503.
    pub outage: bool,
    /// Time before a call is looked at, in milliseconds.
    pub delay_ms: u64,
    /// Time after which a change of `vms` shows, in milliseconds.
    pub lag_ms: u64,
    /// The VMs as they are.
    pub vms: Vec<ListedVm>,
}

#[derive(Clone, Serialize)]
struct Version {
    version: u64,
    vms: Vec<ListedVm>,
    #[serde(skip)]
    since: Instant,
}

/// Behaviour of the stand-in VM list.
pub struct VmListService {
    settings: Mutex<VmListSettings>,
    /// Versions from the one last shown on.
    versions: Mutex<Vec<Version>>,
}

/// The stand-in VM list.
pub type VmListServer = Server<VmListService>;

impl Service for VmListService {
    type Settings = VmListSettings;

    fn new(settings: VmListSettings) -> Self {
        let first = Version { version: 1, vms: settings.vms.clone(), since: Instant::now() };
        Self { settings: Mutex::new(settings), versions: Mutex::new(vec![first]) }
    }

    fn settings(&self) -> &Mutex<VmListSettings> {
        &self.settings
    }

    fn settings_changed(&self) {
        let vms = lock(&self.settings).vms.clone();
        let mut versions = lock(&self.versions);
        if let Some(last) = versions.last()
            && last.vms != vms
        {
            let version = last.version + 1;
            versions.push(Version { version, vms, since: Instant::now() });
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let VmListSettings { outage, delay_ms, lag_ms, .. } = lock(&self.settings).clone();
        wait_ms(delay_ms).await;
        if outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        if request.uri().path() != "/vms" {
            return text(StatusCode::NOT_FOUND, "no such path");
        }
        let mut versions = lock(&self.versions);
        let lag = Duration::from_millis(lag_ms);
        let shown = versions.iter().rposition(|v| v.since.elapsed() >= lag).unwrap_or(0);
        // Older versions never show again, so the version that callers see never falls.
        versions.drain(..shown);
        json(StatusCode::OK, &versions[0])
    }
}
