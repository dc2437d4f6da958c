//! Servers in slow start under all processes of a fleet at once: what reaches them in any window keeps to their budget.

mod common;
mod simulation;
use rstest::rstest;
use simulation::*;

/// Plays of each scenario; the variable asks for more of them.
fn seeds() -> u64 {
    let told = std::env::var("MEADOWLUG_TEST_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    told.unwrap_or(6)
}

/// More of everything that makes what one process sends unlike its part.
const HARD: Scenario = Scenario {
    sessions: Sessions::Hot,
    varied: true,
    burst: (2.5, 0.5, 3.5),
    late_dials: 0.3,
    resets: 0.05,
    ..USUAL
};

#[rstest]
#[case::usual(USUAL)]
#[case::small_servers(Scenario { capacity: 1.0, ..USUAL })]
#[case::large_servers(Scenario { capacity: 50.0, for_s: 5.0, ..USUAL })]
#[case::small_multiple(Scenario { multiple: 1.5, window_s: 3.0, ..USUAL })]
#[case::few_writers(Scenario { writers: 3, ..USUAL })]
#[case::one_zone(Scenario { zones: 1, ..USUAL })]
#[case::turns(Scenario { sessions: Sessions::Turns, ..USUAL })]
#[case::hot_sessions(Scenario { sessions: Sessions::Hot, ..USUAL })]
#[case::varied_work(Scenario { varied: true, ..USUAL })]
#[case::burst_before(Scenario { burst: (2.0, -4.0, 2.0), ..USUAL })]
#[case::burst_at_the_start(Scenario { burst: (2.5, 0.0, 3.0), ..USUAL })]
#[case::burst_after(Scenario { burst: (2.5, 3.0, 6.0), ..USUAL })]
#[case::burst_of_hot_sessions(Scenario { burst: (2.5, 1.0, 4.0), sessions: Sessions::Hot, ..USUAL })]
#[case::zone_dies(Scenario { zone_dies: true, ..USUAL })]
#[case::zone_dies_in_a_burst(Scenario { zone_dies: true, burst: (2.0, 1.0, 5.0), ..USUAL })]
#[case::one_process_gets_nearly_all(Scenario { uneven: 0.9, ..USUAL })]
#[case::uneven_burst(Scenario { uneven: 0.9, burst: (2.5, 1.0, 4.0), ..USUAL })]
#[case::late_dials(Scenario { late_dials: 0.5, ..USUAL })]
#[case::resets(Scenario { resets: 0.2, ..USUAL })]
#[case::quarter(Scenario { restart: Restart::Quarter, ..USUAL })]
#[case::half(Scenario { restart: Restart::Half, load: 0.8, ..USUAL })]
#[case::all(Scenario { restart: Restart::All, ..USUAL })]
#[case::all_in_one_zone(Scenario { restart: Restart::All, zones: 1, load: 0.9, ..USUAL })]
#[case::zone_returns(Scenario { restart: Restart::Zone, ..USUAL })]
#[case::zone_returns_and_is_told_late(Scenario { restart: Restart::Zone, learn_over_s: 4.0, ..USUAL })]
#[case::last_ones_left(Scenario { restart: Restart::LastOnesLeft, ..USUAL })]
#[case::last_ones_left_in_a_burst(Scenario { restart: Restart::LastOnesLeft, burst: (2.0, 0.5, 4.0), ..USUAL })]
#[case::starts_twice(Scenario { restart: Restart::Twice, ..USUAL })]
#[case::told_over_seconds(Scenario { learn_over_s: 3.0, ..USUAL })]
#[case::told_late_in_a_burst(Scenario { learn_over_s: 2.0, burst: (2.5, 0.0, 4.0), ..USUAL })]
#[case::processes_restart(Scenario { restarted: 0.7, ..USUAL })]
#[case::processes_restart_in_a_burst(Scenario { restarted: 1.0, burst: (2.5, 0.0, 4.0), ..USUAL })]
#[case::reload_of_the_shares(Scenario { reload: Some(Reload::Shares), ..USUAL })]
#[case::reload_of_the_process_count(Scenario { reload: Some(Reload::Processes), ..USUAL })]
#[case::reload_of_the_rule(Scenario { reload: Some(Reload::Rule), burst: (2.0, 2.5, 6.0), ..USUAL })]
#[case::shares_not_told(Scenario { told: 0.0, ..USUAL })]
#[case::shares_not_told_in_a_burst(Scenario { told: 0.0, burst: (2.5, 1.0, 4.0), ..USUAL })]
#[case::no_reports(Scenario { reports: false, ..USUAL })]
#[case::overload(Scenario { load: 1.3, ..USUAL })]
#[case::hard(HARD)]
#[case::hard_zone_returns(Scenario { restart: Restart::Zone, ..HARD })]
#[case::hard_all(Scenario { restart: Restart::All, zones: 1, ..HARD })]
#[case::hard_uneven(Scenario { uneven: 0.9, restarted: 0.5, ..HARD })]
fn few_processes_together_keep_to_the_budget(
    #[case] scenario: Scenario,
    #[values(2, 3, 5, 8)] processes: u32,
) {
    keeps_to_the_budget(Scenario { processes, ..scenario });
}

#[rstest]
#[case::usual(USUAL)]
#[case::hot_sessions_in_a_burst(Scenario { burst: (2.5, 1.0, 4.0), sessions: Sessions::Hot, ..USUAL })]
#[case::varied_work(Scenario { varied: true, ..USUAL })]
#[case::zone_dies_in_a_burst(Scenario { zone_dies: true, burst: (2.0, 1.0, 5.0), ..USUAL })]
#[case::uneven_burst(Scenario { uneven: 0.9, burst: (2.5, 1.0, 4.0), ..USUAL })]
#[case::half(Scenario { restart: Restart::Half, load: 0.8, ..USUAL })]
#[case::zone_returns(Scenario { restart: Restart::Zone, learn_over_s: 2.0, ..USUAL })]
#[case::last_ones_left(Scenario { restart: Restart::LastOnesLeft, ..USUAL })]
#[case::processes_restart_in_a_burst(Scenario { restarted: 1.0, burst: (2.5, 0.0, 4.0), ..USUAL })]
#[case::shares_not_told(Scenario { told: 0.0, burst: (2.0, 1.0, 4.0), ..USUAL })]
#[case::small_servers(Scenario { capacity: 1.0, ..USUAL })]
#[case::hard(HARD)]
fn many_processes_together_keep_to_the_budget(#[case] scenario: Scenario, #[values(30, 300)] processes: u32) {
    keeps_to_the_budget(Scenario { processes, readers: 18, writers: 18, for_s: 6.0, ..scenario });
}

fn keeps_to_the_budget(scenario: Scenario) {
    let over = |seed| overloads(&scenario, &Simulation::play(scenario, seed));
    let all: Vec<_> = (0..seeds()).map(over).filter(|over| !over.is_empty()).collect();
    assert!(all.is_empty(), "{} of {} plays: {:.1?}", all.len(), seeds(), all[0]);
}

/// The part of the rule's multiple that servers in slow start get has to be worth their being there: this much of it.
const USED_AT_LEAST: f64 = 0.1;

#[rstest]
#[case::usual(USUAL)]
#[case::one_zone(Scenario { zones: 1, ..USUAL })]
#[case::half(Scenario { restart: Restart::Half, load: 0.8, ..USUAL })]
#[case::all(Scenario { restart: Restart::All, ..USUAL })]
#[case::varied_work(Scenario { varied: true, ..USUAL })]
#[case::shares_not_told(Scenario { told: 0.0, ..USUAL })]
#[case::large_servers(Scenario { capacity: 50.0, for_s: 5.0, ..USUAL })]
fn servers_in_slow_start_get_a_part_of_their_budget(
    #[case] scenario: Scenario,
    #[values(2, 8, 30, 300)] processes: u32,
) {
    let servers = if processes > 8 { 18 } else { 6 };
    let scenario = Scenario { processes, readers: servers, writers: servers, ..scenario };
    let (mut got, mut could) = (0.0, 0.0);
    for seed in 0..seeds() {
        let (used, budget) = used(&scenario, &Simulation::play(scenario, seed));
        got += used;
        could += budget;
    }
    assert!(got >= USED_AT_LEAST * could, "{got:.0} of {could:.0}");
}

// What finds no budget is answered, and a fleet that is cold altogether serves what it may.
#[rstest]
fn fleet_that_is_cold_altogether_serves(#[values(2, 8, 30)] processes: u32, #[values(0.5, 0.9)] load: f64) {
    let scenario = Scenario { processes, load, restart: Restart::All, ..USUAL };
    let plays: Vec<_> = (0..seeds()).map(|seed| Simulation::play(scenario, seed)).collect();
    let sum = |count: fn(&Record) -> usize| plays.iter().map(count).sum::<usize>();
    let (asked, served, unanswered) = (sum(|r| r.asked), sum(|r| r.served), sum(|r| r.unanswered));
    assert_eq!(unanswered, 0);
    assert!(served * 3 > asked, "{served} of {asked} served");
}
