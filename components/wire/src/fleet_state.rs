//! Datagrams between gateways and agents: each carries the newest state of its sender, so that a lost
//! one is made up for by the next.

use std::net::SocketAddr;
use std::time::Duration;

use base::{LoadedModel, Offset, ProcessId, WarmCopies};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    EvacuationReport, KnownStream, StreamAnswer, StreamAsk, StreamOrigin, SubjectReport,
    TargetEntry, TargetLimitReport, TargetSpeedReport,
};

/// A datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Datagram {
    /// Sender.
    pub from: ProcessId,
    /// Times.
    pub echo: Echo,
    /// Content.
    pub body: DatagramBody,
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DatagramBody {
    /// State of the sending agent.
    Agent(AgentState),
    /// What the sending gateway wants of an agent.
    Ask(AgentAsk),
    /// State of the sending gateway.
    Gateway(GatewayState),
    /// States of others, from a gateway that speaks for its data centre.
    Relayed {
        /// Whether the receiver passes them on to the gateways of its data centre.
        pass_on: bool,
        /// States.
        items: Vec<RelayedItem>,
    },
    /// What an agent knows of a stream.
    StreamAnswer(StreamAnswer),
    /// Asks an agent for the version that began a stream.
    StreamAsk(StreamAsk),
    /// A stream has begun.
    StreamBegun(StreamOrigin),
    /// Streams that the sender knows: from an agent that stops to a gateway, which passes them on, or from a
    /// gateway to agents that should know them now.
    StreamsKnown(Vec<KnownStream>),
}

/// A state that is passed on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayedItem {
    /// State of an agent.
    Agent(AgentState),
    /// State of a gateway.
    Gateway(GatewayState),
}

/// Newest word that the sender has from the receiver, so that the receiver can tell the age of what
/// it is told.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The sender's own clock when it sent this, in microseconds.
    pub sent_micros: u64,
    /// The `sent_micros` of the newest datagram that came from the receiver; zero for none.
    pub heard_micros: u64,
    /// Run of the receiver that sent it.
    pub heard_incarnation: u64,
}

/// State of a gateway, for the other gateways.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GatewayState {
    /// The gateway.
    pub from: ProcessId,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Its clock when it said so, in microseconds.
    pub sent_micros: u64,
    /// Version of the configuration in force there.
    pub config: Offset,
    /// Newest era of the store that it knows.
    pub store_era: Option<u64>,
    /// Whether the store's content is complete again in that era.
    pub store_era_settled: bool,
    /// Age of its newest evidence that it knows every configuration, in milliseconds.
    pub evidence_age_ms: Option<u32>,
    /// Time since it last read anything on the store itself, in milliseconds.
    pub store_read_age_ms: Option<u32>,
    /// Time since it read the list of targets itself, in milliseconds.
    pub targets_read_age_ms: Option<u32>,
    /// Upper bound on the age of the list of targets that it knows, from its own reads and those that
    /// others told it of, in milliseconds.
    pub targets_view_age_ms: Option<u32>,
    /// Digest of the targets that it knows.
    pub targets_digest: u32,
    /// It takes no new work.
    pub draining: bool,
    /// Tokens that this run of it has admitted, by customer.
    pub admitted: Vec<AdmittedTokens>,
    /// Its work at targets that have any.
    pub work: Vec<TargetWorkCopy>,
    /// Its latest sends.
    pub sends: Vec<SendCopy>,
    /// Demand that it sees.
    pub demand: Vec<ModelLoad>,
    /// Its bound streams, while targets of several versions serve.
    pub bound_streams: Vec<BoundStreams>,
    /// What it has read of targets lately.
    pub news: Vec<TargetNews>,
    /// Short hashes of targets that gave it no answer lately.
    pub silent_targets: Vec<u32>,
    /// Its requests and further sends in the window of the budget, by service.
    pub further_sends: Vec<FurtherSends>,
    /// Evidence on requests and prompt parts that end targets.
    pub suspects: Vec<SubjectReport>,
    /// Limits that targets name, and their ends.
    pub target_limits: Vec<TargetLimitReport>,
    /// Evacuations of data centres that it knows of, and their ends.
    pub evacuations: Vec<EvacuationReport>,
    /// Times of its plain requests at targets.
    pub target_speeds: Vec<TargetSpeedReport>,
}

impl GatewayState {
    /// Adds the time that the state waited at a gateway that passes it on. What it says of the past is that
    /// much older for a receiver, which knows only when the state arrived.
    pub fn add_age(&mut self, waited: Duration) {
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        let ages_of_reads = [
            &mut self.evidence_age_ms,
            &mut self.store_read_age_ms,
            &mut self.targets_read_age_ms,
            &mut self.targets_view_age_ms,
        ];
        let ages = ages_of_reads
            .into_iter()
            .flatten()
            .chain(self.target_limits.iter_mut().map(|report| &mut report.age_ms))
            .chain(self.evacuations.iter_mut().map(|report| &mut report.age_ms));
        ages.for_each(|age_ms| *age_ms = age_ms.saturating_add(waited_ms));
        self.suspects.iter_mut().for_each(|report| report.add_age(waited_ms));
        self.work.iter_mut().for_each(|work| work.add_age(waited_ms));
    }
}

/// Requests to a service, and sends to further targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FurtherSends {
    /// Short hash of the service's name.
    pub service: u32,
    /// Requests in the window.
    pub requests: u32,
    /// Sends to further targets in the window.
    pub further: u32,
}

/// What the list says of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetNews {
    /// Position of the record in the list's topic; of two the later one counts.
    pub offset: Offset,
    /// Target.
    pub id: CompactString,
    /// Its entry; none if it is gone.
    pub entry: Option<TargetEntry>,
}

