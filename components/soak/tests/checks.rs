//! Each check of the soak is red on what a system without the promise would show.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::time::Duration;

use platform_standin::{
    CallerKind, CallerRequest, CallerResponse, CustomerSpec, FleetLimits, ReceivedOrder, Run,
    RunEnd, response_body, stream_event,
};
use soak::{Attempt, Check, Evidence, Span, Subject, findings};
use tokio::time::Instant;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(id: &str, kind: CallerKind) -> CallerRequest {
    let path =
        if matches!(kind, CallerKind::Generation { .. }) { "/generate/" } else { "/order-desk/" };
    CallerRequest {
        id: id.into(),
        host: "soak.example".into(),
        path: path.into(),
        key: "key-1".into(),
        deadline: ms(3_000),
        kind,
        after_event: None,
        resumes: None,
    }
}

fn attempt(request: CallerRequest, sent_at: Instant, answer: CallerResponse) -> Attempt {
    Attempt {
        request,
        customer: "chapel".into(),
        gateway: 0,
        sent_at,
        ended_at: sent_at + ms(50),
        answer,
    }
}

fn success(id: &str, body: String) -> CallerResponse {
    CallerResponse {
        status: Some(200),
        request: Some(id.into()),
        seal: Some(format!("target-1.{id}.200").into()),
        body: body.into(),
        is_complete: true,
        ..CallerResponse::default()
    }
}

fn run(attempt: &Attempt, service: &str) -> Run {
    Run {
        request: attempt.request.id.clone(),
        target: "target-1".into(),
        service: service.into(),
        content: attempt.request.content(),
        customer: Some("chapel".into()),
        has_key: false,
        tokens: 10,
        deadline_ms: Some(2_900),
        after_event: None,
        began: attempt.sent_at + ms(5),
        ended: Some((attempt.sent_at + ms(40), RunEnd::Answered)),
    }
}

fn generation() -> CallerKind {
    CallerKind::Generation { model: "m0".into(), prompt_tokens: 100, output_tokens: 8, prompt: 1 }
}

/// A run without faults: 40 orders and 40 streams, all answered.
fn clean() -> Evidence {
    let began = Instant::now();
    let mut attempts = Vec::new();
    for number in 0..40 {
        let sent_at = began + ms(100 * number);
        let order = format!("order-{number}");
        let answer = success(&order, response_body(&order));
        attempts.push(attempt(request(&order, CallerKind::Order), sent_at, answer));
        let stream = format!("stream-{number}");
        let events = stream_event(&stream, 1, 2) + &stream_event(&stream, 2, 2);
        let answer = success(&stream, events);
        attempts.push(attempt(request(&stream, generation()), sent_at, answer));
    }
    let service = |attempt: &Attempt| match attempt.request.kind {
        CallerKind::Order => "desk",
        _ => "engines",
    };
    let runs = attempts.iter().map(|attempt| run(attempt, service(attempt))).collect();
    let arrival = |a: &Attempt| (a.sent_at, service(a).into(), a.request.id.clone());
    let tenant = CustomerSpec {
        name: "chapel".into(),
        keys: vec!["key-1".into()],
        tokens_per_s: 0,
        burst_tokens: 0,
    };
    Evidence {
        limits: FleetLimits::default(),
        tenants: vec![tenant],
        arrivals: attempts.iter().map(arrival).collect(),
        attempts,
        runs,
        orders: Vec::new(),
        overcommits: Vec::new(),
        lost_models: Vec::new(),
        spans: Vec::new(),
        withdrawn: Vec::new(),
        extra_route: vec![(false, began)],
        services: [("/generate/", "engines"), ("/order-desk/", "desk"), ("/extra/", "desk")]
            .map(|(path, service)| (path.into(), service.into()))
            .to_vec(),
        calm_at: began - ms(12_000),
    }
}

/// Checks that found something.
fn red(evidence: &Evidence) -> Vec<Check> {
    let mut checks: Vec<Check> = findings(evidence).iter().map(|finding| finding.check).collect();
    checks.sort_unstable();
    checks.dedup();
    checks
}

