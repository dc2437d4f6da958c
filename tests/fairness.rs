//! Who is answered when a small fleet is busy: long prompts beside short ones, sessions, tenants, beginnings and gateways
//! beside each other. The routers of a made-up fleet are played against readers that work in turn.

mod common;
use common::*;
use meadowlug::interface::*;
use rstest::rstest;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

const SECOND: f64 = 1e6;
const ROUTERS: usize = 3;
const READERS: [u32; 4] = [1, 2, 3, 4];
const WRITERS: [u32; 4] = [11, 12, 13, 14];
/// What a read takes beside its tokens, and for each thousand of them.
const READ_BASE_S: f64 = 0.06;
const READ_PER_KILOTOKEN_S: f64 = 0.08;
/// One prompt in so many is a long one.
const LONG_EVERY: usize = 12;

/// A request as it was asked, and how it ended.
#[derive(Clone, Debug)]
struct Asked {
    session: usize,
    tenant: usize,
    beginning: usize,
    router: usize,
    long: bool,
    answered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Asks(usize),
    Tells { router: usize, name: String, attempt: u32, status: u8 },
    Begins { router: usize, name: String, attempt: u32 },
    Wakes(usize),
}

/// A fleet that is asked `load` times what its readers can do.
struct Play {
    routers: Vec<Harness>,
    due: BinaryHeap<std::cmp::Reverse<(Micros, Due)>>,
    free_at: BTreeMap<u32, Micros>,
    attempts: HashMap<String, u32>,
    asked: Vec<Asked>,
    draws: fastrand::Rng,
    now: Micros,
}

const STATUSES: [Status; 3] = [Status::Read, Status::Served, Status::Cancelled];

impl Play {
    fn new(seed: u64) -> Self {
        let router = || {
            let classes = vec![Class { aim: 1_500_000, aim_per_1000: 40_000, ..Class::default() }];
            let settings = Settings {
                replicas: ROUTERS as u32,
                classes,
                tenant_rates: vec![20.0, 20.0],
                memory_tokens: vec![1e9; 3],
                ..settings()
            };
            Harness::new(settings, &[&READERS[..], &WRITERS[..]].concat())
        };
        Self {
            routers: (0..ROUTERS).map(|_| router()).collect(),
            due: BinaryHeap::new(),
            free_at: BTreeMap::new(),
            attempts: HashMap::new(),
            asked: Vec::new(),
            draws: fastrand::Rng::with_seed(seed),
            now: 100_000_000,
        }
    }

    fn later(&mut self, after_s: f64, due: Due) {
        let at = self.now + (after_s.max(0.0) * SECOND) as Micros;
        self.due.push(std::cmp::Reverse((at, due)));
    }

    fn tokens(asked: &Asked) -> f64 {
        if asked.long { 6_000.0 } else { 700.0 }
    }

    fn carry_out(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(router, id.0.to_string(), server.0),
                Action::Cancel { id, attempt } => {
                    let tells = Due::Tells { router, name: id.0.to_string(), attempt, status: 2 };
                    self.later(0.01, tells);
                }
                Action::Timer { after, .. } => self.later(after as f64 / SECOND, Due::Wakes(router)),
                _ => {}
            }
        }
    }

    fn send(&mut self, router: usize, name: String, server: u32) {
        let attempt = *self.attempts.entry(name.clone()).and_modify(|n| *n += 1).or_insert(0);
        let asked = self.asked[name.parse::<usize>().expect("a number")].clone();
        if READERS.contains(&server) {
            let free = self.free_at.get(&server).copied().unwrap_or(0).max(self.now);
            let takes = READ_BASE_S + READ_PER_KILOTOKEN_S * Self::tokens(&asked) / 1000.0;
            let done = free + (takes * SECOND) as Micros;
            self.free_at.insert(server, done);
            self.later((done - self.now) as f64 / SECOND, Due::Tells { router, name, attempt, status: 0 });
        } else {
            self.later(0.04, Due::Begins { router, name: name.clone(), attempt });
            self.later(1.0, Due::Tells { router, name, attempt, status: 1 });
        }
    }

    fn take(&mut self, due: Due) {
        let (router, event) = match due {
            Due::Wakes(router) => (router, Event::Timer { token: 0 }),
            Due::Begins { router, name, attempt } => {
                self.asked[name.parse::<usize>().expect("a number")].answered = true;
                (router, Event::First { id: id(&name), attempt })
            }
            Due::Tells { router, name, attempt, status } => {
                let status = STATUSES[usize::from(status)];
                let (finished, load) = (status == Status::Served, Load::default());
                (
                    router,
                    Event::Outcome(Outcome { id: id(&name), attempt, status, finished, note: 0.0, load }),
                )
            }
            Due::Asks(n) => {
                let asked = &self.asked[n];
                let ask = Arrival {
                    session: Some(format!("session {}", asked.session).into()),
                    prefix: Some(format!("beginning {}", asked.beginning).into()),
                    prefix_tokens: 0.0,
                    prompt_tokens: Self::tokens(asked),
                    tenant: asked.tenant,
                    ..arrival(&n.to_string())
                };
                (asked.router, Event::Request(ask))
            }
        };
        self.routers[router].now = self.now;
        let actions = self.routers[router].handle(&[event]);
        self.carry_out(router, actions);
    }

    /// Plays a minute; gives what was asked after the first ten seconds.
    fn run(mut self, load: f64) -> Vec<Asked> {
        let mean_kilotokens = 0.7 + (6.0 - 0.7) / LONG_EVERY as f64;
        let rate = load * READERS.len() as f64 / (READ_BASE_S + READ_PER_KILOTOKEN_S * mean_kilotokens);
        let mut at_s = 0.0;
        while at_s < 60.0 {
            at_s -= (1.0 - self.draws.f64()).ln() / rate;
            let session = self.draws.usize(..150);
            self.asked.push(Asked {
                session,
                tenant: session % 2,
                beginning: session % 7,
                router: self.draws.usize(..ROUTERS),
                long: self.draws.usize(..LONG_EVERY) == 0,
                answered: false,
            });
            self.later(at_s, Due::Asks(self.asked.len() - 1));
        }
        while let Some(std::cmp::Reverse((at, due))) = self.due.pop() {
            self.now = at;
            self.take(due);
        }
        let early = (10.0 * rate) as usize;
        self.asked.split_off(early)
    }
}

