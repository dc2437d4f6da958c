//! Tests of the five rules of the protocol, each named for the behaviour that the rule demands.

mod common;
use common::*;
use meadowlug::interface::*;

fn unsafe_request(name: &str) -> Arrival {
    Arrival { class: 1, ..arrival(name) }
}

#[test]
fn request_without_servers_gets_one_answer_before_its_client_leaves() {
    let mut harness = Harness::new(settings(), &[]);
    let start = harness.now;
    harness.submit(Arrival { expires_in: 300_000, ..arrival("a") });
    let mut answers = 0;
    while harness.now < start + 400_000 {
        let actions = harness.advance(20_000);
        let answered = is_refused(&actions, "a") || is_failed(&actions, "a");
        assert!(!answered || harness.now <= start + 300_000, "answered after the client had left");
        answers += usize::from(answered);
    }
    assert_eq!(answers, 1);
}

#[test]
fn expired_request_is_refused_at_once() {
    let mut harness = Harness::new(settings(), &[1, 11]);
    let actions = harness.submit(Arrival { expires_in: 0, ..arrival("a") });
    assert!(is_refused(&actions, "a"));
    assert!(servers_sent_to(&actions, "a").is_empty());
}

#[test]
fn client_deadline_shorter_than_the_class_deadline_applies() {
    let mut harness = Harness::new(settings(), &[1, 11]);
    assert_eq!(servers_sent_to(&harness.submit(Arrival { expires_in: 700_000, ..arrival("a") }), "a"), [1]);
    let actions = harness.advance(700_000);
    assert!(is_refused(&actions, "a"));
}

#[test]
fn unsafe_request_is_neither_repeated_nor_refused_after_an_ambiguous_writer_outcome() {
    for status in [Status::Error, Status::Reset, Status::TimedOut, Status::Cancelled] {
        let mut harness = Harness::new(settings(), &[1, 11, 12]);
        harness.submit(unsafe_request("a"));
        harness.complete_read("a", 0);
        let actions = harness.end_attempt("a", 1, status);
        assert!(is_failed(&actions, "a"), "{status:?}: {actions:?}");
        assert!(servers_sent_to(&actions, "a").is_empty() && !is_refused(&actions, "a"));
    }
}

#[test]
fn unsafe_request_goes_on_after_an_outcome_that_proves_it_never_ran() {
    for status in [Status::Rejected, Status::NoConnection] {
        let mut harness = Harness::new(settings(), &[1, 11, 12]);
        harness.submit(unsafe_request("a"));
        let first_writer = servers_sent_to(&harness.complete_read("a", 0), "a")[0];
        let second_writer = servers_sent_to(&harness.end_attempt("a", 1, status), "a");
        assert_eq!(second_writer.len(), 1, "{status:?}");
        assert_ne!(second_writer[0], first_writer);
    }
}

#[test]
fn unsafe_request_at_a_silent_writer_is_failed_not_refused_at_its_deadline() {
    let mut harness = Harness::new(settings(), &[1, 11, 12]);
    harness.submit(unsafe_request("a"));
    harness.complete_read("a", 0);
    let actions = harness.advance(5_000_000);
    assert!(is_failed(&actions, "a") && !is_refused(&actions, "a"));
    assert!(servers_sent_to(&actions, "a").is_empty());
}

#[test]
fn server_that_reads_and_writes_counts_as_a_writer() {
    let mut harness = Harness::new(settings(), &[21, 22]);
    assert_eq!(servers_sent_to(&harness.submit(unsafe_request("a")), "a").len(), 1);
    let actions = harness.end_attempt("a", 0, Status::Reset);
    assert!(is_failed(&actions, "a"));
}

fn settings_with_keyed_class(group: Group, window: Micros) -> Settings {
    let effect = Effect::Keyed { group, window };
    Settings { classes: vec![Class { effect, ..Class::default() }], ..settings() }
}

