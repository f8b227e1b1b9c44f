//! The canceller: the thread that cancels generations for which no caller waits.

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
    control::Destination,
    shared::{Phase, Shared},
    traffic::deliver::ENGINE_PATH,
    traffic::place::RequestHandle,
};

/// Interval at which the thread does due work.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of one cancellation attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Held by a task until it is over. Clones count each other.
#[derive(Clone, Debug, Default)]
pub struct Hold(Arc<()>);

impl Hold {
    /// Number of other clones.
    pub fn others(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}

/// Work for the canceller.
#[derive(Debug)]
pub struct Task {
    address: SocketAddr,
    upstream: carob_base::Name,
    kind: TaskKind,
}

#[derive(Debug)]
enum TaskKind {
    /// Cancel this generation.
    Cancel(Generation),
    /// The caller has gone: cancel the generation unless the answer is resumed.
    Abandon(Box<Abandoned>),
}

#[derive(Debug)]
struct Abandoned {
    delivery: Delivery,
    handle: RequestHandle,
    tokens: u32,
}

impl Task {
    /// Cancels `generation` at the upstream of `destination`.
    pub fn cancel(destination: &Destination, generation: Generation) -> Self {
        Self {
            address: destination.address,
            upstream: destination.upstream.clone(),
            kind: TaskKind::Cancel(generation),
        }
    }

    /// Takes over a delivery whose caller has gone; `tokens` have been received.
    pub fn abandon(
        destination: &Destination,
        delivery: Delivery,
        handle: RequestHandle,
        tokens: u32,
    ) -> Self {
        let abandoned = Abandoned {
            delivery,
            handle,
            tokens,
        };
        Self {
            address: destination.address,
            upstream: destination.upstream.clone(),
            kind: TaskKind::Abandon(Box::new(abandoned)),
        }
    }
}

/// A cancellation that is not confirmed yet.
struct PendingCancellation {
    address: SocketAddr,
    upstream: carob_base::Name,
    cancellation: Cancellation,
    /// The call in progress.
    attempt: Option<PendingResponse>,
    _hold: Hold,
}

/// Runs until the instance is closed.
pub fn run(shared: &Arc<Shared>, tasks: &Receiver<(Task, Hold)>) {
    let mut canceller = Canceller {
        shared,
        abandoned: Vec::new(),
        pending: Vec::new(),
    };
    loop {
        match tasks.recv_timeout(POLL_INTERVAL) {
            Ok((task, hold)) => canceller.accept(task, hold),
            Err(RecvTimeoutError::Timeout) if shared.phase() == Phase::Closed => return,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        canceller.poll();
    }
}

struct Canceller<'a> {
    shared: &'a Shared,
    abandoned: Vec<(SocketAddr, carob_base::Name, Abandoned, Hold)>,
    pending: Vec<PendingCancellation>,
}

impl Canceller<'_> {
    fn accept(&mut self, task: Task, hold: Hold) {
        match task.kind {
            TaskKind::Cancel(generation) => self.start(task.address, task.upstream, generation, hold),
            TaskKind::Abandon(abandoned) => {
                self.abandoned
                    .push((task.address, task.upstream, *abandoned, hold));
            }
        }
    }

    /// Starts a cancellation; without an answer id there is nothing that the engine could cancel.
    fn start(&mut self, address: SocketAddr, upstream: carob_base::Name, generation: Generation, hold: Hold) {
        if generation.answer_id.is_none() {
            return;
        }
        log::info!("cancel: upstream={upstream} answer={:?}", generation.answer_id);
        let cancellation = Cancellation::new(generation, self.shared.now());
        self.pending.push(PendingCancellation {
            address,
            upstream,
            cancellation,
            attempt: None,
            _hold: hold,
        });
    }

    fn poll(&mut self) {
        self.poll_abandoned();
        let now = self.shared.now();
        for pending in &mut self.pending {
            pending.poll(now);
        }
        self.pending.retain(|pending| !pending.cancellation.is_over());
    }

    /// Passes resumptions and time to the abandoned deliveries, and finishes those that are over.
    fn poll_abandoned(&mut self) {
        let now = self.shared.now();
        for index in (0..self.abandoned.len()).rev() {
            let (_, _, abandoned, _) = &mut self.abandoned[index];
            let actions = if abandoned.handle.check_resumed_elsewhere() {
                abandoned.delivery.on_resumed_elsewhere()
            } else if now >= abandoned.delivery.deadline() {
                abandoned.delivery.on_tick(now)
            } else {
                Actions::new()
            };
            if abandoned.delivery.is_over() {
                self.finish(index, actions);
            }
        }
    }

    fn finish(&mut self, index: usize, actions: Actions) {
        let (address, upstream, abandoned, hold) = self.abandoned.swap_remove(index);
        let tokens = abandoned.tokens;
        abandoned
            .handle
            .finish(End::Cancelled { tokens }, Some(abandoned.delivery.intervals()));
        for action in actions {
            if let Action::Cancel(generation) = action {
                self.start(address, upstream.clone(), generation, hold.clone());
            }
        }
    }
}

impl PendingCancellation {
    fn poll(&mut self, now: carob_base::Time) {
        if let Some(attempt) = self.attempt.take() {
            match attempt.wait(Duration::ZERO) {
                Err(attempt) => self.attempt = Some(attempt),
                Ok(result) => {
                    let outcome = outcome_of(result);
                    log::debug!("cancel: upstream={} {outcome:?}", self.upstream);
                    self.cancellation.on_outcome(outcome, now);
                }
            }
        }
        if let Some(answer) = self.cancellation.poll(now) {
            let path = format!("{ENGINE_PATH}/{answer}/cancel");
            let request = client::Request::post(self.address, &path, "").with_deadline(ATTEMPT_TIMEOUT);
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
