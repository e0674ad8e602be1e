//! Requirements of requests that a gateway sends directly, and the target chosen for them.

use std::net::SocketAddr;

use compact_str::CompactString;
use wire::AdapterName;

use crate::{PrefixLink, TargetKey};

/// Requirements of a generation.
#[derive(Clone, Copy, Debug)]
pub struct GenerationRequirements<'a> {
    /// Service whose targets may be chosen.
    pub service: &'a str,
    /// Base model.
    pub model: &'a str,
    /// Adapter of the base model.
    pub adapter: Option<&'a str>,
    /// Prefix links of the prompt.
    pub links: &'a [PrefixLink],
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Estimated number of output tokens.
    pub output_tokens: u64,
    /// Version of the software that must serve the request; any if none.
    pub software: Option<&'a str>,
    /// Targets that must not be chosen, because they failed this request before.
    pub exclude: &'a [TargetKey],
}

impl GenerationRequirements<'_> {
    /// Returns the adapter together with its model.
    pub fn adapter_name(&self) -> Option<AdapterName> {
        self.adapter
            .map(|adapter| AdapterName { model: self.model.into(), adapter: adapter.into() })
    }
}

/// Requirements of a request to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct DirectPlainRequirements<'a> {
    /// Service whose targets may be chosen.
    pub service: &'a str,
    /// Version of the software that must serve the request; any if none.
    pub software: Option<&'a str>,
    /// Targets that must not be chosen.
    pub exclude: &'a [TargetKey],
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectPick {
    /// Key of the target.
    pub key: TargetKey,
    /// Id of the target.
    pub id: CompactString,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Estimated time until the first event or the response, in milliseconds.
    pub estimate_ms: f64,
    /// The estimate without what the target's present speed adds, in milliseconds. Admission uses it,
    /// so that a slow target does not cause refusals.
    pub admission_ms: f64,
    /// Prefill time included in the estimate, in milliseconds.
    pub prefill_ms: f64,
    /// Number of prompt tokens that are not cached at the target.
    pub uncached_tokens: u64,
    /// Requests at the target when it was chosen, including this one.
    pub in_flight: u32,
    /// Whether the target must load the adapter first.
    pub needs_adapter_load: bool,
}

/// Result of choosing a target.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectChoice {
    /// The chosen target.
    Serve(DirectPick),
    /// Usable targets exist, but none can serve the model.
    NoCopy {
        /// Shortest remaining load time among targets that are loading the model, in milliseconds.
        loading_ms: Option<u32>,
    },
    /// Every target that could serve the request has named a limit, and this gateway may not send it
    /// another request yet.
    Limited {
        /// Target at which a request may be sent first.
        key: TargetKey,
    },
    /// The service has no usable target.
    NoTarget,
}