/// Guards against checks that find something in everything.
#[test]
fn a_clean_run_has_no_findings() {
    assert_eq!(findings(&clean()), []);
}

/// Guards against an order that is taken twice, as by a gateway that repeats what got no answer.
#[test]
fn a_repeated_order_is_found() {
    let mut evidence = clean();
    let again = Run { target: "target-2".into(), ..evidence.runs[0].clone() };
    evidence.runs.push(again);
    assert_eq!(red(&evidence), [Check::AtMostOnce]);
}

/// Guards against a refusal after a send without an answer.
#[test]
fn a_refusal_of_what_ran_is_found() {
    let mut evidence = clean();
    evidence.attempts[0].answer =
        CallerResponse { status: Some(503), is_complete: true, ..CallerResponse::default() };
    assert_eq!(red(&evidence), [Check::Refusal]);
}

/// Guards against answers that are cut, joined, of others, or without a signature.
#[test]
fn spoilt_answers_are_found() {
    let spoil: [fn(&mut CallerResponse); 5] = [
        |answer| answer.body = response_body("order-7").into(),
        |answer| answer.request = Some("order-7".into()),
        |answer| answer.seal = None,
        |answer| answer.seal = Some("target-9.order-0.200".into()),
        |answer| answer.status = Some(500),
    ];
    for change in spoil {
        let mut evidence = clean();
        change(&mut evidence.attempts[0].answer);
        assert_eq!(red(&evidence), [Check::WholeAnswer]);
    }
    let streams = [
        stream_event("stream-0", 1, 2),
        stream_event("stream-0", 2, 2),
        stream_event("stream-0", 1, 2) + &stream_event("stream-0", 1, 2),
        stream_event("stream-0", 1, 2) + &stream_event("stream-3", 2, 2),
    ];
    for body in streams {
        let mut evidence = clean();
        evidence.attempts[1].answer.body = body.into();
        assert_eq!(red(&evidence), [Check::WholeAnswer]);
    }
}

/// Guards against a key that targets see, and against a customer that the caller has chosen.
#[test]
fn a_key_at_a_target_and_a_false_customer_are_found() {
    let mut evidence = clean();
    evidence.runs[0].has_key = true;
    assert_eq!(red(&evidence), [Check::Customer]);
    let mut evidence = clean();
    evidence.runs[0].customer = Some("other".into());
    assert_eq!(red(&evidence), [Check::Customer]);
}

/// Guards against requests that nobody sent, that were changed, or that went to another service.
#[test]
fn foreign_and_changed_requests_are_found() {
    let change: [fn(&mut Run); 3] = [
        |run| run.request = "smuggled".into(),
        |run| run.content = "POST /order-desk/ 00000000".into(),
        |run| run.service = "engines".into(),
    ];
    for change in change {
        let mut evidence = clean();
        change(&mut evidence.runs[0]);
        assert!(red(&evidence).contains(&Check::Unchanged));
    }
}

/// Guards against a gateway that goes on serving a withdrawn key while it is cut off.
#[test]
fn a_withdrawn_key_that_works_is_found() {
    let mut evidence = clean();
    let began = evidence.attempts[0].sent_at;
    evidence.withdrawn = vec![("key-1".into(), began)];
    evidence.limits.revocation_ms = 3_950;
    assert!(red(&evidence).iter().all(|check| *check == Check::Recovery), "all within the limit");
    evidence.limits.revocation_ms = 3_000;
    assert!(red(&evidence).contains(&Check::Revocation));
}

/// Guards against gateways that each admit the whole rate.
#[test]
fn a_rate_that_is_exceeded_in_a_window_is_found() {
    let mut evidence = clean();
    evidence.tenants[0].tokens_per_s = 50;
    evidence.tenants[0].burst_tokens = 100;
    evidence.limits.rate_slack_tokens = 260;
    // 80 runs of 10 tokens in 4 s are 800; (50 x 8 + 100) x 1.1 + 260 = 810.
    assert!(!red(&evidence).contains(&Check::Rate));
    evidence.limits.rate_slack_tokens = 240;
    assert!(red(&evidence).contains(&Check::Rate));
}

