//! A deployment on loopback: store, targets, machines and the links between them.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use platform_standin::{
    CustomerSpec, DeploymentSpec, EngineSettings, FleetLimits, Journal, MachineSpec, ModelSpec,
    RouteKind, RouteSpec, StoreServer, StoreSettings,
};
use standin::{Link, LinkFaults};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use crate::evidence::{Span, Subject};
use crate::fault::{Fault, LinkFault, StoreFault};
use crate::machine::{Machine, Role};
use crate::options::SoakOptions;
use crate::targets::{ANNOUNCE_INTERVAL, Engine, Plain, drain, lapse, plain_settings};

/// Data centres of the site.
const DATA_CENTRES: [&str; 2] = ["north-a", "north-b"];
/// Ports on every machine.
const PEER_PORT: u16 = 7_600;
const CALLER_PORT: u16 = 8_100;
const TARGET_PORT: u16 = 8_200;
/// Models, the first one hot.
pub(crate) const MODELS: [&str; 5] = ["m0", "m1", "m2", "m3", "m4"];
/// Adapters of each model.
pub(crate) const ADAPTERS: u32 = 3;
/// Copies that each engine can hold.
const COPIES: usize = 3;
/// Memory of a model, in MB.
const MODEL_MB: u64 = 60;
/// Customer without a limit, customer with one, and customer whose keys are withdrawn.
pub(crate) const TENANTS: [&str; 3] = ["chapel", "studio", "shop"];
/// Keys of each customer.
const KEYS: usize = 4;
/// Share of the requests at a failing engine that fail, and of its streams that break off, in percent.
const FAILING_PERCENT: u32 = 30;
/// Share of the orders that get no answer, in percent.
const LATE_ORDERS_PERCENT: u32 = 40;
/// Delay of a slow store, in milliseconds.
const SLOW_STORE_MS: u64 = 250;
/// Share of the appends whose answer is lost, in percent.
const LOST_ANSWERS_PERCENT: u32 = 50;

/// Paths of the site with their services.
pub(crate) const GENERATE_PATH: &str = "/generate/";
pub(crate) const READ_PATH: &str = "/read/";
pub(crate) const ORDER_PATH: &str = "/order-desk/";
pub(crate) const EXTRA_PATH: &str = "/extra/";
const ENGINES: &str = "engines";
const PLAIN: &str = "desk";

/// A gateway with its links.
pub(crate) struct Gateway {
    pub machine: Rc<Mutex<Machine>>,
    /// From callers.
    pub callers: Rc<Link>,
    /// To the store.
    store: Rc<Link>,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
}

/// An engine with its agent.
struct EngineVm {
    engine: Rc<Mutex<Engine>>,
    agent: Option<Rc<Mutex<Machine>>>,
}

/// A running deployment.
pub(crate) struct Site {
    network: Network,
    pub limits: FleetLimits,
    pub spec: RefCell<DeploymentSpec>,
    pub journal: Journal,
    pub store: StoreServer,
    pub gateways: Vec<Gateway>,
    engines: Vec<EngineVm>,
    plain: Vec<Rc<Mutex<Plain>>>,
    pub spans: RefCell<Vec<Span>>,
    pub withdrawn: RefCell<Vec<(CompactString, Instant)>>,
    pub extra_route: RefCell<Vec<(bool, Instant)>>,
}

/// A loopback network of its own for each run, so that several run beside one another.
#[derive(Clone, Copy, Debug)]
struct Network(u8, u8);

impl Network {
    fn next() -> Self {
        /// Most runs of one process at once.
        const RUNS: u32 = 4;
        /// Numbers of each of the two middle parts of an address.
        const PARTS: u32 = 250;
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let run = NEXT.fetch_add(1, Ordering::Relaxed) % RUNS;
        let slot = std::process::id().wrapping_mul(RUNS).wrapping_add(run) % (PARTS * PARTS);
        let part = |number: u32| u8::try_from(number % PARTS + 1).unwrap_or(1);
        Self(part(slot / PARTS), part(slot))
    }

