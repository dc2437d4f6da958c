//! The core by itself, with engines that are neither sockets nor HTTP.

use bytes::Bytes;
use meadowlug::gateway::*;
use meadowlug::interface::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;

/// An answer that is all there, has no end, or stops short and says nothing more.
struct Pieces {
    left: VecDeque<Bytes>,
    endless: bool,
    hangs: bool,
}

impl EventStream for Pieces {
    fn poll_event(&mut self, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>> {
        let more = || Bytes::from_static(b"c");
        if self.hangs && self.left.is_empty() {
            return Poll::Pending;
        }
        Poll::Ready(self.left.pop_front().or_else(|| self.endless.then(more)).map(Ok))
    }
}

/// Engines whose connections come up when the test lets them; they note what was written where.
#[derive(Clone, Default)]
struct Fake {
    connects: Rc<Cell<bool>>,
    endless: bool,
    hangs: bool,
    connected: Rc<Notify>,
    called: Rc<RefCell<Vec<String>>>,
    written: Rc<RefCell<Vec<String>>>,
    /// Where releases were answered; an engine whose name ends so is cut off and answers none.
    released: Rc<RefCell<Vec<String>>>,
    cut_off: Option<char>,
    /// How many writers' connections are still to fail to come up.
    unheard: Rc<Cell<usize>>,
    /// How many writers' answers are still to be lost; no connection comes up for a while after that.
    breaks: Rc<Cell<usize>>,
    /// Reads and releases in the order in which they came to an engine.
    order: Rc<RefCell<Vec<&'static str>>>,
    /// Whether writers' connections have fallen silent: what is written to them brings no answer, and no error.
    silent_writers: Rc<Cell<bool>>,
    /// Which were probed, and the memory share that they tell.
    probed: Rc<RefCell<Vec<String>>>,
    share: Option<f64>,
}

impl Engines for Fake {
    type Job = &'static str;
    type Events = Pieces;

    fn call(
        &self,
        call: Call<&'static str>,
    ) -> impl Future<Output = Result<Replied<Pieces>, AttemptError>> + 'static {
        let fake = self.clone();
        async move {
            fake.called.borrow_mut().push(call.endpoint.to_string());
            if !fake.connects.get() {
                fake.connected.notified().await;
            }
            if call.guard.refusal().is_some() {
                return Err(AttemptError::new(Progress::Withdrawn, "drains"));
            }
            let reader = call.endpoint.starts_with('r');
            if !reader && fake.unheard.get() > 0 {
                fake.unheard.set(fake.unheard.get() - 1);
                tokio::time::sleep(Duration::from_millis(250)).await;
                return Err(AttemptError::new(Progress::Unconnected, "no connection in time"));
            }
            fake.order.borrow_mut().push(if reader { "read" } else { "write" });
            fake.written.borrow_mut().push(call.endpoint.to_string());
            while !reader && fake.silent_writers.get() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            if !reader && fake.breaks.get() > 0 {
                fake.breaks.set(fake.breaks.get() - 1);
                fake.connects.set(false);
                return Err(AttemptError::new(Progress::Written, "reset"));
            }
            let left = VecDeque::from([Bytes::from_static(b"a"), Bytes::from_static(b"b")]);
            let events = || Pieces { left, endless: fake.endless, hangs: fake.hangs };
            let reply = if reader { Reply::Read { cached_tokens: 0.0 } } else { Reply::Events(events()) };
            Ok(Replied { reply, load: Load::default(), connected: tokio::time::Instant::now() })
        }
    }

