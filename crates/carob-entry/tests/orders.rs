//! Orders to engines: sent once by one of several instances, and not at all without the store.

mod fleet;

use fleet::{Fleet, wait_until};

#[test]
fn engine_is_told_once_to_load_its_services_model() {
    let mut fleet = Fleet::new(1);
    for number in 1..=3 {
        fleet.add(number);
    }
    fleet.configure();
    let text = fleet.ticket(2).replace("model = default", "model = advent-2");
    assert_eq!(fleet.submit(0, &text).0, 200);
    let loaded = |fleet: &Fleet| fleet.engines.iter().all(|engine| !engine.orders().is_empty());
    wait_until("every engine has its order", || loaded(&fleet));
    // A second order would follow the next observation of the engines; five more calls to the store give it
    // time.
    let calls = fleet.store.call_counts().values().sum::<u64>() + 5;
    wait_until("the store has been called five times more", || {
        fleet.store.call_counts().values().sum::<u64>() > calls
    });
    for engine in &fleet.engines {
        let orders = engine.orders();
        assert_eq!(orders.len(), 1, "{orders:?}");
        assert!(orders[0].body.contains("advent-2"), "{orders:?}");
        assert!(
            orders[0].fencing_number.is_some_and(|number| number > 0),
            "{orders:?}"
        );
    }
    fleet.close();
}

#[test]
fn without_the_store_no_order_is_given_and_calls_are_served() {
    let mut fleet = Fleet::new(1);
    fleet.add(1);
    fleet.configure();
    let text = fleet.ticket(2).replace("model = default", "model = advent-2");
    fleet.store.set_outage(true);
    let (status, body) = fleet.submit(0, &text);
    assert_eq!((status, body["outcome"].as_str()), (503, Some("not-recorded")));
    assert!(fleet.engines[0].orders().is_empty());
    let call = fleet::request(
        "GET",
        fleet.instances[0].caller_address(),
        "/stock",
        fleet::KEY_ONE,
    );
    assert_eq!(carob_http::client::call(&call).expect("an answer").status, 200);
    fleet.close();
}
