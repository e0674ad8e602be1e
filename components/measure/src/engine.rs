//! Fake engine: continuous batching with a step time that grows with the batch.

use base::{Timestamp, Tokens};

/// Share of the step time at full batch that a batch of one needs, in percent.
const BASE_STEP_PERCENT: u64 = 60;
/// Prompt tokens that are prefilled in the time of one token at full batch.
const PREFILL_TOKENS_PER_STEP: u64 = 64;

/// A sequence in the batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Sequence {
    number: usize,
    prefill_left: u64,
    output_left: u64,
}

/// What a sequence did in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Progress {
    /// Generated a token.
    Token,
    /// Generated its last token.
    Finished,
}

/// Batch of sequences; the caller advances it step by step.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    batch: u32,
    full_step_us: u64,
    sequences: Vec<Sequence>,
}

impl FakeEngine {
    /// An idle engine of `tokens_per_s` at full `batch`.
    pub(crate) fn new(batch: u32, tokens_per_s: u64) -> Self {
        let full_step_us = u64::from(batch) * 1_000_000 / tokens_per_s.max(1);
        Self { batch, full_step_us, sequences: Vec::new() }
    }

    /// Adds a sequence; the caller keeps to the batch.
    pub(crate) fn start(&mut self, number: usize, prompt: Tokens, output: Tokens) {
        self.sequences.push(Sequence { number, prefill_left: prompt.0, output_left: output.0 });
    }

    /// Whether nothing runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Sequences in the batch.
    pub(crate) fn running(&self) -> usize {
        self.sequences.len()
    }

    /// Output tokens still to generate.
    pub(crate) fn tokens_left(&self) -> u64 {
        self.sequences.iter().map(|s| s.output_left).sum()
    }

    /// When the step that starts `now` ends.
    pub(crate) fn step_end(&self, now: Timestamp) -> Timestamp {
        let base = self.full_step_us * BASE_STEP_PERCENT / 100;
        let rest = self.full_step_us - base;
        let grown = rest * self.sequences.len() as u64 / u64::from(self.batch.max(1));
        Timestamp::from_micros(now.micros + base + grown)
    }

    /// Ends a step.
    pub(crate) fn step(&mut self) -> Vec<(usize, Progress)> {
        let mut progress = Vec::new();
        for sequence in &mut self.sequences {
            if sequence.prefill_left > 0 {
                sequence.prefill_left =
                    sequence.prefill_left.saturating_sub(PREFILL_TOKENS_PER_STEP);
                continue;
            }
            sequence.output_left -= 1;
            let state =
                if sequence.output_left == 0 { Progress::Finished } else { Progress::Token };
            progress.push((sequence.number, state));
        }
        self.sequences.retain(|s| s.output_left > 0);
        progress
    }

    /// Loses everything, as when the engine dies.
    pub(crate) fn clear(&mut self) -> Vec<usize> {
        self.sequences.drain(..).map(|s| s.number).collect()
    }
}
