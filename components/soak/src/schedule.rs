//! When which fault begins.

use std::fmt;
use std::time::Duration;

use base::seeded_rng;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use standin::Blocked;

use crate::{Fault, LinkFault, SoakOptions, StoreFault};

/// Shortest and longest time between the starts of two faults, in milliseconds. Faults last up to five
/// seconds, so that two or three overlap as a rule.
const GAP_MS: std::ops::Range<u64> = 300..2_500;
/// Shortest and longest time that a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 400..5_000;
/// Share of the faults that strike again soon, in percent.
const SERIES_PERCENT: u32 = 25;
/// Time after which they do, in milliseconds.
const SERIES_GAP_MS: std::ops::Range<u64> = 200..1_500;

/// A fault of a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// All faults of a run, in the order of their starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Schedule {
    /// The faults.
    pub planned: Vec<Planned>,
}

impl Schedule {
    /// The schedule of a seed.
    pub fn draw(options: &SoakOptions) -> Self {
        let mut random = seeded_rng(options.seed);
        let mut planned = Vec::new();
        let mut at = Duration::from_millis(random.random_range(GAP_MS));
        while at < options.length {
            let fault = draw_fault(options, &mut random);
            let lasts = Duration::from_millis(random.random_range(LENGTH_MS));
            planned.push(Planned { at, lasts, fault });
            if random.random_range(0..100) < SERIES_PERCENT {
                let again = at + lasts + Duration::from_millis(random.random_range(SERIES_GAP_MS));
                let lasts = Duration::from_millis(random.random_range(LENGTH_MS));
                planned.push(Planned { at: again, lasts, fault });
            }
            at += Duration::from_millis(random.random_range(GAP_MS));
        }
        planned.sort_by_key(|planned| planned.at);
        Self { planned }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.planned.iter().try_for_each(|planned| {
            let (at, lasts) = (planned.at.as_millis(), planned.lasts.as_millis());
            writeln!(f, "{at:>6} ms for {lasts:>5} ms: {}", planned.fault)
        })
    }
}

fn draw_fault(options: &SoakOptions, random: &mut ChaCha8Rng) -> Fault {
    let gateway = random.random_range(0..options.gateways);
    let engine = random.random_range(0..options.engines);
    let plain = random.random_range(0..options.plain_targets);
    match random.random_range(0..18) {
        0 => Fault::AgentKill(engine),
        1 => Fault::AgentPause(engine),
        2 => Fault::ConfigurationChange,
        3 => Fault::EngineCrash(engine),
        4 => Fault::EngineDrain(engine),
        5 => Fault::EngineFailing(engine),
        6 => Fault::EngineLink(engine, draw_link(random)),
        7 => Fault::LateOrders,
        8 => Fault::GatewayKill(gateway),
        9 => Fault::GatewayPause(gateway),
        10 => Fault::GatewayStop(gateway),
        11 => Fault::GatewayLink(gateway, draw_link(random)),
        12 => Fault::GatewayStoreLink(gateway, draw_link(random)),
        13 => Fault::GatewayReload(gateway),
        14 => Fault::PlainCrash(plain),
        15 => Fault::Revoke,
        16 => Fault::Store(draw_store(random)),
        // Rarer than the others, since it hides what they do.
        _ if random.random_range(0..3) == 0 => Fault::AllKill,
        _ => Fault::GatewayStop(gateway),
    }
}

fn draw_link(random: &mut ChaCha8Rng) -> LinkFault {
    let blocked = [Blocked::Both, Blocked::ToClient, Blocked::ToTarget];
    match random.random_range(0..3) {
        0 => LinkFault::Delay { ms: random.random_range(20..400) },
        1 => LinkFault::Reset,
        _ => LinkFault::Silence(blocked.choose(random).copied().unwrap_or_default()),
    }
}

fn draw_store(random: &mut ChaCha8Rng) -> StoreFault {
    let faults = [
        StoreFault::Down,
        StoreFault::DropHistory,
        StoreFault::LoseAnswers,
        StoreFault::Slow,
        StoreFault::Silent,
    ];
    faults.choose(random).copied().unwrap_or(StoreFault::Down)
}
