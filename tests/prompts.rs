//! Requests whose prompts begin alike go to an upstream that has had the beginning, at whichever instance they arrive.

mod fleet;

use std::{cell::Cell, thread, time::Duration};

use fleet::{Fleet, generation_request, wait_until};

const ENGINES: usize = 8;
const PAIRS: usize = 8;

/// Instances must read the parts, tell each other of them and use what they are told: without that, each second request of
/// a pair has one chance in eight to meet the first one's engine.
#[test]
fn an_instance_finds_the_engine_that_another_has_sent_the_beginning_of_a_prompt() {
    let fleet = Fleet::start(2);
    let _engines: Vec<_> = (0..ENGINES)
        .map(|number| fleet.start_engine(&format!("e{number}"), 2, Duration::from_millis(10)))
        .collect();
    fleet.configure();
    let engine_of = |id: &str| {
        let arrivals = fleet.ledger.arrivals();
        let arrival = arrivals.into_iter().find(|arrival| arrival.id == id);
        arrival.expect("it was sent").upstream
    };
    let count = Cell::new(0);
    let meet = || {
        count.set(count.get() + 1);
        let ids = ["first", "second"].map(|name| format!("{name}-{}", count.get()));
        for (gateway, id) in ids.iter().enumerate() {
            let request = generation_request(id).with_prompt(&format!("f{}:250,{id}:750", count.get()));
            assert_eq!(fleet.send(gateway, &request).status, 200, "{id}");
            thread::sleep(Duration::from_millis(200));
        }
        engine_of(&ids[0]) == engine_of(&ids[1])
    };
    wait_until("the instances know each other", || {
        meet() && fleet.gateways[1].logged("\"saved_tokens\":250")
    });
    let met = (0..PAIRS).filter(|_| meet()).count();
    assert!(met + 1 >= PAIRS, "{met} of {PAIRS} pairs met");
}