#[test]
fn keyed_request_stays_in_its_group_once_it_may_have_run() {
    let mut harness = Harness::new(settings_with_keyed_class(Group::Zone, 5_000_000), &[]);
    harness.set_full_roster(vec![
        entry_in_zone(1, 0),
        entry_in_zone(11, 0),
        entry_in_zone(12, 0),
        entry_in_zone(13, 1),
    ]);
    harness.submit(arrival("a"));
    let first_writer = servers_sent_to(&harness.complete_read("a", 0), "a")[0];
    assert_ne!(first_writer, 13, "a writer of the reader's zone is preferred");
    let second_writer = servers_sent_to(&harness.end_attempt("a", 1, Status::Reset), "a");
    assert!([11, 12].contains(&second_writer[0]) && second_writer[0] != first_writer);
    let actions = harness.end_attempt("a", 2, Status::Reset);
    assert!(!servers_sent_to(&actions, "a").contains(&13));
    assert!(!is_refused(&harness.advance(5_000_000), "a"), "a keyed request of one zone may not be refused");
}

#[test]
fn keyed_request_is_not_sent_past_its_window() {
    let mut harness = Harness::new(settings_with_keyed_class(Group::All, 400_000), &[1, 11, 12]);
    harness.submit(arrival("a"));
    harness.complete_read("a", 0);
    harness.now += 450_000;
    let mut actions = harness.end_attempt("a", 1, Status::Reset);
    actions.extend(harness.advance(5_000_000));
    assert!(servers_sent_to(&actions, "a").is_empty());
    assert!(is_refused(&actions, "a"), "a refusal is harmless where all servers drop repeats");
}

#[test]
fn drain_announced_while_requests_are_queued_stops_sends_at_once() {
    let mut harness = Harness::new(settings(), &[1, 11]);
    for number in 0..8 {
        harness.submit(arrival(&number.to_string()));
    }
    let draining = Entry { condition: Condition::Draining, ..entry(1) };
    harness.handle(&[Event::Roster { form: RosterForm::Delta, entries: vec![draining] }]);
    let mut actions = harness.complete_read("0", 0);
    actions.extend(harness.advance(2_000_000));
    assert!(all_requests_sent(&actions).iter().all(|(_, server)| *server != 1), "{actions:?}");
}

#[test]
fn server_missing_from_a_full_roster_gets_no_request() {
    let mut harness = Harness::new(settings(), &[1, 2, 11]);
    harness.set_full_roster(vec![entry(2), entry(11)]);
    for number in 0..4 {
        assert!(
            !servers_sent_to(&harness.submit(arrival(&number.to_string())), &number.to_string()).contains(&1)
        );
    }
}

#[test]
fn burst_does_not_overload_a_cold_reader() {
    let mut harness = Harness::new(Settings { replicas: 3, ..settings() }, &[]);
    let cold = Entry { started_at: harness.now, ..entry(2) };
    harness.set_full_roster(vec![entry(1), cold, entry(11)]);
    let mut sent_to_cold = 0;
    for number in 0..30 {
        let name = number.to_string();
        let actions = harness.submit(arrival(&name));
        sent_to_cold += all_requests_sent(&actions).iter().filter(|(_, s)| *s == 2).count();
        harness.now += 10_000;
    }
    // A warm reader gets 15 requests; at 0.3 of its capacity and an overload factor of 2 the rule allows 9.
    assert!((1..9).contains(&sent_to_cold), "{sent_to_cold} of 30 requests went to the cold reader");
}

#[test]
fn state_of_a_late_read_of_an_ended_request_is_released() {
    let mut harness = Harness::new(settings(), &[1, 11]);
    harness.submit(arrival("a"));
    harness.handle(&[Event::Abandoned { id: id("a") }]);
    assert!(is_released(&harness.complete_read("a", 0), "a"));
}

#[test]
fn state_without_a_writer_is_released_in_time() {
    let mut harness = Harness::new(settings(), &[1]);
    harness.set_full_roster(vec![entry(1), entry(11)]);
    harness.submit(arrival("a"));
    harness.set_full_roster(vec![entry(1)]);
    harness.complete_read("a", 0);
    assert!(is_released(&harness.advance(480_000), "a"));
}

#[test]
fn lost_answer_of_a_read_releases_the_state_it_may_have_left() {
    let mut harness = Harness::new(settings(), &[1, 2, 11]);
    harness.submit(arrival("a"));
    assert!(is_released(&harness.end_attempt("a", 0, Status::Reset), "a"));
}

#[test]
fn unsafe_request_is_not_refused_while_a_read_is_in_flight() {
    let mut harness = Harness::new(settings(), &[1, 11]);
    harness.submit(unsafe_request("a"));
    let mut actions = harness.advance(4_960_000);
    assert!(!is_refused(&actions, "a"), "the request was refused with a read in flight");
    assert!(actions.contains(&Action::Cancel { id: id("a"), attempt: 0 }));
    actions = harness.end_attempt("a", 0, Status::Cancelled);
    assert!(is_refused(&actions, "a"), "nothing ran, so the request must be refused: {actions:?}");
}

