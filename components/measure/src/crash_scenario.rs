//! Random traffic around prompt parts that end targets, for the quarantine of such parts.

use base::seeded_rng;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Where a request has its deadly part. The first two parts are those of sound requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlyPosition {
    /// Behind the first part, in place of the second.
    AfterFirst,
    /// Behind the first and the second part.
    AfterSecond,
    /// Before the first part.
    BeforeFirst,
}

/// One run: a fleet, its traffic, and what ends its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashScenario {
    /// Seed of the run.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Targets of the service.
    pub targets: usize,
    /// Sound requests a second that share their parts with the deadly ones.
    pub sound_per_s: f64,
    /// Other requests a second, with parts of their own.
    pub others_per_s: f64,
    /// Requests a second with a deadly part.
    pub deadly_per_s: f64,
    /// Crashes a second that no request causes.
    pub kills_per_s: f64,
    /// Deadly parts, which take turns at random.
    pub deadly_parts: u64,
    /// First parts of the sound requests.
    pub first_parts: u64,
    /// Second parts of the sound requests; none leaves them out.
    pub second_parts: u64,
    /// Place of the deadly part.
    pub position: DeadlyPosition,
    /// Whether the first first part is the deadly one, which was answered before.
    pub turns_deadly: bool,
    /// Whether targets end before they send the head of a response.
    pub before_head: bool,
}

impl CrashScenario {
    /// The scenario of a seed, without kills, with one deadly part.
    pub fn draw(seed: u64) -> Self {
        let mut rng = seeded_rng(seed);
        let positions =
            [DeadlyPosition::AfterFirst, DeadlyPosition::AfterSecond, DeadlyPosition::BeforeFirst];
        Self {
            seed,
            gateways: rng.random_range(1..=4),
            targets: rng.random_range(4..=16),
            sound_per_s: rng.random_range(0.4..=6.0),
            others_per_s: rng.random_range(0.0..=8.0),
            deadly_per_s: rng.random_range(0.3..=3.0),
            kills_per_s: 0.0,
            deadly_parts: 1,
            first_parts: rng.random_range(1..=3),
            second_parts: rng.random_range(0..=3),
            position: positions[rng.random_range(0..positions.len())],
            turns_deadly: false,
            before_head: false,
        }
    }

    /// Parts of a sound request, without its own.
    pub(crate) fn draw_sound(&self, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let mut parts = vec![FIRST_PART + rng.random_range(0..self.first_parts)];
        if self.second_parts > 0 {
            parts.push(SECOND_PART + rng.random_range(0..self.second_parts));
        }
        parts
    }

    /// Parts of a request with a deadly part, without its own.
    pub(crate) fn draw_deadly(&self, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let mut parts = self.draw_sound(rng);
        if self.turns_deadly {
            parts[0] = FIRST_PART;
            return parts;
        }
        let deadly = DEADLY_PART + rng.random_range(0..self.deadly_parts);
        match self.position {
            DeadlyPosition::AfterFirst => parts.truncate(1),
            DeadlyPosition::AfterSecond => {}
            DeadlyPosition::BeforeFirst => {
                parts.truncate(1);
                parts.insert(0, deadly);
                return parts;
            }
        }
        parts.push(deadly);
        parts
    }

    /// Whether a part ends targets from the time at which deadly requests come.
    pub(crate) const fn is_deadly(&self, part: u64) -> bool {
        part >= DEADLY_PART && part < DEADLY_PART + self.deadly_parts
            || self.turns_deadly && part == FIRST_PART
    }
}

const FIRST_PART: u64 = 0x100;
const SECOND_PART: u64 = 0x200;
const DEADLY_PART: u64 = 0xdead;
/// Shared part of the other requests.
pub(crate) const OTHER_PART: u64 = 0x300;
