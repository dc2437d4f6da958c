//! Choice of the reader in simulated deployments: all routers agree, few prefixes move when a reader joins or
//! leaves, no reader is overloaded by one prefix, and invalid lengths do not affect other requests.

mod common;
use common::*;
use meadowlug::interface::*;
use rstest::rstest;
use std::collections::BTreeMap;

/// A deployment and the prefixes and lengths of its requests.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    routers: u32,
    readers: u32,
    prefixes: usize,
    prefix_tokens: f64,
    prompt_tokens: f64,
    /// Memory of each server kind in tokens; 0 if it is not configured.
    server_memory_tokens: f64,
}

const MANY_ROUTERS: Deployment = Deployment {
    routers: 300,
    readers: 40,
    prefixes: 200,
    prefix_tokens: 5_000.0,
    prompt_tokens: 8_000.0,
    server_memory_tokens: 600_000.0,
};

impl Deployment {
    fn router(&self, readers: &[u32]) -> Harness {
        let settings = Settings {
            replicas: self.routers,
            memory_tokens: if self.server_memory_tokens > 0.0 {
                vec![self.server_memory_tokens; 3]
            } else {
                Vec::new()
            },
            ..settings()
        };
        let mut router = Harness::new(settings, &[]);
        let reader = |number: &u32| Entry { server: ServerId(*number), ..Entry::default() };
        let writer = |number: u32| Entry { server: ServerId(9_000 + number), kind: 1, ..Entry::default() };
        router.set_full_roster(readers.iter().map(reader).chain((1..4).map(writer)).collect());
        router
    }

    fn arrival_with_prefix(&self, name: &str, prefix_number: usize) -> Arrival {
        Arrival {
            session: Some(name.into()),
            prefix: (self.prefixes > 0).then(|| format!("beginning {prefix_number}").into()),
            prefix_tokens: self.prefix_tokens,
            prompt_tokens: self.prompt_tokens,
            ..arrival(name)
        }
    }

    /// Sends a request, ends it, and returns the reader that it was sent to.
    fn reader_of_request(&self, router: &mut Harness, name: &str, prefix_number: usize) -> Option<u32> {
        let sent_requests = all_requests_sent(&router.submit(self.arrival_with_prefix(name, prefix_number)));
        router.handle(&[Event::Abandoned { id: id(name) }]);
        router.end_attempt(name, 0, Status::Cancelled);
        sent_requests.first().map(|(_, server)| *server)
    }

    /// Sends one request of each prefix, each at a router of its own, and returns their readers.
    fn preferred_readers(&self, readers: &[u32]) -> Vec<Option<u32>> {
        let reader_of_prefix =
            |number: usize| self.reader_of_request(&mut self.router(readers), &format!("s{number}"), number);
        (0..self.prefixes.max(100)).map(reader_of_prefix).collect()
    }
}

#[rstest]
#[case::many_routers(MANY_ROUTERS)]
#[case::few_routers(Deployment { routers: 3, readers: 6, ..MANY_ROUTERS })]
#[case::short_prompts(Deployment { prefix_tokens: 100.0, prompt_tokens: 200.0, ..MANY_ROUTERS })]
#[case::no_prefixes(Deployment { prefixes: 0, prefix_tokens: 0.0, ..MANY_ROUTERS })]
#[case::memory_not_configured(Deployment { server_memory_tokens: 0.0, ..MANY_ROUTERS })]
fn routers_agree_on_preferred_readers_and_few_prefixes_move(#[case] deployment: Deployment) {
    let all_readers: Vec<_> = (1..=deployment.readers).collect();
    let initial = deployment.preferred_readers(&all_readers);
    assert!(initial.iter().all(Option::is_some));
    let reordered: Vec<_> =
        deployment.preferred_readers(&all_readers.iter().rev().copied().collect::<Vec<_>>());
    assert_eq!(initial, reordered, "the order of the roster must not matter");
    // One reader leaves: only prefixes that preferred it move.
    let without_first_reader = deployment.preferred_readers(&all_readers[1..]);
    for (before, after) in initial.iter().zip(&without_first_reader) {
        assert!(before == after || *before == Some(1), "a prefix moved from {before:?} to {after:?}");
        assert_ne!(*after, Some(1), "the reader is no longer in the roster");
    }
    // No reader gets much more than its equal part, since there are at least as many prefixes as readers.
    let mut requests_by_reader = BTreeMap::<u32, usize>::new();
    initial.iter().flatten().for_each(|reader| *requests_by_reader.entry(*reader).or_default() += 1);
    let mean = initial.len() as f64 / f64::from(deployment.readers);
    let max_requests = requests_by_reader.values().max().copied().unwrap_or(0) as f64;
    assert!(
        max_requests <= mean + 4.0 * mean.sqrt() + 1.0,
        "a reader got {max_requests} requests, {mean} on average"
    );
}