/// Tokens of a customer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedTokens {
    /// Short hash of the customer's name.
    pub customer: u32,
    /// Tokens admitted since the start of the process.
    pub tokens: u64,
    /// Tokens a second that were asked for lately.
    pub asked_per_s: u64,
}

/// Work at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetWorkCopy {
    /// Short hash of the target's id.
    pub target: u32,
    /// Time for prompts that are not answered yet, in milliseconds.
    pub unread_ms: u32,
    /// Requests without a first event.
    pub waiting: u32,
    /// Requests with a first event.
    pub running: u32,
    /// Memory of all of them, in tokens.
    pub cache_tokens: u64,
    /// Time since the sender itself last heard of the target, in milliseconds; none if it never did.
    pub quiet_ms: Option<u32>,
}

impl TargetWorkCopy {
    /// Adds the time that the report was under way.
    pub fn add_age(&mut self, elapsed_ms: u32) {
        if let Some(quiet_ms) = &mut self.quiet_ms {
            *quiet_ms = quiet_ms.saturating_add(elapsed_ms);
        }
    }
}

/// A send, for the prefixes that the target keeps from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendCopy {
    /// Number at the sender; a number that was seen is not taken again.
    pub number: u64,
    /// Short hash of the target's id.
    pub target: u32,
    /// Links of the prompt.
    pub links: Vec<LinkCopy>,
}

/// A link of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkCopy {
    /// Hash of the prompt up to the end of the part.
    pub hash: u32,
    /// Tokens of the part.
    pub tokens: u32,
}

/// Load that requests for a model put on engines.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelLoad {
    /// Short hash of the model's name.
    pub model: u32,
    /// Engine time asked for in a second, in microseconds.
    pub work_micros_per_s: u64,
    /// Requests in 1,000 seconds.
    pub requests_per_1000_s: u64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
}

/// Streams of a model that may go on only at one version of the engines' software.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BoundStreams {
    /// Short hash of the model's name.
    pub model: u32,
    /// Short hash of the version.
    pub software: u32,
    /// Streams that run or have just ended.
    pub streams: u32,
    /// Requests that wait for a copy at an engine of the version.
    pub waiting: u32,
}

/// What a gateway wants of the agent beside a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentAsk {
    /// Whether the agent should answer with its state.
    pub wants_state: bool,
    /// Version of the configuration that the sender can pass on.
    pub config: Offset,
    /// Newest era of the store that the sender knows.
    pub store_era: Option<u64>,
    /// Id of the life of the target that the sender knows.
    pub target: CompactString,
    /// Unix time of its start in milliseconds, if it says so.
    pub born_ms: Option<u64>,
    /// Adapters of the sender's requests at the target.
    pub used_adapters: Vec<AdapterName>,
    /// Adapters that requests wait for.
    pub wanted_adapters: Vec<AdapterName>,
    /// Models that the engine should hold, from the gateway that plans.
    pub plan: Option<EnginePlan>,
}

/// An adapter of a model.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterName {
    /// Model.
    pub model: CompactString,
    /// Adapter, without the model's name.
    pub adapter: CompactString,
}

/// What one engine should hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnginePlan {
    /// Life of the engine that the plan was made for.
    pub target: CompactString,
    /// Models to hold, with the most wanted first.
    pub models: Vec<PlannedCopy>,
    /// Models that may be unloaded.
    pub surplus: Vec<CompactString>,
}

/// A model that an engine should hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedCopy {
    /// Model.
    pub model: CompactString,
    /// Memory of a copy in MB.
    pub memory_mb: u64,
    /// Whether it may be fetched from the weight store.
    pub may_fetch: bool,
}

/// State of an engine as the agent beside it sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentState {
    /// The agent.
    pub from: ProcessId,
    /// Its clock when it said so, in microseconds.
    pub sent_micros: u64,
    /// Time that the state waited at gateways that pass it on, in milliseconds.
    pub waited_ms: u32,
    /// Id of the engine's life; empty while the agent does not know it.
    pub target: CompactString,
    /// Unix time of the engine's start in milliseconds, if it says so.
    pub born_ms: Option<u64>,
    /// Whether the engine answered the agent lately.
    pub answers: bool,
    /// Orders that the engine accepted in this life.
    pub orders_accepted: u64,
    /// Models that it serves.
    pub models: Vec<LoadedModel>,
    /// Model that is being loaded or unloaded.
    pub changing: Option<ModelChange>,
    /// Adapters that could be loaded now without waiting for another to become idle.
    pub free_adapter_slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that can't yield, in tokens.
    pub cache_used_tokens: u64,
    /// Copies of weights near the engine.
    pub warm: WarmCopies,
    /// Age of the youngest loads from the weight store that this agent ordered, in milliseconds.
    pub fetch_ages_ms: Vec<u32>,
    /// Where it takes asks; none for an agent beside the engine.
    pub asked_at: Option<SocketAddr>,
}

/// Record of a process that gives orders to engines; its offset is the fencing number of the process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderGiver {
    /// Run of the process.
    pub process: ProcessId,
    /// The engine beside which it runs; none for a gateway that orders for engines without an agent.
    pub engine: Option<SocketAddr>,
}

/// A change of a model at an engine that is under way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelChange {
    /// Model.
    pub model: CompactString,
    /// Whether it is loaded; otherwise it is unloaded.
    pub loading: bool,
    /// Estimated time until it is done, in milliseconds.
    pub remaining_ms: u32,
}

/// Entry of a gateway in the register on the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GatewayRecord {
    /// Run of the gateway.
    pub process: ProcessId,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Newest era of the store whose content the gateway has found complete, if any.
    pub settled_era: Option<u64>,
}
