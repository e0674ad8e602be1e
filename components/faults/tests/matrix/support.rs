//! Helpers of all protocols.

use base::{Incarnation, ProcessId, ProcessName};
use faults::{Matrix, Protocol, Step, cells, run};

/// Most messages printed or reported on failure.
const SHOWN: usize = 12;

pub fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(incarnation) }
}

/// Prints the table, compares the numbers of cells with those expected, and fails on any violation.
/// A number that is too small means that the enumeration lost steps or faults.
pub fn report(name: &str, matrix: &Matrix, singles: usize, pairs_met: usize) {
    println!("### {name}\n\n{}", matrix.table());
    let failures = matrix.failures();
    let shown = failures.iter().take(SHOWN).cloned().collect::<Vec<_>>().join("\n");
    assert!(failures.is_empty(), "{name}: {} violations\n{shown}", failures.len());
    assert_eq!((matrix.singles.len(), matrix.pairs_met), (singles, pairs_met), "{name}: cells");
}

/// Runs a naive variant with each fault until the checker reports a violation of `invariant`, and prints
/// that run. The enumeration is fixed, so the run is the same each time.
pub fn red_run<P: Protocol>(name: &str, make: impl Fn() -> P, invariant: &str) {
    let first = run(make(), &[]);
    let mut found = first.result.err().map(|failure| format!("without a fault: {failure}"));
    if found.is_none() {
        let steps: Vec<Step> = first.steps.into_iter().filter(|step| step.nth < 2).collect();
        let cells = cells(&make(), &steps);
        let singles = cells.iter().map(|cell| vec![*cell]);
        let pairs = cells
            .iter()
            .enumerate()
            .flat_map(|(at, first)| cells[at + 1..].iter().map(|second| vec![*first, *second]));
        found = singles.chain(pairs).find_map(|plan| {
            let failure = run(make(), &plan).result.err()?;
            let plan: Vec<String> = plan.iter().map(ToString::to_string).collect();
            failure.contains(invariant).then(|| format!("{}: {failure}", plan.join(", ")))
        });
    }
    let found = found.unwrap_or_default();
    println!("red run: {name}: {found}");
    assert!(found.contains(invariant), "{name}: no violation of {invariant}: {found:?}");
}
