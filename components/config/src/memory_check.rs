//! Whether models and adapters fit the targets.

use base::ServiceId;

use crate::base_file::{BaseFile, KindEntry, Name, ServiceEntry};
use crate::packing::fits;
use crate::report::Report;
use crate::{FleetConfig, Model, Residency};

/// Refuses models and adapters that fit no target, and `always` models that don't fit together.
pub(crate) fn check_memory(report: &mut Report<'_>, base: &BaseFile, config: &FleetConfig) {
    for entry in &base.adapters {
        let found = base.models.iter().find(|m| m.name.value == entry.model.value);
        let Some(service) = found.and_then(|m| service_entry(base, &m.service)) else { continue };
        let needed = found.map_or(0, |m| m.memory_mb.value).saturating_add(entry.memory_mb.value);
        let largest = largest_memory(service);
        if needed > largest {
            let message = format!(
                "adapter {} and its model need {needed} MB, but the largest target of service {} \
                 has {largest}; give a target more memory",
                entry.name.value, service.name.value
            );
            report.add_at(entry.name.file, entry.name.line, message);
        }
    }
    for entry in &base.models {
        let Some(service) = service_entry(base, &entry.service) else { continue };
        let (needed, largest) = (entry.memory_mb.value, largest_memory(service));
        if needed > largest {
            let message = format!(
                "model {} needs {needed} MB, but the largest target of service {} has {largest}; \
                 give a target more memory or move the model to another service",
                entry.name.value, service.name.value
            );
            report.add(&entry.memory_mb, &entry.name, message);
        }
    }
    if !report.is_empty() {
        return;
    }
    for (service, id) in config.services.iter().zip((0..).map(ServiceId)) {
        let always = |m: &&Model| m.service == id && m.residency == Residency::Always;
        let sizes: Vec<u64> = config.models.iter().filter(always).map(|m| m.memory_mb).collect();
        let capacities: Vec<u64> = service.targets.iter().map(|t| t.memory_mb).collect();
        if fits(&sizes, &capacities) == Some(true) {
            continue;
        }
        let Some(entry) = base.services.iter().find(|s| s.name.value == service.name) else {
            continue;
        };
        let message = format!(
            "the always models of service {} need {} MB and don't fit its {} targets with {} MB \
             together; add targets or make a model on_demand",
            service.name,
            sizes.iter().sum::<u64>(),
            capacities.len(),
            capacities.iter().sum::<u64>()
        );
        report.add_at(entry.name.file, entry.name.line, message);
    }
}

fn service_entry<'b>(base: &'b BaseFile, name: &Name) -> Option<&'b ServiceEntry> {
    base.services.iter().find(|s| s.name.value == name.value && s.kind == KindEntry::Engine)
}

fn largest_memory(service: &ServiceEntry) -> i128 {
    service.targets.iter().map(|t| t.memory_mb.value).max().unwrap_or(0)
}
