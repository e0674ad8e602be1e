//! Engines and plain targets of a site.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compact_str::{CompactString, format_compact};
use platform_standin::{
    DeploymentSpec, EngineServer, EngineSettings, Journal, PlainTargetServer, PlainTargetSettings,
    StoreServer, TargetAnnouncement,
};
use standin::Link;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Time between two announcements of a target.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(600);
/// Time after which the entry of a target that says nothing lapses.
const LAPSE_TIME: Duration = Duration::from_millis(1_800);
/// Time for which a target that has announced its end serves on.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// A target in one of its lives.
pub(crate) struct Life<S> {
    pub server: S,
    id: CompactString,
    notice: TargetAnnouncement,
}

/// An engine.
pub(crate) struct Engine {
    pub settings: EngineSettings,
    address: SocketAddr,
    /// From gateways.
    pub link: Link,
    pub life: Option<Life<EngineServer>>,
    lives: u64,
}

/// A plain target.
pub(crate) struct Plain {
    settings: PlainTargetSettings,
    address: SocketAddr,
    life: Option<Life<PlainTargetServer>>,
    lives: u64,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn notice() -> TargetAnnouncement {
    TargetAnnouncement { born_ms: now_ms(), ..TargetAnnouncement::default() }
}

impl Engine {
    /// An engine that has not started; gateways reach it through a link on its own machine.
    pub(crate) async fn new(settings: EngineSettings, address: SocketAddr) -> io::Result<Self> {
        let link = Link::start_on(address.ip(), address).await?;
        Ok(Self { settings, address, link, life: None, lives: 0 })
    }

    /// Starts a life that holds `preloaded`, if there is none: faults of one engine may overlap.
    pub(crate) async fn start(&mut self, preloaded: Vec<CompactString>) -> io::Result<()> {
        if self.life.is_some() {
            return Ok(());
        }
        self.lives += 1;
        let name = &self.settings.data_centre;
        let id = format_compact!("engine-{name}-{}-{}", self.address.ip(), self.lives);
        let settings = EngineSettings { id: id.clone(), preloaded, ..self.settings.clone() };
        let server = EngineServer::start_at(self.address, settings).await?;
        self.life = Some(Life { server, id, notice: notice() });
        Ok(())
    }

    /// Ends the life; returns its id.
    pub(crate) async fn end(&mut self) -> Option<CompactString> {
        let mut life = self.life.take()?;
        life.server.stop().await;
        Some(life.id)
    }

    pub(crate) fn announce(&mut self, store: &StoreServer) {
        let Some(life) = &mut self.life else { return };
        life.notice.number += 1;
        let entry = life.server.service().entry(self.link.address(), life.notice);
        store.service().put(DeploymentSpec::TARGETS, &life.id, &entry);
    }

    pub(crate) fn leave(&mut self) {
        if let Some(life) = &mut self.life {
            life.notice.leaves = true;
        }
    }
}

impl Plain {
    pub(crate) fn new(settings: PlainTargetSettings, address: SocketAddr) -> Self {
        Self { settings, address, life: None, lives: 0 }
    }

    /// Starts a life if there is none.
    pub(crate) async fn start(&mut self) -> io::Result<()> {
        if self.life.is_some() {
            return Ok(());
        }
        self.lives += 1;
        let id = format_compact!("plain-{}-{}", self.address.ip(), self.lives);
        let settings = PlainTargetSettings { id: id.clone(), ..self.settings.clone() };
        let server = PlainTargetServer::start_at(self.address, settings).await?;
        self.life = Some(Life { server, id, notice: notice() });
        Ok(())
    }

    pub(crate) async fn end(&mut self) -> Option<CompactString> {
        let mut life = self.life.take()?;
        life.server.stop().await;
        Some(life.id)
    }

    pub(crate) fn announce(&mut self, store: &StoreServer) {
        let Some(life) = &mut self.life else { return };
        life.notice.number += 1;
        let entry = life.server.service().entry(self.address, life.notice);
        store.service().put(DeploymentSpec::TARGETS, &life.id, &entry);
    }
}

/// Lets the entry of a target lapse that has crashed.
pub(crate) async fn lapse(store: &StoreServer, id: Option<CompactString>) {
    sleep(LAPSE_TIME).await;
    drop_entry(store, id);
}

/// Takes the entry of a target out of the list.
pub(crate) fn drop_entry(store: &StoreServer, id: Option<CompactString>) {
    if let Some(id) = id {
        store.service().put(DeploymentSpec::TARGETS, &id, &[]);
    }
}

/// Lets an engine announce that it leaves, serve on and end.
pub(crate) async fn drain(engine: &Rc<Mutex<Engine>>, store: &StoreServer) {
    {
        let mut engine = engine.lock().await;
        engine.leave();
        engine.announce(store);
    }
    sleep(DRAIN_TIME).await;
    let id = engine.lock().await.end().await;
    drop_entry(store, id);
}

/// Settings of all targets of a site that share a journal.
pub(crate) fn plain_settings(journal: &Journal, service: &str) -> PlainTargetSettings {
    PlainTargetSettings {
        service: service.into(),
        data_centre: "north-a".into(),
        slots: 12,
        work_ms: 20,
        fail_percent: 3,
        journal: journal.clone(),
        ..PlainTargetSettings::default()
    }
}
