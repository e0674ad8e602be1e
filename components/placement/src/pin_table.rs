//! Pins that keep the last copy of a model.

use base::{Incarnation, ProcessId, ProcessName, SortedMap};
use compact_str::CompactString;

/// Answer to an ask for a pin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PinAnswer {
    /// The copy stays until the pin ends.
    Held,
    /// There is no resident copy that could be pinned.
    NotResident,
    /// This side process asks for a pin of the same model itself and goes first, or the ask is old.
    Refused,
}

/// Number of an ask, with the incarnation that it belongs to.
type RequestNumber = (Incarnation, u64);

/// An ask of this side process for a pin.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PinRequest {
    number: u64,
    /// Whom it was sent to; each of them must be told when the ask ends.
    contacted: Vec<ProcessName>,
    granted_by: Option<ProcessName>,
}

/// An `Unpin` that has not been answered.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PendingUnpin {
    model: CompactString,
    granter: ProcessName,
    number: u64,
}

/// Pins given to others, and this side process's own asks.
///
/// A pin has no expiry time, so a paused requester can't be overtaken. Of two side processes that ask
/// each other, the one with the smaller name goes first.
#[derive(Clone, Debug)]
pub struct PinTable {
    own_name: ProcessName,
    next_request: u64,
    requests: SortedMap<CompactString, PinRequest>,
    granted: SortedMap<(CompactString, ProcessName), RequestNumber>,
    /// Newest ask of each requester that has ended; late messages of it are ignored.
    ended: SortedMap<(CompactString, ProcessName), RequestNumber>,
    unpins: Vec<PendingUnpin>,
}

impl PinTable {
    /// A book without pins.
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

    /// Answers an ask. `can_keep` is whether the copy is resident, with no unload begun and no
    /// quarantine.
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

    /// Ends a pin that was given, unless a newer ask holds it.
    pub fn release(&mut self, model: &str, requester: &ProcessId, request: u64) {
        let key = (CompactString::from(model), requester.name.clone());
        let number = (requester.incarnation, request);
        if self.granted.get(&key).is_some_and(|granted| *granted <= number) {
            self.granted.remove(&key);
        }
        let ended = self.ended.get_or_insert_with(key, || number);
        *ended = (*ended).max(number);
    }

    /// Ends the pins of older incarnations of a requester whose newer one finished its quarantine.
    pub fn requester_restarted(&mut self, requester: &ProcessId) {
        self.granted.retain(|(_, name), (incarnation, _)| {
            *name != requester.name || *incarnation >= requester.incarnation
        });
    }

    /// Ends the pins of a requester whose VM is gone.
    pub fn requester_removed(&mut self, name: &ProcessName) {
        self.granted.retain(|(_, requester), _| requester != name);
    }

    /// Whether this copy must stay because another side process relies on it.
    pub fn is_pinned(&self, model: &str) -> bool {
        self.granted.keys().any(|(pinned, _)| pinned == model)
    }

    /// Names of the processes that rely on a pin; one with several pins more than once.
    pub fn requesters(&self) -> impl Iterator<Item = &ProcessName> {
        self.granted.keys().map(|(_, requester)| requester)
    }

    /// Whether an ask for this model is in progress or its pin is held.
    pub fn is_requested(&self, model: &str) -> bool {
        self.requests.contains_key(model)
    }

    /// Starts to ask `granter` for a pin, or asks one more; returns the number to send.
    ///
    /// None if this copy is pinned, or a pin is held already.
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

    /// Takes an answer. Returns whether the pin is held and the copy may be unloaded.
    ///
    /// A copy that another side process pinned meanwhile stays.
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

    /// Whether a pin is held for this model and the copy is not pinned itself, so that an unload may
    /// begin now.
    pub fn may_unload(&self, model: &str) -> bool {
        self.requests.get(model).is_some_and(|request| request.granted_by.is_some())
            && !self.is_pinned(model)
    }

    /// Ends an ask: the copy is proven unloaded, or the unload was given up.
    pub fn end_request(&mut self, model: &str) {
        let Some(request) = self.requests.remove(model) else { return };
        let model = CompactString::from(model);
        self.unpins.extend(request.contacted.into_iter().map(|granter| PendingUnpin {
            model: model.clone(),
            granter,
            number: request.number,
        }));
    }

    /// `Unpin`s to send, again until they are answered: model, granter, number.
    pub fn pending_unpins(&self) -> impl Iterator<Item = (&CompactString, &ProcessName, u64)> {
        self.unpins.iter().map(|unpin| (&unpin.model, &unpin.granter, unpin.number))
    }

    /// Notes that a granter answered an `Unpin`, or that its VM is gone.
    pub fn confirm_unpin(&mut self, model: &str, granter: &ProcessName, number: u64) {
        self.unpins.retain(|unpin| {
            unpin.model != model || unpin.granter != *granter || unpin.number != number
        });
    }
}
