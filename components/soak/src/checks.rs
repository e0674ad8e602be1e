//! The promises, checked on what callers and targets have seen.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use platform_standin::{CallerKind, RunEnd, response_body};
use tokio::time::Instant;

use crate::evidence::{Attempt, Evidence};
use crate::finding::{Check, Finding};

/// Most targets that run a request beyond its route's number, as some may have ended meanwhile.
const MOST_RUNS: usize = 3;
/// Most time beyond the caller's that a target is given.
const DEADLINE_SLACK_MS: u64 = 500;
/// Answers that a gateway in touch may fail to deliver on the whole.
const MOST_UNDELIVERED: usize = 3;
/// Time after the last fault from which requests are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Least share of those that are served.
const RECOVERED_PART: f64 = 0.9;
/// Fewest requests from which that share is taken.
const LEAST_REQUESTS: usize = 20;

/// All broken promises.
pub fn findings(evidence: &Evidence) -> Vec<Finding> {
    let checks = [
        answers,
        refusals,
        repeats,
        customers,
        revocation,
        rates,
        retries,
        deadlines,
        denials,
        planned_stops,
        configurations,
        engines,
        recovery,
    ];
    checks.iter().flat_map(|check| check(evidence)).collect()
}

fn finding(check: Check, text: String) -> Finding {
    Finding { check, text }
}

/// Whole answers, and those of the request.
fn answers(evidence: &Evidence) -> Vec<Finding> {
    let faults = evidence.attempts.iter().filter_map(|attempt| {
        let fault = answer_fault(evidence, attempt)?;
        Some(finding(Check::WholeAnswer, format!("{}: {fault}", attempt.request.id)))
    });
    faults.collect()
}

fn answer_fault(evidence: &Evidence, attempt: &Attempt) -> Option<String> {
    let (request, answer) = (&attempt.request, &attempt.answer);
    let status = answer.status?;
    if answer.request.as_ref().is_some_and(|id| *id != request.id) {
        return Some(format!("got the answer to {:?}", answer.request));
    }
    if let Some(seal) = &answer.seal {
        let signed = evidence.runs_of(&request.id).any(|run| {
            seal.starts_with(run.target.as_str()) && seal.ends_with(&status.to_string())
        });
        if !signed {
            return Some(format!("status {status} bears a signature of another answer: {seal}"));
        }
    }
    if !answer.is_success() {
        return None;
    }
    if answer.seal.is_none() {
        return Some("a success without a signature".to_owned());
    }
    match &request.kind {
        CallerKind::Generation { .. } => stream_fault(attempt),
        CallerKind::Read | CallerKind::Order => {
            let expected = response_body(&request.id);
            let differs = answer.is_complete && answer.body != expected.as_bytes();
            differs.then(|| format!("body is {:?}", String::from_utf8_lossy(&answer.body)))
        }
    }
}

fn stream_fault(attempt: &Attempt) -> Option<String> {
    let events = attempt.answer.events();
    let first = attempt.request.after_event.unwrap_or(0) + 1;
    for (expected, (request, number, last)) in (first..).zip(&events) {
        if *request != attempt.request.id {
            return Some(format!("an event of {request}"));
        }
        if *number != expected || number > last {
            return Some(format!("event {number} of {last} where {expected} is due"));
        }
    }
    let ends = events.last().is_some_and(|(_, number, last)| number == last);
    (attempt.answer.is_complete && !ends)
        .then(|| "a stream that ends before its last event".to_owned())
}

/// A refusal that says "not run" is true.
fn refusals(evidence: &Evidence) -> Vec<Finding> {
    let refused = evidence.attempts.iter().filter(|attempt| attempt.answer.guarantees_not_run());
    refused
        .filter(|attempt| {
            let once = attempt.request.kind == CallerKind::Order;
            evidence
                .runs_of(&attempt.request.id)
                .any(|run| once || run.ended.is_some_and(|(_, end)| end == RunEnd::Answered))
        })
        .map(|attempt| {
            let text =
                format!("{} was answered {:?} and ran", attempt.request.id, attempt.answer.status);
            finding(Check::Refusal, text)
        })
        .collect()
}

/// What may not be repeated runs at most once, everything else on few targets.
fn repeats(evidence: &Evidence) -> Vec<Finding> {
    evidence
        .attempts
        .iter()
        .filter_map(|attempt| {
            let runs = evidence.runs_of(&attempt.request.id).count();
            let most = if attempt.request.kind == CallerKind::Order { 1 } else { MOST_RUNS };
            (runs > most).then(|| {
                finding(Check::AtMostOnce, format!("{} ran {runs} times", attempt.request.id))
            })
        })
        .collect()
}

