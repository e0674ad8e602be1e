//! At-most-once call (I8, I9): an entry, two side processes with a replica of the claims each, the log,
//! and the target, which records every execution.

use std::time::Duration;

use base::{ExecutionState, Offset, Timestamp};
use faults::{Fault, Network, Protocol, Timing, enumerate};
use once::{
    AppendRequest, AttemptId, BeginResult, ClaimKey, ClaimLimits, ClaimLog, Fingerprint,
    PriorOutcome, Settlement, SettlementResult, StoredOutcome,
};

use crate::support::{process, red_run, report};

const ENTRY: usize = 0;
const SIDES: [usize; 2] = [1, 2];
const LOG: usize = 3;
const TARGET: usize = 4;
const CLAIM_TIMEOUT: Duration = Duration::from_millis(120);
/// Wait of the entry before it asks the other side.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a read, or the append of a mark, is sent again.
const RESEND: Duration = Duration::from_millis(20);
const UNIX_MS: u64 = 1_000_000;

#[derive(Clone)]
enum Message {
    /// The frame on the connection to one run of a side process.
    Forward {
        call: u64,
        ask: usize,
        incarnation: u64,
    },
    Answer {
        call: u64,
        ran: ExecutionState,
    },
    Append(AppendRequest),
    /// `stored` is false if the log answered that it is unavailable.
    Stored {
        id: String,
        stored: bool,
    },
    Read {
        from: u64,
    },
    Records {
        from: u64,
        records: Vec<Vec<u8>>,
    },
    Run {
        attempt: AttemptId,
    },
    Ran {
        attempt: AttemptId,
    },
}

#[derive(Clone, Copy, Default)]
struct Naive {
    /// Runs once the log has stored the claim, without reading back.
    runs_unread: bool,
    /// Says `not_run` whenever it has no answer.
    guesses_not_run: bool,
}

struct Side {
    incarnation: u64,
    claims: ClaimLog,
    /// Calls that wait for their claim, and those that wait for the target.
    waiting: Vec<(AttemptId, u64)>,
    sent: Vec<(AttemptId, u64, Timestamp)>,
    marks: Vec<(AppendRequest, Timestamp)>,
    read_at: Timestamp,
    /// Frames seen; a second one is dropped.
    seen: Vec<(u64, usize)>,
}

impl Side {
    fn start(name: &str, incarnation: u64) -> Self {
        let limits = ClaimLimits {
            window: Duration::from_secs(3_600),
            claim_timeout: CLAIM_TIMEOUT,
            outcome_body_bytes: 8,
            retention: Duration::from_secs(600),
        };
        Self {
            incarnation,
            claims: ClaimLog::new(process(name, incarnation), limits),
            waiting: Vec::new(),
            sent: Vec::new(),
            marks: Vec::new(),
            read_at: Timestamp::default(),
            seen: Vec::new(),
        }
    }
}

/// The caller's two calls under one key: the second is made once the first is answered.
struct Call {
    asked: Vec<(usize, Timestamp)>,
    /// Whether an attempt without an answer may have reached a target.
    unsure: bool,
    answer: Option<ExecutionState>,
}

struct World {
    naive: Naive,
    entry: Vec<Call>,
    sides: [Side; 2],
    log: Vec<AppendRequest>,
    executions: Vec<AttemptId>,
    not_run: Vec<AttemptId>,
    /// Call of each attempt.
    attempts: Vec<(AttemptId, u64)>,
}

fn key() -> ClaimKey {
    ClaimKey { customer: "chapel".into(), route: "pay".into(), key_sha256: [7; 32] }
}

const NAMES: [&str; 2] = ["side-a", "side-b"];

impl World {
    fn new(naive: Naive) -> Self {
        Self {
            naive,
            entry: Vec::new(),
            sides: [Side::start(NAMES[0], 1), Side::start(NAMES[1], 1)],
            log: Vec::new(),
            executions: Vec::new(),
            not_run: Vec::new(),
            attempts: Vec::new(),
        }
    }

