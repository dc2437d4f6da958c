//! When discovery is asked: at first, and again after calls that failed. Where one service answers all
//! gateways, hundreds that ask at once, and again a few times a second each, keep it from answering any: calls
//! wait in turn there, and those given up meanwhile are work for nothing. However many failed before, the next
//! call begins so soon after the one that failed that it is answered before what there is to tell counts.

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
    /// After what time without a watch the settings count as told what is listed.
    pub told_after: Duration,
}

impl Asking {
    /// One gateway with an agent of its own.
    pub fn agent(seed: u64) -> Self {
        Self { shared: false, gateways: 1, seed, told_after: Duration::from_secs(10) }
    }
}

/// What a watch knows when it is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Opening {
    /// Nothing: until it has a list the gateway can serve nobody.
    Blank,
    /// A list from before the start.
    Known,
    /// The list so far, at an address that was told just now.
    Moved,
}

/// Span for each gateway over which the first calls at a shared service spread. They are few lines each, from
/// the list that is known.
const BEGIN_EACH: Duration = Duration::from_millis(40);
/// How much longer than it may wait for news a call may take.
pub(super) const GRACE: Duration = Duration::from_secs(2);
/// The longest such span. Whatever failed, a change counts as told 6 s after discovery had it and could be reached;
/// at a new address 4 s after the order (protocol); and without a list the gateway takes no client.
const KNOWN_MOST: Duration = Duration::from_millis(4_500);
const MOVED_MOST: Duration = Duration::from_secs(2);
const BLANK_MOST: Duration = Duration::from_secs(1);
/// How long after a call began the next begins at the latest if it failed, however it did: what discovery has to
/// tell counts 6 s after it can be reached again, and may have been asked in vain the moment before that.
const AGAIN_WITHIN: Duration = Duration::from_millis(4_800);
/// How long a call that opens a watch may take, with its dial, before it is given up: less than that, and as long
/// as may be, for whoever is given up while it waits in turn is work for nothing and stands at the end again.
const PATIENCE: Duration = Duration::from_secs(4);
/// The same at an agent, which answers at once.
const AGENT_PATIENCE: Duration = Duration::from_secs(2);
/// First pause at a shared service.
const FIRST: Duration = Duration::from_secs(1);
/// Pauses at an agent, which is asked by this gateway alone. A watch goes on if it is renewed within 200 ms.
const AGENT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Pauses between calls, spread by lot.
#[derive(Debug)]
pub(super) struct Backoff {
    begin: Duration,
    begin_most: Duration,
    patience: Duration,
    first: Duration,
    longest: Duration,
    failures: u32,
    draws: fastrand::Rng,
}

impl Backoff {
    /// For one watch; each begins anew.
    pub(super) fn new(asking: Asking) -> Self {
        let Asking { shared, gateways, seed, told_after } = asking;
        let (begin, patience, first, longest) = if shared {
            (BEGIN_EACH.saturating_mul(gateways.saturating_sub(1)), PATIENCE, FIRST, AGAIN_WITHIN)
        } else {
            (Duration::ZERO, AGENT_PATIENCE, AGENT.0, AGENT.1)
        };
        let begin_most = told_after.saturating_sub(GRACE).min(KNOWN_MOST);
        let draws = fastrand::Rng::with_seed(seed);
        Self { begin, begin_most, patience, first, longest, failures: 0, draws }
    }

    /// How long a call that opens a watch may take.
    pub(super) fn patience(&self) -> Duration {
        self.patience
    }

    /// How long to wait before the first call.
    pub(super) fn begin(&mut self, opening: Opening) -> Duration {
        let most = match opening {
            Opening::Blank => BLANK_MOST,
            Opening::Known => self.begin_most,
            Opening::Moved => MOVED_MOST.min(self.begin_most),
        };
        self.begin.min(most).mul_f64(self.draws.f64())
    }

    /// A call was answered; gives how many had failed before it.
    pub(super) fn answered(&mut self) -> u32 {
        std::mem::take(&mut self.failures)
    }

