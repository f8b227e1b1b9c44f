//! The engine's HTTP.

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

/// Answers one request.
pub(super) fn answer(shared: &Shared, mut request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let body = host::body(&mut request);
    let answer = path
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
        (Method::Get, _) if answer.is_some() => read(shared, request, answer.unwrap_or_default(), &url),
        (Method::Post, _) if answer.is_some_and(|rest| rest.ends_with("/cancel")) => {
            let id = answer
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
    if plan.words.is_empty() {
        drop(state);
        let error = json!({ "error": { "message": "expected `input` and at least one token" } });
        return host::respond_json(request, 400, &error);
    }
    let streamed = plan.stream;
    let at = state.batch.add(incarnation, plan);
    drop(state);
    if streamed {
        stream(shared, request, at, 0);
    } else {
        whole(shared, request, at, incarnation);
    }
}

/// Waits for the end of an answer and gives it whole.
fn whole(shared: &Shared, request: Request, at: usize, incarnation: u64) {
    let mut state = lock(&shared.state);
    loop {
        let generation = (state.incarnation == incarnation)
            .then(|| state.batch.get(at))
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
    let shown = shown(&state, at);
    drop(state);
    show(request, shown);
}

fn wait<'a>(shared: &'a Shared, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
    shared
        .stepped
        .wait(state)
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A response object as it is now, with the incarnation that has it.
fn shown(state: &State, at: usize) -> Option<(String, u64)> {
    let response = event::response(state.batch.get(at)?).to_string();
    Some((response, state.incarnation))
}

fn show(request: Request, shown: Option<(String, u64)>) {
    let Some((response, incarnation)) = shown else {
        return not_found(request);
    };
    host::respond(request, 200, &response, (INCARNATION, &incarnation.to_string()));
}

fn read(shared: &Shared, request: Request, id: &str, url: &str) {
    let state = lock(&shared.state);
    let Some(at) = state.batch.find(id) else {
        drop(state);
        return not_found(request);
    };
    let shown = shown(&state, at);
    drop(state);
    if host::query(url, "stream") != Some("true") {
        return show(request, shown);
    }
    let after: Option<usize> = host::query(url, "starting_after").and_then(|text| text.parse().ok());
    stream(shared, request, at, after.map_or(0, |after| after + 1));
}

fn cancel(shared: &Shared, request: Request, id: &str) {
    let mut state = lock(&shared.state);
    let Some(at) = state.batch.find(id) else {
        drop(state);
        return not_found(request);
    };
    state.batch.cancel(at);
    let shown = shown(&state, at);
    drop(state);
    shared.stepped.notify_all();
    show(request, shown);
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
    let fencing = host::header(&request, FENCING).and_then(|text| text.parse().ok());
    if body["order"] == "load" {
        thread::sleep(shared.options.load_time);
    }
    let outcome = lock(&shared.state).orders.take(fencing, &body);
    match outcome {
        Ok(()) => host::respond_json(request, 200, &json!({ "taken": true })),
        Err(stale) => host::respond_json(request, 409, &stale.to_json()),
    }
}

/// Streams the events of an answer from the sequence number `from` on.
fn stream(shared: &Shared, request: Request, at: usize, from: usize) {
    let (incarnation, fault) = {
        let mut state = lock(&shared.state);
        (state.incarnation, state.faults.pop_front())
    };
    if let Err(error) = send_events(shared, request, at, from, incarnation, fault) {
        log::debug!("standin: a stream broke off: {error}");
    }
}

fn send_events(
    shared: &Shared,
    request: Request,
    at: usize,
    from: usize,
    incarnation: u64,
    fault: Option<Fault>,
) -> io::Result<()> {
    let head = format!("content-type: text/event-stream\r\n{INCARNATION}: {incarnation}\r\n");
    let mut out = Chunked::start(request, &head)?;
    let mut faulty = Faulty::new(fault);
    let mut next = from;
    loop {
        let Some((events, last)) = next_events(shared, at, next, incarnation) else {
            return Ok(());
        };
        for event in &events {
            for event in faulty.pass(event) {
                out.send(&event)?;
            }
            if faulty.cut {
                return Ok(());
            }
            if faulty.stalled {
                stay(shared, incarnation);
                return Ok(());
            }
        }
        if last {
            return out.close();
        }
        next += events.len();
    }
}

/// Waits for the events from `next` on, and says whether the last one is among them.
///
/// Returns `None` if the incarnation that held the answer is dead.
fn next_events(shared: &Shared, at: usize, next: usize, incarnation: u64) -> Option<(Vec<Bytes>, bool)> {
    let mut state = lock(&shared.state);
    loop {
        if state.incarnation != incarnation {
            return None;
        }
        let generation = state.batch.get(at)?;
        let last = generation.status.is_terminal();
        if generation.events.len() > next || last {
            let events = generation.events.get(next..).unwrap_or_default().to_vec();
            return Some((events, last));
        }
        state = wait(shared, state);
    }
}

/// Holds a silent connection until the incarnation ends.
fn stay(shared: &Shared, incarnation: u64) {
    let mut state = lock(&shared.state);
    while state.incarnation == incarnation {
        state = wait(shared, state);
    }
}

/// Applies a fault to the events of one stream.
struct Faulty {
    fault: Option<Fault>,
    count: u64,
    held: Option<Bytes>,
    cut: bool,
    stalled: bool,
}

impl Faulty {
    const fn new(fault: Option<Fault>) -> Self {
        Self {
            fault,
            count: 0,
            held: None,
            cut: matches!(fault, Some(Fault::Cut(0))),
            stalled: matches!(fault, Some(Fault::Stall(0))),
        }
    }

    /// What is sent in place of the next event.
    fn pass(&mut self, event: &Bytes) -> Vec<Bytes> {
        if self.cut || self.stalled {
            return Vec::new();
        }
        let place = self.count;
        self.count += 1;
        let event = event.clone();
        match self.fault {
            Some(Fault::Repeat(at)) if at == place => vec![event.clone(), event],
            Some(Fault::Skip(at)) if at == place => Vec::new(),
            Some(Fault::Swap(at)) if at == place => {
                self.held = Some(event);
                Vec::new()
            }
            Some(Fault::Cut(after)) => {
                self.cut = self.count >= after;
                vec![event]
            }
            Some(Fault::Stall(after)) => {
                self.stalled = self.count >= after;
                vec![event]
            }
            _ => std::iter::once(event).chain(self.held.take()).collect(),
        }
    }
}
