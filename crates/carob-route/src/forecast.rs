//! Memory predicted ahead in time.
//!
//! All requests of a batch grow by one token per step, so the horizon is counted in tokens. At each horizon an
//! upstream's memory is a sum of independent terms, one per request: its prompt and tokens if it is still alive then,
//! nothing otherwise. Means and variances add up; the peak over the horizons at a number of deviations above the mean
//! is what has to fit.

use crate::length::SurvivalTable;

/// Tokens ahead at which memory is predicted.
pub const HORIZONS: [u32; 8] = [1, 32, 96, 256, 640, 1_600, 4_000, 12_000];

/// Predicted memory at each of the [`HORIZONS`], in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryForecast {
    mean: [f32; HORIZONS.len()],
    variance: [f32; HORIZONS.len()],
}

/// Probability that a random request in progress is still alive at each of the [`HORIZONS`].
pub type ResidualSurvival = [f32; HORIZONS.len()];

impl MemoryForecast {
    /// The memory of one request with `prompt` and `produced` tokens whose answer ends at `cap` at the latest.
    pub fn of_request(table: SurvivalTable<'_>, prompt: u32, produced: u32, cap: u32) -> Self {
        let mut curve = Self::default();
        // An answer beyond every length seen so far is taken to go on.
        let known = table.survival(produced).max(f32::MIN_POSITIVE);
        for (k, &ahead) in HORIZONS.iter().enumerate() {
            let length = produced.saturating_add(ahead);
            if length > cap.max(produced + 1) {
                break;
            }
            let alive = if k == 0 {
                1.0
            } else {
                (table.survival(length) / known).min(1.0)
            };
            let size = (prompt + length) as f32;
            curve.mean[k] = size * alive;
            curve.variance[k] = size * size * alive * (1.0 - alive);
        }
        curve
    }

    /// The memory of one request whose answer is certain to have `length` tokens.
    pub fn of_known(prompt: u32, produced: u32, length: u32) -> Self {
        let mut curve = Self::default();
        for (k, &ahead) in HORIZONS.iter().enumerate() {
            if k == 0 || produced + ahead <= length {
                curve.mean[k] = (prompt + produced + ahead) as f32;
            }
        }
        curve
    }

    /// The memory of `count` requests of unknown age that hold `tokens` together.
    pub fn of_background(residual: &ResidualSurvival, count: f32, tokens: f32) -> Self {
        let mut curve = Self::default();
        if count <= 0.0 {
            return curve;
        }
        for (k, &ahead) in HORIZONS.iter().enumerate() {
            let alive = residual[k];
            let size = tokens / count + ahead as f32;
            curve.mean[k] = count * size * alive;
            curve.variance[k] = count * size * size * alive * (1.0 - alive);
        }
        curve
    }

    /// Adds another curve.
    pub fn add(&mut self, other: &Self) {
        for k in 0..HORIZONS.len() {
            self.mean[k] += other.mean[k];
            self.variance[k] += other.variance[k];
        }
    }

    /// Takes off a curve that was added before, perhaps with other figures.
    pub fn subtract(&mut self, other: &Self) {
        for k in 0..HORIZONS.len() {
            self.mean[k] = (self.mean[k] - other.mean[k]).max(0.0);
            self.variance[k] = (self.variance[k] - other.variance[k]).max(0.0);
        }
    }

    /// The highest memory over the horizons, `caution` deviations above the mean.
    pub fn peak(&self, caution: f32) -> f32 {
        let at = |k: usize| self.mean[k] + caution * self.variance[k].max(0.0).sqrt();
        (0..HORIZONS.len()).map(at).fold(0.0, f32::max)
    }

    /// Memory at the nearest horizon.
    pub fn near(&self) -> f32 {
        self.mean[0]
    }
}

/// The residual survival of requests in progress whose answers follow `table`, by the renewal theorem.
pub fn residual_survival(table: SurvivalTable<'_>) -> ResidualSurvival {
    const STEPS: u32 = 96;
    const LIMIT: f32 = 17.0;
    // Integrates the survival over lengths on a logarithmic grid, and its tail beyond each horizon.
    let point = |step: u32| (LIMIT * step as f32 / STEPS as f32).exp2() as u32 - 1;
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
