//! Watches: one line of JSON for each change.

use std::{io, time::Duration};

use serde_json::{Value, json};
use tiny_http::Request;

use super::{Shared, data::Span, gateway};
use crate::{
    host::{self, Chunked},
    lock,
};

/// How often leases are swept while a watch waits.
const SWEEP: Duration = Duration::from_millis(20);

/// Serves a watch until the caller goes, the store stops or an outage begins.
pub(super) fn serve(shared: &Shared, request: Request, body: &Value) {
    let create = &body["create_request"];
    let span = match gateway::span(create) {
        Ok(span) => span,
        Err(refusal) => return host::respond_json(request, refusal.status, &refusal.to_json()),
    };
    let start = match gateway::number(&create["start_revision"]) {
        0 => lock(&shared.state).data.revision() + 1,
        start => start as u64,
    };
    if let Err(error) = stream(shared, request, &span, start) {
        log::debug!("standin: a watch ended: {error}");
    }
}

fn stream(shared: &Shared, request: Request, span: &Span, start: u64) -> io::Result<()> {
    let mut out = Chunked::start(request, "content-type: application/json\r\n")?;
    let created = gateway::with_header(&lock(&shared.state).data, json!({ "created": true }));
    out.send(&line(&created))?;
    let mut next = start;
    let silenced = lock(&shared.state).silenced;
    loop {
        let Some((changes, revision)) = wait(shared, span, next, silenced) else {
            return out.close();
        };
        let events: Vec<Value> = changes.iter().map(gateway::render_change).collect();
        let reply = gateway::with_header(&lock(&shared.state).data, json!({ "events": events }));
        out.send(&line(&reply))?;
        next = revision + 1;
    }
}

type Changes = (Vec<super::data::Change>, u64);

/// Waits for changes from `next` on; `None` when the watch ends.
///
/// A watch that was opened before the last of more than `silenced` silences gets no more changes.
fn wait(shared: &Shared, span: &Span, next: u64, silenced: u64) -> Option<Changes> {
    let mut state = lock(&shared.state);
    loop {
        if state.closed || state.outage {
            return None;
        }
        let before = state.data.revision();
        state.data.sweep();
        if state.data.revision() > before {
            shared.changed.notify_all();
        }
        let changes = state.data.changes(span, next);
        if !changes.is_empty() && state.silenced == silenced {
            return Some((changes, state.data.revision()));
        }
        state = match shared.changed.wait_timeout(state, SWEEP) {
            Ok((state, _)) => state,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
}

fn line(result: &Value) -> Vec<u8> {
    let mut line = json!({ "result": result }).to_string().into_bytes();
    line.push(b'\n');
    line
}
