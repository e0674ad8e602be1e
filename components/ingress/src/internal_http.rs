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

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handle = Rc::clone(&handle);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = handle(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .serve_connection(TokioIo::new(socket), service)
                .await;
            if let Err(error) = served {
                log_broken(&error);
            }
        });
    }
}
