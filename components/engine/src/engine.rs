//! Interface of a model engine.

use bytes::Bytes;

use crate::{
    Answer, CacheEvents, EngineError, EngineState, GenerateCall, LoadSample, Order, OrderResult,
};

/// A model engine.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait Engine {
    /// A response in progress.
    type Answer: Answer;

    /// Starts a generation; with `resume` it continues an interrupted one.
    ///
    /// # Errors
    ///
    /// [`EngineError::may_have_taken_effect`] reports whether the engine may have run it.
    async fn generate(&self, call: &GenerateCall) -> Result<Self::Answer, EngineError>;

    /// Cancels a generation; an unknown id is not an error.
    ///
    /// # Errors
    ///
    /// The engine may not have received the cancellation.
    async fn cancel(&self, id: &str) -> Result<(), EngineError>;

    /// Sends an order and waits for its result, at most until its deadline plus a margin.
    ///
    /// # Errors
    ///
    /// If [`EngineError::may_have_taken_effect`], the order may have been executed or may still be.
    async fn order(&self, order: &Order) -> Result<OrderResult, EngineError>;

    /// Raises the lowest fencing number that the engine accepts, and returns it; zero if the engine
    /// does not support fencing.
    ///
    /// # Errors
    ///
    /// The call is idempotent and can be repeated.
    async fn fence(&self, fencing: u64) -> Result<u64, EngineError>;

    /// Reads the current state.
    ///
    /// # Errors
    ///
    /// The call has no effect.
    async fn state(&self) -> Result<EngineState, EngineError>;

    /// Reads the load, which lags by the age of the sample.
    ///
    /// # Errors
    ///
    /// The call has no effect.
    async fn load(&self) -> Result<LoadSample, EngineError>;

    /// Reads the events of the prompt prefix cache after a sequence number.
    ///
    /// # Errors
    ///
    /// The call has no effect.
    async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError>;

    /// Exports the KV cache of a running or recently finished request.
    ///
    /// # Errors
    ///
    /// `NotResident` if the request is unknown to the engine.
    async fn export_kv(&self, id: &str) -> Result<Bytes, EngineError>;

    /// Imports a KV cache for a request that will be resumed here.
    ///
    /// # Errors
    ///
    /// The request can be resumed without the import, only slower.
    async fn import_kv(&self, id: &str, model: &str, cache: Bytes) -> Result<(), EngineError>;
}
