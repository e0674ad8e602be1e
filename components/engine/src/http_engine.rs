//! HTTP client for a model engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use api::ResponseFraming;
use bytes::Bytes;
use calls::{READ_BUFFER_BYTES, ResponseWatch, TargetConnector, collect_body};
use compact_str::{CompactString, format_compact};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    CacheEvents, Engine, EngineError, EngineLimits, EngineState, GenerateCall, HttpAnswer,
    LoadSample, Order, OrderKind, OrderResult,
};

/// Limit on a response that is neither an answer nor a KV cache. Decoded JSON may take some ten times its
/// bytes, and a side process has 128 MB of memory.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Limit on a KV cache.
const MAX_KV_BYTES: usize = 64 << 20;
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Client of one engine; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    address: SocketAddr,
    limits: EngineLimits,
    client: Client<TargetConnector, Full<Bytes>>,
    dropped: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
}

#[derive(Serialize)]
struct RequestIdBody<'a> {
    id: &'a str,
}

#[derive(Deserialize, Serialize)]
struct FenceBody {
    fencing: u64,
}

#[derive(Deserialize)]
struct FenceAnswer {
    floor: u64,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'a str,
    fencing: u64,
    deadline_ms: u64,
    #[serde(flatten)]
    kind: &'a OrderKind,
}

#[derive(Deserialize)]
struct OrderAnswer {
    order: CompactString,
    result: OrderResult,
}

impl HttpEngine {
    /// Creates a client for the engine at `address`.
    pub fn new(address: SocketAddr, limits: EngineLimits) -> Self {
        let connector = TargetConnector::new(limits.connect);
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(connector);
        let (dropped, calls) = (Arc::default(), Arc::default());
        Self { address, limits, client, dropped, calls }
    }

    /// Number of dropped responses and events, which were late or belonged to another request.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn next_id(&self) -> CompactString {
        format_compact!("call-{}", self.calls.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a request and checks that the response head carries its id.
    async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, EngineError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, id)
            .body(Full::new(body))
            // The id is not a valid header value or path; nothing is sent.
            .map_err(|_| EngineError::Rejected { status: 400 })?;
        let watch = ResponseWatch::default();
        watch.watch(&mut request);
        let response = tokio::select! {
            response = self.client.request(request) => response.map_err(|error| {
                let unreachable = error.is_connect();
                if unreachable { EngineError::Unreachable } else { EngineError::OutcomeUnknown }
            })?,
            () = watch.interim_exceeded() => return Err(EngineError::OutcomeUnknown),
        };
        if response
            .headers()
            .get(REQUEST_ID_HEADER)
            .is_none_or(|value| value.as_bytes() != id.as_bytes())
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            log::warn!("event=engine_answer_dropped request_id={id} path={path}");
            return Err(EngineError::Mismatched);
        }
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::NOT_FOUND => Err(EngineError::NotResident),
            StatusCode::SERVICE_UNAVAILABLE => Err(EngineError::Busy),
            status if status.is_client_error() => {
                Err(EngineError::Rejected { status: status.as_u16() })
            }
            _ => Err(EngineError::OutcomeUnknown),
        }
    }

    /// Returns the body of a response of at most `max_bytes` and what marks its end.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: Bytes,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(ResponseFraming, Bytes), EngineError> {
        let exchange = async {
            let response = self.send(method, path, id, body).await?;
            let framing = ResponseFraming::decode(response.headers());
            let collected = collect_body(response.into_body(), max_bytes).await;
            Ok((framing, collected.map_err(|_| EngineError::OutcomeUnknown)?))
        };
        timeout(limit, exchange).await.unwrap_or(Err(EngineError::OutcomeUnknown))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, EngineError> {
        let exchange = self.exchange(method, path, id, body, limit, MAX_RESPONSE_BYTES);
        exchange.await.map(|(_, body)| body)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let id = self.next_id();
        parse(&self.call(Method::GET, path, &id, Bytes::new(), self.limits.call).await?)
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, EngineError> {
    serde_json::from_slice(bytes).map_err(|_| EngineError::Malformed)
}

fn to_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value)
        .unwrap_or_else(|error| unreachable!("request bodies always serialise: {error}"))
        .into()
}

impl Engine for HttpEngine {
    type Answer = HttpAnswer;

    async fn generate(&self, call: &GenerateCall) -> Result<HttpAnswer, EngineError> {
        let sent = self.send(Method::POST, "/generate", &call.id, to_json(call));
        let response =
            timeout(self.limits.event, sent).await.map_err(|_| EngineError::OutcomeUnknown)??;
        let next_index = call.resume.as_ref().map_or(0, |resume| resume.tokens);
        Ok(HttpAnswer::new(
            call.id.clone(),
            response.into_body(),
            next_index,
            call.max_tokens,
            self.limits.event,
            self.dropped.clone(),
        ))
    }

    async fn cancel(&self, id: &str) -> Result<(), EngineError> {
        let body = to_json(&RequestIdBody { id });
        self.call(Method::POST, "/cancel", id, body, self.limits.call).await.map(drop)
    }

    async fn order(&self, order: &Order) -> Result<OrderResult, EngineError> {
        let body = to_json(&OrderBody {
            order: &order.id,
            fencing: order.fencing,
            deadline_ms: u64::try_from(order.deadline.as_millis()).unwrap_or(u64::MAX),
            kind: &order.kind,
        });
        let limit = order.deadline + self.limits.order_margin;
        let bytes = self.call(Method::POST, order.kind.path(), &order.id, body, limit).await?;
        let answer: OrderAnswer = parse(&bytes)?;
        if answer.order != order.id {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Err(EngineError::Mismatched);
        }
        Ok(answer.result)
    }

    async fn fence(&self, fencing: u64) -> Result<u64, EngineError> {
        let body = to_json(&FenceBody { fencing });
        let id = self.next_id();
        let bytes = self.call(Method::POST, "/fence", &id, body, self.limits.call).await?;
        parse::<FenceAnswer>(&bytes).map(|answer| answer.floor)
    }

    async fn state(&self) -> Result<EngineState, EngineError> {
        self.get("/state").await
    }

    async fn load(&self) -> Result<LoadSample, EngineError> {
        self.get("/load").await
    }

    async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.get(&format!("/cache-events?after={after}")).await
    }

    async fn export_kv(&self, id: &str) -> Result<Bytes, EngineError> {
        let body = to_json(&RequestIdBody { id });
        let limit = self.limits.kv_transfer;
        let exchange = self.exchange(Method::POST, "/kv/export", id, body, limit, MAX_KV_BYTES);
        match exchange.await? {
            (ResponseFraming::Chunked | ResponseFraming::Length, cache) => Ok(cache),
            // Unlike JSON, a cache doesn't show that its end is missing.
            (ResponseFraming::ConnectionEnd, _) => Err(EngineError::OutcomeUnknown),
        }
    }

    async fn import_kv(&self, id: &str, model: &str, cache: Bytes) -> Result<(), EngineError> {
        let path = format!("/kv/import?id={id}&model={model}");
        self.call(Method::POST, &path, id, cache, self.limits.kv_transfer).await.map(drop)
    }
}
