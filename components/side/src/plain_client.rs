//! HTTP/1.1 client for a plain service.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use api::is_final_status;
use bytes::Bytes;
use calls::{ResponseWatch, WatchedBody, open_http};
use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use hyper::client::conn::http1::SendRequest;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use wire::{ForwardHead, Header};

/// Time limit for opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Hop-by-hop header fields, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why a call that was sent has no response.
#[derive(Debug)]
pub(crate) enum NoResponse {
    /// The connection failed.
    Broken(hyper::Error),
    /// The status is none that ends a call.
    NotFinal(StatusCode),
}

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::NotFinal(status) => write!(f, "status {} ends no call", status.as_u16()),
        }
    }
}

/// A connection to the target for one call.
///
/// Each call opens its own connection: if the target closed a kept-alive one while a call is being
/// sent, the outcome of a call that it never read would be unknown.
pub(crate) struct PlainConnection<B> {
    sender: SendRequest<B>,
    io_task: AbortHandle,
    watch: ResponseWatch,
}

/// Closes the connection, so that a target that has responded and does not read the rest of the body
/// holds nothing.
impl<B> Drop for PlainConnection<B> {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}

impl<B> PlainConnection<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    /// Opens a connection without sending anything.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection, watch) = open_http(stream).await.ok()?;
        let io_task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=target_connection_ended error=\"{error}\"");
            }
        });
        Some(Self { sender, io_task: io_task.abort_handle(), watch })
    }

    /// Sends the call; from this point it may have run.
    pub async fn send(
        &mut self,
        mut request: Request<B>,
    ) -> Result<Response<WatchedBody>, NoResponse> {
        self.watch.watch(&mut request);
        match self.sender.send_request(request).await {
            Ok(response) if !is_final_status(response.status()) => {
                Err(NoResponse::NotFinal(response.status()))
            }
            Ok(response) => Ok(self.watch.watch_body(response)),
            Err(error) => Err(NoResponse::Broken(error)),
        }
    }
}

/// Builds the request of a call; none if its head is not valid HTTP.
pub(crate) fn request_of<B>(
    head: &ForwardHead,
    address: SocketAddr,
    body: B,
) -> Option<Request<B>> {
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let uri: Uri = head.path_and_query.parse().ok()?;
    if !head.path_and_query.starts_with('/') {
        return None;
    }
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    let headers = request.headers_mut();
    for field in &head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        // The length is derived from the body, so that the two can't differ.
        if HOP_BY_HOP.contains(&name) || name == header::CONTENT_LENGTH {
            continue;
        }
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    }
    Some(request)
}

/// Header fields of a response that are forwarded to the caller.
pub(crate) fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(name) && !listed.iter().any(|other| other == name.as_str())
        })
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}
