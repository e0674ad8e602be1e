//! Drain of a target (I8, I10, I11): two entries, the side process of a target that stops, and the
//! platform with its VM list.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Offset, Role, Timestamp};
use config::MembershipSettings;
use faults::{Network, Protocol, Timing, enumerate_some};
use membership::{Liveness, LocalProcess, Membership, Vm, VmList};
use wire::{Heartbeat, LogView};

use crate::support::{process, red_run, report};

const SIDE: usize = 2;
const PLATFORM: usize = 3;
const NAMES: [&str; 3] = ["entry-a", "entry-b", "side"];
const REGIONS: [u8; 4] = [0, 1, 0, 0];
const STOP_AT: Timestamp = Timestamp::from_millis(10_000);
/// Limit of I10.
const NO_WORK_AFTER: Duration = Duration::from_secs(3);
const SEND_EVERY: Duration = Duration::from_millis(50);
const LIST_EVERY: Duration = Duration::from_millis(1_000);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(8_000);
const SHORT: Duration = Duration::from_millis(300);
/// A stream that keeps the side process alive, and its heartbeats going, beyond the limit of I10.
const LONG: Duration = Duration::from_millis(6_000);

#[derive(Clone)]
enum Message {
    Heartbeat { heartbeat: Heartbeat, asked_at: Timestamp },
    Reply { heartbeat: Heartbeat, asked_at: Timestamp },
    Generate { id: u64, run: u64 },
    Finished { id: u64 },
    Refused { id: u64 },
    ReadList { asked_at: Timestamp },
    List { list: VmList, asked_at: Timestamp },
}

struct Node {
    incarnation: u64,
    membership: Membership,
    list_at: Timestamp,
    sent_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Finished,
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Default)]
struct Naive {
    /// Entries go by silence alone.
    ignores_announcements: bool,
    /// The side process exits at once when it is told to stop.
    exits_at_once: bool,
    /// The side process refuses a request after it has begun it.
    refuses_late: bool,
}

struct World {
    naive: Naive,
    nodes: Vec<Node>,
    draining: bool,
    announced_at: Option<Timestamp>,
    in_flight: Vec<(u64, usize, Timestamp)>,
    started: Vec<u64>,
    exited: bool,
    /// Requests of the entries, by number: sender, time, end.
    requests: Vec<(usize, Timestamp, Option<End>)>,
    violation: Option<String>,
    now: Timestamp,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + node as u16))
}

fn role(node: usize) -> Role {
    if node == SIDE { Role::Side } else { Role::Entry }
}

fn start(node: usize, incarnation: u64, now: Timestamp) -> Node {
    let me = LocalProcess {
        process: process(NAMES[node], incarnation),
        role: role(node),
        region: "north".into(),
        data_centre: "dc-a".into(),
        address: address(node),
    };
    let membership = Membership::new(me, MembershipSettings::default(), now);
    let never = Timestamp::default();
    Node { incarnation, membership, list_at: never, sent_at: never }
}

impl World {
    fn new(naive: Naive) -> Self {
        let now = Timestamp::from_millis(1);
        Self {
            naive,
            nodes: (0..3).map(|node| start(node, 1, now)).collect(),
            draining: false,
            announced_at: None,
            in_flight: Vec::new(),
            started: Vec::new(),
            exited: false,
            requests: Vec::new(),
            violation: None,
            now,
        }
    }

    fn heartbeat(&self, node: usize) -> Heartbeat {
        let me = self.nodes[node].membership.local();
        Heartbeat {
            from: me.process.clone(),
            role: me.role,
            region: me.region.clone(),
            data_centre: me.data_centre.clone(),
            address: me.address,
            config_offset: Offset(1),
            log: LogView::default(),
            draining: node == SIDE && self.draining,
            target: None,
            demand: Vec::new(),
        }
    }

