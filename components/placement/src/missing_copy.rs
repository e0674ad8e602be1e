//! Copies that models need at versions of the engines' software, for the streams that are bound to them.

use crate::{BoundDemand, FleetEngine, FleetModel, FleetPlanner, MoveReason};

/// A copy that a model needs, anywhere or at engines of one version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingCopy<'a> {
    pub(crate) model_index: usize,
    pub(crate) reason: MoveReason,
    /// Version at which the copy must be; any if none.
    pub(crate) software: Option<&'a str>,
}

impl FleetPlanner {
    /// Returns the models whose streams are bound to a version at which they lack copies.
    ///
    /// While requests wait, copies of engines that don't answer don't count: the requests would wait in
    /// vain for an engine that has ended.
    pub(crate) fn missing_at_versions<'a>(
        &self,
        models: &'a [FleetModel],
        engines: &[FleetEngine],
    ) -> Vec<(MissingCopy<'a>, BoundDemand)> {
        let reason = |model: &FleetModel, software: &str, demand: BoundDemand| {
            let of_version = || engines.iter().filter(|engine| engine.software == software);
            let copies = of_version()
                .filter(|engine| demand.waiting == 0 || !engine.is_unresponsive)
                .filter(|engine| self.has_copy(model, engine))
                .count();
            if copies >= demand.needed_copies().min(of_version().count()) {
                return None;
            }
            let waits = copies == 0 && demand.waiting > 0;
            Some(if waits { MoveReason::Waiting } else { MoveReason::BoundStreams })
        };
        let mut missing = Vec::new();
        for (model_index, model) in models.iter().enumerate() {
            for version in model.bound.iter().filter(|v| v.demand.needed_copies() > 0) {
                let software = version.software.as_str();
                if let Some(reason) = reason(model, software, version.demand) {
                    let copy = MissingCopy { model_index, reason, software: Some(software) };
                    missing.push((copy, version.demand));
                }
            }
        }
        missing
    }

    /// Whether streams that are bound to the engine's version need its copy of a model: if they break,
    /// they can go on nowhere else.
    pub(crate) fn is_needed_for_streams(
        &self,
        model: &FleetModel,
        engine: &FleetEngine,
        engines: &[FleetEngine],
    ) -> bool {
        let needed = model.bound_at(&engine.software).needed_copies();
        let of_version = || engines.iter().filter(|other| other.software == engine.software);
        // Streams of a version with one engine have no other place anyway, and must not keep the places
        // of many versions.
        if needed == 0 || of_version().nth(1).is_none() {
            return false;
        }
        let others = of_version().filter(|other| {
            other.id != engine.id
                && !other.is_unresponsive
                && other.models.contains(&model.name)
                && self.has_copy(model, other)
        });
        others.count() < needed
    }
}
