//! Graceful stop of an entry process, and the bucket slots across several.

mod common;

use std::time::Duration;

use common::fake_side::{Act, answer_text};
use common::raw::{call, open, read_answer, read_to_end, read_until, request};
use common::{KEY, Node, SMALL_KEY, Site, completion, eventually, named_settings, run, settings};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

const PATH: &str = "/v1/completions";

/// Guards against a stop that cuts a request, or that takes new ones after its notice.
#[test]
fn a_stop_finishes_running_streams_and_takes_no_new_connection() {
    run(async {
        let mut site = Site::start(settings(), &["e1"]).await;
        site.script(&[Act::Slow(60)]);
        let body = completion("m", 60, true);
        let mut stream = open(site.callers(), "POST", PATH, Some(KEY), &body).await;
        read_until(&mut stream, "t3 ").await;
        let mut idle = open(site.callers(), "GET", "/v1/models", Some(KEY), "").await;
        read_until(&mut idle, "m-fish").await;
        let (callers, operators) = (site.callers(), site.entry().operator_address());
        site.entry().stop();
        let ready = call(operators, "GET", "/readyz", None, "").await;
        assert_eq!((ready.status, ready.body.as_str()), (503, "not ready: shutting down\n"));
        // Connections that the load balancer still sends are served until the notice is over.
        let late = call(callers, "GET", "/v1/models", Some(KEY), "").await;
        assert_eq!(late.status, 200);
        let rest = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(rest.contains(" t59 ") || rest.contains("\"t59 \""), "{rest}");
        assert!(rest.contains("data: [DONE]"), "{rest}");
        read_to_end(&mut idle).await;
        site.nodes.remove(0).handle.finished().await;
        assert!(TcpStream::connect(callers).await.is_err());
    });
}

/// Guards against a stop that waits for ever for one request.
#[test]
fn a_stop_ends_what_is_left_at_its_limit() {
    run(async {
        let mut settings = settings();
        settings.process.drain_limit_ms = 600;
        let mut site = Site::start(settings, &["e1"]).await;
        site.script(&[Act::Endless]);
        let body = completion("m", 1_000_000, true);
        let mut stream = open(site.callers(), "POST", PATH, Some(KEY), &body).await;
        read_until(&mut stream, "t3 ").await;
        let started = Instant::now();
        site.entry().stop();
        let rest = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(rest.contains("\"code\":\"draining\""), "{rest}");
        assert!(!rest.contains("[DONE]"));
        site.nodes.remove(0).handle.finished().await;
        assert!(started.elapsed() < Duration::from_secs(4));
    });
}

/// Guards against a stop that passes on a request after it has ended all others, and cuts it at its
/// exit.
#[test]
fn a_stop_refuses_requests_that_arrive_after_its_limit() {
    run(async {
        let mut settings = settings();
        settings.process.drain_limit_ms = 600;
        let site = Site::start(settings, &["s1"]).await;
        let mut kept = open(site.callers(), "GET", "/v1/models", Some(KEY), "").await;
        read_until(&mut kept, "m-fish").await;
        site.script(&[Act::Hang, Act::Hang]);
        let mut running = open(site.callers(), "POST", "/pay/1", Some(KEY), "hi").await;
        eventually(|| site.sides[0].calls().len() == 1).await;
        site.entry().stop();
        // Ends at the limit.
        read_to_end(&mut running).await;
        let late = request("POST", "/pay/2", Some(KEY), "", "hi");
        kept.write_all(late.as_bytes()).await.unwrap();
        let answer = String::from_utf8(read_to_end(&mut kept).await).unwrap();
        assert!(answer.contains("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"ran\":\"not_run\""), "{answer}");
        assert_eq!(site.sides[0].calls().len(), 1);
    });
}

/// Guards against a body that is still arriving at the limit of a stop and whose caller isn't told when to
/// send the call again.
#[test]
fn a_request_without_its_whole_body_at_the_limit_is_refused_as_not_run() {
    run(async {
        let mut settings = settings();
        settings.process.drain_limit_ms = 300;
        let mut site = Site::start(settings, &["s1"]).await;
        let text = request("POST", "/pay/1", Some(KEY), "", "amount=20");
        let mut stream = TcpStream::connect(site.callers()).await.unwrap();
        stream.write_all(&text.as_bytes()[..text.len() - 1]).await.unwrap();
        sleep(Duration::from_millis(20)).await;
        site.entry().stop();
        let answer = read_answer(&mut stream).await;
        assert_eq!(answer.summary(), "503 draining not_run", "{answer:?}");
        assert_eq!(answer.header("retry-after"), Some("1"), "{answer:?}");
        assert_eq!(answer.header("connection"), Some("close"), "{answer:?}");
        assert!(site.sides[0].calls().is_empty());
        site.nodes.remove(0).handle.finished().await;
    });
}

