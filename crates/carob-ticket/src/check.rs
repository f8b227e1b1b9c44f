//! Checks references and constraints between a configuration's objects.

use std::collections::BTreeMap;

use carob_base::Name;
use carob_config::{Config, ServiceKind, short_id};

use crate::ledger::Refusal;

/// Returns the first violation in the configuration.
pub(crate) fn config(config: &Config) -> Result<(), Refusal> {
    for account in config.accounts.values() {
        for service in &account.services {
            require_service(config, service, || format!("account {}", account.name))?;
        }
    }
    for route in config.routes.values() {
        require_service(config, &route.service, || format!("route {}", route.name))?;
    }
    check_keys(config)?;
    check_upstreams(config)
}

fn require_service(config: &Config, service: &Name, owner: impl Fn() -> String) -> Result<(), Refusal> {
    if config.services.contains_key(service) {
        return Ok(());
    }
    Err(unfit(owner(), format!("service {service} does not exist")))
}

/// Checks that no two accounts share a key: a caller is recognized by its key alone.
fn check_keys(config: &Config) -> Result<(), Refusal> {
    let mut owners = BTreeMap::new();
    for account in config.accounts.values() {
        if let Some(other) = owners.insert(account.key_hash, &account.name) {
            let reason = format!("has the same key as account {other}");
            return Err(unfit(format!("account {}", account.name), reason));
        }
    }
    Ok(())
}

fn check_upstreams(config: &Config) -> Result<(), Refusal> {
    let mut ids = BTreeMap::new();
    for upstream in config.upstreams.values() {
        let object = || format!("upstream {}", upstream.name);
        require_service(config, &upstream.service, object)?;
        let generates = config.services[&upstream.service].kind == ServiceKind::Generation;
        if generates && (upstream.memory == 0 || upstream.slots == 0) {
            let reason = "memory and slots must be above 0 for a generation service";
            return Err(unfit(object(), reason.to_owned()));
        }
        if let Some(other) = ids.insert(short_id(&upstream.name), &upstream.name) {
            return Err(unfit(
                object(),
                format!("its short id is that of upstream {other}; rename one"),
            ));
        }
    }
    Ok(())
}

fn unfit(object: String, reason: String) -> Refusal {
    Refusal::Unfit { object, reason }
}
