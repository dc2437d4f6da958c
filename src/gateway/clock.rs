//! The clock of the core and the decision module: Unix time at the start, monotonic from then on.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Returns the current Unix time of the system clock, in microseconds.
pub(super) fn wall_now() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    unix.as_micros() as Micros
}

/// A monotonic clock in microseconds. It starts at the current Unix time and never goes backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { unix_start: wall_now(), start: Instant::now() }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts an instant of the runtime's clock to this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix_start + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Converts a past Unix time to this clock, by its age on the system clock. The system clock may have
    /// been stepped since this clock started, so the two cannot be compared directly. A future Unix time is
    /// converted to the current time.
    pub fn convert_unix_time(&self, unix_time: Micros, wall_now: Micros) -> Micros {
        self.now().saturating_sub(wall_now.saturating_sub(unix_time))
    }

    /// Converts a time on this clock to an instant of the runtime's clock. A past time is converted to the
    /// current instant.
    pub fn instant(&self, time: Micros) -> Instant {
        Instant::now() + self.until(time)
    }

    /// Returns the duration from now until a time on this clock; zero if that time has passed.
    pub fn until(&self, time: Micros) -> Duration {
        Duration::from_micros(time.saturating_sub(self.now()))
    }
}