/// Targets see the customer of the key, never the key, and the request as it was sent.
fn customers(evidence: &Evidence) -> Vec<Finding> {
    let mut found = Vec::new();
    for run in &evidence.runs {
        let Some(attempt) = evidence.attempts.iter().find(|a| a.request.id == run.request) else {
            found.push(finding(Check::Unchanged, format!("{} was sent by nobody", run.request)));
            continue;
        };
        if run.has_key || run.customer.as_ref() != Some(&attempt.customer) {
            let text = format!(
                "{} ran for {:?}, key passed on: {}",
                run.request, run.customer, run.has_key
            );
            found.push(finding(Check::Customer, text));
        }
        let path = &attempt.request.path;
        let service = evidence.services.iter().find(|(known, _)| known == path);
        let right_service = service.is_some_and(|(_, service)| *service == run.service);
        if run.content != attempt.request.content() || !right_service {
            let text = format!("{} ran as {} at {}", run.request, run.content, run.service);
            found.push(finding(Check::Unchanged, text));
        }
    }
    found
}

/// A withdrawn key stops working in time, on machines in touch or not.
fn revocation(evidence: &Evidence) -> Vec<Finding> {
    let limit = Duration::from_millis(evidence.limits.revocation_ms);
    evidence
        .attempts
        .iter()
        .filter(|attempt| {
            let withdrawn = evidence.withdrawn.iter().find(|(key, _)| *key == attempt.request.key);
            withdrawn.is_some_and(|(_, at)| attempt.sent_at > *at + limit)
                && evidence.runs_of(&attempt.request.id).next().is_some()
        })
        .map(|attempt| {
            finding(Check::Revocation, format!("{} ran with a withdrawn key", attempt.request.id))
        })
        .collect()
}

/// No customer gets more than its rate in any window.
fn rates(evidence: &Evidence) -> Vec<Finding> {
    let limits = &evidence.limits;
    let window = Duration::from_secs(limits.rate_window_s);
    let mut found = Vec::new();
    for tenant in evidence.tenants.iter().filter(|tenant| tenant.tokens_per_s > 0) {
        let inside = tenant.tokens_per_s * limits.rate_window_s + tenant.burst_tokens;
        let most = inside as f64 * (1.0 + limits.rate_overage) + limits.rate_slack_tokens as f64;
        let mut runs: Vec<(Instant, u64)> = evidence
            .runs
            .iter()
            .filter(|run| run.customer.as_ref() == Some(&tenant.name))
            .map(|run| (run.began, run.tokens))
            .collect();
        runs.sort_unstable();
        if let Some((at, tokens)) = window_over(&runs, window, most) {
            let after = at.duration_since(runs[0].0).as_millis();
            let text = format!("{} got {tokens} tokens from {after} ms on, of {most}", tenant.name);
            found.push(finding(Check::Rate, text));
        }
    }
    found
}

/// First window in which the amounts add up to more than `most`.
fn window_over(amounts: &[(Instant, u64)], window: Duration, most: f64) -> Option<(Instant, u64)> {
    let mut first = 0;
    let mut sum = 0;
    for (at, amount) in amounts {
        sum += amount;
        while at.duration_since(amounts[first].0) >= window {
            sum -= amounts[first].1;
            first += 1;
        }
        if sum as f64 > most {
            return Some((amounts[first].0, sum));
        }
    }
    None
}

/// Further sends stay within their budget.
fn retries(evidence: &Evidence) -> Vec<Finding> {
    let limits = &evidence.limits;
    let window = Duration::from_secs(limits.retry_window_s);
    let mut by_service: BTreeMap<&CompactString, (Vec<Instant>, Vec<Instant>)> = BTreeMap::new();
    let mut seen: Vec<&CompactString> = Vec::new();
    for (at, service, request) in &evidence.arrivals {
        let (firsts, further) = by_service.entry(service).or_default();
        match seen.binary_search(&request) {
            Ok(_) => further.push(*at),
            Err(place) => {
                seen.insert(place, request);
                firsts.push(*at);
            }
        }
    }
    let mut found = Vec::new();
    for (service, (firsts, further)) in by_service {
        for (number, at) in further.iter().enumerate() {
            let count =
                further[..=number].iter().filter(|f| at.duration_since(**f) < window).count();
            // The fullest of the windows that count is at least the one that ends now.
            let before = at.checked_sub(2 * window).unwrap_or(firsts[0]);
            let requests = firsts.iter().filter(|first| **first >= before && *first <= at).count();
            let most = limits.retry_ratio * requests as f64 + limits.retry_slack as f64;
            if count as f64 > most {
                let text =
                    format!("{service} got {count} further sends beside {requests} requests");
                found.push(finding(Check::RetryBudget, text));
                break;
            }
        }
    }
    found
}

/// Targets are given no more time than is left.
fn deadlines(evidence: &Evidence) -> Vec<Finding> {
    evidence
        .runs
        .iter()
        .filter_map(|run| {
            let attempt = evidence.attempts.iter().find(|a| a.request.id == run.request)?;
            let most = attempt.request.deadline.as_millis() as u64 + DEADLINE_SLACK_MS;
            let given = run.deadline_ms;
            given.is_none_or(|given| given > most).then(|| {
                finding(Check::Deadline, format!("{} was given {given:?} ms", run.request))
            })
        })
        .collect()
}

