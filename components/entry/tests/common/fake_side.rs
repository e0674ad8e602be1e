//! Side process with a script, spoken to by the real protocol.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ExecutionState, Incarnation, Offset, ProcessId, ProcessName, Role};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wire::{
    CopyState, FinishReason, FleetSecret, ForwardDown, ForwardHead, ForwardUp, FrameReceiver,
    FrameSender, GenerateEvent, GenerateFrame, GenerateRequest, Header, Heartbeat, Incoming,
    LogView, ModelCopy, PeerCall, PeerIdentity, PeerPool, PeerReply, RefuseReason, SuggestOutcome,
    Suggestion, TargetKind, TargetReport, serve_connection,
};

use super::SECRET;

/// What the side process does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Answers whole.
    Answer,
    /// Sends this many tokens, then ends the stream without a last frame.
    Truncate(u64),
    /// Sends two tokens, then one with a gap before it.
    Gap,
    /// Ends with a count that is larger than what was sent.
    ShortCount,
    /// Sends frames of another request and of another attempt among its own, and its own twice.
    Mixed,
    /// Refuses.
    Refuse(RefuseReason),
    /// Says that it failed.
    Fail(ExecutionState),
    /// Takes the request and resets the stream.
    Reset,
    /// Sends tokens without end, one each millisecond.
    Endless,
    /// Answers whole with this many tokens, one each 10 ms.
    Slow(u64),
    /// Sends nothing.
    Hang,
    /// Sends the head of an answer and half of its body, then ends the stream (plain services).
    HalfBody,
    /// The same without a length in the head.
    HalfChunked,
    /// Answers whole, in two parts with 250 ms before each (plain services).
    SlowBody,
}

#[derive(Default)]
struct State {
    acts: Script,
    generations: Vec<GenerateRequest>,
    calls: Vec<(ForwardHead, Vec<u8>)>,
    suggestions: Vec<(ProcessName, Suggestion)>,
    cancelled: u32,
    draining: bool,
}

/// What the next requests meet, at whichever side process they arrive; later ones are answered.
pub type Script = Rc<RefCell<VecDeque<Act>>>;

/// Entry processes that side processes send heartbeats to.
pub type Addresses = Rc<RefCell<Vec<SocketAddr>>>;

/// A running side process.
pub struct FakeSide {
    target: String,
    state: Rc<RefCell<State>>,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeSide {
    /// Starts the side process of a target; engines start with `e`, plain services with another
    /// letter.
    pub async fn start(target: &str, entries: Addresses, acts: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(State { acts, ..State::default() }));
        let process = ProcessId {
            name: ProcessName::new(&format!("side-{target}")),
            incarnation: Incarnation(1),
        };
        let identity = PeerIdentity { process, role: Some(Role::Side) };
        let secret = FleetSecret::new(SECRET.as_bytes());
        let beats = tokio::task::spawn_local({
            let (state, identity, secret) = (state.clone(), identity.clone(), secret.clone());
            let target = target.to_owned();
            async move {
                let pool = PeerPool::new(identity.clone(), secret, Duration::from_secs(1));
                loop {
                    let heartbeat = heartbeat(&identity, address, &target, state.borrow().draining);
                    let call = PeerCall::Heartbeat(Box::new(heartbeat));
                    let entries = entries.borrow().clone();
                    for entry in entries {
                        let _answered = pool.call(entry, &call, Duration::from_secs(1)).await;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        });
        let (sender, mut incoming) = mpsc::channel(64);
        let accept = tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (identity, secret, sender) = (identity.clone(), secret.clone(), sender.clone());
                tokio::task::spawn_local(async move {
                    let _ended = serve_connection(socket, &identity, &secret, sender).await;
                });
            }
        });
        let serve = tokio::task::spawn_local({
            let state = state.clone();
            async move {
                while let Some(item) = incoming.recv().await {
                    let state = state.clone();
                    match item {
                        Incoming::Generate { request, sender, .. } => {
                            tokio::task::spawn_local(generate(state, request, sender));
                        }
                        Incoming::Forward { head, body, sender, .. } => {
                            tokio::task::spawn_local(forward(state, head, body, sender));
                        }
                        Incoming::Call { peer, call: PeerCall::Suggest(suggestion), responder } => {
                            state.borrow_mut().suggestions.push((peer.process.name, suggestion));
                            responder.reply(PeerReply::Suggest(SuggestOutcome::Accepted));
                        }
                        Incoming::Call { .. } => {}
                    }
                }
            }
        });
        Self { target: target.to_owned(), state, tasks: vec![beats, accept, serve] }
    }

