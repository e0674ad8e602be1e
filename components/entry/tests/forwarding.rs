//! Calls to plain services through a real entry process, and the rules of at-most-once.

mod common;

use std::time::Duration;

use base::ExecutionState;
use common::fake_side::Act;
use common::raw::{Answer, call, open, read_to_end, request, send};
use common::{KEY, OLD_KEY, SMALL_KEY, Site, eventually, run, settings};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::{ForwardHead, RefuseReason};

async fn site() -> Site {
    Site::start(settings(), &["s1", "s2"]).await
}

fn calls(site: &Site) -> Vec<(ForwardHead, Vec<u8>)> {
    site.sides.iter().flat_map(common::fake_side::FakeSide::calls).collect()
}

async fn pay(site: &Site, idempotency_key: Option<&str>) -> Answer {
    let extra = match idempotency_key {
        Some(key) => format!("Connection: close\r\nIdempotency-Key: {key}\r\n"),
        None => "Connection: close\r\n".to_owned(),
    };
    let text = request("POST", "/pay/7", Some(KEY), &extra, "amount=20");
    send(site.callers(), text.as_bytes()).await
}

/// Guards against a lost head field, query or body, and against a key at the side process.
#[test]
fn a_call_arrives_whole_and_without_credentials() {
    run(async {
        let site = site().await;
        let extra = format!(
            "Connection: close, X-Hop\r\nX-Hop: 1\r\nCookie: a=b\r\nX-Copy: {KEY}\r\n\
             X-Keep: yes\r\nContent-Type: text/plain\r\n"
        );
        let path = format!("/look/a%20b?x=1&api_key=k&y={KEY}&z=2");
        let text = request("PUT", &path, Some(KEY), &extra, "hello");
        let answer = send(site.callers(), text.as_bytes()).await;
        assert_eq!((answer.status, answer.body.as_str()), (201, "hello"));
        assert_eq!(answer.header("x-target"), Some("yes"));
        let seen = calls(&site);
        assert_eq!(seen.len(), 1);
        let (head, body) = &seen[0];
        assert_eq!((head.method.as_str(), body.as_slice()), ("PUT", b"hello".as_slice()));
        assert_eq!(head.path_and_query, "/look/a%20b?x=1&z=2");
        assert_eq!((head.body_bytes, head.repeatable), (Some(5), true));
        assert_eq!(head.customer.as_deref(), Some("capel"));
        let names: Vec<&str> = head.headers.iter().map(|header| header.name.as_str()).collect();
        assert_eq!(names, ["x-keep", "content-type"]);
        assert!(!format!("{seen:?}").contains(KEY));
    });
}

/// Guards against calls on behalf of nobody or of the wrong customer.
#[test]
fn routes_ask_for_a_key_of_their_customers() {
    run(async {
        let site = site().await;
        let cases = [
            ("/pay/1", None, "401 missing_key not_run"),
            ("/pay/1", Some("wrong"), "401 invalid_key not_run"),
            ("/pay/1", Some(SMALL_KEY), "403 not_allowed not_run"),
            ("/public/1", Some("wrong"), "401 invalid_key not_run"),
        ];
        for (path, key, expected) in cases {
            let answer = call(site.callers(), "GET", path, key, "").await;
            assert_eq!(answer.summary(), expected, "{path} {key:?}");
        }
        assert!(calls(&site).is_empty());
        let answer = call(site.callers(), "GET", "/public/1", None, "").await;
        assert_eq!(answer.summary(), "201");
        assert_eq!(calls(&site)[0].0.customer, None);
    });
}

/// Guards against a second run of a call that may run only once, and against a wrong statement on
/// what is known of the first.
#[test]
fn a_call_that_may_run_once_is_sent_on_only_while_it_has_not_run() {
    let cases = [
        (Act::Reset, "409 outcome_unknown unknown", 1),
        (Act::Mixed, "409 outcome_unknown unknown", 1),
        (Act::Fail(ExecutionState::Unknown), "409 outcome_unknown unknown", 1),
        (Act::Fail(ExecutionState::Ran), "409 outcome_unknown ran", 1),
        (Act::Hang, "409 outcome_unknown unknown", 1),
        (Act::Refuse(RefuseReason::Draining), "201", 2),
        (Act::Refuse(RefuseReason::TargetUnhealthy), "201", 2),
        (Act::Fail(ExecutionState::NotRun), "201", 2),
        (Act::Refuse(RefuseReason::DeadlineTooShort), "504 deadline_exceeded not_run", 1),
    ];
    for (act, expected, attempts) in cases {
        run(async {
            let site = site().await;
            site.script(&[act]);
            let answer = pay(&site, None).await;
            assert_eq!(answer.summary(), expected, "{act:?}");
            assert_eq!(calls(&site).len(), attempts, "{act:?}");
        });
    }
}

