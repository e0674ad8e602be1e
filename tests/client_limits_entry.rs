//! Clients that keep no limits against an entry process with little memory.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::{Fleet, FleetOptions, KEY, MODEL, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Memory of the machine in MB, and the bound on that of the process.
const MEMORY_MB: u64 = 64;
const BYTES_PER_MB: u64 = 1_000_000;
/// Clients, who together send more than the memory.
const CLIENTS: usize = 100;
const BODY_BYTES: usize = 1 << 20;
const MISSING_BYTES: usize = 10;
/// Time for the process to read what was sent.
const READING_TIME: Duration = Duration::from_secs(3);

/// Sends all of a body but its end, then keeps the connection.
async fn send_short(address: SocketAddr) {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b' '; BODY_BYTES - MISSING_BYTES];
    if socket.write_all(head.as_bytes()).await.is_ok() {
        // Fails if the process rejects the body before its end.
        let _sent = socket.write_all(&body).await;
    }
    std::future::pending::<()>().await;
}

/// Guards against an entry process that collects many bodies until its memory is used up.
#[tokio::test]
async fn bodies_short_of_their_end_stay_within_the_memory() {
    let options = FleetOptions {
        entries: 1,
        entry: json!({"callers": {"memory_mb": MEMORY_MB}}),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await;
    let address = fleet.entries[0].callers.address();
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(send_short(address));
    }
    sleep(READING_TIME).await;
    let id = fleet.entries[0].process.id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    println!("memory {} of {} bytes", peak_kb * 1_024, MEMORY_MB * BYTES_PER_MB);
    let caller = fleet.caller(0);
    wait_until("an ordinary request is served", async || {
        caller.complete(MODEL, "ordinary", 2).await.is_ok_and(|answer| answer.is_whole())
    })
    .await;
    assert!(peak_kb * 1_024 < MEMORY_MB * BYTES_PER_MB, "{peak_kb} KB");
}
