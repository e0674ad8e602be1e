//! Calls and health probes through a side process to a target that sends bytes without end.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use base::ExecutionState;
use common::{
    Platform, RunningSide, call, config, connect, head, run_test, side_settings, wait_for,
};
use standin::{EndlessAnswer, EndlessServer, EndlessServerSettings};
use tokio::time::{Instant, sleep};
use wire::{ForwardHead, ForwardUp};

/// Calls at once; fewer than the target takes.
const CALLS: usize = 3;
/// Path with an ordinary response.
const SOUND_PATH: &str = "/sound";
/// Most memory of the test's process, in KB, of which the side process is a part: its machine has 128 MB.
const MOST_MEMORY_KB: u64 = 128_000;

async fn start(head: &str, part: &'static str) -> (Platform, EndlessServer, RunningSide) {
    let platform = Platform::start().await;
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_owned();
    let ordinary = vec![("/healthz", response.clone()), (SOUND_PATH, response)];
    let answers = vec![EndlessAnswer { head: head.to_owned(), part }];
    let settings = EndlessServerSettings { answers, ordinary, ..EndlessServerSettings::default() };
    let target = EndlessServer::start(settings).await.unwrap();
    let settings = side_settings(&platform, "p1", target.address());
    let side = RunningSide::start(settings, config()).await;
    side.wait_ready().await;
    (platform, target, side)
}

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

fn sound() -> ForwardHead {
    ForwardHead { path_and_query: SOUND_PATH.into(), ..head() }
}

/// Guards against a side process that skips or collects what is no response until the call's deadline.
#[test]
fn what_is_no_response_is_cut() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let shapes = [
        ("", "a"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\nx: ", "a"),
        ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
        (CHUNKED, "0"),
        (CHUNKED, "1;extension\r\na\r\n"),
    ];
    for (start_of_answer, part) in shapes {
        run_test(async move {
            let (_platform, mut target, side) = start(start_of_answer, part).await;
            let client = connect(side.address).await;
            let began = Instant::now();
            let answer = call(&client, &head(), b"pay").await;
            assert_eq!(answer.failed, Some(ExecutionState::Unknown), "{start_of_answer}{part}");
            assert!(!answer.whole);
            assert!(target.next_closed().await.is_some());
            assert!(began.elapsed() < Duration::from_millis(head().deadline_ms.into()));
            assert_eq!(call(&client, &sound(), b"").await.status, 200);
        });
    }
    assert!(peak_memory_kb() < MOST_MEMORY_KB, "{} KB", peak_memory_kb());
}

/// Guards against a side process that reads a body without end faster than the entry process, and keeps it.
#[test]
fn bodies_without_end_wait_for_their_reader() {
    run_test(async {
        let (_platform, target, side) = start("HTTP/1.1 200 OK\r\n\r\n", "a").await;
        let client = connect(side.address).await;
        let mut calls = Vec::new();
        for _ in 0..CALLS {
            let (mut sender, receiver) = client.forward().await.unwrap();
            sender.send(&ForwardUp::Head(head())).await.unwrap();
            sender.send(&ForwardUp::End).await.unwrap();
            calls.push((sender, receiver));
        }
        sleep(Duration::from_secs(2)).await;
        let other = connect(side.address).await;
        assert_eq!(call(&other, &sound(), b"").await.status, 200);
        assert!(peak_memory_kb() < MOST_MEMORY_KB, "{} KB", peak_memory_kb());
        drop(calls);
        wait_for("the target's connections are closed", async || target.closed() == CALLS).await;
    });
}

/// Guards against health probes that wait for the end of what is no response, and that leave the target
/// sending.
#[test]
fn probes_of_a_target_that_sends_without_end_are_cut() {
    run_test(async {
        let platform = Platform::start().await;
        let parts = ["a", "HTTP/1.1 100 Continue\r\n\r\n"];
        let answers = parts.map(|part| EndlessAnswer { head: String::new(), part }).to_vec();
        let settings = EndlessServerSettings { answers, ..EndlessServerSettings::default() };
        let target = EndlessServer::start(settings).await.unwrap();
        let settings = side_settings(&platform, "p1", target.address());
        let _side = RunningSide::start(settings, config()).await;
        wait_for("probes are cut", async || target.closed() >= 10).await;
        assert!(peak_memory_kb() < MOST_MEMORY_KB, "{} KB", peak_memory_kb());
    });
}
