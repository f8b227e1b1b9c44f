//! How a stream goes on when its upstream fails, leaves or stalls.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::Placement,
    migration::{CONFIRM_TIMEOUT, OVERLAP, TARGET_SHARE},
};
use carob_platform::request::{Memory, Resume};
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    super::{
        admission,
        attempts::Attempts,
        crash,
        exchange::{self, Answer, RunStart, upstream_name},
        framing::{self, Framing},
        guard::Reservation,
        link,
        migrate::{self, MigrationOutcome, Progress},
        plain::UPSTREAM_PATIENCE,
        relay,
        resume::OpenStream,
        stop, switch, verdict,
    },
    Migration, Stream, StreamEnd,
};
use crate::events::Splitter;

impl Stream {
    /// Continues at another upstream after the present one has broken off for `reason`.
    pub(super) async fn fail_over(
        &mut self,
        reason: &str,
        progress: &Rc<RefCell<Progress>>,
        migration: &mut Option<Migration>,
    ) -> Result<bool, StreamEnd> {
        let is_unread = self
            .paused_until
            .is_some_and(|until| until.elapsed() < UPSTREAM_PATIENCE);
        if is_unread {
            // The upstream has cut off an answer that was not read, which says nothing about it.
            self.release_copy(progress);
            return Err(StreamEnd::Unread);
        }
        let (switching, stopped) = (progress.borrow().switching, progress.borrow().stopped);
        if !stopped {
            framing::count_answer(self.framing, false);
            self.record_failing();
            let upstream = self.reservation.upstream;
            crash::observe_break(&self.call, upstream, self.last_sign, self.is_sound());
        }
        let outcome = if switching {
            self.await_migration(migration).await?
        } else {
            self.await_copy(progress, migration).await?
        };
        self.resume_after(outcome, progress, reason).await.map(|()| true)
    }

    /// Handles the end of a body whose end is that of its connection. It looks the same whether the stream is complete or
    /// was stopped for a move. If another upstream continues the generation, it sends what is left, if anything.
    pub(super) async fn end_unframed(
        &mut self,
        progress: &Rc<RefCell<Progress>>,
        migration: &mut Option<Migration>,
    ) -> Result<bool, StreamEnd> {
        let switching = progress.borrow().switching;
        if switching && let MigrationOutcome::Continued(opened) = self.await_migration(migration).await? {
            self.continue_with(*opened, "its upstream leaves");
            self.owes_event = false;
            return Ok(true);
        }
        if progress.borrow().stopped {
            return Err(StreamEnd::Broken(
                "its upstream was stopped for a move".to_owned(),
            ));
        }
        self.release_copy(progress);
        Err(self.finish())
    }

    /// Continues a generation whose upstream may go on behind a lost link, from its memory or, where that is lost, with a
    /// further run. Returns whether it goes on elsewhere; if it does not, the upstream may still send the rest.
    pub(super) async fn rescue(&mut self, reason: &str) -> Result<bool, StreamEnd> {
        let upstream = self.reservation.upstream;
        let rescued = switch::rescue(
            &self.call,
            upstream,
            self.reservation.size.tokens,
            self.position.last(),
        );
        self.rescue_tried = true;
        let outcome = tokio::select! {
            biased;
            () = self.client.closed() => return Err(StreamEnd::ClientGone),
            outcome = timeout_at(self.call.deadline, rescued) => outcome.map_err(|_elapsed| StreamEnd::Late)?,
        };
        match outcome {
            Ok(opened) => {
                self.continue_with(opened, reason);
                Ok(true)
            }
            Err(failure) => {
                log::info!(
                    request:% = self.call.id(), upstream:% = upstream_name(&self.call, upstream),
                    outcome = failure.reason; "generation not moved"
                );
                if failure.is_stopped {
                    return self.run_again(failure.reason, true).await.map(|()| true);
                }
                Ok(false)
            }
        }
    }

    /// Whether it is to be tried to continue the generation if its link is lost; once.
    pub(super) fn may_rescue(&self) -> bool {
        let engine = self.call.engine.as_ref();
        !self.rescue_tried
            && engine.is_some_and(|engine| engine.supports_migration)
            && self.driver.relay().is_none()
    }

    /// Whether the generation could go on behind a lost link.
    pub(super) fn is_behind_lost_link(&self) -> bool {
        let shared = &self.call.shared;
        self.may_rescue()
            && shared.fleet().is_link_lost(self.reservation.upstream)
            && relay::is_offered(shared, &self.call.service)
    }

