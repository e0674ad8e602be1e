//! Reads of the target list that return old records, or not all of them.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use platform::header_names::RESPONSE_SIGNATURE;
use platform_standin::{CallerKind, RouteKind};
use rustix::process::Signal;
use standin::{Link, Service};
use support::{
    PeerGateway, PlainGateway, echo_target, id_line, plain_call_at, plain_route, read_head,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Records of the target before the one that says that it leaves.
const OLD_RECORDS: usize = 40;
/// Most records in a page while the list is read from an old position.
const PAGE_RECORDS: usize = 5;
/// Time within which a gateway must know that a target leaves.
const DRAIN_WITHIN: Duration = Duration::from_millis(2_000);
/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// A target that counts its requests.
async fn counting_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(count_requests(socket, Arc::clone(&counter)));
        }
    });
    (address, count)
}

async fn count_requests(mut socket: TcpStream, count: Arc<AtomicUsize>) {
    while let Some(head) = read_head(&mut socket).await {
        count.fetch_add(1, Ordering::SeqCst);
        let response = format!(
            "HTTP/1.1 200 OK\r\n{RESPONSE_SIGNATURE}: s\r\n{}content-length: 2\r\n\r\nok",
            id_line(&head)
        );
        if socket.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends requests one after the other for `lasting`; returns their number.
async fn call_for(callers: SocketAddr, route: &str, name: &str, lasting: Duration) -> usize {
    let until = Instant::now() + lasting;
    let mut calls = 0;
    while Instant::now() < until {
        let id = format!("{name}-{calls}");
        let path = format!("/{route}/1");
        let response = plain_call_at(callers, &id, &path, CallerKind::Read).await;
        assert_eq!(response.status, Some(200), "{response:?}");
        calls += 1;
        sleep(CALL_INTERVAL).await;
    }
    calls
}

fn limit_pages(gateway: &PlainGateway, delay_ms: u64) {
    let mut settings = gateway.store().settings().lock().unwrap();
    settings.page_records = PAGE_RECORDS;
    settings.delay_ms = delay_ms;
}

/// Guards against a gateway that takes over the reading of the list at an old position and uses a
/// leaving target again because it applies records from before the leaving.
#[tokio::test]
async fn a_leaving_target_is_not_used_again_after_a_read_from_an_old_position() {
    let (leaving, count) = counting_target().await;
    let targets = [leaving, echo_target().await];
    let mut first =
        PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &targets).await;
    let second = PeerGateway::start(&first, first.store_address()).await;
    // The first gateway by name reads the list; the second one has read it only at its start.
    sleep(Duration::from_millis(2_500)).await;
    call_for(second.callers, "reads", "before", Duration::from_millis(500)).await;
    assert!(count.load(Ordering::SeqCst) > 0, "the target is in use before it leaves");
    (0..OLD_RECORDS).for_each(|_| first.announce(1, leaving));
    first.announce_leaving(1, leaving);
    second.process.wait_for_line("state=leaving").await;

    limit_pages(&first, 100);
    first.process.kill().await;
    let known = count.load(Ordering::SeqCst);
    let calls = call_for(second.callers, "reads", "after", Duration::from_millis(3_500)).await;
    let late = count.load(Ordering::SeqCst) - known;
    assert_eq!(late, 0, "of {calls} requests, {late} reached the leaving target");
}

/// Guards against a read that ends before the end of the list and counts as fresh: the rest was read
/// only after the usual interval, page by page, while a leaving target was in use.
#[tokio::test]
async fn a_list_of_many_pages_is_read_to_its_end_at_once() {
    let (leaving, count) = counting_target().await;
    let targets = [leaving, echo_target().await];
    let gateway = PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &targets).await;
    sleep(Duration::from_millis(2_500)).await;
    limit_pages(&gateway, 0);
    (0..OLD_RECORDS).for_each(|_| gateway.announce(1, leaving));
    gateway.announce_leaving(1, leaving);
    sleep(DRAIN_WITHIN).await;
    let known = count.load(Ordering::SeqCst);
    let calls = call_for(gateway.callers, "reads", "after", Duration::from_millis(500)).await;
    let late = count.load(Ordering::SeqCst) - known;
    assert_eq!(late, 0, "of {calls} requests, {late} reached the leaving target");
}

