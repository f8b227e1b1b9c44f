//! The example tickets are valid and have the number of upstreams and accounts of their deployments.

use std::{fs, path::Path};

use carob_config::{Config, ServiceKind};
use carob_ticket::{Ledger, parse};

fn config(deployment: &str) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(deployment).join("initial.ini");
    let text = fs::read_to_string(path).expect("the example exists");
    let ticket = parse::ticket(&text, "initial.ini").unwrap_or_else(|error| panic!("{error}"));
    let mut ledger = Ledger::new();
    ledger
        .apply(&ticket)
        .unwrap_or_else(|refusal| panic!("{refusal}"));
    Config::clone(ledger.config())
}

fn upstreams(config: &Config, kind: ServiceKind) -> usize {
    let of_kind = |service: &carob_base::Name| config.services[service].kind == kind;
    config
        .upstreams
        .values()
        .filter(|upstream| of_kind(&upstream.service))
        .count()
}

#[test]
fn saarela_weighs_stalls_most() {
    let config = config("saarela");
    assert_eq!(
        (
            upstreams(&config, ServiceKind::Generation),
            upstreams(&config, ServiceKind::Plain)
        ),
        (9, 3)
    );
    assert_eq!(config.accounts.len(), 10);
    let weights = config.services["assistant"].weights;
    assert!(weights.stall > weights.preempt);
    assert!(!config.route_for("POST", "/orders/7").expect("routed").idempotent);
    assert!(
        config
            .route_for("GET", "/catalogue/tapers")
            .expect("routed")
            .idempotent
    );
}

#[test]
fn tandyr_weighs_preemptions_most() {
    let config = config("tandyr");
    assert_eq!(
        (
            upstreams(&config, ServiceKind::Generation),
            upstreams(&config, ServiceKind::Plain)
        ),
        (14, 3)
    );
    assert_eq!(config.accounts.len(), 10);
    let weights = config.services["course-assistant"].weights;
    assert!(weights.preempt > weights.stall);
    assert!(!config.route_for("POST", "/fees").expect("routed").idempotent);
    assert!(config.route_for("GET", "/schedules").expect("routed").idempotent);
}