    /// Waits for the outcome of a migration whose target has been requested to continue.
    async fn await_migration(
        &self,
        migration: &mut Option<Migration>,
    ) -> Result<MigrationOutcome, StreamEnd> {
        let Some(mut migration) = migration.take() else {
            return Ok(MigrationOutcome::Failed("no move is under way"));
        };
        tokio::select! {
            biased;
            () = self.client.closed() => Err(StreamEnd::ClientGone),
            outcome = timeout_at(self.call.deadline, migration.outcome()) => {
                Ok(outcome.unwrap_or(MigrationOutcome::Failed("no outcome of the move in time")))
            }
        }
    }

    /// Waits for the outcome of a migration whose first copy is under way: the source may have lost the answer alone, and the
    /// copy tells. Gives the migration up if no first copy is being made, or for too long.
    async fn await_copy(
        &self,
        progress: &RefCell<Progress>,
        migration: &mut Option<Migration>,
    ) -> Result<MigrationOutcome, StreamEnd> {
        let Some(copying) = migration.as_mut().filter(|_| progress.borrow().copying) else {
            *migration = None;
            return Ok(MigrationOutcome::Failed("the source broke off"));
        };
        let limit = self.call.route.patience().mul_f64(TARGET_SHARE);
        let outcome = self.await_end(timeout(limit, copying.outcome())).await?;
        if let Ok(outcome) = outcome {
            *migration = None;
            return Ok(outcome);
        }
        if progress.borrow().switching {
            return self.await_migration(migration).await;
        }
        *migration = None;
        Ok(MigrationOutcome::Failed(
            "no copy in time after the source broke off",
        ))
    }

    /// Continues at another upstream after the source has failed: with the stream of a completed migration, from the
    /// copy of its memory if there is one, or with a further run.
    async fn resume_after(
        &mut self,
        outcome: MigrationOutcome,
        progress: &Rc<RefCell<Progress>>,
        reason: &str,
    ) -> Result<(), StreamEnd> {
        if let MigrationOutcome::Continued(opened) = outcome {
            self.continue_with(*opened, reason);
            return Ok(());
        }
        let copy = progress.borrow_mut().copy.take();
        let may_run = !matches!(outcome, MigrationOutcome::NotRunning);
        if copy.is_none() && may_run && self.may_rescue() {
            link::is_lost_after_break(&self.call.shared, self.reservation.upstream).await;
            if self.is_behind_lost_link() && self.rescue(reason).await? {
                return Ok(());
            }
        }
        let Some((copy, engine)) = copy.zip(self.upstream_address()) else {
            return self.run_again(reason, false).await;
        };
        let (reservation, handle) = self.end_present(copy, progress).await?;
        let resume = Resume {
            memory: Some(Memory { engine, handle }),
            last_event: self.position.last(),
        };
        match switch::resume_stopped(&self.call, reservation, &resume).await {
            Ok(opened) => {
                self.continue_with(opened, reason);
                Ok(())
            }
            Err(failure) => self.run_again(&failure.reason, false).await,
        }
    }

    /// Stops the present run before the stream goes on from `copy`: its upstream may have lost the answer alone. Returns the
    /// copy to go on from.
    async fn end_present(
        &self,
        (reservation, handle): (Reservation, String),
        progress: &RefCell<Progress>,
    ) -> Result<(Reservation, String), StreamEnd> {
        // Most upstreams end a run whose connection is closed.
        self.driver.abort();
        let ended = stop::end_present(&self.call, self.reservation.upstream, reservation.upstream);
        match self.await_end(ended).await {
            Ok(last) => Ok((reservation, last.unwrap_or(handle))),
            Err(end) => {
                progress.borrow_mut().copy = Some((reservation, handle));
                self.release_copy(progress);
                Err(end)
            }
        }
    }

    /// Waits until a run has `ended`, but no longer than for the client and the deadline.
    async fn await_end<T>(&self, ended: impl Future<Output = T>) -> Result<T, StreamEnd> {
        tokio::select! {
            biased;
            () = self.client.closed() => Err(StreamEnd::ClientGone),
            outcome = timeout_at(self.call.deadline, ended) => outcome.map_err(|_elapsed| StreamEnd::Late),
        }
    }