    fn release(
        &self,
        at: Arc<str>,
        _: RequestId,
    ) -> impl Future<Output = Result<(), AttemptError>> + 'static {
        let fake = self.clone();
        async move {
            if fake.cut_off.is_some_and(|end| at.ends_with(end)) {
                std::future::pending::<()>().await;
            }
            fake.released.borrow_mut().push(at.to_string());
            fake.order.borrow_mut().push("release");
            Ok(())
        }
    }

    fn probe(&self, at: Arc<str>) -> impl Future<Output = Result<Load, AttemptError>> + 'static {
        self.probed.borrow_mut().push(at.to_string());
        let told = self.share.map(|share| Load { memory_share: Some(share), ..Load::default() });
        async move {
            // One that is not to tell is silent.
            if told.is_none() {
                std::future::pending::<()>().await;
            }
            Ok(told.unwrap_or_default())
        }
    }

    fn forget(&self, _: &str) {}
}

fn listed(number: u32, kind: usize, endpoint: &str, condition: Condition) -> Listed {
    let entry = Entry { server: ServerId(number), kind, condition, ..Entry::default() };
    Listed { entry, name: number.to_string().into(), endpoint: Arc::from(endpoint) }
}

fn change(form: RosterForm, engines: Vec<Listed>) -> Change {
    Change { revision: 1, news: News::Roster { form, engines } }
}

fn started(fake: &Fake) -> Gateway<Fake> {
    started_where(fake, true)
}

/// A gateway that may call attempts off, or not.
fn started_where(fake: &Fake, may_cancel: bool) -> Gateway<Fake> {
    started_with(fake, Settings { may_cancel, ..Settings::default() })
}

/// A gateway of these settings, with one class unless they have some, two prefill servers and a decode server.
fn started_with(fake: &Fake, settings: Settings) -> Gateway<Fake> {
    let classes = if settings.classes.is_empty() { vec![Class::default()] } else { settings.classes.clone() };
    let settings = Settings { roles: vec![Role::Read, Role::Write], classes, ..settings };
    let (gateway, _) = start("test", settings, 1, fake.clone(), Tuning::default()).expect("lawful");
    let ready = Condition::Ready;
    let all = vec![listed(1, 0, "r1", ready), listed(2, 0, "r2", ready), listed(11, 1, "w1", ready)];
    gateway.tell(change(RosterForm::Full, all)).expect("it runs");
    gateway
}

/// A gateway, one of some, whose writers have little memory, with an answer that has begun and goes on.
async fn nearly_full(fake: &Fake) -> (Gateway<Fake>, Answer<Pieces>) {
    fake.connects.set(true);
    let settings = Settings {
        replicas: 2,
        roles: vec![Role::Read, Role::Write],
        classes: vec![Class::default()],
        memory_tokens: vec![1_000.0, 150.0],
        may_probe: true,
        ..Settings::default()
    };
    let (gateway, _) = start("test", settings, 1, fake.clone(), Tuning::default()).expect("lawful");
    let ready = Condition::Ready;
    let all = vec![listed(1, 0, "r1", ready), listed(11, 1, "w1", ready)];
    gateway.tell(change(RosterForm::Full, all)).expect("it runs");
    let answer = gateway.submit(submission("a")).expect("taken").answer().await;
    // For so long that the other gateway is taken to have as much there.
    tokio::time::sleep(Duration::from_secs(2)).await;
    (gateway, answer)
}

// What the others have at a writer is only guessed: the guess made requests wait that had room there.
#[rstest::rstest]
#[case::one_that_has_room(Some(0.1), true)]
#[case::one_that_is_full(Some(0.95), false)]
#[case::one_that_is_silent(None, false)]
#[tokio::test(start_paused = true)]
async fn writer_that_is_guessed_to_be_full_is_asked(#[case] share: Option<f64>, #[case] read: bool) {
    local(async {
        let fake = Fake { share, endless: true, ..Fake::default() };
        let (gateway, _running) = nearly_full(&fake).await;
        assert!(fake.probed.borrow().is_empty(), "{:?}", fake.probed);
        let _waits = gateway.submit(submission("b")).expect("taken");
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(*fake.probed.borrow(), ["w1"]);
        assert_eq!(fake.written.borrow().iter().filter(|to| *to == "r1").count(), 1 + usize::from(read));
    })
    .await;
}

