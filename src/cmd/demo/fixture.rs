//! Configuration of the demo deployment.

use config::format_sha256;
use sha2::{Digest, Sha256};

/// API key of the customer `capel`.
pub(super) const CAPEL_KEY: &str = "demo-key-capel-5a1c";
/// Second API key of the customer `capel`, withdrawn during the checks.
pub(super) const WITHDRAWN_KEY: &str = "demo-key-capel-old-77e0";
/// Name of [`WITHDRAWN_KEY`] in the configuration.
pub(super) const WITHDRAWN_KEY_NAME: &str = "capel-old";
/// API key of the customer `stiwdio`, which has a low rate limit.
pub(super) const STIWDIO_KEY: &str = "demo-key-stiwdio-93bd";
/// Burst of the customer `stiwdio` in tokens.
pub(super) const STIWDIO_BURST: u64 = 60;
/// Region of all processes.
pub(super) const REGION: &str = "cymru-de";
/// Data centres over which processes and targets are spread.
pub(super) const DATA_CENTRES: [&str; 2] = ["caerdydd-a", "abertawe-a"];
/// Names of the engines.
pub(super) const ENGINES: [&str; 3] = ["llais-1", "llais-2", "llais-3"];
/// Memory of an engine in MB.
pub(super) const ENGINE_MB: u64 = 24_000;
/// Memory of the model `teyrnged` in MB.
pub(super) const TEYRNGED_MB: u64 = 8_000;

fn sha256(key: &str) -> String {
    format_sha256(&Sha256::digest(key).into())
}

/// Returns the base file of the configuration.
pub(super) fn base_file() -> String {
    let (capel, old, stiwdio) = (sha256(CAPEL_KEY), sha256(WITHDRAWN_KEY), sha256(STIWDIO_KEY));
    let engines: String = ENGINES
        .iter()
        .zip(DATA_CENTRES.iter().cycle())
        .map(|(name, data_centre)| {
            format!(
                "      - {{name: {name}, data_centre: {data_centre}, memory_mb: {ENGINE_MB}, \
                 batch: 8, tokens_per_s: 4000, honours_fencing: true}}\n"
            )
        })
        .collect();
    format!(
        "\
name: cwmcapsiwn-demo
data_centres:
  - {{name: {d0}, region: {REGION}}}
  - {{name: {d1}, region: {REGION}}}
customers:
  - {{name: capel, rate_tokens_per_s: 100000, burst_tokens: 400000, weight: 2}}
  - {{name: stiwdio, rate_tokens_per_s: 1, burst_tokens: {STIWDIO_BURST}}}
keys:
  - {{name: capel-1, customer: capel, sha256: {capel}}}
  - {{name: {WITHDRAWN_KEY_NAME}, customer: capel, sha256: {old}}}
  - {{name: stiwdio-1, customer: stiwdio, sha256: {stiwdio}}}
services:
  - name: llais-models
    targets:
{engines}  - name: taliadau
    kind: plain
    targets:
      - {{name: taliadau-1, data_centre: {d0}, batch: 16}}
models:
  - {{name: teyrnged, version: v1, service: llais-models, memory_mb: {TEYRNGED_MB}, residency: always, load_ms: 200}}
  - {{name: capsiwn, version: v1, service: llais-models, memory_mb: 6000, load_ms: 200}}
  - {{name: archeb, version: v1, service: llais-models, memory_mb: 6000, load_ms: 200, customers: [stiwdio]}}
adapters:
  - {{name: teyrnged-capel, model: teyrnged, memory_mb: 100, customers: [capel]}}
routes:
  - {{name: payments, prefix: /payments/, service: taliadau, customers: [capel], timeout_ms: 5000}}
  - {{name: images, prefix: /images/, service: taliadau, public: true, repeatable: true, timeout_ms: 5000}}
weight_store: {{loads_per_1000_s: 4000, concurrent_loads: 4}}
",
        d0 = DATA_CENTRES[0],
        d1 = DATA_CENTRES[1],
    )
}
