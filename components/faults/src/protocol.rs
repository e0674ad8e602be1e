//! A protocol and one run of it.

use base::Timestamp;

use crate::network::{Arrival, Next};
use crate::{Fault, Injection, Network, Step, Timing};

/// State machines of the processes that take part in a protocol.
pub trait Protocol {
    /// What they send each other.
    type Message: Clone;

    /// Times of a run.
    fn timing(&self) -> Timing;
    /// Region of each process.
    fn regions(&self) -> Vec<u8>;
    /// The process that stands for the log.
    fn log(&self) -> Option<usize>;
    /// Whether a fault can strike a kind of message; a request on one connection can't come twice.
    fn applies(&self, _kind: &'static str, _fault: Fault) -> bool {
        true
    }
    /// A message arrives.
    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: Self::Message,
        network: &mut Network<Self::Message>,
    );
    /// A process that runs does what is due.
    fn tick(&mut self, node: usize, network: &mut Network<Self::Message>);
    /// A process dies.
    fn die(&mut self, node: usize, now: Timestamp);
    /// A process starts again.
    fn restart(&mut self, node: usize, now: Timestamp);
    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// The invariant that does not hold.
    fn check(&mut self, network: &Network<Self::Message>) -> Result<(), String>;
    /// Whether the protocol has reached its end.
    fn finished(&self) -> bool;
    /// Checks what can be judged only at the end.
    ///
    /// # Errors
    ///
    /// The invariant that does not hold.
    fn check_end(&mut self) -> Result<(), String> {
        Ok(())
    }
}

/// End of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Whether each fault of the plan struck.
    pub met: Vec<bool>,
    /// Messages sent, in order.
    pub steps: Vec<Step>,
    /// The violation, if any.
    pub result: Result<(), String>,
}

/// Runs a protocol with the faults of `plan`.
pub fn run<P: Protocol>(mut protocol: P, plan: &[Injection]) -> Outcome {
    let timing = protocol.timing();
    let mut network = Network::new(timing, protocol.regions(), protocol.log(), plan);
    let result = drive(&mut protocol, &mut network, timing);
    Outcome { met: network.met, steps: network.steps, result }
}

fn drive<P: Protocol>(
    protocol: &mut P,
    network: &mut Network<P::Message>,
    timing: Timing,
) -> Result<(), String> {
    let end = network.now + timing.horizon;
    while network.now < end {
        network.now = network.now + timing.tick;
        for node in 0..network.dead_until.len() {
            if network.dead_until[node].is_some_and(|until| network.now >= until) {
                network.dead_until[node] = None;
                protocol.restart(node, network.now);
            }
        }
        loop {
            match network.next() {
                Next::Nothing => break,
                Next::Death(node) => network.deaths.push(node),
                Next::Arrival(Arrival { from, to, message, answer_lost, kills_after }) => {
                    network.mute_to = answer_lost.then_some(from);
                    protocol.deliver(from, to, message, network);
                    network.mute_to = None;
                    if kills_after {
                        network.deaths.push(to);
                    }
                }
            }
            bury(protocol, network);
            protocol.check(network)?;
        }
        for node in 0..network.dead_until.len() {
            if network.runs(node) {
                protocol.tick(node, network);
                bury(protocol, network);
            }
        }
        protocol.check(network)?;
        if protocol.finished() && network.faults_over() {
            return protocol.check_end();
        }
    }
    Err("no progress: the protocol has not ended after the faults were over".into())
}

fn bury<P: Protocol>(protocol: &mut P, network: &mut Network<P::Message>) {
    for node in std::mem::take(&mut network.deaths) {
        if !network.is_dead(node) {
            network.bury(node);
            protocol.die(node, network.now);
        }
    }
}