    /// Name of the target.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// A side process that sends heartbeats and accepts nothing.
    pub async fn start_unreachable(target: &str, entries: Addresses) -> Self {
        let side = Self::start(target, entries, Script::default()).await;
        side.tasks[1].abort();
        tokio::task::yield_now().await;
        side
    }

    /// Generations received.
    pub fn generations(&self) -> Vec<GenerateRequest> {
        self.state.borrow().generations.clone()
    }

    /// Calls received, with their bodies as far as they came.
    pub fn calls(&self) -> Vec<(ForwardHead, Vec<u8>)> {
        self.state.borrow().calls.clone()
    }

    /// Suggestions received, with the entry that made them.
    pub fn suggestions(&self) -> Vec<(ProcessName, Suggestion)> {
        self.state.borrow().suggestions.clone()
    }

    /// Generations that were cancelled by the entry.
    pub fn cancelled(&self) -> u32 {
        self.state.borrow().cancelled
    }

    /// Says in the next heartbeats that it drains.
    pub fn drain(&self) {
        self.state.borrow_mut().draining = true;
    }

    /// Falls silent, with its port open: what a paused process looks like.
    pub fn pause(&mut self) {
        for task in [0, 2] {
            self.tasks[task].abort();
        }
    }
}

fn heartbeat(
    identity: &PeerIdentity,
    address: SocketAddr,
    target: &str,
    draining: bool,
) -> Heartbeat {
    let engine = target.starts_with('e');
    let copy = ModelCopy { model: "m".into(), state: CopyState::Resident };
    Heartbeat {
        from: identity.process.clone(),
        role: Role::Side,
        region: "north".into(),
        data_centre: "dc-a".into(),
        address,
        config_offset: Offset(0),
        log: LogView::default(),
        draining,
        target: Some(TargetReport {
            target: target.into(),
            service: if engine { "engines" } else { "shop" }.into(),
            kind: if engine { TargetKind::Engine } else { TargetKind::Plain },
            healthy: true,
            quarantined: false,
            models: if engine { vec![copy] } else { Vec::new() },
            adapters: Vec::new(),
            capacity_mb: 1000,
            used_mb: 100,
            queued_tokens: 0,
            running: 0,
            batch: 16,
            tokens_per_s: 1000,
            sample_age_ms: 0,
        }),
        demand: Vec::new(),
    }
}

/// Text of a token.
pub fn token(index: u64) -> String {
    format!("t{index} ")
}

/// Text of a whole answer.
pub fn answer_text(tokens: u64) -> String {
    (0..tokens).map(token).collect()
}

fn next_act(state: &RefCell<State>) -> Act {
    state.borrow().acts.borrow_mut().pop_front().unwrap_or(Act::Answer)
}

