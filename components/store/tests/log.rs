//! Log client against the stand-in, with one fault per test.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::{Duration, Instant};

use base::Offset;
use standin::{Blocked, Link, LinkFaults, LogServer, LogServerSettings};
use store::{HttpLog, HttpLogOptions, Log, StoreError};

const OPTIONS: HttpLogOptions = HttpLogOptions { request_timeout_ms: 300, appends_per_s: 1_000 };

async fn server(settings: LogServerSettings) -> (LogServer, HttpLog) {
    let server = LogServer::start(settings).await.unwrap();
    let log = HttpLog::new(server.address(), OPTIONS);
    (server, log)
}

#[tokio::test]
async fn reads_what_was_appended_in_order() {
    let (_server, log) = server(LogServerSettings::default()).await;
    for (id, payload) in [("a", b"one".as_slice()), ("b", b"\0\xff")] {
        log.append("config", id, payload).await.unwrap();
    }
    let page = log.read("config", Offset(1), 10, Duration::ZERO).await.unwrap();
    let seen: Vec<_> =
        page.records.iter().map(|r| (r.offset.0, r.id.as_str(), r.payload.as_ref())).collect();
    assert_eq!(seen, [(1, "a", b"one".as_slice()), (2, "b", b"\0\xff")]);
    assert_eq!((page.oldest, page.end), (Offset(1), Offset(2)));
    assert!(page.reaches_end(Offset(1)));
}

/// A page truncated by its limit must not count as the end: a reader would assume freshness that it
/// lacks.
#[tokio::test]
async fn page_truncated_by_its_limit_does_not_reach_the_end() {
    let (server, log) = server(LogServerSettings::default()).await;
    for _ in 0..3 {
        server.append("config", "x", b"");
    }
    let page = log.read("config", Offset(1), 2, Duration::ZERO).await.unwrap();
    assert!(!page.reaches_end(Offset(1)));
    let empty = log.read("config", Offset(4), 2, Duration::ZERO).await.unwrap();
    assert!(empty.records.is_empty() && empty.reaches_end(Offset(4)));
}

#[tokio::test]
async fn long_poll_ends_with_the_record() {
    let (server, log) = server(LogServerSettings::default()).await;
    let started = Instant::now();
    let read = log.read("config", Offset(1), 10, Duration::from_secs(20));
    let append = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.append("config", "a", b"x");
    };
    let (page, ()) = tokio::join!(read, append);
    assert_eq!(page.unwrap().records.len(), 1);
    assert!(started.elapsed() < Duration::from_secs(10));
}

#[tokio::test]
async fn outage_is_reported_and_stores_nothing() {
    let (server, log) = server(LogServerSettings { outage: true, ..Default::default() }).await;
    assert_eq!(log.append("config", "a", b"x").await, Err(StoreError::Unavailable));
    let read = log.read("config", Offset(1), 10, Duration::ZERO).await;
    assert_eq!(read, Err(StoreError::Unavailable));
    server.update(|settings| settings.outage = false);
    assert_eq!(log.append("config", "b", b"x").await, Ok(Offset(1)));
}

/// A long poll that was pending when the outage began must not report the log as readable.
#[tokio::test]
async fn outage_during_a_long_poll_is_reported() {
    let (server, log) = server(LogServerSettings::default()).await;
    let read = log.read("config", Offset(1), 10, Duration::from_secs(5));
    let outage = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.update(|settings| settings.outage = true);
    };
    let (read, ()) = tokio::join!(read, outage);
    assert_eq!(read, Err(StoreError::Unavailable));
}

