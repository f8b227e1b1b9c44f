//! Forecast of an upstream's memory.
//!
//! All requests of a batch grow by one token per step, so the horizons are counted in tokens. At each horizon
//! the memory is a sum of independent terms, one per request: its prompt and tokens if it is still running
//! then, zero otherwise. Means and variances add up. What has to fit is the maximum over the horizons of the
//! mean plus a safety margin, given as a number of standard deviations.

use crate::length::SurvivalTable;

/// Horizons of the forecast, in tokens from now.
pub const HORIZONS: [u32; 8] = [1, 32, 96, 256, 640, 1_600, 4_000, 12_000];

/// Mean and variance of memory at each of the [`HORIZONS`], in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryForecast {
    mean: [f32; HORIZONS.len()],
    variance: [f32; HORIZONS.len()],
}

/// Probability that a running request of unknown age is still running at each of the [`HORIZONS`].
pub type ResidualSurvival = [f32; HORIZONS.len()];

impl MemoryForecast {
    /// Memory of one request with a prompt of `prompt` tokens and `produced` answer tokens so far, whose
    /// answer has at most `max_tokens`.
    pub fn of_request(table: SurvivalTable<'_>, prompt: u32, produced: u32, max_tokens: u32) -> Self {
        let mut forecast = Self::default();
        // An answer that is longer than any observed before is assumed to go on.
        let current = table.survival(produced).max(f32::MIN_POSITIVE);
        for (k, &ahead) in HORIZONS.iter().enumerate() {
            let length = produced.saturating_add(ahead);
            if length > max_tokens.max(produced + 1) {
                break;
            }
            let survival = if k == 0 {
                1.0
            } else {
                (table.survival(length) / current).min(1.0)
            };
            let size = (prompt + length) as f32;
            forecast.mean[k] = size * survival;
            forecast.variance[k] = size * size * survival * (1.0 - survival);
        }
        forecast
    }

    /// Memory of one request whose answer is certain to have `length` tokens.
    pub fn of_known(prompt: u32, produced: u32, length: u32) -> Self {
        let mut forecast = Self::default();
        for (k, &ahead) in HORIZONS.iter().enumerate() {
            if k == 0 || produced + ahead <= length {
                forecast.mean[k] = (prompt + produced + ahead) as f32;
            }
        }
        forecast
    }

    /// Memory of `count` requests of unknown age that hold `tokens` tokens in total.
    pub fn of_background(residual: &ResidualSurvival, count: f32, tokens: f32) -> Self {
        let mut forecast = Self::default();
        if count <= 0.0 {
            return forecast;
        }
        for (k, &ahead) in HORIZONS.iter().enumerate() {
            let survival = residual[k];
            let size = tokens / count + ahead as f32;
            forecast.mean[k] = count * size * survival;
            forecast.variance[k] = count * size * size * survival * (1.0 - survival);
        }
        forecast
    }

    /// Adds another forecast.
    pub fn add(&mut self, other: &Self) {
        for k in 0..HORIZONS.len() {
            self.mean[k] += other.mean[k];
            self.variance[k] += other.variance[k];
        }
    }

    /// Subtracts a forecast that was added before. Its figures may have changed since, so results are clamped
    /// at zero.
    pub fn subtract(&mut self, other: &Self) {
        for k in 0..HORIZONS.len() {
            self.mean[k] = (self.mean[k] - other.mean[k]).max(0.0);
            self.variance[k] = (self.variance[k] - other.variance[k]).max(0.0);
        }
    }

    /// Maximum over the horizons of the mean plus `margin` standard deviations, in tokens.
    pub fn peak(&self, margin: f32) -> f32 {
        let at = |k: usize| self.mean[k] + margin * self.variance[k].max(0.0).sqrt();
        (0..HORIZONS.len()).map(at).fold(0.0, f32::max)
    }

    /// Mean memory at the nearest horizon, in tokens.
    pub fn nearest(&self) -> f32 {
        self.mean[0]
    }
}

/// Residual survival of running requests whose answer lengths follow `table`, by the renewal theorem.
pub fn residual_survival(table: SurvivalTable<'_>) -> ResidualSurvival {
    /// Grid intervals.
    const STEPS: u32 = 96;
    /// Binary logarithm of the end of the grid.
    const LOG_LIMIT: f32 = 17.0;
    // Integrates survival over the answer length on a logarithmic grid, in total and beyond each horizon.
    let point = |step: u32| (LOG_LIMIT * step as f32 / STEPS as f32).exp2() as u32 - 1;
    let mut total = 0.0;
    let mut tails = [0.0; HORIZONS.len()];
    for step in 0..STEPS {
        let (start, end) = (point(step), point(step + 1));
        let area = (end - start) as f32 * table.survival(u32::midpoint(start, end));
        total += area;
        for (tail, &ahead) in tails.iter_mut().zip(&HORIZONS) {
            if start >= ahead {
                *tail += area;
            }
        }
    }
    tails.map(|tail| if total > 0.0 { tail / total } else { 0.0 })
}
