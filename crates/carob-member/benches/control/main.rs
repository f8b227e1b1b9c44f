//! Cost and speed of the control code at several sizes.
//!
//! The product's membership, configuration following and sharing of load run for 3, 7, 20 and 62 instances of one
//! failure domain, with two instances of each of five other domains, over links in memory and a clock passed in.
//! Upstreams and accounts grow with the instances, up to a domain of the largest planned fleet at 62.
//!
//! Some also run as processes of their own over loopback, for the cost of real datagrams.
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
use common::{Net, Node, fleet, listed, name};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use report::Row;
use usage::{cpu_time, datagram_cost, resident};

/// Instances of the measured failure domain.
const SIZES: [usize; 4] = [3, 7, 20, 62];
/// Instances that run as processes of their own over loopback.
const PROCESSES: [usize; 3] = [3, 7, 20];
/// Instances that a lost rack takes with it.
const RACK: usize = 10;
/// Upstreams of a failure domain and of all, and accounts, when the domain has 62 instances.
const DOMAIN_UPSTREAMS: usize = 100;
const ALL_UPSTREAMS: usize = 600;
const ACCOUNTS: usize = 300;
/// Requests that one instance sends to upstreams per second.
const REQUESTS: usize = 14;
/// Virtual time of the steady state that is measured.
const STEADY: Duration = Duration::from_mins(1);
/// Tickets submitted to measure what one costs.
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
    let memory = (resident().saturating_sub(before)) as f64 / net.nodes.len() as f64;
    let upstreams: Vec<_> = (0..DOMAIN_UPSTREAMS * size / 62).map(upstream_name).collect();
    let mut load = LoadSource::new(&upstreams);
    load.run(&mut net, Duration::from_secs(20));

    let (traffic, cpu, calls) = (domain_traffic(&net), cpu_time(), net.platform.calls);
    let ages = load.run(&mut net, STEADY);
    let spent = cpu_time() - cpu;
    let steady = difference(domain_traffic(&net), traffic);
    let per_second = |figure: u64| figure as f64 / size as f64 / STEADY.as_secs_f64();
    let calls = (net.platform.calls - calls) as f64 / STEADY.as_secs_f64();

    let cpu_share = spent / net.nodes.len() as f64 / STEADY.as_secs_f64();
    let (ticket_bytes, ticket_cpu, in_force) =
        tickets(&mut net, &mut load, per_second(steady.bytes), cpu_share);
    Row {
        size,
        messages: per_second(steady.datagrams),
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

/// A fleet in its steady state, with a configuration of its size.
fn start(size: usize) -> (Net, Vec<ListEntry>) {
    let mut list = fleet(&["a"], size);
    for (index, domain) in ["b", "c", "d", "e", "f"].into_iter().enumerate() {
        let region = if index < 2 { "a" } else { "far" };
        list.extend((0..2).map(|index| listed(index, domain, region)));
    }
    let mut net = Net::new(size as u64);
    net.submit(parse::ticket(&configuration(size), "bench").expect("the ticket is valid"));
    for listed in &list {
        net.start(listed, 1);
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

/// Polls upstreams at their homes and counts requests, as the entry's threads do.
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

    /// Lets the time pass; returns the mean age of a report where it is used, in seconds.
    fn run(&mut self, net: &mut Net, duration: Duration) -> f64 {
        let end = net.now + duration;
        let mut next: Vec<_> = net.ids().into_iter().map(|id| (id, net.now)).collect();
        let (mut sum, mut count) = (0.0, 0.0);
        while net.now < end {
            let now = net.now;
            for (id, due) in &mut next {
                let Some(node) = net
                    .nodes
                    .get_mut(id)
                    .filter(|node| node.listed.domain == name("a"))
                else {
                    continue;
                };
                if now < *due {
                    continue;
                }
                *due = now + node.members.gossip_interval();
                report_load(&mut node.members, self.upstreams.len(), now);
                self.requests(&mut node.members);
            }
            net.run(Duration::from_millis(100));
            for node in net.nodes.values().filter(|node| node.listed.domain == name("a")) {
                for upstream in &self.upstreams {
                    let Some((load, _)) = node.members.load(*upstream) else {
                        continue;
                    };
                    sum += net.now.as_millis().saturating_sub(u64::from(load.used)) as f64 / 1e3;
                    count += 1.0;
                }
            }
        }
        sum / f64::max(count, 1.0)
    }

    fn requests(&mut self, members: &mut Members) {
        let count = (REQUESTS as f64 * members.gossip_interval().as_secs_f64()) as usize;
        for _ in 0..count {
            if self.upstreams.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.upstreams.len());
            let own = InFlight {
                running: self.rng.random_range(0..20),
                tokens: self.rng.random_range(0..50_000),
                sent: 1,
            };
            members.set_in_flight(self.upstreams[index], own);
        }
    }
}

/// Reports the first `count` upstreams as far as this instance looks after them.
fn report_load(members: &mut Members, count: usize, now: Time) {
    for text in (0..count).map(upstream_name) {
        if members.is_home(&text) {
            members.share_load(short_id(&name(&text)), report(now.as_millis()), now);
        }
    }
}

/// A report whose memory in use is the time of the poll, in milliseconds.
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

/// What one ticket costs each instance above the steady state, in bytes and seconds, and the longest time until one
/// is in force everywhere, in seconds.
fn tickets(net: &mut Net, load: &mut LoadSource, bytes: f64, cpu: f64) -> (f64, f64, f64) {
    let (nodes, size) = (net.nodes.len() as f64, domain(net).count() as f64);
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
    let config = (net.config_bytes - config) as f64 / nodes;
    let ticket_bytes = (gossip + config - bytes * seconds) / TICKETS as f64;
    let ticket_cpu = ((cpu_time() - start) / nodes - cpu * seconds) / TICKETS as f64;
    (ticket_bytes.max(0.0), ticket_cpu.max(0.0), longest)
}

/// Restarts an instance; returns the time until all know it and it serves, in seconds.
fn join(net: &mut Net, list: &[ListEntry]) -> f64 {
    net.kill("a-1");
    net.start(&list[1], 2);
    let event = carob_member::Event::List(list.to_vec());
    let now = net.now;
    net.node("a-1").members.step(event, now);
    let id = short_id(&list[1].name);
    let known = |net: &Net| {
        domain(net).all(|node| node.members.get(id).is_none_or(|m| m.incarnation == 2 && m.ready))
            && net.nodes[&id].follow.ready()
    };
    let took = net.run_until(Duration::from_mins(1), known);
    seconds(took)
}

/// Kills an instance; returns the time until it counts as failed everywhere, in seconds.
fn fail(net: &mut Net) -> f64 {
    net.kill("a-1");
    let size = domain(net).count();
    let gone = |net: &Net| domain(net).all(|node| node.members.alive_ids().len() == size);
    let took = net.run_until(Duration::from_mins(1), gone);
    seconds(took)
}

/// Prints what a lost rack and a restart of everything at once cost at the largest size.
fn incidents() {
    let size = SIZES[SIZES.len() - 1];
    let (mut net, list) = start(size);
    let (before, began) = (domain_traffic(&net), net.now);
    for listed in &list[..RACK] {
        net.kill(listed.name.as_str());
    }
    let left = size - RACK;
    let settled = |net: &Net, count: usize| domain(net).all(|node| node.members.alive_ids().len() == count);
    let took = net.run_until(Duration::from_mins(2), |net| settled(net, left));
    // The killed ones take their own counts with them.
    let bytes = domain_traffic(&net).bytes as f64 - before.bytes as f64 * left as f64 / size as f64;
    let rate = bytes / left as f64 / net.now.since(began).as_secs_f64();
    println!(
        "\n{RACK} of {size} instances killed at once: failed everywhere after {:.1} s, {rate:.0} bytes/s meanwhile",
        seconds(took)
    );

    let began = net.now;
    for listed in &list[..size] {
        net.kill(listed.name.as_str());
        net.start(listed, 2);
    }
    net.publish_list(&list);
    let ready = |net: &Net| settled(net, size) && domain(net).all(|node| node.follow.ready());
    let took = net.run_until(Duration::from_mins(2), ready);
    let bytes = domain_traffic(&net).bytes as f64 / size as f64;
    let rate = bytes / net.now.since(began).as_secs_f64();
    println!(
        "{size} instances restarted at once: all known and ready after {:.1} s, {rate:.0} bytes/s meanwhile",
        seconds(took)
    );
}

/// Seconds; infinite if the limit was reached first.
fn seconds(took: Option<Duration>) -> f64 {
    took.map_or(f64::INFINITY, |took| took.as_secs_f64())
}

fn domain(net: &Net) -> impl Iterator<Item = &Node> {
    net.nodes
        .values()
        .filter(|node| node.listed.domain.as_str() == "a")
}

fn domain_traffic(net: &Net) -> Traffic {
    domain(net).fold(Traffic::default(), |mut sum, node| {
        let traffic = node.members.traffic();
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
