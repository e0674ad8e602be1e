//! One caller's connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use api::HeadFault;
use config::CallerLimits;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::head_validating_stream::HeadValidatingStream;
use crate::{CallerResponse, ConnectionCloser};

/// Longest time that a closed connection is read from, so that the caller can read its answer before
/// the reset that unread bytes cause.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes read in that time.
const LINGER_BYTES: usize = 1 << 20;
/// Room of the parser; heads are already checked against the limit in the settings.
const PARSER_MAX_HEADERS: usize = 256;

/// How a connection is served.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Limits for heads.
    pub limits: CallerLimits,
    /// Longest time that the connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// Serves a connection until either end closes it, or until `draining` ends and the request in
/// progress is answered.
///
/// `refuse` gives the bytes of the answer to a head that is not passed on.
pub async fn serve_caller<A>(
    socket: TcpStream,
    options: ConnectionOptions,
    answer: impl Fn(Request<Incoming>, Rc<ConnectionCloser>) -> A,
    refuse: impl FnOnce(HeadFault) -> String,
    draining: impl Future<Output = ()>,
) where
    A: Future<Output = CallerResponse> + 'static,
{
    let closer = Rc::new(ConnectionCloser::default());
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(request, Rc::clone(&closer));
        // Boxed, since the connection must be movable to be taken apart at its end.
        Box::pin(async move { Ok::<_, Infallible>(answer.await) })
    });
    let io = TokioIo::new(HeadValidatingStream::new(socket, options.limits));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_headers(PARSER_MAX_HEADERS)
        .serve_connection(io, service);
    let result = {
        let mut finished = pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
        tokio::select! {
            result = &mut finished => Some(result),
            () = closer.closed() => None,
            () = draining => None,
        }
    };
    let result = match result {
        Some(result) => result,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let stream = connection.into_parts().io.into_inner();
    let fault = stream.head_fault();
    let mut socket = stream.into_socket();
    match (result, fault) {
        (_, Some(fault)) => {
            let answer = refuse(fault);
            if timeout(LINGER_TIMEOUT, socket.write_all(answer.as_bytes())).await.is_ok() {
                linger(socket).await;
            }
        }
        (Ok(()), None) => linger(socket).await,
        (Err(error), None) => log::debug!("event=caller_connection_ended error=\"{error}\""),
    }
}

/// Says that nothing more comes, then reads what the caller still sends, within limits.
async fn linger(mut socket: TcpStream) {
    let mut space = [0; 8_192];
    let drain = async {
        if socket.shutdown().await.is_ok() {
            let mut read = 0;
            while read < LINGER_BYTES {
                match socket.read(&mut space).await {
                    Ok(length) if length > 0 => read += length,
                    Ok(_) | Err(_) => return,
                }
            }
        }
    };
    // The socket is dropped either way.
    let _drained = timeout(LINGER_TIMEOUT, drain).await;
}
