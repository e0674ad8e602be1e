//! Simulation of the rate limit across the fleet: slots, ledgers, planners and collectors of
//! several processes under lost, duplicated and reordered messages, crashes, takeovers, restarts,
//! pauses, log outages and rate changes.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod support;

use std::rc::Rc;
use std::time::Duration;

use base::{Offset, ProcessId, SortedMap, Timestamp, Tokens, seeded_rng};
use compact_str::CompactString;
use config::FleetConfig;
use membership::TerminationProof;
use rand::Rng;
use rates::{
    AppendOutcome, CollectAction, CollectRequest, Collector, Distance, EntryLocation, Opening,
    PlanInput, ReservationPart, Share, SlotEntry, SlotLedger, SlotOwner, SlotPlanner, SlotRecord,
    SlotState, apportion_usage, slot_holders,
};
use support::{Debit, ShareInForce, check_windows, config, process};
use wire::{ReserveOutcome, SlotId};

const NODES: usize = 4;
const RUN_TIME: Duration = Duration::from_secs(40);
/// Silence after which a removed VM is proven to have terminated, and after which the naive lease
/// expires.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
const LOCATIONS: [(&str, &str); NODES] =
    [("north", "dc-a"), ("north", "dc-b"), ("south", "dc-c"), ("north", "dc-a")];

#[derive(Clone, Copy, Default, PartialEq)]
struct Defects {
    /// A new owner starts at a full level after a takeover from a crashed one.
    full_takeover: bool,
    /// Silence alone allows a takeover, as the expiry of a lease would.
    lease: bool,
}

enum Message {
    Reserve { from: ProcessId, request: u64, to: ProcessId, slot: SlotId, tokens: Tokens },
    Reply { to: ProcessId, request: u64, slot: SlotId, outcome: ReserveOutcome },
    Settle { to: ProcessId, slot: SlotId, reservation: u64, used: Tokens },
    Append { from: ProcessId, entry: SlotEntry },
    Appended { to: ProcessId, sequence: u64, end: AppendOutcome },
}

struct Request {
    collector: Collector,
    parts: Vec<ReservationPart>,
    settle_at: Option<Timestamp>,
}

struct Node {
    id: ProcessId,
    alive: bool,
    /// Time at which it terminated or was paused.
    silent_since: Timestamp,
    paused_until: Timestamp,
    /// Whether it hands over its slots and then exits.
    stopping: bool,
    apply_at: Timestamp,
    config: Rc<FleetConfig>,
    owner: SlotOwner,
    ledger: SlotLedger,
    planner: SlotPlanner,
    caught_up_at: Option<Timestamp>,
    requests: SortedMap<u64, Request>,
}

struct Simulation {
    rng: rand_chacha::ChaCha8Rng,
    now: Timestamp,
    defects: Defects,
    nodes: Vec<Node>,
    log: Vec<SlotEntry>,
    log_down_until: Timestamp,
    messages: Vec<(Timestamp, Message)>,
    debits: SortedMap<u64, Debit>,
    in_force: Vec<ShareInForce>,
    config: Rc<FleetConfig>,
    next_request: u64,
    takeovers: u32,
    handovers: u32,
    stops: u32,
    admitted: u32,
}

impl Node {
    fn start(at: usize, incarnation: u64, config: Rc<FleetConfig>) -> Self {
        let id = process(["e1", "e2", "e3", "e4"][at], incarnation);
        Self {
            owner: SlotOwner::new(id.clone(), config.clone()),
            planner: SlotPlanner::new(id.clone()),
            id,
            alive: true,
            silent_since: Timestamp::default(),
            paused_until: Timestamp::default(),
            stopping: false,
            apply_at: Timestamp::default(),
            config,
            ledger: SlotLedger::new(),
            caught_up_at: None,
            requests: SortedMap::new(),
        }
    }

    fn is_running(&self, now: Timestamp) -> bool {
        self.alive && now >= self.paused_until
    }
}

