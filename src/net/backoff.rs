//! Delays before calls to discovery: before the first call, and before retries of failed
//! calls. If one shared service answers all gateways, hundreds of them that call at once, and
//! again several times a second each, keep it from answering any: calls wait in its queue,
//! and work on those that time out meanwhile is wasted. However many calls failed before, the
//! next call begins early enough to be answered before a change counts as announced.

use std::time::Duration;

/// Parameters of the calls to discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryCallParams {
    /// True if one service answers all gateways, false if each gateway has its own agent.
    pub shared: bool,
    /// Number of gateways.
    pub gateways: u32,
    /// Seed for the random delays; each gateway needs its own.
    pub seed: u64,
    /// Time, from the settings, after which a listed change counts as announced even without an open watch.
    pub announced_after: Duration,
}

impl DiscoveryCallParams {
    /// Parameters for one gateway with an agent of its own.
    pub fn agent(seed: u64) -> Self {
        Self { shared: false, gateways: 1, seed, announced_after: Duration::from_secs(10) }
    }
}

/// The list that is known when a watch is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Opening {
    /// No list: without one the gateway can serve no request.
    WithoutList,
    /// A list that was known before this process started.
    WithList,
    /// The current list; the address is a new one that is not followed yet.
    NewAddress,
}

/// Duration per gateway over which the first calls at a shared service are spread. Such a call costs the
/// service only a few lines, as it starts from the known list.
const FIRST_CALL_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(40);
/// Time a call may take beyond the time it waits for an update.
pub(super) const CALL_GRACE: Duration = Duration::from_secs(2);
/// Maximum duration over which first calls are spread, by opening. A change counts as announced 6 s after
/// discovery had it and could be reached, whatever failed, and at a new address 4 s after the operator
/// command (protocol); without a list the gateway accepts no client.
const MAX_SPREAD_WITH_LIST: Duration = Duration::from_millis(4_500);
const MAX_SPREAD_NEW_ADDRESS: Duration = Duration::from_secs(2);
const MAX_SPREAD_WITHOUT_LIST: Duration = Duration::from_secs(1);
/// Maximum time from the start of a failed call to the start of the next, however the call failed: a change
/// counts as announced 6 s after discovery can be reached again, and a call may have failed just before that.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(4_800);
/// Timeout of a call that opens a watch, including the dial. It is below
/// `MAX_CALL_INTERVAL` and otherwise as long as possible: a call that times out in the
/// queue of the service is wasted work, and the retry goes to the end of the queue.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(4);
/// The same timeout at an agent, which answers at once.
const AGENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean of the first retry delay at a shared service. Each delay is random, between half of its
/// mean and one and a half times its mean, and shorter where `MAX_CALL_INTERVAL` requires that.
const FIRST_MEAN_DELAY: Duration = Duration::from_secs(1);
/// Means of the first and of the longest retry delay at an agent, which only this gateway
/// calls. A watch counts as uninterrupted if it is renewed within 200 ms.
const AGENT_MEAN_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Randomised delays between calls.
#[derive(Debug)]
pub(super) struct Backoff {
    first_call_spread: Duration,
    max_spread_with_list: Duration,
    opening_timeout: Duration,
    first_mean_delay: Duration,
    max_mean_delay: Duration,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates the state of one watch; nothing carries over from an earlier watch.
    pub(super) fn new(params: DiscoveryCallParams) -> Self {
        let DiscoveryCallParams { shared, gateways, seed, announced_after } = params;
        let (first_call_spread, opening_timeout, first_mean_delay, max_mean_delay) = if shared {
            (
                FIRST_CALL_SPREAD_PER_GATEWAY.saturating_mul(gateways.saturating_sub(1)),
                SERVICE_TIMEOUT,
                FIRST_MEAN_DELAY,
                MAX_CALL_INTERVAL,
            )
        } else {
            (Duration::ZERO, AGENT_TIMEOUT, AGENT_MEAN_DELAYS.0, AGENT_MEAN_DELAYS.1)
        };
        let max_spread_with_list = announced_after.saturating_sub(CALL_GRACE).min(MAX_SPREAD_WITH_LIST);
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            first_call_spread,
            max_spread_with_list,
            opening_timeout,
            first_mean_delay,
            max_mean_delay,
            failures: 0,
            rng,
        }
    }

    /// Returns the timeout of a call that opens a watch.
    pub(super) fn opening_timeout(&self) -> Duration {
        self.opening_timeout
    }

    /// Returns the delay before the first call.
    pub(super) fn first_call_delay(&mut self, opening: Opening) -> Duration {
        let max_spread = match opening {
            Opening::WithoutList => MAX_SPREAD_WITHOUT_LIST,
            Opening::WithList => self.max_spread_with_list,
            Opening::NewAddress => MAX_SPREAD_NEW_ADDRESS.min(self.max_spread_with_list),
        };
        self.first_call_spread.min(max_spread).mul_f64(self.rng.f64())
    }

    /// Records a response; returns the number of calls that failed before it.
    pub(super) fn record_response(&mut self) -> u32 {
        std::mem::take(&mut self.failures)
    }

    /// Records a failed call that took the given time. Returns the delay before
    /// the next call, and true if the failure is the first of an outage.
    pub(super) fn record_failure(&mut self, elapsed: Duration) -> (Duration, bool) {
        let mean = self.first_mean_delay.saturating_mul(1 << self.failures.min(16)).min(self.max_mean_delay);
        let first_failure = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        // Random, so that gateways that failed together do not
        // stay in step, including those at the maximum delay.
        let longest = mean.mul_f64(1.5).min(MAX_CALL_INTERVAL.saturating_sub(elapsed));
        let shortest = (mean / 2).min(longest / 2);
        (shortest + (longest - shortest).mul_f64(self.rng.f64()), first_failure)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const MICROS_PER_S: u64 = 1_000_000;

    fn call_params(shared: bool, gateways: u32, seed: u64) -> DiscoveryCallParams {
        DiscoveryCallParams { shared, gateways, ..DiscoveryCallParams::agent(seed) }
    }

    /// Simulates gateways that all start at once at one service with the given capacity,
    /// whose calls wait in a queue. A call that waits longer than its timeout fails but is
    /// processed all the same; if 3 s of work are queued, further calls are refused.
    /// Returns the second in which the last gateway was answered, and the number of calls.
    fn simulate(gateways: u32, calls_per_second: u64, until_s: u64) -> (Option<u64>, usize) {
        let first_call = |n| {
            let seed = u64::from(n) + 1;
            let mut backoff = Backoff::new(call_params(true, gateways, seed));
            (backoff.first_call_delay(Opening::WithList).as_micros() as u64, backoff)
        };
        let mut pending: Vec<_> = (0..gateways).map(first_call).collect();
        let (mut calls, mut last, mut queue_end) = (0, 0, 0);
        while let Some(next) = (0..pending.len()).min_by_key(|n| pending[*n].0) {
            let (at, backoff) = &mut pending[next];
            if *at >= until_s * MICROS_PER_S {
                return (None, calls);
            }
            calls += 1;
            let refused = queue_end > *at + 3 * MICROS_PER_S;
            if !refused {
                queue_end = (*at).max(queue_end) + MICROS_PER_S / calls_per_second;
            }
            let timeout = backoff.opening_timeout();
            if queue_end <= *at + timeout.as_micros() as u64 {
                last = queue_end;
                pending.swap_remove(next);
            } else {
                let waited = if refused { Duration::ZERO } else { timeout };
                *at += (waited + backoff.record_failure(waited).0).as_micros() as u64;
            }
        }
        (Some(last / MICROS_PER_S), calls)
    }

    // If all gateways call at once, and again 50 ms after each failure, the
    // queue of the service stays full and no call is answered in time any more.
    #[rstest]
    #[case(100, 30)]
    #[case(100, 10)]
    #[case(350, 30)]
    #[case(1024, 100)]
    fn gateways_that_start_at_once_are_all_answered(#[case] gateways: u32, #[case] calls_per_second: u64) {
        let (last, calls) = simulate(gateways, calls_per_second, 120);
        let work_s = u64::from(gateways) / calls_per_second;
        let max_s = 4 * work_s + 12;
        assert!(last.is_some_and(|s| s <= max_s), "last answered at {last:?}, work of {work_s} s");
        assert!(calls <= 5 * gateways as usize, "{calls} calls");
    }

    // A change counts as announced 6 s after the service is back: each
    // gateway must call within that time, but no more often than necessary.
    #[rstest]
    #[case(20)]
    #[case(100)]
    #[case(350)]
    #[case(1024)]
    fn each_gateway_calls_a_failing_service_at_most_once_in_three_seconds(#[case] gateways: u32) {
        // Practically down: the service handles one call a second, and all calls but the first few time out.
        let calls = |until_s| simulate(gateways, 1, until_s).1 as f64;
        let calls_per_second = (calls(160) - calls(80)) / 80.0;
        let max_rate = f64::from(gateways) / 3.0;
        assert!(calls_per_second <= max_rate, "{calls_per_second} calls a second");
    }

    // After an outage of a minute, gateways called again up to 24 s after
    // discovery was back, while changes counted as announced after 6 s.
    #[rstest]
    fn retry_starts_within_the_maximum_interval_after_any_failures(
        #[values(true, false)] shared: bool,
        #[values(1, 30, 350, 1024)] gateways: u32,
        #[values(0, 300, 2_000, 4_000, 5_000)] elapsed_ms: u64,
        #[values(1, 2, 7, 400)] failures: usize,
    ) {
        for seed in 0..20 {
            let mut backoff = Backoff::new(call_params(shared, gateways, seed));
            let elapsed = Duration::from_millis(elapsed_ms);
            let delay = (0..failures)
                .map(|_| backoff.record_failure(elapsed).0)
                .last()
                .expect("at least one failure");
            assert!(elapsed + delay <= MAX_CALL_INTERVAL.max(elapsed), "{delay:?}");
            assert!(backoff.opening_timeout() < MAX_CALL_INTERVAL);
        }
    }

    #[rstest]
    #[case(false, 1024, AGENT_MEAN_DELAYS)]
    #[case(true, 1, (FIRST_MEAN_DELAY, MAX_CALL_INTERVAL * 2 / 3))]
    #[case(true, 1024, (FIRST_MEAN_DELAY, MAX_CALL_INTERVAL * 2 / 3))]
    fn delays_grow_to_their_maximum_and_are_reset_by_a_response(
        #[case] shared: bool,
        #[case] gateways: u32,
        #[case] (shortest, max_mean_delay): (Duration, Duration),
    ) {
        let mut backoff = Backoff::new(call_params(shared, gateways, 7));
        let is_near = |delay: Duration, mean: Duration| delay >= mean / 2 && delay <= mean * 3 / 2;
        for _ in 0..3 {
            let (delay, first) = backoff.record_failure(Duration::ZERO);
            assert!(first && is_near(delay, shortest), "{delay:?}");
            for n in 1..80 {
                let (delay, first) = backoff.record_failure(Duration::ZERO);
                assert!(!first && (n < 5 || is_near(delay, max_mean_delay)), "{delay:?}");
            }
            assert_eq!(backoff.record_response(), 80);
        }
        assert!(
            shared || backoff.first_call_delay(Opening::WithList) == Duration::ZERO,
            "the first call to an agent is delayed"
        );
    }

    // A gateway that was moved to another address waited up to 8 s before
    // its first call there, though changes count as announced after 4 s; a
    // gateway without a list waited as long before it could serve anyone.
    #[rstest]
    #[case::from_a_known_list(Opening::WithList, 10, 4_000, 4_500)]
    #[case::with_a_short_announcement_time(Opening::WithList, 5, 2_000, 3_000)]
    #[case::at_a_new_address(Opening::NewAddress, 10, 1_000, 2_000)]
    #[case::without_a_list(Opening::WithoutList, 10, 500, 1_000)]
    fn first_calls_are_spread_within_their_maximum(
        #[case] opening: Opening,
        #[case] announced_after_s: u64,
        #[case] min_ms: u64,
        #[case] max_ms: u64,
    ) {
        let first_delay = |seed| {
            let announced_after = Duration::from_secs(announced_after_s);
            Backoff::new(DiscoveryCallParams { announced_after, ..call_params(true, 350, seed) })
                .first_call_delay(opening)
        };
        let latest = (0..350).map(first_delay).max();
        let within = Duration::from_millis(min_ms)..=Duration::from_millis(max_ms);
        assert!(latest.is_some_and(|delay| within.contains(&delay)), "{latest:?}");
        // A few gateways do not need such a long delay.
        let delay_of_few = Backoff::new(call_params(true, 4, 7)).first_call_delay(opening);
        assert!(delay_of_few <= Duration::from_millis(120), "{delay_of_few:?}");
    }
}
