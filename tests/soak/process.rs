//! What the kernel knows of a process that outlives its grace: whether it waits for the processor, for the disk or
//! for nothing.

use std::fs;

/// Position of the state in `/proc/PID/stat`, after the name in parentheses; user and system time follow.
const STATE: usize = 0;
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// Describes the threads of a process, one a line: name, state, ticks of processor time, milliseconds on a processor
/// and waiting for one, and the kernel function that it waits in. The first line is the machine's load.
pub fn describe(id: u32) -> Vec<String> {
    let mut lines = vec![format!("load average {}", read("/proc/loadavg"))];
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return lines;
    };
    for thread in threads.flatten() {
        let path = thread.path();
        let file = |name: &str| read(&path.join(name).to_string_lossy());
        let stat = file("stat");
        let fields: Vec<&str> = stat
            .rsplit_once(") ")
            .map_or("", |(_, fields)| fields)
            .split(' ')
            .collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or("?");
        let schedule = file("schedstat");
        let mut times = schedule
            .split(' ')
            .map(|nanos| nanos.parse().map_or(0, |nanos: u64| nanos / 1_000_000));
        let (ran, waited) = (times.next().unwrap_or(0), times.next().unwrap_or(0));
        lines.push(format!(
            "thread {}: state {}, {}+{} ticks, ran {ran} ms, waited for a processor {waited} ms, in {}, stack {:?}",
            file("comm"),
            field(STATE),
            field(USER_TICKS),
            field(SYSTEM_TICKS),
            file("wchan"),
            file("stack"),
        ));
    }
    lines
}

/// Contents of a file without its last line break; empty if it cannot be read.
fn read(path: &str) -> String {
    fs::read_to_string(path).map_or_else(|_| String::new(), |text| text.trim_end().to_owned())
}
