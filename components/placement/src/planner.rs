//! Planner of model copies. It runs in the first live entry process; the side processes decide
//! whether to follow its suggestions.

use std::time::Duration;

use base::{SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use wire::{CopyState, ModelCopy, TargetReport};

/// Settings of the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannerSettings {
    /// Headroom above the demand, in percent.
    pub headroom_percent: u64,
    /// Time for which a copy must be superfluous before it is removed, and the period over which a
    /// load must gain more than it costs.
    pub hold: Duration,
    /// Time for which a suggestion counts as in progress without an effect in the reports.
    pub suggestion_lifetime: Duration,
    /// Maximum number of suggestions per planning round.
    pub moves_per_round: usize,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            headroom_percent: 20,
            hold: Duration::from_secs(60),
            suggestion_lifetime: Duration::from_secs(5),
            moves_per_round: 8,
        }
    }
}

/// Planner's view of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedModel {
    /// Model name.
    pub name: CompactString,
    /// Service whose targets may hold the model.
    pub service: CompactString,
    /// Memory of a copy in MB.
    pub memory_mb: u64,
    /// Whether the model must have a copy at all times.
    pub always: bool,
    /// Time to load a copy in milliseconds.
    pub load_ms: u64,
    /// Demand in tokens per second, averaged over 10 s.
    pub fast_tokens_per_s: u64,
    /// Demand in tokens per second, averaged over 120 s.
    pub slow_tokens_per_s: u64,
}

/// A copy at a target, as of the target's last report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCopy {
    /// Model name.
    pub model: CompactString,
    /// Whether the copy is being unloaded; otherwise it is resident or loading.
    pub unloading: bool,
}

/// A target available for planning: healthy, neither leaving nor in quarantine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedTarget {
    /// Target name.
    pub name: CompactString,
    /// Service of the target.
    pub service: CompactString,
    /// Memory neither used nor reserved in MB.
    pub free_mb: u64,
    /// Tokens per second at full batch.
    pub tokens_per_s: u64,
    /// Copies at the target.
    pub copies: Vec<TargetCopy>,
}

impl From<&TargetReport> for PlannedTarget {
    fn from(report: &TargetReport) -> Self {
        let copy = |copy: &ModelCopy| TargetCopy {
            model: copy.model.clone(),
            unloading: copy.state == CopyState::Unloading,
        };
        Self {
            name: report.target.clone(),
            service: report.service.clone(),
            free_mb: report.capacity_mb.saturating_sub(report.used_mb),
            tokens_per_s: report.tokens_per_s,
            copies: report.models.iter().map(copy).collect(),
        }
    }
}

impl PlannedTarget {
    fn has(&self, model: &str) -> bool {
        self.copies.iter().any(|copy| copy.model == model && !copy.unloading)
    }
}

/// Operation that a suggestion requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MoveKind {
    /// Loads a copy.
    Load,
    /// Unloads a copy.
    Unload,
}

/// A suggestion to the side process of a target.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Move {
    /// Name of the target.
    pub target: CompactString,
    /// Requested operation.
    pub kind: MoveKind,
    /// Name of the model.
    pub model: CompactString,
}

/// Decides on copies by demand and keeps the state for its hysteresis.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    superfluous_since: SortedMap<CompactString, Timestamp>,
    suggested: SortedMap<Move, Timestamp>,
}

impl Planner {
    /// Creates a planner without history.
    pub const fn new(settings: PlannerSettings) -> Self {
        Self { settings, superfluous_since: SortedMap::new(), suggested: SortedMap::new() }
    }

    /// Returns the number of copies wanted of a model whose service has `targets` targets of
    /// `tokens_per_s` each.
    pub fn wanted_copies(&self, model: &PlannedModel, tokens_per_s: u64, targets: usize) -> usize {
        let demand = model.fast_tokens_per_s.max(model.slow_tokens_per_s);
        let with_headroom = demand * (100 + self.settings.headroom_percent) / 100;
        let copies = with_headroom.div_ceil(tokens_per_s.max(1));
        let least = u64::from(model.always || demand > 0);
        usize::try_from(copies.max(least)).unwrap_or(targets).min(targets)
    }

    /// Returns the suggestions for this round. Copies are added before superfluous ones are
    /// removed.
    pub fn plan(
        &mut self,
        models: &[PlannedModel],
        targets: &[PlannedTarget],
        now: Timestamp,
    ) -> Vec<Move> {
        let lifetime = self.settings.suggestion_lifetime;
        self.suggested.retain(|_, at| now.since(*at) < lifetime);
        self.superfluous_since.retain(|name, _| models.iter().any(|m| m.name == *name));
        let mut free_mb: Vec<u64> =
            targets.iter().map(|t| self.free_after_suggested(t, models)).collect();
        let mut moves = Vec::new();
        // Models without a copy come first, and among them those that must have one.
        let mut order: Vec<&PlannedModel> = models.iter().collect();
        order.sort_by_key(|model| {
            let copies = targets.iter().filter(|t| t.has(&model.name)).count();
            (copies > 0, !model.always, std::cmp::Reverse(model.fast_tokens_per_s))
        });
        for model in order {
            if moves.len() >= self.settings.moves_per_round {
                break;
            }
            moves.extend(self.plan_model(model, targets, &mut free_mb, now));
        }
        for planned in &moves {
            self.suggested.insert(planned.clone(), now);
        }
        moves
    }

