//! State of the stand-in engine: memory, orders and requests.

use base::{SortedMap, seeded_rng};
use bytes::Bytes;
use compact_str::CompactString;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::engine_journal::{EngineJournal, OrderOutcome};
use crate::prefix_cache::PrefixCache;
use crate::{EngineSettings, PreloadedModel};

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SlotState {
    Loading,
    Resident,
    Unloading,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct ModelSlot {
    pub(crate) model: CompactString,
    pub(crate) version: CompactString,
    pub(crate) state: SlotState,
    #[serde(skip)]
    pub(crate) memory_mb: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct AdapterSlot {
    pub(crate) adapter: CompactString,
    pub(crate) model: CompactString,
    pub(crate) state: SlotState,
    pub(crate) memory_mb: u64,
}

/// A request inside the engine.
pub(crate) struct Request {
    pub(crate) number: u64,
    pub(crate) id: CompactString,
    pub(crate) model: CompactString,
    pub(crate) priority: u8,
    /// Whether it has a place in the batch.
    pub(crate) active: bool,
    pub(crate) prompt_tokens: u64,
    /// Tokens generated.
    pub(crate) tokens: u64,
    pub(crate) max_tokens: u64,
    /// Dropping it ends the request.
    pub(crate) _cancel: oneshot::Sender<()>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RoleName {
    #[default]
    Both,
    Decode,
    Prefill,
}

/// A load report and when it was taken.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Sample {
    running: usize,
    waiting_tokens: u64,
    kv_used_blocks: u64,
    kv_blocks: u64,
    pub(crate) sample_age_ms: u64,
    #[serde(skip)]
    pub(crate) at: Instant,
}

#[derive(Serialize)]
pub(crate) struct StateAnswer {
    capacity_mb: u64,
    used_mb: u64,
    models: Vec<ModelSlot>,
    adapters: Vec<CompactString>,
    orders_in_progress: Vec<CompactString>,
    role: RoleName,
}

pub(crate) struct EngineState {
    /// Rises when the engine dies; what an older life began has no effect.
    pub(crate) life: u64,
    /// Lowest fencing number accepted.
    pub(crate) floor: u64,
    pub(crate) role: RoleName,
    pub(crate) models: Vec<ModelSlot>,
    pub(crate) adapters: Vec<AdapterSlot>,
    pub(crate) orders: SortedMap<CompactString, watch::Receiver<Option<OrderOutcome>>>,
    pub(crate) requests: Vec<Request>,
    pub(crate) next_number: u64,
    pub(crate) cache: PrefixCache,
    /// Exports of just finished requests, oldest first.
    pub(crate) finished_kv: Vec<(CompactString, Bytes)>,
    /// Requests whose KV cache was imported.
    pub(crate) imported: Vec<CompactString>,
    pub(crate) journal: EngineJournal,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) sample: Option<Sample>,
}

impl EngineState {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let slot = |preloaded: &PreloadedModel| ModelSlot {
            model: preloaded.model.clone(),
            version: preloaded.version.clone(),
            state: SlotState::Resident,
            memory_mb: preloaded.memory_mb,
        };
        let mut state = Self {
            life: 0,
            floor: 0,
            role: RoleName::Both,
            models: settings.models.iter().map(slot).collect(),
            adapters: Vec::new(),
            orders: SortedMap::new(),
            requests: Vec::new(),
            next_number: 0,
            cache: PrefixCache::new(settings),
            finished_kv: Vec::new(),
            imported: Vec::new(),
            journal: EngineJournal::default(),
            rng: seeded_rng(settings.seed),
            sample: None,
        };
        state.journal.most_used_mb = state.used_mb();
        state
    }

    /// Loses everything but the journal.
    pub(crate) fn die(&mut self, settings: &EngineSettings) {
        let empty = EngineSettings { models: Vec::new(), ..settings.clone() };
        let journal = std::mem::take(&mut self.journal);
        *self = Self { life: self.life + 1, journal, ..Self::new(&empty) };
    }

    pub(crate) fn used_mb(&self) -> u64 {
        let models: u64 = self.models.iter().map(|slot| slot.memory_mb).sum();
        models + self.adapters.iter().map(|slot| slot.memory_mb).sum::<u64>()
    }

    /// Whether `memory_mb` more fit; the engine itself never overcommits.
    pub(crate) fn fits(&mut self, memory_mb: u64, settings: &EngineSettings) -> bool {
        let fits = self.used_mb() + memory_mb <= settings.capacity_mb;
        if !fits {
            self.journal.overcommit_attempts += 1;
        }
        fits
    }

    pub(crate) fn note_memory(&mut self) {
        self.journal.most_used_mb = self.journal.most_used_mb.max(self.used_mb());
    }

    pub(crate) fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let model_there =
            self.models.iter().any(|s| s.model == model && s.state == SlotState::Resident);
        let adapter_there = adapter.is_none_or(|adapter| {
            let resident = |s: &&AdapterSlot| s.state == SlotState::Resident && s.model == model;
            self.adapters.iter().filter(resident).any(|s| s.adapter == adapter)
        });
        model_there && adapter_there
    }

    /// Gives free places in the batch to waiting requests: highest priority first, then the oldest.
    pub(crate) fn fill_batch(&mut self, batch: usize) {
        let mut active = self.requests.iter().filter(|request| request.active).count();
        while active < batch {
            let next = self
                .requests
                .iter_mut()
                .filter(|request| !request.active)
                .min_by_key(|request| (u8::MAX - request.priority, request.number));
            let Some(next) = next else { return };
            next.active = true;
            active += 1;
        }
    }

    pub(crate) fn take_sample(&self, settings: &EngineSettings) -> Sample {
        let active = || self.requests.iter().filter(|request| request.active);
        let waiting = self.requests.iter().filter(|request| !request.active);
        let tokens: u64 = active().map(|request| request.prompt_tokens + request.tokens).sum();
        Sample {
            running: active().count(),
            waiting_tokens: waiting.map(|r| r.prompt_tokens + r.max_tokens).sum(),
            kv_used_blocks: tokens.div_ceil(16) + self.cache.len() as u64,
            kv_blocks: settings.kv_blocks,
            sample_age_ms: 0,
            at: Instant::now(),
        }
    }

    pub(crate) fn report(&self, settings: &EngineSettings) -> StateAnswer {
        let resident = self.adapters.iter().filter(|slot| slot.state == SlotState::Resident);
        let running = self.orders.iter().filter(|(_, result)| result.borrow().is_none());
        StateAnswer {
            capacity_mb: settings.capacity_mb,
            used_mb: self.used_mb(),
            models: self.models.clone(),
            adapters: resident.map(|slot| slot.adapter.clone()).collect(),
            orders_in_progress: running.map(|(id, _)| id.clone()).collect(),
            role: self.role,
        }
    }
}