    fn answer(
        &mut self,
        side: usize,
        call: u64,
        ran: ExecutionState,
        attempt: Option<AttemptId>,
        network: &mut Network<Message>,
    ) {
        if ran == ExecutionState::NotRun
            && let Some(attempt) = &attempt
        {
            self.not_run.push(attempt.clone());
        }
        network.send(SIDES[side], ENTRY, "answer", Message::Answer { call, ran });
    }

    fn known(
        &mut self,
        side: usize,
        call: u64,
        answer: &PriorOutcome,
        network: &mut Network<Message>,
    ) {
        let ran = match answer {
            PriorOutcome::Ran(_) => ExecutionState::Ran,
            PriorOutcome::Unknown => ExecutionState::Unknown,
            PriorOutcome::Mismatch => ExecutionState::NotRun,
        };
        self.answer(side, call, ran, None, network);
    }

    fn append_mark(&mut self, side: usize, append: AppendRequest, network: &mut Network<Message>) {
        network.send(SIDES[side], LOG, "append mark", Message::Append(append.clone()));
        self.sides[side].marks.push((append, network.now()));
    }

    fn execute(&mut self, side: usize, attempt: AttemptId, network: &mut Network<Message>) {
        let at = self.sides[side].waiting.iter().position(|(waiting, _)| *waiting == attempt);
        let Some(at) = at else { return };
        let (attempt, call) = self.sides[side].waiting.remove(at);
        if network.is_dead(TARGET) {
            // The connection is refused, so nothing was sent.
            if let Some(append) = self.sides[side].claims.release(&attempt) {
                self.append_mark(side, append, network);
            }
            self.answer(side, call, ExecutionState::NotRun, Some(attempt), network);
            return;
        }
        self.sides[side].sent.push((attempt.clone(), call, network.now()));
        network.send(SIDES[side], TARGET, "run", Message::Run { attempt });
    }

    fn settle(
        &mut self,
        side: usize,
        settlements: Vec<Settlement>,
        network: &mut Network<Message>,
    ) {
        for Settlement { attempt, result } in settlements {
            if let SettlementResult::Late(append) = result {
                self.append_mark(side, append, network);
                continue;
            }
            if result == SettlementResult::Run {
                self.execute(side, attempt, network);
                continue;
            }
            let own = &mut self.sides[side].waiting;
            let Some(at) = own.iter().position(|(waiting, _)| *waiting == attempt) else {
                continue;
            };
            let (attempt, call) = own.remove(at);
            match result {
                SettlementResult::Lost(answer) => self.known(side, call, &answer, network),
                _ => self.answer(side, call, ExecutionState::NotRun, Some(attempt), network),
            }
        }
    }

    fn forward(&mut self, side: usize, call: u64, network: &mut Network<Message>) {
        let now = network.now();
        match self.sides[side].claims.begin(key(), Fingerprint([1; 32]), now, UNIX_MS) {
            BeginResult::Known(answer) => self.known(side, call, &answer, network),
            BeginResult::NotReady => self.answer(side, call, ExecutionState::NotRun, None, network),
            BeginResult::Append { attempt, claim } => {
                self.attempts.push((attempt.clone(), call));
                self.sides[side].waiting.push((attempt, call));
                network.send(SIDES[side], LOG, "append claim", Message::Append(claim));
            }
        }
    }

    fn ask(&mut self, call: usize, network: &mut Network<Message>) {
        // Turns between the sides, and begins the second call at the other one.
        let side = (call + self.entry[call].asked.len()) % 2;
        self.entry[call].asked.push((side, network.now()));
        let (ask, incarnation) = (self.entry[call].asked.len(), self.sides[side].incarnation);
        let message = Message::Forward { call: call as u64, ask, incarnation };
        network.send(ENTRY, SIDES[side], "forward", message);
    }
}

impl Protocol for World {
    type Message = Message;

    fn timing(&self) -> Timing {
        Timing {
            tick: Duration::from_millis(2),
            latency: Duration::from_millis(2),
            delay: ANSWER_TIMEOUT * 2,
            outage: Duration::from_millis(200),
            horizon: Duration::from_secs(6),
        }
    }

