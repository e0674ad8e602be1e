//! Whether models fit on the targets of a service together.

/// Most placements tried; bounds the time of a check, whose verdict must be the same everywhere.
const MAX_STEPS: u32 = 100_000;

/// Whether all `sizes` fit into bins of the given `capacities`, each size in one bin.
///
/// Tries sizes from the largest down with backtracking. `None` if no answer was found within
/// the steps allowed.
pub(crate) fn fits(sizes: &[u64], capacities: &[u64]) -> Option<bool> {
    let total: u64 = sizes.iter().sum();
    if total > capacities.iter().sum() {
        return Some(false);
    }
    let mut sizes = sizes.to_vec();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let mut free = capacities.to_vec();
    let mut steps = 0;
    place(&sizes, &mut free, &mut steps)
}

fn place(sizes: &[u64], free: &mut [u64], steps: &mut u32) -> Option<bool> {
    let Some((&size, rest)) = sizes.split_first() else { return Some(true) };
    let mut tried: Vec<u64> = Vec::new();
    // Tightest bin first: it keeps large gaps for what follows.
    let mut order: Vec<usize> = (0..free.len()).filter(|&bin| free[bin] >= size).collect();
    order.sort_by_key(|&bin| (free[bin], bin));
    for bin in order {
        if tried.contains(&free[bin]) {
            continue;
        }
        tried.push(free[bin]);
        *steps += 1;
        if *steps > MAX_STEPS {
            return None;
        }
        free[bin] -= size;
        let found = place(rest, free, steps);
        free[bin] += size;
        if found != Some(false) {
            return found;
        }
    }
    Some(false)
}