/// Guards against retries without a common budget.
#[test]
fn too_many_further_sends_are_found() {
    let mut evidence = clean();
    let first = evidence.arrivals[0].clone();
    evidence.limits.retry_slack = 3;
    evidence.arrivals.extend(vec![first.clone(); 3]);
    assert!(red(&evidence).is_empty());
    let late = (first.0 + ms(3_990), first.1, first.2);
    evidence.arrivals.extend(vec![late; 9]);
    assert_eq!(red(&evidence), [Check::RetryBudget]);
}

/// Guards against a target that works on after its caller has gone.
#[test]
fn a_deadline_that_grows_is_found() {
    for given in [None, Some(3_501)] {
        let mut evidence = clean();
        evidence.runs[0].deadline_ms = given;
        assert_eq!(red(&evidence), [Check::Deadline]);
    }
}

/// Guards against proper requests that are turned away for good by a gateway that knows too little.
#[test]
fn a_false_denial_is_found() {
    let mut evidence = clean();
    evidence.attempts[0].answer =
        CallerResponse { status: Some(401), is_complete: true, ..CallerResponse::default() };
    evidence.runs.remove(0);
    assert_eq!(red(&evidence), [Check::Denied]);
}

/// Guards against a stop that cuts what is under way; a crash of the same gateway may.
#[test]
fn a_cut_at_a_planned_stop_is_found() {
    let mut evidence = clean();
    evidence.attempts[0].answer = CallerResponse::default();
    let from = evidence.attempts[0].sent_at;
    let span = Span { subject: Subject::Gateway(0), is_planned: true, from, until: None };
    evidence.spans = vec![span];
    assert_eq!(red(&evidence), [Check::PlannedStop]);
    evidence.spans = vec![Span { is_planned: false, ..span }];
    assert_eq!(red(&evidence), []);
}

/// Guards against a gateway that closes connections instead of answering.
#[test]
fn answers_that_a_sound_gateway_does_not_deliver_are_found() {
    let mut evidence = clean();
    for attempt in evidence.attempts.iter_mut().take(4) {
        attempt.answer = CallerResponse::default();
    }
    assert_eq!(red(&evidence), [Check::WholeAnswer]);
}

/// Guards against a gateway that goes on with an old configuration though it is in touch.
#[test]
fn an_old_configuration_is_found() {
    let mut evidence = clean();
    let began = evidence.attempts[0].sent_at;
    evidence.extra_route = vec![(true, began)];
    let mut request = request("extra-1", CallerKind::Read);
    request.path = "/extra/".into();
    let not_found =
        CallerResponse { status: Some(404), is_complete: true, ..CallerResponse::default() };
    evidence.attempts.push(attempt(request, began + ms(2_100), not_found));
    assert_eq!(red(&evidence), [Check::Configuration]);
    // Out of touch.
    let span = Span { subject: Subject::Store, is_planned: false, from: began, until: None };
    evidence.spans = vec![span];
    assert_eq!(red(&evidence), []);
}

/// Guards against orders beyond memory, of two givers with one number, or for the last copy.
#[test]
fn bad_orders_are_found() {
    let mut evidence = clean();
    evidence.overcommits.push("engine-1 was told to load m4".to_owned());
    assert_eq!(red(&evidence), [Check::Memory]);
    let mut evidence = clean();
    evidence.lost_models.push("m0".into());
    assert_eq!(red(&evidence), [Check::LastCopy]);
    let mut evidence = clean();
    let order =
        |holder: &str| ReceivedOrder { target: "e".into(), holder: holder.into(), fencing: 7 };
    evidence.orders = vec![order("agent-1"), order("agent-2")];
    assert_eq!(red(&evidence), [Check::Fencing]);
}

/// Guards against a system that does not come back.
#[test]
fn a_fleet_that_does_not_recover_is_found() {
    let mut evidence = clean();
    let (attempts, runs) = (&mut evidence.attempts, &mut evidence.runs);
    for attempt in attempts.iter_mut().step_by(3) {
        runs.retain(|run| run.request != attempt.request.id);
        attempt.answer =
            CallerResponse { status: Some(503), is_complete: true, ..CallerResponse::default() };
    }
    assert_eq!(red(&evidence), [Check::Recovery]);
}
