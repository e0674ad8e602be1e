//! A model engine as the system sees it.

use bytes::Bytes;

use crate::{
    Answer, CacheEvents, EngineError, EngineState, GenerateCall, LoadSample, Order, OrderResult,
};

/// A model engine.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait Engine {
    /// An answer in progress.
    type Answer: Answer;

    /// Starts a generation; with `resume` it goes on where another one broke off.
    ///
    /// # Errors
    ///
    /// `may_have_taken_effect` tells whether the engine may have run it.
    async fn generate(&self, call: &GenerateCall) -> Result<Self::Answer, EngineError>;

    /// Cancels a generation; no error if it is unknown.
    ///
    /// # Errors
    ///
    /// The engine may not know of the cancellation.
    async fn cancel(&self, id: &str) -> Result<(), EngineError>;

    /// Gives an order and waits for its result, at most its deadline and a margin.
    ///
    /// # Errors
    ///
    /// With `may_have_taken_effect` the order may have been, or may still be, executed.
    async fn order(&self, order: &Order) -> Result<OrderResult, EngineError>;

    /// Raises the lowest fencing number that the engine accepts and returns it; zero if the engine
    /// ignores fencing numbers.
    ///
    /// # Errors
    ///
    /// Repeating the call is harmless.
    async fn fence(&self, fencing: u64) -> Result<u64, EngineError>;

    /// Reads the exact state.
    ///
    /// # Errors
    ///
    /// The call has no effect.
    async fn state(&self) -> Result<EngineState, EngineError>;

    /// Reads the lagging load.
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

    /// Exports the KV cache of a running or just finished request.
    ///
    /// # Errors
    ///
    /// `NotResident` if the engine does not know the request.
    async fn export_kv(&self, id: &str) -> Result<Bytes, EngineError>;

    /// Imports a KV cache for a request that will be resumed here.
    ///
    /// # Errors
    ///
    /// Resuming works without the import, only slower.
    async fn import_kv(&self, id: &str, model: &str, cache: Bytes) -> Result<(), EngineError>;
}
