//! The oracle: the events that a caller received are a prefix of one generation, without gaps or repeats.

use carob_stream::End;
use serde_json::Value;

use crate::world::{Caller, State};

/// Checks what every caller has received so far.
pub fn check_all(callers: &[Caller]) {
    for caller in callers {
        check(caller);
    }
}

fn check(caller: &Caller) {
    let mut generation = None;
    for (index, event) in caller.received.iter().enumerate() {
        assert_eq!(
            event.head.sequence, index as u64,
            "events are missing, repeated or out of order: {caller:#?}"
        );
        let value: Value = serde_json::from_slice(&event.data).expect("fake engines send JSON");
        let number = value["generation"]
            .as_u64()
            .expect("fake engines number the generation in every event");
        let first = *generation.get_or_insert(number);
        assert_eq!(number, first, "events of two generations: {caller:#?}");
    }
    let last = caller.received.last().map(carob_wire::event::Event::kind);
    match caller.state {
        State::Ended(End::Completed) => assert_eq!(last, Some(carob_wire::event::Kind::Completed)),
        State::Ended(End::Failed) => assert_eq!(last, Some(carob_wire::event::Kind::Failed)),
        _ => assert!(
            last.is_none_or(|kind| !kind.is_last()),
            "the last event arrived, but the caller was not told that the answer ended"
        ),
    }
}

/// Checks that no caller is left waiting.
pub fn check_ended(callers: &[Caller]) {
    for caller in callers {
        assert_ne!(
            caller.state,
            State::Reading,
            "neither finished nor failed: {caller:#?}"
        );
    }
}
