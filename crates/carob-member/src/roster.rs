//! Who there is, and whether they are alive.

use carob_base::Time;
use carob_config::short_id;

use crate::{
    event::{Action, Actions, Change, ListEntry},
    member::{Member, Status},
    members::Members,
    suspicion::Suspicion,
};

impl Members {
    pub(crate) fn apply_list(&mut self, list: &[ListEntry], now: Time) {
        for member in self.arena.values_mut() {
            member.listed = false;
        }
        for listed in list {
            self.add_member(listed, now);
            let Some(key) = self.by_id.get(&short_id(&listed.name)).copied() else {
                continue;
            };
            let member = &mut self.arena[key];
            member.listed = true;
            member.leaving |= listed.leaving;
            if member.address != listed.address && member.status != Status::Alive {
                member.address = listed.address;
            }
        }
        let gone = |m: &Member| !m.listed && (!m.is_alive() || m.domain != self.options.domain);
        let gone: Vec<_> = self.iter().filter(|member| gone(member)).map(|m| m.id).collect();
        for id in gone {
            if let Some(key) = self.by_id.remove(&id) {
                self.arena.remove(key);
                self.suspicions.remove(&id);
                self.in_flight.remove(&id);
            }
        }
        let domains: Vec<_> = self.iter().map(|member| member.domain.clone()).collect();
        self.bridges
            .remote_domains
            .retain(|domain, _| domains.contains(domain));
    }

    /// Adds an instance that is not known yet.
    pub(crate) fn add_member(&mut self, listed: &ListEntry, now: Time) {
        let member = Member::new(listed);
        if self.by_id.contains_key(&member.id) || member.id == self.own_id {
            return;
        }
        if listed.domain == self.options.domain {
            self.hello_queue.push_back(member.id);
        } else {
            self.bridges.add(&listed.domain, &listed.region, now);
        }
        let id = member.id;
        let key = self.arena.insert(member);
        self.by_id.insert(id, key);
    }

    /// Changes a member's status, with the log line, and the ring with it.
    pub(crate) fn set_status(&mut self, id: u32, status: Status, actions: &mut Actions) {
        let Some(key) = self.by_id.get(&id).copied() else {
            return;
        };
        let before = std::mem::replace(&mut self.arena[key].status, status);
        if before == status {
            return;
        }
        let name = self.arena[key].name.clone();
        log::info!("member: {name} is {status:?}, was {before:?}");
        self.rebuild_ring();
        actions.push(Action::Changed(match (before, status) {
            (_, Status::Suspect) => Change::Suspected(name),
            (_, Status::Failed) => Change::Failed(name),
            (_, Status::Left) => Change::Left(name),
            (Status::Suspect | Status::Failed, _) => Change::Alive(name),
            (Status::Unknown | Status::Alive | Status::Left, _) => Change::Joined(name),
        }));
    }

    fn rebuild_ring(&mut self) {
        let near = self
            .arena
            .values()
            .filter(|m| m.is_alive() && m.domain == self.options.domain);
        self.ring = near.map(|member| member.id).chain([self.own_id]).collect();
        self.ring.sort_unstable();
    }

    /// There is evidence that `id` lives in `incarnation`.
    pub(crate) fn record_alive(&mut self, id: u32, incarnation: u64, actions: &mut Actions) {
        let member = &mut self.arena[self.by_id[&id]];
        let restarted = incarnation > member.incarnation;
        if restarted {
            member.reset(incarnation);
            self.in_flight.remove(&id);
        }
        let (status, near) = (member.status, member.domain == self.options.domain);
        if status == Status::Left && !restarted {
            return;
        }
        self.suspicions.remove(&id);
        if !near {
            return;
        }
        if restarted && status == Status::Alive {
            let name = self.arena[self.by_id[&id]].name.clone();
            log::info!("member: {name} has restarted");
            actions.push(Action::Changed(Change::Joined(name)));
        }
        if restarted || status != Status::Alive {
            // A newcomer needs the state of all.
            self.outbox.state_due = Time::ZERO;
        }
        self.set_status(id, Status::Alive, actions);
    }

    /// Another instance had no answer from a member.
    pub(crate) fn handle_suspicion(
        &mut self,
        by: u32,
        suspicion: carob_peer::Suspicion,
        now: Time,
        actions: &mut Actions,
    ) {
        if suspicion.member == self.own_id {
            self.outbox.mark_urgent();
            return;
        }
        let Some(member) = self.get(suspicion.member) else {
            return;
        };
        let heard_since = now.since(member.last_seen) < self.options.probe_period;
        let stale = member.last_version > suspicion.version || member.incarnation != suspicion.incarnation;
        if heard_since || stale || !member.is_alive() {
            return;
        }
        self.suspect_member(suspicion.member, suspicion.version, by, now, actions);
    }

    /// Notes that `by` had no answer from `id`.
    pub(crate) fn suspect_member(
        &mut self,
        id: u32,
        version: u32,
        by: u32,
        now: Time,
        actions: &mut Actions,
    ) {
        let own = by == self.own_id;
        let suspicion = self
            .suspicions
            .entry(id)
            .or_insert_with(|| Suspicion::new(now, version));
        // Only the first of its own suspicions is worth a bundle at once.
        if own && !suspicion.local {
            self.outbox.urgent = true;
        }
        suspicion.confirm(by, own);
        self.set_status(id, Status::Suspect, actions);
    }
}
