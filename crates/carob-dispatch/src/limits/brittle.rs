//! Statements about upstreams that are brittle, and the places at them of all instances.

use std::net::SocketAddr;

use carob_base::Time;

use super::{
    Content, Limits, MAX_UPSTREAMS, Members, Message, Origin, Place, Report, Statement, Usage, issuer_of,
    places::Places, reports,
};

impl Limits {
    /// Number of upstreams that say that they are brittle.
    pub fn brittle_count(&self) -> usize {
        self.places.values().filter(|places| places.is_brittle()).count()
    }

    /// What an upstream says that is brittle: the number of rejections in a second that it endures.
    pub fn brittle(&self, incarnation: u64) -> Option<Statement> {
        let places = self.places.get(&incarnation)?;
        places.is_brittle().then_some(places.statement)
    }

    /// Records an answer to a request that was sent at `sent`, by which the upstream endures `rejections` in a second.
    /// Returns the statement if it changes what is known.
    pub fn record_brittle(
        &mut self,
        incarnation: u64,
        rejections: Option<f64>,
        sent: Time,
        now: Time,
    ) -> Option<Statement> {
        let is_brittle = self.brittle(incarnation).is_some();
        if rejections.is_none() && !is_brittle {
            return None;
        }
        self.next_number += 1;
        let statement = Statement {
            rate: rejections,
            at: if rejections.is_some() { now } else { sent },
            origin: Origin {
                boot_id: self.boot_id,
                number: self.next_number,
            },
            peer: None,
        };
        let is_changed = self.apply_brittle(incarnation, statement, None);
        if is_changed {
            self.unsent_brittle.push(incarnation);
        }
        is_changed.then_some(statement)
    }

    /// Merges a report of the instance at `peer` about an upstream that is brittle. Returns the statement if it changes
    /// what is known.
    pub fn merge_brittle(&mut self, report: &Report, peer: SocketAddr, now: Time) -> Option<Statement> {
        let is_valid = report.rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let is_known = self.places.contains_key(&report.incarnation);
        if !is_valid || (!is_known && report.rate.is_none()) {
            return None;
        }
        let statement = Statement {
            rate: report.rate,
            at: now - report.age,
            origin: report.origin,
            peer: Some(peer),
        };
        self.apply_brittle(report.incarnation, statement, None)
            .then_some(statement)
    }

    /// Takes an upstream that has just started for brittle, as `other` of its service is.
    pub fn inherit_brittle(&mut self, incarnation: u64, other: u64, now: Time) {
        if let Some(statement) = self.brittle(other) {
            let statement = Statement { at: now, ..statement };
            self.apply_brittle(incarnation, statement, Some(now));
        }
    }

    fn apply_brittle(&mut self, incarnation: u64, statement: Statement, started: Option<Time>) -> bool {
        let boot_id = self.boot_id;
        if let Some(places) = self.places.get_mut(&incarnation) {
            let known = places.statement;
            let is_later = (statement.at, statement.origin) > (known.at, known.origin);
            if statement.origin == known.origin || !is_later {
                return false;
            }
            places.statement = statement;
            if statement.rate.is_none() {
                places.clear();
            }
            return statement.rate != known.rate;
        }
        if statement.rate.is_none() || self.places.len() >= MAX_UPSTREAMS {
            return false;
        }
        self.places
            .insert(incarnation, Places::new(statement, boot_id, started));
        true
    }

    /// Returns the statements about brittle upstreams for other instances: all if `complete`, else those that have changed.
    pub fn take_brittle_reports(&mut self, complete: bool, now: Time) -> Vec<Report> {
        let mut unsent = std::mem::take(&mut self.unsent_brittle);
        if complete {
            unsent = self.places.keys().copied().collect();
        }
        let statement = |incarnation| Some(self.places.get(&incarnation)?.statement);
        reports(unsent, statement, now)
    }

    /// Records that an upstream has rejected a request.
    pub fn record_rejected(&mut self, incarnation: u64) {
        if let Some(places) = self.places.get_mut(&incarnation) {
            places.record_rejected();
        }
    }

    /// Takes a place for a request to a brittle upstream. Returns `None` if none is needed, or there is none.
    pub fn take_place(&mut self, incarnation: u64, now: Time) -> Option<Place> {
        let places = self.places.get_mut(&incarnation)?;
        let expires = places.take(now)?;
        Some(Place { incarnation, expires })
    }

    /// Gives back a place whose request has ended.
    pub fn give_place_back(&mut self, place: Place) {
        if let Some(places) = self.places.get_mut(&place.incarnation) {
            places.give_back(place.expires);
        }
    }

    /// Hands out the places that are free, and tells issuers what this instance holds and wants. `usage` tells of an upstream
    /// what this instance does there. Returns the messages to be sent, and the number of places that this instance has
    /// handed out to itself.
    pub fn poll_places(
        &mut self,
        members: Members<'_>,
        usage: impl Fn(u64) -> Usage,
        now: Time,
    ) -> (Vec<Message>, u32) {
        let mut messages = Vec::new();
        let mut own_places = 0;
        for (incarnation, places) in &mut self.places {
            if !places.is_brittle() {
                continue;
            }
            let to = issuer_of(*incarnation, members);
            let message = |to, content| Message {
                to,
                incarnation: *incarnation,
                content,
            };
            let usage = usage(*incarnation);
            if to != members.own {
                let claim = places.next_claim(usage, now);
                messages.extend(claim.map(|claim| message(to, Content::Claim(claim))));
                continue;
            }
            let known = (members.heard.len() + 1) as f64 / members.registered.max(1) as f64;
            let (grants, own) = places.issue(members.own, usage, known.min(1.0), now);
            own_places += own;
            messages.extend(
                grants
                    .into_iter()
                    .map(|(to, grant)| message(to, Content::Grant(grant))),
            );
        }
        (messages, own_places)
    }
}
