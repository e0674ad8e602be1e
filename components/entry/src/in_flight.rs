//! Requests in progress, so that each configuration change authorises them again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use api::ErrorCode;
use auth::{AuthFault, authenticate_hash, permit_model, permit_route};
use base::SortedMap;
use compact_str::CompactString;
use config::FleetConfig;

use crate::cancel::Cancel;

/// What a request uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Use {
    /// A model or adapter by the caller's name; none until the body has been read.
    Model(Option<CompactString>),
    /// A route by name.
    Route(CompactString),
}

/// On whose behalf a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Holder {
    /// SHA-256 of the presented key.
    pub key_sha256: [u8; 32],
    /// Customer by name; ids change with the configuration.
    pub customer: CompactString,
}

struct Running {
    holder: Option<Holder>,
    uses: Use,
    cancel: Rc<Cancel>,
}

/// Table of requests in progress, by a rising number.
#[derive(Default)]
pub(crate) struct InFlight {
    next: Cell<u64>,
    running: RefCell<SortedMap<u64, Running>>,
}

/// A request's place in the table; dropping it takes the request out.
pub(crate) struct Ticket {
    table: Rc<InFlight>,
    number: u64,
    /// Ends the request from outside.
    pub cancel: Rc<Cancel>,
}

impl InFlight {
    /// Enters a request; public calls have no holder.
    pub(crate) fn enter(self: &Rc<Self>, holder: Option<Holder>, uses: Use) -> Ticket {
        let number = self.next.get();
        self.next.set(number + 1);
        let cancel = Rc::new(Cancel::default());
        let running = Running { holder, uses, cancel: Rc::clone(&cancel) };
        self.running.borrow_mut().insert(number, running);
        Ticket { table: Rc::clone(self), number, cancel }
    }

    /// Number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.running.borrow().len()
    }

    /// Ends the requests that `config` no longer permits.
    pub(crate) fn authorise_again(&self, config: &FleetConfig) {
        for running in self.running.borrow().values() {
            if let Some(holder) = &running.holder
                && let Some(reason) = refusal(config, holder, &running.uses)
            {
                running.cancel.cancel(reason);
            }
        }
    }

    /// Ends every request.
    pub(crate) fn cancel_all(&self, reason: ErrorCode) {
        self.running.borrow().values().for_each(|running| running.cancel.cancel(reason));
    }

    /// Ends every request that runs under a key.
    pub(crate) fn cancel_keyed(&self, reason: ErrorCode) {
        for running in self.running.borrow().values().filter(|r| r.holder.is_some()) {
            running.cancel.cancel(reason);
        }
    }
}

fn refusal(config: &FleetConfig, holder: &Holder, uses: &Use) -> Option<ErrorCode> {
    let Ok(caller) = authenticate_hash(config, &holder.key_sha256) else {
        return Some(ErrorCode::KeyWithdrawn);
    };
    // A key that moved to another customer no longer stands for the one the request runs for.
    if config.customer(caller.customer).name != holder.customer {
        return Some(ErrorCode::KeyWithdrawn);
    }
    let permitted = match uses {
        Use::Model(None) => Ok(()),
        Use::Model(Some(name)) => permit_model(config, caller.customer, name).map(|_| ()),
        Use::Route(name) => match config.route_id(name) {
            Some(route) => permit_route(config, Some(caller.customer), route),
            None => return Some(ErrorCode::RouteNotFound),
        },
    };
    permitted.err().map(|fault| match fault {
        AuthFault::NotAllowed => ErrorCode::NotAllowed,
        AuthFault::UnknownKey => ErrorCode::KeyWithdrawn,
        AuthFault::UnknownModel => ErrorCode::ModelNotFound,
    })
}

impl Ticket {
    /// Says which model the request uses, once its body has been read.
    pub(crate) fn name_model(&self, name: &str) {
        if let Some(running) = self.table.running.borrow_mut().get_mut(&self.number) {
            running.uses = Use::Model(Some(CompactString::new(name)));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.table.running.borrow_mut().remove(&self.number);
    }
}
