//! What can go wrong in the world.

use std::time::Duration;

use carob_stream::{Cause, Delivery, Generation, Options, Source};

use crate::{
    Fault,
    world::{ENGINES, INSTANCES, Link, State, World, number_of},
};

impl World {
    pub fn inject(&mut self, fault: Fault, pick: usize) {
        let engine = pick % ENGINES;
        let instance = pick % INSTANCES;
        let hit = match fault {
            Fault::Kill => self.stop(engine, false),
            Fault::Vanish => self.stop(engine, true),
            Fault::Restart => self.restart(engine),
            Fault::Replace => self.stop(engine, false) && self.restart(engine),
            Fault::Stall => {
                self.set(|world| world.engines[engine].stalled = world.now + Duration::from_secs(20))
            }
            Fault::Cut => self.set(|world| world.engines[engine].cut = world.now + Duration::from_secs(4)),
            Fault::Silence => self.with_link(pick, |link| link.silent = true),
            Fault::Break => self.break_link(pick),
            Fault::Repeat => self.with_link(pick, |link| link.cursor = link.cursor.saturating_sub(2)),
            Fault::Skip => self.skip(pick),
            Fault::Swap => self.swap(pick),
            Fault::Pause => self.set(|world| world.paused[instance] = world.now + Duration::from_secs(7)),
            Fault::Crash => self.crash(instance),
            Fault::Leave => self.leave(pick),
            Fault::Resume => self.resume_elsewhere(pick),
        };
        if hit {
            *self.faults.entry(format!("{fault:?}")).or_default() += 1;
        }
    }

    fn set(&mut self, act: impl FnOnce(&mut Self)) -> bool {
        act(self);
        true
    }

    fn stop(&mut self, at: usize, quiet: bool) -> bool {
        let was_up = self.engines[at].up;
        self.engines[at].up = false;
        self.engines[at].vanished = quiet;
        was_up
    }

    fn restart(&mut self, at: usize) -> bool {
        if self.engines[at].up {
            return false;
        }
        self.engines[at].restart();
        true
    }

    fn with_link(&mut self, pick: usize, act: impl FnOnce(&mut Link)) -> bool {
        let mut open: Vec<_> = self
            .links
            .iter_mut()
            .filter(|link| link.accepted && !link.closed)
            .collect();
        let count = open.len();
        let Some(link) = open.get_mut(pick % count.max(1)) else {
            return false;
        };
        act(link);
        true
    }

    fn break_link(&mut self, pick: usize) -> bool {
        let open: Vec<_> = (0..self.links.len())
            .filter(|at| !self.links[*at].closed)
            .collect();
        let Some(at) = open.get(pick % open.len().max(1)) else {
            return false;
        };
        self.fail_link(*at, Cause::Ended);
        true
    }

    /// Leaves out any event but the very first, without which nobody knows the answer's id.
    fn skip(&mut self, pick: usize) -> bool {
        let mut hit = false;
        self.with_link(pick, |link| {
            hit = link.cursor > 0 || link.source != Source::Create;
            link.cursor += u64::from(hit);
        });
        hit
    }

    /// Swaps a resumed answer from its start, or any answer once its item is known. A swap of a new answer
    /// before that cannot be told from the answer itself.
    fn swap(&mut self, pick: usize) -> bool {
        let counts: Vec<_> = self
            .engines
            .iter()
            .map(|engine| engine.generations.len() as u64)
            .collect();
        let mut hit = false;
        self.with_link(pick, |link| {
            let count = counts[link.engine].max(1);
            hit = link.cursor > 2 || (link.cursor == 0 && link.source != Source::Create);
            if hit {
                link.generation = link.generation.map(|id| (id + 1) % count);
            }
        });
        hit
    }

    /// The instance's state is lost. Callers who know an id resume by it, the others ask again.
    fn crash(&mut self, instance: usize) -> bool {
        let served = |at: &usize| self.callers[*at].instance == instance;
        let callers: Vec<_> = (0..self.callers.len()).filter(served).collect();
        for at in callers {
            if self.callers[at].delivery.is_some() {
                self.abandon(at);
            }
            if self.callers[at].state == State::Reading {
                self.resume(at);
            }
        }
        // What it had to cancel is left behind.
        for one in self.duties.iter().filter(|one| one.instance == instance) {
            self.orphans
                .push((one.engine, one.incarnation.unwrap_or_default(), one.id));
        }
        self.duties.retain(|one| one.instance != instance);
        true
    }

    /// Forgets a delivery with its connections, as a crash does.
    fn abandon(&mut self, at: usize) {
        for link in self.links.iter_mut().filter(|link| link.caller == at) {
            link.closed = true;
            let id = link.generation.unwrap_or_default();
            self.orphans.push((link.engine, link.incarnation, id));
        }
        let caller = &mut self.callers[at];
        let generation = caller
            .delivery
            .take()
            .map(|delivery| delivery.generation().clone());
        let id = generation.and_then(|one| Some((one.incarnation?, one.answer_id?)));
        if let Some((incarnation, answer)) = id {
            self.orphans
                .push((caller.engine, incarnation, number_of(Some(&answer))));
        }
    }

    fn resume(&mut self, at: usize) {
        let now = self.now;
        let caller = &mut self.callers[at];
        caller.instance = (caller.instance + 1) % INSTANCES;
        let Some(last) = caller.received.last().map(|event| event.head.sequence) else {
            caller.tried.clear();
            caller.delivery = Some(Delivery::new(Options::new()));
            self.route(at);
            return;
        };
        let answer = caller.received[0].head.answer.clone().unwrap_or_default();
        let generation = Generation::from_answer_id(caller.incarnation, answer);
        caller.delivery = Some(Delivery::resume(Options::new(), generation, Some(last)));
        self.start(at, now);
    }

    fn leave(&mut self, pick: usize) -> bool {
        let Some(at) = self.reading(pick) else {
            return false;
        };
        self.go(at);
        true
    }

    pub fn go(&mut self, at: usize) {
        self.callers[at].state = State::Gone;
        self.step(at, Delivery::on_caller_gone);
    }

    /// The instance of the old connection learns of the resumption and ends its delivery.
    fn resume_elsewhere(&mut self, pick: usize) -> bool {
        let Some(at) = self
            .reading(pick)
            .filter(|at| !self.callers[*at].received.is_empty())
        else {
            return false;
        };
        self.step(at, Delivery::on_caller_gone);
        self.step(at, |delivery, _| delivery.on_resumed_elsewhere());
        self.resume(at);
        true
    }

    fn reading(&self, pick: usize) -> Option<usize> {
        let reading = |at: &usize| self.callers[*at].state == State::Reading;
        let all: Vec<_> = (0..self.callers.len()).filter(reading).collect();
        all.get(pick % all.len().max(1)).copied()
    }
}
