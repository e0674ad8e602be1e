//! HTTP server for operators and other processes, with short requests and complete responses.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::{CallerBudgetSettings, SharedCallerBudget};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections of a listener. Beyond half of it the oldest one is closed for a new one; a fleet of
/// 380 gateways asks for its configuration by and by.
const MAX_CONNECTIONS: usize = 128;
/// Size of the kernel's buffers of a connection.
const SOCKET_BUFFER_BYTES: usize = 32 << 10;
/// Size of the HTTP server's buffers of a connection, and so of a request head.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Accepts connections until the task is aborted; the response depends only on the request head.
/// `head_timeout` limits the time to receive a head, also on a kept-alive connection; `log_broken`
/// logs the error of a connection.
pub async fn serve_internal_http(
    listener: TcpListener,
    head_timeout: Duration,
    handle: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
    log_broken: fn(&hyper::Error),
) {
    let handle = Rc::new(handle);
    let budget = SharedCallerBudget::new(CallerBudgetSettings {
        memory_bytes: 0,
        connections: MAX_CONNECTIONS,
        socket_buffer_bytes: SOCKET_BUFFER_BYTES,
    });
    budget.bound_sockets(&listener);
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(budgeted) = budget.open() else { continue };
        let handle = Rc::clone(&handle);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = handle(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            tokio::select! {
                served = connection => {
                    if let Err(error) = served {
                        log_broken(&error);
                    }
                }
                () = budgeted.closed() => {}
            }
        });
    }
}
