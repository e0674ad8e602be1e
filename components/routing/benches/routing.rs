//! Benchmarks of target selection, the retry budget and prefix hashing.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Role, Timestamp, seeded_rng};
use compact_str::CompactString;
use criterion::{BenchmarkId, Criterion};
use rand::Rng;
use routing::{
    ModelRequirements, NetworkDelays, PREFIX_BLOCK_BYTES, PlainRequirements, Reachability,
    RetryBudget, Router, prefix_blocks,
};
use wire::{CopyState, Heartbeat, LogView, ModelCopy, TargetKind, TargetReport};

const SEED: u64 = 4_230;
/// Number of model copies per target.
const COPIES: usize = 6;
/// Number of adapters loaded per target.
const ADAPTERS: usize = 40;

fn heartbeat(target: usize, models: usize, rng: &mut impl Rng) -> Heartbeat {
    let mut copies: Vec<ModelCopy> = (0..COPIES)
        .map(|copy| ModelCopy {
            model: compact_str::format_compact!("model-{}", (target * COPIES + copy) % models),
            state: CopyState::Resident,
        })
        .collect();
    copies.sort_by(|a, b| a.model.cmp(&b.model));
    let mut adapters: Vec<CompactString> =
        (0..ADAPTERS).map(|at| compact_str::format_compact!("adapter-{at}")).collect();
    adapters.sort();
    Heartbeat {
        from: ProcessId {
            name: ProcessName::new(&format!("side-{target}")),
            incarnation: Incarnation(1),
        },
        role: Role::Side,
        region: CompactString::const_new("north"),
        data_centre: compact_str::format_compact!("dc-{}", target % 4),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        config_offset: Offset(1),
        log: LogView::default(),
        draining: false,
        target: Some(TargetReport {
            target: compact_str::format_compact!("target-{target}"),
            service: CompactString::const_new("llais"),
            kind: TargetKind::Engine,
            healthy: true,
            quarantined: false,
            models: copies,
            adapters,
            capacity_mb: 80_000,
            used_mb: 60_000,
            queued_tokens: rng.random_range(0..5_000),
            running: 4,
            batch: 16,
            tokens_per_s: 4_000,
            sample_age_ms: 100,
        }),
        demand: Vec::new(),
    }
}

fn bench(criterion: &mut Criterion, targets: usize, models: usize) {
    let mut group = criterion.benchmark_group("routing, by targets x models");
    let name = |what: &str| BenchmarkId::new(what, format!("{targets} x {models}"));
    let mut rng = seeded_rng(SEED);
    let mut router = Router::new("north", "dc-0", NetworkDelays::default());
    for target in 0..targets {
        router.apply_heartbeat(&heartbeat(target, models, &mut rng), Timestamp::from_millis(1));
    }
    let reachability = |_: &ProcessId| Reachability::Usable;
    let models_with_copies = models.min(targets * COPIES);
    let blocks = prefix_blocks("model-0", None, &"x".repeat(20 * PREFIX_BLOCK_BYTES));
    group.bench_function(name("choose a target"), |b| {
        let mut at = 0usize;
        b.iter(|| {
            at += 1;
            let model = compact_str::format_compact!("model-{}", at % models_with_copies);
            let requirements = ModelRequirements {
                model: &model,
                service: "llais",
                memory_mb: 10_000,
                adapter: Some("adapter-3"),
                blocks: &blocks,
                prompt_tokens: 1_000,
                affinity: at as u64,
                exclude: &[],
            };
            black_box(router.choose_model(&requirements, reachability, &mut rng))
        });
    });
    group.bench_function(name("choose a loader"), |b| {
        let requirements = ModelRequirements {
            model: "cold",
            service: "llais",
            memory_mb: 10_000,
            adapter: None,
            blocks: &[],
            prompt_tokens: 1_000,
            affinity: 3,
            exclude: &[],
        };
        b.iter(|| black_box(router.choose_model(&requirements, reachability, &mut rng)));
    });
    let mut plain = Router::new("north", "dc-0", NetworkDelays::default());
    for target in 0..targets {
        let mut heartbeat = heartbeat(target, models, &mut rng);
        if let Some(report) = &mut heartbeat.target {
            report.kind = TargetKind::Plain;
        }
        plain.apply_heartbeat(&heartbeat, Timestamp::from_millis(1));
    }
    let requirements = PlainRequirements { service: "llais", affinity: 3, exclude: &[] };
    group.bench_function(name("choose a plain target"), |b| {
        b.iter(|| black_box(plain.choose_plain(&requirements, reachability, &mut rng)));
    });
    group.bench_function(name("find that no target is usable"), |b| {
        b.iter(|| {
            black_box(plain.choose_plain(&requirements, |_| Reachability::Unusable, &mut rng))
        });
    });
    let unchanged = heartbeat(0, models, &mut rng);
    let mut moved = unchanged.clone();
    if let Some(report) = &mut moved.target {
        report.models.pop();
    }
    group.bench_function(name("take a report"), |b| {
        b.iter(|| router.apply_heartbeat(&unchanged, Timestamp::from_millis(2)));
    });
    group.bench_function(name("take a report with a move, then choose"), |b| {
        let mut flip = false;
        let requirements = ModelRequirements {
            model: "model-0",
            service: "llais",
            memory_mb: 10_000,
            adapter: None,
            blocks: &[],
            prompt_tokens: 1_000,
            affinity: 3,
            exclude: &[],
        };
        b.iter(|| {
            flip = !flip;
            let heartbeat = if flip { &moved } else { &unchanged };
            router.apply_heartbeat(heartbeat, Timestamp::from_millis(2));
            black_box(router.choose_model(&requirements, reachability, &mut rng))
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1_000))
        .configure_from_args();
    for targets in [10, 100, 1_000] {
        for models in [15, 280] {
            bench(&mut criterion, targets, models);
        }
    }
    criterion.bench_function("retry budget", |b| {
        let mut budget = RetryBudget::new(10, 3, Timestamp::default());
        let mut now = Timestamp::default();
        b.iter(|| {
            now = now + Duration::from_micros(100);
            budget.record_request();
            black_box(budget.try_spend(now))
        });
    });
    criterion.bench_function("prefix of 5,120 bytes", |b| {
        let prompt = "x".repeat(20 * PREFIX_BLOCK_BYTES);
        b.iter(|| black_box(prefix_blocks("model-0", None, &prompt)));
    });
    criterion.final_summary();
}
