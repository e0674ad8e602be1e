//! Cost of membership decisions.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Role, Timestamp};
use compact_str::CompactString;
use config::MembershipSettings;
use criterion::{BenchmarkId, Criterion};
use membership::{Authority, LocalProcess, Membership, Vm, VmList};
use wire::{Heartbeat, LogView};

fn process(name: &str) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(1) }
}

fn address(at: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], at))
}

fn heartbeat(at: u16) -> Heartbeat {
    Heartbeat {
        from: process(&format!("p{at}")),
        role: if at.is_multiple_of(4) { Role::Entry } else { Role::Side },
        region: CompactString::const_new("north"),
        data_centre: CompactString::const_new("dc-a"),
        address: address(at + 1),
        config_offset: Offset(1),
        log: LogView { end_read_age_ms: Some(100) },
        draining: false,
        target: None,
        demand: Vec::new(),
    }
}

fn fleet(size: u16) -> Membership {
    let local = LocalProcess {
        process: process("me"),
        role: Role::Entry,
        region: CompactString::const_new("north"),
        data_centre: CompactString::const_new("dc-a"),
        address: address(60_000),
    };
    let mut members =
        Membership::new(local, MembershipSettings::default(), Timestamp::from_millis(0));
    members.apply_vm_list(&list(size), now(), now());
    for at in 0..size {
        members.apply_heartbeat(&heartbeat(at), now());
    }
    members
}

fn list(size: u16) -> VmList {
    let vms = (0..size).map(|at| Vm {
        name: compact_str::format_compact!("vm-{at}"),
        address: address(at + 1),
        role: if at.is_multiple_of(4) { Role::Entry } else { Role::Side },
        region: CompactString::const_new("north"),
        data_centre: CompactString::const_new("dc-a"),
        leaving: false,
    });
    VmList { version: 1, vms: vms.collect() }
}

const fn now() -> Timestamp {
    Timestamp::from_millis(10_000)
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1_000))
        .configure_from_args();
    let mut group = criterion.benchmark_group("membership, by processes");
    for size in [10u16, 100, 1_000] {
        let mut members = fleet(size);
        let one = heartbeat(size / 2);
        group.bench_function(BenchmarkId::new("apply a heartbeat", size), |b| {
            b.iter(|| black_box(members.apply_heartbeat(&one, now())));
        });
        let name = one.from.name.clone();
        group.bench_function(BenchmarkId::new("liveness of one process", size), |b| {
            b.iter(|| members.member(&name).map(|m| black_box(members.liveness(m, now()))));
        });
        group.bench_function(BenchmarkId::new("list candidates", size), |b| {
            b.iter(|| black_box(members.candidates(Role::Side, now()).count()));
        });
        group.bench_function(BenchmarkId::new("termination proof", size), |b| {
            b.iter(|| black_box(members.termination_proof(&one.from, now())));
        });
        group.bench_function(BenchmarkId::new("heartbeats due", size), |b| {
            let mut at = now();
            b.iter(|| {
                at = at + Duration::from_millis(1_000);
                black_box(members.due(at))
            });
        });
        let mut authority = Authority::new(Duration::from_secs(2));
        for at in 0..size {
            let view = heartbeat(at).log;
            authority.note_peer(address(at + 1), view, Offset(1), now());
        }
        group.bench_function(BenchmarkId::new("authority", size), |b| {
            b.iter(|| black_box(authority.grant(Offset(1), now())));
        });
        let vm_list = list(size);
        group.bench_function(BenchmarkId::new("apply a VM list", size), |b| {
            b.iter(|| members.apply_vm_list(&vm_list, now(), now()));
        });
    }
    group.finish();
    criterion.final_summary();
}