    fn regions(&self) -> Vec<u8> {
        vec![0, 0, 1, 0, 0]
    }

    fn log(&self) -> Option<usize> {
        Some(LOG)
    }

    fn applies(&self, kind: &'static str, fault: Fault) -> bool {
        // One HTTP request and its answer on one connection are neither repeated nor overtaken.
        let http = kind == "run" || kind == "target answer";
        !http || !matches!(fault, Fault::Duplicated | Fault::Reordered)
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        network: &mut Network<Message>,
    ) {
        let now = network.now();
        match message {
            Message::Forward { call, ask, incarnation } => {
                let side = &mut self.sides[to - 1];
                if side.incarnation == incarnation && !side.seen.contains(&(call, ask)) {
                    side.seen.push((call, ask));
                    self.forward(to - 1, call, network);
                }
            }
            Message::Answer { call, ran } => {
                let Some(call) = self.entry.get_mut(call as usize) else { return };
                if call.answer.is_none() {
                    let unsure = call.unsure || call.asked.len() > 1;
                    let ran = if ran == ExecutionState::NotRun && unsure {
                        ExecutionState::Unknown
                    } else {
                        ran
                    };
                    call.answer = Some(ran);
                }
            }
            Message::Append(append) => {
                let (id, stored) = (append.id.to_string(), !network.log_down());
                if stored {
                    self.log.push(append);
                }
                network.send(LOG, from, "stored", Message::Stored { id, stored });
            }
            Message::Stored { id, stored } => {
                let side = to - 1;
                if stored {
                    self.sides[side].marks.retain(|(append, _)| append.id != id);
                }
                let name =
                    |attempt: &AttemptId| format!("claim#{}#{}", attempt.process, attempt.number);
                let at = self.sides[side].waiting.iter().find(|(a, _)| name(a) == id).cloned();
                let Some((attempt, call)) = at else { return };
                if stored && self.naive.runs_unread {
                    self.execute(side, attempt, network);
                } else if !stored {
                    self.sides[side].waiting.retain(|(waiting, _)| *waiting != attempt);
                    self.sides[side].claims.abandon(&attempt);
                    self.answer(side, call, ExecutionState::NotRun, Some(attempt), network);
                }
            }
            Message::Read { from: first } => {
                if !network.log_down() {
                    let records = self.log.iter().skip(first as usize - 1);
                    let records = records.map(|append| append.payload.clone()).collect();
                    network.send(LOG, from, "records", Message::Records { from: first, records });
                }
            }
            Message::Records { from: first, records } => {
                for (offset, payload) in (first..).zip(records) {
                    let claims = &mut self.sides[to - 1].claims;
                    let settlements = claims.apply(Offset(offset), &payload, now);
                    self.settle(to - 1, settlements, network);
                }
            }
            Message::Run { attempt } => {
                self.executions.push(attempt.clone());
                network.send(TARGET, from, "target answer", Message::Ran { attempt });
            }
            Message::Ran { attempt } => {
                let sent = &mut self.sides[to - 1].sent;
                let Some(at) = sent.iter().position(|(sent, ..)| *sent == attempt) else { return };
                let (attempt, call, _) = sent.remove(at);
                let outcome = StoredOutcome {
                    status: 200,
                    headers: Vec::new(),
                    body: Some(b"paid".to_vec()),
                };
                if let Some(append) = self.sides[to - 1].claims.finish(&attempt, outcome) {
                    self.append_mark(to - 1, append, network);
                }
                self.answer(to - 1, call, ExecutionState::Ran, Some(attempt), network);
            }
        }
    }

