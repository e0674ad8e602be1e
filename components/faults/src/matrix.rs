//! Enumeration of steps and faults.

use std::fmt::Write as _;

use crate::{Fault, Injection, Protocol, Step, run};

/// Results of all runs of one protocol.
#[derive(Clone, Debug, Default)]
pub struct Matrix {
    /// Steps of the run without faults.
    pub steps: Vec<Step>,
    /// Faults that can strike this protocol.
    pub faults: Vec<Fault>,
    /// Single faults that struck, with the violation if any.
    pub singles: Vec<(Injection, Result<(), String>)>,
    /// Pairs of faults that there are.
    pub pairs: usize,
    /// Pairs of faults that were run.
    pub pairs_run: usize,
    /// Pairs of which both struck; after the first, the step of the second may not come.
    pub pairs_met: usize,
    /// Violations of pairs.
    pub pair_failures: Vec<(Injection, Injection, String)>,
}

/// Runs a protocol with each fault at each step, and with each pair of them whose second step does not
/// come before the first. `repeats` is how many messages of one kind count as steps of their own.
pub fn enumerate<P: Protocol>(make: impl Fn() -> P, repeats: u32) -> Matrix {
    enumerate_some(make, repeats, 1)
}

/// As [`enumerate`], with one in `stride` pairs, for protocols whose runs take long.
pub fn enumerate_some<P: Protocol>(make: impl Fn() -> P, repeats: u32, stride: usize) -> Matrix {
    let clean = run(make(), &[]);
    assert!(clean.result.is_ok(), "without a fault: {:?}", clean.result);
    let steps: Vec<Step> = clean.steps.into_iter().filter(|step| step.nth < repeats).collect();
    let protocol = make();
    let faults = faults_of(&protocol);
    let injections = cells(&protocol, &steps);
    let mut matrix = Matrix { steps, faults, ..Matrix::default() };
    for injection in &injections {
        let outcome = run(make(), &[*injection]);
        assert!(outcome.met[0], "{injection} did not strike");
        matrix.singles.push((*injection, outcome.result));
    }
    for (at, first) in injections.iter().enumerate() {
        for second in &injections[at + 1..] {
            matrix.pairs += 1;
            if !matrix.pairs.is_multiple_of(stride) {
                continue;
            }
            let outcome = run(make(), &[*first, *second]);
            matrix.pairs_run += 1;
            matrix.pairs_met += usize::from(outcome.met.iter().all(|met| *met));
            if let Err(failure) = outcome.result {
                matrix.pair_failures.push((*first, *second, failure));
            }
        }
    }
    matrix
}

/// Faults that can strike a protocol.
fn faults_of<P: Protocol>(protocol: &P) -> Vec<Fault> {
    let (log, regions) = (protocol.log().is_some(), protocol.regions());
    let cuttable = regions.iter().any(|region| *region != regions[0]);
    Fault::ALL
        .into_iter()
        .filter(|fault| match fault {
            Fault::LogDown | Fault::LogAnswerLost => log,
            Fault::RegionCut => cuttable,
            _ => true,
        })
        .collect()
}

/// Each fault that can strike a protocol at each of the steps.
pub fn cells<P: Protocol>(protocol: &P, steps: &[Step]) -> Vec<Injection> {
    let faults = faults_of(protocol);
    steps
        .iter()
        .flat_map(|step| faults.iter().map(|fault| Injection { step: *step, fault: *fault }))
        .filter(|cell| protocol.applies(cell.step.kind, cell.fault))
        .collect()
}

impl Matrix {
    /// The table of single faults and a line on pairs, as Markdown.
    pub fn table(&self) -> String {
        let mut text = String::from("| step |");
        for fault in &self.faults {
            let _ = write!(text, " {} |", fault.title());
        }
        text.push_str("\n| --- |");
        text.push_str(&" --- |".repeat(self.faults.len()));
        text.push('\n');
        for step in &self.steps {
            let _ = write!(text, "| {step} |");
            for fault in &self.faults {
                let cell = Injection { step: *step, fault: *fault };
                let result = self.singles.iter().find(|(other, _)| *other == cell);
                text.push_str(match result {
                    None => " - |",
                    Some((_, Ok(()))) => " ok |",
                    Some((_, Err(_))) => " **red** |",
                });
            }
            text.push('\n');
        }
        let _ = writeln!(
            text,
            "\n{} single cells, {} red; {} of {} pairs run, {} with both faults met, {} red.",
            self.singles.len(),
            self.singles.iter().filter(|(_, result)| result.is_err()).count(),
            self.pairs_run,
            self.pairs,
            self.pairs_met,
            self.pair_failures.len()
        );
        text
    }

    /// Every violation, single faults first.
    pub fn failures(&self) -> Vec<String> {
        let singles = self
            .singles
            .iter()
            .filter_map(|(cell, result)| Some(format!("{cell}: {}", result.as_ref().err()?)));
        let pairs = self
            .pair_failures
            .iter()
            .map(|(first, second, failure)| format!("{first}, {second}: {failure}"));
        singles.chain(pairs).collect()
    }
}
