//! Limits of the engines of a service.

/// What each engine of a service can hold and do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineLimits {
    /// Requests in a batch.
    pub batch: u32,
    /// Memory for prompts and generated text, in tokens.
    pub cache_tokens: u64,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: u64,
    /// Memory of the host for copies of weights, in MB.
    pub host_mb: u64,
    /// Disk for copies of weights, in MB.
    pub disk_mb: u64,
    /// Most adapters at once, those being loaded included.
    pub adapter_slots: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Most callers that may wait for cache events of one engine.
    pub event_waiters: u32,
    /// Loads from the weight store in 1,000 seconds, over all engines.
    pub loads_per_1000_s: u64,
}
