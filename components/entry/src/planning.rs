//! Placement of model copies: the first live entry plans, side processes decide.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Role, Timestamp};
use compact_str::CompactString;
use config::{FleetConfig, Residency};
use ingress::ShutdownStage;
use placement::{Move, MoveKind, PlannedModel, PlannedTarget, Planner};
use telemetry::quote;
use tokio::time::{MissedTickBehavior, interval};
use wire::{ModelDemand, PeerCall, PeerReply, Suggestion, TargetKind};

use crate::app::App;

/// Time between two plans.
const PLAN_PERIOD: Duration = Duration::from_secs(1);

/// Plans and sends suggestions until the task is aborted.
///
/// A second planner, for example at the other end of a partition, costs efficiency only: side
/// processes refuse what their own ledger or the last copy forbids.
pub(crate) async fn plan_placement(app: Rc<App>, mut planner: Planner) {
    let mut ticks = interval(PLAN_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = app.clock.now();
        let Some(config) = app.config() else { continue };
        let serving = *app.stage.borrow() == ShutdownStage::Serving;
        if !serving || !app.membership.borrow().is_first_entry(now) {
            continue;
        }
        let models = app.planned_models(&config, now);
        let targets = app.planned_targets(now);
        for planned in planner.plan(&models, &targets, now) {
            if let Some(address) = app.target_address(&planned.target) {
                tokio::task::spawn_local(suggest(Rc::clone(&app), planned, address));
            }
        }
    }
}

async fn suggest(app: Rc<App>, planned: Move, address: SocketAddr) {
    let model = planned.model.clone();
    let suggestion = match planned.kind {
        MoveKind::Load => Suggestion::Load { model },
        MoveKind::Unload => Suggestion::Unload { model },
    };
    let outcome =
        match app.pool.call(address, &PeerCall::Suggest(suggestion), app.call_timeout()).await {
            Ok(PeerReply::Suggest(outcome)) => format!("{outcome:?}"),
            Ok(_) => "unsupported".to_owned(),
            Err(error) => error.to_string(),
        };
    log::info!(
        "event=suggestion kind={:?} model={} target={} outcome={}",
        planned.kind,
        quote(&planned.model),
        quote(&planned.target),
        quote(&outcome)
    );
}

impl App {
    /// Models with the demand at all live entries.
    fn planned_models(&self, config: &FleetConfig, now: Timestamp) -> Vec<PlannedModel> {
        let demands: Vec<ModelDemand> = {
            let membership = self.membership.borrow();
            let mut fleet = self.fleet.borrow_mut();
            let live = membership.candidates(Role::Entry, now).map(|m| m.process.name.clone());
            let mut demands = fleet.demand(now);
            for name in live {
                demands.extend(fleet.demand_at(&name).iter().cloned());
            }
            demands
        };
        let sum = |model: &str, rate: fn(&ModelDemand) -> u64| {
            demands.iter().filter(|demand| demand.model == model).map(rate).sum()
        };
        config
            .models
            .iter()
            .map(|model| PlannedModel {
                name: model.name.clone(),
                service: config.service(model.service).name.clone(),
                memory_mb: model.memory_mb,
                always: model.residency == Residency::Always,
                load_ms: model.load_ms,
                fast_tokens_per_s: sum(&model.name, |demand| demand.fast_tokens_per_s),
                slow_tokens_per_s: sum(&model.name, |demand| demand.slow_tokens_per_s),
            })
            .collect()
    }

    /// Engines that take part: reachable, healthy, neither leaving nor in quarantine.
    fn planned_targets(&self, now: Timestamp) -> Vec<PlannedTarget> {
        let membership = self.membership.borrow();
        let fleet = self.fleet.borrow();
        fleet
            .targets()
            .filter(|info| {
                let report = info.report;
                let member = membership.member(&info.process.name);
                report.kind == TargetKind::Engine
                    && report.healthy
                    && !report.quarantined
                    && membership.is_reachable(info.process, now)
                    && member.is_some_and(membership::Member::accepts_work)
            })
            .map(|info| PlannedTarget::from(info.report))
            .collect()
    }

    fn target_address(&self, target: &CompactString) -> Option<SocketAddr> {
        self.fleet.borrow().targets().find(|info| info.report.target == *target).map(|i| i.address)
    }
}