async fn generate(
    state: Rc<RefCell<State>>,
    request: GenerateRequest,
    mut sender: FrameSender<GenerateEvent>,
) {
    let act = next_act(&state);
    state.borrow_mut().generations.push(request.clone());
    let event =
        |frame| GenerateEvent { request_id: request.request_id, attempt: request.attempt, frame };
    let word = |index| GenerateFrame::Token { index, count: 1, text: token(index) };
    let first = request.resume.as_ref().map_or(0, |resume| resume.delivered_tokens);
    let total = request.max_output_tokens;
    let finished = |output_tokens| GenerateFrame::Finished {
        reason: FinishReason::Length,
        prompt_tokens: 2,
        output_tokens,
    };
    let mut frames = vec![event(GenerateFrame::Started { queue_wait_ms: 1 })];
    match act {
        Act::Answer => {
            frames.extend((first..total).map(|index| event(word(index))));
            frames.push(event(finished(total)));
        }
        Act::Truncate(tokens) => {
            frames.extend((first..first + tokens).map(|index| event(word(index))));
        }
        Act::Gap => frames.extend([first, first + 1, first + 3].map(|index| event(word(index)))),
        Act::ShortCount => {
            frames.extend((first..total - 1).map(|index| event(word(index))));
            frames.push(event(finished(total)));
        }
        Act::Mixed => {
            for index in first..total {
                let other = GenerateFrame::Token { index, count: 1, text: "other ".to_owned() };
                let id = wire::RequestId(request.request_id.0 ^ 1);
                frames.push(GenerateEvent { request_id: id, ..event(other.clone()) });
                frames.push(GenerateEvent { attempt: request.attempt + 1, ..event(other) });
                frames.extend([event(word(index)), event(word(index))]);
            }
            frames.push(event(finished(total)));
        }
        Act::Refuse(reason) => {
            frames = vec![event(GenerateFrame::Refused { reason, retry_after_ms: Some(1_500) })];
        }
        Act::Fail(ran) => frames.push(event(GenerateFrame::Failed { ran })),
        Act::Reset | Act::HalfBody | Act::HalfChunked | Act::SlowBody => return,
        Act::Hang => {
            sender.closed().await;
            state.borrow_mut().cancelled += 1;
            return;
        }
        Act::Slow(tokens) => {
            for index in first..tokens {
                if sender.send(&event(word(index))).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            frames = vec![event(finished(tokens))];
        }
        Act::Endless => {
            for index in first.. {
                if sender.send(&event(word(index))).await.is_err() {
                    state.borrow_mut().cancelled += 1;
                    return;
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
    for frame in frames {
        if sender.send(&frame).await.is_err() {
            return;
        }
    }
    let _finished = sender.finish();
}

async fn forward(
    state: Rc<RefCell<State>>,
    head: ForwardHead,
    mut body: FrameReceiver<ForwardUp>,
    mut sender: FrameSender<ForwardDown>,
) {
    let act = next_act(&state);
    state.borrow_mut().calls.push((head.clone(), Vec::new()));
    let at = state.borrow().calls.len() - 1;
    if let Act::Refuse(reason) = act {
        let _sent = sender.send(&ForwardDown::Refused { reason, retry_after_ms: None }).await;
        let _finished = sender.finish();
        return;
    }
    while let Ok(Some(frame)) = body.next().await {
        match frame {
            ForwardUp::Data(bytes) => state.borrow_mut().calls[at].1.extend(bytes),
            ForwardUp::End => break,
            ForwardUp::Head(_) => return,
        }
    }
    let echoed = state.borrow().calls[at].1.clone();
    let mut headers = vec![
        Header { name: "x-target".into(), value: b"yes".to_vec() },
        Header { name: "content-length".into(), value: echoed.len().to_string().into_bytes() },
    ];
    if matches!(act, Act::HalfChunked) {
        headers.truncate(1);
    }
    let (request_id, attempt) = (head.request_id, head.attempt);
    let answer = ForwardDown::Head { request_id, attempt, status: 201, headers, replayed: false };
    let frames = match act {
        Act::Reset => return,
        Act::Hang => {
            sender.closed().await;
            return;
        }
        Act::Fail(ran) => vec![ForwardDown::Failed { ran }],
        Act::HalfBody | Act::HalfChunked => {
            vec![answer, ForwardDown::Data(echoed[..echoed.len() / 2].to_vec())]
        }
        Act::SlowBody => {
            let (first, second) = echoed.split_at(echoed.len() / 2);
            let parts = [first, second].map(|part| ForwardDown::Data(part.to_vec()));
            [answer].into_iter().chain(parts).chain([ForwardDown::End]).collect()
        }
        Act::Mixed => {
            let attempt = attempt + 1;
            vec![ForwardDown::Head {
                request_id,
                attempt,
                status: 200,
                headers: Vec::new(),
                replayed: false,
            }]
        }
        _ => {
            let parts = echoed.chunks(100_000).map(|part| ForwardDown::Data(part.to_vec()));
            [answer].into_iter().chain(parts).chain([ForwardDown::End]).collect()
        }
    };
    for frame in frames {
        if matches!((act, &frame), (Act::SlowBody, ForwardDown::Data(_))) {
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        if sender.send(&frame).await.is_err() {
            return;
        }
    }
    // Without a reset, since that may overtake what was sent before it.
    let _finished = sender.finish();
}
