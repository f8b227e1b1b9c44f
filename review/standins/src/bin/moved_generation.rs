//! TWICE: a generation that is moved goes on at another runner while the runner before still works on it.

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{Link, Upstream, Workload, client};
use carob_review::{Deployment, Record, finish, has_trouble, request, wait_until};

/// Deadline of the clients of `quote-draft`.
const DEADLINE: Duration = Duration::from_millis(39_000);

/// Events of the generation, and the time between two of them.
const EVENTS: u64 = 233;
const INTERVAL: Duration = Duration::from_millis(28);

/// How long the sound runner that the generation moves to falls silent: "for a second or so".
const SILENCE: Duration = Duration::from_secs(1);

/// `DrainMs`, for which a runner that leaves continues to serve.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time for which both may work on the generation by the rule.
const OVERLAP: Duration = Duration::from_millis(400);

fn main() {
    let mut record = Record::create();
    let deployment = Deployment::start(3);
    let start = |id: &str| {
        let workload = Workload::Stream(EVENTS, INTERVAL);
        Upstream::start(&deployment.store, &deployment.ledger, id, "engines", workload)
    };
    let source = start("i-source");
    deployment.configure(1);
    deployment.wait_ready();
    let gateway = &deployment.gateways[0];
    wait_until("the first runner is known", || gateway.logged("i-source"));
    let callers = gateway.callers;
    let draft = request("draft-1", "POST", "/quote/1", DEADLINE).with_usage(3_000, 2_204).with_length_hint(932);
    let client = thread::spawn(move || client::send(callers, &draft));
    wait_until("the generation runs", || deployment.ledger.running_engines("draft-1") == 1);
    record.line("draft-1 runs at i-source");
    let target = start("i-target");
    // "Most runners drop a request when its connection closes." This one does not.
    target.set_ignores_close(true);
    wait_until("the second runner is known", || gateway.logged("\"i-target\""));
    thread::sleep(Duration::from_secs(1));
    let silenced = Instant::now();
    if has_trouble() {
        target.set_link(Link::Silent);
        record.line("i-target falls silent for a second");
    }
    source.announce_leaving();
    record.line("i-source reports draining (DrainMs 2500)");
    let mut both_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    let mut is_silent = true;
    let mut was_running = 1;
    let mut left = false;
    // A little longer than DrainMs, "at times many seconds".
    while silenced.elapsed() < DRAIN + Duration::from_secs(2) {
        if is_silent && silenced.elapsed() >= SILENCE {
            target.set_link(Link::Open);
            is_silent = false;
            if has_trouble() {
                record.line("i-target goes on");
            }
        }
        if !left && silenced.elapsed() >= DRAIN {
            left = true;
            record.line("DrainMs is over; i-source continues to serve what it runs");
        }
        let running = deployment.ledger.running_engines("draft-1");
        if running != was_running {
            record.line(&format!("draft-1 runs at {running} runners"));
            was_running = running;
        }
        if running > 1 {
            longest = longest.max(both_since.get_or_insert_with(Instant::now).elapsed());
        } else {
            both_since = None;
        }
        thread::sleep(Duration::from_millis(2));
    }
    record.line(&format!("both runners worked on draft-1 for {} ms at a time", longest.as_millis()));
    record.line(&format!("continued from a copy {} times", deployment.ledger.migrations()));
    if let Ok(outcome) = client.join() {
        record.line(&format!(
            "draft-1: status {}, complete {}, {} events",
            outcome.status,
            outcome.complete,
            outcome.events().len()
        ));
    }
    for line in gateway.log().lines().filter(|line| line.contains("draft-1")) {
        println!("gateway: {line}");
    }
    finish(record, deployment, longest > OVERLAP);
}