/// Guards against a call that may have run and whose caller is invited to send it again, by the status of a
/// refusal, when the time for the stop is over.
#[test]
fn a_call_in_progress_at_the_limit_of_a_stop_has_an_unknown_outcome() {
    run(async {
        let mut settings = settings();
        settings.process.drain_limit_ms = 300;
        let mut site = Site::start(settings, &["s1"]).await;
        site.script(&[Act::Hang]);
        let mut stream = open(site.callers(), "POST", "/pay/1", Some(KEY), "amount=20").await;
        eventually(|| site.sides[0].calls().len() == 1).await;
        site.entry().stop();
        let answer = read_answer(&mut stream).await;
        assert_eq!(answer.summary(), "409 outcome_unknown unknown", "{answer:?}");
        site.nodes.remove(0).handle.finished().await;
    });
}

/// Guards against an answer that is cut at the limit of a stop, though it ends before the process does.
#[test]
fn an_answer_that_has_begun_at_the_limit_of_a_stop_goes_on() {
    run(async {
        let mut settings = settings();
        settings.process.drain_limit_ms = 300;
        let mut site = Site::start(settings, &["s1"]).await;
        site.script(&[Act::SlowBody]);
        let mut stream = open(site.callers(), "POST", "/pay/1", Some(KEY), "amount=20").await;
        eventually(|| site.sides[0].calls().len() == 1).await;
        site.entry().stop();
        let answer = read_answer(&mut stream).await;
        assert_eq!((answer.status, answer.body.as_str()), (201, "amount=20"), "{answer:?}");
        site.nodes.remove(0).handle.finished().await;
    });
}

/// Guards against slots that stay with a process that has stopped, and against a customer that gets its
/// burst once more through the new owner.
#[test]
fn slots_and_their_levels_move_to_another_entry_at_a_stop() {
    run(async {
        let both = vec![named_settings("entry-1"), named_settings("entry-2")];
        let mut site = Site::start_all(both, &["e1"]).await;
        let first = completion("m", 90, false);
        let answer = call(site.callers(), "POST", PATH, Some(SMALL_KEY), &first).await;
        assert_eq!(answer.summary(), "200");
        // Rendezvous hashing may give all slots to one of the two.
        let owned = site.nodes.iter().map(|node| node.handle.slots_owned());
        let (owner, slots) = owned.enumerate().max_by_key(|(_, slots)| *slots).unwrap();
        assert!(slots > 0);
        // The link must live on: slots are released on the log.
        let Node { handle, log_link: _link } = site.nodes.remove(owner);
        handle.stop();
        handle.finished().await;
        eventually(|| site.entry().slots_owned() == 4).await;
        let answer = call(site.callers(), "POST", PATH, Some(SMALL_KEY), &first).await;
        assert_eq!(answer.summary(), "429 rate_exceeded not_run");
        let answer = call(site.callers(), "POST", PATH, Some(KEY), &first).await;
        assert_eq!(answer.summary(), "200");
    });
}

/// Guards against a customer that gets its burst once at each entry, and against a refusal inside the
/// rate because the tokens are held elsewhere.
#[test]
fn a_customer_has_one_burst_over_all_entries() {
    run(async {
        let names = ["entry-1", "entry-2", "entry-3"];
        let settings = names.iter().map(|name| named_settings(name)).collect();
        let site = Site::start_all(settings, &["e1"]).await;
        // The whole burst is there for one request, though no entry owns all of it.
        let callers: Vec<_> = site.nodes.iter().map(|node| node.handle.caller_address()).collect();
        let whole = completion("m", 98, false);
        let answer = call(callers[0], "POST", PATH, Some(SMALL_KEY), &whole).await;
        assert_eq!(answer.summary(), "200");
        let started = Instant::now();
        let mut admitted = 0;
        while started.elapsed() < Duration::from_secs(2) {
            for callers in &callers {
                let small = completion("m", 1, false);
                let answer = call(*callers, "POST", PATH, Some(SMALL_KEY), &small).await;
                admitted += u64::from(answer.status == 200);
            }
            sleep(Duration::from_millis(20)).await;
        }
        // Each took 2 prompt tokens by the estimate and 1 output token, settled to 2 + 1.
        let accrued = started.elapsed().as_secs() + 1;
        assert!(admitted * 3 <= accrued + 2, "{admitted} admitted");
    });
}

/// Guards against an answer that is not the one of its own request when many run at once.
#[test]
fn many_requests_at_once_get_their_own_answers() {
    run(async {
        let site = Site::start(settings(), &["e1", "e2"]).await;
        let calls = (1..=100).map(|tokens| {
            let callers = site.callers();
            tokio::task::spawn_local(async move {
                let body = completion("m", tokens, false);
                let answer = call(callers, "POST", PATH, Some(KEY), &body).await;
                let json: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
                assert_eq!(json["choices"][0]["text"], answer_text(tokens));
            })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await.unwrap();
        }
    });
}