#[tokio::test]
async fn appends_above_the_service_rate_are_refused() {
    let (server, log) = server(LogServerSettings { appends_per_s: 2, ..Default::default() }).await;
    let mut refused = 0;
    for _ in 0..5 {
        match log.append("config", "a", b"x").await {
            Ok(_) => {}
            Err(error) => {
                assert_eq!(error, StoreError::RateLimited);
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    assert_eq!(server.appends_refused(), refused);
    assert_eq!(server.records("config").len() as u64, 5 - refused);
}

#[tokio::test]
async fn lost_response_after_the_append_is_an_unknown_outcome() {
    for lost_hang in [false, true] {
        let settings = LogServerSettings { lose_answers: 1, lost_hang, ..Default::default() };
        let (server, log) = server(settings).await;
        let error = log.append("config", "a", b"x").await.unwrap_err();
        assert_eq!(error, StoreError::OutcomeUnknown);
        assert!(error.may_have_taken_effect());
        assert_eq!(server.records("config").len(), 1);
    }
}

#[tokio::test]
async fn closed_port_is_unreachable() {
    let (mut server, log) = server(LogServerSettings::default()).await;
    server.stop().await;
    let error = log.append("config", "a", b"x").await.unwrap_err();
    assert_eq!(error, StoreError::Unreachable);
    assert!(!error.may_have_taken_effect());
    server.restart().await.unwrap();
    assert_eq!(log.append("config", "a", b"x").await, Ok(Offset(1)));
}

/// A response lost in the network must count as unknown, never as a rejection.
#[tokio::test]
async fn response_lost_in_the_network_is_an_unknown_outcome() {
    let server = LogServer::start(LogServerSettings::default()).await.unwrap();
    let link = Link::start(server.address()).await.unwrap();
    let log = HttpLog::new(link.address(), OPTIONS);
    link.set(LinkFaults { blocked: Blocked::ToClient, ..Default::default() });
    assert_eq!(log.append("config", "a", b"x").await, Err(StoreError::OutcomeUnknown));
    assert_eq!(server.records("config").len(), 1);
}

#[tokio::test]
async fn read_from_before_the_oldest_starts_at_the_oldest() {
    let settings = LogServerSettings { retention_records: 2, ..Default::default() };
    let (server, log) = server(settings).await;
    for _ in 0..5 {
        server.append("config", "x", b"");
    }
    let page = log.read("config", Offset(1), 10, Duration::ZERO).await.unwrap();
    let offsets: Vec<u64> = page.records.iter().map(|record| record.offset.0).collect();
    assert_eq!((offsets, page.oldest, page.end), (vec![4, 5], Offset(4), Offset(5)));
}

#[tokio::test]
async fn retention_by_age_leaves_only_the_end() {
    let (server, log) = server(LogServerSettings { retention_ms: 20, ..Default::default() }).await;
    server.append("config", "x", b"");
    tokio::time::sleep(Duration::from_millis(40)).await;
    let page = log.read("config", Offset(1), 10, Duration::ZERO).await.unwrap();
    assert!(page.records.is_empty());
    assert_eq!((page.oldest, page.end), (Offset(2), Offset(1)));
}

/// A burst of appends in one process must not exhaust the log for the others.
#[tokio::test]
async fn own_budget_stops_appends_before_they_are_sent() {
    let server = LogServer::start(LogServerSettings::default()).await.unwrap();
    let options = HttpLogOptions { appends_per_s: 3, ..OPTIONS };
    let log = HttpLog::new(server.address(), options);
    let mut stored = 0;
    for _ in 0..20 {
        match log.append("config", "a", b"x").await {
            Ok(_) => stored += 1,
            Err(error) => assert!(matches!(error, StoreError::BudgetExceeded { .. })),
        }
    }
    assert!((3..=5).contains(&stored), "stored {stored}");
    assert_eq!(server.records("config").len(), stored);
}

/// Guards against a reader that never gets past records whose page is larger than the limit on a response.
#[tokio::test]
async fn large_records_are_read_in_smaller_pages() {
    let server = LogServer::start(LogServerSettings::default()).await.unwrap();
    let options = HttpLogOptions { request_timeout_ms: 10_000, appends_per_s: 1_000 };
    let log = HttpLog::new(server.address(), options);
    let payload = vec![7; 1_000_000];
    for number in 0..12 {
        log.append("s", &format!("r{number}"), &payload).await.unwrap();
    }
    let (mut read, mut next) = (0, Offset(1));
    while read < 12 {
        let page = log.read("s", next, 500, Duration::ZERO).await.unwrap();
        assert!(page.records.iter().all(|record| record.payload.len() == payload.len()));
        read += page.records.len();
        next = Offset(page.records.last().unwrap().offset.0 + 1);
    }
    assert_eq!(read, 12);
}
