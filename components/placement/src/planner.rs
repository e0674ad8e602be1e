//! Planner of copies: run by the first live entry process; side processes decide.

use std::time::Duration;

use base::{SortedMap, Timestamp, rendezvous_score};
use compact_str::CompactString;
use wire::{CopyState, ModelCopy, TargetReport};

/// Settings of the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannerSettings {
    /// Capacity kept free above the demand, in percent.
    pub headroom_percent: u64,
    /// How long a copy must have been superfluous before it is removed, and the time over which a
    /// move must gain more than it costs.
    pub hold: Duration,
    /// How long a suggestion counts as in progress without an effect in the reports.
    pub suggestion_lifetime: Duration,
    /// Most suggestions of one round.
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

/// A model as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedModel {
    /// Name.
    pub name: CompactString,
    /// Service whose targets may hold it.
    pub service: CompactString,
    /// Memory of a copy in MB.
    pub memory_mb: u64,
    /// Whether it must have a copy at all times.
    pub always: bool,
    /// Time to load a copy in milliseconds.
    pub load_ms: u64,
    /// Demand in tokens a second, average over 10 s.
    pub fast_tokens_per_s: u64,
    /// Demand in tokens a second, average over 120 s.
    pub slow_tokens_per_s: u64,
}

/// A copy at a target by its last report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCopy {
    /// Model.
    pub model: CompactString,
    /// Whether the copy is on its way out; otherwise it is resident or loading.
    pub unloading: bool,
}

/// A target that takes part in the planning: healthy, neither leaving nor in quarantine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedTarget {
    /// Name.
    pub name: CompactString,
    /// Service.
    pub service: CompactString,
    /// Memory neither used nor reserved in MB.
    pub free_mb: u64,
    /// Tokens a second at full batch.
    pub tokens_per_s: u64,
    /// Copies.
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

/// What a suggestion does.
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
    /// Target.
    pub target: CompactString,
    /// What to do.
    pub kind: MoveKind,
    /// Model.
    pub model: CompactString,
}

/// Decides on copies from demand; keeps what hysteresis needs.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    superfluous_since: SortedMap<CompactString, Timestamp>,
    suggested: SortedMap<Move, Timestamp>,
}

impl Planner {
    /// A planner without history.
    pub const fn new(settings: PlannerSettings) -> Self {
        Self { settings, superfluous_since: SortedMap::new(), suggested: SortedMap::new() }
    }

    /// Copies wanted of a model whose service has `targets` of `tokens_per_s` each.
    pub fn wanted_copies(&self, model: &PlannedModel, tokens_per_s: u64, targets: usize) -> usize {
        let demand = model.fast_tokens_per_s.max(model.slow_tokens_per_s);
        let with_headroom = demand * (100 + self.settings.headroom_percent) / 100;
        let copies = with_headroom.div_ceil(tokens_per_s.max(1));
        let least = u64::from(model.always || demand > 0);
        usize::try_from(copies.max(least)).unwrap_or(targets).min(targets)
    }

    /// Suggestions for now. Copies are added before superfluous ones are removed.
    pub fn plan(
        &mut self,
        models: &[PlannedModel],
        targets: &[PlannedTarget],
        now: Timestamp,
    ) -> Vec<Move> {
        let lifetime = self.settings.suggestion_lifetime;
        self.suggested.retain(|_, at| now.since(*at) < lifetime);
        self.superfluous_since.retain(|name, _| models.iter().any(|m| m.name == *name));
        let mut free: Vec<u64> =
            targets.iter().map(|t| self.free_after_suggested(t, models)).collect();
        let mut moves = Vec::new();
        // Models without any copy come first, those that must have one before the others.
        let mut order: Vec<&PlannedModel> = models.iter().collect();
        order.sort_by_key(|model| {
            let copies = targets.iter().filter(|t| t.has(&model.name)).count();
            (copies > 0, !model.always, std::cmp::Reverse(model.fast_tokens_per_s))
        });
        for model in order {
            if moves.len() >= self.settings.moves_per_round {
                break;
            }
            moves.extend(self.plan_model(model, targets, &mut free, now));
        }
        for planned in &moves {
            self.suggested.insert(planned.clone(), now);
        }
        moves
    }

    fn free_after_suggested(&self, target: &PlannedTarget, models: &[PlannedModel]) -> u64 {
        let promised: u64 = self
            .suggested
            .keys()
            .filter(|m| {
                m.target == target.name && m.kind == MoveKind::Load && !target.has(&m.model)
            })
            .filter_map(|m| models.iter().find(|model| model.name == m.model))
            .map(|model| model.memory_mb)
            .sum();
        target.free_mb.saturating_sub(promised)
    }

    fn in_progress(&self, target: &str, kind: MoveKind, model: &str) -> bool {
        self.suggested.keys().any(|m| m.target == target && m.kind == kind && m.model == model)
    }

    fn plan_model(
        &mut self,
        model: &PlannedModel,
        targets: &[PlannedTarget],
        free: &mut [u64],
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
        let coming = eligible
            .iter()
            .filter(|(_, t)| {
                !t.has(&model.name) && self.in_progress(&t.name, MoveKind::Load, &model.name)
            })
            .count();
        if copies + coming < wanted {
            self.superfluous_since.remove(&model.name);
            let worth = copies + coming == 0 || self.gains(model, copies + coming, tokens_per_s);
            return if worth { self.add_copy(model, &eligible, free, copies) } else { None };
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

    /// Whether one more copy serves more tokens within the hold than its load costs.
    fn gains(&self, model: &PlannedModel, copies: usize, tokens_per_s: u64) -> bool {
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
        free: &mut [u64],
        copies: usize,
    ) -> Option<Move> {
        let without = eligible.iter().filter(|(_, t)| {
            !t.copies.iter().any(|copy| copy.model == model.name)
                && !self.in_progress(&t.name, MoveKind::Load, &model.name)
        });
        let (at, target) = without.max_by_key(|(at, t)| {
            let fits = free[*at] >= model.memory_mb;
            let emptiness = if fits { free[*at] } else { 0 };
            (fits, emptiness, rendezvous_score(model.name.as_bytes(), &t.name))
        })?;
        // A model without any copy is suggested also where its side process has to make room.
        if free[*at] < model.memory_mb && copies > 0 {
            return None;
        }
        free[*at] = free[*at].saturating_sub(model.memory_mb);
        Some(Move { target: target.name.clone(), kind: MoveKind::Load, model: model.name.clone() })
    }
}
