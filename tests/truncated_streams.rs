//! Streams of targets that stop before their last event, and what the caller gets.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::header_names::{LAST_EVENT_ID, RESPONSE_SIGNATURE};
use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, RouteKind, RouteSpec,
};
use support::{CUSTOMER_KEY, HOST, PlainGateway, SERVICE, header_value, read_head};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::sleep;

/// Events of a complete stream.
const EVENTS: u64 = 3;
/// What a caller allows.
const DEADLINE: Duration = Duration::from_secs(5);
/// Pause between two writes, so that they arrive in separate reads.
const WRITE_PAUSE: Duration = Duration::from_millis(20);

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Chunked,
    ConnectionEnd,
}

/// How a run of a target ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The target closes the connection and serves on.
    Close,
    /// The target resets the connection and serves on.
    Reset,
    /// The target closes the connection and its port.
    Exit,
}

/// One run of a target.
#[derive(Clone, Copy, Debug)]
struct Run {
    framing: Framing,
    line_end: &'static str,
    /// Complete events up to this id.
    until: u64,
    /// Bytes of the next event, in writes of their own.
    partial: &'static [&'static str],
    end: End,
}

impl Default for Run {
    fn default() -> Self {
        let framing = Framing::ConnectionEnd;
        Self { framing, line_end: "\n", until: EVENTS, partial: &[], end: End::Close }
    }
}

/// The runs still to come and the number of those that have begun, shared by all targets.
#[derive(Debug, Default)]
struct Script {
    runs: Mutex<VecDeque<Run>>,
    begun: Mutex<u32>,
}

impl Script {
    fn next(&self) -> Run {
        *self.begun.lock().unwrap() += 1;
        self.runs.lock().unwrap().pop_front().unwrap_or_default()
    }
}

fn event(id: u64, line_end: &str) -> String {
    format!("id: {id}{line_end}data: event {id}{line_end}{line_end}")
}

fn chunk(bytes: &str) -> String {
    format!("{:x}\r\n{bytes}\r\n", bytes.len())
}

/// Reads a request and returns the id of the last event that its caller has.
async fn read_request(socket: &mut TcpStream) -> Option<u64> {
    let head = read_head(socket).await?;
    let last_event = header_value(&head, LAST_EVENT_ID.as_str());
    Some(last_event.map_or(0, |value| value.parse().unwrap()))
}

/// Serves one request per connection; a message to `exits` closes the target's port.
async fn serve(mut socket: TcpStream, script: Arc<Script>, exits: UnboundedSender<()>) {
    socket.set_nodelay(true).unwrap();
    let Some(last_event) = read_request(&mut socket).await else { return };
    let run = script.next();
    let framing = match run.framing {
        Framing::Chunked => "transfer-encoding: chunked\r\n",
        Framing::ConnectionEnd => "",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\ncontent-type: text/event-stream\r\n{framing}\r\n"
    );
    let events = (last_event + 1..=run.until).map(|id| event(id, run.line_end));
    let parts = events.chain(run.partial.iter().map(|part| (*part).to_owned()));
    let mut written = socket.write_all(head.as_bytes()).await;
    for part in parts {
        sleep(WRITE_PAUSE).await;
        let bytes = match run.framing {
            Framing::Chunked => chunk(&part),
            Framing::ConnectionEnd => part,
        };
        written = written.and(socket.write_all(bytes.as_bytes()).await);
    }
    if run.framing == Framing::Chunked && run.end == End::Close {
        written = written.and(socket.write_all(b"0\r\n\r\n").await);
    }
    sleep(WRITE_PAUSE).await;
    // The gateway may have closed the connection.
    drop(written);
    match run.end {
        End::Close => {}
        End::Reset => socket.set_zero_linger().unwrap(),
        End::Exit => {
            exits.send(()).unwrap();
            sleep(WRITE_PAUSE).await;
        }
    }
}

async fn target(script: &Arc<Script>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::clone(script);
    tokio::spawn(async move {
        let (sender, mut exits) = unbounded_channel();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = exits.recv() => return,
            };
            let (socket, _) = accepted.unwrap();
            tokio::spawn(serve(socket, Arc::clone(&script), sender.clone()));
        }
    });
    address
}

fn route(attempts: u32) -> RouteSpec {
    RouteSpec {
        name: "lines".into(),
        prefix: "/lines/".into(),
        service: SERVICE.into(),
        kind: RouteKind::ResumableStream,
        attempts,
        timeout_ms: 5_000,
        objective_ms: 1_000,
    }
}

