//! Splitting the body of a stream that arrives in arbitrary pieces.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use gateway::{EventSplitter, EventTooLong};
use proptest::prelude::*;

proptest! {
    /// Guards against events that are passed on partially, twice or not at all, depending on where
    /// the body is split.
    #[test]
    fn events_are_complete_wherever_the_body_is_split(
        events in prop::collection::vec(("[a-z ]{0,20}", any::<u32>(), any::<bool>()), 0..20),
        rest in "[a-z]{0,10}",
        chunk_lengths in prop::collection::vec(1..9usize, 1..200),
    ) {
        let expected: Vec<String> = events
            .iter()
            .map(|(data, id, crlf)| {
                let line_end = if *crlf { "\r\n" } else { "\n" };
                format!("id: {id}{line_end}data: {data}{line_end}{line_end}")
            })
            .collect();
        let body = expected.concat() + &rest;
        let mut bytes = body.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        for chunk_length in chunk_lengths.iter().cycle() {
            if bytes.is_empty() {
                break;
            }
            let (chunk, left) = bytes.split_at((*chunk_length).min(bytes.len()));
            bytes = left;
            splitter.push(chunk).unwrap();
            while let Some(event) = splitter.next_event() {
                found.push(event);
            }
        }
        let texts: Vec<&str> =
            found.iter().map(|event| std::str::from_utf8(&event.bytes).unwrap()).collect();
        prop_assert_eq!(texts, expected.iter().map(String::as_str).collect::<Vec<_>>());
        let ids: Vec<Option<u64>> = found.iter().map(|event| event.id).collect();
        let sent: Vec<Option<u64>> = events.iter().map(|(_, id, _)| Some(u64::from(*id))).collect();
        prop_assert_eq!(ids, sent);
        prop_assert_eq!(splitter.is_inside_event(), !rest.is_empty());
        let left = splitter.rest();
        prop_assert_eq!(left.as_ref(), rest.as_bytes());
    }
}

/// Guards against a target that exhausts the memory with an event that never ends.
#[test]
fn an_endless_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 1 << 18];
    let rejected = (0..8).map(|_| splitter.push(&chunk)).find(Result::is_err);
    assert_eq!(rejected, Some(Err(EventTooLong)));
}