fn submission(id: &str) -> Submission<&'static str> {
    let id = RequestId(Arc::from(id));
    let arrival = Arrival { id, prompt_tokens: 100.0, expires_in: 5_000_000, ..Arrival::default() };
    Submission { arrival, job: "job", size: 3, key: None }
}

async fn pieces(answer: Answer<Pieces>) -> Vec<Bytes> {
    let Answer::Events(mut relay) = answer else { panic!("not served") };
    let mut all = Vec::new();
    while let Some(piece) = std::future::poll_fn(|context| relay.poll_piece(context)).await {
        all.push(piece.expect("whole"));
    }
    all
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

// The news of a drain may come while a connection is still being made: the send must not go out then.
#[tokio::test]
async fn send_still_connecting_when_its_engine_is_told_to_drain_goes_elsewhere() {
    local(async {
        let fake = Fake::default();
        let gateway = started(&fake);
        let ticket = gateway.submit(submission("a")).expect("taken");
        while fake.called.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let (number, drains, other) =
            if fake.called.borrow()[0] == "r1" { (1, "r1", "r2") } else { (2, "r2", "r1") };
        let drains = vec![listed(number, 0, drains, Condition::Draining)];
        gateway.tell(change(RosterForm::Delta, drains)).expect("it runs");
        tokio::time::sleep(Duration::from_millis(30)).await;
        fake.connects.set(true);
        fake.connected.notify_waiters();
        assert_eq!(pieces(ticket.answer().await).await, ["a", "b"]);
        assert_eq!(*fake.written.borrow(), [other, "w1"]);
    })
    .await;
}

// The first event was there and its client left before it could be passed on: the answer is given up, and nothing of the
// request stays open.
#[tokio::test]
async fn client_that_goes_as_its_answer_begins_leaves_nothing_open() {
    local(async {
        let fake = Fake { connects: Rc::new(Cell::new(true)), endless: true, ..Fake::default() };
        let gateway = started(&fake);
        let ticket = gateway.submit(submission("a")).expect("taken");
        while fake.written.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert_eq!(gateway.open(), 1, "the answer has begun");
        drop(ticket);
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert_eq!((gateway.open(), fake.written.borrow().len()), (0, 2));
    })
    .await;
}

// The engine of a further attempt was told to drain while that was on its way, as that of a first one may be.
#[tokio::test]
async fn repeat_still_connecting_when_its_engine_is_told_to_drain_goes_elsewhere() {
    local(async {
        let fake = Fake { breaks: Rc::new(Cell::new(1)), ..Fake::default() };
        fake.connects.set(true);
        let gateway = started(&fake);
        let ready = vec![listed(12, 1, "w2", Condition::Ready), listed(13, 1, "w3", Condition::Ready)];
        gateway.tell(change(RosterForm::Delta, ready)).expect("it runs");
        let ticket = gateway.submit(submission("a")).expect("taken");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let repeated = fake.called.borrow().last().expect("it was sent").clone();
        assert_eq!(fake.called.borrow().len(), 3, "{:?}", fake.called);
        let number = 10 + repeated[1..].parse::<u32>().expect("a writer's number");
        gateway
            .tell(change(RosterForm::Delta, vec![listed(number, 1, &repeated, Condition::Draining)]))
            .expect("it runs");
        tokio::time::sleep(Duration::from_millis(10)).await;
        fake.connects.set(true);
        fake.connected.notify_waiters();
        assert_eq!(pieces(ticket.answer().await).await, ["a", "b"]);
        assert!(!fake.written.borrow().contains(&repeated), "{:?}", fake.written);
    })
    .await;
}

// Repeats are dropped for a time after the first run: decided on within that, one was written after it.
#[tokio::test(start_paused = true)]
async fn repeat_whose_connection_comes_up_after_its_time_is_not_written() {
    local(async {
        let fake = Fake { breaks: Rc::new(Cell::new(1)), ..Fake::default() };
        fake.connects.set(true);
        let settings = Settings {
            roles: vec![Role::Read, Role::Write],
            classes: vec![Class {
                effect: Effect::Keyed { group: Group::All, window: 500_000 },
                ..Class::default()
            }],
            ..Settings::default()
        };
        let (gateway, _) = start("test", settings, 1, fake.clone(), Tuning::default()).expect("lawful");
        let all = vec![listed(1, 0, "r1", Condition::Ready), listed(11, 1, "w1", Condition::Ready)];
        gateway.tell(change(RosterForm::Full, all)).expect("it runs");
        let ticket = gateway.submit(submission("a")).expect("taken");
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(*fake.called.borrow(), ["r1", "w1", "w1"], "the second waits for its connection");
        fake.connects.set(true);
        fake.connected.notify_waiters();
        let answer = ticket.answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        assert_eq!(*fake.written.borrow(), ["r1", "w1"]);
    })
    .await;
}

// Where attempts may not be called off one that was still connecting was written for a client that had gone.
#[rstest::rstest]
#[tokio::test]
async fn send_still_connecting_when_its_client_goes_is_not_written(#[values(true, false)] may_cancel: bool) {
    local(async {
        let fake = Fake::default();
        let gateway = started_where(&fake, may_cancel);
        let ticket = gateway.submit(submission("a")).expect("taken");
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(fake.called.borrow().len(), 1);
        drop(ticket);
        tokio::time::sleep(Duration::from_millis(30)).await;
        fake.connects.set(true);
        fake.connected.notify_waiters();
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(fake.written.borrow().is_empty() && gateway.open() == 0);
    })
    .await;
}

// Where attempts may not be called off one that was still connecting was written after its request had been refused.
#[tokio::test(start_paused = true)]
async fn send_still_connecting_when_its_request_is_answered_is_not_written() {
    local(async {
        let fake = Fake::default();
        let gateway = started_where(&fake, false);
        let mut short = submission("a");
        short.arrival.expires_in = 400_000;
        let answer = gateway.submit(short).expect("taken").answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        assert!(!fake.called.borrow().is_empty(), "it was on its way");
        fake.connects.set(true);
        fake.connected.notify_waiters();
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(fake.written.borrow().is_empty(), "{:?}", fake.written);
    })
    .await;
}

// A zone was cut off just after a read there: its engines were asked one after the other to let the state go,
// and it stayed held for longer than the rule allows.
#[tokio::test(start_paused = true)]
async fn release_does_not_wait_for_every_engine_of_a_zone_that_is_cut_off() {
    local(async {
        let fake = Fake { cut_off: Some('a'), ..Fake::default() };
        let gateway = started(&fake);
        let engine = |number, kind, zone, endpoint: &str| {
            let mut engine = listed(number, kind, endpoint, Condition::Ready);
            engine.entry.zone = zone;
            engine
        };
        let mut all: Vec<_> = (1..9).map(|n| engine(n, 0, 1, &format!("r{n}a"))).collect();
        all.extend([engine(10, 1, 1, "w10a"), engine(11, 0, 0, "r11b"), engine(12, 1, 0, "w12b")]);
        gateway.tell(change(RosterForm::Full, all)).expect("it runs");
        let mut short = submission("a");
        short.arrival.expires_in = 600_000;
        let answer = gateway.submit(short).expect("taken").answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        // The delay after a broken read, the patience with one engine of the lost zone, and some.
        tokio::time::sleep(Duration::from_millis(40 + 100 + 20)).await;
        assert_eq!(fake.released.borrow().len(), 1);
    })
    .await;
}

// No connection came up to a writer, the prompt was to be read anew, and the call that lets the first state go was
// left out so as not to overtake that read: where no connection came up for that either, the state stayed held.
#[rstest::rstest]
#[case::at_once(None)]
#[case::where_the_engine_heard_last_is_cut_off(Some('1'))]
#[tokio::test(start_paused = true)]
async fn state_is_let_go_before_its_request_is_read_anew(#[case] cut_off: Option<char>) {
    local(async {
        let fake = Fake { cut_off, unheard: Rc::new(Cell::new(1)), ..Fake::default() };
        fake.connects.set(true);
        let gateway = started(&fake);
        let ticket = gateway.submit(submission("a")).expect("taken");
        pieces(ticket.answer().await).await;
        assert_eq!(*fake.order.borrow(), ["read", "release", "read", "write"]);
    })
    .await;
}

/// A gateway with one class, of that effect, and two readers and a writer.
fn started_with_effect(fake: &Fake, effect: Effect) -> Gateway<Fake> {
    fake.connects.set(true);
    let classes = vec![Class { effect, ..Class::default() }];
    started_with(fake, Settings { classes, let_go: 300_000, ..Settings::default() })
}

// Open connections may fall silent with no error. The send to the writer counted as out though it had not arrived, and
// what the reader held for the request stayed there until its time was up.
#[rstest::rstest]
#[case::safe(Effect::Safe)]
#[case::keyed(Effect::Keyed { group: Group::All, window: 2_000_000 })]
#[case::must_not_run_twice(Effect::Unsafe)]
#[tokio::test(start_paused = true)]
async fn state_is_let_go_in_time_while_its_send_may_not_have_arrived(#[case] effect: Effect) {
    local(async {
        let fake = Fake { silent_writers: Rc::new(Cell::new(true)), ..Fake::default() };
        let gateway = started_with_effect(&fake, effect);
        let _ticket = gateway.submit(submission("a")).expect("taken");
        // The span of the settings, and the 300 ms that the protocol adds to it.
        tokio::time::sleep(Duration::from_millis(300 + 300)).await;
        assert_eq!(fake.order.borrow()[..2], ["read", "write"]);
        assert_eq!(fake.released.borrow().len(), 1, "{:?}", fake.order);
    })
    .await;
}

// What is out was let go of in case it had not arrived; it had, and its writer was only slow. The answer still counts.
#[tokio::test(start_paused = true)]
async fn answer_of_a_writer_that_was_only_slow_counts_after_the_release() {
    local(async {
        let fake = Fake { silent_writers: Rc::new(Cell::new(true)), ..Fake::default() };
        let gateway = started_with_effect(&fake, Effect::Unsafe);
        let ticket = gateway.submit(submission("a")).expect("taken");
        tokio::time::sleep(Duration::from_millis(700)).await;
        fake.silent_writers.set(false);
        assert_eq!(pieces(ticket.answer().await).await, ["a", "b"]);
        assert_eq!(*fake.written.borrow(), ["r1", "w1"], "sent once");
    })
    .await;
}

// What is open is bounded whatever comes in, and room is given back.
#[tokio::test]
async fn request_beyond_the_bounds_is_not_taken_until_another_ends() {
    local(async {
        let fake = Fake::default();
        let gateway = started(&fake);
        let most = Tuning::default().limits;
        let huge = Submission { size: most.bytes - 3, ..submission("a") };
        let first = gateway.submit(huge).expect("taken");
        let second = gateway.submit(submission("b")).expect("taken");
        assert_eq!(gateway.submit(submission("b")).err(), Some(Rejected::Duplicate));
        assert_eq!(gateway.submit(submission("c")).err(), Some(Rejected::Busy));
        fake.connects.set(true);
        fake.connected.notify_waiters();
        pieces(first.answer().await).await;
        pieces(second.answer().await).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(gateway.open(), 0);
        assert!(gateway.submit(submission("c")).is_ok());
    })
    .await;
}

// Killed in the middle, a stream is asked for again when the next gateway may be stopping too: where clients
// ask for the rest it is ended in time, the oldest first.
#[tokio::test(start_paused = true)]
async fn running_answers_are_handed_over_and_new_ones_end_in_time_when_the_gateway_leaves() {
    local(async {
        let fake = Fake { connects: Rc::new(Cell::new(true)), endless: true, ..Fake::default() };
        let gateway = started(&fake);
        let running = async |id: &str| match gateway.submit(submission(id)).expect("taken").answer().await {
            Answer::Events(relay) => relay,
            answer => panic!("{answer:?}"),
        };
        let mut old = running("a").await;
        tokio::time::sleep(Duration::from_secs(12)).await;
        let mut young = running("b").await;
        let asked = tokio::time::Instant::now();
        let (from, span) = (asked + Duration::from_secs(1), Duration::from_secs(1));
        let answers_by = asked + Duration::from_secs(3);
        gateway.leave(Departure { take_until: None, answers_by, hand_over: Some((from, span)) });
        let ended = async |relay: &mut Relay<Pieces>| loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if let Some(Err(_)) = std::future::poll_fn(|context| relay.poll_piece(context)).await {
                return asked.elapsed().as_millis();
            }
        };
        assert!((1000..1500).contains(&ended(&mut old).await));
        assert!((1900..2500).contains(&ended(&mut young).await));
        fake.connects.set(false);
        let late = gateway.submit(submission("c")).expect("taken").answer().await;
        assert!(matches!(late, Answer::Refused { .. }) && tokio::time::Instant::now() < answers_by);
    })
    .await;
}