    fn tick(&mut self, node: usize, network: &mut Network<Message>) {
        let now = network.now();
        if node == ENTRY {
            // The caller repeats its call under the same key once it has an answer.
            if self.entry.is_empty() || (self.entry.len() == 1 && self.entry[0].answer.is_some()) {
                self.entry.push(Call { asked: Vec::new(), unsure: false, answer: None });
                let call = self.entry.len() - 1;
                self.ask(call, network);
            }
            for call in 0..self.entry.len() {
                let open = self.entry[call].answer.is_none();
                let last = self.entry[call].asked.last().map(|(_, at)| *at);
                if open && last.is_some_and(|at| now.since(at) >= ANSWER_TIMEOUT * 2) {
                    self.entry[call].unsure = true;
                    if self.naive.guesses_not_run {
                        self.entry[call].answer = Some(ExecutionState::NotRun);
                    } else {
                        self.ask(call, network);
                    }
                }
            }
        }
        let Some(side) = SIDES.iter().position(|side| *side == node) else { return };
        let late = self.sides[side].claims.expire_pending(now);
        self.settle(side, late, network);
        let lost: Vec<_> = self.sides[side]
            .sent
            .extract_if(.., |(.., at)| now.since(*at) >= ANSWER_TIMEOUT)
            .collect();
        for (attempt, call, _) in lost {
            self.sides[side].claims.note_unknown_outcome(&attempt);
            self.answer(side, call, ExecutionState::Unknown, None, network);
        }
        if now.since(self.sides[side].read_at) >= RESEND {
            self.sides[side].read_at = now;
            let from = self.sides[side].claims.position().0 + 1;
            network.send(node, LOG, "read", Message::Read { from });
        }
        for nth in 0..self.sides[side].marks.len() {
            if now.since(self.sides[side].marks[nth].1) >= RESEND * 2 {
                self.sides[side].marks[nth].1 = now;
                let append = self.sides[side].marks[nth].0.clone();
                network.send(node, LOG, "append mark", Message::Append(append));
            }
        }
    }

    fn die(&mut self, node: usize, _: Timestamp) {
        if node == ENTRY {
            // Its callers' connections break; they repeat at another entry, which is this one here.
            for call in &mut self.entry {
                if call.answer.is_none() {
                    call.answer = Some(ExecutionState::Unknown);
                }
            }
        }
    }

    fn restart(&mut self, node: usize, _: Timestamp) {
        if let Some(side) = SIDES.iter().position(|side| *side == node) {
            self.sides[side] = Side::start(NAMES[side], self.sides[side].incarnation + 1);
        }
    }

    fn check(&mut self, _: &Network<Message>) -> Result<(), String> {
        if self.executions.len() > 1 {
            return Err(format!("I9: the call ran {} times", self.executions.len()));
        }
        if let Some(attempt) = self.executions.iter().find(|ran| self.not_run.contains(ran)) {
            return Err(format!("I8: {attempt:?} was told not_run and ran"));
        }
        for (call, number) in self.entry.iter().zip(0..) {
            let of_call = |ran: &AttemptId| self.attempts.contains(&(ran.clone(), number));
            if call.answer == Some(ExecutionState::NotRun) && self.executions.iter().any(of_call) {
                return Err(format!("I8: call {number} was told not_run and ran"));
            }
        }
        let ran = self.entry.iter().any(|call| call.answer == Some(ExecutionState::Ran));
        if ran && self.executions.is_empty() {
            return Err("I8: the caller was told ran and nothing ran".into());
        }
        Ok(())
    }

    fn finished(&self) -> bool {
        self.entry.len() == 2
            && self.entry.iter().all(|call| call.answer.is_some())
            && self.sides.iter().all(|side| side.waiting.is_empty() && side.marks.is_empty())
    }
}

/// Guards against a second execution and against a false `not_run`, whatever fails at whichever step.
#[test]
fn a_call_runs_at_most_once_under_every_fault() {
    let matrix = enumerate(|| World::new(Naive::default()), 2);
    report("At-most-once call", &matrix, 178, 14_320);
}

/// Guards against a check of I9 that cannot fail.
#[test]
fn check_catches_a_claim_that_runs_without_reading_back() {
    let naive = Naive { runs_unread: true, ..Naive::default() };
    red_run("claim that runs unread", || World::new(naive), "I9");
}

/// Guards against a check of I8 that cannot fail.
#[test]
fn check_catches_a_guessed_not_run() {
    let naive = Naive { guesses_not_run: true, ..Naive::default() };
    red_run("guessed not_run", || World::new(naive), "I8");
}
