//! Arithmetic for the decision module: units of time, hashes that all routers compute
//! alike, decaying values, and least squares. This module makes no decisions.

use crate::interface::Micros;
use std::collections::VecDeque;

/// Converts a duration to seconds.
pub fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// Converts seconds to microseconds. A negative duration becomes 0.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6) as Micros
}

/// Returns a hash of two numbers with evenly distributed bits. All routers compute the same hash.
pub fn hash_pair(first: u64, second: u64) -> u64 {
    let bits = (first ^ second.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 31)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> 32)
}

/// Returns a hash of a text. All routers compute the same hash.
pub fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0, |hash, byte| hash_pair(hash, u64::from(byte)))
}

/// Converts the bits of a hash to a fraction in [0, 1).
pub fn hash_fraction(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// A value that decays exponentially to 0 from the time of its last update.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingValue {
    value: f64,
    updated_at: Micros,
}

impl DecayingValue {
    /// Creates a value that has been observed now.
    pub fn observed(value: f64, now: Micros) -> Self {
        Self { value, updated_at: now }
    }

    /// Returns the decayed value, moved toward a new sample by the sample's weight.
    pub fn toward(self, sample: f64, weight: f64, now: Micros, time_constant_s: f64) -> Self {
        let decayed = self.decayed(now, time_constant_s);
        Self::observed(decayed + weight * (sample - decayed), now)
    }

    /// Returns the value after its decay until now. After each time constant, 1/e of the value remains.
    pub fn decayed(&self, now: Micros, time_constant_s: f64) -> f64 {
        self.value * (-seconds(now.saturating_sub(self.updated_at)) / time_constant_s).exp()
    }
}

/// The mean over time of a value that changes in steps. Earlier times have less weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeWeightedMean {
    value: f64,
    updated_at: Micros,
    /// Decayed integrals over time: first of 1, then of the value.
    sums: [f64; 2],
}

impl TimeWeightedMean {
    /// Sets the value from now on. After each time constant, the weight of an earlier time falls to 1/e.
    pub fn set(&mut self, now: Micros, value: f64, time_constant_s: f64) {
        let previous_update = if self.updated_at == 0 { now } else { self.updated_at };
        let elapsed_s = seconds(now.saturating_sub(previous_update));
        let decay = (-elapsed_s / time_constant_s).exp();
        let [time, area] = self.sums;
        self.sums = [time * decay + elapsed_s, area * decay + self.value * elapsed_s];
        (self.value, self.updated_at) = (value, now);
    }

    /// Returns the mean so far, or 0 before any time has passed.
    pub fn mean(&self) -> f64 {
        self.sums[1] / self.sums[0].max(1e-9)
    }
}

/// A leaky bucket: its level rises with each counted event and falls at a constant rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeakyBucket {
    level: f64,
    updated_at: Micros,
}

impl LeakyBucket {
    /// Counts one event and returns the new level. Since the
    /// last event, the level has fallen at `rate` per second.
    pub fn add(&mut self, now: Micros, rate: f64) -> f64 {
        self.level = (self.level - rate * seconds(now.saturating_sub(self.updated_at))).max(0.0) + 1.0;
        self.updated_at = now;
        self.level
    }
}

/// The number of consecutive failures, and the end of a pause that doubles with each failure.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// Number of consecutive failures.
    pub failures: u32,
    /// End of the last pause.
    pub paused_until: Micros,
}

impl Backoff {
    /// Records a failure and starts a pause. A failure during a pause
    /// does not count, because failures at the same time have one cause.
    pub fn fail(&mut self, now: Micros, first_pause: Micros, max_pause: Micros) {
        if now >= self.paused_until {
            self.paused_until = now + (first_pause << self.failures.min(8)).min(max_pause);
            self.failures += 1;
        }
    }
}

/// Maximum of a sample as a multiple of the running mean. Larger samples are reduced to the maximum.
const MAX_SAMPLE_FACTOR: f64 = 10.0;