// An engine hung in the middle of its answer as the gateway was told to end. The stop was looked at only when an
// event came, so that the client was kept waiting until the process was killed.
#[rstest::rstest]
#[case::where_clients_ask_for_the_rest(Some(2_000), 2_000)]
#[case::where_they_do_not(None, 3_000)]
#[tokio::test(start_paused = true)]
async fn answer_whose_engine_hangs_is_ended_before_the_gateway(
    #[case] hand_over_ms: Option<u64>,
    #[case] due_ms: u64,
) {
    local(async {
        let fake = Fake { connects: Rc::new(Cell::new(true)), hangs: true, ..Fake::default() };
        let gateway = started(&fake);
        let asked = tokio::time::Instant::now();
        let after = |ms| asked + Duration::from_millis(ms);
        let hand_over = hand_over_ms.map(|from| (after(from), Duration::ZERO));
        let Answer::Events(mut relay) = gateway.submit(submission("a")).expect("taken").answer().await else {
            panic!("not served")
        };
        let mut next = async || std::future::poll_fn(|context| relay.poll_piece(context)).await;
        assert!(matches!((next().await, next().await), (Some(Ok(_)), Some(Ok(_)))));
        let leave = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            gateway.leave(Departure { take_until: None, answers_by: after(3_000), hand_over });
        };
        let (ended, ()) = tokio::join!(tokio::time::timeout(Duration::from_secs(3), next()), leave);
        assert!(matches!(ended, Ok(Some(Err(_)))), "{ended:?}");
        let late = asked.elapsed().as_millis() as u64 - due_ms;
        assert!(late <= 110, "{late} ms late");
    })
    .await;
}

