//! One chart with axes, ticks, lines and a legend.

use std::fmt::Write as _;

/// Margins for labels around the plot area, in pixels.
const LEFT: f64 = 70.0;
const RIGHT: f64 = 110.0;
const TOP: f64 = 30.0;
const BOTTOM: f64 = 45.0;
/// Maximum number of intervals between the ticks of a linear axis.
const MAX_TICK_INTERVALS: f64 = 5.0;
/// Number of points above which a line is thinned out evenly.
const POINT_LIMIT: usize = 400;
/// Distance between the entries of the legend, in pixels.
const LEGEND_STEP: f64 = 16.0;
/// Panic message for writing to a string, which cannot fail.
const WRITES: &str = "strings take any text";

/// An axis of a chart; its range follows from the chart's points.
#[derive(Clone, Copy, Debug)]
pub struct Axis {
    /// Name and unit.
    pub label: &'static str,
    /// Whether the scale is logarithmic.
    pub logarithmic: bool,
}

/// One line of a chart.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Colour in SVG notation.
    pub colour: &'static str,
    /// Points (x, y) in the axes' units, in the order in which they are connected.
    pub points: Vec<(f64, f64)>,
}

/// A chart of lines over two axes.
#[derive(Clone, Debug)]
pub struct Chart {
    /// Heading above the plot area.
    pub title: &'static str,
    /// Horizontal axis.
    pub x: Axis,
    /// Vertical axis, which starts at 0 if it is linear.
    pub y: Axis,
    /// Lines in the order of the legend.
    pub lines: Vec<Line>,
}

impl Axis {
    /// Creates an axis with a linear scale.
    pub const fn linear(label: &'static str) -> Self {
        Self {
            label,
            logarithmic: false,
        }
    }

    /// Creates an axis with a logarithmic scale.
    pub const fn log(label: &'static str) -> Self {
        Self {
            label,
            logarithmic: true,
        }
    }

    /// Computes the scale that maps the range of `values` to the pixels `from` to `to`. A logarithmic scale
    /// ignores values that are not positive.
    fn scale(self, values: impl Iterator<Item = f64>, from: f64, to: f64) -> Scale {
        let (mut low, mut high) = values
            .filter(|value| !self.logarithmic || *value > 0.0)
            .fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
                (low.min(value), high.max(value))
            });
        if !low.is_finite() {
            (low, high) = (1.0, 10.0);
        }
        let ticks = if self.logarithmic {
            log_ticks(low, high)
        } else {
            linear_ticks(high)
        };
        low = ticks[0];
        high = ticks[ticks.len() - 1];
        Scale {
            logarithmic: self.logarithmic,
            low,
            high,
            from,
            to,
            ticks,
        }
    }
}

/// Evenly spaced ticks from 0 to the first one at or above `high`.
fn linear_ticks(high: f64) -> Vec<f64> {
    let min_step = (high / MAX_TICK_INTERVALS).max(1e-6);
    let power = 10_f64.powf(min_step.log10().floor());
    let factor = [1.0, 2.0, 5.0, 10.0]
        .into_iter()
        .find(|factor| factor * power >= min_step);
    let step = factor.unwrap_or(10.0) * power;
    let count = (high / step).ceil().max(1.0) as u32;
    (0..=count).map(|index| f64::from(index) * step).collect()
}

/// The powers of ten from the last one at or below `low` to the first one at or above `high`, at least two.
fn log_ticks(low: f64, high: f64) -> Vec<f64> {
    let first = low.log10().floor() as i32;
    let last = (high.log10().ceil() as i32).max(first + 1);
    (first..=last).map(|power| 10_f64.powi(power)).collect()
}

struct Scale {
    logarithmic: bool,
    low: f64,
    high: f64,
    from: f64,
    to: f64,
    ticks: Vec<f64>,
}

impl Scale {
    /// Maps `value` to its pixel.
    fn pixel(&self, value: f64) -> f64 {
        let fraction = if self.logarithmic {
            (value.max(self.low) / self.low).ln() / (self.high / self.low).ln()
        } else {
            (value - self.low) / (self.high - self.low)
        };
        self.from + fraction * (self.to - self.from)
    }
}

