//! Single steps of a delivery that the traces do not show.

use bytes::Bytes;
use carob_base::Time;
use carob_stream::{Action, Cause, ConnId, Delivery, EventIntervals, Options, Source};
use carob_wire::event::Event;

fn event(json: &str) -> Event {
    Event::parse(Bytes::copy_from_slice(json.as_bytes())).expect("the event is valid")
}

fn created() -> Event {
    event(r#"{"type":"response.created","sequence_number":0,"response":{"id":"e1"}}"#)
}

fn delta(sequence: u64) -> Event {
    event(&format!(
        r#"{{"type":"response.output_text.delta","sequence_number":{sequence},"item_id":"m1","delta":"x"}}"#
    ))
}

#[test]
fn events_before_the_first_text_are_held_and_then_delivered_in_order() {
    let mut delivery = Delivery::new(Options::new());
    let opened = delivery.start(EventIntervals::new(), Time::ZERO);
    assert_eq!(
        opened.as_slice(),
        [Action::Open {
            conn: ConnId(0),
            source: Source::Create
        }]
    );
    assert!(delivery.on_head(ConnId(0), 7, Time::ZERO).is_empty());
    assert!(delivery.on_event(ConnId(0), created(), Time::ZERO).is_empty());
    let actions = delivery.on_event(ConnId(0), delta(1), Time::from_millis(5));
    assert_eq!(
        actions.as_slice(),
        [Action::Deliver(created()), Action::Deliver(delta(1))]
    );
}

#[test]
fn a_connection_that_breaks_is_resumed_at_once_after_the_last_event() {
    let mut delivery = Delivery::new(Options::new());
    delivery.start(EventIntervals::new(), Time::ZERO);
    delivery.on_head(ConnId(0), 7, Time::ZERO);
    delivery.on_event(ConnId(0), created(), Time::ZERO);
    delivery.on_event(ConnId(0), delta(1), Time::ZERO);
    let actions = delivery.on_connection_failed(ConnId(0), Cause::Ended, Time::from_millis(9));
    let source = Source::Resume { after: Some(1) };
    assert_eq!(
        actions.as_slice(),
        [Action::Open {
            conn: ConnId(1),
            source
        }]
    );
}