/// A running mean, in which a new sample has a fixed weight once there are enough samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    /// Adds a sample. The sample's weight is one part in the number of samples, which is limited to
    /// `max_count`. A sample far above the mean is limited: its size says nothing about the usual size.
    pub fn add_sample(&mut self, sample: f64, max_count: u32) {
        let sample = self.get().map_or(sample, |mean| sample.min(MAX_SAMPLE_FACTOR * mean));
        self.count = (self.count + 1).min(max_count);
        self.value += (sample - self.value) / f64::from(self.count.max(1));
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

/// Amounts with their times, for the sum of the amounts in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingSum(VecDeque<(Micros, f64)>);

impl SlidingSum {
    /// Adds an amount, and drops the amounts before `keep_since`.
    /// The times of successive calls must not decrease.
    pub fn add(&mut self, at: Micros, amount: f64, keep_since: Micros) {
        while self.0.front().is_some_and(|(earliest, _)| *earliest < keep_since) {
            self.0.pop_front();
        }
        self.0.push_back((at, amount));
    }

    /// Returns the sum of all amounts since the start of the window.
    pub fn since(&self, window_start: Micros) -> f64 {
        let in_window = self.0.iter().rev().take_while(|(time, _)| *time >= window_start);
        in_window.map(|(_, amount)| amount).sum()
    }
}

/// Iterations of the solver for each sample. The terms may be nearly
/// collinear, so that few iterations would leave the weights biased.
const SOLVER_ITERATIONS: u32 = 200;

/// Least squares of a value on three terms with non-negative weights. Older samples count less.
#[derive(Debug, Default)]
pub struct DecayingLeastSquares {
    /// Decayed sums of the products of the terms with each other and, in the last column, with the value.
    sums: [[f64; 4]; 3],
    weights: [f64; 3],
    updated_at: Micros,
}

impl DecayingLeastSquares {
    /// Returns the weights of the terms.
    pub fn weights(&self) -> [f64; 3] {
        self.weights
    }

    /// Adds a sample. After each time constant, the weight of an earlier sample falls to 1/e.
    pub fn add_sample(&mut self, now: Micros, time_constant_s: f64, terms: [f64; 3], value: f64) {
        let decay = (-seconds(now.saturating_sub(self.updated_at)) / time_constant_s).exp();
        self.updated_at = now;
        let [first, second, third] = terms;
        for (row, row_term) in self.sums.iter_mut().zip(terms) {
            for (sum, column_term) in row.iter_mut().zip([first, second, third, value]) {
                *sum = *sum * decay + row_term * column_term;
            }
        }
        // Gauss-Seidel iterations, which start from the weights of the last sample.
        for _ in 0..SOLVER_ITERATIONS {
            for i in 0..3 {
                let row = self.sums[i];
                let fitted: f64 = (0..3).map(|j| row[j] * self.weights[j]).sum();
                let residual = row[3] - fitted + row[i] * self.weights[i];
                self.weights[i] = (residual / row[i].max(1e-9)).max(0.0);
            }
        }
    }
}

/// Weight of a new sample in the mean of the sampled quantities.
const MEAN_QUANTITY_WEIGHT: f64 = 0.1;

/// A regression of a value on 1, a quantity and the square of the
/// quantity. Initial weights apply until there are enough samples.
#[derive(Debug, Default)]
pub struct QuadraticRegression {
    least_squares: DecayingLeastSquares,
    samples: u32,
    mean_quantity: f64,
    initial_weights: [f64; 3],
    min_samples: u32,
}

impl QuadraticRegression {
    /// Creates a regression that uses the initial weights until it has `min_samples` samples.
    pub fn new(initial_weights: [f64; 3], min_samples: u32) -> Self {
        Self { initial_weights, min_samples, ..Self::default() }
    }

    /// Returns true while the initial weights apply.
    pub fn has_initial_weights(&self) -> bool {
        self.samples < self.min_samples
    }

    /// Returns the weights of 1, the quantity and its square.
    pub fn weights(&self) -> [f64; 3] {
        if self.has_initial_weights() { self.initial_weights } else { self.least_squares.weights() }
    }

    /// Returns the predicted value for a quantity, which is always above 0.
    pub fn predict(&self, quantity: f64) -> f64 {
        let [constant, linear, quadratic] = self.weights();
        (constant + linear * quantity + quadratic * quantity * quantity).max(0.001)
    }

    /// Returns the mean of the sampled quantities.
    pub fn mean_quantity(&self) -> f64 {
        self.mean_quantity
    }

    /// Adds a sample. The weight of earlier samples decays as in [`DecayingLeastSquares`].
    pub fn add_sample(&mut self, now: Micros, time_constant_s: f64, quantity: f64, value: f64) {
        self.samples = self.samples.saturating_add(1);
        self.mean_quantity += MEAN_QUANTITY_WEIGHT * (quantity - self.mean_quantity);
        self.least_squares.add_sample(now, time_constant_s, [1.0, quantity, quantity * quantity], value);
    }
}
