//! SVG images of reports: latency over time and distributions of latencies.
//!
//! * [`chart`]: one chart with axes, ticks, lines and a legend.

pub mod chart;

use chart::{Axis, Chart, Line};

use crate::{
    Report,
    durations::DurationHistogram,
    measure::{WINDOW_LENGTH, WindowStats},
};

/// Width of the image, in pixels.
const WIDTH: u32 = 860;
/// Height of one chart, in pixels.
const HEIGHT: u32 = 260;
/// Names, values and colours of the quantiles over time.
const QUANTILES: [(&str, f64, &str); 3] = [
    ("p50", 0.5, "#2a6f97"),
    ("p95", 0.95, "#e09f3e"),
    ("p99", 0.99, "#9e2a2b"),
];
/// Colours of the runs in a chart, repeated if there are more runs.
const COLOURS: [&str; 6] = ["#2a6f97", "#9e2a2b", "#e09f3e", "#588157", "#6d597a", "#444444"];

/// Draws one run: time to the first token and gaps over time, and the distribution of gaps.
pub fn svg(report: &Report) -> String {
    let time_chart = |title, histogram: fn(&WindowStats) -> &DurationHistogram| Chart {
        title,
        x: Axis::linear("time since the start, s"),
        y: Axis::linear("ms"),
        lines: QUANTILES
            .iter()
            .map(|(name, quantile, colour)| Line {
                name: (*name).to_owned(),
                colour,
                points: over_time(&report.windows, histogram, *quantile),
            })
            .collect(),
    };
    let charts = [
        time_chart("Time to the first token", |window| &window.first_token),
        time_chart("Gap between tokens", |window| &window.gaps),
        gap_chart(&[(report.name.as_str(), report)]),
    ];
    image(&charts)
}

/// Draws the distributions of the time to the first token and of gaps in several runs.
pub fn compare_svg(runs: &[(&str, &Report)]) -> String {
    let first = Chart {
        title: "Distribution of the time to the first token",
        x: Axis::log("time to the first token, ms"),
        y: Axis::linear("share of answers, %"),
        lines: distributions(runs, |report| &report.total.first_token),
    };
    image(&[first, gap_chart(runs)])
}

fn gap_chart(runs: &[(&str, &Report)]) -> Chart {
    Chart {
        title: "Distribution of gaps between tokens",
        x: Axis::log("gap, ms"),
        y: Axis::linear("share of gaps, %"),
        lines: distributions(runs, |report| &report.total.gaps),
    }
}

fn distributions(runs: &[(&str, &Report)], histogram: fn(&Report) -> &DurationHistogram) -> Vec<Line> {
    runs.iter()
        .zip(COLOURS.iter().cycle())
        .map(|((name, report), colour)| Line {
            name: (*name).to_owned(),
            colour,
            points: histogram(report)
                .cumulative()
                .into_iter()
                .map(|(value, share)| (value.as_secs_f64() * 1e3, share * 100.0))
                .collect(),
        })
        .collect()
}

fn over_time(
    windows: &[WindowStats],
    histogram: fn(&WindowStats) -> &DurationHistogram,
    quantile: f64,
) -> Vec<(f64, f64)> {
    let window_middle = |index: usize| (index as f64 + 0.5) * WINDOW_LENGTH.as_secs_f64();
    windows
        .iter()
        .enumerate()
        .filter_map(|(index, window)| {
            let value = histogram(window).quantile(quantile)?;
            Some((window_middle(index), value.as_secs_f64() * 1e3))
        })
        .collect()
}

/// Arranges charts one below the other.
fn image(charts: &[Chart]) -> String {
    let height = HEIGHT * charts.len() as u32;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         viewBox=\"0 0 {WIDTH} {height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n"
    );
    for (index, chart) in charts.iter().enumerate() {
        svg.push_str(&chart.svg_group(HEIGHT * index as u32, WIDTH, HEIGHT));
    }
    svg.push_str("</svg>\n");
    svg
}
