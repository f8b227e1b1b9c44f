//! Engines of unequal speed: what one instance learns of them decides at another.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, generation_request, wait_until};

const EVENTS: u64 = 30;

/// Guards against paces that are observed but not told, or told but not used.
#[test]
fn an_instance_sends_requests_to_the_engine_that_was_fast_for_another() {
    let fleet = Fleet::start(2);
    let _slow = fleet.start_engine("slow", EVENTS, Duration::from_millis(60));
    let _fast = fleet.start_engine("fast", EVENTS, Duration::from_millis(10));
    fleet.configure();
    // Each engine gets one of two generations that run at the same time.
    let first = [fleet.start_generation(0, "p1"), fleet.start_generation(0, "p2")];
    for client in first {
        assert!(client.join().expect("the client ends").complete);
    }
    let learned = |gateway: usize, upstream: &str| {
        let lines = fleet.gateways[gateway].log_lines();
        let text = format!("\"upstream\":\"{upstream}\"");
        lines
            .iter()
            .any(|line| line.contains("pace of an upstream learned") && line.contains(&text))
    };
    wait_until("both paces are learned", || {
        learned(0, "slow") && learned(0, "fast")
    });
    assert!(!learned(1, "slow") && !learned(1, "fast"));
    // The regular message comes once a second at the latest.
    std::thread::sleep(Duration::from_millis(1_500));
    for number in 0..4 {
        let outcome = fleet.send(1, &generation_request(&format!("q{number}")).with_events(EVENTS));
        assert!(outcome.complete);
    }
    let lines = fleet.gateways[1].log_lines();
    let sent: Vec<&String> = lines
        .iter()
        .filter(|line| line.contains("sent to an upstream"))
        .collect();
    assert_eq!(sent.len(), 4);
    assert!(
        sent.iter().all(|line| line.contains("\"upstream\":\"fast\"")),
        "{sent:#?}"
    );
}
