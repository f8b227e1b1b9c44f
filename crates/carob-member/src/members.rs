//! The state machine.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use carob_base::{InstanceKey, Time};
use carob_config::{Digest, Revision, short_id};
use carob_peer::{HealthReport, ServiceLoad};
use rand::{SeedableRng as _, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    bridge::Bridges,
    event::{Actions, Event},
    load::{InFlight, Load, UpstreamHealth},
    member::Member,
    options::Options,
    outbox::Outbox,
    probe::Prober,
    send::Traffic,
    spread::BundleQueue,
    suspicion::Suspicion,
};

/// An instance's view of the others.
#[derive(Debug)]
pub struct Members {
    pub(crate) options: Options,
    pub(crate) own_id: u32,
    pub(crate) arena: SlotMap<InstanceKey, Member>,
    pub(crate) by_id: HashMap<u32, InstanceKey>,
    /// Short ids of the instances alive in the own failure domain, this one included, in order.
    pub(crate) ring: Vec<u32>,
    pub(crate) prober: Prober,
    pub(crate) suspicions: BTreeMap<u32, Suspicion>,
    pub(crate) outbox: Outbox,
    pub(crate) bridges: Bridges,
    pub(crate) loads: HashMap<u32, (Load, Time)>,
    /// Own load of the others, by instance and upstream, with the time when it was told.
    pub(crate) in_flight: HashMap<u32, BTreeMap<u32, (InFlight, Time)>>,
    /// Hashes of the suspects seen, oldest first.
    pub(crate) seen_evidence: VecDeque<u64>,
    pub(crate) send_queue: BundleQueue,
    pub(crate) next_flush: Time,
    pub(crate) hello_queue: VecDeque<u32>,
    pub(crate) probe_rounds: u32,
    pub(crate) rng: SmallRng,
    pub(crate) last_tick: Option<Time>,
    pub(crate) current: bool,
    pub(crate) traffic: Traffic,
}

impl Members {
    /// An instance that knows only itself.
    pub fn new(options: Options) -> Self {
        let own_id = short_id(&options.name);
        Self {
            own_id,
            arena: SlotMap::with_key(),
            by_id: HashMap::new(),
            ring: vec![own_id],
            prober: Prober::new(),
            suspicions: BTreeMap::new(),
            outbox: Outbox::default(),
            bridges: Bridges::default(),
            loads: HashMap::new(),
            in_flight: HashMap::new(),
            seen_evidence: VecDeque::new(),
            send_queue: BundleQueue::default(),
            next_flush: Time::ZERO,
            hello_queue: VecDeque::new(),
            probe_rounds: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            last_tick: None,
            current: true,
            traffic: Traffic::default(),
            options,
        }
    }

    /// Takes in `event` at `now`.
    pub fn step(&mut self, event: Event, now: Time) -> Actions {
        let mut actions = Actions::new();
        self.detect_pause(now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::List(list) => self.apply_list(&list, now),
            Event::Datagram(datagram) => self.handle_datagram(datagram, now, &mut actions),
            Event::OldIncarnation { from, known } => self.send_known_incarnation(from, known, &mut actions),
        }
        actions
    }

    /// Says goodbye: the others need not find out by probes.
    pub fn close(mut self, now: Time) -> Actions {
        let mut actions = Actions::new();
        let mut state = self.outbox.state;
        (state.leaving, state.left, state.ready) = (true, true, false);
        self.outbox.set_state(state);
        self.publish(now, &mut actions);
        actions
    }

    /// Sets the configuration in force here.
    pub fn set_applied(&mut self, revision: Revision, digest: Digest) {
        let mut state = self.outbox.state;
        (state.revision, state.digest) = (revision.0, digest.0);
        self.outbox.set_state(state);
    }

    /// Sets whether this instance serves.
    pub fn set_ready(&mut self, ready: bool) {
        let mut state = self.outbox.state;
        state.ready = ready;
        self.outbox.set_state(state);
    }

    /// Sets whether this instance is shutting down.
    pub fn set_leaving(&mut self, leaving: bool) {
        let mut state = self.outbox.state;
        state.leaving = leaving;
        self.outbox.set_state(state);
    }

    /// Shares a report that this instance has polled.
    pub fn share_load(&mut self, upstream: u32, load: Load, now: Time) {
        self.loads.insert(upstream, (load, now));
        self.outbox.queue_load(upstream, load);
    }

    /// Shares what this instance has under way at an upstream.
    pub fn set_in_flight(&mut self, upstream: u32, in_flight: InFlight) {
        self.outbox.queue_in_flight(upstream, in_flight);
    }

    /// Shares a sign of an upstream at once; `incarnation` is 0 if it is not known.
    pub fn share_health(&mut self, upstream: u32, incarnation: u32, health: UpstreamHealth) {
        self.outbox.queue_sign(HealthReport {
            upstream,
            incarnation,
            kind: health.to_wire(),
        });
    }

    /// Shares requests suspected of crashing upstreams, at once and with the other failure domains; up to 128 bytes
    /// leave the domain.
    pub fn share_evidence(&mut self, evidence: &Bytes) {
        if self.record_evidence(evidence) {
            self.outbox.queue_evidence(evidence.clone());
            self.bridges.queue_evidence(evidence);
        }
    }

    /// Sets the load of a service's upstreams in this failure domain, for the other domains.
    pub fn set_service_load(&mut self, load: ServiceLoad) {
        self.bridges.set_service_load(load);
    }
}
