//! Bad input at a real caller's socket: a clear answer, within bounded memory and time.

mod common;

use std::time::Duration;

use common::raw::{Answer, call, read_to_end, read_until, request, send};
use common::{KEY, Site, completion, run, settings};
use config::{CallerLimits, EntrySettings};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const PATH: &str = "/v1/completions";

fn limited() -> EntrySettings {
    EntrySettings {
        callers: CallerLimits {
            head_timeout_ms: 300,
            body_timeout_ms: 300,
            body_bytes: 10_000,
            forward_body_bytes: 50_000,
            ..CallerLimits::default()
        },
        ..settings()
    }
}

async fn check(site: &Site, text: &str, expected: &str) -> Answer {
    let answer = send(site.callers(), text.as_bytes()).await;
    let shown: String = text.chars().take(200).collect();
    assert_eq!(answer.summary(), expected, "{shown:?}: {answer:?}");
    assert!(answer.header("x-request-id").is_some(), "{answer:?}");
    answer
}

/// Guards against bad heads that pass, or that get no answer.
#[test]
fn bad_heads_get_a_clear_4xx() {
    run(async {
        let site = Site::start(limited(), &["e1"]).await;
        let with = |extra: &str| request("POST", PATH, Some(KEY), extra, "{}");
        let bad = "400 invalid_request not_run";
        let large = "431 headers_too_large not_run";
        let cases = [
            (with("Content-Length: 2\r\n"), bad),
            (with("Content-Length: 3\r\n"), bad),
            (with("Transfer-Encoding: chunked\r\n"), bad),
            (with("Authorization: Bearer other\r\n"), bad),
            (with(&format!("X-Api-Key: {KEY}\r\n")), bad),
            (with("Host: other\r\n"), bad),
            (with("bad name: x\r\n"), bad),
            (with(&format!("x-large: {}\r\n", "a".repeat(20_000))), large),
            (with(&"x-many: 1\r\n".repeat(100)), large),
            ("nonsense\r\n\r\n".to_owned(), bad),
            ("GET / HTTP/3.0\r\n\r\n".to_owned(), bad),
            (format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(20_000)), large),
        ];
        for (text, expected) in cases {
            let answer = check(&site, &text, expected).await;
            assert_eq!(answer.header("connection"), Some("close"));
        }
    });
}

/// Guards against a second request that is smuggled behind a good one on the same connection.
#[test]
fn a_bad_head_after_a_good_request_is_refused() {
    run(async {
        let site = Site::start(limited(), &["e1"]).await;
        let good = request("GET", "/v1/models", Some(KEY), "", "");
        let smuggled = request("GET", "/v1/models", Some(KEY), "Content-Length: 0\r\n", "");
        let mut stream = TcpStream::connect(site.callers()).await.unwrap();
        stream.write_all(good.as_bytes()).await.unwrap();
        read_until(&mut stream, "m-fish").await;
        stream.write_all(smuggled.as_bytes()).await.unwrap();
        let answer = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(answer.contains("HTTP/1.1 400 Bad Request"), "{answer}");
        assert!(answer.contains("\"code\":\"invalid_request\""), "{answer}");
    });
}

/// Guards against callers that send a head or a body slowly and hold a connection for ever.
#[test]
fn slow_senders_get_408() {
    run(async {
        let site = Site::start(limited(), &["e1"]).await;
        let started = Instant::now();
        check(&site, "POST /v1/completions HTTP/1.1\r\nHost:", "408 request_timeout not_run").await;
        check(&site, "", "408 request_timeout not_run").await;
        let text = request("POST", PATH, Some(KEY), "", &completion("m", 3, false));
        let half = &text[..text.len() - 5];
        check(&site, half, "408 request_timeout not_run").await;
        assert!(started.elapsed() < Duration::from_secs(5));
    });
}

/// Guards against a deadline that each further byte puts off.
#[test]
fn a_trickle_of_header_bytes_does_not_extend_the_deadline() {
    run(async {
        let site = Site::start(limited(), &["e1"]).await;
        let mut stream = TcpStream::connect(site.callers()).await.unwrap();
        let started = Instant::now();
        let trickle = async {
            while stream.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(5), trickle).await.expect("the connection stayed open");
        assert!(started.elapsed() >= Duration::from_millis(300));
    });
}

