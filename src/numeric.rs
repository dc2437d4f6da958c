//! Arithmetic that the decision module is written with: units of time, draws that every router repeats, values that
//! fade, and least squares. Nothing is decided here.

use crate::interface::Micros;
use std::collections::VecDeque;

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

    /// It moved so much of the way to a value, from what is left of it.
    pub fn toward(self, value: f64, step: f64, now: Micros, over_s: f64) -> Self {
        let left = self.left(now, over_s);
        Self::seen(left + step * (value - left), now)
    }

    /// What is left of it, if all but a part of 1/e fades over so many seconds.
    pub fn left(&self, now: Micros, over_s: f64) -> f64 {
        self.value * (-seconds(now.saturating_sub(self.at)) / over_s).exp()
    }
}

/// The mean of a value over the time that it stood, of which the earlier counts less.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgedMean {
    value: f64,
    at: Micros,
    /// Aged sums over time of one, and of the value.
    sums: [f64; 2],
}

impl AgedMean {
    /// What it is from now on; all but a part of 1/e of what was before ages over so many seconds.
    pub fn hold(&mut self, now: Micros, value: f64, over_s: f64) {
        let began = if self.at == 0 { now } else { self.at };
        let span_s = seconds(now.saturating_sub(began));
        let aged = (-span_s / over_s).exp();
        let [time, area] = self.sums;
        self.sums = [time * aged + span_s, area * aged + self.value * span_s];
        (self.value, self.at) = (value, now);
    }

    /// The mean so far; 0 before any time has passed.
    pub fn mean(&self) -> f64 {
        self.sums[1] / self.sums[0].max(1e-9)
    }
}

/// A level that leaks at a steady rate: how far what is counted runs ahead of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeakyBucket {
    level: f64,
    at: Micros,
}

impl LeakyBucket {
    /// Counts one more, and gives the level.
    pub fn add(&mut self, now: Micros, rate: f64) -> f64 {
        self.level = (self.level - rate * seconds(now.saturating_sub(self.at))).max(0.0) + 1.0;
        self.at = now;
        self.level
    }
}

/// Failures in a row, and the end of a pause that doubles with each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// How often it failed in a row.
    pub fails: u32,
    /// Until when the last pause lasts.
    pub until: Micros,
}

impl Backoff {
    /// One failure a pause: what fails together is one piece of news.
    pub fn fail(&mut self, now: Micros, first: Micros, longest: Micros) {
        if now >= self.until {
            self.until = now + (first << self.fails.min(8)).min(longest);
            self.fails += 1;
        }
    }
}

/// Times a running mean past which a value is cut.
const OUTLIER: f64 = 10.0;

/// A mean of what was learnt, in which a new value weighs a set part once there are enough.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    /// Takes a value in; it counts for one of at most so many. Far past the mean it says nothing of its size.
    pub fn learn(&mut self, value: f64, of: u32) {
        let value = self.get().map_or(value, |mean| value.min(OUTLIER * mean));
        self.count = (self.count + 1).min(of);
        self.value += (value - self.value) / f64::from(self.count.max(1));
    }

    /// The mean, if there is one.
    pub fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

/// Amounts with their times, of which the latest are summed.
#[derive(Clone, Debug, Default)]
pub struct SlidingSum(VecDeque<(Micros, f64)>);

impl SlidingSum {
    /// Takes an amount in, and forgets what came before a time; times do not fall.
    pub fn add(&mut self, at: Micros, amount: f64, keep_since: Micros) {
        while self.0.front().is_some_and(|(earliest, _)| *earliest < keep_since) {
            self.0.pop_front();
        }
        self.0.push_back((at, amount));
    }

    /// The sum of all from a time on.
    pub fn since(&self, at: Micros) -> f64 {
        let late = self.0.iter().rev().take_while(|(time, _)| *time >= at);
        late.map(|(_, amount)| amount).sum()
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

/// Weight of a new sample in the mean of what a fit is learnt from.
const SAMPLE_STEP: f64 = 0.1;

/// A value by a quantity: least squares on 1, the quantity and its square, and a guess until there are enough samples.
#[derive(Debug, Default)]
pub struct QuadraticFit {
    squares: AgedLeastSquares,
    samples: u32,
    mean: f64,
    guess: [f64; 3],
    guessed_for: u32,
}

impl QuadraticFit {
    /// A fit whose weights are guessed for so many samples.
    pub fn new(guess: [f64; 3], guessed_for: u32) -> Self {
        Self { guess, guessed_for, ..Self::default() }
    }

    /// Whether the weights are still guessed.
    pub fn is_guess(&self) -> bool {
        self.samples < self.guessed_for
    }

    /// The weights of 1, the quantity and its square.
    pub fn weights(&self) -> [f64; 3] {
        if self.is_guess() { self.guess } else { self.squares.weights() }
    }

    /// The value for a quantity; never quite 0.
    pub fn predict(&self, quantity: f64) -> f64 {
        let [a, b, c] = self.weights();
        (a + b * quantity + c * quantity * quantity).max(0.001)
    }

    /// The mean of the quantities that were learnt from.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Takes a sample in; the earlier ones age as those of [`AgedLeastSquares`].
    pub fn learn(&mut self, now: Micros, over_s: f64, quantity: f64, value: f64) {
        self.samples = self.samples.saturating_add(1);
        self.mean += SAMPLE_STEP * (quantity - self.mean);
        self.squares.learn(now, over_s, [1.0, quantity, quantity * quantity], value);
    }
}
