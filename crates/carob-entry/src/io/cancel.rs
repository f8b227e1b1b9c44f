//! The thread that cancels generations nobody waits for.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carob_http::client::{self, PendingResponse};
use carob_route::End;
use carob_stream::{
    Action, Actions, Delivery, Generation,
    cancel::{Cancellation, Outcome},
};
use carob_wire::header;
use flume::{Receiver, RecvTimeoutError};

use crate::{
    control::Go,
    shared::{Phase, Shared},
    traffic::deliver::ENGINE_PATH,
    traffic::place::Place,
};

/// How often the thread looks what is due.
const PULSE: Duration = Duration::from_millis(50);
/// Time limit of one cancellation.
const LIMIT: Duration = Duration::from_secs(2);

/// Work for the thread.
#[derive(Debug)]
pub struct Task {
    address: SocketAddr,
    upstream: carob_base::Name,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    /// Cancel this generation.
    Cancel(Generation),
    /// The caller has gone: cancel unless the answer is resumed.
    Abandon(Box<Abandoned>),
}

#[derive(Debug)]
struct Abandoned {
    delivery: Delivery,
    place: Place,
    tokens: u32,
}

impl Task {
    /// Cancels `generation` at the upstream of `go`.
    pub fn cancel(go: &Go, generation: Generation) -> Self {
        Self {
            address: go.address,
            upstream: go.upstream.clone(),
            kind: Kind::Cancel(generation),
        }
    }

    /// Looks after a delivery whose caller has gone.
    pub fn abandon(go: &Go, delivery: Delivery, place: Place, tokens: u32) -> Self {
        let abandoned = Abandoned {
            delivery,
            place,
            tokens,
        };
        Self {
            address: go.address,
            upstream: go.upstream.clone(),
            kind: Kind::Abandon(Box::new(abandoned)),
        }
    }
}

/// A cancellation that is not certain yet.
struct Pending {
    address: SocketAddr,
    upstream: carob_base::Name,
    duty: Cancellation,
    attempt: Option<PendingResponse>,
}

/// Runs until the instance is closed.
pub fn run(shared: &Arc<Shared>, tasks: &Receiver<Task>) {
    let mut state = State {
        shared,
        waiting: Vec::new(),
        pending: Vec::new(),
    };
    loop {
        match tasks.recv_timeout(PULSE) {
            Ok(task) => state.take(task),
            Err(RecvTimeoutError::Timeout) if shared.phase() == Phase::Closed => return,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        state.step();
    }
}

struct State<'a> {
    shared: &'a Shared,
    waiting: Vec<(SocketAddr, carob_base::Name, Abandoned)>,
    pending: Vec<Pending>,
}

impl State<'_> {
    fn take(&mut self, task: Task) {
        match task.kind {
            Kind::Cancel(generation) => self.begin(task.address, task.upstream, generation),
            Kind::Abandon(abandoned) => self.waiting.push((task.address, task.upstream, *abandoned)),
        }
    }

    fn begin(&mut self, address: SocketAddr, upstream: carob_base::Name, generation: Generation) {
        if generation.answer_id.is_none() {
            return;
        }
        log::info!("cancel: upstream={upstream} answer={:?}", generation.answer_id);
        let duty = Cancellation::new(generation, self.shared.now());
        self.pending.push(Pending {
            address,
            upstream,
            duty,
            attempt: None,
        });
    }

    fn step(&mut self) {
        self.step_waiting();
        let now = self.shared.now();
        for pending in &mut self.pending {
            pending.step(now);
        }
        self.pending.retain(|pending| !pending.duty.is_over());
    }

    /// Lets abandoned deliveries decide, and ends those that are over.
    fn step_waiting(&mut self) {
        let now = self.shared.now();
        for at in (0..self.waiting.len()).rev() {
            let (_, _, abandoned) = &mut self.waiting[at];
            let actions = if abandoned.place.resumed_elsewhere() {
                abandoned.delivery.on_resumed_elsewhere()
            } else if now >= abandoned.delivery.deadline() {
                abandoned.delivery.on_tick(now)
            } else {
                Actions::new()
            };
            if abandoned.delivery.is_over() {
                self.end(at, actions);
            }
        }
    }

    fn end(&mut self, at: usize, actions: Actions) {
        let (address, upstream, abandoned) = self.waiting.swap_remove(at);
        let tokens = abandoned.tokens;
        abandoned
            .place
            .finish(End::Cancelled { tokens }, Some(abandoned.delivery.intervals()));
        for action in actions {
            if let Action::Cancel(generation) = action {
                self.begin(address, upstream.clone(), generation);
            }
        }
    }
}

impl Pending {
    fn step(&mut self, now: carob_base::Time) {
        if let Some(attempt) = self.attempt.take() {
            match attempt.wait(Duration::ZERO) {
                Err(attempt) => self.attempt = Some(attempt),
                Ok(result) => {
                    let outcome = outcome_of(result);
                    log::debug!("cancel: upstream={} {outcome:?}", self.upstream);
                    self.duty.on_outcome(outcome, now);
                }
            }
        }
        if let Some(answer) = self.duty.poll(now) {
            let path = format!("{ENGINE_PATH}/{answer}/cancel");
            let request = client::Request::post(self.address, &path, "").with_deadline(LIMIT);
            self.attempt = Some(client::start(&request));
        }
    }
}

fn outcome_of(result: Result<client::Stream, client::Error>) -> Outcome {
    let Ok(response) = result else {
        return Outcome::Failed;
    };
    let incarnation = response
        .headers
        .get(header::INCARNATION)
        .and_then(|text| text.parse().ok());
    let status = response.status;
    response.close();
    match status {
        200..=299 => Outcome::Confirmed {
            incarnation: incarnation.unwrap_or_default(),
        },
        404 | 410 => Outcome::NotFound,
        _ => Outcome::Failed,
    }
}