impl Chart {
    /// Draws the chart as an SVG group of `width` by `height` pixels, shifted down by `offset` pixels.
    pub fn svg_group(&self, offset: u32, width: u32, height: u32) -> String {
        let (right, bottom) = (f64::from(width) - RIGHT, f64::from(height) - BOTTOM);
        let points = || self.lines.iter().flat_map(|line| line.points.iter());
        let x = self.x.scale(points().map(|point| point.0), LEFT, right);
        let y = self.y.scale(points().map(|point| point.1), bottom, TOP);
        let mut svg = format!("<g transform=\"translate(0 {offset})\">\n");
        writeln!(
            svg,
            "<text x=\"{LEFT}\" y=\"18\" font-weight=\"bold\">{}</text>",
            escape(self.title)
        )
        .expect(WRITES);
        self.draw_axes(&mut svg, &x, &y);
        for (index, line) in self.lines.iter().enumerate() {
            draw_line(&mut svg, line, &x, &y);
            draw_legend_entry(
                &mut svg,
                line,
                right + 12.0,
                LEGEND_STEP.mul_add(index as f64, TOP + 10.0),
            );
        }
        svg.push_str("</g>\n");
        svg
    }

    fn draw_axes(&self, svg: &mut String, x: &Scale, y: &Scale) {
        let (left, right, bottom, top) = (x.from, x.to, y.from, y.to);
        for tick in &x.ticks {
            let at = x.pixel(*tick);
            writeln!(
                svg,
                "<line x1=\"{at:.1}\" y1=\"{top}\" x2=\"{at:.1}\" y2=\"{bottom}\" stroke=\"#dddddd\"/>"
            )
            .expect(WRITES);
            let below = bottom + 16.0;
            writeln!(
                svg,
                "<text x=\"{at:.1}\" y=\"{below}\" text-anchor=\"middle\">{}</text>",
                format_tick(*tick)
            )
            .expect(WRITES);
        }
        for tick in &y.ticks {
            let at = y.pixel(*tick);
            writeln!(
                svg,
                "<line x1=\"{left}\" y1=\"{at:.1}\" x2=\"{right}\" y2=\"{at:.1}\" stroke=\"#dddddd\"/>"
            )
            .expect(WRITES);
            let (aside, baseline) = (left - 6.0, at + 4.0);
            writeln!(
                svg,
                "<text x=\"{aside}\" y=\"{baseline:.1}\" text-anchor=\"end\">{}</text>",
                format_tick(*tick)
            )
            .expect(WRITES);
        }
        writeln!(
            svg,
            "<path d=\"M{left} {top}V{bottom}H{right}\" fill=\"none\" stroke=\"#333333\"/>"
        )
        .expect(WRITES);
        let (middle, below) = (f64::midpoint(left, right), bottom + 34.0);
        writeln!(
            svg,
            "<text x=\"{middle}\" y=\"{below}\" text-anchor=\"middle\">{}</text>",
            escape(self.x.label)
        )
        .expect(WRITES);
        let centre = f64::midpoint(top, bottom);
        writeln!(
            svg,
            "<text transform=\"translate(16 {centre}) rotate(-90)\" text-anchor=\"middle\">{}</text>",
            escape(self.y.label)
        )
        .expect(WRITES);
    }
}

fn draw_line(svg: &mut String, line: &Line, x: &Scale, y: &Scale) {
    let step = line.points.len().div_ceil(POINT_LIMIT).max(1);
    let last = line.points.len().saturating_sub(1);
    let points = line
        .points
        .iter()
        .enumerate()
        .filter(|(index, _)| index % step == 0 || *index == last)
        .map(|(_, point)| format!("{:.1},{:.1}", x.pixel(point.0), y.pixel(point.1)))
        .collect::<Vec<_>>();
    writeln!(
        svg,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>",
        points.join(" "),
        line.colour
    )
    .expect(WRITES);
}

fn draw_legend_entry(svg: &mut String, line: &Line, x: f64, y: f64) {
    let (end, text) = (x + 14.0, x + 18.0);
    let baseline = y + 4.0;
    writeln!(
        svg,
        "<line x1=\"{x}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"{}\" stroke-width=\"3\"/>\n\
         <text x=\"{text}\" y=\"{baseline}\">{}</text>",
        line.colour,
        escape(&line.name)
    )
    .expect(WRITES);
}

/// Formats the number of a tick with up to four decimal places, without trailing zeros.
fn format_tick(value: f64) -> String {
    let text = format!("{value:.4}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