/// Guards against a removed target that a gateway uses again because another one, which has read less of the
/// list, tells it of the target: it has read past the removal and doesn't meet it again.
#[tokio::test]
async fn a_removed_target_does_not_come_back_with_the_news_of_a_gateway_that_has_read_less() {
    let (removed, count) = counting_target().await;
    let kept = echo_target().await;
    let mut first = PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[kept]).await;
    let mut link = Link::start(first.store_address()).await.unwrap();
    first.move_to_store(link.address());
    first.process.wait_for_line("event=settings_reloaded").await;
    sleep(Duration::from_millis(2_500)).await;
    first.announce(2, removed);
    first.process.wait_for_line("event=target_announced target=target-2").await;
    // The news of the target wait in a gateway that does not learn of its removal.
    first.process.signal(Signal::STOP);
    link.refuse().await;
    link.cut();
    first.remove_target(2);
    let wake = async {
        sleep(Duration::from_millis(1_000)).await;
        first.process.signal(Signal::CONT);
    };
    let (second, ()) = tokio::join!(PeerGateway::start(&first, first.store_address()), wake);
    sleep(DRAIN_WITHIN).await;
    let known = count.load(Ordering::SeqCst);
    let calls = call_for(second.callers, "reads", "after", Duration::from_millis(500)).await;
    let late = count.load(Ordering::SeqCst) - known;
    assert_eq!(late, 0, "of {calls} requests, {late} reached the removed target");
}

/// Guards against states of other gateways that waited while this one stood still and count as new: an outage of
/// the store seems over before it is, and targets are dropped before they could register again.
#[tokio::test]
async fn targets_have_time_to_register_again_at_a_gateway_that_stood_still_in_the_outage() {
    let (target, _) = counting_target().await;
    let first = PlainGateway::start(plain_route("reads", RouteKind::Repeatable), &[target]).await;
    let second = PeerGateway::start(&first, first.store_address()).await;
    sleep(Duration::from_millis(2_500)).await;
    second.process.signal(Signal::STOP);
    sleep(Duration::from_millis(200)).await;
    first.store().settings().lock().unwrap().outage = true;
    sleep(Duration::from_millis(3_000)).await;
    second.process.signal(Signal::CONT);
    sleep(Duration::from_millis(900)).await;
    // The entry has expired; its target has 2 s to register again.
    first.remove_target(1);
    first.store().settings().lock().unwrap().outage = false;
    sleep(Duration::from_millis(1_700)).await;
    for process in [&first.process, &second.process] {
        let log = process.log();
        assert!(log.iter().any(|line| line.contains("event=targets_missing")));
        assert!(!log.iter().any(|line| line.contains("event=target_gone")));
    }
}

/// Guards against entries that a gateway holds back for all others because the store turned it alone away:
/// requests reached a removed target later than it serves on.
#[tokio::test]
async fn a_removed_target_is_not_used_after_the_store_turned_one_gateway_away() {
    let (removed, count) = counting_target().await;
    let targets = [removed, echo_target().await];
    let mut first = PlainGateway::start(plain_route("writes", RouteKind::Once), &targets).await;
    let second = PeerGateway::start(&first, first.store_address()).await;
    let mut link = Link::start(first.store_address()).await.unwrap();
    first.move_to_store(link.address());
    first.process.wait_for_line("event=settings_reloaded").await;
    sleep(Duration::from_millis(2_500)).await;
    call_for(second.callers, "writes", "before", Duration::from_millis(500)).await;
    assert!(count.load(Ordering::SeqCst) > 0, "the target is in use before it is removed");

    link.refuse().await;
    link.cut();
    first.process.wait_for_line("event=store_lost topic=targets").await;
    sleep(Duration::from_millis(3_000)).await;
    link.accept_again().await.unwrap();
    first.process.wait_for_line("event=store_regained topic=targets").await;
    // From now on the second gateway leaves the reading to the first one.
    first.remove_target(1);
    call_for(second.callers, "writes", "drain", DRAIN_WITHIN).await;
    let known = count.load(Ordering::SeqCst);
    let calls = call_for(second.callers, "writes", "after", Duration::from_millis(1_000)).await;
    let late = count.load(Ordering::SeqCst) - known;
    assert_eq!(late, 0, "of {calls} requests, {late} reached the removed target");
    let held_back = first.process.log().iter().any(|line| line.contains("event=targets_missing"));
    assert!(!held_back, "the store was away for one gateway alone");
}