    /// Address of a machine.
    fn ip(self, number: usize) -> IpAddr {
        let host = u8::try_from(number + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }
}

fn route(name: &str, prefix: &str, service: &str, kind: RouteKind) -> RouteSpec {
    let is_stream = kind == RouteKind::ResumableStream;
    RouteSpec {
        name: name.into(),
        prefix: prefix.into(),
        service: service.into(),
        kind,
        attempts: if kind == RouteKind::Once { 1 } else { 2 },
        timeout_ms: if is_stream { 6_000 } else { 3_000 },
        objective_ms: if is_stream { 1_000 } else { 300 },
    }
}

/// Keys of a customer.
pub(crate) fn keys(tenant: &str) -> Vec<CompactString> {
    (1..=KEYS).map(|number| format_compact!("key-{tenant}-{number}")).collect()
}

fn site_spec(options: &SoakOptions) -> DeploymentSpec {
    let tenant = |name: &str| CustomerSpec {
        name: name.into(),
        keys: keys(name),
        tokens_per_s: if name == TENANTS[1] { 4_000 } else { 0 },
        burst_tokens: if name == TENANTS[1] { 8_000 } else { 0 },
    };
    let model =
        |name: &&str| ModelSpec { name: (*name).into(), memory_mb: MODEL_MB, adapters: ADAPTERS };
    DeploymentSpec {
        version: 1,
        host: "soak.example".into(),
        engine_service: ENGINES.into(),
        plain_service: PLAIN.into(),
        engine_slots: EngineSettings::default().slots,
        weights_mb: EngineSettings::default().weights_mb,
        adapter_slots: EngineSettings::default().adapter_slots,
        loads_per_s: options.engines as f64 / 2.0,
        models: MODELS.iter().map(model).collect(),
        routes: vec![
            route("generate", GENERATE_PATH, ENGINES, RouteKind::ResumableStream),
            route("read", READ_PATH, PLAIN, RouteKind::Repeatable),
            route("order", ORDER_PATH, PLAIN, RouteKind::Once),
        ],
        tenants: TENANTS.iter().map(|name| tenant(name)).collect(),
        body_bytes: 1 << 20,
    }
}

impl Site {
    /// Starts everything; callers may come at once.
    pub(crate) async fn start(options: &SoakOptions, directory: &Path) -> io::Result<Rc<Self>> {
        let settings = StoreSettings { seed: options.seed, ..StoreSettings::default() };
        let store = StoreServer::start(settings).await?;
        let spec = site_spec(options);
        let (topic, key) = DeploymentSpec::KEY;
        store.service().put(topic, key, &spec.document());
        let mut site = Self {
            network: Network::next(),
            limits: FleetLimits::default(),
            spec: RefCell::new(spec),
            journal: Journal::default(),
            store,
            gateways: Vec::new(),
            engines: Vec::new(),
            plain: Vec::new(),
            spans: RefCell::default(),
            withdrawn: RefCell::default(),
            extra_route: RefCell::new(vec![(false, Instant::now())]),
        };
        for number in 0..options.gateways {
            let gateway = site.gateway(number, options, directory).await?;
            site.gateways.push(gateway);
        }
        for number in 0..options.engines {
            let engine = site.engine(number, options, directory).await?;
            site.engines.push(engine);
        }
        for number in 0..options.plain_targets {
            let ip = site.network.ip(options.gateways + options.engines + number);
            let address = SocketAddr::new(ip, TARGET_PORT);
            let mut plain = Plain::new(plain_settings(&site.journal, PLAIN), address);
            plain.start().await?;
            site.plain.push(Rc::new(Mutex::new(plain)));
        }
        let site = Rc::new(site);
        tokio::task::spawn_local(announce(Rc::clone(&site)));
        Ok(site)
    }

