//! Pages of the log service that have no end. In a process of its own, whose peak it reads.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use base::Offset;
use standin::{EndlessAnswer, EndlessServer, EndlessServerSettings};
use store::{HttpLog, HttpLogOptions, Log};

/// Most memory of a read, in KB: a quarter of that of an entry process, 128 MB, which reads several streams.
const MOST_MEMORY_KB: u64 = 32_000;

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against a read of the log that collects an endless page until the memory is used up.
#[tokio::test]
async fn a_page_without_end_fits_into_the_smallest_machine() {
    let head = "HTTP/1.1 200 OK\r\n\r\n{\"records\":[".to_owned();
    let answers = vec![EndlessAnswer { head, part: "aaaaaaaa" }];
    let settings = EndlessServerSettings { answers, ..EndlessServerSettings::default() };
    let server = EndlessServer::start(settings).await.unwrap();
    let options = HttpLogOptions { request_timeout_ms: 10_000, ..HttpLogOptions::default() };
    let log = HttpLog::new(server.address(), options);
    let before_kb = peak_memory_kb();
    assert!(log.read("config", Offset(1), 500, Duration::ZERO).await.is_err());
    let taken_kb = peak_memory_kb() - before_kb;
    assert!(taken_kb < MOST_MEMORY_KB, "{taken_kb} KB");
}
