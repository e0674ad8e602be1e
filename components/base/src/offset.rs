//! Positions in a stream of the log service.

use serde::{Deserialize, Serialize};

/// Bits of an offset below its era; larger than the number of records that a stream gets in years.
const ERA_SHIFT: u32 = 40;
/// Largest number of a record.
const MAX_NUMBER: u64 = (1 << ERA_SHIFT) - 1;

/// Position of a record in one stream of the log; the first record has offset 1.
///
/// Offset 0 means "before the first record". A log that comes back from an older copy gives numbers
/// out again. Its era, which counts these restorations, stands above the number, so that offsets
/// never decrease and never name two records. Eras up to 8,191 keep offsets exact in JSON numbers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// The position with a number in an era of the log; larger ones than fit count as the largest.
    pub const fn in_era(era: u64, number: u64) -> Self {
        let (era, number) = (min(era, u64::MAX >> ERA_SHIFT), min(number, MAX_NUMBER));
        Self((era << ERA_SHIFT) | number)
    }

    /// Era of the log in which the number was given out.
    pub const fn era(self) -> u64 {
        self.0 >> ERA_SHIFT
    }

    /// Number of the record in its era.
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// The position before this one: of the last record of a read, from the read's end.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// The position after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

const fn min(a: u64, b: u64) -> u64 {
    if a < b { a } else { b }
}
