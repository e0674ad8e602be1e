//! Requests in progress, so that each configuration change authorises them again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use api::ErrorCode;
use auth::{AuthFault, authenticate_hash, permit_model, permit_route};
use base::SortedMap;
use compact_str::CompactString;
use config::FleetConfig;

use crate::cancel_signal::CancelSignal;

/// What a request uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestedResource {
    /// A model or adapter by the caller's name; none until the body has been read.
    Model(Option<CompactString>),
    /// A route by name.
    Route(CompactString),
}

/// On whose behalf a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Principal {
    /// SHA-256 of the presented key.
    pub key_sha256: [u8; 32],
    /// Customer by name; ids change with the configuration.
    pub customer: CompactString,
}

struct InFlightRequest {
    principal: Option<Principal>,
    resource: RequestedResource,
    cancel: Rc<CancelSignal>,
}

/// Table of requests in progress, by a rising number.
#[derive(Default)]
pub(crate) struct InFlight {
    next: Cell<u64>,
    requests: RefCell<SortedMap<u64, InFlightRequest>>,
}

/// A request's place in the table; dropping it takes the request out.
pub(crate) struct InFlightGuard {
    table: Rc<InFlight>,
    number: u64,
    /// Ends the request from outside.
    pub cancel: Rc<CancelSignal>,
}

impl InFlight {
    /// Enters a request; public calls have no principal.
    pub(crate) fn insert(
        self: &Rc<Self>,
        principal: Option<Principal>,
        resource: RequestedResource,
    ) -> InFlightGuard {
        let number = self.next.get();
        self.next.set(number + 1);
        let cancel = Rc::new(CancelSignal::default());
        let request = InFlightRequest { principal, resource, cancel: Rc::clone(&cancel) };
        self.requests.borrow_mut().insert(number, request);
        InFlightGuard { table: Rc::clone(self), number, cancel }
    }

    /// Number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Ends the requests that `config` no longer permits.
    pub(crate) fn reauthorise(&self, config: &FleetConfig) {
        for request in self.requests.borrow().values() {
            if let Some(principal) = &request.principal
                && let Some(reason) = refusal(config, principal, &request.resource)
            {
                request.cancel.cancel(reason);
            }
        }
    }

    /// Ends every request.
    pub(crate) fn cancel_all(&self, reason: ErrorCode) {
        self.requests.borrow().values().for_each(|request| request.cancel.cancel(reason));
    }

    /// Ends every request that runs under a key.
    pub(crate) fn cancel_keyed(&self, reason: ErrorCode) {
        for request in self.requests.borrow().values().filter(|r| r.principal.is_some()) {
            request.cancel.cancel(reason);
        }
    }
}

fn refusal(
    config: &FleetConfig,
    principal: &Principal,
    resource: &RequestedResource,
) -> Option<ErrorCode> {
    let Ok(caller) = authenticate_hash(config, &principal.key_sha256) else {
        return Some(ErrorCode::KeyWithdrawn);
    };
    // A key that moved to another customer no longer stands for the one the request runs for.
    if config.customer(caller.customer).name != principal.customer {
        return Some(ErrorCode::KeyWithdrawn);
    }
    let permitted = match resource {
        RequestedResource::Model(None) => Ok(()),
        RequestedResource::Model(Some(name)) => {
            permit_model(config, caller.customer, name).map(|_| ())
        }
        RequestedResource::Route(name) => match config.route_id(name) {
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

impl InFlightGuard {
    /// Says which model the request uses, once its body has been read.
    pub(crate) fn set_model(&self, name: &str) {
        if let Some(request) = self.table.requests.borrow_mut().get_mut(&self.number) {
            request.resource = RequestedResource::Model(Some(CompactString::new(name)));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.table.requests.borrow_mut().remove(&self.number);
    }
}
