//! Cost and speed of the control code at several sizes.
//!
//! The product's code for membership, for following the configuration and for sharing load runs for 3, 7, 20
//! and 62 instances of one failure domain, with two instances of each of five other domains, over in-memory
//! links and a virtual clock. The numbers of upstreams and accounts grow with the number of instances; at 62
//! they are those of a domain of the largest planned fleet.
//!
//! Fleets of 3, 7 and 20 instances also run as processes over loopback, which measures the cost of real
//! datagrams.
//!
//! Run with `cargo bench --bench control`.

#[path = "../../tests/common/mod.rs"]
mod common;
mod process;
mod report;
mod store;
mod usage;

use std::time::Duration;

use carob_base::Time;
use carob_config::short_id;
use carob_member::{InFlight, ListEntry, Load, Members, Traffic};
use carob_ticket::parse;
use common::{Instance, Net, fleet, list_entry, name};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use report::Row;
use usage::{cpu_time, datagram_cost, resident};

/// Numbers of instances of the measured failure domain.
const SIZES: [usize; 4] = [3, 7, 20, 62];
/// Numbers of instances that run as processes over loopback.
const PROCESSES: [usize; 3] = [3, 7, 20];
/// Instances lost with one rack.
const RACK: usize = 10;
/// Upstreams of the failure domain when it has 62 instances.
const DOMAIN_UPSTREAMS: usize = 100;
/// Upstreams of all failure domains at that size.
const ALL_UPSTREAMS: usize = 600;
/// Client accounts at that size.
const ACCOUNTS: usize = 300;
/// Requests per second that one instance sends to upstreams.
const REQUEST_RATE: usize = 14;
/// Virtual time for which the steady state is measured.
const STEADY: Duration = Duration::from_mins(1);
/// Tickets submitted to measure the mean cost of one.
const TICKETS: u64 = 10;

fn main() {
    if process::is_child() {
        process::run();
        return;
    }
    let rows: Vec<_> = SIZES.into_iter().map(measure).collect();
    report::print_rows(&rows);
    report::print_slopes(&rows);
    println!(
        "\none datagram of 200 bytes over loopback, sent and received: {:.2} us of CPU",
        datagram_cost()
    );
    incidents();
    store::measure();
    process::measure(&PROCESSES);
}

fn measure(size: usize) -> Row {
    let before = resident();
    let (mut net, list) = start(size);
    let memory = (resident().saturating_sub(before)) as f64 / net.instances.len() as f64;
    let upstreams: Vec<_> = (0..DOMAIN_UPSTREAMS * size / 62).map(upstream_name).collect();
    let mut load = LoadSource::new(&upstreams);
    load.run(&mut net, Duration::from_secs(20));

    let (traffic, cpu, calls) = (domain_traffic(&net), cpu_time(), net.store.calls);
    let ages = load.run(&mut net, STEADY);
    let spent = cpu_time() - cpu;
    let steady = difference(domain_traffic(&net), traffic);
    let per_second = |figure: u64| figure as f64 / size as f64 / STEADY.as_secs_f64();
    let calls = (net.store.calls - calls) as f64 / STEADY.as_secs_f64();

    let cpu_share = spent / net.instances.len() as f64 / STEADY.as_secs_f64();
    let (ticket_bytes, ticket_cpu, in_force) =
        tickets(&mut net, &mut load, per_second(steady.bytes), cpu_share);
    Row {
        size,
        datagrams: per_second(steady.datagrams),
        bytes: per_second(steady.bytes),
        cross_region: per_second(steady.cross_region),
        cpu: cpu_share,
        memory,
        calls,
        age: ages,
        ticket_bytes,
        ticket_cpu,
        in_force,
        joined: join(&mut net, &list),
        failed: fail(&mut net),
    }
}

/// Starts a fleet with a configuration of its size and runs it to its steady state.
fn start(size: usize) -> (Net, Vec<ListEntry>) {
    let mut list = fleet(&["a"], size);
    for (index, domain) in ["b", "c", "d", "e", "f"].into_iter().enumerate() {
        let region = if index < 2 { "a" } else { "far" };
        list.extend((0..2).map(|index| list_entry(index, domain, region)));
    }
    let mut net = Net::new(size as u64);
    net.submit(parse::ticket(&configuration(size), "bench").expect("the ticket is valid"));
    for entry in &list {
        net.start(entry, 1);
    }
    net.publish_list(&list);
    net.run(Duration::from_secs(30));
    assert!(net.in_force(1), "every instance has the configuration");
    (net, list)
}