/// Calls a gateway with three targets that answer with these runs, and complete ones after them; returns
/// the response and the number of runs.
async fn call(attempts: u32, runs: &[Run]) -> (CallerResponse, u32) {
    let script = Arc::new(Script { runs: Mutex::new(runs.to_vec().into()), ..Script::default() });
    let targets = [target(&script).await, target(&script).await, target(&script).await];
    let gateway = PlainGateway::start(route(attempts), &targets).await;
    let mut connection = CallerConnection::open(gateway.callers, DEADLINE).await.unwrap();
    let request = CallerRequest {
        id: "request-1".into(),
        host: HOST.into(),
        path: "/lines/1".into(),
        key: CUSTOMER_KEY.into(),
        deadline: DEADLINE,
        kind: CallerKind::Read,
        after_event: None,
        resumes: None,
    };
    let response = connection.call(&request).await;
    gateway.process.wait_for_line("event=request_ended request_id=request-1").await;
    let begun = *script.begun.lock().unwrap();
    (response, begun)
}

/// Asserts that the caller gets the complete stream after these runs and one more.
async fn assert_resumed(runs: &[Run]) {
    let (response, begun) = call(3, runs).await;
    let line_end = runs[0].line_end;
    let complete: String = (1..=EVENTS)
        .map(|id| event(id, if id <= runs[0].until { line_end } else { "\n" }))
        .collect();
    assert_eq!(String::from_utf8_lossy(&response.body), complete, "{runs:?}");
    assert!(response.is_complete, "{runs:?}");
    assert_eq!(begun, runs.len() as u32 + 1, "{runs:?}");
}

/// Guards against a stream whose target breaks off inside an event and that is delivered as complete,
/// because the end of its connection is also the end of its body.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_resumed() {
    assert_resumed(&[Run { until: 2, partial: &["id: 3\nda"], ..Run::default() }]).await;
}

/// Guards against the same if the part of the event arrives in several reads.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_of_several_reads_is_resumed() {
    let partial = &["id: ", "3\n", "data: event 3"];
    assert_resumed(&[Run { until: 2, partial, ..Run::default() }]).await;
}

/// Guards against a cut between the two line ends that end an event, which may be `\r\n`.
#[tokio::test]
async fn a_stream_that_ends_before_the_empty_line_of_an_event_is_resumed() {
    let cut = Run { until: 2, ..Run::default() };
    assert_resumed(&[Run { partial: &["id: 3\ndata: event 3\n"], ..cut }]).await;
    let line_end = "\r\n";
    assert_resumed(&[Run { partial: &["id: 3\r\ndata: event 3\r\n\r"], line_end, ..cut }]).await;
}

/// Guards against an event that is cut inside a body whose last chunk arrives.
#[tokio::test]
async fn a_chunked_stream_that_ends_inside_an_event_is_resumed() {
    let framing = Framing::Chunked;
    assert_resumed(&[Run { framing, until: 1, partial: &["id: 2"], ..Run::default() }]).await;
}

/// Guards against a target that breaks off before its first event.
#[tokio::test]
async fn a_stream_without_events_is_resumed() {
    assert_resumed(&[Run { until: 0, ..Run::default() }]).await;
}

/// Guards against a reset that is taken for the end of the body.
#[tokio::test]
async fn a_stream_that_is_reset_between_two_events_is_resumed() {
    assert_resumed(&[Run { until: 2, end: End::Reset, ..Run::default() }]).await;
}

/// Guards against a target that exits between two events: the kernel closes its connections as after
/// a complete response.
#[tokio::test]
async fn a_stream_that_ends_with_its_target_is_resumed() {
    assert_resumed(&[Run { until: 2, end: End::Exit, ..Run::default() }]).await;
}

/// Guards against a run that resumes a stream, breaks off as well, and is taken for its end.
#[tokio::test]
async fn a_resumed_run_that_breaks_off_is_resumed() {
    let cut = Run { until: 1, partial: &["id: 2"], ..Run::default() };
    assert_resumed(&[cut, Run { until: 1, ..Run::default() }]).await;
    assert_resumed(&[cut, Run { until: 2, partial: &["id"], ..Run::default() }]).await;
}

/// Guards against a truncated stream that its caller takes for complete when no attempt is left.
#[tokio::test]
async fn a_truncated_stream_without_attempts_left_is_not_framed_as_complete() {
    for run in [
        Run { until: 2, partial: &["id: 3"], ..Run::default() },
        Run { until: 0, ..Run::default() },
        Run { until: 2, end: End::Exit, ..Run::default() },
    ] {
        let (response, begun) = call(1, &[run]).await;
        assert!(!response.is_complete, "{run:?}");
        let events: String = (1..=run.until).map(|id| event(id, "\n")).collect();
        assert_eq!(String::from_utf8_lossy(&response.body), events, "{run:?}");
        assert_eq!(begun, 1, "{run:?}");
    }
}

/// Guards against complete streams that are sent to another target only because the end of their
/// connection is the end of their body.
#[tokio::test]
async fn a_complete_stream_that_ends_with_its_connection_is_delivered_once() {
    let (response, begun) = call(3, &[]).await;
    assert!(response.is_complete);
    assert_eq!(response.body.len(), (1..=EVENTS).map(|id| event(id, "\n").len()).sum::<usize>());
    assert_eq!(begun, 1);
}
