//! Orders under leases and fencing numbers, with paused instances and a store whose replies are lost.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::Fencing;
use carob_order::{Observed, Options, Order, Orders, Outcome, OutgoingOrder, Target};
use carob_store::{Call, Entry, Expect, Failure, Lease, Reply};
use proptest::{collection::vec, prelude::*};

const STEP: Duration = Duration::from_millis(500);

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

/// A fake store with leases, in virtual time.
#[derive(Default)]
struct Store {
    entries: BTreeMap<Bytes, (Entry, Option<Lease>)>,
    leases: BTreeMap<Lease, Time>,
    revision: u64,
}

impl Store {
    fn execute(&mut self, call: &Call, now: Time) -> Result<Reply, Failure> {
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        self.entries
            .retain(|_, (_, lease)| lease.is_none_or(|lease| leases.contains_key(&lease)));
        self.revision += 1;
        Ok(match call {
            Call::Get { key } => Reply::Entries {
                entries: self
                    .entries
                    .get(key)
                    .map(|(entry, _)| entry.clone())
                    .into_iter()
                    .collect(),
                revision: self.revision,
            },
            Call::Grant { ttl } => self.lease(Lease(self.revision as i64), *ttl, now),
            Call::Renew { lease } if self.leases.contains_key(lease) => {
                self.lease(*lease, Options::new().lease_ttl, now)
            }
            Call::Renew { .. } => return Err(Failure::LeaseLapsed),
            Call::Swap {
                key,
                expect,
                value,
                lease,
            } => {
                if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                    return Err(Failure::LeaseLapsed);
                }
                let current = self.entries.get(key).map(|(entry, _)| entry.clone());
                let actual = current
                    .as_ref()
                    .map_or(Expect::Absent, |entry| Expect::At(entry.revision));
                if actual != *expect {
                    return Ok(Reply::Conflict { current });
                }
                let (key, value, revision) = (key.clone(), value.clone(), self.revision);
                let entry = Entry {
                    key: key.clone(),
                    value,
                    revision,
                };
                self.entries.insert(key, (entry, *lease));
                Reply::Applied { revision }
            }
            other => panic!("orders make no such call: {other:?}"),
        })
    }

    fn lease(&mut self, lease: Lease, ttl: Duration, now: Time) -> Reply {
        self.leases.insert(lease, now + ttl);
        Reply::Leased { lease, ttl }
    }
}

/// A fake engine that loads models at once and records the orders that it carried out.
#[derive(Default)]
struct Engine {
    checks: bool,
    highest: u64,
    loads: Vec<(u64, Time)>,
    model: Option<String>,
}

impl Engine {
    fn receive(&mut self, send: &OutgoingOrder, now: Time) -> Outcome {
        if self.checks && send.fencing_number.0 < self.highest {
            return Outcome::OldFence;
        }
        self.highest = self.highest.max(send.fencing_number.0);
        let Order::LoadModel(model) = &send.order else {
            return Outcome::Refused;
        };
        self.loads.push((send.fencing_number.0, now));
        self.model = Some(model.clone());
        Outcome::Accepted
    }
}

struct Fleet {
    store: Store,
    instances: Vec<Orders>,
    /// Until when each instance is paused, and an order that it was about to send when it was paused.
    paused: Vec<(Time, Option<OutgoingOrder>)>,
    engines: BTreeMap<Name, Engine>,
    now: Time,
}

impl Fleet {
    fn new(checks: bool, engines: usize) -> Self {
        let names: Vec<_> = (0..engines).map(|at| name(&format!("engine-{at}"))).collect();
        let instance = |at| Orders::new(Options::new(), &name(&format!("entry-{at}")));
        let mut fleet = Self {
            store: Store::default(),
            instances: (0..2).map(instance).collect(),
            paused: vec![(Time::ZERO, None); 2],
            engines: names
                .into_iter()
                .map(|name| {
                    (
                        name,
                        Engine {
                            checks,
                            ..Engine::default()
                        },
                    )
                })
                .collect(),
            now: Time::ZERO,
        };
        fleet.set_model("m1");
        fleet
    }