/// The part of them that was answered.
fn part<'a>(asked: impl Iterator<Item = &'a Asked>) -> f64 {
    let (answered, all) =
        asked.fold((0.0, 0.0), |(a, n), ask| (a + f64::from(u8::from(ask.answered)), n + 1.0));
    answered / all
}

// The estimate of a read, and with it admission, was measured by the usual prompts: the longest were refused while there
// was time for them.
#[rstest]
#[case::quiet(0.5, 2.0 / 3.0)]
#[case::busy(0.9, 0.5)]
#[case::too_much(1.2, 0.5)]
fn longest_prompts_are_answered_beside_the_others(#[case] load: f64, #[case] least: f64) {
    for seed in 0..3 {
        let asked = Play::new(seed).run(load);
        let (all, long) = (part(asked.iter()), part(asked.iter().filter(|ask| ask.long)));
        assert!(long >= least * all, "seed {seed}: {long:.2} of the longest, {all:.2} of all");
        assert!(load > 0.6 || all > 0.97, "seed {seed}: {all:.2}");
    }
}

/// How much further apart the parts of the groups lie than chance would have them, in standard deviations of each.
fn apart(asked: &[Asked], group: impl Fn(&Asked) -> usize) -> f64 {
    let all = part(asked.iter());
    let groups: BTreeMap<_, Vec<&Asked>> = asked.iter().fold(BTreeMap::new(), |mut groups, ask| {
        groups.entry(group(ask)).or_insert_with(Vec::new).push(ask);
        groups
    });
    let off = |members: &Vec<&Asked>| {
        let deviation = (all * (1.0 - all) / members.len() as f64).sqrt().max(1e-3);
        ((part(members.iter().copied()) - all) / deviation).powi(2)
    };
    (groups.values().map(off).sum::<f64>() / groups.len() as f64).sqrt()
}

// Lots and limits are drawn by what a request names: nobody may draw the worse one each time.
#[rstest]
#[case::sessions(|ask: &Asked| ask.session, 2.0)]
#[case::beginnings(|ask: &Asked| ask.beginning, 4.0)]
#[case::tenants(|ask: &Asked| ask.tenant, 4.0)]
#[case::gateways(|ask: &Asked| ask.router, 4.0)]
fn refusals_single_nobody_out(#[case] group: fn(&Asked) -> usize, #[case] most: f64) {
    for seed in 0..3 {
        let asked = Play::new(seed).run(1.15);
        let all = part(asked.iter());
        assert!((0.2..0.98).contains(&all), "seed {seed}: {all:.2} answered tells nothing");
        let apart = apart(&asked, group);
        assert!(
            apart <= most,
            "seed {seed}: {apart:.1} times as far apart as by chance, {all:.2} of all answered"
        );
    }
}

// On a quiet day there is room for all of each.
#[test]
fn nobody_is_refused_throughout_on_a_quiet_day() {
    for seed in 0..3 {
        let asked = Play::new(seed).run(0.5);
        for session in 0..150 {
            let mut turns = asked.iter().filter(|ask| ask.session == session).peekable();
            assert!(turns.peek().is_none() || part(turns) > 0.5, "seed {seed}: session {session}");
        }
    }
}
