//! Entries and states of engines.

use std::net::SocketAddr;

use base::{LoadedModel, ProcessName, Timestamp, WarmCopies};
use compact_str::format_compact;
use wire::{TargetEntry, TargetState};

/// Time since the start of the process.
pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Entry of an engine with one model.
pub fn entry(number: u16, data_centre: &str) -> TargetEntry {
    TargetEntry {
        id: format_compact!("engine-{number}"),
        born_ms: Some(1),
        service: "engines".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: data_centre.into(),
        slots: 8,
        state: TargetState::Ready,
        cold_ms: 0,
        orders_accepted: 0,
        models: vec![LoadedModel { model: "m".into(), version: 1, adapters: Vec::new() }],
        warm: WarmCopies::default(),
    }
}

/// State reported by the agent of an engine without models.
pub fn agent_state(engine: &str, sent_ms: u64) -> wire::AgentState {
    wire::AgentState {
        from: base::ProcessId {
            name: ProcessName::new("agent-1"),
            incarnation: base::Incarnation(1),
        },
        sent_micros: sent_ms * 1_000,
        waited_ms: 0,
        target: engine.into(),
        born_ms: Some(1),
        answers: true,
        orders_accepted: 0,
        models: Vec::new(),
        changing: None,
        free_adapter_slots: 4,
        running: 0,
        waiting: 0,
        cache_used_tokens: 0,
        warm: WarmCopies::default(),
        fetch_ages_ms: Vec::new(),
        asked_at: None,
    }
}
