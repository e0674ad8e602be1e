//! One request of the workload.

use base::{AdapterId, CustomerId, ModelId, Timestamp, Tokens};

/// A request, as a caller sends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// When it reaches an entry process.
    pub at: Timestamp,
    /// Customer.
    pub customer: CustomerId,
    /// Base model.
    pub model: ModelId,
    /// Adapter.
    pub adapter: Option<AdapterId>,
    /// Prompt tokens.
    pub prompt_tokens: Tokens,
    /// Output tokens that the model will generate.
    pub output_tokens: Tokens,
    /// Limit that the caller gives; reserved at admission.
    pub max_output_tokens: Tokens,
    /// Entry process that the load balancer picks, modulo their number.
    pub entry: u32,
}

impl Arrival {
    /// Tokens reserved at admission.
    pub fn reserved(&self) -> Tokens {
        self.prompt_tokens + self.max_output_tokens
    }

    /// Tokens used once the answer is whole.
    pub fn used(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }
}
