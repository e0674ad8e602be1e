//! A small deployment: a store, a worker with its agent, and a gateway.

use std::io;
use std::time::Duration;

use crate::client::{Answer, call, is_ready, wait_until};
use crate::engine::{Engine, EngineSettings, ModelSize};
use crate::machine::{
    caller_address, engine_address, ready_address, start_agent, start_gateway, store_address,
};
use crate::record::Record;
use crate::store::Store;

const GATEWAY_HOST: u8 = 1;
/// The side machines have this host number and those that follow.
const FIRST_SIDE_HOST: u8 = 11;
/// Name of the gateway's machine.
pub const GATEWAY: &str = "front-caerdydd-a-1";
/// Names of the machines of workers and their agents, without the number.
pub const SIDE: &str = "side-caerdydd-a-";
const SERVICE: &str = "llais-models";
/// Key of the one tenant.
pub const KEY: &str = "key-of-the-chapel";
/// Memory of the worker; the sheet of teyrnged-live has 200 GB and 8 places for adapters.
const WEIGHTS_MB: u64 = 200_000;
const ADAPTER_SLOTS: usize = 8;

/// What differs between the operator's configurations.
pub struct Configuration<'a> {
    pub version: u64,
    pub models: &'a [ModelSize],
    pub keys: &'a [&'a str],
    /// Tokens a second and burst of the tenant; zero for no limit.
    pub rate: (u64, u64),
    pub timeout_ms: u64,
}

impl Configuration<'_> {
    /// The document as the operator writes it.
    pub fn document(&self) -> String {
        let models: Vec<String> = self
            .models
            .iter()
            .map(|model| {
                format!(
                    "{{\"name\":\"{}\",\"weights_mb\":{},\"load_s\":1.2,\"disk_s\":0.4,\
                     \"warm_s\":0.3,\"adapters\":12,\"adapter_mb\":{}}}",
                    model.name, model.weights_mb, model.adapter_mb
                )
            })
            .collect();
        let keys: Vec<String> = self.keys.iter().map(|key| format!("\"{key}\"")).collect();
        let Self { version, timeout_ms, rate: (rate, burst), .. } = self;
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"captions\",\"host\":\"captions.example\",\
             \"path_prefix\":\"/captions/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":2000,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2,\
             \"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"connection_limit\":370,\
             \"engine\":{{\"slots\":64,\"cache_tokens\":239985,\"stride\":4,\"max_count\":4,\
             \"weights_mb\":{WEIGHTS_MB},\"adapter_slots\":{ADAPTER_SLOTS},\"loads_per_s\":1.4,\
             \"host_memory_mb\":0,\"disk_mb\":0,\"models\":[{}]}}}}],\
             \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"chapel\",\"keys\":[{}],\"rate_per_s\":{rate},\"burst\":{burst},\
             \"unit\":\"tokens\",\"plain_tokens\":200}}]}}",
            models.join(","),
            keys.join(",")
        )
    }
}

/// A request of a requester.
pub struct ModelRequest<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub model: &'a str,
    /// Parts of the prompt, as the header has them.
    pub parts: &'a str,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    /// Time that the requester will wait.
    pub deadline: Duration,
}

/// The running deployment.
pub struct Deployment {
    pub store: Store,
    pub engine: Engine,
    /// The other workers of the service.
    _others: Vec<Engine>,
    pub record: Record,
}

impl Deployment {
    /// Starts all with one worker, and waits until the gateway is ready; none if it doesn't become so.
    pub fn start(
        first: &Configuration<'_>,
        sizes: &[ModelSize],
        preloaded: &[&'static str],
        record: &Record,
    ) -> io::Result<Option<Self>> {
        Self::start_with(first, sizes, preloaded, 1, None, record)
    }

    /// The same with so many workers, which a part of a prompt may crash.
    pub fn start_with(
        first: &Configuration<'_>,
        sizes: &[ModelSize],
        preloaded: &[&'static str],
        workers: u8,
        crashing_part: Option<(String, Duration)>,
        record: &Record,
    ) -> io::Result<Option<Self>> {
        let store = Store::start(store_address())?;
        store.put("keyed.op", "config", first.document().as_bytes());
        let mut engines = Vec::new();
        for number in 0..workers {
            let host = FIRST_SIDE_HOST + number;
            let settings = EngineSettings {
                id: format!("i-7f3a91c{number}"),
                service: SERVICE.into(),
                address: engine_address(host),
                weights_mb: WEIGHTS_MB,
                adapter_slots: ADAPTER_SLOTS,
                load: Duration::from_millis(1_200),
                sizes: sizes.to_vec(),
                preloaded: preloaded.to_vec(),
                crashing_part: crashing_part.clone(),
            };
            engines.push(Engine::start(settings, &store, record)?);
            start_agent(&format!("{SIDE}{}", number + 1), host, SERVICE)?;
        }
        start_gateway(GATEWAY, GATEWAY_HOST)?;
        let engine = engines.remove(0);
        let deployment = Self { store, engine, _others: engines, record: record.clone() };
        Ok(wait_until(Duration::from_secs(10), || deployment.is_ready()).then_some(deployment))
    }

    /// Whether the gateway says that it is ready, within a second.
    pub fn is_ready(&self) -> bool {
        is_ready(ready_address(GATEWAY_HOST))
    }

    /// The operator writes a configuration.
    pub fn configure(&self, configuration: &Configuration<'_>, what: &str) {
        self.store.put("keyed.op", "config", configuration.document().as_bytes());
        let version = configuration.version;
        self.record.line(&format!(
            "the store acknowledges version {version} of the configuration: {what}"
        ));
    }

    /// Sends one request and reads the answer for `patience` beyond the deadline.
    pub fn send(&self, request: &ModelRequest<'_>, patience: Duration) -> Answer {
        let ModelRequest { id, key, model, parts, prompt_tokens, output_tokens, deadline } =
            request;
        let head = format!(
            "POST /captions/1 HTTP/1.1\r\nHost: captions.example\r\nPlantainbeam-Attempt-Id: {id}\r\n\
             Plantainbeam-Model: {model}\r\nPlantainbeam-Token-Counts: {prompt_tokens},{output_tokens}\r\n\
             Plantainbeam-Prompt-Prefix: {parts}\r\nPlantainbeam-Deadline-Milliseconds: {}\r\n\
             Authorization: Bearer {key}\r\n",
            deadline.as_millis()
        );
        call(caller_address(GATEWAY_HOST), &head, b"prompt", *deadline + patience)
    }

    /// Sends an ordinary request with two parts; returns whether the answer is a whole success.
    pub fn request(&self, id: &str, model: &str, output_tokens: u64) -> bool {
        let parts = format!("5c1e07a2:60,{:x}:40", part_id(id));
        let request = ModelRequest {
            id,
            key: KEY,
            model,
            parts: &parts,
            prompt_tokens: 100,
            output_tokens,
            deadline: Duration::from_secs(10),
        };
        self.record.line(&format!("sent {id} for {model}"));
        let answer = self.send(&request, Duration::from_secs(1));
        self.record.line(&format!("answered {id}: {}", answer.text()));
        answer.is_success()
    }
}

/// An id for the last part of a prompt (FNV-1a).
pub fn part_id(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}