    fn list(&self) -> VmList {
        let leaving = self.now >= STOP_AT;
        let vm = |node: usize| Vm {
            name: NAMES[node].into(),
            address: address(node),
            role: role(node),
            region: "north".into(),
            data_centre: "dc-a".into(),
            leaving: node == SIDE && leaving,
        };
        VmList { version: 1 + u64::from(leaving), vms: (0..3).map(vm).collect() }
    }

    /// Whether an entry would send new work to the side process.
    fn sends_to_side(&self, entry: usize) -> bool {
        let membership = &self.nodes[entry].membership;
        if self.naive.ignores_announcements {
            let live = |m| membership.liveness(m, self.now) != Liveness::Silent;
            return membership.member(&process(NAMES[SIDE], 1).name).is_some_and(live);
        }
        membership.candidates(Role::Side, self.now).next().is_some()
    }

    fn work_side(&mut self, network: &mut Network<Message>) {
        let now = self.now;
        if now >= STOP_AT && !self.draining {
            self.draining = true;
            self.announced_at.get_or_insert(now);
            self.nodes[SIDE].membership.announce(now);
        }
        let done: Vec<_> = self.in_flight.extract_if(.., |(.., end)| now >= *end).collect();
        for (id, from, _) in done {
            network.send(SIDE, from, "finished", Message::Finished { id });
        }
        // Exits once nothing is in flight and the announcement had time to arrive.
        let told = self.announced_at.is_some_and(|at| now.since(at) >= NO_WORK_AFTER);
        let ready = self.in_flight.is_empty() && told;
        if self.draining && (ready || self.naive.exits_at_once) {
            self.exited = true;
        }
    }

    fn work_entry(&mut self, entry: usize, network: &mut Network<Message>) {
        let now = self.now;
        for (from, at, end) in &mut self.requests {
            if *from == entry && end.is_none() && now.since(*at) >= ANSWER_TIMEOUT {
                *end = Some(End::Unknown);
            }
        }
        if now.since(self.nodes[entry].sent_at) < SEND_EVERY || !self.sends_to_side(entry) {
            return;
        }
        self.nodes[entry].sent_at = now;
        if self.announced_at.is_some_and(|at| now > at + NO_WORK_AFTER) {
            self.violation = Some(format!("I10: entry {entry} sends work after the limit"));
        }
        let id = self.requests.len() as u64;
        self.requests.push((entry, now, None));
        let run = self.nodes[SIDE].incarnation;
        network.send(entry, SIDE, "generate", Message::Generate { id, run });
    }
}

impl Protocol for World {
    type Message = Message;

    fn timing(&self) -> Timing {
        Timing {
            tick: Duration::from_millis(50),
            latency: Duration::from_millis(10),
            delay: Duration::from_millis(700),
            outage: Duration::from_millis(4_000),
            horizon: Duration::from_secs(40),
        }
    }

    fn regions(&self) -> Vec<u8> {
        REGIONS.to_vec()
    }

    fn log(&self) -> Option<usize> {
        None
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        network: &mut Network<Message>,
    ) {
        self.now = network.now();
        let now = self.now;
        if to == SIDE && self.exited {
            return;
        }
        match message {
            Message::Heartbeat { heartbeat, asked_at } => {
                self.nodes[to].membership.apply_heartbeat(&heartbeat, now);
                let reply = Message::Reply { heartbeat: self.heartbeat(to), asked_at };
                network.send(to, from, "heartbeat reply", reply);
            }
            Message::Reply { heartbeat, asked_at } => {
                self.nodes[to].membership.apply_reply(&heartbeat, asked_at);
            }
            Message::Generate { id, run } => {
                // A connection ends with the run of the process; a second frame is dropped.
                if run != self.nodes[SIDE].incarnation || self.started.contains(&id) {
                    return;
                }
                if self.draining {
                    if self.naive.refuses_late {
                        self.started.push(id);
                    }
                    network.send(SIDE, from, "refused", Message::Refused { id });
                    return;
                }
                if self.announced_at.is_some_and(|at| now > at + NO_WORK_AFTER) {
                    self.violation = Some("I10: the target gets work after the limit".into());
                }
                let long = now + LONG > STOP_AT + LONG - SEND_EVERY * 4;
                self.started.push(id);
                self.in_flight.push((id, from, now + if long { LONG } else { SHORT }));
            }
            Message::Finished { id } => self.requests[id as usize].2 = Some(End::Finished),
            Message::Refused { id } => {
                self.requests[id as usize].2.get_or_insert(End::NotRun);
            }
            Message::ReadList { asked_at } => {
                let list = self.list();
                network.send(PLATFORM, from, "VM list", Message::List { list, asked_at });
            }
            Message::List { list, asked_at } => {
                self.nodes[to].membership.apply_vm_list(&list, asked_at, now);
            }
        }
    }