/// Guards against bodies above the limit, announced or not, and against broken ones.
#[test]
fn bad_bodies_get_a_clear_4xx() {
    run(async {
        let site = Site::start(limited(), &["e1"]).await;
        let large = "a".repeat(20_000);
        let post = |body: &str| request("POST", PATH, Some(KEY), "Connection: close\r\n", body);
        let chunked = |body: &str| {
            format!(
                "POST {PATH} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {KEY}\r\n\
                 Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n{body}"
            )
        };
        let bad = "400 invalid_request not_run";
        let too_large = "413 body_too_large not_run";
        check(&site, &post(&large), too_large).await;
        check(&site, &chunked(&format!("4e20\r\n{large}\r\n0\r\n\r\n")), too_large).await;
        check(&site, &chunked("zz\r\n"), bad).await;
        check(&site, &chunked("2\r\n{}X\r\n0\r\n\r\n"), bad).await;
        for body in ["", "{", "[]", "{\"model\":1}", "{\"model\":\"m\"}", "\u{0}"] {
            check(&site, &post(body), bad).await;
        }
        assert!(site.sides[0].generations().is_empty());
    });
}

/// Guards against a body that is shorter than announced being taken as whole.
#[test]
fn a_body_that_ends_early_never_reaches_a_target() {
    run(async {
        let site = Site::start(limited(), &["e1"]).await;
        let text = request("POST", PATH, Some(KEY), "", &completion("m", 3, false));
        let mut stream = TcpStream::connect(site.callers()).await.unwrap();
        stream.write_all(&text.as_bytes()[..text.len() - 5]).await.unwrap();
        stream.shutdown().await.unwrap();
        read_to_end(&mut stream).await;
        let answer = call(site.callers(), "GET", "/v1/models", Some(KEY), "").await;
        assert_eq!(answer.status, 200);
        assert!(site.sides[0].generations().is_empty());
    });
}

/// Guards against memory that grows with what a caller sends: the process stops reading.
#[test]
fn endless_heads_and_bodies_are_cut_off() {
    run(async {
        let site = Site::start(limited(), &["e1", "s1"]).await;
        let starts = [
            format!("GET /{}", "a".repeat(100)),
            format!(
                "POST {PATH} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\n\
                 Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"
            ),
            format!(
                "POST /look/x HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {KEY}\r\n\
                 Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"
            ),
        ];
        for start in starts {
            let mut stream = TcpStream::connect(site.callers()).await.unwrap();
            stream.write_all(start.as_bytes()).await.unwrap();
            let part = [b'a'; 65_536];
            let mut sent: usize = 0;
            let flood = async {
                while sent < 64 << 20 && stream.write_all(&part).await.is_ok() {
                    sent += part.len();
                }
            };
            // A server that reads no more shows either as an error or as a full socket buffer.
            let _ended = timeout(Duration::from_secs(3), flood).await;
            assert!(sent < 32 << 20, "{sent} bytes were taken");
        }
        let answer = call(site.callers(), "GET", "/v1/models", Some(KEY), "").await;
        assert_eq!(answer.status, 200);
    });
}

/// Guards against methods and paths that fall through to a target.
#[test]
fn wrong_methods_and_paths_are_refused() {
    run(async {
        let site = Site::start(limited(), &["e1", "s1"]).await;
        let cases = [
            ("GET", PATH, "405 method_not_allowed not_run"),
            ("POST", "/v1/models", "405 method_not_allowed not_run"),
            ("GET", "/nowhere", "404 route_not_found not_run"),
            ("GET", "/public/../pay/1", "400 invalid_request not_run"),
            ("GET", "/public/%2e%2e/pay/1", "400 invalid_request not_run"),
            ("GET", "/public/sk-capel-0001", "400 invalid_request not_run"),
        ];
        for (method, path, expected) in cases {
            let answer = call(site.callers(), method, path, Some(KEY), "").await;
            assert_eq!(answer.summary(), expected, "{method} {path}");
        }
        assert!(site.sides[1].calls().is_empty());
    });
}