    fn machine_spec(&self, name: CompactString, number: usize, store: SocketAddr) -> MachineSpec {
        MachineSpec {
            name,
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
            data_centres: DATA_CENTRES.iter().map(CompactString::new).collect(),
            ip: self.network.ip(number),
            peer_port: PEER_PORT,
            caller_port: CALLER_PORT,
            store,
            engine: None,
            first_start: true,
        }
    }

    async fn gateway(
        &self,
        number: usize,
        options: &SoakOptions,
        directory: &Path,
    ) -> io::Result<Gateway> {
        let store = Link::start(self.store.address()).await?;
        let name = format_compact!("gateway-{number}");
        let spec = self.machine_spec(name, number, store.address());
        let callers = Link::start(spec.caller_address()).await?;
        let ready = spec.ready_address();
        let mut machine = Machine::new(spec, Role::Gateway, &options.binary, directory);
        machine.start(&self.limits)?;
        Ok(Gateway {
            machine: Rc::new(Mutex::new(machine)),
            callers: Rc::new(callers),
            store: Rc::new(store),
            ready,
        })
    }

    async fn engine(
        &self,
        number: usize,
        options: &SoakOptions,
        directory: &Path,
    ) -> io::Result<EngineVm> {
        let spec = self.machine_spec(
            format_compact!("agent-{number}"),
            options.gateways + number,
            self.store.address(),
        );
        let address = SocketAddr::new(spec.ip, TARGET_PORT);
        let settings = EngineSettings {
            service: ENGINES.into(),
            data_centre: spec.data_centre.clone(),
            model_mb: MODEL_MB,
            journal: self.journal.clone(),
            ..EngineSettings::default()
        };
        let mut engine = Engine::new(settings, address).await?;
        // Two copies in turn; the place that is left is the planner's.
        let held = (0..COPIES - 1).map(|at| MODELS[(number + at) % MODELS.len()].into());
        engine.start(held.collect()).await?;
        let spec = MachineSpec { engine: Some((address, ENGINES.into())), ..spec };
        let engine = Rc::new(Mutex::new(engine));
        if number >= options.agents {
            return Ok(EngineVm { engine, agent: None });
        }
        let mut agent = Machine::new(spec, Role::Agent, &options.binary, directory);
        agent.start(&self.limits)?;
        Ok(EngineVm { engine, agent: Some(Rc::new(Mutex::new(agent))) })
    }

    /// Services of the paths.
    pub(crate) fn services() -> Vec<(CompactString, CompactString)> {
        [(GENERATE_PATH, ENGINES), (READ_PATH, PLAIN), (ORDER_PATH, PLAIN), (EXTRA_PATH, PLAIN)]
            .map(|(path, service)| (path.into(), service.into()))
            .to_vec()
    }

    /// Brings a fault about and ends it after `lasts`.
    pub(crate) async fn strike(self: Rc<Self>, fault: Fault, lasts: Duration) {
        let (subject, is_planned) = subject_of(fault);
        let span = {
            let mut spans = self.spans.borrow_mut();
            spans.push(Span { subject, is_planned, from: Instant::now(), until: None });
            spans.len() - 1
        };
        if let Err(error) = self.carry_out(fault, lasts).await {
            // A port of a target that another process took; the recovery shows what is missing.
            eprintln!("fault {fault} could not be ended: {error}");
        }
        self.spans.borrow_mut()[span].until = Some(Instant::now());
    }