    fn tick(&mut self, node: usize, network: &mut Network<Message>) {
        self.now = network.now();
        let now = self.now;
        if node == PLATFORM || (node == SIDE && self.exited) {
            return;
        }
        if now.since(self.nodes[node].list_at) >= LIST_EVERY {
            self.nodes[node].list_at = now;
            network.send(node, PLATFORM, "read VM list", Message::ReadList { asked_at: now });
        }
        if node == SIDE {
            self.work_side(network);
        }
        let heartbeat = self.heartbeat(node);
        for to in self.nodes[node].membership.due(now) {
            let Some(peer) = (0..3).find(|peer| address(*peer) == to) else { continue };
            let kind = if heartbeat.draining { "announcement" } else { "heartbeat" };
            let call = Message::Heartbeat { heartbeat: heartbeat.clone(), asked_at: now };
            network.send(node, peer, kind, call);
        }
        if node != SIDE {
            self.work_entry(node, network);
        }
    }

    fn die(&mut self, node: usize, _: Timestamp) {
        if node == SIDE {
            self.in_flight.clear();
        } else if node != PLATFORM {
            // Its callers' connections break.
            for (from, _, end) in &mut self.requests {
                if *from == node {
                    end.get_or_insert(End::Unknown);
                }
            }
        }
    }

    fn restart(&mut self, node: usize, now: Timestamp) {
        if node == PLATFORM || (node == SIDE && self.exited) {
            return;
        }
        if node == SIDE {
            self.draining = false;
        }
        self.nodes[node] = start(node, self.nodes[node].incarnation + 1, now);
    }

    fn check(&mut self, _: &Network<Message>) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        if self.exited && !self.in_flight.is_empty() {
            return Err("I11: the side process exited with requests in flight".into());
        }
        let false_refusal = |id: &&u64| self.requests[**id as usize].2 == Some(End::NotRun);
        match self.started.iter().find(false_refusal) {
            Some(id) => Err(format!("I8: request {id} was told not_run and ran")),
            None => Ok(()),
        }
    }

    fn finished(&self) -> bool {
        let ended = self.requests.iter().all(|(.., end)| end.is_some());
        self.exited && ended && !self.requests.is_empty() && self.now >= STOP_AT + NO_WORK_AFTER * 2
    }
}

/// Guards against new work for a target that is leaving, and against a stop that cuts requests.
#[test]
fn a_leaving_target_gets_no_work_under_every_fault() {
    let matrix = enumerate_some(|| World::new(Naive::default()), 1, 6);
    report("Drain of a target", &matrix, 88, 634);
}

/// Guards against a check of I10 that cannot fail.
#[test]
fn check_catches_entries_that_ignore_announcements() {
    let naive = Naive { ignores_announcements: true, ..Naive::default() };
    red_run("announcement ignored", || World::new(naive), "I10");
}

/// Guards against a check of I11 that cannot fail.
#[test]
fn check_catches_an_exit_with_requests_in_flight() {
    let naive = Naive { exits_at_once: true, ..Naive::default() };
    red_run("exit at once", || World::new(naive), "I11");
}

/// Guards against a check of I8 that cannot fail.
#[test]
fn check_catches_a_refusal_of_what_was_begun() {
    let naive = Naive { refuses_late: true, ..Naive::default() };
    red_run("refusal of what was begun", || World::new(naive), "I8");
}
