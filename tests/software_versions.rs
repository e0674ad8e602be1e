//! Streams of a service whose targets run two versions of their software.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use platform::header_names::{LAST_EVENT_ID, RESPONSE_SIGNATURE};
use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, DeploymentSpec, RouteKind,
    RouteSpec,
};
use rustix::process::Signal;
use standin::Service;
use support::{
    CUSTOMER_KEY, EngineMachine, HOST, PeerGateway, PlainGateway, header_value, id_line,
    plain_route, read_head, start_target,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Events of a complete stream.
const EVENTS: u64 = 4;
/// Events before a stream breaks off.
const BEFORE_BREAK: u64 = 2;
/// Time without a read after which the list of targets says nothing of the versions in service, and more.
const STALE_TIME: Duration = Duration::from_millis(2_500);
/// Time in which a gateway hears of an agent that starts, and tells it of streams.
const HEARD_TIME: Duration = Duration::from_millis(1_000);
/// Time in which a gateway reads the list and writes what it has seen to the store.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// A target of event streams whose events name its version.
#[derive(Clone)]
struct VersionedTarget {
    version: &'static str,
    /// Whether it breaks off each stream that begins there.
    breaks: Arc<Mutex<bool>>,
    /// Time that passes before it does.
    breaks_after: Duration,
    requests: Arc<Mutex<usize>>,
}

impl VersionedTarget {
    fn new(version: &'static str, breaks: bool) -> Self {
        Self {
            version,
            breaks: Arc::new(Mutex::new(breaks)),
            breaks_after: Duration::ZERO,
            requests: Arc::default(),
        }
    }

    async fn start(&self) -> SocketAddr {
        let target = self.clone();
        start_target(move |socket| target.clone().serve(socket)).await
    }

    async fn serve(self, mut socket: TcpStream) {
        while let Some(head) = read_head(&mut socket).await {
            *self.requests.lock().unwrap() += 1;
            let from: Option<u64> =
                header_value(&head, LAST_EVENT_ID.as_str()).map(|id| id.parse().unwrap());
            let breaks = from.is_none() && *self.breaks.lock().unwrap();
            let last = if breaks { BEFORE_BREAK } else { EVENTS };
            let body: String = (from.unwrap_or_default() + 1..=last)
                .map(|id| format!("id: {id}\ndata: {}\n\n", self.version))
                .collect();
            let response = format!(
                "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-type: text/event-stream\r\n\
                 content-length: {}\r\n\r\n{body}",
                id_line(&head),
                body.len() + usize::from(breaks)
            );
            if socket.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            if breaks {
                sleep(self.breaks_after).await;
                return;
            }
        }
    }
}

fn route() -> RouteSpec {
    RouteSpec { attempts: 3, ..plain_route("lines", RouteKind::ResumableStream) }
}

/// A gateway that knows these targets with their versions.
async fn gateway(targets: &[&VersionedTarget]) -> PlainGateway {
    let mut addresses = Vec::new();
    for target in targets {
        addresses.push(target.start().await);
    }
    let mut gateway = PlainGateway::start(route(), &addresses).await;
    for (number, (target, address)) in (1..).zip(targets.iter().zip(addresses)) {
        gateway.announce_version(number, address, target.version);
    }
    // The new process knows only these entries.
    gateway.restart().await;
    gateway
}

async fn call(gateway: &PlainGateway, id: &str, after: Option<(&str, u64)>) -> CallerResponse {
    call_at(gateway.callers, id, after).await
}

async fn call_at(callers: SocketAddr, id: &str, after: Option<(&str, u64)>) -> CallerResponse {
    let deadline = Duration::from_secs(4);
    let mut connection = CallerConnection::open(callers, deadline).await.unwrap();
    let request = CallerRequest {
        id: id.into(),
        host: HOST.into(),
        path: "/lines/1".into(),
        key: CUSTOMER_KEY.into(),
        deadline,
        kind: CallerKind::Read,
        after_event: after.map(|(_, event)| event),
        resumes: after.map(|(attempt, _)| CompactString::new(attempt)),
    };
    connection.call(&request).await
}

/// Versions whose events are in a response.
fn versions(response: &CallerResponse) -> Vec<&'static str> {
    let body = String::from_utf8_lossy(&response.body).into_owned();
    ["v1", "v2"].into_iter().filter(|version| body.contains(version)).collect()
}

