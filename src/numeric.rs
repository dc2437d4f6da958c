//! Arithmetic that the decision module is written with: units of time, draws that every router repeats, values that
//! fade, and least squares. Nothing is decided here.

use crate::interface::Micros;

/// A span in seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// A span in microseconds; one below zero is none.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6) as Micros
}

/// Evenly spread bits of two numbers: the same at every router that puts in the same.
pub fn mix(a: u64, b: u64) -> u64 {
    let bits = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 31)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    bits ^ (bits >> 32)
}

/// A text as a number to mix.
pub fn number(text: &str) -> u64 {
    text.bytes().fold(0, |hash, byte| mix(hash, u64::from(byte)))
}

/// Bits as a draw between 0 and 1.
pub fn draw(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// A value and when it was seen; it fades exponentially from then on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    value: f64,
    at: Micros,
}

impl Fading {
    /// A value as it is seen now.
    pub fn seen(value: f64, now: Micros) -> Self {
        Self { value, at: now }
    }

    /// What is left of it, if all but a part of 1/e fades over so many seconds.
    pub fn left(&self, now: Micros, over_s: f64) -> f64 {
        self.value * (-seconds(now.saturating_sub(self.at)) / over_s).exp()
    }
}

/// Rounds of the solver for each sample: the terms may be nearly collinear, and few rounds leave it biased.
const ROUNDS: u32 = 200;

/// Least squares of a value on three terms, none of which has a weight below zero; older samples count less.
#[derive(Debug, Default)]
pub struct AgedLeastSquares {
    /// Aged sums of the terms' products with each other and, last, with the value.
    sums: [[f64; 4]; 3],
    weights: [f64; 3],
    at: Micros,
}

impl AgedLeastSquares {
    /// The terms' weights.
    pub fn weights(&self) -> [f64; 3] {
        self.weights
    }

    /// Takes a sample in; all earlier ones count for 1/e of what they did for each so many seconds since the last.
    pub fn learn(&mut self, now: Micros, over_s: f64, terms: [f64; 3], value: f64) {
        let age = (-seconds(now.saturating_sub(self.at)) / over_s).exp();
        self.at = now;
        let [a, b, c] = terms;
        for (row, x) in self.sums.iter_mut().zip(terms) {
            for (sum, y) in row.iter_mut().zip([a, b, c, value]) {
                *sum = *sum * age + x * y;
            }
        }
        // Gauss-Seidel from the last weights.
        for _ in 0..ROUNDS {
            for i in 0..3 {
                let row = self.sums[i];
                let all: f64 = (0..3).map(|j| row[j] * self.weights[j]).sum();
                let rest = row[3] - all + row[i] * self.weights[i];
                self.weights[i] = (rest / row[i].max(1e-9)).max(0.0);
            }
        }
    }
}
