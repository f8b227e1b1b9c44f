//! The platform's instance list, asked for at regular times.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use carob_base::Name;
use carob_http::client;
use carob_member::ListEntry;
use serde_json::Value;

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

/// Time between two looks at the list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Asks for the list until the instance is closed.
pub fn run(shared: &Arc<Shared>, address: SocketAddr) {
    let request = client::Request::get(address, "/instances")
        .with_deadline(POLL_INTERVAL)
        .with_body_limit(MAX_LIST_BYTES);
    while shared.phase() != Phase::Closed {
        match client::call(&request) {
            Ok(response) if response.status == 200 => match parse(&response.body) {
                Some(list) => shared.send_event(Event::InstanceList(list)),
                None => log::warn!("member: the instance list is not understood"),
            },
            Ok(response) => log::debug!(
                "member: the instance list answers with status {}",
                response.status
            ),
            Err(error) => log::debug!("member: no instance list: {error}"),
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Entries that are not understood are left out.
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
