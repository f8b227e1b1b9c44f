//! HTTP interface of the engine.

use std::{io, sync::MutexGuard, thread};

use bytes::Bytes;
use carob_wire::header::{FENCING, INCARNATION};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use super::{Fault, Shared, State, event, prompt};
use crate::{
    host::{self, Chunked},
    lock,
};

const RESPONSES: &str = "/v1/responses";

/// Handles one request.
pub(super) fn handle(shared: &Shared, mut request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let body = host::body(&mut request);
    let subpath = path
        .strip_prefix(RESPONSES)
        .and_then(|rest| rest.strip_prefix('/'));
    match (request.method().clone(), path) {
        (Method::Post, RESPONSES) => create(shared, request, &body),
        (Method::Get, "/metrics") => metrics(shared, request),
        (Method::Get, "/cache/events") => cache_events(shared, request, &url),
        (Method::Post, "/orders") => order(shared, request, &body),
        (Method::Get, "/orders") => {
            let orders = lock(&shared.state).orders.to_json();
            host::respond_json(request, 200, &orders);
        }
        (Method::Get, _) if subpath.is_some() => retrieve(shared, request, subpath.unwrap_or_default(), &url),
        (Method::Post, _) if subpath.is_some_and(|rest| rest.ends_with("/cancel")) => {
            let id = subpath
                .and_then(|rest| rest.strip_suffix("/cancel"))
                .unwrap_or_default();
            cancel(shared, request, id);
        }
        _ => not_found(request),
    }
}

fn not_found(request: Request) {
    host::respond_json(request, 404, &json!({ "error": { "message": "not found" } }));
}

fn create(shared: &Shared, request: Request, body: &[u8]) {
    let mut state = lock(&shared.state);
    if state.incarnation == 0 {
        drop(state);
        return host::drop_reply(request);
    }
    let incarnation = state.incarnation;
    let plan = prompt::plan(&shared.options, incarnation, body);
    if plan.tokens.is_empty() {
        drop(state);
        let error = json!({ "error": { "message": "expected `input` and at least one token" } });
        return host::respond_json(request, 400, &error);
    }
    let is_streamed = plan.stream;
    let index = state.batch.add(incarnation, plan);
    drop(state);
    if is_streamed {
        stream(shared, request, index, 0);
    } else {
        respond_complete(shared, request, index, incarnation);
    }
}

/// Waits until an answer has ended, and responds with it in full. Closes the connection without a response if
/// the incarnation ends first.
fn respond_complete(shared: &Shared, request: Request, index: usize, incarnation: u64) {
    let mut state = lock(&shared.state);
    loop {
        let generation = (state.incarnation == incarnation)
            .then(|| state.batch.get(index))
            .flatten();
        let Some(generation) = generation else {
            drop(state);
            return host::drop_reply(request);
        };
        if generation.status.is_terminal() {
            break;
        }
        state = wait(shared, state);
    }
    let response = snapshot(&state, index);
    drop(state);
    respond_snapshot(request, response);
}

/// Waits for the next notification of [`Shared::stepped`].
fn wait<'a>(shared: &'a Shared, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
    shared
        .stepped
        .wait(state)
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns the current response object as JSON text, with the incarnation that holds it.
fn snapshot(state: &State, index: usize) -> Option<(String, u64)> {
    let response = event::response(state.batch.get(index)?).to_string();
    Some((response, state.incarnation))
}

fn respond_snapshot(request: Request, snapshot: Option<(String, u64)>) {
    let Some((response, incarnation)) = snapshot else {
        return not_found(request);
    };
    host::respond(request, 200, &response, (INCARNATION, &incarnation.to_string()));
}

fn retrieve(shared: &Shared, request: Request, id: &str, url: &str) {
    let state = lock(&shared.state);
    let Some(index) = state.batch.find(id) else {
        drop(state);
        return not_found(request);
    };
    let response = snapshot(&state, index);
    drop(state);
    if host::query(url, "stream") != Some("true") {
        return respond_snapshot(request, response);
    }
    let after: Option<usize> = host::query(url, "starting_after").and_then(|text| text.parse().ok());
    stream(shared, request, index, after.map_or(0, |after| after + 1));
}

fn cancel(shared: &Shared, request: Request, id: &str) {
    let mut state = lock(&shared.state);
    let Some(index) = state.batch.find(id) else {
        drop(state);
        return not_found(request);
    };
    state.batch.cancel(index);
    let response = snapshot(&state, index);
    drop(state);
    shared.stepped.notify_all();
    respond_snapshot(request, response);
}

