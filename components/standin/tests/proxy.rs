//! The fault-injecting proxy: each fault does what it says, so that tests behind it prove something.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use standin::{Blocked, Link, LinkFaults};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(5);
const QUIET: Duration = Duration::from_millis(150);

/// A link to a server that sends back what it reads.
async fn echo_link() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::start(listener.local_addr().unwrap()).await.unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ended = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    link
}

async fn round_trip(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.unwrap();
    let mut back = vec![0; bytes.len()];
    timeout(LIMIT, stream.read_exact(&mut back)).await.unwrap().unwrap();
    assert_eq!(back, bytes);
}

#[tokio::test]
async fn passes_bytes_and_the_end_of_them() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, &vec![7; 300_000]).await;
    stream.shutdown().await.unwrap();
    assert_eq!(timeout(LIMIT, stream.read(&mut [0; 8])).await.unwrap().unwrap(), 0);
}

#[tokio::test]
async fn delay_holds_back_each_direction() {
    let link = echo_link().await;
    link.set(LinkFaults { delay_ms: 100, ..Default::default() });
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    let started = Instant::now();
    round_trip(&mut stream, b"hello").await;
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn black_hole_keeps_the_connection_and_lets_the_bytes_go_later() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, b"before").await;
    for blocked in [Blocked::ToTarget, Blocked::ToClient, Blocked::Both] {
        link.set(LinkFaults { blocked, ..Default::default() });
        stream.write_all(b"held").await.unwrap();
        let mut back = [0; 4];
        assert!(timeout(QUIET, stream.read_exact(&mut back)).await.is_err());
        link.set(LinkFaults::default());
        timeout(LIMIT, stream.read_exact(&mut back)).await.unwrap().unwrap();
        assert_eq!(&back, b"held");
    }
}

#[tokio::test]
async fn slow_link_keeps_its_rate() {
    let link = echo_link().await;
    link.set(LinkFaults { bytes_per_s: 10_000, ..Default::default() });
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    let started = Instant::now();
    round_trip(&mut stream, &[1; 4_000]).await;
    assert!(started.elapsed() >= Duration::from_millis(350));
}

#[tokio::test]
async fn cut_resets_old_connections_and_accepts_new_ones() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, b"before").await;
    link.cut();
    let error = timeout(LIMIT, stream.read(&mut [0; 8])).await.unwrap().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, b"after").await;
}

#[tokio::test]
async fn half_open_connection_stays_silent_until_a_cut() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, b"before").await;
    link.half_open();
    stream.write_all(b"into the void").await.unwrap();
    assert!(timeout(QUIET, stream.read(&mut [0; 8])).await.is_err());
    let mut other = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut other, b"new connections work").await;
    link.cut();
    assert!(timeout(LIMIT, stream.read(&mut [0; 8])).await.unwrap().is_err());
}

#[tokio::test]
async fn refusing_link_refuses_until_it_accepts_again() {
    let mut link = echo_link().await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, b"before").await;
    link.refuse().await;
    assert!(timeout(LIMIT, stream.read(&mut [0; 8])).await.unwrap().is_err());
    let error = TcpStream::connect(link.address()).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    link.accept_again().await.unwrap();
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    round_trip(&mut stream, b"after").await;
}
