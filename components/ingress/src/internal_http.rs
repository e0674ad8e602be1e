//! Small HTTP servers for operators and other processes: short requests, whole answers.

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

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is aborted and answers each request by its head alone.
/// `head_timeout` is the longest time to receive a head, also on a connection that is kept;
/// `log_broken` logs the error of a connection.
pub async fn serve_internal_http(
    listener: TcpListener,
    head_timeout: Duration,
    answer: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
    log_broken: fn(&hyper::Error),
) {
    let answer = Rc::new(answer);
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer(&request);
                async move { Ok::<_, Infallible>(answer) }
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
