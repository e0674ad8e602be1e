//! Conclusions from the end of a target's body.

use api::RunEnd;
use gateway::RunState;
use platform::ResponseFraming;

const FRAMINGS: [ResponseFraming; 3] =
    [ResponseFraming::Chunked, ResponseFraming::ConnectionEnd, ResponseFraming::Length];

/// Guards against a stream that stops inside an event and counts as complete.
#[test]
fn an_end_inside_an_event_is_never_complete() {
    for framing in FRAMINGS {
        let state =
            RunState { framing, inside_event: true, has_events: true, ..Default::default() };
        assert_eq!(state.end(), RunEnd::Truncated, "{framing:?}");
    }
}

/// Guards against complete streams that count as broken.
#[test]
fn a_framed_end_between_events_is_complete() {
    for framing in [ResponseFraming::Chunked, ResponseFraming::Length] {
        for (has_events, next_event_begun) in [(false, true), (false, false), (true, false)] {
            let state = RunState { framing, has_events, next_event_begun, ..RunState::default() };
            assert_eq!(state.end(), RunEnd::Complete, "{state:?}");
        }
    }
}

/// Guards against the end of a connection that is trusted although the stream can't be complete, and
/// against a stream whose caller has all events and that is never complete.
#[test]
fn the_end_of_the_connection_alone_proves_nothing() {
    let complete = RunEnd::CompleteIfAlive;
    for (has_events, caller_has_events, next_event_begun, end) in [
        (false, false, false, RunEnd::Truncated),
        (false, true, true, RunEnd::Truncated),
        (false, true, false, complete),
        (true, true, false, complete),
        (true, true, true, complete),
    ] {
        let framing = ResponseFraming::ConnectionEnd;
        let state = RunState {
            framing,
            has_events,
            caller_has_events,
            next_event_begun,
            ..RunState::default()
        };
        assert_eq!(state.end(), end, "{state:?}");
    }
}
