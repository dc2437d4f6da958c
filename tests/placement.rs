//! Where requests are read, over made-up deployments: the same at every router, few moves when a reader comes or
//! goes, no reader drowned by one beginning, and lawful answers to lengths that make no sense.

mod common;
use common::*;
use meadowlug::interface::*;
use rstest::rstest;
use std::collections::BTreeMap;

/// A deployment: its routers, readers, beginnings with their tokens, and whether memory is told.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    routers: u32,
    readers: u32,
    beginnings: usize,
    prefix_tokens: f64,
    prompt_tokens: f64,
    memory: f64,
}

const MANY: Deployment = Deployment {
    routers: 300,
    readers: 40,
    beginnings: 200,
    prefix_tokens: 5_000.0,
    prompt_tokens: 8_000.0,
    memory: 600_000.0,
};

impl Deployment {
    fn router(&self, readers: &[u32]) -> Harness {
        let settings = Settings {
            replicas: self.routers,
            memory_tokens: if self.memory > 0.0 { vec![self.memory; 3] } else { Vec::new() },
            ..settings()
        };
        let mut router = Harness::new(settings, &[]);
        let reader = |n: &u32| Entry { server: ServerId(*n), ..Entry::default() };
        let writer = |n: u32| Entry { server: ServerId(9_000 + n), kind: 1, ..Entry::default() };
        router.roster(readers.iter().map(reader).chain((1..4).map(writer)).collect());
        router
    }

    fn ask(&self, name: &str, beginning: usize) -> Arrival {
        Arrival {
            session: Some(name.into()),
            prefix: (self.beginnings > 0).then(|| format!("beginning {beginning}").into()),
            prefix_tokens: self.prefix_tokens,
            prompt_tokens: self.prompt_tokens,
            ..arrival(name)
        }
    }

    /// Where a request is read; nothing is left of it.
    fn read(&self, router: &mut Harness, name: &str, beginning: usize) -> Option<u32> {
        let sends = all_sends(&router.ask(self.ask(name, beginning)));
        router.handle(&[Event::Abandoned { id: id(name) }]);
        router.ended(name, 0, Status::Cancelled);
        sends.first().map(|(_, to)| *to)
    }

    /// Where one request of each beginning is read, each at a router of its own.
    fn homes(&self, readers: &[u32]) -> Vec<Option<u32>> {
        let one = |n: usize| self.read(&mut self.router(readers), &format!("s{n}"), n);
        (0..self.beginnings.max(100)).map(one).collect()
    }
}

#[rstest]
#[case::many(MANY)]
#[case::few(Deployment { routers: 3, readers: 6, ..MANY })]
#[case::short_prompts(Deployment { prefix_tokens: 100.0, prompt_tokens: 200.0, ..MANY })]
#[case::no_beginnings(Deployment { beginnings: 0, prefix_tokens: 0.0, ..MANY })]
#[case::memory_not_told(Deployment { memory: 0.0, ..MANY })]
fn every_router_finds_the_same_home_and_few_move(#[case] deployment: Deployment) {
    let all: Vec<_> = (1..=deployment.readers).collect();
    let homes = deployment.homes(&all);
    assert!(homes.iter().all(Option::is_some));
    let again: Vec<_> = deployment.homes(&all.iter().rev().copied().collect::<Vec<_>>());
    assert_eq!(homes, again, "in whatever order they are listed");
    // One reader goes: only what was its own moves.
    let without = deployment.homes(&all[1..]);
    for (before, after) in homes.iter().zip(&without) {
        assert!(before == after || *before == Some(1), "{before:?} moved to {after:?}");
        assert_ne!(*after, Some(1), "it is no longer listed");
    }
    // Nobody has much more than its part: beginnings are as many as readers, or far more.
    let mut parts = BTreeMap::<u32, usize>::new();
    homes.iter().flatten().for_each(|home| *parts.entry(*home).or_default() += 1);
    let mean = homes.len() as f64 / f64::from(deployment.readers);
    let most = parts.values().max().copied().unwrap_or(0) as f64;
    assert!(most <= mean + 4.0 * mean.sqrt() + 1.0, "{most} of {mean}");
}

#[rstest]
#[case::one_for_all(1)]
#[case::half_of_all(2)]
fn beginning_that_many_bring_has_several_homes(#[case] of: usize) {
    let all: Vec<_> = (1..=MANY.readers).collect();
    let mut router = MANY.router(&all);
    let mut hot = BTreeMap::<u32, usize>::new();
    for n in 0..400 {
        let beginning = if n % of == 0 { 0 } else { n };
        let home = MANY.read(&mut router, &format!("s{n}"), beginning).expect("a reader");
        if beginning == 0 && n >= 100 {
            *hot.entry(home).or_default() += 1;
        }
    }
    let sent: usize = hot.values().sum();
    let most = hot.values().max().copied().unwrap_or(0);
    // As many homes as its part of the requests; by lot they get up to three times as much as the mean.
    assert!(most * MANY.readers as usize / of <= 3 * sent, "{most} of {sent}");
}

#[test]
fn nothing_goes_to_a_reader_that_drains_or_is_excluded() {
    let all: Vec<_> = (1..=MANY.readers).collect();
    for n in 0..100 {
        let mut router = MANY.router(&all);
        let home = MANY.read(&mut router, "before", n).expect("a reader");
        let drains = Entry { server: ServerId(home), condition: Condition::Draining, ..Entry::default() };
        router.handle(&[Event::Roster { form: RosterForm::Delta, entries: vec![drains] }]);
        assert_ne!(MANY.read(&mut router, "after", n), Some(home));
    }
}

// A length that no engine can hold, or that is no length, has one clear answer and leaves nothing behind.
#[rstest]
#[case::longer_than_any_memory(1e9, 0.0)]
#[case::beginning_longer_than_the_prompt(10.0, 1e9)]
#[case::nothing(0.0, 0.0)]
#[case::not_a_number(f64::NAN, 100.0)]
#[case::beginning_not_a_number(100.0, f64::NAN)]
#[case::endless(f64::INFINITY, 100.0)]
#[case::below_zero(-5.0, -7.0)]
fn length_that_makes_no_sense_harms_no_other_request(#[case] prompt: f64, #[case] prefix: f64) {
    let mut h = Harness::new(settings(), &[1, 2, 11]);
    let odd =
        Arrival { prompt_tokens: prompt, prefix_tokens: prefix, prefix: Some("p".into()), ..arrival("odd") };
    let mut actions = h.ask(odd);
    if !all_sends(&actions).is_empty() {
        actions.extend(h.read("odd", 0));
        h.first("odd", 1);
        actions.extend(h.ended("odd", 1, Status::Served));
    }
    actions.extend(h.wait(6_000_000));
    let answers = actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count();
    assert!(answers <= 1, "{actions:?}");
    for n in 0..12 {
        let name = format!("usual{n}");
        assert_eq!(all_sends(&h.ask(arrival(&name))).len(), 1, "{name}");
        h.read(&name, 0);
        h.first(&name, 1);
        h.ended(&name, 1, Status::Served);
    }
}