// An engine had finished its answer, or wrote again, but the client read slowly: looked at only after the answer was due
// to end, it was cut all the same, and its client lost what was there.
#[rstest::rstest]
#[case::finished_where_clients_ask_for_the_rest(Some(1_000))]
#[case::events_still_come_where_they_do_not(None)]
#[tokio::test(start_paused = true)]
async fn answer_that_is_read_late_keeps_what_its_engine_wrote(#[case] hand_over_ms: Option<u64>) {
    local(async {
        let fake = Fake { connects: Rc::new(Cell::new(true)), ..Fake::default() };
        let gateway = started(&fake);
        let asked = tokio::time::Instant::now();
        let after = |ms| asked + Duration::from_millis(ms);
        let answer = gateway.submit(submission("a")).expect("taken").answer().await;
        let hand_over = hand_over_ms.map(|from| (after(from), Duration::from_millis(100)));
        gateway.leave(Departure { take_until: None, answers_by: after(2_000), hand_over });
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        assert_eq!(pieces(answer).await.concat(), b"ab");
    })
    .await;
}

// What was open before the stop was still being worked on when the process was killed: its client got no
// answer, and the states that it had read stayed where they were.
#[tokio::test(start_paused = true)]
async fn what_was_taken_before_is_answered_too_when_the_gateway_leaves() {
    local(async {
        let gateway = started(&Fake::default());
        let ticket = gateway.submit(submission("a")).expect("taken");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let answers_by = tokio::time::Instant::now() + Duration::from_secs(1);
        gateway.leave(Departure { take_until: None, answers_by, hand_over: None });
        let answer = ticket.answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        assert!(tokio::time::Instant::now() < answers_by);
    })
    .await;
}