/// Proper requests are not turned away for good. Keys that were withdrawn and the route that comes and goes
/// are judged by other checks.
fn denials(evidence: &Evidence) -> Vec<Finding> {
    evidence
        .attempts
        .iter()
        .filter(|attempt| {
            let withdrawn = evidence.withdrawn.iter().any(|(key, _)| *key == attempt.request.key);
            let extra = !is_steady_path(evidence, &attempt.request.path);
            matches!(attempt.answer.status, Some(400..=407 | 409..=420 | 422..=428 | 430..=499))
                && !withdrawn
                && !extra
        })
        .map(|attempt| {
            let status = attempt.answer.status;
            finding(Check::Denied, format!("{} was answered {status:?}", attempt.request.id))
        })
        .collect()
}

fn is_steady_path(evidence: &Evidence, path: &str) -> bool {
    evidence.services.iter().any(|(known, _)| known == path) && !path.starts_with("/extra/")
}

/// A stop in order cuts no request, and a gateway in touch delivers answers.
fn planned_stops(evidence: &Evidence) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut undelivered: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        let answer = &attempt.answer;
        let delivered = answer.status.is_some() && (answer.is_complete || !answer.is_success());
        let ran = evidence.runs_of(&attempt.request.id).any(|run| {
            run.ended.is_some_and(|(at, end)| end == RunEnd::Answered && at < attempt.ended_at)
        });
        let patient = attempt.ended_at.duration_since(attempt.sent_at)
            < attempt.request.deadline.mul_f64(0.7);
        if delivered || !ran || !patient || !evidence.is_calm(attempt.sent_at, attempt.ended_at) {
            continue;
        }
        let stops = evidence
            .spans
            .iter()
            .any(|span| span.is_planned && span.overlaps(attempt.sent_at, attempt.ended_at));
        if stops {
            let text = format!("{} ran and got no whole answer", attempt.request.id);
            found.push(finding(Check::PlannedStop, text));
        } else {
            undelivered.entry(attempt.gateway).or_default().push(&attempt.request.id);
        }
    }
    for (gateway, requests) in undelivered {
        if requests.len() > MOST_UNDELIVERED {
            let text = format!("gateway {gateway} delivered no answers to {requests:?}");
            found.push(finding(Check::WholeAnswer, text));
        }
    }
    found
}

/// A configuration is in force in time on gateways in touch.
fn configurations(evidence: &Evidence) -> Vec<Finding> {
    let limit = Duration::from_millis(evidence.limits.configuration_ms);
    let mut found = Vec::new();
    for (at, (is_there, stored_at)) in evidence.extra_route.iter().enumerate() {
        let from = *stored_at + limit;
        let until = evidence.extra_route.get(at + 1).map(|(_, next)| *next);
        for attempt in evidence.attempts.iter().filter(|a| a.request.path.starts_with("/extra/")) {
            let concerns = attempt.sent_at > from
                && until.is_none_or(|until| attempt.ended_at < until)
                && evidence.is_in_touch(attempt.gateway, *stored_at, attempt.ended_at);
            let contradicts = match is_there {
                true => attempt.answer.status == Some(404),
                false => evidence.runs_of(&attempt.request.id).next().is_some(),
            };
            if concerns && contradicts {
                let text = format!("{} met an older configuration", attempt.request.id);
                found.push(finding(Check::Configuration, text));
            }
        }
    }
    found
}

/// Orders to engines.
fn engines(evidence: &Evidence) -> Vec<Finding> {
    let memory = evidence.overcommits.iter().map(|text| finding(Check::Memory, text.clone()));
    let lost = evidence.lost_models.iter().map(|model| {
        finding(Check::LastCopy, format!("the last copy of {model} was ordered away"))
    });
    let mut holders: BTreeMap<(&CompactString, u64), &CompactString> = BTreeMap::new();
    let mut fencing = Vec::new();
    for order in &evidence.orders {
        let first = holders.entry((&order.target, order.fencing)).or_insert(&order.holder);
        if **first != order.holder {
            let text =
                format!("{first} and {} ordered {} under one number", order.holder, order.target);
            fencing.push(finding(Check::Fencing, text));
        }
    }
    memory.chain(lost).chain(fencing).collect()
}

/// Requests are served again after the last fault.
fn recovery(evidence: &Evidence) -> Vec<Finding> {
    let from = evidence.calm_at + RECOVERY_TIME;
    let owed: Vec<&Attempt> = evidence
        .attempts
        .iter()
        .filter(|attempt| {
            let withdrawn = evidence.withdrawn.iter().any(|(key, _)| *key == attempt.request.key);
            let limited = evidence
                .tenants
                .iter()
                .any(|tenant| tenant.name == attempt.customer && tenant.tokens_per_s > 0);
            attempt.sent_at > from
                && !withdrawn
                && !limited
                && is_steady_path(evidence, &attempt.request.path)
        })
        .collect();
    let served = owed.iter().filter(|a| a.answer.is_success() && a.answer.is_complete).count();
    let part = served as f64 / owed.len().max(1) as f64;
    if owed.len() >= LEAST_REQUESTS && part >= RECOVERED_PART {
        return Vec::new();
    }
    let text = format!("{served} of {} requests were served after the last fault", owed.len());
    vec![finding(Check::Recovery, text)]
}