    async fn carry_out(&self, fault: Fault, lasts: Duration) -> io::Result<()> {
        match fault {
            Fault::AgentKill(at) => {
                if let Some(agent) = &self.engines[at].agent {
                    self.kill(agent, lasts).await?;
                }
            }
            Fault::AgentPause(at) => {
                if let Some(agent) = &self.engines[at].agent {
                    pause(agent, lasts).await;
                }
            }
            Fault::AllKill => self.kill_all(lasts).await?,
            Fault::ConfigurationChange => self.change_configuration(),
            Fault::EngineCrash(at) => {
                let engine = &self.engines[at].engine;
                let id = engine.lock().await.end().await;
                lapse(&self.store, id).await;
                sleep(lasts).await;
                engine.lock().await.start(Vec::new()).await?;
            }
            Fault::EngineDrain(at) => {
                let engine = &self.engines[at].engine;
                drain(engine, &self.store).await;
                engine.lock().await.start(Vec::new()).await?;
            }
            Fault::EngineFailing(at) => {
                self.set_failing(at, FAILING_PERCENT).await;
                sleep(lasts).await;
                self.set_failing(at, 0).await;
            }
            Fault::EngineLink(at, fault) => {
                let engine = self.engines[at].engine.lock().await;
                begin_link(&engine.link, fault);
                drop(engine);
                sleep(lasts).await;
                self.engines[at].engine.lock().await.link.set(LinkFaults::default());
            }
            Fault::LateOrders => {
                self.set_late_orders(LATE_ORDERS_PERCENT).await;
                sleep(lasts).await;
                self.set_late_orders(0).await;
            }
            Fault::GatewayKill(at) => self.kill(&self.gateways[at].machine, lasts).await?,
            Fault::GatewayPause(at) => pause(&self.gateways[at].machine, lasts).await,
            Fault::GatewayStop(at) => {
                let mut machine = self.gateways[at].machine.lock().await;
                machine.stop(Duration::from_secs(self.limits.grace_s)).await;
                machine.start(&self.limits)?;
            }
            Fault::GatewayLink(at, fault) => link(&self.gateways[at].callers, fault, lasts).await,
            Fault::GatewayStoreLink(at, fault) => {
                link(&self.gateways[at].store, fault, lasts).await;
            }
            Fault::GatewayReload(at) => self.gateways[at].machine.lock().await.reload(),
            Fault::PlainCrash(at) => {
                let id = self.plain[at].lock().await.end().await;
                lapse(&self.store, id).await;
                sleep(lasts).await;
                self.plain[at].lock().await.start().await?;
            }
            Fault::Revoke => self.revoke(),
            Fault::Store(fault) => self.strike_store(fault, lasts).await,
        }
        Ok(())
    }

    async fn kill(&self, machine: &Rc<Mutex<Machine>>, lasts: Duration) -> io::Result<()> {
        let mut machine = machine.lock().await;
        machine.kill();
        sleep(lasts).await;
        machine.start(&self.limits)
    }

    async fn kill_all(&self, lasts: Duration) -> io::Result<()> {
        let gateways = self.gateways.iter().map(|gateway| &gateway.machine);
        let machines: Vec<_> =
            gateways.chain(self.engines.iter().filter_map(|vm| vm.agent.as_ref())).collect();
        let mut held = Vec::new();
        for machine in machines {
            let mut machine = machine.lock().await;
            machine.kill();
            held.push(machine);
        }
        sleep(lasts).await;
        held.iter_mut().try_for_each(|machine| machine.start(&self.limits))
    }

    async fn set_failing(&self, at: usize, percent: u32) {
        let mut engine = self.engines[at].engine.lock().await;
        (engine.settings.fail_percent, engine.settings.cut_percent) = (percent, percent);
        if let Some(life) = &engine.life {
            life.server.update(|s| (s.fail_percent, s.cut_percent) = (percent, percent));
        }
    }

    async fn set_late_orders(&self, percent: u32) {
        for vm in &self.engines {
            let mut engine = vm.engine.lock().await;
            engine.settings.late_orders_percent = percent;
            if let Some(life) = &engine.life {
                life.server.update(|settings| settings.late_orders_percent = percent);
            }
        }
    }