// Settings reach a running driver as the roster does, by a change; what was learnt stays.
#[tokio::test]
async fn changed_settings_hold_from_then_on() {
    local(async {
        let fake = Fake::default();
        fake.connects.set(true);
        let gateway = started(&fake);
        let tight = Settings {
            roles: vec![Role::Read, Role::Write],
            classes: vec![Class { deadline: 1, ..Class::default() }],
            ..Settings::default()
        };
        gateway.tell(Change { revision: 2, news: News::Settings(tight) }).expect("it runs");
        let answer = gateway.submit(submission("a")).expect("taken").answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "its class gives no time any more");
    })
    .await;
}

thread_local! {
    /// By how many microseconds the wall clock of a test was stepped.
    static STEP: Cell<i64> = const { Cell::new(0) };
}

fn stepped_clock() -> Micros {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    (unix.as_micros() as u64).saturating_add_signed(STEP.get())
}

/// How many of 200 requests go to the second of two writers.
async fn share_of_second_writer(gateway: &Gateway<Fake>, fake: &Fake, name: &str) -> usize {
    let before = fake.written.borrow().len();
    for n in 0..200 {
        pieces(gateway.submit(submission(&format!("{name}{n}"))).expect("taken").answer().await).await;
    }
    fake.written.borrow()[before..].iter().filter(|to| *to == "w2").count()
}