    /// Replaces the upstream's stream by that of another upstream.
    pub(super) fn continue_with(&mut self, opened: OpenStream, reason: &str) {
        log::info!(
            request:% = self.call.id(), from:% = upstream_name(&self.call, self.reservation.upstream),
            to:% = upstream_name(&self.call, opened.reservation.upstream), reason,
            gap_ms = self.last_forwarded.elapsed().as_millis() as u64; "stream goes on from another upstream"
        );
        self.framing = Framing::of(&opened.response);
        self.owes_event = !self.framing.is_explicit();
        self.writing_since = None;
        self.proved = false;
        self.rescue_tried = false;
        self.last_sign = Instant::now();
        self.stall_due = self.last_sign + self.stall_limit();
        self.position.begin_run();
        self.body = opened.response.into_body();
        self.driver = opened.driver;
        self.first_bytes = opened.first_bytes;
        self.splitter = Splitter::new();
        self.reservation = opened.reservation;
        self.migrations += 1;
    }

    /// Runs a stream whose route permits it once more, from the last event that the client has on, after the present run
    /// has failed for `reason`, or stalled.
    async fn run_again(&mut self, reason: &str, is_stalled: bool) -> Result<(), StreamEnd> {
        let call = Rc::clone(&self.call);
        let may_run =
            self.position.is_resumable() && self.attempts.may_run_again(&call, self.reservation.upstream);
        if !may_run {
            return Err(StreamEnd::Broken(reason.to_owned()));
        }
        // The present upstream may still work on the request.
        self.driver.abort();
        let limit = if is_stalled { CONFIRM_TIMEOUT } else { OVERLAP };
        let ended = stop::abandon_present(&call, self.reservation.upstream, limit);
        self.await_end(ended).await?;
        let start = RunStart {
            position: self.position.last(),
            generated: self.generated(),
            since: Instant::now(),
        };
        let answer = exchange::next_answer(&call, &mut self.attempts, start, None);
        let outcome = tokio::select! {
            biased;
            () = self.client.closed() => return Err(StreamEnd::ClientGone),
            outcome = timeout_at(call.deadline, answer) => outcome.map_err(|_elapsed| StreamEnd::Late)?,
        };
        let failure = match outcome {
            Ok(Answer::Stream(opened)) => {
                self.continue_with(*opened, reason);
                return Ok(());
            }
            Ok(Answer::Complete(response)) => format!("another upstream answered {}", response.status()),
            Err((_local, refusal)) => refusal.to_owned(),
        };
        Err(StreamEnd::Broken(format!("{reason}; not run again: {failure}")))
    }

    /// Time without an event after which a stream that may run again does so: half of the pause that clients bear, so that
    /// the next run has the rest.
    pub(super) fn stall_limit(&self) -> Duration {
        self.call.route.patience() / 2
    }

    /// Whether the stream may run again if the present run stalls.
    pub(super) fn may_leave_stalled(&self) -> bool {
        self.call.route.kind.is_idempotent()
            && self.position.is_resumable()
            && self.attempts.ran + 1 < self.call.route.max_attempts
    }

    /// Runs a stream again whose present run has stalled, if that is permitted and another upstream has a place for it at
    /// once. Returns whether it goes on there; otherwise the present run may still bring the rest.
    pub(super) async fn leave_stalled(&mut self) -> Result<bool, StreamEnd> {
        if self.writing_since.is_none()
            && let Some(time) = admission::hold(&self.call, &self.reservation, self.stall_limit())
        {
            self.stall_due = Instant::now() + time;
            return Ok(false);
        }
        self.stall_due = Instant::now() + self.stall_limit();
        let shared = Rc::clone(&self.call.shared);
        let mut excluded = self.attempts.tried.clone();
        excluded.push(self.reservation.upstream);
        let size = self.call.run_size(self.generated());
        let requirements = self.call.requirements(size, &excluded);
        let placement = shared.fleet().place(&requirements, shared.now());
        let has_place = matches!(placement, Placement::Upstream(key) if self.call.check_place(key).is_ok());
        if !has_place || !verdict::may_move(&self.call) || !Attempts::permit_another(&self.call) {
            return Ok(false);
        }
        self.record_failing();
        self.run_again("no event came for too long", true)
            .await
            .map(|()| true)
    }

    /// Address of the present upstream.
    fn upstream_address(&self) -> Option<SocketAddr> {
        let fleet = self.call.shared.fleet();
        fleet
            .upstream(self.reservation.upstream)
            .map(|found| found.entry.address)
    }

    /// Releases the copy of the memory, if there is one, and then its reservation.
    pub(super) fn release_copy(&self, progress: &RefCell<Progress>) {
        let copy = progress.borrow_mut().copy.take();
        let Some((reservation, handle)) = copy else {
            return;
        };
        let (shared, source) = (Rc::clone(&self.call.shared), self.reservation.upstream);
        tokio::task::spawn_local(async move {
            let _reservation = reservation;
            migrate::release(&shared, source, &handle).await;
        });
    }
}
