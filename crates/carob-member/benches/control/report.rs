//! The tables that are printed.

/// The figures of one size.
pub struct Row {
    pub size: usize,
    pub messages: f64,
    pub bytes: f64,
    pub cross_region: f64,
    pub cpu: f64,
    pub memory: f64,
    pub calls: f64,
    pub age: f64,
    pub ticket_bytes: f64,
    pub ticket_cpu: f64,
    pub in_force: f64,
    pub joined: f64,
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

pub fn print_slopes(rows: &[Row]) {
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
        println!(
            "{label:>18}: {base:.4} + {slope:.5} n; at 62: {:.4}",
            base + 62.0 * slope
        );
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
