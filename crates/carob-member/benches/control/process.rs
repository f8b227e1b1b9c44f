//! Instances as separate processes, over UDP on loopback and with the system clock.

use std::{
    env,
    io::{self, BufRead as _, BufReader, Write as _},
    net::{SocketAddr, UdpSocket},
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use carob_base::{Clock, Time};
use carob_config::short_id;
use carob_link::{Key, Opener, Sealer};
use carob_member::{Action, Actions, Datagram, Event, ListEntry, Members, Options};

use crate::{
    common::{TICK, list_entry},
    report_load,
    usage::{cpu_time, resident},
};

/// Argument that makes a process run as an instance; the instance's index follows it.
const CHILD: &str = "--instance";
/// Time in which the instances discover each other, before the measurement.
const WARM_UP: Duration = Duration::from_secs(3);
/// Number of instances at which a failure domain has [`DOMAIN_UPSTREAMS`](crate::DOMAIN_UPSTREAMS) upstreams.
const FULL_DOMAIN: usize = 62;
/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(5);

/// Whether this process was started as an instance.
pub fn is_child() -> bool {
    env::args().any(|argument| argument == CHILD)
}

/// Runs fleets of `sizes` processes and prints the mean cost of one process, which runs the membership only:
/// no traffic and no configuration.
pub fn measure(sizes: &[usize]) {
    println!("\nprocesses over loopback, per instance: control thread alone, without configuration");
    println!(
        "{:>9} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "instances", "alive", "msgs/s", "bytes/s", "cpu %", "KiB"
    );
    for size in sizes {
        let sums = fleet(*size);
        let mean = |index: usize| sums[index] / *size as f64;
        println!(
            "{size:>9} {:>8.1} {:>8.1} {:>8.0} {:>8.3} {:>8.0}",
            mean(0),
            mean(1),
            mean(2),
            mean(3) * 100.0,
            mean(4) / 1024.0
        );
    }
}

/// Runs `size` processes; returns the sums of the figures that they print, in the order of
/// [`Instance::serve`].
fn fleet(size: usize) -> [f64; 5] {
    let program = env::current_exe().expect("a benchmark has a path");
    let mut children: Vec<_> = (0..size)
        .map(|index| {
            let child = Command::new(&program)
                .args([CHILD, &index.to_string()])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .expect("the process starts");
            Process::new(child)
        })
        .collect();
    let addresses: Vec<_> = children.iter_mut().map(Process::read_line).collect();
    for process in &mut children {
        process.write_line(&addresses.join(" "));
    }
    let mut sums = [0.0; 5];
    for process in &mut children {
        let line = process.read_line();
        for (sum, field) in sums.iter_mut().zip(line.split(' ')) {
            *sum += field.parse::<f64>().expect("a figure");
        }
    }
    children.into_iter().for_each(Process::close);
    sums
}

struct Process {
    child: Child,
    output: BufReader<std::process::ChildStdout>,
}

impl Process {
    fn new(mut child: Child) -> Self {
        let output = BufReader::new(child.stdout.take().expect("piped"));
        Self { child, output }
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.output
            .read_line(&mut line)
            .expect("the process prints a line");
        line.trim().to_owned()
    }

    fn write_line(&mut self, line: &str) {
        let input = self.child.stdin.as_mut().expect("piped");
        writeln!(input, "{line}").expect("the process reads its input");
    }

    fn close(mut self) {
        self.child.wait().expect("the process ends");
    }
}

/// Runs one instance: prints its address, reads the addresses of all instances and prints its figures.
pub fn run() {
    let index = env::args().skip_while(|argument| argument != CHILD).nth(1);
    let index: usize = index.and_then(|text| text.parse().ok()).expect("an index");
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a free port");
    println!("{}", socket.local_addr().expect("bound"));
    let mut line = String::new();
    io::stdin().read_line(&mut line).expect("the addresses");
    // The platform's instance list, with all instances in one failure domain.
    let list: Vec<_> = line
        .split_whitespace()
        .enumerate()
        .map(|(index, address)| ListEntry {
            address: address.parse().expect("an address"),
            ..list_entry(index, "a", "a")
        })
        .collect();
    Instance::new(socket, &list[index], list.len()).serve(list);
}

struct Instance {
    socket: UdpSocket,
    members: Members,
    sealer: Sealer,
    opener: Opener,
    clock: Clock,
    upstreams: usize,
}

impl Instance {
    fn new(socket: UdpSocket, own: &ListEntry, count: usize) -> Self {
        let id = short_id(&own.name);
        let options = Options::new(
            own.name.clone(),
            own.domain.clone(),
            own.region.clone(),
            own.address,
        );
        let key = Key::new(b"benchmark");
        Self {
            socket,
            members: Members::new(options.with_seed(u64::from(id))),
            sealer: Sealer::new(key.clone(), id, 1),
            opener: Opener::new(key, id),
            clock: Clock::new(),
            upstreams: crate::DOMAIN_UPSTREAMS * count / FULL_DOMAIN,
        }
    }

    /// Runs the measurement and prints the instances alive, datagrams/s, bytes/s, the share of one CPU and
    /// the resident memory in bytes.
    fn serve(mut self, list: Vec<ListEntry>) {
        self.step(Event::List(list));
        self.run_until(Time::ZERO + WARM_UP);
        let (traffic, cpu) = (self.members.traffic(), cpu_time());
        self.run_until(Time::ZERO + WARM_UP + MEASURED);
        let seconds = MEASURED.as_secs_f64();
        let after = self.members.traffic();
        println!(
            "{} {} {} {} {}",
            self.members.alive_ids().len(),
            (after.datagrams - traffic.datagrams) as f64 / seconds,
            (after.bytes - traffic.bytes) as f64 / seconds,
            (cpu_time() - cpu) / seconds,
            resident(),
        );
    }

    fn run_until(&mut self, end: Time) {
        let mut next_tick = self.clock.now();
        let mut next_poll = next_tick;
        let mut buffer = [0; 2_048];
        while self.clock.now() < end {
            let now = self.clock.now();
            if now >= next_poll {
                next_poll = now + self.members.gossip_interval();
                report_load(&mut self.members, self.upstreams, now);
            }
            if now >= next_tick {
                next_tick = next_tick + TICK;
                self.step(Event::Tick);
            }
            let wait = next_tick.since(self.clock.now()).max(Duration::from_millis(1));
            self.socket.set_read_timeout(Some(wait)).expect("a positive time");
            if let Ok((count, source)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..count], source);
            }
        }
    }

    fn receive(&mut self, frame: &[u8], source: SocketAddr) {
        let Ok(opened) = self.opener.open(&Bytes::copy_from_slice(frame)) else {
            return;
        };
        self.step(Event::Datagram(Datagram {
            from: opened.from,
            incarnation: opened.incarnation,
            source,
            body: opened.body,
        }));
    }

    fn step(&mut self, event: Event) {
        let actions: Actions = self.members.step(event, self.clock.now());
        for action in actions {
            if let Action::Send { to, body } = action {
                let frame = self.sealer.seal(to.id, &body);
                // Sending fails if the other process has ended, which membership detects by itself.
                let _sent = self.socket.send_to(&frame, to.address);
            }
        }
    }
}
