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
type AskNumber = (Incarnation, u64);

/// An ask of this side process for a pin.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Ask {
    number: u64,
    /// Whom it was sent to; each of them must be told when the ask ends.
    asked: Vec<ProcessName>,
    held_by: Option<ProcessName>,
}

/// An `Unpin` that has not been answered.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OpenUnpin {
    model: CompactString,
    giver: ProcessName,
    number: u64,
}

/// Pins given to others, and this side process's own asks.
///
/// A pin has no expiry time, so a paused requester can't be overtaken. Of two side processes that ask
/// each other, the one with the smaller name goes first.
#[derive(Clone, Debug)]
pub struct PinBook {
    me: ProcessName,
    next_ask: u64,
    asks: SortedMap<CompactString, Ask>,
    given: SortedMap<(CompactString, ProcessName), AskNumber>,
    /// Newest ask of each requester that has ended; late messages of it are ignored.
    ended: SortedMap<(CompactString, ProcessName), AskNumber>,
    unpins: Vec<OpenUnpin>,
}

impl PinBook {
    /// A book without pins.
    pub const fn new(me: ProcessName) -> Self {
        Self {
            me,
            next_ask: 1,
            asks: SortedMap::new(),
            given: SortedMap::new(),
            ended: SortedMap::new(),
            unpins: Vec::new(),
        }
    }

    /// Answers an ask. `keepable` is whether the copy is resident, with no unload begun and no
    /// quarantine.
    pub fn give(
        &mut self,
        model: &str,
        requester: &ProcessId,
        ask: u64,
        keepable: bool,
    ) -> PinAnswer {
        if !keepable {
            return PinAnswer::NotResident;
        }
        let key = (CompactString::from(model), requester.name.clone());
        let number = (requester.incarnation, ask);
        let old = self.ended.get(&key).is_some_and(|ended| number <= *ended)
            || self.given.get(&key).is_some_and(|given| number < *given);
        let first = self.asks.contains_key(model) && requester.name > self.me;
        if old || first {
            return PinAnswer::Refused;
        }
        self.given.insert(key, number);
        PinAnswer::Held
    }

    /// Ends a pin that was given, unless a newer ask holds it.
    pub fn end(&mut self, model: &str, requester: &ProcessId, ask: u64) {
        let key = (CompactString::from(model), requester.name.clone());
        let number = (requester.incarnation, ask);
        if self.given.get(&key).is_some_and(|given| *given <= number) {
            self.given.remove(&key);
        }
        let ended = self.ended.get_or_insert_with(key, || number);
        *ended = (*ended).max(number);
    }

    /// Ends the pins of older incarnations of a requester whose newer one finished its quarantine.
    pub fn requester_restarted(&mut self, requester: &ProcessId) {
        self.given.retain(|(_, name), (incarnation, _)| {
            *name != requester.name || *incarnation >= requester.incarnation
        });
    }

    /// Ends the pins of a requester whose VM is gone.
    pub fn requester_gone(&mut self, name: &ProcessName) {
        self.given.retain(|(_, requester), _| requester != name);
    }

    /// Whether this copy must stay because another side process relies on it.
    pub fn pinned(&self, model: &str) -> bool {
        self.given.keys().any(|(pinned, _)| pinned == model)
    }

    /// Names of the processes that rely on a pin; one with several pins more than once.
    pub fn requesters(&self) -> impl Iterator<Item = &ProcessName> {
        self.given.keys().map(|(_, requester)| requester)
    }

    /// Whether an ask for this model is in progress or its pin is held.
    pub fn asking(&self, model: &str) -> bool {
        self.asks.contains_key(model)
    }

    /// Starts to ask `giver` for a pin, or asks one more; returns the number to send.
    ///
    /// None if this copy is pinned, or a pin is held already.
    pub fn ask(&mut self, model: &str, giver: &ProcessName) -> Option<u64> {
        if self.pinned(model) || self.asks.get(model).is_some_and(|ask| ask.held_by.is_some()) {
            return None;
        }
        let next = &mut self.next_ask;
        let ask = self.asks.get_or_insert_with(CompactString::from(model), || {
            let number = *next;
            *next += 1;
            Ask { number, asked: Vec::new(), held_by: None }
        });
        if !ask.asked.contains(giver) {
            ask.asked.push(giver.clone());
        }
        Some(ask.number)
    }

    /// Takes an answer. Returns whether the pin is held and the copy may be unloaded.
    ///
    /// A copy that another side process pinned meanwhile stays.
    pub fn answered(
        &mut self,
        model: &str,
        giver: &ProcessName,
        number: u64,
        answer: PinAnswer,
    ) -> bool {
        let pinned = self.pinned(model);
        let Some(ask) = self.asks.get_mut(model) else { return false };
        if ask.number != number || answer != PinAnswer::Held {
            return false;
        }
        ask.held_by = Some(giver.clone());
        !pinned
    }

    /// Whether a pin is held for this model and the copy is not pinned itself, so that an unload may
    /// begin now.
    pub fn may_unload(&self, model: &str) -> bool {
        self.asks.get(model).is_some_and(|ask| ask.held_by.is_some()) && !self.pinned(model)
    }

    /// Ends an ask: the copy is proven unloaded, or the unload was given up.
    pub fn finish(&mut self, model: &str) {
        let Some(ask) = self.asks.remove(model) else { return };
        let model = CompactString::from(model);
        self.unpins.extend(ask.asked.into_iter().map(|giver| OpenUnpin {
            model: model.clone(),
            giver,
            number: ask.number,
        }));
    }

    /// `Unpin`s to send, again until they are answered: model, giver, number.
    pub fn open_unpins(&self) -> impl Iterator<Item = (&CompactString, &ProcessName, u64)> {
        self.unpins.iter().map(|unpin| (&unpin.model, &unpin.giver, unpin.number))
    }

    /// Notes that a giver answered an `Unpin`, or that its VM is gone.
    pub fn unpin_answered(&mut self, model: &str, giver: &ProcessName, number: u64) {
        self.unpins.retain(|unpin| {
            unpin.model != model || unpin.giver != *giver || unpin.number != number
        });
    }
}
