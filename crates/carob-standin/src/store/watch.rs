//! Watches, streamed as one line of JSON for each batch of events.

use std::{io, time::Duration};

use serde_json::{Value, json};
use tiny_http::Request;

use super::{Shared, data::KeyRange, gateway};
use crate::{
    host::{self, Chunked},
    lock,
};

/// Interval at which a waiting watch expires due leases, since no call may do it meanwhile.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Serves a watch until the client disconnects, the store is closed or an outage begins.
pub(super) fn serve(shared: &Shared, request: Request, body: &Value) {
    let create = &body["create_request"];
    let range = match gateway::parse_range(create) {
        Ok(range) => range,
        Err(error) => return host::respond_json(request, error.status, &error.to_json()),
    };
    let start = match gateway::parse_int(&create["start_revision"]) {
        0 => lock(&shared.state).data.revision() + 1,
        start => start as u64,
    };
    if let Err(error) = stream(shared, request, &range, start) {
        log::debug!("standin: failed to write to a watch: {error}");
    }
}

fn stream(shared: &Shared, request: Request, range: &KeyRange, start: u64) -> io::Result<()> {
    let mut out = Chunked::start(request, "content-type: application/json\r\n")?;
    let created = gateway::with_header(&lock(&shared.state).data, json!({ "created": true }));
    out.send(&encode_line(&created))?;
    let mut next = start;
    let stall_count = lock(&shared.state).stall_count;
    loop {
        let Some((changes, revision)) = wait_for_changes(shared, range, next, stall_count) else {
            return out.close();
        };
        let events: Vec<Value> = changes.iter().map(gateway::change_to_json).collect();
        let reply = gateway::with_header(&lock(&shared.state).data, json!({ "events": events }));
        out.send(&encode_line(&reply))?;
        next = revision + 1;
    }
}

/// Changes with the revision up to which they are complete.
type Changes = (Vec<super::data::Change>, u64);

/// Waits for changes since revision `next`, and returns them with the current revision; `None` at the watch's
/// end.
///
/// A watch that was opened before the last stall, when the count was still at `stall_count`, gets no more
/// changes.
fn wait_for_changes(shared: &Shared, range: &KeyRange, next: u64, stall_count: u64) -> Option<Changes> {
    let mut state = lock(&shared.state);
    loop {
        if state.closed || state.outage {
            return None;
        }
        let before = state.data.revision();
        state.data.expire_due();
        if state.data.revision() > before {
            shared.changed.notify_all();
        }
        let changes = state.data.changes(range, next);
        if !changes.is_empty() && state.stall_count == stall_count {
            return Some((changes, state.data.revision()));
        }
        state = match shared.changed.wait_timeout(state, EXPIRY_INTERVAL) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
}

fn encode_line(result: &Value) -> Vec<u8> {
    let mut line = json!({ "result": result }).to_string().into_bytes();
    line.push(b'\n');
    line
}
