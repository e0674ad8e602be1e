//! Generations through a real entry process: whole answers, retries, resumes, ends.

mod common;

use std::time::Duration;

use base::ExecutionState;
use common::fake_side::{Act, answer_text};
use common::raw::{Answer, call, open, read_to_end, read_until};
use common::{KEY, OLD_KEY, SMALL_KEY, Site, completion, eventually, run, settings};
use config::{CallerLimits, EntrySettings, MembershipSettings};
use tokio::time::Instant;
use wire::RefuseReason;

const PATH: &str = "/v1/completions";
/// A withdrawn key stops working within this time.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

async fn complete(site: &Site, body: &str) -> Answer {
    call(site.callers(), "POST", PATH, Some(KEY), body).await
}

fn text_of(answer: &Answer) -> String {
    let json: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
    json["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
}

/// Text of the events of a stream, and whether it ended with `[DONE]`.
fn streamed(body: &str) -> (String, bool) {
    let data: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let text = data
        .iter()
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    (text, data.last() == Some(&"[DONE]"))
}

fn attempts(site: &Site) -> usize {
    site.sides.iter().map(|side| side.generations().len()).sum()
}

/// Guards against lost, doubled or foreign text, whatever the first target does.
#[test]
fn every_answer_is_whole_whatever_the_first_target_does() {
    let acts = [
        (Act::Answer, 1),
        (Act::Mixed, 1),
        (Act::Truncate(3), 2),
        (Act::Gap, 2),
        (Act::ShortCount, 2),
        (Act::Reset, 2),
        (Act::Fail(ExecutionState::Unknown), 2),
        (Act::Fail(ExecutionState::NotRun), 2),
        (Act::Refuse(RefuseReason::NoCapacity), 2),
        (Act::Refuse(RefuseReason::QueueFull), 2),
        (Act::Refuse(RefuseReason::Draining), 2),
    ];
    for (act, expected_attempts) in acts {
        for stream in [false, true] {
            run(async {
                let site = Site::start(settings(), &["e1", "e2"]).await;
                site.script(&[act]);
                let answer = complete(&site, &completion("m", 8, stream)).await;
                check_whole(&answer, stream, act);
                assert_eq!(attempts(&site), expected_attempts, "{act:?}");
            });
        }
    }
}

fn check_whole(answer: &Answer, stream: bool, act: Act) {
    assert_eq!(answer.status, 200, "{act:?}: {answer:?}");
    if stream {
        let (text, done) = streamed(&dechunk(&answer.body));
        assert_eq!((text, done), (answer_text(8), true), "{act:?}: {answer:?}");
    } else {
        assert_eq!(text_of(answer), answer_text(8), "{act:?}");
    }
}

/// Body of a chunked answer that ended with its last chunk.
fn dechunk(body: &str) -> String {
    let mut text = String::new();
    let mut rest = body;
    loop {
        let (size, after) = rest.split_once("\r\n").expect("chunk size");
        let size = usize::from_str_radix(size, 16).expect("hexadecimal size");
        if size == 0 {
            return text;
        }
        text += &after[..size];
        rest = &after[size + 2..];
    }
}

/// Guards against a resumed answer that asks for the whole text again.
#[test]
fn a_truncated_stream_is_resumed_behind_what_was_delivered() {
    run(async {
        let site = Site::start(settings(), &["e1"]).await;
        site.script(&[Act::Truncate(3), Act::Truncate(2)]);
        let answer = complete(&site, &completion("m", 8, true)).await;
        check_whole(&answer, true, Act::Truncate(3));
        let seen: Vec<(u32, Option<u64>)> = site.sides[0]
            .generations()
            .iter()
            .map(|g| (g.attempt, g.resume.as_ref().map(|resume| resume.delivered_tokens)))
            .collect();
        assert_eq!(seen, [(0, None), (1, Some(3)), (2, Some(5))]);
        let resume = site.sides[0].generations()[2].resume.clone().unwrap();
        assert_eq!(resume.delivered_text, answer_text(5));
    });
}

/// Guards against retries without end, and against `[DONE]` after a broken answer.
#[test]
fn a_stream_that_keeps_breaking_ends_with_an_error_event() {
    run(async {
        let site = Site::start(settings(), &["e1"]).await;
        site.script(&[Act::Truncate(1); 50]);
        let answer = complete(&site, &completion("m", 40, true)).await;
        let body = dechunk(&answer.body);
        let (_, done) = streamed(&body);
        assert!(!done, "{body}");
        assert!(body.contains("event: error\ndata: "), "{body}");
        assert!(body.contains("\"code\":\"upstream_failed\""), "{body}");
        assert!(attempts(&site) <= 5);
    });
}

/// Guards against refusals with the wrong status, state of execution or without advice.
#[test]
fn final_refusals_say_why_and_when_to_try_again() {
    let cases = [
        (RefuseReason::QueueFull, "503 queue_full not_run"),
        (RefuseReason::NoCapacity, "503 no_capacity not_run"),
        (RefuseReason::Draining, "503 no_capacity not_run"),
        (RefuseReason::DeadlineTooShort, "504 deadline_exceeded not_run"),
    ];
    for (reason, expected) in cases {
        run(async {
            let site = Site::start(settings(), &["e1"]).await;
            site.script(&[Act::Refuse(reason); 20]);
            let answer = complete(&site, &completion("m", 8, true)).await;
            assert_eq!(answer.summary(), expected);
            assert_eq!(answer.header("retry-after"), Some("2"));
        });
    }
}

/// Guards against a request that never left and is said to have run perhaps.
#[test]
fn a_target_that_accepts_nothing_has_not_run_the_request() {
    run(async {
        let mut site = Site::start(settings(), &[]).await;
        site.add_unreachable_side("e1").await;
        let answer = complete(&site, &completion("m", 8, true)).await;
        assert_eq!(answer.summary(), "503 no_capacity not_run");
        site.add_side("e2").await;
        site.wait_until_ready().await;
        let answer = complete(&site, &completion("m", 8, true)).await;
        check_whole(&answer, true, Act::Answer);
    });
}

/// Guards against a request that goes to a target without capacity to answer.
#[test]
fn without_a_target_the_refusal_comes_at_once() {
    run(async {
        let site = Site::start(settings(), &[]).await;
        let started = Instant::now();
        let answer = complete(&site, &completion("m", 8, false)).await;
        assert_eq!(answer.summary(), "503 no_capacity not_run");
        assert_eq!(answer.header("retry-after"), Some("1"));
        assert!(started.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against an engine that goes on for a caller who has hung up.
#[test]
fn a_caller_that_hangs_up_cancels_its_generation() {
    for (stream, act) in [(true, Act::Endless), (false, Act::Hang), (true, Act::Hang)] {
        run(async {
            let site = Site::start(settings(), &["e1"]).await;
            site.script(&[act]);
            let body = completion("m", 8, stream);
            let caller = open(site.callers(), "POST", PATH, Some(KEY), &body).await;
            eventually(|| attempts(&site) == 1).await;
            drop(caller);
            eventually(|| site.sides[0].cancelled() == 1).await;
        });
    }
}

/// Guards against a withdrawn key that goes on working: on a stream, in a queue, on a connection.
#[test]
fn a_withdrawn_key_ends_streams_and_queued_requests_and_closes_their_connections() {
    run(async {
        let mut site = Site::start(settings(), &["e1"]).await;
        site.script(&[Act::Endless, Act::Hang, Act::Endless]);
        let body = completion("m", 1_000_000, true);
        let mut stream = open(site.callers(), "POST", PATH, Some(OLD_KEY), &body).await;
        read_until(&mut stream, "t5 ").await;
        let mut queued = open(site.callers(), "POST", PATH, Some(OLD_KEY), &body).await;
        eventually(|| attempts(&site) == 2).await;
        // A caller that reads nothing must not get what was buffered for it before the withdrawal.
        let mut idle = open(site.callers(), "POST", PATH, Some(OLD_KEY), &body).await;
        eventually(|| attempts(&site) == 3).await;
        let mut kept = open(site.callers(), "GET", "/v1/models", Some(OLD_KEY), "").await;
        read_until(&mut kept, "m-fish").await;
        let mut other = open(site.callers(), "GET", "/v1/models", Some(KEY), "").await;
        read_until(&mut other, "m-fish").await;

        site.withdraw("capel-old");
        let withdrawn = Instant::now();
        let rest = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(rest.contains("event: error\ndata: "), "{rest}");
        assert!(rest.contains("\"code\":\"key_withdrawn\""), "{rest}");
        assert!(!rest.contains("[DONE]"));
        let answer = String::from_utf8(read_to_end(&mut queued).await).unwrap();
        assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
        assert!(answer.contains("\"code\":\"key_withdrawn\""), "{answer}");
        assert!(withdrawn.elapsed() < WITHDRAWAL_LIMIT);
        let idle = String::from_utf8(read_to_end(&mut idle).await).unwrap();
        assert!(idle.contains("\"code\":\"key_withdrawn\""), "{idle}");
        let again = common::raw::request("GET", "/v1/models", Some(OLD_KEY), "", "");
        tokio::io::AsyncWriteExt::write_all(&mut kept, again.as_bytes()).await.unwrap();
        read_until(&mut kept, "\"code\":\"invalid_key\"").await;
        let again = common::raw::request("GET", "/v1/models", Some(KEY), "", "");
        tokio::io::AsyncWriteExt::write_all(&mut other, again.as_bytes()).await.unwrap();
        read_until(&mut other, "m-fish").await;
        eventually(|| site.sides[0].cancelled() == 3).await;
    });
}

/// Guards against a caller's key, `user` or `metadata` at a side process.
#[test]
fn no_key_reaches_a_side_process() {
    run(async {
        let site = Site::start(settings(), &["e1"]).await;
        let body = format!(
            r#"{{"model":"m-fish","prompt":"hi","user":"{KEY}","metadata":{{"k":"{KEY}"}},"stop":["{KEY}"]}}"#
        );
        let answer = complete(&site, &body).await;
        assert_eq!(answer.status, 200);
        let seen = site.sides[0].generations();
        assert!(!format!("{seen:?}").contains(KEY), "{seen:?}");
        assert_eq!(seen[0].adapter.as_deref(), Some("m-fish"));
        assert_eq!((seen[0].model.as_str(), seen[0].customer.as_str()), ("m", "capel"));
    });
}

/// Guards against a customer beyond its burst, and against tokens that are not given back.
#[test]
fn a_customer_is_held_to_its_burst_and_gets_back_what_it_did_not_use() {
    run(async {
        let site = Site::start(settings(), &["e1"]).await;
        let ask = |tokens| {
            let body = completion("m", tokens, false);
            let callers = site.callers();
            async move { call(callers, "POST", PATH, Some(SMALL_KEY), &body).await }
        };
        assert_eq!(ask(200).await.summary(), "400 exceeds_burst not_run");
        // Refused before it ran: nothing is used, so the whole burst is there again.
        site.script(&[Act::Refuse(RefuseReason::QueueFull); 20]);
        assert_eq!(ask(90).await.summary(), "503 queue_full not_run");
        site.script(&[]);
        assert_eq!(ask(90).await.summary(), "200");
        let refused = ask(90).await;
        assert_eq!(refused.summary(), "429 rate_exceeded not_run");
        let wait: u64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!((60..=90).contains(&wait), "{wait}");
    });
}

/// Guards against a request that waits for a silent target until its own deadline.
#[test]
fn a_silent_target_is_given_up_and_another_one_goes_on() {
    run(async {
        let membership = MembershipSettings {
            suspect_after_ms: 300,
            silent_after_ms: 600,
            ..MembershipSettings::default()
        };
        let mut site = Site::start(EntrySettings { membership, ..settings() }, &["e1"]).await;
        site.script(&[Act::Hang]);
        let caller = tokio::task::spawn_local({
            let callers = site.callers();
            async move { call(callers, "POST", PATH, Some(KEY), &completion("m", 8, true)).await }
        });
        eventually(|| attempts(&site) == 1).await;
        site.sides[0].pause();
        site.add_side("e2").await;
        let answer = caller.await.unwrap();
        check_whole(&answer, true, Act::Hang);
    });
}

/// Guards against a request that outlives its time.
#[test]
fn a_request_ends_at_its_deadline() {
    run(async {
        let callers = CallerLimits { request_timeout_ms: 400, ..CallerLimits::default() };
        let site = Site::start(EntrySettings { callers, ..settings() }, &["e1"]).await;
        site.script(&[Act::Hang]);
        let answer = complete(&site, &completion("m", 8, false)).await;
        assert_eq!(answer.summary(), "504 deadline_exceeded unknown");
        eventually(|| site.sides[0].cancelled() == 1).await;
    });
}
