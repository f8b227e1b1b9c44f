//! Repeats at a service's upstreams, counted over all instances and sliding windows.

use std::{collections::BTreeMap, fmt};

use crate::Record;

/// Two lines belong to the same process if its start differs by less than this between them; uptimes are
/// rounded, and clocks are slewed.
const SAME_START_MS: i64 = 1_000;

/// Counts by a key, such as a reason.
type Counts<K> = BTreeMap<K, u64>;

/// A process: the instance, and which of its processes in the logs, counted from 1.
type Life = (String, usize);

/// What the instances did for a service in one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// Start of the window, on the clock that the records were aligned to.
    pub start_ms: i64,
    /// Requests that were sent to an upstream for the first time.
    pub first_sends: u64,
    /// Repeats by reason.
    pub repeats: Counts<String>,
    /// Repeats by instance, and by its processes in the order of their starts, counted from 1.
    pub lives: Counts<(String, usize)>,
    /// Repeats that the budget did not permit, by reason.
    pub denied: Counts<String>,
    /// Smallest and largest number of instances that the fixed part of the budget was divided among.
    pub instances: Option<(u64, u64)>,
}

impl Window {
    /// Number of repeats.
    pub fn total(&self) -> u64 {
        self.repeats.values().sum()
    }

    fn add(&mut self, record: &Record, life: Life) {
        let reason = record.text("reason");
        match record.message.as_str() {
            "sent to an upstream" if record.field_is("attempts_before", "0") => self.first_sends += 1,
            "request sent again" => {
                *self.repeats.entry(reason).or_default() += 1;
                *self.lives.entry(life).or_default() += 1;
                self.add_instances(record);
            }
            "no retry: the budget is spent" => {
                *self.denied.entry(reason).or_default() += 1;
                self.add_instances(record);
            }
            _ => {}
        }
    }

    fn add_instances(&mut self, record: &Record) {
        if let Some(count) = record.fields.get("instances").and_then(serde_json::Value::as_u64) {
            let (least, most) = self.instances.unwrap_or((count, count));
            self.instances = Some((least.min(count), most.max(count)));
        }
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "first sends {}; repeats {}", self.first_sends, self.total())?;
        write_counts(f, &self.repeats)?;
        write!(f, "; denied {}", self.denied.values().sum::<u64>())?;
        write_counts(f, &self.denied)?;
        if let Some((least, most)) = self.instances {
            write!(f, "; share of {least} to {most} instances")?;
        }
        let mut instances: BTreeMap<&str, Vec<(usize, u64)>> = BTreeMap::new();
        for ((name, life), count) in &self.lives {
            instances.entry(name).or_default().push((*life, *count));
        }
        for (name, lives) in instances {
            let total: u64 = lives.iter().map(|(_, count)| count).sum();
            let lives: Vec<String> = lives
                .iter()
                .map(|(life, count)| format!("process {life}: {count}"))
                .collect();
            write!(f, "\n    {name:<24} {total} ({})", lives.join(", "))?;
        }
        Ok(())
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, counts: &Counts<String>) -> fmt::Result {
    if counts.is_empty() {
        return Ok(());
    }
    let parts: Vec<String> = counts
        .iter()
        .map(|(key, count)| format!("{key} {count}"))
        .collect();
    write!(f, " ({})", parts.join(", "))
}

/// Returns the windows of `length_ms`, at least 1, with the most repeats for `service`, most first: at most
/// `limit`, which do not overlap. `records` are those of all instances, in the order of their times.
pub fn windows(records: &[Record], service: &str, length_ms: i64, limit: usize) -> Vec<Window> {
    let length_ms = length_ms.max(1);
    let starts = process_starts(records);
    let of_service: Vec<&Record> = records
        .iter()
        .filter(|record| record.field_is("service", service))
        .collect();
    let repeats: Vec<i64> = of_service
        .iter()
        .filter(|record| record.message == "request sent again")
        .map(|record| record.time_ms)
        .collect();
    // The window with the most repeats starts with one.
    let mut candidates: Vec<(usize, i64)> = repeats
        .iter()
        .enumerate()
        .map(|(index, start)| {
            let end = repeats.partition_point(|time| *time < start + length_ms);
            (end - index, *start)
        })
        .collect();
    candidates.sort_by_key(|(count, start)| (std::cmp::Reverse(*count), *start));
    let mut chosen: Vec<i64> = Vec::new();
    for (_, start) in candidates {
        if chosen.len() < limit && chosen.iter().all(|other| (other - start).abs() >= length_ms) {
            chosen.push(start);
        }
    }
    chosen
        .into_iter()
        .map(|start_ms| {
            let mut window = Window {
                start_ms,
                ..Window::default()
            };
            let from = of_service.partition_point(|record| record.time_ms < start_ms);
            let to = of_service.partition_point(|record| record.time_ms < start_ms + length_ms);
            for record in &of_service[from..to] {
                window.add(record, life(record, &starts));
            }
            window
        })
        .collect()
}

/// Returns the number of lines that the instances did not write, to bound their volume.
pub fn dropped_lines(records: &[Record]) -> u64 {
    records
        .iter()
        .filter(|record| record.message == "log lines were dropped to bound their volume")
        .filter_map(|record| record.fields.get("lines")?.as_u64())
        .sum()
}

fn start_ms(record: &Record) -> i64 {
    record.time_ms - record.uptime_ms as i64
}

/// Returns the starts of each instance's processes, earliest first.
fn process_starts(records: &[Record]) -> BTreeMap<&str, Vec<i64>> {
    let mut starts: BTreeMap<&str, Vec<i64>> = BTreeMap::new();
    for record in records {
        starts.entry(&record.instance).or_default().push(start_ms(record));
    }
    for found in starts.values_mut() {
        found.sort_unstable();
        let mut last = None;
        found.retain(|start| {
            let differs = last.is_none_or(|last| start - last >= SAME_START_MS);
            last = Some(*start);
            differs
        });
    }
    starts
}

fn life(record: &Record, starts: &BTreeMap<&str, Vec<i64>>) -> Life {
    let number = starts.get(record.instance.as_str()).map_or(0, |starts| {
        starts.partition_point(|start| *start <= start_ms(record))
    });
    (record.instance.clone(), number)
}
