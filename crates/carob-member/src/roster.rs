//! The set of known members and their liveness.

use carob_base::Time;
use carob_config::short_id;

use crate::{
    event::{Action, Actions, Change, ListEntry},
    member::{Member, Status},
    members::Members,
    suspicion::Suspicion,
};

impl Members {
    /// Applies the platform's instance list.
    ///
    /// A member that is no longer listed is removed, unless it is alive in the own failure domain: the list
    /// lags.
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
        let obsolete = |m: &Member| !m.listed && (!m.is_alive() || m.domain != self.options.domain);
        let removed: Vec<_> = self
            .iter()
            .filter(|member| obsolete(member))
            .map(|m| m.id)
            .collect();
        for id in removed {
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

    /// Adds an instance, unless it is known already.
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

    /// Changes a member's status, logs the change and updates the ring.
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
        let local = self
            .arena
            .values()
            .filter(|m| m.is_alive() && m.domain == self.options.domain);
        self.ring = local.map(|member| member.id).chain([self.own_id]).collect();
        self.ring.sort_unstable();
    }

    /// Records evidence that `id` runs as `incarnation`.
    pub(crate) fn record_alive(&mut self, id: u32, incarnation: u64, actions: &mut Actions) {
        let member = &mut self.arena[self.by_id[&id]];
        let restarted = incarnation > member.incarnation;
        if restarted {
            member.reset(incarnation);
            self.in_flight.remove(&id);
        }
        let (status, is_local) = (member.status, member.domain == self.options.domain);
        if status == Status::Left && !restarted {
            return;
        }
        self.suspicions.remove(&id);
        if !is_local {
            return;
        }
        if restarted && status == Status::Alive {
            let name = self.arena[self.by_id[&id]].name.clone();
            log::info!("member: {name} has restarted");
            actions.push(Action::Changed(Change::Joined(name)));
        }
        if restarted || status != Status::Alive {
            // A new or restarted instance needs the state of every other one.
            self.outbox.state_due = Time::ZERO;
        }
        self.set_status(id, Status::Alive, actions);
    }

    /// Handles the report of `by` that a member did not answer it.
    ///
    /// A suspicion of this instance is refuted by an urgent bundle. One of another member is ignored if
    /// evidence of life is newer: a datagram of the last probe period, or a later bundle or incarnation.
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
        let recently_seen = now.since(member.last_seen) < self.options.probe_period;
        let stale = member.last_version > suspicion.version || member.incarnation != suspicion.incarnation;
        if recently_seen || stale || !member.is_alive() {
            return;
        }
        self.suspect_member(suspicion.member, suspicion.version, by, now, actions);
    }

    /// Records that `by` had no answer from `id`; `version` is the last bundle of `id` that it had received.
    pub(crate) fn suspect_member(
        &mut self,
        id: u32,
        version: u32,
        by: u32,
        now: Time,
        actions: &mut Actions,
    ) {
        let local = by == self.own_id;
        let suspicion = self
            .suspicions
            .entry(id)
            .or_insert_with(|| Suspicion::new(now, version));
        // Only this instance's first suspicion of a member is urgent.
        if local && !suspicion.local {
            self.outbox.urgent = true;
        }
        suspicion.confirm(by, local);
        self.set_status(id, Status::Suspect, actions);
    }
}
