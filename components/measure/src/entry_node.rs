//! An entry process without its sockets.

use std::rc::Rc;

use base::{Incarnation, ProcessId, ProcessName, Timestamp};
use compact_str::CompactString;
use config::FleetConfig;
use rates::{Bucket, Share, SlotLedger, SlotOwner};
use routing::{NetworkDelays, Router};

use crate::Policy;
use crate::router::PolicyRouter;

/// Core state of one entry process.
#[derive(Clone, Debug)]
pub(crate) struct EntryNode {
    pub(crate) id: ProcessId,
    pub(crate) data_centre: CompactString,
    pub(crate) alive: bool,
    pub(crate) owner: SlotOwner,
    pub(crate) router: PolicyRouter,
    /// Buckets of the equal-split baseline.
    pub(crate) split: Vec<Bucket>,
}

impl EntryNode {
    pub(crate) fn new(at: usize, config: &Rc<FleetConfig>, policy: Policy, entries: usize) -> Self {
        let id = entry_id(at, 1);
        let data_centre = &config.data_centres[at % config.data_centres.len()];
        let router = Router::new(&data_centre.region, &data_centre.name, NetworkDelays::default());
        let start = Timestamp::default();
        let split = config
            .customers
            .iter()
            .map(|customer| {
                let share = Share {
                    rate_tokens_per_s: customer.rate_tokens_per_s / entries as u64,
                    cap_tokens: customer.burst_tokens / entries as u64,
                };
                Bucket::full(share, start)
            })
            .collect();
        Self {
            owner: SlotOwner::new(id.clone(), Rc::clone(config)),
            id,
            data_centre: data_centre.name.clone(),
            alive: true,
            router: PolicyRouter::new(policy, router),
            split,
        }
    }

    /// Starts the process again with a new incarnation: it owns nothing until the ledger says so.
    pub(crate) fn restart(
        &mut self,
        at: usize,
        config: &Rc<FleetConfig>,
        ledger: &SlotLedger,
        now: Timestamp,
    ) {
        self.id = entry_id(at, self.id.incarnation.0 + 1);
        self.owner = SlotOwner::new(self.id.clone(), Rc::clone(config));
        self.owner.sync(ledger, now);
        self.alive = true;
    }
}

fn entry_id(at: usize, run: u64) -> ProcessId {
    let name = ProcessName::new(&format!("entry-{at}"));
    ProcessId { name, incarnation: Incarnation(run) }
}