    fn set_model(&mut self, model: &str) {
        let target = |(upstream, engine): (&Name, &Engine)| Target {
            upstream: upstream.clone(),
            fencing: if engine.checks {
                Fencing::Checks
            } else {
                Fencing::Ignores
            },
            model: model.to_owned(),
        };
        let targets: Vec<_> = self.engines.iter().map(target).collect();
        for instance in &mut self.instances {
            instance.set_targets(targets.clone());
        }
    }

    /// Runs every instance that is not paused for one step; `loses` says whose store replies are lost.
    fn step(&mut self, loses: [bool; 2]) {
        self.now = self.now + STEP;
        for (at, lose) in loses.into_iter().enumerate() {
            if self.now < self.paused[at].0 {
                continue;
            }
            // After a pause, an order that had passed its last check may be sent before anything else runs.
            if let Some(send) = self.paused[at].1.take() {
                self.send(at, &send, true);
            }
            self.run(at, lose);
        }
    }

    fn run(&mut self, at: usize, lose: bool) {
        let (now, wall) = (self.now, self.now.as_millis());
        for (upstream, engine) in &self.engines {
            let (upstream, model) = (upstream.clone(), engine.model.clone());
            self.instances[at].observe(Observed { upstream, model }, now);
        }
        let step = self.instances[at].poll(now, wall);
        for (id, call) in step.calls {
            let result = self.store.execute(&call, now);
            let result = if lose { Err(Failure::Unknown) } else { result };
            self.instances[at].on_reply(id, result, now, wall);
        }
        for send in step.orders {
            self.send(at, &send, false);
        }
    }

    fn send(&mut self, at: usize, send: &OutgoingOrder, checked: bool) {
        let permitted = checked || self.instances[at].may_send(send.fencing_number, self.now);
        let outcome = match self.engines.get_mut(&send.upstream) {
            Some(engine) if permitted => engine.receive(send, self.now),
            _ => Outcome::NotSent,
        };
        let wall = self.now.as_millis();
        self.instances[at].on_outcome(send, outcome, self.now, wall);
    }

    fn all_have(&self, model: &str) -> bool {
        self.engines
            .values()
            .all(|engine| engine.model.as_deref() == Some(model))
    }

    fn holders(&self) -> usize {
        self.instances
            .iter()
            .filter(|instance| instance.fencing_number(self.now).is_some())
            .count()
    }
}

#[test]
fn every_engine_loads_once_and_loads_keep_their_distance() {
    let mut fleet = Fleet::new(true, 3);
    for _ in 0..100 {
        fleet.step([false, false]);
    }
    assert!(fleet.all_have("m1"));
    let mut loads: Vec<_> = fleet
        .engines
        .values()
        .flat_map(|engine| engine.loads.clone())
        .collect();
    loads.sort_by_key(|(_, at)| *at);
    assert_eq!(loads.len(), 3);
    // Reserved start times are at least one interval apart; each order is sent in the first step after its
    // time.
    for pair in loads.windows(2) {
        assert!(
            pair[1].1.since(pair[0].1) + STEP > Options::new().load_interval,
            "{loads:?}"
        );
    }
}

#[test]
fn without_the_store_no_order_is_given() {
    let mut fleet = Fleet::new(true, 1);
    for _ in 0..100 {
        fleet.step([true, true]);
    }
    assert!(!fleet.all_have("m1"));
}

#[test]
fn an_instance_that_wakes_after_its_lease_gives_no_order() {
    let mut fleet = Fleet::new(false, 1);
    let mut sends = Vec::new();
    // Runs only the first instance, until it is about to send.
    for _ in 0..40 {
        fleet.now = fleet.now + STEP;
        let (now, wall) = (fleet.now, fleet.now.as_millis());
        let observed = Observed {
            upstream: name("engine-0"),
            model: None,
        };
        fleet.instances[0].observe(observed, now);
        let step = fleet.instances[0].poll(now, wall);
        for (id, call) in step.calls {
            let result = fleet.store.execute(&call, now);
            fleet.instances[0].on_reply(id, result, now, wall);
        }
        sends.extend(step.orders);
    }
    let send = sends.first().expect("an order is due");
    assert!(fleet.instances[0].may_send(send.fencing_number, fleet.now));
    let instance = &fleet.instances[0];
    let first = |ended: &dyn Fn(Time) -> bool| {
        let times = (0_u32..).map(|step| fleet.now + STEP * step);
        times.into_iter().find(|at| ended(*at)).expect("leases end")
    };
    let refused = first(&|at| !instance.may_send(send.fencing_number, at));
    let lapsed = first(&|at| instance.fencing_number(at).is_none());
    let options = Options::new();
    assert_eq!(lapsed.since(refused), options.send_timeout + options.send_margin);
}

