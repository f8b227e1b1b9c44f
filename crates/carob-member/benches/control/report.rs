//! Printed tables and least-squares fits.

/// Results at one size, per instance where not said otherwise.
pub struct Row {
    pub size: usize,
    /// Datagrams sent per second.
    pub datagrams: f64,
    /// Bytes sent per second.
    pub bytes: f64,
    /// Bytes sent to other regions per second.
    pub cross_region: f64,
    /// Share of one CPU.
    pub cpu: f64,
    /// Bytes of resident memory.
    pub memory: f64,
    /// Calls to the store per second, of the whole fleet.
    pub calls: f64,
    /// Mean age of a load report, in seconds.
    pub age: f64,
    /// Bytes sent for one ticket above the steady state.
    pub ticket_bytes: f64,
    /// CPU time for one ticket above the steady state, in seconds.
    pub ticket_cpu: f64,
    /// Longest time until a ticket was in force everywhere, in seconds.
    pub in_force: f64,
    /// Time until a restarted instance was known to all and ready, in seconds.
    pub joined: f64,
    /// Time until a killed instance counted as failed everywhere, in seconds.
    pub failed: f64,
}

pub fn print_rows(rows: &[Row]) {
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
            row.datagrams,
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

/// A label and the column that it stands for.
type Figure = (&'static str, fn(&Row) -> f64);

pub fn print_slopes(rows: &[Row]) {
    let figures: [Figure; 6] = [
        ("messages/s", |row| row.datagrams),
        ("bytes/s", |row| row.bytes),
        ("cpu %", |row| row.cpu * 100.0),
        ("memory KiB", |row| row.memory / 1024.0),
        ("bytes per ticket", |row| row.ticket_bytes),
        ("cpu us per ticket", |row| row.ticket_cpu * 1e6),
    ];
    println!("\nleast squares over the sizes: base + slope per instance of the failure domain");
    for (label, figure) in figures {
        let (base, slope) = fit(rows, figure);
        println!(
            "{label:>18}: {base:.4} + {slope:.5} n; at 62: {:.4}",
            base + 62.0 * slope
        );
    }
}

/// Least-squares fit of a column over the size: intercept and slope.
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