// The wall clock was stepped under a running gateway. A server that started after that, an hour ago by the clock of before,
// was taken for a warm one and got its full share at once; one that started in an hour never became warm.
#[rstest::rstest]
#[case::back(-3_600)]
#[case::ahead(3_600)]
#[tokio::test(start_paused = true)]
async fn server_starts_slowly_and_becomes_warm_though_the_wall_clock_was_stepped(#[case] step_s: i64) {
    local(async {
        let fake = Fake::default();
        fake.connects.set(true);
        let settings = Settings {
            roles: vec![Role::Read, Role::Write],
            classes: vec![Class::default()],
            warm_after: 5_000_000,
            ..Settings::default()
        };
        let tuning = Tuning { wall_clock: stepped_clock, ..Tuning::default() };
        let (gateway, _) = start("test", settings, 1, fake.clone(), tuning).expect("lawful");
        let ready = Condition::Ready;
        let all = vec![listed(1, 0, "r1", ready), listed(11, 1, "w1", ready)];
        gateway.tell(change(RosterForm::Full, all)).expect("it runs");
        share_of_second_writer(&gateway, &fake, "before").await;
        STEP.set(step_s * 1_000_000);
        let mut started = listed(12, 1, "w2", ready);
        started.entry.started_at = stepped_clock();
        gateway.tell(change(RosterForm::Delta, vec![started.clone()])).expect("it runs");
        let cold = share_of_second_writer(&gateway, &fake, "cold").await;
        // Time goes on by the monotonic clock; a whole list tells the same start again.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let again = vec![listed(1, 0, "r1", ready), listed(11, 1, "w1", ready), started];
        gateway.tell(change(RosterForm::Full, again)).expect("it runs");
        let warm = share_of_second_writer(&gateway, &fake, "warm").await;
        // About a fifth is drawn for a server that starts, and half goes to one that is warm.
        assert!(cold < 70 && warm > 75, "{cold} of 200 while cold, {warm} when warm");
    })
    .await;
}
