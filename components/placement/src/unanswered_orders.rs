//! Orders without a response that an engine may still carry out.
//!
//! Within one run of an engine the expected count of a late order has passed. After a restart the
//! engine's counts start anew and it has forgotten the fencing tokens that it saw, so a late order of
//! an earlier run can have an effect beside new orders that were planned without it. An engine that
//! checks fencing tokens refuses late orders once it has accepted an order with a higher token; for
//! other engines the late orders must be waited out.

use std::time::Duration;

use base::Timestamp;
use compact_str::CompactString;

/// Longest time from the end of an order's timeout until the engine may carry it out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// The orders without a response in one run of an engine.
#[derive(Clone, Debug)]
struct UnansweredRun {
    engine: CompactString,
    run: u64,
    /// Whether one of them expects that the engine has accepted no order.
    is_first_possible: bool,
    /// End of the time in which they may be carried out.
    until: Timestamp,
}

/// Orders without a response, by the run of the engine that they were sent to.
#[derive(Clone, Debug, Default)]
pub struct UnansweredOrders {
    /// Number of the engine's current run, counted by observed restarts.
    run: u64,
    /// End of the time in which orders of an earlier order process may be carried out; none before
    /// the first observation of the engine.
    predecessor_until: Option<Timestamp>,
    orders: Vec<UnansweredRun>,
    /// Run in which the current fencing token was acquired.
    fenced_run: Option<u64>,
}

impl UnansweredOrders {
    /// Records that this process observes the engine; the first time counts as its start.
    pub(crate) fn record_observation(&mut self, now: Timestamp) {
        self.predecessor_until.get_or_insert(now + MAX_ORDER_DELAY);
    }

    /// Returns the number of the engine's current run.
    pub(crate) const fn run(&self) -> u64 {
        self.run
    }

    /// Records an order to `engine` in its run `run`, with the count that it expects, whose response
    /// did not arrive until `now`.
    pub(crate) fn record_order(
        &mut self,
        engine: &CompactString,
        run: u64,
        expected: u64,
        now: Timestamp,
    ) {
        let is_same = |order: &UnansweredRun| order.run == run && order.engine == *engine;
        self.orders.retain(|order| now < order.until);
        let known = self.orders.iter().filter(|order| is_same(order));
        let is_first_possible = expected == 0 || known.clone().any(|order| order.is_first_possible);
        self.orders.retain(|order| !is_same(order));
        let until = now + MAX_ORDER_DELAY;
        self.orders.push(UnansweredRun { engine: engine.clone(), run, is_first_possible, until });
    }

    /// Records that the engine has restarted.
    pub(crate) fn record_restart(&mut self) {
        self.run += 1;
    }

    /// Records that orders carry a higher fencing token than all orders of earlier runs, and that the
    /// engine checks it.
    pub(crate) fn record_fence(&mut self) {
        self.fenced_run = Some(self.run);
    }

    /// Returns whether a new fencing token would make an engine that checks it refuse the late orders
    /// of earlier runs.
    pub(crate) fn needs_fence(&self, engine: &CompactString, now: Timestamp) -> bool {
        self.fenced_run != Some(self.run)
            && self.late_orders(engine, now).next().is_some()
            && !self.is_first_possible(engine, now)
    }

    /// Returns whether a late order of an earlier run may have an effect in the current one.
    ///
    /// A new token is enough only if none of the late orders expects the count of a new run: an
    /// engine has forgotten all tokens after a further restart, and would carry out such an order and
    /// then a late one of this run that was planned without it.
    pub(crate) fn may_take_effect(&self, engine: &CompactString, now: Timestamp) -> bool {
        self.is_first_possible(engine, now)
            || (self.fenced_run != Some(self.run) && self.late_orders(engine, now).next().is_some())
    }

    /// Returns whether any order may still be carried out.
    pub fn is_any_late(&self, now: Timestamp) -> bool {
        self.orders.iter().any(|order| now < order.until)
    }

    /// Orders to `engine` in earlier runs that may still be carried out.
    fn late_orders(
        &self,
        engine: &CompactString,
        now: Timestamp,
    ) -> impl Iterator<Item = &UnansweredRun> {
        self.orders.iter().filter(move |order| {
            order.run != self.run && order.engine == *engine && now < order.until
        })
    }

    /// Whether a late order may be the first one that the engine carries out in a run. The orders of
    /// an earlier order process are unknown.
    fn is_first_possible(&self, engine: &CompactString, now: Timestamp) -> bool {
        let by_predecessor =
            self.run > 0 && self.predecessor_until.is_some_and(|until| now < until);
        by_predecessor || self.late_orders(engine, now).any(|order| order.is_first_possible)
    }
}
