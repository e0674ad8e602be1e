//! Appends whose response is lost and whose outcome is settled by reading.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use base::Offset;
use standin::{LogServer, LogServerSettings};
use store::{HttpLog, HttpLogOptions, Log, StoreError};
use tokio::time::{Instant, sleep};

const OPTIONS: HttpLogOptions = HttpLogOptions { request_timeout_ms: 200, appends_per_s: 1_000 };

async fn server(settings: LogServerSettings) -> (LogServer, HttpLog) {
    let server = LogServer::start(settings).await.unwrap();
    let log = HttpLog::new(server.address(), OPTIONS);
    (server, log)
}

fn within(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

async fn settle(log: &HttpLog, millis: u64) -> Result<Offset, StoreError> {
    log.append_confirmed("claims", "mine", b"x", Offset(1), within(millis)).await
}

#[tokio::test]
async fn record_stored_without_a_response_is_found_and_not_appended_again() {
    for lost_hang in [false, true] {
        let settings = LogServerSettings { lose_answers: 1, lost_hang, ..Default::default() };
        let (server, log) = server(settings).await;
        server.append("claims", "other", b"");
        assert_eq!(settle(&log, 5_000).await, Ok(Offset(2)));
        assert_eq!(server.records("claims").len(), 2);
    }
}

#[tokio::test]
async fn record_lost_before_it_was_stored_is_appended_again() {
    let (server, log) = server(LogServerSettings { lose_appends: 2, ..Default::default() }).await;
    assert_eq!(settle(&log, 5_000).await, Ok(Offset(1)));
    assert_eq!(server.records("claims").len(), 1);
}

/// The first of two records with the same id counts for readers, so its offset is returned.
#[tokio::test]
async fn first_of_two_stored_records_is_returned() {
    let (server, log) = server(LogServerSettings { lose_appends: 1, ..Default::default() }).await;
    let late = async {
        sleep(Duration::from_millis(10)).await;
        server.append("claims", "mine", b"x");
    };
    let (settled, ()) = tokio::join!(settle(&log, 5_000), late);
    assert_eq!(settled, Ok(Offset(1)));
}

#[tokio::test]
async fn record_on_a_later_page_is_found() {
    let (server, log) = server(LogServerSettings { lose_answers: 1, ..Default::default() }).await;
    for _ in 0..1_200 {
        server.append("claims", "other", b"");
    }
    assert_eq!(settle(&log, 5_000).await, Ok(Offset(1_201)));
}

#[tokio::test]
async fn outage_is_returned_at_once_without_an_unknown_outcome() {
    let (server, log) = server(LogServerSettings { outage: true, ..Default::default() }).await;
    let started = Instant::now();
    assert_eq!(settle(&log, 5_000).await, Err(StoreError::Unavailable));
    assert!(started.elapsed() < Duration::from_secs(2));
    assert!(server.records("claims").is_empty());
}

/// An outage directly after a lost response leaves the outcome unknown: the caller must not be
/// informed that nothing was stored.
#[tokio::test]
async fn outage_after_a_lost_response_is_unknown_at_the_deadline() {
    let settings =
        LogServerSettings { lose_answers: 1, lost_hang: true, ..LogServerSettings::default() };
    let (server, log) = server(settings).await;
    let outage = async {
        sleep(Duration::from_millis(50)).await;
        server.update(|settings| settings.outage = true);
    };
    let (settled, ()) = tokio::join!(settle(&log, 600), outage);
    assert_eq!(settled, Err(StoreError::OutcomeUnknown));
    assert_eq!(server.records("claims").len(), 1);
}

#[tokio::test]
async fn outage_that_ends_before_the_deadline_is_settled() {
    let settings =
        LogServerSettings { lose_answers: 1, lost_hang: true, ..LogServerSettings::default() };
    let (server, log) = server(settings).await;
    let outage = async {
        sleep(Duration::from_millis(50)).await;
        server.update(|settings| settings.outage = true);
        sleep(Duration::from_millis(400)).await;
        server.update(|settings| settings.outage = false);
    };
    let (settled, ()) = tokio::join!(settle(&log, 10_000), outage);
    assert_eq!(settled, Ok(Offset(1)));
    assert_eq!(server.records("claims").len(), 1);
}

#[tokio::test]
async fn unreachable_log_is_returned_at_once() {
    let (mut server, log) = server(LogServerSettings::default()).await;
    server.stop().await;
    assert_eq!(settle(&log, 5_000).await, Err(StoreError::Unreachable));
}

#[tokio::test]
async fn rate_limits_are_retried() {
    let (server, log) = server(LogServerSettings { appends_per_s: 5, ..Default::default() }).await;
    while log.append("claims", "other", b"").await.is_ok() {}
    let settled = settle(&log, 5_000).await.unwrap();
    assert_eq!(settled.0, server.records("claims").len() as u64);
}

#[tokio::test]
async fn own_budget_is_waited_for_or_reported() {
    let server = LogServer::start(LogServerSettings::default()).await.unwrap();
    let log = HttpLog::new(server.address(), HttpLogOptions { appends_per_s: 4, ..OPTIONS });
    while log.append("claims", "other", b"").await.is_ok() {}
    let refused = settle(&log, 20).await;
    assert!(matches!(refused, Err(StoreError::BudgetExceeded { .. })), "{refused:?}");
    assert!(settle(&log, 5_000).await.is_ok());
}