#[test]
fn an_unsettled_order_of_an_earlier_holder_is_waited_out() {
    let mut fleet = Fleet::new(false, 1);
    let intent = Bytes::from_static(br#"{"fence":1,"order":{"load-model":"old"},"settled":false}"#);
    let put = Call::Swap {
        key: Bytes::from_static(b"carob/order/intent/engine-0"),
        expect: Expect::Absent,
        value: intent,
        lease: None,
    };
    fleet.store.execute(&put, fleet.now).expect("the store is up");
    while fleet.holders() == 0 {
        fleet.step([false, false]);
    }
    let held = fleet.now;
    while !fleet.all_have("m1") {
        fleet.step([false, false]);
    }
    let options = Options::new();
    assert!(fleet.now.since(held) >= options.send_timeout + options.send_margin);
}

#[test]
fn an_engine_that_checks_refuses_a_paused_holders_late_order() {
    let mut fleet = Fleet::new(true, 1);
    while fleet.holders() == 0 {
        fleet.step([false, false]);
    }
    let old = usize::from(fleet.instances[1].fencing_number(fleet.now).is_some());
    let fence = fleet.instances[old]
        .fencing_number(fleet.now)
        .expect("it holds the lease");
    let order = Order::LoadModel("old".to_owned());
    // The holder is paused between its last check and the first byte of an order.
    let send = OutgoingOrder {
        upstream: name("engine-0"),
        fencing_number: fence,
        order,
    };
    fleet.paused[old] = (fleet.now + Duration::from_mins(2), Some(send));
    for _ in 0..300 {
        fleet.step([false, false]);
    }
    assert!(fleet.all_have("m1"), "the late order must be refused");
}

#[test]
fn an_engine_that_ignores_the_number_ends_in_the_desired_state() {
    let mut fleet = Fleet::new(false, 1);
    while fleet.holders() == 0 {
        fleet.step([false, false]);
    }
    let old = usize::from(fleet.instances[1].fencing_number(fleet.now).is_some());
    let fence = fleet.instances[old]
        .fencing_number(fleet.now)
        .expect("it holds the lease");
    let order = Order::LoadModel("old".to_owned());
    let send = OutgoingOrder {
        upstream: name("engine-0"),
        fencing_number: fence,
        order,
    };
    fleet.paused[old] = (fleet.now + Duration::from_mins(1), Some(send));
    for _ in 0..400 {
        fleet.step([false, false]);
    }
    assert!(
        fleet.all_have("m1"),
        "the late order was carried out and then corrected"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever replies are lost and instances paused, there are never two holders, fencing numbers never
    /// decrease at an engine, and in the end every engine is in its desired state.
    #[test]
    fn one_holder_at_a_time_and_the_desired_state_in_the_end(
        faults in vec((any::<bool>(), any::<bool>(), 0_u64..40, 0_usize..20), 30..120),
        checks in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(checks, 2);
        for (at, (first, second, pause, dice)) in faults.iter().enumerate() {
            if *dice < 2 {
                fleet.paused[*dice].0 = fleet.now + Duration::from_secs(*pause);
            }
            if at == faults.len() / 2 {
                fleet.set_model("m2");
            }
            fleet.step([*first && *dice > 12, *second && *dice > 12]);
            prop_assert!(fleet.holders() <= 1, "two instances hold the lease");
        }
        for _ in 0..1_500 {
            fleet.step([false, false]);
        }
        prop_assert!(fleet.all_have("m2"));
        for engine in fleet.engines.values() {
            prop_assert!(engine.loads.is_sorted_by_key(|(fence, _)| *fence), "{:?}", engine.loads);
        }
    }
}
