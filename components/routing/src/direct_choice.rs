//! What a direct request needs, and what was chosen for it.

use std::net::SocketAddr;

use compact_str::CompactString;
use wire::AdapterName;

use crate::{PrefixLink, TargetKey};

/// What a generation needs.
#[derive(Clone, Copy, Debug)]
pub struct GenerationRequirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Base model.
    pub model: &'a str,
    /// Adapter on it.
    pub adapter: Option<&'a str>,
    /// Links of the prompt.
    pub links: &'a [PrefixLink],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer will probably have.
    pub output_tokens: u64,
    /// Targets that must not be chosen, because they failed this request before.
    pub exclude: &'a [TargetKey],
}

impl GenerationRequirements<'_> {
    /// The adapter with its model.
    pub fn adapter_name(&self) -> Option<AdapterName> {
        self.adapter
            .map(|adapter| AdapterName { model: self.model.into(), adapter: adapter.into() })
    }
}

/// What a plain request needs.
#[derive(Clone, Copy, Debug)]
pub struct DirectPlainRequirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Targets that must not be chosen.
    pub exclude: &'a [TargetKey],
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectPick {
    /// Target.
    pub key: TargetKey,
    /// Its id.
    pub id: CompactString,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Estimated time until the first event or the answer, in milliseconds.
    pub estimate_ms: f64,
    /// Part of it that the target needs to read the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Tokens of the prompt that must be read.
    pub uncached_tokens: u64,
    /// Whether the adapter must be loaded first.
    pub needs_adapter_load: bool,
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectChoice {
    /// A target.
    Serve(DirectPick),
    /// No usable target holds the model.
    NoCopy {
        /// Shortest time until one that is loading it has it, in milliseconds.
        loading_ms: Option<u32>,
    },
    /// The service has no usable target at all.
    NoTarget,
}
