//! Injection of faults.

use std::time::Duration;

use carob_stream::{Cause, Delivery, Generation, Options, Source};

use crate::{
    Fault,
    world::{Connection, ENGINES, INSTANCES, State, World, answer_number},
};

impl World {
    pub fn inject(&mut self, fault: Fault, pick: usize) {
        let engine = pick % ENGINES;
        let instance = pick % INSTANCES;
        let applied = match fault {
            Fault::Kill => self.stop(engine, false),
            Fault::Vanish => self.stop(engine, true),
            Fault::Restart => self.restart(engine),
            Fault::Replace => self.stop(engine, false) && self.restart(engine),
            Fault::Stall => {
                self.set(|world| world.engines[engine].stalled_until = world.now + Duration::from_secs(20))
            }
            Fault::Cut => {
                self.set(|world| world.engines[engine].cut_until = world.now + Duration::from_secs(4))
            }
            Fault::Silence => self.with_link(pick, |link| link.silent = true),
            Fault::Break => self.break_link(pick),
            Fault::Repeat => self.with_link(pick, |link| link.cursor = link.cursor.saturating_sub(2)),
            Fault::Skip => self.skip(pick),
            Fault::Swap => self.swap(pick),
            Fault::Pause => {
                self.set(|world| world.paused_until[instance] = world.now + Duration::from_secs(7))
            }
            Fault::Crash => self.crash(instance),
            Fault::Leave => self.leave(pick),
            Fault::Resume => self.resume_elsewhere(pick),
        };
        if applied {
            *self.faults.entry(format!("{fault:?}")).or_default() += 1;
        }
    }

    fn set(&mut self, act: impl FnOnce(&mut Self)) -> bool {
        act(self);
        true
    }

    fn stop(&mut self, index: usize, silent: bool) -> bool {
        let was_up = self.engines[index].up;
        self.engines[index].up = false;
        self.engines[index].disappeared = silent;
        was_up
    }

    fn restart(&mut self, index: usize) -> bool {
        if self.engines[index].up {
            return false;
        }
        self.engines[index].restart();
        true
    }

    fn with_link(&mut self, pick: usize, act: impl FnOnce(&mut Connection)) -> bool {
        let mut open: Vec<_> = self
            .connections
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
        let open: Vec<_> = (0..self.connections.len())
            .filter(|index| !self.connections[*index].closed)
            .collect();
        let Some(index) = open.get(pick % open.len().max(1)) else {
            return false;
        };
        self.fail_connection(*index, Cause::Ended);
        true
    }

    /// Skips an event other than the first one, without which nobody knows the answer's id.
    fn skip(&mut self, pick: usize) -> bool {
        let mut applied = false;
        self.with_link(pick, |link| {
            applied = link.cursor > 0 || link.source != Source::Create;
            link.cursor += u64::from(applied);
        });
        applied
    }

    /// Swaps a resumed answer from its first event, or any answer once its item's id is known. Before that, a
    /// swap of a new answer cannot be distinguished from the answer itself.
    fn swap(&mut self, pick: usize) -> bool {
        let counts: Vec<_> = self
            .engines
            .iter()
            .map(|engine| engine.generations.len() as u64)
            .collect();
        let mut applied = false;
        self.with_link(pick, |link| {
            let count = counts[link.engine].max(1);
            applied = link.cursor > 2 || (link.cursor == 0 && link.source != Source::Create);
            if applied {
                link.generation = link.generation.map(|id| (id + 1) % count);
            }
        });
        applied
    }

    /// Loses the state of an instance. Its callers resume by the answer's id if they know it; the others
    /// repeat their requests.
    fn crash(&mut self, instance: usize) -> bool {
        let served = |index: &usize| self.callers[*index].instance == instance;
        let callers: Vec<_> = (0..self.callers.len()).filter(served).collect();
        for index in callers {
            if self.callers[index].delivery.is_some() {
                self.abandon(index);
            }
            if self.callers[index].state == State::Reading {
                self.resume(index);
            }
        }
        // Its pending cancellations are lost.
        for one in self.cancellations.iter().filter(|one| one.instance == instance) {
            self.orphans
                .push((one.engine, one.incarnation.unwrap_or_default(), one.id));
        }
        self.cancellations.retain(|one| one.instance != instance);
        true
    }

    /// Drops a delivery and its connections without cancelling the generation, as a crash does.
    fn abandon(&mut self, index: usize) {
        for link in self.connections.iter_mut().filter(|link| link.caller == index) {
            link.closed = true;
            let id = link.generation.unwrap_or_default();
            self.orphans.push((link.engine, link.incarnation, id));
        }
        let caller = &mut self.callers[index];
        let generation = caller
            .delivery
            .take()
            .map(|delivery| delivery.generation().clone());
        let id = generation.and_then(|one| Some((one.incarnation?, one.answer_id?)));
        if let Some((incarnation, answer)) = id {
            self.orphans
                .push((caller.engine, incarnation, answer_number(Some(&answer))));
        }
    }

    fn resume(&mut self, index: usize) {
        let now = self.now;
        let caller = &mut self.callers[index];
        caller.instance = (caller.instance + 1) % INSTANCES;
        let Some(last) = caller.received.last().map(|event| event.head.sequence) else {
            caller.tried_engines.clear();
            caller.delivery = Some(Delivery::new(Options::new()));
            self.route(index);
            return;
        };
        let answer = caller.received[0].head.answer_id.clone().unwrap_or_default();
        let generation = Generation::from_answer_id(caller.incarnation, answer);
        caller.delivery = Some(Delivery::resume(Options::new(), generation, Some(last)));
        self.start(index, now);
    }

    fn leave(&mut self, pick: usize) -> bool {
        let Some(index) = self.reading(pick) else {
            return false;
        };
        self.disconnect(index);
        true
    }

    pub fn disconnect(&mut self, index: usize) {
        self.callers[index].state = State::Disconnected;
        self.step(index, Delivery::on_caller_gone);
    }

    /// A caller resumes elsewhere; the instance of the old connection is informed and ends its delivery.
    fn resume_elsewhere(&mut self, pick: usize) -> bool {
        let Some(index) = self
            .reading(pick)
            .filter(|index| !self.callers[*index].received.is_empty())
        else {
            return false;
        };
        self.step(index, Delivery::on_caller_gone);
        self.step(index, |delivery, _| delivery.on_resumed_elsewhere());
        self.resume(index);
        true
    }

    fn reading(&self, pick: usize) -> Option<usize> {
        let reading = |index: &usize| self.callers[*index].state == State::Reading;
        let all: Vec<_> = (0..self.callers.len()).filter(reading).collect();
        all.get(pick % all.len().max(1)).copied()
    }
}
