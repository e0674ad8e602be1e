//! One run: the events of a workload under a policy.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use base::{Offset, SortedMap, Timestamp, Tokens, seeded_rng};
use config::FleetConfig;
use placement::{DemandRate, Item, Planner, PlannerSettings};
use queue::Ticket;
use rates::{SlotEntry, SlotLedger, SlotRecord, apportion_usage};
use wire::SlotId;

use crate::engine::Progress;
use crate::entry_node::EntryNode;
use crate::event::{Agenda, Event};
use crate::request::Request;
use crate::router::initial_placement;
use crate::side_node::{SideNode, Waiting};
use crate::{Arrival, Deployment, Fault, Judge, Outcome, Policy, RunResult, Scenario};

const HEARTBEAT: Duration = Duration::from_millis(250);
const PLAN_EVERY: Duration = Duration::from_secs(1);
/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// State of a run.
pub(crate) struct Run<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) config: Rc<FleetConfig>,
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: Policy,
    pub(crate) agenda: Agenda,
    pub(crate) requests: Vec<Request>,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) sides: Vec<SideNode>,
    pub(crate) slots: SlotLedger,
    pub(crate) slot_records: u64,
    pub(crate) judge: Judge,
    /// Numbers at the judge of open reservations, by owner and reservation.
    pub(crate) admissions: SortedMap<(base::ProcessId, u64), u64>,
    pub(crate) planner: Planner,
    pub(crate) demand: Vec<(DemandRate, DemandRate)>,
    pub(crate) store: rates::PermitPool,
    pub(crate) permits: SortedMap<usize, u64>,
    pub(crate) next_permit: u64,
    pub(crate) rng: rand_chacha::ChaCha8Rng,
    pub(crate) model_moves: u64,
}

/// Runs a workload under a policy.
pub fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    policy: Policy,
    arrivals: &[Arrival],
) -> RunResult {
    let mut run = Run::new(deployment, scenario, policy, arrivals);
    while let Some((now, event)) = run.agenda.pop() {
        run.handle(event, now);
    }
    run.result()
}