fn upstream_name(index: usize) -> String {
    format!("runner-{index}")
}

fn configuration(size: usize) -> String {
    let mut text = "[ticket]\nnumber = 1\n".to_owned();
    let mut add = |section: String| text.push_str(&section);
    for index in 0..8 {
        add(format!(
            "[service s{index}]\nkind = generation\nmodel = m{index}\n"
        ));
        add(format!(
            "[route r{index}]\npath = /s{index}/v1/responses\nservice = s{index}\nidempotent = yes\n"
        ));
    }
    for index in 0..ACCOUNTS * size / 62 {
        add(format!("[account a{index}]\nkey-sha256 = {index:064x}\n"));
    }
    for index in 0..ALL_UPSTREAMS * size / 62 {
        add(format!(
            "[upstream {}]\nservice = s{}\naddress = 10.0.{}.{}:8000\ndomain = a\nregion = a\nmemory = 400000\n\
             slots = 64\n",
            upstream_name(index),
            index % 8,
            index / 250,
            index % 250,
        ));
    }
    text
}

/// Source of load: polls each upstream at its home instance and reports in-flight requests, as the product's
/// threads do.
struct LoadSource {
    upstreams: Vec<u32>,
    rng: SmallRng,
}

impl LoadSource {
    fn new(names: &[String]) -> Self {
        let upstreams = names.iter().map(|text| short_id(&name(text)));
        Self {
            upstreams: upstreams.collect(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    /// Advances the clock by `duration`; returns the mean age of load reports at the instances that use them,
    /// in seconds.
    fn run(&mut self, net: &mut Net, duration: Duration) -> f64 {
        let end = net.now + duration;
        let mut next: Vec<_> = net.ids().into_iter().map(|id| (id, net.now)).collect();
        let (mut sum, mut count) = (0.0, 0.0);
        while net.now < end {
            let now = net.now;
            for (id, due) in &mut next {
                let Some(instance) = net
                    .instances
                    .get_mut(id)
                    .filter(|instance| instance.entry.domain == name("a"))
                else {
                    continue;
                };
                if now < *due {
                    continue;
                }
                *due = now + instance.members.gossip_interval();
                report_load(&mut instance.members, self.upstreams.len(), now);
                self.requests(&mut instance.members);
            }
            net.run(Duration::from_millis(100));
            for instance in net
                .instances
                .values()
                .filter(|instance| instance.entry.domain == name("a"))
            {
                for upstream in &self.upstreams {
                    let Some((load, _)) = instance.members.load(*upstream) else {
                        continue;
                    };
                    sum += net.now.as_millis().saturating_sub(u64::from(load.used)) as f64 / 1e3;
                    count += 1.0;
                }
            }
        }
        sum / f64::max(count, 1.0)
    }

    /// Reports random in-flight requests for the requests sent in one gossip interval.
    fn requests(&mut self, members: &mut Members) {
        let count = (REQUEST_RATE as f64 * members.gossip_interval().as_secs_f64()) as usize;
        for _ in 0..count {
            if self.upstreams.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.upstreams.len());
            let in_flight = InFlight {
                running: self.rng.random_range(0..20),
                tokens: self.rng.random_range(0..50_000),
                sent: 1,
            };
            members.set_in_flight(self.upstreams[index], in_flight);
        }
    }
}

/// Shares load reports of those of the first `count` upstreams whose home is this instance.
fn report_load(members: &mut Members, count: usize, now: Time) {
    for text in (0..count).map(upstream_name) {
        if members.is_home(&text) {
            members.share_load(short_id(&name(&text)), report(now.as_millis()), now);
        }
    }
}

/// A load report that carries the time of the poll, in milliseconds, as its memory in use.
fn report(millis: u64) -> Load {
    Load {
        incarnation: 0x1234_5678,
        running: 48,
        waiting: 3,
        used: millis as u32,
        memory: 400_000,
        preemptions: 1_234,
        leaving: false,
    }
}

/// Submits tickets; returns the cost of one at each instance above the steady state, in bytes and in seconds
/// of CPU time, and the longest time until one is in force everywhere, in seconds.
fn tickets(net: &mut Net, load: &mut LoadSource, bytes: f64, cpu: f64) -> (f64, f64, f64) {
    let (instances, size) = (net.instances.len() as f64, domain(net).count() as f64);
    let (before, config, start, began) = (domain_traffic(net), net.config_bytes, cpu_time(), net.now);
    let mut longest = 0.0_f64;
    for number in 0..TICKETS {
        net.submit(common::store::service(10 + number, "extra", number));
        let took = net.run_until(Duration::from_secs(30), |net| net.in_force(number + 2));
        longest = longest.max(seconds(took));
        load.run(net, Duration::from_secs(5));
    }
    let seconds = net.now.since(began).as_secs_f64();
    let gossip = difference(domain_traffic(net), before).bytes as f64 / size;
    let config = (net.config_bytes - config) as f64 / instances;
    let ticket_bytes = (gossip + config - bytes * seconds) / TICKETS as f64;
    let ticket_cpu = ((cpu_time() - start) / instances - cpu * seconds) / TICKETS as f64;
    (ticket_bytes.max(0.0), ticket_cpu.max(0.0), longest)
}

/// Restarts an instance; returns the time until all others know it and it is ready, in seconds.
fn join(net: &mut Net, list: &[ListEntry]) -> f64 {
    net.kill("a-1");
    net.start(&list[1], 2);
    let event = carob_member::Event::List(list.to_vec());
    let now = net.now;
    net.instance("a-1").members.step(event, now);
    let id = short_id(&list[1].name);
    let known = |net: &Net| {
        domain(net).all(|instance| {
            instance
                .members
                .get(id)
                .is_none_or(|m| m.incarnation == 2 && m.ready)
        }) && net.instances[&id].follow.is_ready()
    };
    let took = net.run_until(Duration::from_mins(1), known);
    seconds(took)
}

/// Kills an instance; returns the time until it counts as failed everywhere, in seconds.
fn fail(net: &mut Net) -> f64 {
    net.kill("a-1");
    let size = domain(net).count();
    let gone = |net: &Net| domain(net).all(|instance| instance.members.alive_ids().len() == size);
    let took = net.run_until(Duration::from_mins(1), gone);
    seconds(took)
}

/// Prints the traffic and recovery time of a lost rack, and of a restart of all instances at once, at the
/// largest size.
fn incidents() {
    let size = SIZES[SIZES.len() - 1];
    let (mut net, list) = start(size);
    let (before, began) = (domain_traffic(&net), net.now);
    for entry in &list[..RACK] {
        net.kill(entry.name.as_str());
    }
    let left = size - RACK;
    let settled =
        |net: &Net, count: usize| domain(net).all(|instance| instance.members.alive_ids().len() == count);
    let took = net.run_until(Duration::from_mins(2), |net| settled(net, left));
    // The counts of the killed instances are gone, so their share is left out of the earlier sum too.
    let bytes = domain_traffic(&net).bytes as f64 - before.bytes as f64 * left as f64 / size as f64;
    let rate = bytes / left as f64 / net.now.since(began).as_secs_f64();
    println!(
        "\n{RACK} of {size} instances killed at once: failed everywhere after {:.1} s, {rate:.0} bytes/s meanwhile",
        seconds(took)
    );

    let began = net.now;
    for entry in &list[..size] {
        net.kill(entry.name.as_str());
        net.start(entry, 2);
    }
    net.publish_list(&list);
    let ready = |net: &Net| settled(net, size) && domain(net).all(|instance| instance.follow.is_ready());
    let took = net.run_until(Duration::from_mins(2), ready);
    let bytes = domain_traffic(&net).bytes as f64 / size as f64;
    let rate = bytes / net.now.since(began).as_secs_f64();
    println!(
        "{size} instances restarted at once: all known and ready after {:.1} s, {rate:.0} bytes/s meanwhile",
        seconds(took)
    );
}

/// Converts to seconds; infinity if the limit was reached first.
fn seconds(took: Option<Duration>) -> f64 {
    took.map_or(f64::INFINITY, |took| took.as_secs_f64())
}

/// The instances of the measured failure domain.
fn domain(net: &Net) -> impl Iterator<Item = &Instance> {
    net.instances
        .values()
        .filter(|instance| instance.entry.domain.as_str() == "a")
}

fn domain_traffic(net: &Net) -> Traffic {
    domain(net).fold(Traffic::default(), |mut sum, instance| {
        let traffic = instance.members.traffic();
        sum.datagrams += traffic.datagrams;
        sum.bytes += traffic.bytes;
        sum.cross_region += traffic.cross_region;
        sum
    })
}

fn difference(after: Traffic, before: Traffic) -> Traffic {
    Traffic {
        datagrams: after.datagrams - before.datagrams,
        bytes: after.bytes - before.bytes,
        cross_domain: after.cross_domain - before.cross_domain,
        cross_region: after.cross_region - before.cross_region,
    }
}
