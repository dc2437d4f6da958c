//! Limits how fast bytes are received only to be discarded, for all connections of a listener together. Clients that
//! send at full speed could otherwise occupy the event loop.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Number of bytes that may be discarded at once: more than the system buffers between two sockets.
const BURST_BYTES: f64 = (12 << 20) as f64;
/// Number of bytes that may be discarded per second in the long run.
const BYTES_PER_SECOND: f64 = (48 << 20) as f64;
/// Delay after which a reader that was refused may try again.
pub(super) const DISCARD_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A token bucket for discarded bytes.
#[derive(Debug)]
pub(super) struct DiscardBudget {
    available_bytes: Cell<f64>,
    updated_at: Cell<Instant>,
}

impl DiscardBudget {
    pub(super) fn new() -> Self {
        Self { available_bytes: Cell::new(BURST_BYTES), updated_at: Cell::new(Instant::now()) }
    }

    /// Returns true if bytes may be received to be discarded.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated_at.replace(now));
        let refilled = self.available_bytes.get() + elapsed.as_secs_f64() * BYTES_PER_SECOND;
        self.available_bytes.set(refilled.min(BURST_BYTES));
        self.available_bytes.get() > 0.0
    }

    /// Records that bytes were discarded.
    pub(super) fn record(&self, bytes: usize) {
        self.available_bytes.set(self.available_bytes.get() - bytes as f64);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Clients that sent at full speed behind a request kept the event loop busy with discarding.
    #[test]
    fn discarding_is_limited_in_the_long_run() {
        let budget = DiscardBudget::new();
        let start = Instant::now();
        let mut discarded = 0;
        for ms in 0..4_000 {
            while budget.is_available(start + Duration::from_millis(ms)) {
                budget.record(16 << 10);
                discarded += 16 << 10;
            }
        }
        let expected = BURST_BYTES + 4.0 * BYTES_PER_SECOND;
        assert!((f64::from(discarded) - expected).abs() < expected / 100.0, "{discarded}");
    }
}
