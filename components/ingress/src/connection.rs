//! Connection of a caller.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use api::HeadError;
use bytes::Bytes;
use config::CallerLimits;
use http::Request;
use http::header::{CONNECTION, HeaderValue};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use crate::connection_activity::ConnectionActivity;
use crate::head_validating_stream::{HeadValidatingStream, waiting_bytes};
use crate::{
    BudgetedConnection, CallerResponse, CloseCause, ConnectionCloser, ConnectionEnd,
    ResponseAborted, ResponseBody,
};

/// Longest time to read from a connection after its last response (lingering close), so that the
/// caller receives the response before the reset that unread bytes would cause.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes read during that time.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Header limit of the HTTP parser; heads were checked against the configured limit before.
const PARSER_MAX_HEADERS: usize = 256;
/// Size of the HTTP server's buffers beyond the limit on heads. Its default, 400 KB for each
/// connection, is more than the memory of a connection.
const BUFFER_BYTES_BEYOND_HEAD: usize = 16 << 10;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Limits for request heads.
    pub limits: CallerLimits,
    /// Longest idle time between requests.
    pub idle_timeout: Duration,
}

/// Serves a connection until either side or the budget closes it; returns how it ended.
///
/// Once `draining` completes, each response announces the end of the connection, and one that stays
/// idle is closed later. `refuse` returns the bytes of the response to a rejected request head.
pub async fn serve_caller<A>(
    socket: TcpStream,
    options: ConnectionOptions,
    budgeted: Rc<BudgetedConnection>,
    handle: impl Fn(Request<Incoming>, Rc<ConnectionCloser>) -> A,
    refuse: impl FnOnce(HeadError) -> String,
    draining: impl Future<Output = ()>,
) -> ConnectionEnd
where
    A: Future<Output = CallerResponse> + 'static,
{
    let closer = Rc::new(ConnectionCloser::default());
    let activity = Rc::new(ConnectionActivity::new(Instant::now()));
    let service = |request: Request<Incoming>| {
        budgeted.start_request();
        activity.start_request();
        let response = handle(request, Rc::clone(&closer));
        let (budgeted, activity) = (Rc::clone(&budgeted), Rc::clone(&activity));
        // Boxed because the connection must be `Unpin` to be taken apart at its end.
        Box::pin(async move {
            let mut response = response.await;
            if activity.is_draining() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            budgeted.start_response(response.body().size_hint().lower());
            Ok::<_, Infallible>(response.map(|body| ReportedBody { body, budgeted, activity }))
        })
    };
    let mut stream = HeadValidatingStream::new(
        socket,
        options.limits,
        Rc::clone(&budgeted),
        Rc::clone(&activity),
    );
    let mut draining = pin!(draining);
    loop {
        let io = TokioIo::new(stream);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(options.idle_timeout)
            .max_headers(PARSER_MAX_HEADERS)
            .max_buf_size(options.limits.head_bytes + BUFFER_BYTES_BEYOND_HEAD)
            .serve_connection(io, service_fn(&service));
        let mut cause = {
            let mut served = pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
            loop {
                let next_check = activity.next_check(Instant::now());
                // Nothing is read once the budget has closed the connection; otherwise the HTTP server
                // comes first, so that it reads what has arrived.
                tokio::select! {
                    biased;
                    () = budgeted.closed() => break CloseCause::Budget,
                    result = &mut served => break CloseCause::of(result),
                    () = closer.closed() => break CloseCause::Handler,
                    () = &mut draining, if !activity.is_draining() => {
                        activity.start_drain(Instant::now());
                    }
                    () = sleep_until(next_check), if activity.is_draining() => {
                        if activity.is_unused(Instant::now()) {
                            break CloseCause::Drain;
                        }
                    }
                }
            }
        };
        if cause == CloseCause::Handler {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                biased;
                () = budgeted.closed() => cause = CloseCause::Budget,
                result = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    if result.is_err() {
                        cause = CloseCause::of(result);
                    }
                }
            }
        }
        let parts = connection.into_parts();
        stream = parts.io.into_inner();
        if cause == CloseCause::Drain && stream.has_input() {
            activity.finish_request(Instant::now());
            continue;
        }
        return close(stream, parts.read_buf.len(), cause, refuse).await;
    }
}

/// Closes a connection that is no longer served; `unread_bytes` were read and not handled.
async fn close(
    stream: HeadValidatingStream,
    unread_bytes: usize,
    cause: CloseCause,
    refuse: impl FnOnce(HeadError) -> String,
) -> ConnectionEnd {
    let fault = stream.head_fault();
    let unread_bytes = unread_bytes + stream.buffered_bytes();
    let mut end = ConnectionEnd { cause, unread_bytes, late_bytes: 0 };
    let mut socket = stream.into_socket();
    if let Some(fault) = fault {
        end.cause = CloseCause::Fault;
        let response = refuse(fault);
        if timeout(LINGER_TIMEOUT, socket.write_all(response.as_bytes())).await.is_ok() {
            linger(socket, &mut end).await;
        }
        return end;
    }
    match end.cause {
        CloseCause::Budget | CloseCause::Broken => end.unread_bytes += waiting_bytes(&socket),
        // Nothing is read any more: a caller may send a request again that was not read.
        CloseCause::Drain => {
            if let Err(error) = socket.shutdown().await {
                log::debug!("event=caller_connection_ended error=\"{error}\"");
            }
        }
        CloseCause::Fault | CloseCause::Handler | CloseCause::Server => {
            linger(socket, &mut end).await;
        }
    }
    end
}

/// Body of a response that reports when its last part was taken.
struct ReportedBody {
    body: ResponseBody,
    budgeted: Rc<BudgetedConnection>,
    activity: Rc<ConnectionActivity>,
}

impl Drop for ReportedBody {
    fn drop(&mut self) {
        self.budgeted.finish_response();
        self.activity.finish_response();
    }
}

impl Body for ReportedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Closes the sending side, then reads what the caller still sends, within limits.
async fn linger(mut socket: TcpStream, end: &mut ConnectionEnd) {
    let waiting = waiting_bytes(&socket);
    let mut buffer = [0; 8_192];
    let mut read = 0;
    let drain = async {
        if socket.shutdown().await.is_ok() {
            while read < MAX_LINGER_BYTES {
                match socket.read(&mut buffer).await {
                    Ok(length) if length > 0 => read += length,
                    Ok(_) | Err(_) => break,
                }
            }
        }
    };
    // The socket is dropped whether or not this times out.
    let _drained = timeout(LINGER_TIMEOUT, drain).await;
    end.unread_bytes += waiting;
    end.late_bytes = read.saturating_sub(waiting);
}
