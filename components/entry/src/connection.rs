//! One caller's connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use api::ApiError;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::app::App;
use crate::dispatch::dispatch;
use crate::guarded_stream::GuardedStream;
use crate::request_id::new_request_id;
use crate::respond::{CallerResponse, raw_error_answer};

/// Longest time that a connection may be idle between requests.
const IDLE_LIMIT: Duration = Duration::from_secs(75);
/// Longest time that a closed connection is read from, so that the caller can read its answer before
/// the reset that unread bytes cause.
const LINGER_LIMIT: Duration = Duration::from_millis(500);
/// Most bytes read in that time.
const LINGER_BYTES: usize = 1 << 20;
/// Room of the parser; heads are already checked against the limit in the settings.
const PARSER_HEADERS: usize = 256;

/// Lets a request close its connection once its answer is sent.
#[derive(Debug, Default)]
pub(crate) struct Closer {
    closing: Cell<bool>,
    notify: Notify,
}

impl Closer {
    /// Serves no further request on the connection.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.notify.notify_one();
    }

    async fn closed(&self) {
        while !self.closing.get() {
            self.notify.notified().await;
        }
    }
}

type Answer = Pin<Box<dyn Future<Output = Result<CallerResponse, Infallible>>>>;

/// Serves a connection until either end closes it.
pub(crate) async fn serve_caller(app: Rc<App>, socket: TcpStream) {
    let closer = Rc::new(Closer::default());
    let service = service_fn({
        let (app, closer) = (Rc::clone(&app), Rc::clone(&closer));
        move |request: Request<Incoming>| -> Answer {
            let (app, closer) = (Rc::clone(&app), Rc::clone(&closer));
            Box::pin(async move { Ok(dispatch(app, request, closer).await) })
        }
    });
    let limits = app.settings.callers;
    let io = TokioIo::new(GuardedStream::new(socket, limits));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .max_headers(PARSER_HEADERS)
        .serve_connection(io, service);
    let mut stage = app.stage.subscribe();
    let result = {
        let mut finished = pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
        tokio::select! {
            result = &mut finished => Some(result),
            () = closer.closed() => None,
            _ = stage.wait_for(|stage| stage.is_draining()) => None,
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
            let id = new_request_id().to_string();
            let error = ApiError::new(fault.code(), fault.to_string());
            app.metrics.record_refusal(error.code.as_str());
            log::info!("event=head_refused request_id={id} code={}", error.code.as_str());
            let answer = raw_error_answer(&error, &id);
            if timeout(LINGER_LIMIT, socket.write_all(answer.as_bytes())).await.is_ok() {
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
    let _drained = timeout(LINGER_LIMIT, drain).await;
}