#[rstest]
#[case::prefix_of_all_requests(1)]
#[case::prefix_of_half_of_the_requests(2)]
fn common_prefix_has_several_preferred_readers(#[case] common_prefix_interval: usize) {
    let all_readers: Vec<_> = (1..=MANY_ROUTERS.readers).collect();
    let mut router = MANY_ROUTERS.router(&all_readers);
    let mut common_prefix_requests = BTreeMap::<u32, usize>::new();
    for number in 0..400 {
        let prefix_number = if number % common_prefix_interval == 0 { 0 } else { number };
        let chosen_reader = MANY_ROUTERS
            .reader_of_request(&mut router, &format!("s{number}"), prefix_number)
            .expect("a reader is available");
        if prefix_number == 0 && number >= 100 {
            *common_prefix_requests.entry(chosen_reader).or_default() += 1;
        }
    }
    let sent: usize = common_prefix_requests.values().sum();
    let max_requests = common_prefix_requests.values().max().copied().unwrap_or(0);
    // The prefix gets preferred readers in proportion to its part of the requests. The hash may give a reader
    // up to three times the mean.
    assert!(
        max_requests * MANY_ROUTERS.readers as usize / common_prefix_interval <= 3 * sent,
        "a reader got {max_requests} of the {sent} requests with the common prefix"
    );
}

#[test]
fn draining_reader_gets_no_new_request() {
    let all_readers: Vec<_> = (1..=MANY_ROUTERS.readers).collect();
    for number in 0..100 {
        let mut router = MANY_ROUTERS.router(&all_readers);
        let preferred_reader =
            MANY_ROUTERS.reader_of_request(&mut router, "before", number).expect("a reader is available");
        let draining =
            Entry { server: ServerId(preferred_reader), condition: Condition::Draining, ..Entry::default() };
        router.handle(&[Event::Roster { form: RosterForm::Delta, entries: vec![draining] }]);
        assert_ne!(MANY_ROUTERS.reader_of_request(&mut router, "after", number), Some(preferred_reader));
    }
}

// A request whose length exceeds every engine's memory or is invalid gets at most one final answer and does
// not affect later requests.
#[rstest]
#[case::longer_than_any_memory(1e9, 0.0)]
#[case::prefix_longer_than_the_prompt(10.0, 1e9)]
#[case::zero_lengths(0.0, 0.0)]
#[case::not_a_number(f64::NAN, 100.0)]
#[case::prefix_not_a_number(100.0, f64::NAN)]
#[case::infinite(f64::INFINITY, 100.0)]
#[case::negative(-5.0, -7.0)]
fn invalid_length_does_not_affect_other_requests(#[case] prompt: f64, #[case] prefix: f64) {
    let mut harness = Harness::new(settings(), &[1, 2, 11]);
    let invalid =
        Arrival { prompt_tokens: prompt, prefix_tokens: prefix, prefix: Some("p".into()), ..arrival("odd") };
    let mut actions = harness.submit(invalid);
    if !all_requests_sent(&actions).is_empty() {
        actions.extend(harness.complete_read("odd", 0));
        harness.first_token("odd", 1);
        actions.extend(harness.end_attempt("odd", 1, Status::Served));
    }
    actions.extend(harness.advance(6_000_000));
    let answers = actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count();
    assert!(answers <= 1, "{actions:?}");
    for number in 0..12 {
        let name = format!("usual{number}");
        assert_eq!(all_requests_sent(&harness.submit(arrival(&name))).len(), 1, "{name}");
        harness.complete_read(&name, 0);
        harness.first_token(&name, 1);
        harness.end_attempt(&name, 1, Status::Served);
    }
}
