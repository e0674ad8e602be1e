//! Callers' connections while their process drains.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream as CallerSocket};
use std::rc::Rc;
use std::time::Duration;

use config::CallerLimits;
use ingress::{
    CallerBudgetSettings, CallerResponse, ConnectionOptions, SharedCallerBudget, json_response,
    serve_caller,
};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Whichever event the process handles first, some of so many connections show the other order.
const CONNECTIONS: usize = 32;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test.example\r\n\r\n";
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// More than the buffers of the two sockets take.
const LARGE_BODY_BYTES: usize = 16 << 20;
/// Longer than a connection may be idle while its process drains.
const PAST_DRAIN_IDLE: Duration = Duration::from_millis(5_500);
/// Time that a handler needs; its request is lost if its connection ends before.
const HANDLER_TIME: Duration = Duration::from_millis(50);

/// A server whose connections drain when `draining` becomes true.
struct Server {
    address: SocketAddr,
    draining: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl Server {
    async fn start() -> Self {
        let settings = CallerBudgetSettings::for_machine(512, 4_096);
        Self::start_with(settings, async || json_response("{}".to_owned(), "r-1")).await
    }

    async fn start_with<H, A>(settings: CallerBudgetSettings, handle: H) -> Self
    where
        H: Fn() -> A + 'static,
        A: Future<Output = CallerResponse> + 'static,
    {
        let handle = Rc::new(handle);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let draining = watch::Sender::new(false);
        let stage = draining.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn_local(async move {
            let options =
                ConnectionOptions { limits: CallerLimits::default(), idle_timeout: IDLE_TIMEOUT };
            let budget = SharedCallerBudget::new(settings);
            loop {
                let (socket, _) = listener.accept().await.unwrap();
                let budgeted = budget.open().unwrap();
                let mut stage = stage.subscribe();
                let handle = Rc::clone(&handle);
                spawn_local(async move {
                    let draining = async { drop(stage.wait_for(|drains| *drains).await) };
                    let handle = |_, _| handle();
                    serve_caller(socket, options, budgeted, handle, |_| String::new(), draining)
                        .await
                        .log();
                });
            }
        });
        Self { address, draining, _tasks: tasks }
    }

    /// A connection on which one request was answered.
    async fn used_connection(&self) -> CallerSocket {
        let mut socket = CallerSocket::connect(self.address).unwrap();
        socket.set_nonblocking(true).unwrap();
        socket.write_all(REQUEST).unwrap();
        let response = read_response(&mut socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        socket
    }
}

/// Reads until the end of a body or of the connection.
async fn read_response(socket: &mut CallerSocket) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    let read = async {
        while !received.ends_with(b"{}") {
            match socket.read(&mut buffer) {
                Ok(0) => return,
                Ok(length) => received.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    sleep(Duration::from_millis(1)).await;
                }
                Err(_) => return,
            }
        }
    };
    let _in_time = timeout(Duration::from_secs(20), read).await;
    String::from_utf8(received).unwrap()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a drain that closes connections as idle although a request has arrived on them.
#[test]
fn a_request_that_has_arrived_when_the_drain_begins_is_answered() {
    run(async {
        let server = Server::start().await;
        let mut sockets = Vec::new();
        for _ in 0..CONNECTIONS {
            sockets.push(server.used_connection().await);
        }
        // No task of the server runs between these two steps.
        sockets.iter_mut().for_each(|socket| socket.write_all(REQUEST).unwrap());
        server.draining.send_replace(true);
        for socket in &mut sockets {
            let response = read_response(socket).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
            assert!(response.to_ascii_lowercase().contains("connection: close"), "{response}");
        }
    });
}

/// Guards against a drain that drops a request which its caller sent before it could see the close.
#[test]
fn a_request_that_arrives_soon_after_the_drain_began_is_answered() {
    run(async {
        let server = Server::start().await;
        let mut socket = server.used_connection().await;
        server.draining.send_replace(true);
        for _ in 0..64 {
            yield_now().await;
        }
        sleep(Duration::from_millis(300)).await;
        socket.write_all(REQUEST).unwrap();
        let response = read_response(&mut socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

/// Guards against a drain that takes a connection for idle while its caller still reads a response:
/// the rest of the response is dropped.
#[test]
fn a_response_that_is_read_slowly_is_sent_whole_while_the_process_drains() {
    run(async {
        let settings = CallerBudgetSettings::for_machine(512, 4_096);
        let body = "x".repeat(LARGE_BODY_BYTES);
        let handle = move || {
            let body = body.clone();
            async { json_response(body, "r-1") }
        };
        let server = Server::start_with(settings, handle).await;
        let mut socket = CallerSocket::connect(server.address).unwrap();
        socket.set_nonblocking(true).unwrap();
        socket.write_all(REQUEST).unwrap();
        sleep(Duration::from_millis(200)).await;
        server.draining.send_replace(true);
        sleep(PAST_DRAIN_IDLE).await;
        let mut received = 0;
        let mut buffer = vec![0; 1 << 20];
        let read = async {
            while received < LARGE_BODY_BYTES {
                match socket.read(&mut buffer) {
                    Ok(0) => return,
                    Ok(length) => received += length,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1)).await;
                    }
                    Err(_) => return,
                }
            }
        };
        let _in_time = timeout(Duration::from_secs(20), read).await;
        assert!(received >= LARGE_BODY_BYTES, "{received} bytes");
    });
}

/// Guards against a request that is read and handled on a connection that the budget has closed: its
/// caller can't know whether it ran.
#[test]
fn no_request_is_read_on_a_connection_that_the_budget_has_closed() {
    run(async {
        let handled = Rc::new(Cell::new(0));
        let counter = Rc::clone(&handled);
        let handle = move || {
            counter.set(counter.get() + 1);
            async {
                sleep(HANDLER_TIME).await;
                json_response("{}".to_owned(), "r-1")
            }
        };
        let server =
            Server::start_with(CallerBudgetSettings::with_connections(512, 1), handle).await;
        let mut answered = 0;
        for _ in 0..CONNECTIONS {
            let mut socket = server.used_connection().await;
            answered += 1;
            // The connection is closed for the new one before its task reads the request; no task
            // of the server runs between these two steps.
            let _new = CallerSocket::connect(server.address).unwrap();
            socket.write_all(REQUEST).unwrap();
            if read_response(&mut socket).await.starts_with("HTTP/1.1 200") {
                answered += 1;
            }
        }
        assert_eq!(handled.get(), answered);
    });
}