    async fn strike_store(&self, fault: StoreFault, lasts: Duration) {
        match fault {
            StoreFault::Down => self.store.update(|settings| settings.outage = true),
            StoreFault::DropHistory => self.store.service().drop_history(),
            StoreFault::LoseAnswers => {
                self.store.update(|s| s.lose_answers_percent = LOST_ANSWERS_PERCENT);
            }
            StoreFault::Slow => self.store.update(|settings| settings.delay_ms = SLOW_STORE_MS),
            StoreFault::Silent => self.store.update(|settings| settings.silent = true),
        }
        sleep(lasts).await;
        self.store.update(|settings| match fault {
            StoreFault::Down => settings.outage = false,
            StoreFault::DropHistory => {}
            StoreFault::LoseAnswers => settings.lose_answers_percent = 0,
            StoreFault::Slow => settings.delay_ms = 0,
            StoreFault::Silent => settings.silent = false,
        });
    }

    fn publish(&self) {
        let mut spec = self.spec.borrow_mut();
        spec.version += 3;
        let (topic, key) = DeploymentSpec::KEY;
        self.store.service().put(topic, key, &spec.document());
    }

    fn change_configuration(&self) {
        let is_there = self.extra_route.borrow().last().is_some_and(|(is_there, _)| *is_there);
        {
            let mut spec = self.spec.borrow_mut();
            match is_there {
                true => spec.routes.retain(|route| route.prefix != EXTRA_PATH),
                false => {
                    spec.routes.push(route("extra", EXTRA_PATH, PLAIN, RouteKind::Repeatable));
                }
            }
        }
        self.publish();
        self.extra_route.borrow_mut().push((!is_there, Instant::now()));
    }

    fn revoke(&self) {
        let key = {
            let mut spec = self.spec.borrow_mut();
            let shop = spec.tenants.iter_mut().find(|tenant| tenant.name == TENANTS[2]);
            shop.and_then(|shop| shop.keys.pop())
        };
        if let Some(key) = key {
            self.publish();
            self.withdrawn.borrow_mut().push((key, Instant::now()));
        }
    }
}

/// Writes the entries of all targets again and again.
async fn announce(site: Rc<Site>) {
    loop {
        for vm in &site.engines {
            vm.engine.lock().await.announce(&site.store);
        }
        for plain in &site.plain {
            plain.lock().await.announce(&site.store);
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn pause(machine: &Rc<Mutex<Machine>>, lasts: Duration) {
    let machine = machine.lock().await;
    machine.pause();
    sleep(lasts).await;
    machine.resume();
}

async fn link(link: &Link, fault: LinkFault, lasts: Duration) {
    begin_link(link, fault);
    sleep(lasts).await;
    link.set(LinkFaults::default());
}

fn begin_link(link: &Link, fault: LinkFault) {
    let faults = match fault {
        LinkFault::Delay { ms } => LinkFaults { delay_ms: ms, ..LinkFaults::default() },
        LinkFault::Reset => {
            link.cut();
            return;
        }
        LinkFault::Silence(blocked) => LinkFaults { blocked, ..LinkFaults::default() },
    };
    link.set(faults);
}

/// What a fault strikes, and whether it is planned work.
fn subject_of(fault: Fault) -> (Subject, bool) {
    match fault {
        Fault::AgentKill(at) | Fault::AgentPause(at) | Fault::EngineCrash(at) => {
            (Subject::Engine(at), false)
        }
        Fault::EngineFailing(at) | Fault::EngineLink(at, _) => (Subject::Engine(at), false),
        Fault::EngineDrain(at) => (Subject::Engine(at), true),
        Fault::AllKill => (Subject::All, false),
        // Engines that obey late are sound for callers.
        Fault::LateOrders => (Subject::Engine(usize::MAX), true),
        Fault::ConfigurationChange | Fault::Revoke => (Subject::Engine(usize::MAX), true),
        Fault::GatewayKill(at) | Fault::GatewayPause(at) => (Subject::Gateway(at), false),
        Fault::GatewayStop(at) | Fault::GatewayReload(at) => (Subject::Gateway(at), true),
        Fault::GatewayLink(at, _) | Fault::GatewayStoreLink(at, _) => (Subject::Gateway(at), false),
        Fault::PlainCrash(at) => (Subject::Plain(at), false),
        Fault::Store(_) => (Subject::Store, false),
    }
}
