//! When discovery is asked: at first, and again after calls that failed. Where one service answers all
//! gateways, hundreds that ask at once, and again a few times a second each, keep it from answering any: calls
//! wait in turn there, and those given up meanwhile are work for nothing.

use std::time::Duration;

/// Who asks, and whom.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    /// Whether one service answers all gateways, rather than an agent beside each.
    pub shared: bool,
    /// How many gateways there are.
    pub gateways: u32,
    /// What this one draws its lots by; each needs its own.
    pub seed: u64,
}

/// Span for each gateway over which the first calls at a shared service spread, and the most for all. They are
/// few lines each, from the list that is known; the settings count an unopened watch as told from 10 s on.
const BEGIN: (Duration, Duration) = (Duration::from_millis(40), Duration::from_secs(8));
/// First pause at a shared service, and its longest for each gateway, with bounds: one that is
/// down is asked by all together a few times a second. By the settings a failed call holds for 40 s.
const FIRST: Duration = Duration::from_secs(1);
const LONGEST_EACH: Duration = Duration::from_millis(160);
const LONGEST: (Duration, Duration) = (FIRST, Duration::from_secs(16));
/// Pauses at an agent, which is asked by this gateway alone. A watch goes on if it is renewed within 200 ms.
const AGENT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Pauses between calls, spread by lot.
#[derive(Debug)]
pub(super) struct Backoff {
    begin: Duration,
    first: Duration,
    longest: Duration,
    failures: u32,
    draws: fastrand::Rng,
}

impl Backoff {
    /// For one watch; each begins anew.
    pub(super) fn new(asking: Asking) -> Self {
        let Asking { shared, gateways, seed } = asking;
        let (begin, first, longest) = if shared {
            let begin = (BEGIN.0 * gateways.saturating_sub(1)).min(BEGIN.1);
            (begin, FIRST, (LONGEST_EACH * gateways).clamp(LONGEST.0, LONGEST.1))
        } else {
            (Duration::ZERO, AGENT.0, AGENT.1)
        };
        Self { begin, first, longest, failures: 0, draws: fastrand::Rng::with_seed(seed) }
    }

    /// How long to wait before the first call.
    pub(super) fn begin(&mut self) -> Duration {
        self.begin.mul_f64(self.draws.f64())
    }

    /// A call was answered; gives how many had failed before it.
    pub(super) fn answered(&mut self) -> u32 {
        std::mem::take(&mut self.failures)
    }

    /// A call failed: the pause until the next, and whether it is the first failure of an outage.
    pub(super) fn failed(&mut self) -> (Duration, bool) {
        let mean = self.first.saturating_mul(1 << self.failures.min(16)).min(self.longest);
        let first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        // Between half and one and a half of the mean, or gateways that failed together would stay in step.
        (mean.mul_f64(0.5 + self.draws.f64()), first)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const S: u64 = 1_000_000;

    /// Plays gateways that all start at once at one service of so many calls a second, whose calls wait in
    /// turn: whoever has waited 2 s has failed, and is worked off all the same; where 3 s of work wait, calls
    /// are turned away. Gives the second in which the last was answered, and how many calls there were.
    fn play(gateways: u32, a_second: u64, until_s: u64) -> (Option<u64>, usize) {
        let begun = |n| {
            let seed = u64::from(n) + 1;
            let mut backoff = Backoff::new(Asking { shared: true, gateways, seed });
            (backoff.begin().as_micros() as u64, backoff)
        };
        let mut due: Vec<_> = (0..gateways).map(begun).collect();
        let (mut calls, mut last, mut busy_until) = (0, 0, 0);
        while let Some(next) = (0..due.len()).min_by_key(|n| due[*n].0) {
            let (at, backoff) = &mut due[next];
            if *at >= until_s * S {
                return (None, calls);
            }
            calls += 1;
            let turned_away = busy_until > *at + 3 * S;
            if !turned_away {
                busy_until = (*at).max(busy_until) + S / a_second;
            }
            if busy_until <= *at + 2 * S {
                last = busy_until;
                due.swap_remove(next);
            } else {
                let waited = if turned_away { 0 } else { 2 * S };
                *at += waited + backoff.failed().0.as_micros() as u64;
            }
        }
        (Some(last / S), calls)
    }

    // Asked at once by all, and again 50 ms after each failure, such a service has a full queue for good, and
    // answers nobody in time any more.
    #[rstest]
    #[case(100, 30)]
    #[case(100, 10)]
    #[case(350, 30)]
    #[case(1024, 100)]
    fn gateways_that_all_start_at_once_are_all_answered(#[case] gateways: u32, #[case] a_second: u64) {
        let (last, calls) = play(gateways, a_second, 120);
        let work = u64::from(gateways) / a_second;
        let most_s = 4 * work + 12;
        assert!(last.is_some_and(|s| s <= most_s), "last at {last:?}, work of {work} s");
        assert!(calls <= 5 * gateways as usize, "{calls} calls");
    }

    #[rstest]
    #[case(20)]
    #[case(100)]
    #[case(350)]
    fn a_service_that_is_down_is_asked_a_few_times_a_second(#[case] gateways: u32) {
        // As good as down: it does one call a second, and but for the first few all wait in vain.
        let calls = |until_s| play(gateways, 1, until_s).1 as f64;
        let a_second = (calls(160) - calls(80)) / 80.0;
        let most = (f64::from(gateways) / LONGEST.1.as_secs_f64()).max(7.0);
        assert!(a_second <= most, "{a_second} calls a second");
    }

    #[rstest]
    #[case(false, 1024, AGENT)]
    #[case(true, 1, (FIRST, FIRST))]
    #[case(true, 1024, (FIRST, LONGEST.1))]
    fn pauses_grow_to_their_bound_and_are_short_again_after_an_answer(
        #[case] shared: bool,
        #[case] gateways: u32,
        #[case] (shortest, longest): (Duration, Duration),
    ) {
        let mut backoff = Backoff::new(Asking { shared, gateways, seed: 7 });
        let near = |pause: Duration, mean: Duration| pause >= mean / 2 && pause <= mean * 3 / 2;
        for _ in 0..3 {
            let (pause, first) = backoff.failed();
            assert!(first && near(pause, shortest), "{pause:?}");
            for n in 1..80 {
                let (pause, first) = backoff.failed();
                assert!(!first && (n < 5 || near(pause, longest)), "{pause:?}");
            }
            assert_eq!(backoff.answered(), 80);
        }
        assert!(shared || backoff.begin() == Duration::ZERO, "an agent is asked at once");
    }
}