    fn free_after_suggested(&self, target: &PlannedTarget, models: &[PlannedModel]) -> u64 {
        let reserved_mb: u64 = self
            .suggested
            .keys()
            .filter(|m| {
                m.target == target.name && m.kind == MoveKind::Load && !target.has(&m.model)
            })
            .filter_map(|m| models.iter().find(|model| model.name == m.model))
            .map(|model| model.memory_mb)
            .sum();
        target.free_mb.saturating_sub(reserved_mb)
    }

    fn in_progress(&self, target: &str, kind: MoveKind, model: &str) -> bool {
        self.suggested.keys().any(|m| m.target == target && m.kind == kind && m.model == model)
    }

    fn plan_model(
        &mut self,
        model: &PlannedModel,
        targets: &[PlannedTarget],
        free_mb: &mut [u64],
        now: Timestamp,
    ) -> Option<Move> {
        let eligible: Vec<(usize, &PlannedTarget)> =
            targets.iter().enumerate().filter(|(_, t)| t.service == model.service).collect();
        let tokens_per_s = eligible.iter().map(|(_, t)| t.tokens_per_s).max()?;
        let wanted = self.wanted_copies(model, tokens_per_s, eligible.len());
        let copies = eligible
            .iter()
            .filter(|(_, t)| {
                t.has(&model.name) && !self.in_progress(&t.name, MoveKind::Unload, &model.name)
            })
            .count();
        let loading = eligible
            .iter()
            .filter(|(_, t)| {
                !t.has(&model.name) && self.in_progress(&t.name, MoveKind::Load, &model.name)
            })
            .count();
        if copies + loading < wanted {
            self.superfluous_since.remove(&model.name);
            let is_worthwhile = copies + loading == 0
                || self.is_worth_loading(model, copies + loading, tokens_per_s);
            return if is_worthwhile {
                self.add_copy(model, &eligible, free_mb, copies)
            } else {
                None
            };
        }
        if copies <= wanted {
            self.superfluous_since.remove(&model.name);
            return None;
        }
        let since = *self.superfluous_since.get_or_insert_with(model.name.clone(), || now);
        if now.since(since) < self.settings.hold {
            return None;
        }
        let (_, target) = eligible
            .iter()
            .filter(|(_, t)| {
                t.has(&model.name) && !self.in_progress(&t.name, MoveKind::Unload, &model.name)
            })
            .min_by_key(|(_, t)| (t.free_mb, rendezvous_score(model.name.as_bytes(), &t.name)))?;
        self.superfluous_since.remove(&model.name);
        Some(Move {
            target: target.name.clone(),
            kind: MoveKind::Unload,
            model: model.name.clone(),
        })
    }

    /// Returns whether one more copy serves more tokens within `hold` than its load costs.
    fn is_worth_loading(&self, model: &PlannedModel, copies: usize, tokens_per_s: u64) -> bool {
        let demand = model.fast_tokens_per_s.max(model.slow_tokens_per_s);
        let served = u64::try_from(copies).unwrap_or(u64::MAX).saturating_mul(tokens_per_s);
        let with_headroom = demand * (100 + self.settings.headroom_percent) / 100;
        let gained_per_s = with_headroom.saturating_sub(served).min(tokens_per_s);
        let hold_ms = u64::try_from(self.settings.hold.as_millis()).unwrap_or(u64::MAX);
        let share = demand.min(tokens_per_s);
        gained_per_s.saturating_mul(hold_ms) > model.load_ms.saturating_mul(share)
    }

    fn add_copy(
        &self,
        model: &PlannedModel,
        eligible: &[(usize, &PlannedTarget)],
        free_mb: &mut [u64],
        copies: usize,
    ) -> Option<Move> {
        let candidates = eligible.iter().filter(|(_, t)| {
            !t.copies.iter().any(|copy| copy.model == model.name)
                && !self.in_progress(&t.name, MoveKind::Load, &model.name)
        });
        let (at, target) = candidates.max_by_key(|(at, t)| {
            let fits = free_mb[*at] >= model.memory_mb;
            let usable_mb = if fits { free_mb[*at] } else { 0 };
            (fits, usable_mb, rendezvous_score(model.name.as_bytes(), &t.name))
        })?;
        // A model without a copy is suggested even where the side process has to evict others
        // first.
        if free_mb[*at] < model.memory_mb && copies > 0 {
            return None;
        }
        free_mb[*at] = free_mb[*at].saturating_sub(model.memory_mb);
        Some(Move { target: target.name.clone(), kind: MoveKind::Load, model: model.name.clone() })
    }
}
