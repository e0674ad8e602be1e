//! Splitting the body of a stream that arrives in arbitrary pieces.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use gateway::{EventSplitter, EventTooLong};
use proptest::prelude::*;

proptest! {
    /// Guards against events that are passed on partially, twice or not at all, depending on where
    /// the body is split.
    #[test]
    fn events_are_whole_wherever_the_body_is_cut(
        events in prop::collection::vec(("[a-z ]{0,20}", any::<u32>(), any::<bool>()), 0..20),
        rest in "[a-z]{0,10}",
        cuts in prop::collection::vec(1..9usize, 1..200),
    ) {
        let whole: Vec<String> = events
            .iter()
            .map(|(data, id, returns)| {
                let end = if *returns { "\r\n" } else { "\n" };
                format!("id: {id}{end}data: {data}{end}{end}")
            })
            .collect();
        let body = whole.concat() + &rest;
        let mut bytes = body.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        for cut in cuts.iter().cycle() {
            if bytes.is_empty() {
                break;
            }
            let (part, left) = bytes.split_at((*cut).min(bytes.len()));
            bytes = left;
            splitter.push(part).unwrap();
            while let Some(event) = splitter.next_event() {
                found.push(event);
            }
        }
        let texts: Vec<&str> =
            found.iter().map(|event| std::str::from_utf8(&event.bytes).unwrap()).collect();
        prop_assert_eq!(texts, whole.iter().map(String::as_str).collect::<Vec<_>>());
        let ids: Vec<Option<u64>> = found.iter().map(|event| event.id).collect();
        let sent: Vec<Option<u64>> = events.iter().map(|(_, id, _)| Some(u64::from(*id))).collect();
        prop_assert_eq!(ids, sent);
        let left = splitter.rest();
        prop_assert_eq!(left.as_ref(), rest.as_bytes());
    }
}

/// Guards against a target that exhausts the memory with an event that never ends.
#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let part = vec![b'x'; 1 << 18];
    let refused = (0..8).map(|_| splitter.push(&part)).find(Result::is_err);
    assert_eq!(refused, Some(Err(EventTooLong)));
}
