//! An upstream closes its connection in the middle of its answer's head.

mod fleet;

use std::time::Duration;

use carob_platform_standin::{AnswerMode, Link, Upstream, client};
use fleet::{Fleet, generation_request, request, wait_until};

const GATEWAYS: usize = 2;
const WORK_TIME: Duration = Duration::from_millis(4);

/// More bytes than the longest head has.
const MAX_HEAD: usize = 130;

struct Rig {
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    engines: Vec<Upstream>,
}

impl Rig {
    fn start() -> Self {
        let fleet = Fleet::start(GATEWAYS);
        let plain = ["p0", "p1"].map(|id| fleet.start_plain(id, WORK_TIME));
        let engines = ["e0", "e1"].map(|id| fleet.start_engine(id, 4, Duration::from_millis(10)));
        fleet.configure();
        Self {
            fleet,
            upstreams: plain.into_iter().chain(engines.clone()).collect(),
            engines: engines.into(),
        }
    }

    fn set_mode(&self, mode: AnswerMode) {
        for upstream in &self.upstreams {
            upstream.set_answer_mode(mode);
        }
    }
}

/// Cuts the head of each answer after each of its bytes; `relayed` requests go through the other gateway.
fn cut_heads(relayed: bool, framings: &[bool]) {
    let rig = Rig::start();
    if relayed {
        let source = rig.fleet.gateways[0].peer_address.ip();
        for upstream in &rig.upstreams {
            upstream.set_source_links(&[(source, Link::Reset)]);
        }
        wait_until("the other gateway relays", || {
            let id = format!("y{}", rig.fleet.ledger.arrivals().len());
            let order = rig.fleet.send(0, &request(&id, "POST", "/order/1"));
            let draft = rig.fleet.send(0, &generation_request(&format!("{id}-s")));
            order.status == 200 && draft.complete
        });
    }
    for chunked in framings {
        for engine in &rig.engines {
            engine.set_chunked(*chunked);
        }
        for length in 0..MAX_HEAD {
            rig.set_mode(AnswerMode::CutHead(length));
            for (kind, path) in [("order", "/order/1"), ("draft", "/draft/x")] {
                let id = format!("{kind}-{chunked}-{length}");
                let mut sent = request(&id, "POST", path).with_timeout(Duration::from_secs(1));
                if kind == "draft" {
                    sent = sent.with_usage(100, 50);
                }
                let outcome = client::send(rig.fleet.gateways[0].caller_address, &sent);
                let runs = rig.fleet.ledger.run_count(&id);
                assert!(runs < 2, "{id} ran {runs} times");
                assert_ne!(outcome.status, 200, "{id} looks served");
                let is_refused = matches!(outcome.status, 408 | 421 | 429 | 503);
                assert!(
                    !is_refused || runs == 0,
                    "{id} ran and was answered {}",
                    outcome.status
                );
            }
        }
    }
}

#[test]
fn an_answer_whose_head_is_cut_off_looks_whole() {
    cut_heads(false, &[true, false]);
}

#[test]
fn a_relayed_answer_whose_head_is_cut_off_looks_whole() {
    cut_heads(true, &[true, false]);
}