/// Guards against an unknown outcome where asking another side process would have settled it, and
/// against retries that the claim's own answer forbids.
#[test]
fn a_call_with_an_idempotency_key_is_asked_for_at_another_side() {
    let cases = [
        (Act::Reset, "201", 2),
        (Act::Refuse(RefuseReason::Draining), "201", 2),
        (Act::Fail(ExecutionState::Unknown), "409 outcome_unknown unknown", 1),
        (Act::Fail(ExecutionState::Ran), "409 outcome_unknown ran", 1),
        (Act::Refuse(RefuseReason::ClaimUnsettled), "503 claim_unsettled not_run", 1),
        (Act::Refuse(RefuseReason::LogUnavailable), "503 log_unavailable not_run", 1),
        (Act::Refuse(RefuseReason::IdempotencyMismatch), "422 idempotency_mismatch not_run", 1),
    ];
    for (act, expected, attempts) in cases {
        run(async {
            let site = site().await;
            site.script(&[act]);
            let answer = pay(&site, Some("order-7")).await;
            assert_eq!(answer.summary(), expected, "{act:?}");
            let seen = calls(&site);
            assert_eq!(seen.len(), attempts, "{act:?}");
            let hash = Some(auth::hash_key("order-7"));
            assert!(seen.iter().all(|(head, _)| head.idempotency_key_sha256 == hash));
            assert!(seen.iter().all(|(_, body)| body == b"amount=20" || act_refuses(act)));
            let ids: Vec<_> = seen.iter().map(|(head, _)| head.request_id).collect();
            assert!(ids.windows(2).all(|pair| pair[0] == pair[1]));
        });
    }
}

/// Guards against advice that leads to a second run: after an attempt without an answer, a refusal by the
/// next side process does not mean that the call did not run, and a new key would run it again.
#[test]
fn a_refusal_after_an_attempt_without_an_answer_leaves_the_outcome_unknown() {
    let reasons = [
        RefuseReason::ClaimUnsettled,
        RefuseReason::LogUnavailable,
        RefuseReason::DeadlineTooShort,
    ];
    for reason in reasons {
        run(async {
            let site = site().await;
            site.script(&[Act::Reset, Act::Refuse(reason)]);
            let answer = pay(&site, Some("order-8")).await;
            assert_eq!(answer.summary(), "409 outcome_unknown unknown", "{reason:?}");
            assert_eq!(calls(&site).len(), 2, "{reason:?}");
        });
    }
}

const fn act_refuses(act: Act) -> bool {
    matches!(act, Act::Refuse(_))
}

/// Guards against a malformed idempotency key, and against one with a body that is too large to keep.
#[test]
fn bad_idempotency_keys_are_refused_before_anything_is_sent() {
    run(async {
        let site = site().await;
        let answer = pay(&site, Some("")).await;
        assert_eq!(answer.summary(), "400 invalid_request not_run");
        let answer = pay(&site, Some(&"k".repeat(256))).await;
        assert_eq!(answer.summary(), "400 invalid_request not_run");
        let body = "a".repeat(300 << 10);
        let extra = "Connection: close\r\nIdempotency-Key: k\r\n";
        let text = request("POST", "/pay/7", Some(KEY), extra, &body);
        let answer = send(site.callers(), text.as_bytes()).await;
        assert_eq!(answer.summary(), "413 body_too_large not_run");
        assert!(calls(&site).is_empty());
    });
}