#[test]
fn state_that_a_writer_could_not_fetch_is_released() {
    let mut harness = Harness::new(settings(), &[1, 11, 12]);
    harness.submit(arrival("a"));
    harness.complete_read("a", 0);
    let actions = harness.end_attempt_with_report("a", 1, Status::Rejected, 1.0, Load::default());
    assert!(is_released(&actions, "a"), "the reader may still hold the state although it is unreachable");
}

// Connections to an unreachable zone time out, and the hold timeout of a state continues meanwhile. Each
// failed dial of 250 ms restarted the timeout as if the state had just been read, so the state was held for a
// second.
#[test]
fn state_whose_writers_are_unreachable_is_released_in_time() {
    let short_hold = Settings { max_state_hold: 300_000, ..settings() };
    let mut harness = Harness::new(short_hold, &[1, 11, 12, 13, 14]);
    harness.submit(arrival("a"));
    harness.complete_read("a", 0);
    let read_at = harness.now;
    for attempt in 1..4 {
        let mut actions = harness.advance(250_000);
        actions.extend(harness.end_attempt("a", attempt, Status::NoConnection));
        if is_released(&actions, "a") {
            break;
        }
    }
    assert!(harness.now - read_at <= 300_000, "the state was held for {} ms", (harness.now - read_at) / 1000);
}

// A request whose repeats were no longer harmless was kept open until its client left, although no other
// answer than a failure was possible any more.
#[test]
fn keyed_request_past_its_window_is_failed_at_once() {
    let mut harness = Harness::new(settings_with_keyed_class(Group::Zone, 1_000_000), &[1, 11]);
    harness.submit(unsafe_request("a"));
    harness.complete_read("a", 0);
    harness.set_full_roster(vec![entry(1), Entry { condition: Condition::Draining, ..entry(11) }]);
    // No repeat is sent in the last 200 ms of the window, since it might arrive only after the window's end.
    harness.now += 780_000;
    let actions = harness.end_attempt("a", 1, Status::Reset);
    assert!(!is_failed(&actions, "a"), "the request was failed although a repeat was still possible");
    let actions = harness.advance(40_000);
    assert!(is_failed(&actions, "a") && !is_refused(&actions, "a"), "{actions:?}");
}

// A repeat was decided within the window but written after it, because its connection was established late.
#[test]
fn repeat_of_a_keyed_request_carries_the_time_by_which_it_must_be_written() {
    let mut harness = Harness::new(settings_with_keyed_class(Group::All, 1_000_000), &[1, 11, 12]);
    let repeat_deadline = |actions: &[Action]| {
        let deadline_of_send = |action: &Action| match action {
            Action::Send { repeat_deadline, .. } => Some(*repeat_deadline),
            _ => None,
        };
        actions.iter().find_map(deadline_of_send).expect("the request is sent")
    };
    assert_eq!(repeat_deadline(&harness.submit(unsafe_request("a"))), None);
    let after_read = harness.complete_read("a", 0);
    let sent_at = harness.now;
    assert_eq!(repeat_deadline(&after_read), None);
    harness.now += 300_000;
    assert_eq!(repeat_deadline(&harness.end_attempt("a", 1, Status::Reset)), Some(sent_at + 1_000_000));
}

// A settings reload during a request that must not run twice made the request count as safe to repeat.
#[test]
fn request_keeps_the_settings_under_which_it_arrived() {
    let safe_classes = Settings { classes: vec![Class::default(); 2], max_attempts: 9, ..settings() };
    let mut harness = Harness::new(settings(), &[1, 11, 12]);
    harness.submit(unsafe_request("a"));
    harness.complete_read("a", 0);
    harness.handle(&[Event::Settings(safe_classes)]);
    let actions = harness.end_attempt("a", 1, Status::Reset);
    assert!(is_failed(&actions, "a") && servers_sent_to(&actions, "a").is_empty(), "{actions:?}");
    // A request that arrives now belongs to a safe class.
    harness.submit(unsafe_request("b"));
    harness.complete_read("b", 0);
    assert_eq!(servers_sent_to(&harness.end_attempt("b", 1, Status::Reset), "b").len(), 1);
}
