//! Pins that protect the last copy of a model.

use base::{Incarnation, ProcessId, ProcessName, SortedMap};
use compact_str::CompactString;

/// Reply to a pin request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PinAnswer {
    /// The pin is granted; the copy stays resident until the pin is released.
    Held,
    /// No resident copy can be pinned.
    NotResident,
    /// This side process has its own request for the model and takes precedence, or the request is
    /// outdated.
    Refused,
}

/// Request number, qualified by the incarnation of the requester.
type RequestNumber = (Incarnation, u64);

/// A pin request of this side process.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PinRequest {
    number: u64,
    /// Processes that the request was sent to; each of them must receive an `Unpin` when it ends.
    contacted: Vec<ProcessName>,
    granted_by: Option<ProcessName>,
}

/// An `Unpin` that has not been confirmed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PendingUnpin {
    model: CompactString,
    granter: ProcessName,
    number: u64,
}

/// Pins granted to other side processes, and the pin requests of this one.
///
/// A pin has no expiry time, so that a paused requester can still rely on it. Of two side processes
/// that request a pin from each other, the one with the smaller name takes precedence.
#[derive(Clone, Debug)]
pub struct PinTable {
    own_name: ProcessName,
    next_request: u64,
    requests: SortedMap<CompactString, PinRequest>,
    granted: SortedMap<(CompactString, ProcessName), RequestNumber>,
    /// Newest ended request of each requester; its late messages are ignored.
    ended: SortedMap<(CompactString, ProcessName), RequestNumber>,
    unpins: Vec<PendingUnpin>,
}

impl PinTable {
    /// Creates a table without pins.
    pub const fn new(own_name: ProcessName) -> Self {
        Self {
            own_name,
            next_request: 1,
            requests: SortedMap::new(),
            granted: SortedMap::new(),
            ended: SortedMap::new(),
            unpins: Vec::new(),
        }
    }

    /// Handles a pin request. `can_keep` is whether the copy is resident, with no unload in
    /// progress and no quarantine.
    pub fn grant(
        &mut self,
        model: &str,
        requester: &ProcessId,
        request: u64,
        can_keep: bool,
    ) -> PinAnswer {
        if !can_keep {
            return PinAnswer::NotResident;
        }
        let key = (CompactString::from(model), requester.name.clone());
        let number = (requester.incarnation, request);
        let outdated = self.ended.get(&key).is_some_and(|ended| number <= *ended)
            || self.granted.get(&key).is_some_and(|granted| number < *granted);
        let own_first = self.requests.contains_key(model) && requester.name > self.own_name;
        if outdated || own_first {
            return PinAnswer::Refused;
        }
        self.granted.insert(key, number);
        PinAnswer::Held
    }

    /// Releases a granted pin, unless a newer request holds it.
    pub fn release(&mut self, model: &str, requester: &ProcessId, request: u64) {
        let key = (CompactString::from(model), requester.name.clone());
        let number = (requester.incarnation, request);
        if self.granted.get(&key).is_some_and(|granted| *granted <= number) {
            self.granted.remove(&key);
        }
        let ended = self.ended.get_or_insert_with(key, || number);
        *ended = (*ended).max(number);
    }

    /// Releases the pins of older incarnations of a requester whose new incarnation has finished
    /// its quarantine.
    pub fn requester_restarted(&mut self, requester: &ProcessId) {
        self.granted.retain(|(_, name), (incarnation, _)| {
            *name != requester.name || *incarnation >= requester.incarnation
        });
    }

    /// Releases the pins of a requester whose VM has been removed.
    pub fn requester_removed(&mut self, name: &ProcessName) {
        self.granted.retain(|(_, requester), _| requester != name);
    }

    /// Returns whether another side process relies on this copy.
    pub fn is_pinned(&self, model: &str) -> bool {
        self.granted.keys().any(|(pinned, _)| pinned == model)
    }

    /// Returns the names of the processes that rely on a pin; a process with several pins is
    /// repeated.
    pub fn requesters(&self) -> impl Iterator<Item = &ProcessName> {
        self.granted.keys().map(|(_, requester)| requester)
    }

    /// Returns whether a pin request for this model is in progress or its pin is held.
    pub fn is_requested(&self, model: &str) -> bool {
        self.requests.contains_key(model)
    }

    /// Starts a pin request to `granter`, or extends the current request to it; returns the request
    /// number to send.
    ///
    /// Returns none if this copy is pinned or a pin is already held.
    pub fn request(&mut self, model: &str, granter: &ProcessName) -> Option<u64> {
        if self.is_pinned(model)
            || self.requests.get(model).is_some_and(|request| request.granted_by.is_some())
        {
            return None;
        }
        let next = &mut self.next_request;
        let request = self.requests.get_or_insert_with(CompactString::from(model), || {
            let number = *next;
            *next += 1;
            PinRequest { number, contacted: Vec::new(), granted_by: None }
        });
        if !request.contacted.contains(granter) {
            request.contacted.push(granter.clone());
        }
        Some(request.number)
    }

    /// Applies a reply. Returns whether the pin is held and the copy may be unloaded.
    ///
    /// A copy that another side process has pinned in the meantime may not be unloaded.
    pub fn apply_answer(
        &mut self,
        model: &str,
        granter: &ProcessName,
        number: u64,
        answer: PinAnswer,
    ) -> bool {
        let pinned = self.is_pinned(model);
        let Some(request) = self.requests.get_mut(model) else { return false };
        if request.number != number || answer != PinAnswer::Held {
            return false;
        }
        request.granted_by = Some(granter.clone());
        !pinned
    }

    /// Returns whether an unload may start: a pin is held for this model and the copy is not itself
    /// pinned.
    pub fn may_unload(&self, model: &str) -> bool {
        self.requests.get(model).is_some_and(|request| request.granted_by.is_some())
            && !self.is_pinned(model)
    }

    /// Ends a request, once the copy is confirmed unloaded or the unload is abandoned.
    pub fn end_request(&mut self, model: &str) {
        let Some(request) = self.requests.remove(model) else { return };
        let model = CompactString::from(model);
        self.unpins.extend(request.contacted.into_iter().map(|granter| PendingUnpin {
            model: model.clone(),
            granter,
            number: request.number,
        }));
    }

    /// Returns the `Unpin`s to resend until they are confirmed, as model, granter and request
    /// number.
    pub fn pending_unpins(&self) -> impl Iterator<Item = (&CompactString, &ProcessName, u64)> {
        self.unpins.iter().map(|unpin| (&unpin.model, &unpin.granter, unpin.number))
    }

    /// Records that a granter confirmed an `Unpin`, or that its VM has been removed.
    pub fn confirm_unpin(&mut self, model: &str, granter: &ProcessName, number: u64) {
        self.unpins.retain(|unpin| {
            unpin.model != model || unpin.granter != *granter || unpin.number != number
        });
    }
}
