//! Settings of the stand-in engine.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A model that is resident from the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PreloadedModel {
    /// Model.
    pub model: CompactString,
    /// Version.
    pub version: CompactString,
    /// Memory in MB.
    pub memory_mb: u64,
}

/// Settings of the stand-in engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name with which the engine loads from the weight store.
    pub name: CompactString,
    /// Memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Models resident from the start; a restart loses them.
    pub models: Vec<PreloadedModel>,
    /// Most requests in the batch.
    pub batch: usize,
    /// Most requests that wait for a place in the batch; more are answered 503.
    pub max_waiting: usize,
    /// Time between tokens of one request, in microseconds.
    pub token_us: u64,
    /// Time for a prompt token that is not in the prefix cache, in microseconds.
    pub prefill_us_per_token: u64,
    /// Length of an answer that is not cut by its limit, in tokens; zero for up to the limit.
    pub answer_tokens: u64,
    /// KV cache blocks, for the load report.
    pub kv_blocks: u64,
    /// Blocks in the prompt prefix cache.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub honours_fencing: bool,
    /// Whether broken answers can be resumed.
    pub resumes: bool,
    /// Age that the load report reaches, in milliseconds.
    pub load_report_lag_ms: u64,
    /// Time after which a cache event shows, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of the cache events that are lost, in percent.
    pub cache_event_loss_percent: u32,
    /// Weight store; without one a load takes the time that its order names.
    pub weight_store: Option<SocketAddr>,
    /// Time for an unload, in milliseconds.
    pub unload_ms: u64,
    /// Time for which an order is on its way, in milliseconds.
    pub order_delay_ms: u64,
    /// Number of orders to come that are lost before they are executed.
    pub lose_orders: u32,
    /// Number of orders to come that are executed without an answer.
    pub lose_order_answers: u32,
    /// Number of orders to come that fail.
    pub fail_orders: u32,
    /// A lost answer leaves the connection open instead of breaking it.
    pub lost_hang: bool,
    /// Number of generations to come that are lost before they run.
    pub lose_generations: u32,
    /// Number of generations to come that are answered 503.
    pub refuse_generations: u32,
    /// Number of answers to come that end after `truncate_after_tokens`.
    pub truncate_answers: u32,
    /// Number of answers to come that fall silent after `truncate_after_tokens`.
    pub stall_answers: u32,
    /// Tokens before a truncated or stalled answer's end.
    pub truncate_after_tokens: u64,
    /// A truncated answer ends its body in order instead of breaking the connection.
    pub truncate_cleanly: bool,
    /// Number of answers to come that begin late.
    pub late_answers: u32,
    /// How late they begin, in milliseconds.
    pub late_ms: u64,
    /// Number of answers to come whose head carries another request's id.
    pub cross_heads: u32,
    /// Number of token events to come that go out under another request's id.
    pub misaddress_events: u32,
    /// Chance of another request's event before each token event, in percent.
    pub crossed_events_percent: u32,
    /// Chance of a token event being sent twice, in percent.
    pub repeated_events_percent: u32,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: CompactString::const_new("engine"),
            capacity_mb: 80_000,
            models: Vec::new(),
            batch: 8,
            max_waiting: 64,
            token_us: 2_000,
            prefill_us_per_token: 0,
            answer_tokens: 0,
            kv_blocks: 10_000,
            cache_blocks: 1_000,
            honours_fencing: true,
            resumes: true,
            load_report_lag_ms: 100,
            cache_event_lag_ms: 50,
            cache_event_loss_percent: 0,
            weight_store: None,
            unload_ms: 5,
            order_delay_ms: 0,
            lose_orders: 0,
            lose_order_answers: 0,
            fail_orders: 0,
            lost_hang: false,
            lose_generations: 0,
            refuse_generations: 0,
            truncate_answers: 0,
            stall_answers: 0,
            truncate_after_tokens: 3,
            truncate_cleanly: false,
            late_answers: 0,
            late_ms: 200,
            cross_heads: 0,
            misaddress_events: 0,
            crossed_events_percent: 0,
            repeated_events_percent: 0,
            seed: 1,
        }
    }
}
