//! Application of overlays to the base file.

use std::fmt::Debug;

use crate::base_file::{BaseFile, Name};
use crate::located::{FileIndex, Located};
use crate::overlay_file::{
    AdapterPatch, Forbidden, ModelPatch, OverlayFile, RoutePatch, ServicePatch, TargetPatch,
};
use crate::report::Report;

/// Refuses sections and fields that hold in the whole fleet.
pub(crate) fn check_overlay(
    report: &mut Report<'_>,
    base: &BaseFile,
    overlay: &OverlayFile,
    file: FileIndex,
) {
    if !base.data_centres.iter().any(|d| d.region.value == overlay.site.value) {
        let message = format!(
            "site {} is not a region of any data centre; write a region of the base file",
            overlay.site.value
        );
        report.add_at(file, overlay.site.line, message);
    }
    let mut refuse = |field: &str, value: &Forbidden| {
        if let Some(value) = value {
            let message = format!("{field} holds in the whole fleet; move this into the base file");
            report.add_at(file, value.line, message);
        }
    };
    refuse("name", &overlay.name);
    refuse("data_centres", &overlay.data_centres);
    refuse("customers", &overlay.customers);
    refuse("keys", &overlay.keys);
    refuse("weight_store", &overlay.weight_store);
    refuse("buckets", &overlay.buckets);
    for patch in &overlay.models {
        refuse("customers of a model", &patch.customers);
        refuse("service of a model", &patch.service);
    }
    for patch in &overlay.adapters {
        refuse("customers of an adapter", &patch.customers);
        refuse("model of an adapter", &patch.model);
    }
    for patch in &overlay.routes {
        refuse("customers of a route", &patch.customers);
        refuse("public of a route", &patch.public);
        refuse("repeatable of a route", &patch.repeatable);
        refuse("service of a route", &patch.service);
        refuse("prefix of a route", &patch.prefix);
    }
}

/// Puts the values of one overlay in the place of those of the base file.
///
/// Values set by an earlier overlay carry its file index, so a second, different value is a conflict.
pub(crate) fn apply_overlay(
    report: &mut Report<'_>,
    base: &mut BaseFile,
    overlay: &OverlayFile,
    file: FileIndex,
) {
    let mut merge = Merge { report, file, site: &overlay.site };
    for patch in &overlay.models {
        merge.model(base, patch);
    }
    for patch in &overlay.adapters {
        merge.adapter(base, patch);
    }
    for patch in &overlay.services {
        merge.service(base, patch);
    }
    for patch in &overlay.routes {
        merge.route(base, patch);
    }
}

struct Merge<'r, 'a> {
    report: &'r mut Report<'a>,
    file: FileIndex,
    site: &'r Name,
}

impl Merge<'_, '_> {
    fn set<T: Clone + Debug + PartialEq>(
        &mut self,
        field: &str,
        owner: &Name,
        old: &mut Located<T>,
        new: Option<&Located<T>>,
    ) {
        let Some(new) = new else { return };
        if old.file != 0 && old.value != new.value {
            let message = format!(
                "{field} of {} in site {} is already set to another value in {}:{}; keep one of \
                 them",
                owner.value,
                self.site.value,
                self.report.file_name(old.file),
                old.line
            );
            self.report.add_at(self.file, new.line, message);
            return;
        }
        *old = Located { value: new.value.clone(), file: self.file, line: new.line };
    }

    fn missing(&mut self, what: &str, name: &Name) {
        let message = format!(
            "{what} {} is not in the base file; add it there or correct the name",
            name.value
        );
        self.report.add_at(self.file, name.line, message);
    }

    fn model(&mut self, base: &mut BaseFile, patch: &ModelPatch) {
        let Some(model) = base.models.iter_mut().find(|m| m.name.value == patch.name.value) else {
            return self.missing("model", &patch.name);
        };
        let owner = &model.name;
        self.set("version", owner, &mut model.version, patch.version.as_ref());
        self.set("memory_mb", owner, &mut model.memory_mb, patch.memory_mb.as_ref());
        self.set("residency", owner, &mut model.residency, patch.residency.as_ref());
        let new = patch.default_max_output_tokens.as_ref();
        self.set("default_max_output_tokens", owner, &mut model.default_max_output_tokens, new);
        let new = patch.max_output_tokens.as_ref();
        self.set("max_output_tokens", owner, &mut model.max_output_tokens, new);
        self.set("load_ms", owner, &mut model.load_ms, patch.load_ms.as_ref());
    }

    fn adapter(&mut self, base: &mut BaseFile, patch: &AdapterPatch) {
        let found = base.adapters.iter_mut().find(|a| a.name.value == patch.name.value);
        let Some(adapter) = found else {
            return self.missing("adapter", &patch.name);
        };
        self.set("memory_mb", &adapter.name, &mut adapter.memory_mb, patch.memory_mb.as_ref());
    }

    fn service(&mut self, base: &mut BaseFile, patch: &ServicePatch) {
        let site = &self.site.value;
        let local: Vec<_> = base
            .data_centres
            .iter()
            .filter(|d| d.region.value == *site)
            .map(|d| d.name.value.clone())
            .collect();
        let found = base.services.iter_mut().find(|s| s.name.value == patch.name.value);
        let Some(service) = found else {
            return self.missing("service", &patch.name);
        };
        for target_patch in &patch.targets {
            let name = &target_patch.name;
            let found = service.targets.iter_mut().find(|t| t.name.value == name.value);
            let Some(target) = found else {
                self.missing("target", name);
                continue;
            };
            if !local.contains(&target.data_centre.value) {
                let message = format!(
                    "target {} is in data centre {}, not in site {}; set it in the overlay of its \
                     own site",
                    name.value, target.data_centre.value, self.site.value
                );
                self.report.add_at(self.file, name.line, message);
                continue;
            }
            let TargetPatch { memory_mb, batch, tokens_per_s, honours_fencing, .. } = target_patch;
            let owner = &target.name;
            self.set("memory_mb", owner, &mut target.memory_mb, memory_mb.as_ref());
            self.set("batch", owner, &mut target.batch, batch.as_ref());
            self.set("tokens_per_s", owner, &mut target.tokens_per_s, tokens_per_s.as_ref());
            let new = honours_fencing.as_ref();
            self.set("honours_fencing", owner, &mut target.honours_fencing, new);
        }
    }

    fn route(&mut self, base: &mut BaseFile, patch: &RoutePatch) {
        let Some(route) = base.routes.iter_mut().find(|r| r.name.value == patch.name.value) else {
            return self.missing("route", &patch.name);
        };
        self.set("timeout_ms", &route.name, &mut route.timeout_ms, patch.timeout_ms.as_ref());
    }
}
