//! The slow-start decision at its own boundary.

use meadowlug::slow_start::{Offer, budget};
use rstest::rstest;

/// One of four routers, at a server that regularly takes sixteen calls in a window.
const USUAL: Offer = Offer {
    calls: 16.0,
    routers: 4.0,
    sent: 0.0,
    work: 1.0,
    is_new: true,
    part: 1.0,
    ahead: 1.0,
    known: 1.0,
    draw: 0.1,
};

/// How many such calls are admitted one after the other.
fn admitted(offer: Offer) -> usize {
    let mut offer = offer;
    let mut count = 0;
    while offer.is_admitted() && count < 10_000 {
        offer.sent += offer.work;
        count += 1;
    }
    count
}

#[rstest]
#[case::none(0.0, 3.0)]
#[case::few(16.0, 31.0)]
#[case::just_below(29.99, 30.0 + 2.0 * 30f64.sqrt() + 2.0)]
#[case::many(100.0, 122.0)]
fn budget_is_what_is_regular_and_an_allowance_for_chance(#[case] calls: f64, #[case] expected: f64) {
    assert!((budget(calls) - expected).abs() < 0.01, "{}", budget(calls));
}

#[test]
fn budget_never_passes_the_rule_and_never_falls_as_the_server_warms_up() {
    let mut before = 0.0;
    for tenth in 0..4_000 {
        let calls = f64::from(tenth) / 10.0;
        let least =
            if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 };
        assert!(budget(calls) <= least + 1e-9 && budget(calls) >= before, "{calls}");
        before = budget(calls);
    }
}

#[rstest]
#[case::alone(1.0, 31)]
#[case::four(4.0, 7)]
#[case::ten(10.0, 3)]
fn routers_share_the_budget_in_whole_calls(#[case] routers: f64, #[case] each: usize) {
    assert_eq!(admitted(Offer { routers, ..USUAL }), each);
    assert!(routers * each as f64 <= budget(USUAL.calls));
}

#[test]
fn long_calls_use_up_the_quota_sooner() {
    assert_eq!(admitted(Offer { work: 3.0, ..USUAL }), 2);
}

// Draws do not know of each other: what a router may add to what waits elsewhere is left to those that just came.
#[test]
fn where_the_quota_is_below_two_calls_only_new_ones_are_drawn() {
    let many = Offer { routers: 300.0, ..USUAL };
    assert!(many.is_admitted());
    assert!(!Offer { is_new: false, ..many }.is_admitted());
    assert!(!Offer { draw: 0.9, ..many }.is_admitted());
}

#[test]
fn part_of_calls_that_is_drawn_stays_below_what_a_burst_leaves_room_for() {
    let part = |calls: f64, ahead: f64| {
        let offer = |n: u32| Offer { routers: 300.0, calls, ahead, draw: f64::from(n) / 1e4, ..USUAL };
        (0..10_000).take_while(|n| offer(*n).is_admitted()).count() as f64 / 1e4
    };
    for calls in [1.0, 5.0, 20.0, 100.0, 250.0] {
        let most = part(calls, 10.0) * calls * 1.5;
        assert!(most + 2.0 * most.sqrt() <= budget(calls), "{most} of {calls}");
    }
    let unknown = Offer { routers: 300.0, known: 0.0, draw: 0.3, ..USUAL };
    assert!(!unknown.is_admitted() && Offer { known: 1.0, ..unknown }.is_admitted());
}

// A call that is more than the whole budget waits until the server has warmed up; one within it has its chance.
#[rstest]
#[case::over_the_quota(10.0, true)]
#[case::over_the_budget(32.0, false)]
#[case::absurd(1e300, false)]
fn call_larger_than_the_quota_is_drawn_if_it_fits_the_budget(#[case] work: f64, #[case] may: bool) {
    assert_eq!(Offer { work, draw: 0.0, ..USUAL }.is_admitted(), may);
}

#[rstest]
#[case::no_capacity(Offer { calls: 0.0, ..USUAL })]
#[case::below_none(Offer { calls: -5.0, ..USUAL })]
#[case::not_a_number(Offer { calls: f64::NAN, ..USUAL })]
#[case::without_bound(Offer { calls: f64::INFINITY, ..USUAL })]
#[case::unknown_part(Offer { part: f64::NAN, ..USUAL })]
#[case::unknown_work(Offer { work: f64::NAN, ..USUAL })]
#[case::no_routers(Offer { routers: f64::NAN, ..USUAL })]
fn senseless_figures_give_no_more_than_what_is_put_down_to_chance(#[case] offer: Offer) {
    assert!(admitted(Offer { draw: 0.0, is_new: false, ..offer }) <= 3);
}
