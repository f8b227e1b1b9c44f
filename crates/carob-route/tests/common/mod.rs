//! Test configuration and helpers.
#![allow(dead_code, reason = "no test file uses all of the helpers")]

use std::time::Duration;

use carob_base::Name;
use carob_config::{Account, Config, Fencing, Revision, Service, ServiceKind, Upstream, Weights};
use carob_route::{Options, Outcome, Placement, Request};
use smallvec::SmallVec;

/// Queue timeout of the service, in milliseconds.
pub const QUEUE_TIMEOUT_MS: u64 = 10_000;

pub fn name(text: &str) -> Name {
    Name::new(text).expect("test names are valid")
}

pub fn options() -> Options {
    Options::new(name("d0"), name("r0"))
}

pub fn request(id: u64) -> Request {
    Request::new(id, name("draft"), name("a0")).with_tokens(50, None)
}

/// Returns the placement; panics with the outcome if the request was not placed.
pub fn expect_placement(outcome: Outcome) -> Placement {
    match outcome {
        Outcome::Placed(placement) => placement,
        other => panic!("expected a placement, got {other:?}"),
    }
}

/// One service with `count` upstreams, each in a failure domain and region of its own, and three accounts.
pub fn config(count: usize, memory: u32, slots: u32) -> Config {
    let mut config = Config {
        revision: Revision(1),
        ..Config::default()
    };
    let service = service();
    for index in 0..count {
        let upstream = Upstream {
            name: name(&format!("u{index}")),
            service: service.name.clone(),
            address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            domain: name(&format!("d{index}")),
            region: name(&format!("r{index}")),
            fencing: Fencing::Checks,
            memory,
            slots,
        };
        config.upstreams.insert(upstream.name.clone(), upstream);
    }
    config.services.insert(service.name.clone(), service);
    for index in 0..3 {
        let account = account(&format!("a{index}"));
        config.accounts.insert(account.name.clone(), account);
    }
    config
}

pub fn service() -> Service {
    Service {
        name: name("draft"),
        kind: ServiceKind::Generation,
        model: Some(name("model")),
        weights: Weights::default(),
        response_timeout: Duration::from_millis(QUEUE_TIMEOUT_MS),
        max_tokens: 32_000,
        retry_percent: 10,
    }
}

pub fn account(text: &str) -> Account {
    Account {
        name: name(text),
        key_hash: [0; 32],
        weight: 1,
        max_requests: 1_000,
        services: SmallVec::new(),
    }
}