/// Guards against a stream that breaks off at one version and goes on at another one in the same
/// response.
#[tokio::test]
async fn no_response_holds_events_of_two_versions() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, true));
    let gateway = gateway(&[&old, &new]).await;
    for number in 0..4 {
        let response = call(&gateway, &format!("request-{number}"), None).await;
        assert_eq!(versions(&response).len(), 1, "{response:?}");
        assert!(!response.is_complete, "no other target runs the version: {response:?}");
    }
}

/// Guards against a caller that takes its stream up and gets the rest from another version than the one
/// that began it.
#[tokio::test]
async fn a_taken_up_stream_goes_on_at_the_version_that_began_it() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, true));
    let gateway = gateway(&[&old, &new]).await;
    for number in 0..8 {
        let id = format!("request-{number}");
        let begun = versions(&call(&gateway, &id, None).await);
        let resumed = call(&gateway, &format!("again-{number}"), Some((&id, BEFORE_BREAK))).await;
        assert_eq!(versions(&resumed), begun, "{resumed:?}");
        assert!(resumed.is_complete, "a target of the version serves: {resumed:?}");
    }
}

/// Guards against a guess: a gateway that can't know which version began a stream, with two in service,
/// must say that the request has not run.
#[tokio::test]
async fn a_stream_of_an_unknown_version_is_refused_while_two_serve() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let gateway = gateway(&[&old, &new]).await;
    for after in [("not-known-1", 2), ("not-known-2", 2), ("not-known-3", 3)] {
        let response = call(&gateway, after.0, Some(after)).await;
        assert!(response.guarantees_not_run(), "{response:?}");
    }
    assert_eq!((*old.requests.lock().unwrap(), *new.requests.lock().unwrap()), (0, 0));
}

/// Guards against take-ups that are refused although only one version can have begun their streams.
#[tokio::test]
async fn a_stream_is_taken_up_while_one_version_serves() {
    let targets = [VersionedTarget::new("v1", false), VersionedTarget::new("v1", false)];
    let gateway = gateway(&[&targets[0], &targets[1]]).await;
    let response = call(&gateway, "again", Some(("begun-elsewhere", BEFORE_BREAK))).await;
    assert_eq!(versions(&response), ["v1"]);
    assert!(response.is_complete, "{response:?}");
}

/// Takes a stream up that the gateway knows nothing of.
async fn take_up_unknown(callers: SocketAddr, id: &str) -> CallerResponse {
    call_at(callers, id, Some((&format!("begun-elsewhere-{id}"), BEFORE_BREAK))).await
}

/// Replaces the target of the former version while the gateway doesn't run, and starts it again.
async fn replace_target_while_down(gateway: &mut PlainGateway, new: &VersionedTarget) {
    gateway.process.kill().await;
    gateway.remove_target(1);
    gateway.announce_version(2, new.start().await, new.version);
    gateway.restart().await;
}

/// Guards against gateways that were all killed while the targets of a service were replaced, and take
/// the version that they find for the only one that can have begun a stream.
#[tokio::test]
async fn gateways_that_were_killed_in_a_release_know_the_former_version() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let mut gateway = gateway(&[&old]).await;
    sleep(SETTLE_TIME).await;
    replace_target_while_down(&mut gateway, &new).await;
    sleep(SETTLE_TIME).await;
    let response = take_up_unknown(gateway.callers, "again").await;
    assert!(response.guarantees_not_run(), "{response:?}");
    assert_eq!(*new.requests.lock().unwrap(), 0);
}