/// Guards against a large body that is collected in memory or cut.
#[test]
fn large_bodies_are_streamed_both_ways() {
    run(async {
        let site = Site::start(settings(), &["s1"]).await;
        let body = "0123456789abcdef".repeat(200_000);
        let text = request("POST", "/look/x", Some(KEY), "Connection: close\r\n", &body);
        let mut stream = TcpStream::connect(site.callers()).await.unwrap();
        let (mut read, mut write) = stream.split();
        let mut answer = Vec::new();
        let (sent, received) = tokio::join!(
            write.write_all(text.as_bytes()),
            tokio::io::AsyncReadExt::read_to_end(&mut read, &mut answer)
        );
        sent.unwrap();
        received.unwrap();
        let answer = String::from_utf8(answer).unwrap();
        let (head, echoed) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.to_ascii_lowercase().contains("content-length: 3200000"), "{head}");
        assert!(echoed == body);
    });
}

/// Guards against a broken answer that looks whole to the caller.
#[test]
fn a_broken_answer_breaks_the_connection() {
    for act in [Act::HalfBody, Act::HalfChunked] {
        run(async {
            let site = Site::start(settings(), &["s1"]).await;
            site.script(&[act]);
            let answer = call(site.callers(), "POST", "/look/x", Some(KEY), "0123456789").await;
            // The head may be lost with the connection; what came must not look whole.
            if answer.header("transfer-encoding").is_some() {
                assert!(!answer.body.ends_with("0\r\n\r\n"), "{answer:?}");
            } else {
                assert!(matches!(answer.header("content-length"), None | Some("10")), "{answer:?}");
                assert!(answer.body.len() < 10, "{answer:?}");
            }
            assert_eq!(calls(&site).len(), 1);
        });
    }
}

/// Guards against half an answer that looks whole to a caller of HTTP/1.0, which knows no chunks: the
/// end of the connection ends its body.
#[test]
fn a_caller_of_http_1_0_gets_no_answer_that_can_break_off() {
    run(async {
        let site = Site::start(settings(), &["s1"]).await;
        site.script(&[Act::HalfChunked]);
        // Half of it is more than what waits in buffers when the answer breaks off.
        let body = "0123456789".repeat(60_000);
        let text = request("POST", "/look/x", Some(KEY), "", &body);
        let text = text.replace("HTTP/1.1", "HTTP/1.0");
        let answer = send(site.callers(), text.as_bytes()).await;
        assert_eq!(answer.summary(), "400 invalid_request not_run", "{}", answer.head);
        assert!(calls(&site).is_empty());
    });
}

/// Guards against a body that breaks off and is passed on as if it were whole.
#[test]
fn a_body_that_breaks_off_is_not_ended_towards_the_target() {
    run(async {
        let site = Site::start(settings(), &["s1"]).await;
        let head = format!(
            "POST /pay/1 HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\n\
             Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
        );
        let mut stream = TcpStream::connect(site.callers()).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        eventually(|| calls(&site).first().is_some_and(|(_, body)| body == b"hello")).await;
        drop(stream);
        let answer = call(site.callers(), "GET", "/look/2", Some(KEY), "").await;
        assert_eq!(answer.status, 201);
        assert_eq!(calls(&site).len(), 2);
    });
}

/// Guards against a call that goes on after its key was withdrawn.
#[test]
fn a_withdrawn_key_ends_a_running_call() {
    run(async {
        let mut site = site().await;
        site.script(&[Act::Hang]);
        let mut stream = open(site.callers(), "POST", "/pay/1", Some(OLD_KEY), "x").await;
        eventually(|| calls(&site).len() == 1).await;
        site.withdraw("capel-old");
        let wait = tokio::time::timeout(Duration::from_secs(3), read_to_end(&mut stream));
        let answer = String::from_utf8(wait.await.expect("ends within 3 s")).unwrap();
        assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
        assert!(answer.contains("\"code\":\"key_withdrawn\""), "{answer}");
        assert!(answer.contains("\"ran\":\"unknown\""), "{answer}");
    });
}

/// Guards against a safe method that is not tried again, and against 502 for one that is.
#[test]
fn safe_calls_are_repeated() {
    for act in [Act::Reset, Act::Fail(ExecutionState::Unknown), Act::Refuse(RefuseReason::Draining)]
    {
        run(async {
            let site = site().await;
            site.script(&[act]);
            let answer = call(site.callers(), "GET", "/pay/1", Some(KEY), "").await;
            assert_eq!(answer.summary(), "201", "{act:?}");
        });
    }
    run(async {
        let site = site().await;
        site.script(&[Act::Reset; 20]);
        let answer = call(site.callers(), "GET", "/pay/1", Some(KEY), "").await;
        assert_eq!(answer.summary(), "502 upstream_failed unknown");
    });
}