impl Simulation {
    fn new(seed: u64, defects: Defects) -> Self {
        let config = config(1, 40, 400, 4);
        Self {
            rng: seeded_rng(seed),
            now: Timestamp::from_millis(10_000),
            defects,
            nodes: (0..NODES).map(|at| Node::start(at, 1 + at as u64, config.clone())).collect(),
            log: Vec::new(),
            log_down_until: Timestamp::default(),
            messages: Vec::new(),
            debits: SortedMap::new(),
            in_force: vec![ShareInForce { from: Timestamp::default(), share: share_of(&config) }],
            config,
            next_request: 0,
            takeovers: 0,
            handovers: 0,
            stops: 0,
            admitted: 0,
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    /// Sends a message with loss, duplication and reordering.
    fn send(&mut self, make: impl Fn() -> Message) {
        let copies = match self.rng.random_range(0..100) {
            0..5 => 0,
            5..10 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max_delay_ms = if self.chance(50) { 700 } else { 5 };
            let delay = Duration::from_millis(self.rng.random_range(0..=max_delay_ms));
            self.messages.push((self.now + delay, make()));
        }
    }

    fn node(&mut self, id: &ProcessId) -> Option<&mut Node> {
        self.nodes.iter_mut().find(|n| n.alive && n.id == *id)
    }

    fn run(&mut self) {
        let end = self.now + RUN_TIME;
        while self.now < end {
            self.now = self.now + Duration::from_millis(self.rng.random_range(1..25));
            self.inject_fault();
            self.deliver();
            for at in 0..NODES {
                if self.nodes[at].is_running(self.now) {
                    self.step(at);
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let now = self.now;
        let at = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..1_000) {
            0..3 if self.nodes[at].alive => {
                self.nodes[at].alive = false;
                self.nodes[at].silent_since = now;
            }
            3..20 if !self.nodes[at].alive => {
                self.nodes[at] = Node::start(at, now.micros, self.config.clone());
            }
            20..24 if self.nodes[at].is_running(now) => {
                let pause = Duration::from_millis(self.rng.random_range(100..5_000));
                self.nodes[at].paused_until = now + pause;
                self.nodes[at].silent_since = now;
            }
            28..31 if self.nodes[at].alive => self.nodes[at].stopping = true,
            24..26 => self.log_down_until = now + Duration::from_secs(3),
            26..28 if self.nodes.iter().all(|n| n.config.version == self.config.version) => {
                self.publish();
            }
            _ => {}
        }
        let newest = self.config.version;
        let all_applied = self.nodes.iter().all(|n| !n.alive || n.config.version == newest);
        let newest_share = share_of(&self.config);
        if all_applied && self.in_force.last().unwrap().share != newest_share {
            self.in_force.push(ShareInForce { from: now, share: newest_share });
        }
    }

    /// Publishes a rate; until every process has applied it, the larger of old and new may be in
    /// force.
    fn publish(&mut self) {
        let old = share_of(&self.config);
        let (rate, burst) = (self.rng.random_range(0..80), self.rng.random_range(50..600));
        self.config = config(self.config.version.0 + 1, rate, burst, 4);
        let either = Share {
            rate_tokens_per_s: old.rate_tokens_per_s.max(rate),
            cap_tokens: old.cap_tokens.max(burst),
        };
        self.in_force.push(ShareInForce { from: self.now, share: either });
        for node in &mut self.nodes {
            let delay = Duration::from_millis(self.rng.random_range(0..2_000));
            node.apply_at = self.now + delay;
        }
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        let mut at = 0;
        while at < self.messages.len() {
            if self.messages[at].0 <= self.now {
                due.push(self.messages.swap_remove(at).1);
            } else {
                at += 1;
            }
        }
        for message in due {
            let to = match &message {
                Message::Reserve { to, .. }
                | Message::Reply { to, .. }
                | Message::Settle { to, .. }
                | Message::Appended { to, .. } => Some(to.clone()),
                Message::Append { .. } => None,
            };
            let now = self.now;
            let paused = to.and_then(|to| self.node(&to).map(|n| n.paused_until));
            match paused {
                Some(until) if until > now => self.messages.push((until, message)),
                _ => self.handle(message),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Reserve { from, request, to, slot, tokens } => {
                let Some(node) = self.node(&to) else { return };
                let outcome = node.owner.reserve(slot, "chapel", tokens, now);
                self.record_debit(&outcome);
                let reply =
                    || Message::Reply { to: from.clone(), request, slot, outcome: outcome.clone() };
                self.send(reply);
            }
            Message::Reply { to, request, slot, outcome } => {
                let Some(node) = self.node(&to) else { return };
                let Some(entry) = node.requests.get_mut(&request) else { return };
                let actions = entry.collector.on_reply(slot, &outcome, now);
                self.perform(&to, request, actions);
            }
            Message::Settle { to, slot, reservation, used } => {
                let Some(node) = self.node(&to) else { return };
                if node.owner.settle(slot, "chapel", reservation, used, now).is_some() {
                    let micros = u128::from(used.0) * 1_000_000;
                    self.debits.get_mut(&reservation).unwrap().micros = micros;
                }
            }
            Message::Append { from, entry } => {
                let log_down = now < self.log_down_until;
                let sequence = entry.sequence;
                if !log_down {
                    self.log.push(entry);
                }
                let end = if log_down { AppendOutcome::NotStored } else { AppendOutcome::Stored };
                self.send(|| Message::Appended { to: from.clone(), sequence, end });
            }
            Message::Appended { to, sequence, end } => {
                if let Some(node) = self.node(&to) {
                    node.planner.append_finished(sequence, end, now);
                }
            }
        }
    }

    fn record_debit(&mut self, outcome: &ReserveOutcome) {
        if let ReserveOutcome::Granted { reservation, tokens } = outcome {
            let debit = Debit { at: self.now, micros: u128::from(tokens.0) * 1_000_000 };
            let before = self.debits.insert(*reservation, debit);
            assert!(before.is_none(), "reservation {reservation} was granted twice");
        }
    }

    fn perform(&mut self, me: &ProcessId, request: u64, actions: Vec<CollectAction>) {
        let now = self.now;
        for action in actions {
            match action {
                CollectAction::Reserve { slot, owner, tokens } if owner == *me => {
                    let Some(node) = self.node(me) else { return };
                    let outcome = node.owner.reserve(slot, "chapel", tokens, now);
                    self.record_debit(&outcome);
                    let Some(node) = self.node(me) else { return };
                    let entry = node.requests.get_mut(&request).unwrap();
                    let further_actions = entry.collector.on_reply(slot, &outcome, now);
                    self.perform(me, request, further_actions);
                }
                CollectAction::Reserve { slot, owner, tokens } => self.send(|| Message::Reserve {
                    from: me.clone(),
                    request,
                    to: owner.clone(),
                    slot,
                    tokens,
                }),
                CollectAction::Refund(part) => self.settle(&part, Tokens::ZERO),
                CollectAction::Admitted { parts, .. } => {
                    self.admitted += 1;
                    let hold = Duration::from_millis(self.rng.random_range(0..4_000));
                    let Some(node) = self.node(me) else { return };
                    let entry = node.requests.get_mut(&request).unwrap();
                    entry.parts = parts;
                    entry.settle_at = Some(now + hold);
                }
                CollectAction::ExceedsBurst | CollectAction::Refused { .. } => {}
            }
        }
    }

    fn settle(&mut self, part: &ReservationPart, used: Tokens) {
        self.send(|| Message::Settle {
            to: part.owner.clone(),
            slot: part.slot,
            reservation: part.reservation,
            used,
        });
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        if self.nodes[at].config.version < self.config.version && now >= self.nodes[at].apply_at {
            let config = self.config.clone();
            self.nodes[at].config = config.clone();
            self.nodes[at].owner.apply_configuration(config, now);
        }
        if now >= self.log_down_until && self.chance(300) {
            self.read_log(at);
            self.plan(at);
        }
        let me = self.nodes[at].id.clone();
        if !self.nodes[at].stopping && self.chance(60) {
            self.start_request(at);
        }
        self.nodes[at].requests.retain(|_, entry| {
            !entry.collector.is_ended()
                || entry.collector.has_pending_calls()
                || entry.settle_at.is_some()
        });
        let open: Vec<u64> = self.nodes[at].requests.keys().copied().collect();
        for request in open {
            let entry = self.nodes[at].requests.get_mut(&request).unwrap();
            let actions = entry.collector.tick(now);
            if entry.settle_at.is_some_and(|settle_at| now >= settle_at) {
                entry.settle_at = None;
                let parts = std::mem::take(&mut entry.parts);
                let reserved: Tokens = parts.iter().map(|p| p.tokens).sum();
                let used = Tokens(self.rng.random_range(0..=reserved.0));
                for part_usage in apportion_usage(&parts, used) {
                    self.settle(&part_usage.part, part_usage.used);
                }
            }
            self.perform(&me, request, actions);
        }
    }

    fn read_log(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        for (offset, entry) in (1..).zip(&self.log).skip(node.ledger.through().0 as usize) {
            let verdict = node.ledger.apply(Offset(offset), entry.clone());
            if let rates::Verdict::Owned { former: Some(_), opening, .. } = verdict {
                match opening {
                    Opening::Empty => self.takeovers += 1,
                    _ => self.handovers += 1,
                }
            }
        }
        node.caught_up_at = Some(self.now);
        if self.defects.full_takeover {
            node.owner.sync(&with_full_openings(&node.ledger), self.now);
        } else {
            node.owner.sync(&node.ledger, self.now);
        }
    }

    fn plan(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let handed_over = node.ledger.owned_by(&node.id).next().is_none();
        if node.stopping && handed_over && node.requests.is_empty() {
            node.alive = false;
            node.silent_since = self.now;
            self.stops += 1;
            return;
        }
        let (now, defects) = (self.now, self.defects);
        let live: Vec<EntryLocation> = self
            .nodes
            .iter()
            .zip(LOCATIONS)
            .filter(|(node, _)| node.is_running(now) && !node.stopping)
            .map(|(node, (region, data_centre))| EntryLocation {
                process: node.id.clone(),
                region: CompactString::new(region),
                data_centre: CompactString::new(data_centre),
            })
            .collect();
        let node_states: Vec<(ProcessId, bool, Duration)> =
            self.nodes.iter().map(|n| (n.id.clone(), n.alive, now.since(n.silent_since))).collect();
        let paused: Vec<bool> = self.nodes.iter().map(|n| !n.is_running(now)).collect();
        let proof = |process: &ProcessId| {
            let at = node_states.iter().position(|(id, ..)| id.name == process.name)?;
            let (id, alive, silence) = &node_states[at];
            let silent = *silence >= SILENCE_TIMEOUT;
            if id.incarnation > process.incarnation {
                return Some(TerminationProof::NewerIncarnation(id.incarnation));
            }
            ((!alive && silent) || (defects.lease && paused[at] && silent)).then_some(
                TerminationProof::VmRemoved {
                    listed_version: 1,
                    absent_version: 2,
                    absent_reads: 2,
                    silent_ms: 1_500,
                },
            )
        };
        let node = &mut self.nodes[at];
        let input = PlanInput {
            ledger: &node.ledger,
            config: &node.config,
            live: &live,
            proof: &proof,
            caught_up_at: node.caught_up_at,
            stopping: node.stopping,
        };
        if let Some(entry) = node.planner.next_entry(&input, &mut node.owner, now) {
            let from = node.id.clone();
            self.send(|| Message::Append { from: from.clone(), entry: entry.clone() });
        }
    }

    fn start_request(&mut self, at: usize) {
        let request = self.next_request;
        self.next_request += 1;
        let customer = &self.config.customers[0];
        let node = &self.nodes[at];
        let me = node.id.clone();
        let distance =
            |owner: &ProcessId| Some(if *owner == me { Distance::Local } else { Distance::Region });
        let collect = CollectRequest {
            customer: customer.name.clone(),
            tokens: Tokens(self.rng.random_range(1..=customer.burst_tokens)),
            burst: Tokens(customer.burst_tokens),
            rate_tokens_per_s: customer.rate_tokens_per_s,
            slot_count: 4,
            holders: slot_holders("chapel", node.config.buckets, &node.ledger, distance),
            local_nearly_full: false,
            validity: Duration::from_secs(2),
            call_timeout: Duration::from_millis(500),
            max_wait: Duration::from_millis(if request.is_multiple_of(3) { 300 } else { 0 }),
            seed: request,
        };
        let (collector, actions) = Collector::start(collect, self.now);
        let entry = Request { collector, parts: Vec::new(), settle_at: None };
        self.nodes[at].requests.insert(request, entry);
        self.perform(&me, request, actions);
    }
}

fn share_of(config: &FleetConfig) -> Share {
    let customer = &config.customers[0];
    Share { rate_tokens_per_s: customer.rate_tokens_per_s, cap_tokens: customer.burst_tokens }
}

/// Builds the naive ledger, in which every owner starts with full slots.
fn with_full_openings(ledger: &SlotLedger) -> SlotLedger {
    let mut snapshot = ledger.snapshot();
    for slot in &mut snapshot.slots {
        if let SlotState::Owned { opening, .. } = &mut slot.state {
            *opening = Opening::Full;
        }
    }
    let mut full_ledger = SlotLedger::new();
    let offset = Offset(snapshot.through.0 + 2);
    let entry = SlotEntry {
        writer: process("snapshot", 1),
        sequence: 1,
        record: SlotRecord::Snapshot(rates::SlotSnapshot {
            through: Offset(offset.0 - 1),
            ..snapshot
        }),
    };
    full_ledger.apply(offset, entry);
    full_ledger
}

fn simulate(seed: u64, defects: Defects) -> (Simulation, Result<(), String>) {
    let mut simulation = Simulation::new(seed, defects);
    simulation.run();
    let debits: Vec<Debit> = simulation.debits.values().copied().collect();
    let result =
        check_windows(&debits, &simulation.in_force).map_err(|e| format!("seed {seed}: {e}"));
    (simulation, result)
}

#[test]
fn fleet_admits_no_more_than_burst_plus_rate_under_faults() {
    let (mut takeovers, mut handovers, mut stops, mut admitted) = (0, 0, 0, 0);
    for seed in 0..60 {
        let (simulation, result) = simulate(seed, Defects::default());
        result.unwrap();
        takeovers += simulation.takeovers;
        handovers += simulation.handovers;
        stops += simulation.stops;
        admitted += simulation.admitted;
    }
    // The check proves nothing unless slots move and requests are admitted.
    assert!(
        takeovers > 100 && handovers > 20 && stops > 20 && admitted > 1_000,
        "takeovers={takeovers} handovers={handovers} stops={stops} admitted={admitted}"
    );
    println!("takeovers={takeovers} handovers={handovers} stops={stops} admitted={admitted}");
}

/// Verifies that the check can fail: a takeover at a full level spends the crashed owner's tokens
/// again.
#[test]
fn check_detects_takeover_at_a_full_level() {
    let defects = Defects { full_takeover: true, lease: false };
    let violation = (0..20).find_map(|seed| simulate(seed, defects).1.err());
    println!("{violation:?}");
    assert!(violation.is_some(), "seeds 0..20: the takeover at a full level passed");
}

/// Verifies that the check can fail: a slot that is taken over on silence alone is spent by two
/// owners after the paused one resumes.
#[test]
fn check_detects_a_lease_that_expires_while_its_holder_is_paused() {
    let defects = Defects { full_takeover: false, lease: true };
    let violation = (0..60).find_map(|seed| simulate(seed, defects).1.err());
    println!("{violation:?}");
    assert!(violation.is_some(), "seeds 0..60: the naive lease passed");
}