/// Guards against a register of versions that a store lacks after it came back from an older copy.
#[tokio::test]
async fn versions_in_service_are_registered_again_on_a_restored_store() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let mut gateway = gateway(&[&old]).await;
    sleep(SETTLE_TIME).await;
    let copy = gateway.store().copy();
    gateway.store().restore(copy.without_topic(DeploymentSpec::SOFTWARE));
    sleep(SETTLE_TIME * 2).await;
    replace_target_while_down(&mut gateway, &new).await;
    sleep(SETTLE_TIME * 2).await;
    let response = take_up_unknown(gateway.callers, "again").await;
    assert!(response.guarantees_not_run(), "{response:?}");
    assert_eq!(*new.requests.lock().unwrap(), 0);
}

/// Guards against a gateway that stood still while a target of a new version joined, and takes the
/// version that it knew before for the only one.
#[tokio::test]
async fn a_gateway_that_stood_still_refuses_streams_that_it_does_not_know() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let gateway = gateway(&[&old]).await;
    sleep(SETTLE_TIME).await;
    let response = take_up_unknown(gateway.callers, "before").await;
    assert_eq!(versions(&response), ["v1"], "one version is known to serve: {response:?}");
    gateway.process.signal(Signal::STOP);
    gateway.announce_version(2, new.start().await, new.version);
    // The kernel takes the request, which the gateway finds when it wakes.
    let waiting = tokio::spawn(take_up_unknown(gateway.callers, "again"));
    sleep(STALE_TIME).await;
    gateway.process.signal(Signal::CONT);
    let response = waiting.await.unwrap();
    assert!(response.guarantees_not_run(), "{response:?}");
}

/// Guards against a view of the list that is fresh but older than the stream: a version joined and began a
/// stream since the last read, and the stream goes on at the former version.
#[tokio::test]
async fn a_version_that_joined_since_the_last_read_of_the_list_is_not_missed() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let gateway = gateway(&[&old]).await;
    sleep(SETTLE_TIME).await;
    let new = new.start().await;
    for number in 0..5 {
        let response = take_up_unknown(gateway.callers, &format!("before-{number}")).await;
        assert_eq!(versions(&response), ["v1"], "one version is known to serve: {response:?}");
    }
    gateway.announce_version(2, new, "v2");
    // Any stream that the gateway does not know may be one of the new version by now.
    let response = take_up_unknown(gateway.callers, "again").await;
    assert!(response.guarantees_not_run(), "{response:?}");
}

/// Guards against a version whose only target enters the list and leaves it between two reads, at the gateway that
/// reads and at one that it tells: a stream that began there goes on at the former version.
#[tokio::test]
async fn a_version_that_came_and_went_between_two_reads_is_not_missed() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let first = gateway(&[&old]).await;
    let second = PeerGateway::start(&first, first.store_address()).await;
    sleep(SETTLE_TIME * 2).await;
    first.announce_version(2, new.start().await, "v2");
    first.remove_target(2);
    for callers in [first.callers, second.callers] {
        let response = take_up_unknown(callers, "again").await;
        assert!(response.guarantees_not_run(), "{response:?}");
    }
}

/// Guards against a gateway that has the list from another one: against refusals although it knows the list,
/// and against reports that waited in its queue while it stood still and count as new.
#[tokio::test]
async fn reports_of_the_list_count_from_the_time_that_they_name() {
    let [old, new] = ["v1", "v2"].map(|version| VersionedTarget::new(version, false));
    let first = gateway(&[&old]).await;
    let second = PeerGateway::start(&first, first.store_address()).await;
    sleep(SETTLE_TIME * 2).await;
    for number in 0..10 {
        let response = take_up_unknown(second.callers, &format!("before-{number}")).await;
        assert_eq!(versions(&response), ["v1"], "{response:?}");
        sleep(Duration::from_millis(110)).await;
    }
    second.process.signal(Signal::STOP);
    sleep(Duration::from_millis(200)).await;
    first.announce_version(2, new.start().await, new.version);
    let waiting = tokio::spawn(take_up_unknown(second.callers, "again"));
    sleep(STALE_TIME).await;
    second.process.signal(Signal::CONT);
    let response = waiting.await.unwrap();
    assert!(response.guarantees_not_run(), "{response:?}");
}