fn metrics(shared: &Shared, request: Request) {
    let text = lock(&shared.state)
        .reports
        .front()
        .map(|(_, report)| report.to_text());
    match text {
        Some(text) => host::respond(request, 200, &text, ("content-type", "text/plain; version=0.0.4")),
        None => host::respond_json(request, 503, &json!({ "error": "starting" })),
    }
}

fn cache_events(shared: &Shared, request: Request, url: &str) {
    let after = host::query(url, "after")
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    let events = lock(&shared.state).cache.events(after);
    host::respond_json(request, 200, &events);
}

fn order(shared: &Shared, request: Request, body: &[u8]) {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return host::respond_json(request, 400, &json!({ "error": "not JSON" }));
    };
    let fencing_number = host::header(&request, FENCING).and_then(|text| text.parse().ok());
    if body["order"] == "load" {
        thread::sleep(shared.options.load_time);
    }
    let outcome = lock(&shared.state).orders.apply(fencing_number, &body);
    match outcome {
        Ok(()) => host::respond_json(request, 200, &json!({ "taken": true })),
        Err(stale) => host::respond_json(request, 409, &stale.to_json()),
    }
}

/// Streams the events of an answer from sequence number `from` on, with the next fault in the queue.
fn stream(shared: &Shared, request: Request, index: usize, from: usize) {
    let (incarnation, fault) = {
        let mut state = lock(&shared.state);
        (state.incarnation, state.faults.pop_front())
    };
    if let Err(error) = send_events(shared, request, index, from, incarnation, fault) {
        log::debug!("standin: failed to write to a stream: {error}");
    }
}

fn send_events(
    shared: &Shared,
    request: Request,
    index: usize,
    from: usize,
    incarnation: u64,
    fault: Option<Fault>,
) -> io::Result<()> {
    let head = format!("content-type: text/event-stream\r\n{INCARNATION}: {incarnation}\r\n");
    let mut out = Chunked::start(request, &head)?;
    let mut injector = FaultInjector::new(fault);
    let mut next = from;
    loop {
        let Some((events, is_complete)) = next_events(shared, index, next, incarnation) else {
            return Ok(());
        };
        for event in &events {
            for event in injector.apply(event) {
                out.send(&event)?;
            }
            if injector.is_cut {
                return Ok(());
            }
            if injector.is_stalled {
                hold_open(shared, incarnation);
                return Ok(());
            }
        }
        if is_complete {
            return out.close();
        }
        next += events.len();
    }
}

/// Waits for the events from sequence number `next` on. Returns them, and whether the last one is among them.
///
/// Returns `None` if the incarnation that held the answer has ended.
fn next_events(shared: &Shared, index: usize, next: usize, incarnation: u64) -> Option<(Vec<Bytes>, bool)> {
    let mut state = lock(&shared.state);
    loop {
        if state.incarnation != incarnation {
            return None;
        }
        let generation = state.batch.get(index)?;
        let is_complete = generation.status.is_terminal();
        if generation.events.len() > next || is_complete {
            let events = generation.events.get(next..).unwrap_or_default().to_vec();
            return Some((events, is_complete));
        }
        state = wait(shared, state);
    }
}

/// Keeps a stalled connection open until the incarnation ends.
fn hold_open(shared: &Shared, incarnation: u64) {
    let mut state = lock(&shared.state);
    while state.incarnation == incarnation {
        state = wait(shared, state);
    }
}

/// Applies a fault to the events of one stream.
struct FaultInjector {
    fault: Option<Fault>,
    /// Number of events so far.
    count: u64,
    /// Event that is sent after the next one.
    swapped: Option<Bytes>,
    is_cut: bool,
    is_stalled: bool,
}

impl FaultInjector {
    const fn new(fault: Option<Fault>) -> Self {
        Self {
            fault,
            count: 0,
            swapped: None,
            is_cut: matches!(fault, Some(Fault::Cut(0))),
            is_stalled: matches!(fault, Some(Fault::Stall(0))),
        }
    }

    /// Returns the events to send in place of the next `event`.
    fn apply(&mut self, event: &Bytes) -> Vec<Bytes> {
        if self.is_cut || self.is_stalled {
            return Vec::new();
        }
        let position = self.count;
        self.count += 1;
        let event = event.clone();
        match self.fault {
            Some(Fault::Repeat(at)) if at == position => vec![event.clone(), event],
            Some(Fault::Skip(at)) if at == position => Vec::new(),
            Some(Fault::Swap(at)) if at == position => {
                self.swapped = Some(event);
                Vec::new()
            }
            Some(Fault::Cut(after)) => {
                self.is_cut = self.count >= after;
                vec![event]
            }
            Some(Fault::Stall(after)) => {
                self.is_stalled = self.count >= after;
                vec![event]
            }
            _ => std::iter::once(event).chain(self.swapped.take()).collect(),
        }
    }
}
