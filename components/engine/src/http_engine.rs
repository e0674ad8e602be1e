//! HTTP client for a model engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use api::ResponseFraming;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    CacheEvents, Engine, EngineError, EngineLimits, EngineState, GenerateCall, HttpAnswer,
    LoadSample, Order, OrderKind, OrderResult,
};

/// Maximum size of a non-streamed response; bounds the client's memory.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Client of one engine; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    address: SocketAddr,
    limits: EngineLimits,
    client: Client<HttpConnector, Full<Bytes>>,
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
        let mut connector = HttpConnector::new();
        // The connect timeout must be shorter than the call's limit: only a connect error proves
        // that nothing was sent.
        connector.set_connect_timeout(Some(limits.connect));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
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
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, id)
            .body(Full::new(body))
            // The id is not a valid header value or path; nothing is sent.
            .map_err(|_| EngineError::Rejected { status: 400 })?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { EngineError::Unreachable } else { EngineError::OutcomeUnknown }
        })?;
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

    /// Returns the body of a response and what marks its end.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(ResponseFraming, Bytes), EngineError> {
        let exchange = async {
            let response = self.send(method, path, id, body).await?;
            let framing = ResponseFraming::decode(response.headers());
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let collected = body.collect().await.map_err(|_| EngineError::OutcomeUnknown)?;
            Ok((framing, collected.to_bytes()))
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
        self.exchange(method, path, id, body, limit).await.map(|(_, body)| body)
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
        match self.exchange(Method::POST, "/kv/export", id, body, limit).await? {
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
