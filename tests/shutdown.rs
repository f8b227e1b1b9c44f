//! Gateways that shut down, and clients that go on using their open connections.

mod fleet;

use std::{thread, time::Duration};

use carob_platform_standin::client;
use fleet::{Fleet, generation_request, request};

/// Interval between two events of a generation.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time after SIGTERM from which a request that is passed on has to be answered before the process ends.
const LATE: Duration = Duration::from_millis(3_300);

/// A gateway's estimate from `Length-Hint` fits into the grace, and the answer does not.
#[test]
fn a_stream_on_a_kept_connection_is_taken_long_after_sigterm_and_cut_off() {
    let mut fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", 1_000, EVENT_INTERVAL);
    let _plain = fleet.start_plain("p1", Duration::from_millis(5));
    fleet.configure();
    fleet.gateways[0].write_settings(&[], "5s");
    fleet.gateways[0].signal("HUP");
    fleet::wait_until("the grace is in force", || {
        fleet.gateways[0].logged("settings reloaded")
    });
    let first = request("r1", "GET", "/read/1");
    let mut kept = client::open(fleet.gateways[0].caller_address, &first).expect("the gateway listens");
    let answer = client::read(&mut kept, std::time::Instant::now() + first.timeout);
    assert_eq!((answer.status, answer.complete), (200, true));
    let _keeps_running = fleet.start_generation(0, "d0");
    fleet.gateways[0].signal("TERM");
    thread::sleep(LATE);
    let late = generation_request("d1").with_header("Length-Hint", "100");
    let outcome = client::send_on(&mut kept, &late);
    let runs = fleet.ledger.run_count("d1");
    assert!(
        outcome.complete || runs == 0,
        "status {}, {} events, then cut off; {runs} runs",
        outcome.status,
        outcome.events().len()
    );
    let status = fleet.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}");
}
