//! Non-idempotent calls: each is claimed before it is sent, and sent at most once.

use std::{sync::Arc, time::Duration};

use carob_base::Time;
use carob_claim::{Key, Outcome, Ticket, Verdict};
use carob_http::{Headers, client, listen::Exchange};
use carob_route::End;
use carob_wire::{Code, Execution, Problem, header};
use flume::Receiver;

use super::{
    admit::{self, Call},
    place::{Decision, RequestHandle},
    plain::{self, ForwardedCall},
};
use crate::{
    control::{Destination, Event, claims},
    shared::Shared,
};

/// Time limit of a call that runs at most once; long, since such a call cannot be retried.
const SEND_TIMEOUT: Duration = Duration::from_mins(2);

/// Claims the caller's key, sends the call once and records its outcome.
pub fn serve(shared: &Arc<Shared>, call: &Call, forward: &ForwardedCall, exchange: Exchange) {
    let key = match read_key(call, &exchange) {
        Ok(key) => key,
        Err(problem) => return admit::refuse(exchange, &problem),
    };
    let Ok((ticket, verdict)) = begin(shared, key, forward.claim_fingerprint()).recv() else {
        return admit::refuse(exchange, &shutting_down());
    };
    match verdict {
        Verdict::Granted { send_by } => {
            let claim = Claim {
                shared,
                ticket,
                send_by,
                open: true,
            };
            place_and_send(shared, call, forward, claim, exchange);
        }
        Verdict::Replay(outcome) => {
            log::info!(
                "claim: account={} route={} outcome replayed",
                call.account.name,
                call.route.name
            );
            replay(exchange, outcome);
        }
        Verdict::Refused(problem) => admit::refuse(exchange, &problem),
    }
}

/// A granted claim. Dropping it without an outcome records that the outcome is unknown.
struct Claim<'a> {
    shared: &'a Shared,
    ticket: Ticket,
    /// When the permission to send expires.
    send_by: Time,
    /// Whether the claim still needs an outcome.
    open: bool,
}

impl Claim<'_> {
    /// Asks for permission to send the call now; with it, the claim counts as sent.
    fn may_send(&mut self) -> Result<(), Problem> {
        let (reply, permission) = flume::bounded(1);
        let ticket = self.ticket;
        self.shared
            .send_event(Event::Claim(claims::Event::MaySend { ticket, reply }));
        let permission = permission.recv().unwrap_or_else(|_ended| Err(shutting_down()));
        if permission.is_err() {
            self.open = false;
        }
        permission
    }

    fn finish(mut self, outcome: Outcome) {
        self.open = false;
        let ticket = self.ticket;
        self.shared
            .send_event(Event::Claim(claims::Event::Finish { ticket, outcome }));
    }

    /// Gives the claim up for a call that was certainly not sent.
    fn release(mut self) {
        self.open = false;
        let ticket = self.ticket;
        self.shared
            .send_event(Event::Claim(claims::Event::Release { ticket }));
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if self.open {
            let ticket = self.ticket;
            self.shared
                .send_event(Event::Claim(claims::Event::MarkUnknown { ticket }));
        }
    }
}

fn read_key(call: &Call, exchange: &Exchange) -> Result<Key, Problem> {
    let Some(text) = exchange.header(header::IDEMPOTENCY_KEY) else {
        let detail = "this call runs at most once and needs an `Idempotency-Key`, a UUID of version 7";
        return Err(Problem::not_run(Code::KeyMissing, detail));
    };
    Key::new(&call.account.name, &call.route.name, text).map_err(carob_claim::key::Error::to_problem)
}

fn begin(shared: &Shared, key: Key, fingerprint: u64) -> Receiver<(Ticket, Verdict)> {
    let (reply, verdict) = flume::bounded(1);
    shared.send_event(Event::Claim(claims::Event::Begin {
        key,
        fingerprint,
        reply,
    }));
    verdict
}

/// Finds an upstream for the claimed call and sends it. Another upstream is tried only if nothing was sent to
/// the last one.
fn place_and_send(
    shared: &Arc<Shared>,
    call: &Call,
    forward: &ForwardedCall,
    mut claim: Claim<'_>,
    exchange: Exchange,
) {
    let handle = RequestHandle::submit(
        shared,
        plain::route_request(shared, call),
        forward.suspect_fingerprint(&call.service.name),
    );
    loop {
        // A caller that has gone may repeat the call with the same key, so the call continues without it.
        let destination = match handle.wait(|| false) {
            Decision::Send(destination) => destination,
            Decision::Refuse(problem) => {
                claim.release();
                handle.finish(End::Failed, None);
                return admit::refuse(exchange, &problem);
            }
            Decision::CallerGone => unreachable!("the wait does not check for the caller"),
        };
        if let Err(problem) = claim.may_send() {
            handle.finish(End::Cancelled { tokens: 0 }, None);
            return admit::refuse(exchange, &problem);
        }
        if shared.now() >= claim.send_by {
            // The permission expired during a pause of this thread.
            claim.release();
            handle.finish(End::Cancelled { tokens: 0 }, None);
            return admit::refuse(exchange, &carob_claim::verdict::store_unavailable());
        }
        match client::call(&forward.request(&destination, handle.id(), SEND_TIMEOUT)) {
            Ok(response) => return finish(handle, claim, &destination, response, exchange),
            Err(client::Error::Refused(reason) | client::Error::NotSent(reason)) => {
                log::info!(
                    "call: request={} upstream={} not sent: {reason}",
                    handle.id(),
                    destination.upstream
                );
                handle.retry(End::UpstreamDied, None);
            }
            Err(client::Error::Unknown(reason)) => {
                log::warn!(
                    "call: request={} upstream={} outcome unknown: {reason}",
                    handle.id(),
                    destination.upstream
                );
                drop(claim);
                handle.finish(End::UpstreamDied, None);
                return admit::refuse(exchange, &outcome_unknown());
            }
        }
    }
}

fn finish(
    handle: RequestHandle,
    claim: Claim<'_>,
    destination: &Destination,
    response: client::Response,
    exchange: Exchange,
) {
    let id = handle.id();
    log::info!(
        "call: request={id} upstream={} ran once, status={}",
        destination.upstream,
        response.status
    );
    let media = response.headers.get("content-type").unwrap_or_default();
    claim.finish(Outcome::new(response.status, media, response.body.clone()));
    handle.finish(End::Complete { tokens: 0 }, None);
    plain::respond(exchange, response, id);
}

fn replay(exchange: Exchange, outcome: Outcome) {
    let headers = Headers::new()
        .with("content-type", outcome.media)
        .with(header::OUTCOME, Execution::Done.as_str());
    let Some(body) = outcome.body else {
        return admit::refuse(exchange, &carob_claim::verdict::body_lost(outcome.status));
    };
    exchange.respond(outcome.status, &headers, body);
}

fn outcome_unknown() -> Problem {
    let detail = "the upstream's answer was lost; the call may have run and is not repeated";
    Problem::new(Code::UpstreamFailed, Execution::Unknown, detail)
}

fn shutting_down() -> Problem {
    Problem::not_run(Code::NotReady, "this instance is shutting down")
}
