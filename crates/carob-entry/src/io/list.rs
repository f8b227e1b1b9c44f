//! Periodic polls of the platform's instance list.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use carob_base::Name;
use carob_http::client;
use carob_member::ListEntry;
use serde_json::Value;

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

/// Interval of the polls, and time limit of each.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Polls the list until the instance is closed.
pub fn run(shared: &Arc<Shared>, address: SocketAddr) {
    let request = client::Request::get(address, "/instances")
        .with_deadline(POLL_INTERVAL)
        .with_body_limit(MAX_LIST_BYTES);
    while shared.phase() != Phase::Closed {
        match client::call(&request) {
            Ok(response) if response.status == 200 => match parse(&response.body) {
                Some(list) => shared.send_event(Event::InstanceList(list)),
                None => log::warn!("member: the instance list cannot be parsed"),
            },
            Ok(response) => log::debug!(
                "member: the instance list answers with status {}",
                response.status
            ),
            Err(error) => log::debug!("member: the instance list cannot be read: {error}"),
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Parses the list; entries that cannot be parsed are left out.
fn parse(body: &[u8]) -> Option<Vec<ListEntry>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let entries = value["instances"].as_array()?;
    Some(entries.iter().filter_map(entry).collect())
}

fn entry(value: &Value) -> Option<ListEntry> {
    let name = |key: &str| Name::new(value[key].as_str()?).ok();
    Some(ListEntry {
        name: name("name")?,
        domain: name("domain")?,
        region: name("region")?,
        address: value["address"].as_str()?.parse().ok()?,
        leaving: value["state"] == "leaving",
    })
}