    /// A call failed that took so long: the pause until the next, and whether it is the first failure of an outage.
    pub(super) fn failed(&mut self, took: Duration) -> (Duration, bool) {
        let mean = self.first.saturating_mul(1 << self.failures.min(16)).min(self.longest);
        let first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        // By lot, or gateways that failed together would stay in step; also those whose pauses are at their bound.
        let most = mean.mul_f64(1.5).min(AGAIN_WITHIN.saturating_sub(took));
        let least = (mean / 2).min(most / 2);
        (least + (most - least).mul_f64(self.draws.f64()), first)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const S: u64 = 1_000_000;

    fn asking(shared: bool, gateways: u32, seed: u64) -> Asking {
        Asking { shared, gateways, ..Asking::agent(seed) }
    }

    /// Plays gateways that all start at once at one service of so many calls a second, whose calls wait in
    /// turn: whoever has waited for as long as it has patience has failed, and is worked off all the same; where
    /// 3 s of work wait, calls are turned away. Gives the second in which the last was answered, and how many
    /// calls there were.
    fn play(gateways: u32, a_second: u64, until_s: u64) -> (Option<u64>, usize) {
        let begun = |n| {
            let seed = u64::from(n) + 1;
            let mut backoff = Backoff::new(asking(true, gateways, seed));
            (backoff.begin(Opening::Known).as_micros() as u64, backoff)
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
            let patience = backoff.patience();
            if busy_until <= *at + patience.as_micros() as u64 {
                last = busy_until;
                due.swap_remove(next);
            } else {
                let waited = if turned_away { Duration::ZERO } else { patience };
                *at += (waited + backoff.failed(waited).0).as_micros() as u64;
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

    // All that may be told counts 6 s after it is back: each gateway has to ask within that time, and no more often.
    #[rstest]
    #[case(20)]
    #[case(100)]
    #[case(350)]
    #[case(1024)]
    fn a_service_that_is_down_is_asked_by_each_gateway_once_in_three_seconds(#[case] gateways: u32) {
        // As good as down: it does one call a second, and but for the first few all wait in vain.
        let calls = |until_s| play(gateways, 1, until_s).1 as f64;
        let a_second = (calls(160) - calls(80)) / 80.0;
        let most = f64::from(gateways) / 3.0;
        assert!(a_second <= most, "{a_second} calls a second");
    }

    // After an outage of a minute gateways asked again up to 24 s after discovery was back, while what it had to
    // tell counted after 6 s.
    #[rstest]
    fn next_call_begins_in_time_whatever_failed_before_it(
        #[values(true, false)] shared: bool,
        #[values(1, 30, 350, 1024)] gateways: u32,
        #[values(0, 300, 2_000, 4_000, 5_000)] took_ms: u64,
        #[values(1, 2, 7, 400)] failures: usize,
    ) {
        for seed in 0..20 {
            let mut backoff = Backoff::new(asking(shared, gateways, seed));
            let took = Duration::from_millis(took_ms);
            let last = (0..failures).map(|_| backoff.failed(took).0).last().expect("one at least");
            assert!(took + last <= AGAIN_WITHIN.max(took), "{last:?}");
            assert!(backoff.patience() < AGAIN_WITHIN);
        }
    }

    #[rstest]
    #[case(false, 1024, AGENT)]
    #[case(true, 1, (FIRST, AGAIN_WITHIN * 2 / 3))]
    #[case(true, 1024, (FIRST, AGAIN_WITHIN * 2 / 3))]
    fn pauses_grow_to_their_bound_and_are_short_again_after_an_answer(
        #[case] shared: bool,
        #[case] gateways: u32,
        #[case] (shortest, longest): (Duration, Duration),
    ) {
        let mut backoff = Backoff::new(asking(shared, gateways, 7));
        let near = |pause: Duration, mean: Duration| pause >= mean / 2 && pause <= mean * 3 / 2;
        for _ in 0..3 {
            let (pause, first) = backoff.failed(Duration::ZERO);
            assert!(first && near(pause, shortest), "{pause:?}");
            for n in 1..80 {
                let (pause, first) = backoff.failed(Duration::ZERO);
                assert!(!first && (n < 5 || near(pause, longest)), "{pause:?}");
            }
            assert_eq!(backoff.answered(), 80);
        }
        assert!(shared || backoff.begin(Opening::Known) == Duration::ZERO, "an agent is asked at once");
    }

    // A gateway that was moved to another address waited up to 8 s before it asked there, though all that is to
    // be told counts as told after 4 s; one without any list waited as long before it could serve anybody.
    #[rstest]
    #[case::from_a_known_list(Opening::Known, 10, 4_000, 4_500)]
    #[case::where_little_counts_sooner(Opening::Known, 5, 2_000, 3_000)]
    #[case::at_a_new_address(Opening::Moved, 10, 1_000, 2_000)]
    #[case::without_a_list(Opening::Blank, 10, 500, 1_000)]
    fn first_calls_spread_within_what_counts_as_told(
        #[case] opening: Opening,
        #[case] told_after_s: u64,
        #[case] above_ms: u64,
        #[case] most_ms: u64,
    ) {
        let begun = |seed| {
            let told_after = Duration::from_secs(told_after_s);
            Backoff::new(Asking { told_after, ..asking(true, 350, seed) }).begin(opening)
        };
        let last = (0..350).map(begun).max();
        let within = Duration::from_millis(above_ms)..=Duration::from_millis(most_ms);
        assert!(last.is_some_and(|last| within.contains(&last)), "{last:?}");
        // A few gateways have no need of so much.
        let few = Backoff::new(asking(true, 4, 7)).begin(opening);
        assert!(few <= Duration::from_millis(120), "{few:?}");
    }
}
