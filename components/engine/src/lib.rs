//! Client of a model engine.
//!
//! The traits abstract the engine; the HTTP client implements the protocol of `docs/engine-api.md`.
//! Every response and every event is checked against the id of its request.

mod answer;
mod call;
mod engine;
mod error;
mod http_answer;
mod http_engine;
mod limits;
mod order;
mod report;
mod sse;

pub use answer::{Answer, AnswerError, AnswerEvent, FinishReason};
pub use call::{GenerateCall, ResumeFrom};
pub use engine::Engine;
pub use error::EngineError;
pub use http_answer::HttpAnswer;
pub use http_engine::HttpEngine;
pub use limits::EngineLimits;
pub use order::{EngineRole, Order, OrderKind, OrderResult};
pub use report::{
    CacheEvent, CacheEventKind, CacheEvents, EngineState, LoadSample, ModelState, ResidentModel,
};