/// Guards against a gateway without a way to the store that takes the versions of its last read for all
/// that serve.
#[tokio::test]
async fn a_gateway_without_the_store_refuses_streams_that_it_does_not_know() {
    let old = VersionedTarget::new("v1", false);
    let gateway = gateway(&[&old]).await;
    sleep(SETTLE_TIME).await;
    gateway.store().settings().lock().unwrap().outage = true;
    sleep(STALE_TIME).await;
    let response = take_up_unknown(gateway.callers, "again").await;
    assert!(response.guarantees_not_run(), "{response:?}");
    gateway.store().settings().lock().unwrap().outage = false;
    sleep(SETTLE_TIME).await;
    let response = take_up_unknown(gateway.callers, "later").await;
    assert_eq!(versions(&response), ["v1"], "the list is read again: {response:?}");
}

/// A gateway that knows targets of two versions, and the agents that remember its streams.
async fn gateway_with_agents(breaks_after: Duration) -> (PlainGateway, [EngineMachine; 2]) {
    let targets = ["v1", "v2"]
        .map(|version| VersionedTarget { breaks_after, ..VersionedTarget::new(version, true) });
    let gateway = gateway(&[&targets[0], &targets[1]]).await;
    let machines =
        [EngineMachine::start(&gateway, 1).await, EngineMachine::start(&gateway, 2).await];
    sleep(HEARD_TIME).await;
    (gateway, machines)
}

/// Takes streams up at a gateway that runs anew and knows nothing of them.
async fn assert_taken_up(gateway: &mut PlainGateway, begun: &[(String, CallerResponse)]) {
    gateway.restart().await;
    sleep(HEARD_TIME).await;
    for (id, first) in begun {
        assert_eq!(versions(first).len(), 1, "{first:?}");
        let again = call(gateway, &format!("{id}-again"), Some((id, BEFORE_BREAK))).await;
        assert_eq!(versions(&again), versions(first), "{id}: {again:?}");
    }
}

/// Guards against streams that nobody remembers after the agents were stopped in turn.
#[tokio::test]
async fn agents_that_are_stopped_in_turn_hand_their_streams_on() {
    let (mut gateway, mut machines) = gateway_with_agents(Duration::ZERO).await;
    let mut begun = Vec::new();
    for number in 0..4 {
        let id = format!("request-{number}");
        let response = call(&gateway, &id, None).await;
        begun.push((id, response));
    }
    for machine in &mut machines {
        machine.restart_agent(Signal::TERM).await;
        sleep(HEARD_TIME).await;
    }
    assert_taken_up(&mut gateway, &begun).await;
}

/// Guards against streams that nobody remembers after the agents were killed in turn while they lasted.
#[tokio::test]
async fn agents_that_start_are_told_of_streams_that_last() {
    let (mut gateway, mut machines) = gateway_with_agents(HEARD_TIME * 3).await;
    let callers = gateway.callers;
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let id = format!("request-{number}");
            tokio::spawn(async move { (id.clone(), call_at(callers, &id, None).await) })
        })
        .collect();
    sleep(HEARD_TIME / 4).await;
    for machine in &mut machines {
        machine.restart_agent(Signal::KILL).await;
        sleep(HEARD_TIME).await;
    }
    let mut begun = Vec::new();
    for stream in streams {
        begun.push(stream.await.unwrap());
    }
    assert_taken_up(&mut gateway, &begun).await;
}
