//! Distributions of prompt and answer lengths.

use std::{fmt::Debug, str::FromStr};

use rand::{Rng, RngExt as _};
use rand_distr::{Distribution as _, LogNormal, Pareto};

/// A distribution of lengths.
///
/// The text format is the kind followed by its parameters: `fixed N`, `uniform LOW HIGH`, `lognormal MEDIAN
/// SIGMA MOST` or `pareto LEAST SHAPE MOST`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LengthDistribution {
    /// The same length always.
    Fixed(u32),
    /// Uniform distribution over a range, both ends included.
    Uniform {
        /// Shortest length.
        low: u32,
        /// Longest length.
        high: u32,
    },
    /// Log-normal distribution: most lengths are near the median, a few are far longer.
    LogNormal {
        /// Median length.
        median: u32,
        /// Standard deviation of the length's natural logarithm.
        sigma: f64,
        /// Maximum; longer lengths are clamped to it.
        max: u32,
    },
    /// Pareto distribution, with a power-law tail.
    Pareto {
        /// Shortest length.
        min: u32,
        /// Exponent of the tail; a smaller exponent gives a heavier tail.
        shape: f64,
        /// Maximum; longer lengths are clamped to it.
        max: u32,
    },
}

// The parser rejects parameters that are not finite, so that equality is reflexive.
impl Eq for LengthDistribution {}

impl LengthDistribution {
    /// Draws a length, which is at least 1.
    pub fn sample(&self, rng: &mut impl Rng) -> u32 {
        let length = match *self {
            Self::Fixed(length) => length,
            Self::Uniform { low, high } => rng.random_range(low..=high),
            Self::LogNormal { median, sigma, max } => clamp(
                expect_valid(LogNormal::new(f64::from(median).ln(), sigma)).sample(rng),
                max,
            ),
            Self::Pareto { min, shape, max } => {
                clamp(expect_valid(Pareto::new(f64::from(min), shape)).sample(rng), max)
            }
        };
        length.max(1)
    }
}

/// Unwraps a distribution, whose parameters the parser has checked.
fn expect_valid<D, E: Debug>(distribution: Result<D, E>) -> D {
    distribution.expect("the figures of a size are checked")
}

fn clamp(length: f64, max: u32) -> u32 {
    length.min(f64::from(max)).round() as u32
}

impl FromStr for LengthDistribution {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let words = text.split_whitespace().collect::<Vec<_>>();
        match words[..] {
            ["fixed", length] => Ok(Self::Fixed(positive_integer(length)?)),
            ["uniform", low, high] => {
                let (low, high) = (positive_integer(low)?, positive_integer(high)?);
                (low <= high).then_some(Self::Uniform { low, high }).ok_or(())
            }
            ["lognormal", median, sigma, max] => Ok(Self::LogNormal {
                median: positive_integer(median)?,
                sigma: positive_number(sigma)?,
                max: positive_integer(max)?,
            }),
            ["pareto", min, shape, max] => Ok(Self::Pareto {
                min: positive_integer(min)?,
                shape: positive_number(shape)?,
                max: positive_integer(max)?,
            }),
            _ => Err(()),
        }
    }
}

fn positive_integer(text: &str) -> Result<u32, ()> {
    text.parse().ok().filter(|number| *number > 0).ok_or(())
}

fn positive_number(text: &str) -> Result<f64, ()> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number > 0.0)
        .ok_or(())
}
