//! Cost and speed of the control code at several sizes.
//!
//! The product's membership, configuration following and sharing of load run for 3, 7, 20 and 62 instances of one
//! failure domain, with two instances of each of five other domains, over links in memory and a clock passed in.
//! Upstreams and accounts grow with the instances, up to a domain of the largest planned fleet at 62.
//!
//! Run with `cargo bench --bench control`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{fmt::Write as _, fs, net::UdpSocket, time::Duration};

use carob_config::short_id;
use carob_member::{Listed, Load, Members, Own, Traffic};
use carob_ticket::parse;
use common::{Net, Node, fleet, listed, name, store::service};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Instances of the measured failure domain.
const SIZES: [usize; 4] = [3, 7, 20, 62];
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
/// Datagrams sent over loopback to measure what one costs.
const DATAGRAMS: u32 = 20_000;

/// The figures of one size.
struct Row {
    size: usize,
    messages: f64,
    bytes: f64,
    cross_region: f64,
    cpu: f64,
    memory: f64,
    calls: f64,
    age: f64,
    ticket_bytes: f64,
    ticket_cpu: f64,
    in_force: f64,
    joined: f64,
    failed: f64,
}

fn main() {
    let rows: Vec<_> = SIZES.into_iter().map(measure).collect();
    print_rows(&rows);
    print_slopes(&rows);
    println!(
        "\none datagram of 200 bytes over loopback, sent and received: {:.2} us of CPU",
        datagram_cost()
    );
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
        messages: per_second(steady.messages),
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
fn start(size: usize) -> (Net, Vec<Listed>) {
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
    upstreams: Vec<(String, u32)>,
    rng: SmallRng,
}

impl LoadSource {
    fn new(names: &[String]) -> Self {
        let upstreams = names.iter().map(|text| (text.clone(), short_id(&name(text))));
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
                *due = now + node.members.pace();
                for (text, upstream) in &self.upstreams {
                    if node.members.is_home(text) {
                        node.members.report(*upstream, report(now.as_millis()), now);
                    }
                }
                self.requests(&mut node.members);
            }
            net.run(Duration::from_millis(100));
            for node in net.nodes.values().filter(|node| node.listed.domain == name("a")) {
                for (_, upstream) in &self.upstreams {
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
        let count = (REQUESTS as f64 * members.pace().as_secs_f64()) as usize;
        for _ in 0..count {
            if self.upstreams.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.upstreams.len());
            let own = Own {
                running: self.rng.random_range(0..20),
                tokens: self.rng.random_range(0..50_000),
                sent: 1,
            };
            members.set_own(self.upstreams[index].1, own);
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
        net.submit(service(10 + number, "extra", number));
        let took = net.run_until(Duration::from_secs(30), |net| net.in_force(number + 2));
        longest = longest.max(took.map_or(f64::INFINITY, |took| took.as_secs_f64()));
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
fn join(net: &mut Net, list: &[Listed]) -> f64 {
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
    took.map_or(f64::INFINITY, |took| took.as_secs_f64())
}

/// Kills an instance; returns the time until it counts as failed everywhere, in seconds.
fn fail(net: &mut Net) -> f64 {
    net.kill("a-1");
    let size = domain(net).count();
    let gone = |net: &Net| domain(net).all(|node| node.members.alive().len() == size);
    let took = net.run_until(Duration::from_mins(1), gone);
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
        sum.messages += traffic.messages;
        sum.bytes += traffic.bytes;
        sum.cross_region += traffic.cross_region;
        sum
    })
}

fn difference(after: Traffic, before: Traffic) -> Traffic {
    Traffic {
        messages: after.messages - before.messages,
        bytes: after.bytes - before.bytes,
        cross_domain: after.cross_domain - before.cross_domain,
        cross_region: after.cross_region - before.cross_region,
    }
}

fn print_rows(rows: &[Row]) {
    println!(
        "one failure domain, per instance (CPU includes the links in memory; ages and times are of the clock passed in)"
    );
    println!(
        "{:>9} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>7} {:>9} {:>9} {:>9} {:>7} {:>7}",
        "instances",
        "msgs/s",
        "bytes/s",
        "region/s",
        "cpu %",
        "KiB",
        "calls/s",
        "age s",
        "B/ticket",
        "us/ticket",
        "in force",
        "join s",
        "fail s"
    );
    for row in rows {
        println!(
            "{:>9} {:>8.1} {:>8.0} {:>9.1} {:>8.4} {:>8.0} {:>9.2} {:>7.2} {:>9.0} {:>9.0} {:>9.2} {:>7.2} {:>7.2}",
            row.size,
            row.messages,
            row.bytes,
            row.cross_region,
            row.cpu * 100.0,
            row.memory / 1024.0,
            row.calls,
            row.age,
            row.ticket_bytes,
            row.ticket_cpu * 1e6,
            row.in_force,
            row.joined,
            row.failed,
        );
    }
}

/// A figure by name.
type Figure = (&'static str, fn(&Row) -> f64);

fn print_slopes(rows: &[Row]) {
    let figures: [Figure; 6] = [
        ("messages/s", |row| row.messages),
        ("bytes/s", |row| row.bytes),
        ("cpu %", |row| row.cpu * 100.0),
        ("memory KiB", |row| row.memory / 1024.0),
        ("bytes per ticket", |row| row.ticket_bytes),
        ("cpu us per ticket", |row| row.ticket_cpu * 1e6),
    ];
    println!("\nleast squares over the sizes: base + slope per instance of the failure domain");
    for (label, figure) in figures {
        let (base, slope) = fit(rows, figure);
        let mut line = String::new();
        write!(
            line,
            "{label:>18}: {base:.4} + {slope:.5} n; at 62: {:.4}",
            base + 62.0 * slope
        )
        .expect("strings take any text");
        println!("{line}");
    }
}

fn fit(rows: &[Row], figure: fn(&Row) -> f64) -> (f64, f64) {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.size as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(figure).sum::<f64>() / count;
    let (mut xy, mut xx) = (0.0, 0.0);
    for row in rows {
        let x = row.size as f64 - mean_x;
        xy += x * (figure(row) - mean_y);
        xx += x * x;
    }
    let slope = xy / xx;
    (mean_y - slope * mean_x, slope)
}

/// Processor time of this thread, in seconds.
fn cpu_time() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse::<f64>().ok());
    nanos.unwrap_or(0.0) / 1e9
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().split(' ').next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Processor time of sending and receiving one datagram, in microseconds.
fn datagram_cost() -> f64 {
    let bind = || UdpSocket::bind(("127.0.0.1", 0)).expect("a free port");
    let (from, to) = (bind(), bind());
    let address = to.local_addr().expect("bound");
    let (frame, mut buffer) = ([7; 200], [0; 2048]);
    let start = cpu_time();
    for _ in 0..DATAGRAMS {
        from.send_to(&frame, address).expect("sent");
        to.recv_from(&mut buffer).expect("received");
    }
    (cpu_time() - start) / f64::from(DATAGRAMS) * 1e6
}
