//! Orders to engines, given by one of several instances.

mod fleet;

use fleet::{World, wait};

#[test]
fn engine_is_told_once_to_load_its_services_model() {
    let mut world = World::new(1);
    for at in 1..=3 {
        world.add(at);
    }
    world.configure();
    let text = world.ticket(2).replace("model = default", "model = advent-2");
    assert_eq!(world.submit(0, &text).0, 200);
    let loaded = |world: &World| world.engines.iter().all(|engine| !engine.orders().is_empty());
    wait("every engine has its order", || loaded(&world));
    // A second order would come with the next look at what the engines have loaded.
    let looks = world.store.counts().values().sum::<u64>() + 5;
    wait("the store is asked for a while", || {
        world.store.counts().values().sum::<u64>() > looks
    });
    for engine in &world.engines {
        let orders = engine.orders();
        assert_eq!(orders.len(), 1, "{orders:?}");
        assert!(orders[0].body.contains("advent-2"), "{orders:?}");
        assert!(orders[0].fencing.is_some_and(|number| number > 0), "{orders:?}");
    }
    world.close();
}

#[test]
fn without_the_store_no_order_is_given_and_calls_are_served() {
    let mut world = World::new(1);
    world.add(1);
    world.configure();
    let text = world.ticket(2).replace("model = default", "model = advent-2");
    world.store.set_outage(true);
    let (status, body) = world.submit(0, &text);
    assert_eq!((status, body["outcome"].as_str()), (503, Some("not-recorded")));
    assert!(world.engines[0].orders().is_empty());
    let call = fleet::request(
        "GET",
        world.instances[0].caller_address(),
        "/stock",
        fleet::KEY_ONE,
    );
    assert_eq!(carob_http::client::call(&call).expect("an answer").status, 200);
    world.close();
}
