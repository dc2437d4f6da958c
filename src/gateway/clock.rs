//! The clock that the decision module is told: Unix time at the start, then monotonic.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time as the machine has it now, in microseconds.
pub(super) fn wall_now() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    unix.as_micros() as Micros
}

/// Microseconds of Unix time that never go back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { base: wall_now(), start: Instant::now() }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// That moment of the runtime's clock.
    pub fn at(&self, moment: Instant) -> Micros {
        self.base + moment.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// A moment that was told in Unix time, on this clock: as long ago as it is by the machine's clock now, which may have
    /// been stepped since this one began. One that is still to come by that clock is taken for now.
    pub fn of_wall(&self, then: Micros, wall_now: Micros) -> Micros {
        self.now().saturating_sub(wall_now.saturating_sub(then))
    }

    /// That time on the runtime's clock; now, if it has passed.
    pub fn instant(&self, then: Micros) -> Instant {
        Instant::now() + self.until(then)
    }

    /// How long from now until then.
    pub fn until(&self, then: Micros) -> Duration {
        Duration::from_micros(then.saturating_sub(self.now()))
    }
}