impl<'a> Run<'a> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        scenario: &'a Scenario,
        policy: Policy,
        arrivals: &[Arrival],
    ) -> Self {
        let mut config = deployment.config.clone();
        config.buckets.slots = scenario.slots;
        let config = Rc::new(config);
        let start = Timestamp::default();
        let mut sides: Vec<SideNode> = Vec::new();
        let targets =
            config.services.iter().flat_map(|s| s.targets.iter().map(move |t| (t, &s.name)));
        for ((target, service), (_, models)) in targets.zip(initial_placement(&config)) {
            sides.push(SideNode::new(target, service, &config, &models, policy));
        }
        let entries: Vec<EntryNode> = (0..deployment.entries)
            .map(|at| EntryNode::new(at, &config, policy, deployment.entries))
            .collect();
        let limits = config.weight_store;
        let store = rates::PermitPool::new(
            rates::Share {
                rate_tokens_per_s: limits.loads_per_1000_s,
                cap_tokens: u64::from(limits.concurrent_loads) * 1_000,
            },
            limits.concurrent_loads,
            rates::MicroTokens::from_tokens(Tokens(u64::from(limits.concurrent_loads) * 1_000)),
            start,
        );
        let mut run = Self {
            deployment,
            scenario,
            policy,
            agenda: Agenda::default(),
            requests: arrivals.iter().map(|a| Request::new(*a, deployment.entries)).collect(),
            entries,
            sides,
            slots: SlotLedger::new(),
            slot_records: 0,
            judge: Judge::new(&config),
            admissions: SortedMap::new(),
            planner: Planner::new(PlannerSettings::default()),
            demand: config
                .models
                .iter()
                .map(|_| (DemandRate::new(10_000, start), DemandRate::new(120_000, start)))
                .collect(),
            store,
            permits: SortedMap::new(),
            next_permit: 1,
            rng: seeded_rng(scenario.seed),
            model_moves: 0,
            config,
        };
        run.assign_slots(start);
        run.start_events();
        run
    }

    /// Gives each slot to an entry process in turn.
    pub(crate) fn assign_slots(&mut self, now: Timestamp) {
        let layout = self.config.buckets;
        for partition in 0..layout.partitions.max(1) {
            for index in 0..layout.slots.max(1) {
                let owner = usize::from(index) % self.entries.len();
                let slot = SlotId { partition, index };
                let record = SlotRecord::Claimed { slot, layout: layout.into(), replaces: None };
                self.append_slot_record(owner, record);
            }
        }
        self.sync_slots(now);
    }

    pub(crate) fn append_slot_record(&mut self, writer: usize, record: SlotRecord) {
        self.slot_records += 1;
        let writer = self.entries[writer].id.clone();
        let entry = SlotEntry { writer, sequence: self.slot_records, record };
        self.slots.apply(Offset(self.slot_records), entry);
    }

    pub(crate) fn sync_slots(&mut self, now: Timestamp) {
        for entry in &mut self.entries {
            if entry.alive {
                entry.owner.sync(&self.slots, now);
            }
        }
    }

    pub(crate) fn start_events(&mut self) {
        let start = Timestamp::default();
        for (at, request) in self.requests.iter().enumerate() {
            self.agenda.push(request.arrival.at, Event::Arrive(at));
        }
        self.agenda.push(start, Event::SendHeartbeats);
        if self.policy != Policy::FixedPlacement {
            self.agenda.push(start + PLAN_EVERY, Event::Plan);
        }
        let middle = Timestamp::from_millis(self.scenario.length_s * 1_000 / 3);
        if self.scenario.fault != Fault::None {
            self.agenda.push(middle, Event::FaultStep(0));
        }
    }

    pub(crate) fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrive(request) => self.arrive(request, now),
            Event::Reserve { request, owner, slot, tokens } => {
                self.reserve(request, owner, slot, tokens, now);
            }
            Event::Reserved { request, slot, outcome } => {
                if let Some(collector) = &mut self.requests[request].collector {
                    let actions = collector.on_reply(slot, &outcome, now);
                    self.collect(request, actions, now);
                }
            }
            Event::ReserveFailed { request, slot } => {
                if let Some(collector) = &mut self.requests[request].collector {
                    let actions = collector.on_call_failure(slot, now);
                    self.collect(request, actions, now);
                }
            }
            Event::CollectTick(request) => {
                if let Some(collector) = &mut self.requests[request].collector {
                    let actions = collector.tick(now);
                    self.collect(request, actions, now);
                }
            }
            Event::Settle { owner, request, part, used } => {
                let customer = self.customer_name(request);
                let entry = &mut self.entries[owner];
                if entry.alive && entry.id == part.owner {
                    entry.owner.settle(part.slot, &customer, part.reservation, used, now);
                    let key = (part.owner, part.reservation);
                    if let Some(number) = self.admissions.remove(&key) {
                        let customer = self.requests[request].arrival.customer;
                        self.judge.settled(customer, number, used, now);
                    }
                }
            }
            Event::Dispatch { request, target } => self.dispatched(request, target, now),
            Event::Step { target, epoch } => self.step(target, epoch, now),
            Event::OrderDone { target, order, kind, epoch } => {
                self.order_done(target, order, kind, epoch, now);
            }
            Event::TryOrder(target) => {
                self.sides[target].order_retry_scheduled = false;
                self.try_order(target, now);
            }
            Event::SendHeartbeats => self.send_heartbeats(now),
            Event::Heartbeat { entry, heartbeat } => {
                self.entries[entry].router.take_heartbeat(&heartbeat, now);
            }
            Event::Plan => self.plan(now),
            Event::Suggested { target, kind, model } => self.suggested(target, kind, &model, now),
            Event::FaultStep(step) => self.fault(step, now),
        }
    }

    pub(crate) fn customer_name(&self, request: usize) -> compact_str::CompactString {
        self.config.customer(self.requests[request].arrival.customer).name.clone()
    }

    pub(crate) fn delay(&self, a: &str, b: &str) -> Duration {
        let within = 100;
        Duration::from_micros(if a == b { within } else { self.deployment.data_centre_delay_us })
    }

    pub(crate) fn arrive(&mut self, request: usize, now: Timestamp) {
        let arrival = self.requests[request].arrival;
        let (fast, slow) = &mut self.demand[arrival.model.index()];
        fast.add(arrival.used().0, now);
        slow.add(arrival.used().0, now);
        let inside = self.judge.inside(arrival.customer, arrival.reserved(), now);
        self.requests[request].inside_at_arrival = inside;
        let at = self.requests[request].entry;
        if !self.entries[at].alive {
            // The load balancer takes the next one.
            let next = (1..self.entries.len())
                .map(|step| (at + step) % self.entries.len())
                .find(|at| self.entries[*at].alive);
            match next {
                Some(next) => self.requests[request].entry = next,
                None => return self.end(request, Outcome::RefusedBusy),
            }
        }
        match self.policy {
            Policy::Oracle => {
                if self.judge.inside(arrival.customer, arrival.reserved(), now) {
                    self.admitted(request, Vec::new(), now);
                } else {
                    self.end(request, Outcome::RefusedAboveRate);
                }
            }
            Policy::EqualSplit => {
                let entry = self.requests[request].entry;
                let number = request as u64;
                let bucket = &mut self.entries[entry].split[arrival.customer.index()];
                let wanted = rates::MicroTokens::from_tokens(arrival.reserved());
                if bucket.level(now) >= wanted {
                    bucket.take(number, arrival.reserved(), now);
                    self.admitted(request, Vec::new(), now);
                } else {
                    self.refuse_rate(request, now);
                }
            }
            _ => self.start_collector(request, now),
        }
    }

    /// Routes a request to a target.
    pub(crate) fn send(&mut self, request: usize, now: Timestamp) {
        let arrival = self.requests[request].arrival;
        let target = if self.policy == Policy::Oracle {
            self.oracle_target(request)
        } else {
            self.routed_target(request)
        };
        let Some(target) = target else { return self.settle(request, Outcome::RefusedBusy, now) };
        let entry = self.requests[request].entry;
        if let Some(send) = self.entries[entry].router.note_send(
            &self.sides[target].target.name,
            arrival.reserved().0,
            now,
        ) {
            self.requests[request].send = Some((target, send));
        }
        let from = &self.entries[entry].data_centre;
        let delay = self.delay(from, &self.sides[target].target.data_centre);
        self.agenda.push(now + delay, Event::Dispatch { request, target });
    }

    pub(crate) fn routed_target(&mut self, request: usize) -> Option<usize> {
        let Request { arrival, entry, excluded, .. } = &self.requests[request];
        let router = &mut self.entries[*entry].router;
        let name = router.choose(&self.config, arrival, excluded, |_| true, &mut self.rng)?;
        self.sides.iter().position(|side| side.target.name == name)
    }

    /// Least true work among the copies; else among all targets of the service.
    pub(crate) fn oracle_target(&self, request: usize) -> Option<usize> {
        let model = self.config.model(self.requests[request].arrival.model);
        let item = Item::Model(model.name.clone());
        let service = &self.config.service(model.service).targets;
        (0..self.sides.len())
            .filter(|at| {
                let side = &self.sides[*at];
                side.alive && service.iter().any(|t| t.name == side.target.name)
            })
            .min_by_key(|at| {
                let side = &self.sides[*at];
                let work = side.queue.queued_tokens().0 + side.engine.tokens_left();
                (!side.ledger.is_resident(&item), work)
            })
    }

    pub(crate) fn dispatched(&mut self, request: usize, target: usize, now: Timestamp) {
        let (arrival, done) = {
            let request = &self.requests[request];
            (request.arrival, Tokens(request.progress.tokens))
        };
        let side = &mut self.sides[target];
        if !side.alive {
            return self.retry(request, target, now);
        }
        let output = arrival.output_tokens.saturating_sub(done);
        let waiting = Waiting { request, prompt: arrival.prompt_tokens + done, output };
        if !side.push(&self.config, &arrival, waiting, now) {
            return self.retry(request, target, now);
        }
        self.start_engine(target, now);
        self.try_order(target, now);
    }

    pub(crate) fn retry(&mut self, request: usize, target: usize, now: Timestamp) {
        self.end_send(request);
        let name = self.sides[target].target.name.clone();
        let state = &mut self.requests[request];
        state.attempts += 1;
        state.excluded.push(name);
        if state.attempts < MAX_ATTEMPTS {
            self.send(request, now);
        } else {
            let started = self.requests[request].progress.tokens > 0;
            let outcome = if started { Outcome::Broken } else { Outcome::RefusedBusy };
            self.settle(request, outcome, now);
        }
    }

    pub(crate) fn end_send(&mut self, request: usize) {
        if let Some((target, send)) = self.requests[request].send.take() {
            let name = self.sides[target].target.name.clone();
            let entry = self.requests[request].entry;
            self.entries[entry].router.note_end(&name, send);
        }
    }

    pub(crate) fn start_engine(&mut self, target: usize, now: Timestamp) {
        let side = &mut self.sides[target];
        if side.fill_batch(now) {
            let end = side.engine.step_end(now);
            self.agenda.push(end, Event::Step { target, epoch: side.epoch });
        }
    }

    pub(crate) fn step(&mut self, target: usize, epoch: u64, now: Timestamp) {
        if self.sides[target].epoch != epoch {
            return;
        }
        for (number, progress) in self.sides[target].engine.step() {
            let ticket = Ticket(number as u64);
            let Some(waiting) = self.sides[target].tickets.get(&ticket).copied() else { continue };
            self.requests[waiting.request].progress.token(now);
            if progress == Progress::Finished {
                let used = self.requests[waiting.request].arrival.used();
                self.sides[target].finish(ticket, used, now);
                self.finished(waiting.request, target, now);
            }
        }
        let side = &mut self.sides[target];
        side.fill_batch(now);
        if !side.engine.is_idle() {
            let end = side.engine.step_end(now);
            self.agenda.push(end, Event::Step { target, epoch });
        }
        self.try_order(target, now);
    }

    pub(crate) fn finished(&mut self, request: usize, target: usize, now: Timestamp) {
        self.end_send(request);
        let entry = &self.entries[self.requests[request].entry];
        let delay = self.delay(&entry.data_centre, &self.sides[target].target.data_centre);
        let state = &self.requests[request];
        let outcome = state.progress.finish(state.arrival.at, delay);
        self.settle(request, outcome, now);
    }

    /// Ends an admitted request and settles its reservation.
    pub(crate) fn settle(&mut self, request: usize, outcome: Outcome, now: Timestamp) {
        let state = &self.requests[request];
        let arrival = state.arrival;
        let used = match outcome {
            Outcome::Answered { .. } => arrival.used(),
            Outcome::Broken => arrival.prompt_tokens + Tokens(state.progress.tokens),
            _ => Tokens::ZERO,
        };
        let parts = std::mem::take(&mut self.requests[request].parts);
        for part_usage in apportion_usage(&parts, used) {
            self.send_settle(request, part_usage.part, part_usage.used, now);
        }
        if self.policy == Policy::EqualSplit {
            let entry = self.requests[request].entry;
            let bucket = &mut self.entries[entry].split[arrival.customer.index()];
            bucket.settle(request as u64, used, now);
        }
        if let Some(number) = self.requests[request].admission {
            self.judge.settled(arrival.customer, number, used, now);
        }
        self.end(request, outcome);
    }

    pub(crate) fn end(&mut self, request: usize, outcome: Outcome) {
        self.requests[request].outcome.get_or_insert(outcome);
    }

    pub(crate) fn send_heartbeats(&mut self, now: Timestamp) {
        for (at, side) in self.sides.iter().enumerate().filter(|(_, side)| side.alive) {
            let port = u16::try_from(at + 1).unwrap_or(u16::MAX);
            let heartbeat = side.heartbeat(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
            for (entry, node) in self.entries.iter().enumerate() {
                let delay = self.delay(&node.data_centre, &side.target.data_centre);
                let heartbeat = Box::new(heartbeat.clone());
                self.agenda.push(now + delay, Event::Heartbeat { entry, heartbeat });
            }
        }
        if now < self.scenario.end() {
            self.agenda.push(now + HEARTBEAT, Event::SendHeartbeats);
        }
    }
}
