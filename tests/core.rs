//! The gateway core in isolation, with in-memory engines instead of sockets and HTTP.

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

/// An event stream that yields the remaining events and then ends, or continues without end, or hangs.
struct ScriptedEvents {
    remaining: VecDeque<Bytes>,
    endless: bool,
    hangs: bool,
    /// Time between two events, if they do not arrive at once.
    interval: Option<tokio::time::Interval>,
}

impl EventStream for ScriptedEvents {
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>> {
        let endless_event = || Bytes::from_static(b"c");
        if let Some(interval) = &mut self.interval {
            std::task::ready!(interval.poll_tick(context));
        }
        if self.hangs && self.remaining.is_empty() {
            return Poll::Pending;
        }
        Poll::Ready(self.remaining.pop_front().or_else(|| self.endless.then(endless_event)).map(Ok))
    }
}

/// Fake engines whose connections are established when the test allows it; they record the endpoint of each
/// call.
#[derive(Clone, Default)]
struct FakeEngines {
    /// True if connections are established at once; otherwise they wait for `connections_allowed`.
    connects_at_once: Rc<Cell<bool>>,
    endless: bool,
    hangs: bool,
    /// Time between two events of an answer.
    event_interval: Option<Duration>,
    connections_allowed: Rc<Notify>,
    called_endpoints: Rc<RefCell<Vec<String>>>,
    written_endpoints: Rc<RefCell<Vec<String>>>,
    /// Endpoints that answered a release.
    released_endpoints: Rc<RefCell<Vec<String>>>,
    /// Engines whose endpoint ends with this character are unreachable and answer no release.
    unreachable_suffix: Option<char>,
    /// Number of further connection attempts to writers that will time out.
    writer_dial_timeouts: Rc<Cell<usize>>,
    /// Number of further responses of writers that will be reset. After a reset no connection is established
    /// until the test allows it again.
    writer_resets: Rc<Cell<usize>>,
    /// Reads, writes and releases in the order in which the engines received them.
    operations: Rc<RefCell<Vec<&'static str>>>,
    /// True while writers' connections are silent: a written request gets neither a response nor an error.
    silent_writers: Rc<Cell<bool>>,
    /// Endpoints that were probed.
    probed_endpoints: Rc<RefCell<Vec<String>>>,
    /// Memory share that a probed engine reports; without it, probes are never answered.
    reported_memory_share: Option<f64>,
}

impl Engines for FakeEngines {
    type Job = &'static str;
    type Events = ScriptedEvents;

    fn call(
        &self,
        call: Call<&'static str>,
    ) -> impl Future<Output = Result<EngineReply<ScriptedEvents>, AttemptError>> + 'static {
        let fake = self.clone();
        async move {
            fake.called_endpoints.borrow_mut().push(call.endpoint.to_string());
            if !fake.connects_at_once.get() {
                fake.connections_allowed.notified().await;
            }
            if call.guard.refusal_reason().is_some() {
                return Err(AttemptError::new(Progress::NotSent, "the engine drains"));
            }
            let is_reader = call.endpoint.starts_with('r');
            if !is_reader && fake.writer_dial_timeouts.get() > 0 {
                fake.writer_dial_timeouts.set(fake.writer_dial_timeouts.get() - 1);
                tokio::time::sleep(Duration::from_millis(250)).await;
                return Err(AttemptError::new(Progress::NotConnected, "no connection in time"));
            }
            fake.operations.borrow_mut().push(if is_reader { "read" } else { "write" });
            fake.written_endpoints.borrow_mut().push(call.endpoint.to_string());
            while !is_reader && fake.silent_writers.get() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            if !is_reader && fake.writer_resets.get() > 0 {
                fake.writer_resets.set(fake.writer_resets.get() - 1);
                fake.connects_at_once.set(false);
                return Err(AttemptError::new(Progress::FullyWritten, "reset"));
            }
            let remaining = VecDeque::from([Bytes::from_static(b"a"), Bytes::from_static(b"b")]);
            let interval = fake.event_interval.map(tokio::time::interval);
            let events = || ScriptedEvents { remaining, endless: fake.endless, hangs: fake.hangs, interval };
            let reply = if is_reader { Reply::Read { cached_tokens: 0.0 } } else { Reply::Events(events()) };
            Ok(EngineReply { reply, load: Load::default(), connected_at: tokio::time::Instant::now() })
        }
    }

    fn release(
        &self,
        endpoint: Arc<str>,
        _: RequestId,
    ) -> impl Future<Output = Result<(), AttemptError>> + 'static {
        let fake = self.clone();
        async move {
            if fake.unreachable_suffix.is_some_and(|suffix| endpoint.ends_with(suffix)) {
                std::future::pending::<()>().await;
            }
            fake.released_endpoints.borrow_mut().push(endpoint.to_string());
            fake.operations.borrow_mut().push("release");
            Ok(())
        }
    }

    fn probe(&self, endpoint: Arc<str>) -> impl Future<Output = Result<Load, AttemptError>> + 'static {
        self.probed_endpoints.borrow_mut().push(endpoint.to_string());
        let report =
            self.reported_memory_share.map(|share| Load { memory_share: Some(share), ..Load::default() });
        async move {
            // An engine without a configured report never answers.
            if report.is_none() {
                std::future::pending::<()>().await;
            }
            Ok(report.unwrap_or_default())
        }
    }

    fn close_idle_connections(&self, _: &str) {}
}

fn listed_engine(number: u32, kind: usize, endpoint: &str, condition: Condition) -> ListedEngine {
    let entry = Entry { server: ServerId(number), kind, condition, ..Entry::default() };
    ListedEngine { entry, name: number.to_string().into(), endpoint: Arc::from(endpoint) }
}

fn roster_change(form: RosterForm, engines: Vec<ListedEngine>) -> Change {
    Change { revision: 1, content: ChangeContent::Roster { form, engines } }
}

fn start_gateway(fake: &FakeEngines) -> Gateway<FakeEngines> {
    start_gateway_with_cancellation(fake, true)
}

/// Starts a gateway that may or may not cancel attempts.
fn start_gateway_with_cancellation(fake: &FakeEngines, may_cancel: bool) -> Gateway<FakeEngines> {
    start_gateway_with_settings(fake, Settings { may_cancel, ..Settings::default() })
}

/// Starts a gateway with two readers and a writer. Settings without classes get a default class.
fn start_gateway_with_settings(fake: &FakeEngines, settings: Settings) -> Gateway<FakeEngines> {
    let classes = if settings.classes.is_empty() { vec![Class::default()] } else { settings.classes.clone() };
    let settings = Settings { roles: vec![Role::Read, Role::Write], classes, ..settings };
    let (gateway, _) = start("test", settings, 1, fake.clone(), Tuning::default()).expect("valid settings");
    let ready = Condition::Ready;
    let engines = vec![
        listed_engine(1, 0, "r1", ready),
        listed_engine(2, 0, "r2", ready),
        listed_engine(11, 1, "w1", ready),
    ];
    gateway.apply_change(roster_change(RosterForm::Full, engines)).expect("the driver is running");
    gateway
}

/// Starts one of two gateway replicas with a writer of little memory, and one response that has begun and
/// continues.
async fn start_gateway_with_nearly_full_writer(
    fake: &FakeEngines,
) -> (Gateway<FakeEngines>, Answer<ScriptedEvents>) {
    fake.connects_at_once.set(true);
    let settings = Settings {
        replicas: 2,
        roles: vec![Role::Read, Role::Write],
        classes: vec![Class::default()],
        memory_tokens: vec![1_000.0, 150.0],
        may_probe: true,
        ..Settings::default()
    };
    let (gateway, _) = start("test", settings, 1, fake.clone(), Tuning::default()).expect("valid settings");
    let ready = Condition::Ready;
    let engines = vec![listed_engine(1, 0, "r1", ready), listed_engine(11, 1, "w1", ready)];
    gateway.apply_change(roster_change(RosterForm::Full, engines)).expect("the driver is running");
    let answer = gateway.submit(submission("a")).expect("the request is accepted").answer().await;
    // After this time the gateway assumes that the other replica uses as much of the writer's memory.
    tokio::time::sleep(Duration::from_secs(2)).await;
    (gateway, answer)
}

// The memory that other gateways use at a writer is only estimated. An estimate that was too high made
// requests wait although the writer had room.
#[rstest::rstest]
#[case::writer_with_room(Some(0.1), true)]
#[case::full_writer(Some(0.95), false)]
#[case::silent_writer(None, false)]
#[tokio::test(start_paused = true)]
async fn writer_estimated_full_is_probed(
    #[case] reported_memory_share: Option<f64>,
    #[case] reads_prompt: bool,
) {
    run_local(async {
        let fake = FakeEngines { reported_memory_share, endless: true, ..FakeEngines::default() };
        let (gateway, _open_answer) = start_gateway_with_nearly_full_writer(&fake).await;
        assert!(fake.probed_endpoints.borrow().is_empty(), "{:?}", fake.probed_endpoints);
        let _waiting_ticket = gateway.submit(submission("b")).expect("the request is accepted");
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(*fake.probed_endpoints.borrow(), ["w1"]);
        assert_eq!(
            fake.written_endpoints.borrow().iter().filter(|endpoint| *endpoint == "r1").count(),
            1 + usize::from(reads_prompt)
        );
    })
    .await;
}

fn submission(id: &str) -> Submission<&'static str> {
    let id = RequestId(Arc::from(id));
    let arrival = Arrival { id, prompt_tokens: 100.0, expires_in: 5_000_000, ..Arrival::default() };
    Submission { arrival, job: "job", size: 3, key: None }
}

async fn collect_events(answer: Answer<ScriptedEvents>) -> Vec<Bytes> {
    let Answer::Events(mut relay) = answer else { panic!("the request was not served") };
    let mut events = Vec::new();
    while let Some(event) = std::future::poll_fn(|context| relay.poll_chunk(context)).await {
        events.push(event.expect("the response is complete"));
    }
    events
}

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

// The roster may report a drain while a connection to the engine is being established: the request must not
// be written to it then.
#[tokio::test]
async fn connecting_attempt_moves_when_its_engine_starts_to_drain() {
    run_local(async {
        let fake = FakeEngines::default();
        let gateway = start_gateway(&fake);
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        while fake.called_endpoints.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let (number, draining_endpoint, other_endpoint) =
            if fake.called_endpoints.borrow()[0] == "r1" { (1, "r1", "r2") } else { (2, "r2", "r1") };
        let drained_engine = vec![listed_engine(number, 0, draining_endpoint, Condition::Draining)];
        gateway
            .apply_change(roster_change(RosterForm::Delta, drained_engine))
            .expect("the driver is running");
        tokio::time::sleep(Duration::from_millis(30)).await;
        fake.connects_at_once.set(true);
        fake.connections_allowed.notify_waiters();
        assert_eq!(collect_events(ticket.answer().await).await, ["a", "b"]);
        assert_eq!(*fake.written_endpoints.borrow(), [other_endpoint, "w1"]);
    })
    .await;
}

// The client disconnects after the first event has arrived and before it is relayed: the response is
// abandoned, and the request must not stay open.
#[tokio::test]
async fn client_disconnect_at_first_event_leaves_no_open_request() {
    run_local(async {
        let fake = FakeEngines {
            connects_at_once: Rc::new(Cell::new(true)),
            endless: true,
            ..FakeEngines::default()
        };
        let gateway = start_gateway(&fake);
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        while fake.written_endpoints.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert_eq!(gateway.open_request_count(), 1, "the response has begun and is open");
        drop(ticket);
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert_eq!((gateway.open_request_count(), fake.written_endpoints.borrow().len()), (0, 2));
    })
    .await;
}

// As with a first attempt, the engine of a repeated attempt may start draining while the connection is
// established.
#[tokio::test]
async fn connecting_repeat_moves_when_its_engine_starts_to_drain() {
    run_local(async {
        let fake = FakeEngines { writer_resets: Rc::new(Cell::new(1)), ..FakeEngines::default() };
        fake.connects_at_once.set(true);
        let gateway = start_gateway(&fake);
        let new_writers =
            vec![listed_engine(12, 1, "w2", Condition::Ready), listed_engine(13, 1, "w3", Condition::Ready)];
        gateway.apply_change(roster_change(RosterForm::Delta, new_writers)).expect("the driver is running");
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let repeat_endpoint = fake.called_endpoints.borrow().last().expect("an attempt was sent").clone();
        assert_eq!(fake.called_endpoints.borrow().len(), 3, "{:?}", fake.called_endpoints);
        let number =
            10 + repeat_endpoint[1..].parse::<u32>().expect("a writer's endpoint contains its number");
        gateway
            .apply_change(roster_change(
                RosterForm::Delta,
                vec![listed_engine(number, 1, &repeat_endpoint, Condition::Draining)],
            ))
            .expect("the driver is running");
        tokio::time::sleep(Duration::from_millis(10)).await;
        fake.connects_at_once.set(true);
        fake.connections_allowed.notify_waiters();
        assert_eq!(collect_events(ticket.answer().await).await, ["a", "b"]);
        assert!(!fake.written_endpoints.borrow().contains(&repeat_endpoint), "{:?}", fake.written_endpoints);
    })
    .await;
}

// Engines drop repeats only for a limited window after the first run. A repeat that was decided within the
// window was written after it, because its connection was established late.
#[tokio::test(start_paused = true)]
async fn repeat_connected_after_its_window_is_not_written() {
    run_local(async {
        let fake = FakeEngines { writer_resets: Rc::new(Cell::new(1)), ..FakeEngines::default() };
        fake.connects_at_once.set(true);
        let settings = Settings {
            roles: vec![Role::Read, Role::Write],
            classes: vec![Class {
                effect: Effect::Keyed { group: Group::All, window: 500_000 },
                ..Class::default()
            }],
            ..Settings::default()
        };
        let (gateway, _) =
            start("test", settings, 1, fake.clone(), Tuning::default()).expect("valid settings");
        let engines =
            vec![listed_engine(1, 0, "r1", Condition::Ready), listed_engine(11, 1, "w1", Condition::Ready)];
        gateway.apply_change(roster_change(RosterForm::Full, engines)).expect("the driver is running");
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(
            *fake.called_endpoints.borrow(),
            ["r1", "w1", "w1"],
            "the repeat waits for its connection"
        );
        fake.connects_at_once.set(true);
        fake.connections_allowed.notify_waiters();
        let answer = ticket.answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        assert_eq!(*fake.written_endpoints.borrow(), ["r1", "w1"]);
    })
    .await;
}

// Without permission to cancel attempts, a request that was still connecting was written although its client
// had disconnected.
#[rstest::rstest]
#[tokio::test]
async fn connecting_attempt_is_not_written_after_client_disconnects(#[values(true, false)] may_cancel: bool) {
    run_local(async {
        let fake = FakeEngines::default();
        let gateway = start_gateway_with_cancellation(&fake, may_cancel);
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(fake.called_endpoints.borrow().len(), 1);
        drop(ticket);
        tokio::time::sleep(Duration::from_millis(30)).await;
        fake.connects_at_once.set(true);
        fake.connections_allowed.notify_waiters();
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(fake.written_endpoints.borrow().is_empty() && gateway.open_request_count() == 0);
    })
    .await;
}

// Without permission to cancel attempts, an attempt that was still connecting was written after its request
// had been refused.
#[tokio::test(start_paused = true)]
async fn connecting_attempt_is_not_written_after_its_request_is_answered() {
    run_local(async {
        let fake = FakeEngines::default();
        let gateway = start_gateway_with_cancellation(&fake, false);
        let mut impatient = submission("a");
        impatient.arrival.expires_in = 400_000;
        let answer = gateway.submit(impatient).expect("the request is accepted").answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        assert!(!fake.called_endpoints.borrow().is_empty(), "an attempt was connecting");
        fake.connects_at_once.set(true);
        fake.connections_allowed.notify_waiters();
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(fake.written_endpoints.borrow().is_empty(), "{:?}", fake.written_endpoints);
    })
    .await;
}

// A zone became unreachable just after a read there. The release was sent to its engines one after the other,
// so the state was held for longer than the rule allows.
#[tokio::test(start_paused = true)]
async fn release_does_not_wait_for_every_engine_of_an_unreachable_zone() {
    run_local(async {
        let fake = FakeEngines { unreachable_suffix: Some('a'), ..FakeEngines::default() };
        let gateway = start_gateway(&fake);
        let zoned_engine = |number, kind, zone, endpoint: &str| {
            let mut engine = listed_engine(number, kind, endpoint, Condition::Ready);
            engine.entry.zone = zone;
            engine
        };
        let mut engines: Vec<_> = (1..9).map(|n| zoned_engine(n, 0, 1, &format!("r{n}a"))).collect();
        engines.extend([
            zoned_engine(10, 1, 1, "w10a"),
            zoned_engine(11, 0, 0, "r11b"),
            zoned_engine(12, 1, 0, "w12b"),
        ]);
        gateway.apply_change(roster_change(RosterForm::Full, engines)).expect("the driver is running");
        let mut impatient = submission("a");
        impatient.arrival.expires_in = 600_000;
        let answer = gateway.submit(impatient).expect("the request is accepted").answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        // The release delay after a broken read, the timeout for one engine of the unreachable zone, and a
        // margin.
        tokio::time::sleep(Duration::from_millis(40 + 100 + 20)).await;
        assert_eq!(fake.released_endpoints.borrow().len(), 1);
    })
    .await;
}

// After a failed connection to the writer, the prompt is read again. The release of the first state was
// skipped so that it could not overtake the second read; when the connection for that read failed too, the
// state stayed held.
#[rstest::rstest]
#[case::all_engines_reachable(None)]
#[case::last_responding_engine_unreachable(Some('1'))]
#[tokio::test(start_paused = true)]
async fn state_is_released_before_its_request_is_read_again(#[case] unreachable_suffix: Option<char>) {
    run_local(async {
        let fake = FakeEngines {
            unreachable_suffix,
            writer_dial_timeouts: Rc::new(Cell::new(1)),
            ..FakeEngines::default()
        };
        fake.connects_at_once.set(true);
        let gateway = start_gateway(&fake);
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        collect_events(ticket.answer().await).await;
        assert_eq!(*fake.operations.borrow(), ["read", "release", "read", "write"]);
    })
    .await;
}

/// Starts a gateway with two readers, a writer and one class that has the given effect.
fn start_gateway_with_effect(fake: &FakeEngines, effect: Effect) -> Gateway<FakeEngines> {
    fake.connects_at_once.set(true);
    let classes = vec![Class { effect, ..Class::default() }];
    start_gateway_with_settings(fake, Settings { classes, max_state_hold: 300_000, ..Settings::default() })
}

// Open connections may become silent without an error. The send to the writer counted as in flight although
// it had not arrived, and the reader held the request's state until the request's deadline.
#[rstest::rstest]
#[case::safe(Effect::Safe)]
#[case::keyed(Effect::Keyed { group: Group::All, window: 2_000_000 })]
#[case::must_not_run_twice(Effect::Unsafe)]
#[tokio::test(start_paused = true)]
async fn state_is_released_in_time_while_its_send_may_not_have_arrived(#[case] effect: Effect) {
    run_local(async {
        let fake = FakeEngines { silent_writers: Rc::new(Cell::new(true)), ..FakeEngines::default() };
        let gateway = start_gateway_with_effect(&fake, effect);
        let _ticket = gateway.submit(submission("a")).expect("the request is accepted");
        // The duration from the settings, plus the 300 ms that the protocol allows.
        tokio::time::sleep(Duration::from_millis(300 + 300)).await;
        assert_eq!(fake.operations.borrow()[..2], ["read", "write"]);
        assert_eq!(fake.released_endpoints.borrow().len(), 1, "{:?}", fake.operations);
    })
    .await;
}

// The state is released in case the send to the writer did not arrive. It did arrive and the writer was only
// slow: the response must still be used.
#[tokio::test(start_paused = true)]
async fn answer_of_a_slow_writer_is_used_after_the_release() {
    run_local(async {
        let fake = FakeEngines { silent_writers: Rc::new(Cell::new(true)), ..FakeEngines::default() };
        let gateway = start_gateway_with_effect(&fake, Effect::Unsafe);
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        tokio::time::sleep(Duration::from_millis(700)).await;
        fake.silent_writers.set(false);
        assert_eq!(collect_events(ticket.answer().await).await, ["a", "b"]);
        assert_eq!(*fake.written_endpoints.borrow(), ["r1", "w1"], "the request was sent once to each");
    })
    .await;
}

// The number and size of open requests are limited, and an ended request frees its part of the limits.
#[tokio::test]
async fn request_beyond_the_limits_is_rejected_until_another_ends() {
    run_local(async {
        let fake = FakeEngines::default();
        let gateway = start_gateway(&fake);
        let limits = Tuning::default().limits;
        let huge = Submission { size: limits.max_body_bytes - 3, ..submission("a") };
        let first = gateway.submit(huge).expect("the request is accepted");
        let second = gateway.submit(submission("b")).expect("the request is accepted");
        assert_eq!(gateway.submit(submission("b")).err(), Some(Rejected::Duplicate));
        assert_eq!(gateway.submit(submission("c")).err(), Some(Rejected::Busy));
        fake.connects_at_once.set(true);
        fake.connections_allowed.notify_waiters();
        collect_events(first.answer().await).await;
        collect_events(second.answer().await).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(gateway.open_request_count(), 0);
        assert!(gateway.submit(submission("c")).is_ok());
    })
    .await;
}

// A stream that is killed at shutdown is requested again, possibly at a gateway that is about to stop as
// well. Where clients can request the rest of a response, streams are therefore ended before the shutdown,
// oldest first.
#[tokio::test(start_paused = true)]
async fn shutdown_hands_off_running_answers_oldest_first_and_ends_new_ones_in_time() {
    run_local(async {
        let fake = FakeEngines {
            connects_at_once: Rc::new(Cell::new(true)),
            endless: true,
            ..FakeEngines::default()
        };
        let gateway = start_gateway(&fake);
        let start_answer = async |id: &str| match gateway
            .submit(submission(id))
            .expect("the request is accepted")
            .answer()
            .await
        {
            Answer::Events(relay) => relay,
            answer => panic!("{answer:?}"),
        };
        let mut older_answer = start_answer("a").await;
        tokio::time::sleep(Duration::from_secs(12)).await;
        let mut newer_answer = start_answer("b").await;
        let shutdown_at = tokio::time::Instant::now();
        let (hand_off_from, hand_off_duration) =
            (shutdown_at + Duration::from_secs(1), Duration::from_secs(1));
        let answer_deadline = shutdown_at + Duration::from_secs(3);
        gateway.shut_down(ShutdownSchedule {
            accept_until: None,
            answer_deadline,
            hand_off: Some((hand_off_from, hand_off_duration)),
        });
        let ended_after_ms = async |relay: &mut Relay<ScriptedEvents>| loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if let Some(Err(_)) = std::future::poll_fn(|context| relay.poll_chunk(context)).await {
                return shutdown_at.elapsed().as_millis();
            }
        };
        assert!((1000..1500).contains(&ended_after_ms(&mut older_answer).await));
        assert!((1900..2500).contains(&ended_after_ms(&mut newer_answer).await));
        fake.connects_at_once.set(false);
        let late_answer = gateway.submit(submission("c")).expect("the request is accepted").answer().await;
        assert!(
            matches!(late_answer, Answer::Refused { .. }) && tokio::time::Instant::now() < answer_deadline
        );
    })
    .await;
}

// An engine hangs in the middle of a response while the gateway shuts down. The shutdown was checked only
// when an event arrived, so the client waited until the process was killed. Where clients do not resume
// answers, the answer of an engine that was quiet for a second was ended by the shutdown, and clients lost
// the rest of what slow engines went on writing: the engine counts as hanging only after the time that the
// protocol states, whether the gateway shuts down or not.
#[rstest::rstest]
#[case::with_hand_off(true, Some(2_000), 2_000..2_110)]
#[case::without_hand_off(true, None, 4_800..4_960)]
#[case::without_a_shutdown(false, None, 4_800..4_960)]
#[tokio::test(start_paused = true)]
async fn answer_of_a_hung_engine_ends_in_time(
    #[case] shuts_down: bool,
    #[case] hand_off_ms: Option<u64>,
    #[case] expected_ms: std::ops::Range<u64>,
) {
    run_local(async {
        let fake =
            FakeEngines { connects_at_once: Rc::new(Cell::new(true)), hangs: true, ..FakeEngines::default() };
        let gateway = start_gateway(&fake);
        let started_at = tokio::time::Instant::now();
        let after_start = |ms| started_at + Duration::from_millis(ms);
        let hand_off = hand_off_ms.map(|from_ms| (after_start(from_ms), Duration::ZERO));
        let Answer::Events(mut relay) =
            gateway.submit(submission("a")).expect("the request is accepted").answer().await
        else {
            panic!("the request was not served")
        };
        let mut next_event = async || std::future::poll_fn(|context| relay.poll_chunk(context)).await;
        assert!(matches!((next_event().await, next_event().await), (Some(Ok(_)), Some(Ok(_)))));
        let delayed_shutdown = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            if shuts_down {
                gateway.shut_down(ShutdownSchedule {
                    accept_until: None,
                    answer_deadline: after_start(3_000),
                    hand_off,
                });
            }
        };
        let (last_event, ()) =
            tokio::join!(tokio::time::timeout(Duration::from_secs(5), next_event()), delayed_shutdown);
        assert!(matches!(last_event, Ok(Some(Err(_)))), "{last_event:?}");
        let ended_after_ms = started_at.elapsed().as_millis() as u64;
        assert!(expected_ms.contains(&ended_after_ms), "the answer ended after {ended_after_ms} ms");
    })
    .await;
}

// The answer of an engine that pauses between its events was ended by a shutdown after a second without an
// event, and at any time after four, although the protocol takes it for a running engine for five.
#[rstest::rstest]
#[tokio::test(start_paused = true)]
async fn answer_of_a_slow_engine_is_passed_on_whole(
    #[values(1_100, 1_850, 3_300, 4_500, 4_800)] interval_ms: u64,
    #[values(None, Some(0), Some(700), Some(2_900))] shutdown_ms: Option<u64>,
) {
    run_local(async {
        let fake = FakeEngines {
            connects_at_once: Rc::new(Cell::new(true)),
            event_interval: Some(Duration::from_millis(interval_ms)),
            ..FakeEngines::default()
        };
        let gateway = start_gateway(&fake);
        let answer = gateway.submit(submission("a")).expect("the request is accepted").answer().await;
        let stopped_gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            if let Some(shutdown_ms) = shutdown_ms {
                tokio::time::sleep(Duration::from_millis(shutdown_ms)).await;
                let answer_deadline = tokio::time::Instant::now() + Duration::from_millis(3_400);
                let schedule = ShutdownSchedule { accept_until: None, answer_deadline, hand_off: None };
                stopped_gateway.shut_down(schedule);
            }
        });
        assert_eq!(collect_events(answer).await.concat(), b"ab");
    })
    .await;
}

// While a client does not read, nobody looks for events. When it reads again, an event that has arrived
// meanwhile may take a moment to be received; the engine was taken for hanging in that moment.
#[tokio::test(start_paused = true)]
async fn engine_is_not_taken_for_hanging_because_its_client_did_not_read() {
    run_local(async {
        let fake = FakeEngines {
            connects_at_once: Rc::new(Cell::new(true)),
            event_interval: Some(Duration::from_millis(6_005)),
            ..FakeEngines::default()
        };
        let gateway = start_gateway(&fake);
        let Answer::Events(mut relay) =
            gateway.submit(submission("a")).expect("the request is accepted").answer().await
        else {
            panic!("the request was not served")
        };
        let mut next_event = async || std::future::poll_fn(|context| relay.poll_chunk(context)).await;
        assert!(matches!(next_event().await, Some(Ok(_))));
        tokio::time::sleep(Duration::from_millis(6_000)).await;
        assert!(matches!(next_event().await, Some(Ok(_))), "the event arrives 5 ms later");
    })
    .await;
}

// The engine has finished its response, or has written more events, but the client reads slowly. The relay
// was polled only after the time at which the response had to end, and cut it off: the client lost events
// that had arrived.
#[rstest::rstest]
#[case::finished_with_hand_off(Some(1_000))]
#[case::more_events_without_hand_off(None)]
#[tokio::test(start_paused = true)]
async fn slowly_read_answer_keeps_all_events_of_its_engine(#[case] hand_off_ms: Option<u64>) {
    run_local(async {
        let fake = FakeEngines { connects_at_once: Rc::new(Cell::new(true)), ..FakeEngines::default() };
        let gateway = start_gateway(&fake);
        let started_at = tokio::time::Instant::now();
        let after_start = |ms| started_at + Duration::from_millis(ms);
        let answer = gateway.submit(submission("a")).expect("the request is accepted").answer().await;
        let hand_off = hand_off_ms.map(|from_ms| (after_start(from_ms), Duration::from_millis(100)));
        gateway.shut_down(ShutdownSchedule {
            accept_until: None,
            answer_deadline: after_start(2_000),
            hand_off,
        });
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        assert_eq!(collect_events(answer).await.concat(), b"ab");
    })
    .await;
}

// A request that was open before the shutdown was still in progress when the process was killed: its client
// got no answer, and the states of its reads stayed held at the readers.
#[tokio::test(start_paused = true)]
async fn request_accepted_before_the_shutdown_is_answered() {
    run_local(async {
        let gateway = start_gateway(&FakeEngines::default());
        let ticket = gateway.submit(submission("a")).expect("the request is accepted");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let answer_deadline = tokio::time::Instant::now() + Duration::from_secs(1);
        gateway.shut_down(ShutdownSchedule { accept_until: None, answer_deadline, hand_off: None });
        let answer = ticket.answer().await;
        assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
        assert!(tokio::time::Instant::now() < answer_deadline);
    })
    .await;
}

// A running driver receives new settings as a change, like the roster, and keeps what it has learnt.
#[tokio::test]
async fn changed_settings_apply_to_new_requests() {
    run_local(async {
        let fake = FakeEngines::default();
        fake.connects_at_once.set(true);
        let gateway = start_gateway(&fake);
        let new_settings = Settings {
            roles: vec![Role::Read, Role::Write],
            classes: vec![Class { deadline: 1, ..Class::default() }],
            ..Settings::default()
        };
        gateway
            .apply_change(Change { revision: 2, content: ChangeContent::Settings(new_settings) })
            .expect("the driver is running");
        let answer = gateway.submit(submission("a")).expect("the request is accepted").answer().await;
        assert!(
            matches!(answer, Answer::Refused { .. }),
            "the class deadline of the new settings has passed"
        );
    })
    .await;
}

thread_local! {
    /// Offset of the test's wall clock, in microseconds.
    static CLOCK_STEP_US: Cell<i64> = const { Cell::new(0) };
}

fn stepped_wall_clock() -> Micros {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    (unix.as_micros() as u64).saturating_add_signed(CLOCK_STEP_US.get())
}

/// Sends 200 requests and returns how many of them went to the second of two writers.
async fn requests_to_second_writer(gateway: &Gateway<FakeEngines>, fake: &FakeEngines, name: &str) -> usize {
    let earlier_count = fake.written_endpoints.borrow().len();
    for number in 0..200 {
        collect_events(
            gateway
                .submit(submission(&format!("{name}{number}")))
                .expect("the request is accepted")
                .answer()
                .await,
        )
        .await;
    }
    fake.written_endpoints.borrow()[earlier_count..].iter().filter(|endpoint| *endpoint == "w2").count()
}

// The wall clock is stepped while the gateway runs. After a step back, a server that had just started
// appeared to have started an hour ago by the clock before the step, counted as warm and got its full part at
// once; after a step ahead, its start appeared to lie an hour in the future, and it never became warm.
#[rstest::rstest]
#[case::back(-3_600)]
#[case::ahead(3_600)]
#[tokio::test(start_paused = true)]
async fn wall_clock_step_does_not_disturb_slow_start(#[case] step_s: i64) {
    run_local(async {
        let fake = FakeEngines::default();
        fake.connects_at_once.set(true);
        let settings = Settings {
            roles: vec![Role::Read, Role::Write],
            classes: vec![Class::default()],
            warm_up_time: 5_000_000,
            ..Settings::default()
        };
        let tuning = Tuning { wall_clock: stepped_wall_clock, ..Tuning::default() };
        let (gateway, _) = start("test", settings, 1, fake.clone(), tuning).expect("valid settings");
        let ready = Condition::Ready;
        let engines = vec![listed_engine(1, 0, "r1", ready), listed_engine(11, 1, "w1", ready)];
        gateway.apply_change(roster_change(RosterForm::Full, engines)).expect("the driver is running");
        requests_to_second_writer(&gateway, &fake, "before").await;
        CLOCK_STEP_US.set(step_s * 1_000_000);
        let mut new_writer = listed_engine(12, 1, "w2", ready);
        new_writer.entry.started_at = stepped_wall_clock();
        gateway
            .apply_change(roster_change(RosterForm::Delta, vec![new_writer.clone()]))
            .expect("the driver is running");
        let cold = requests_to_second_writer(&gateway, &fake, "cold").await;
        // Time advances on the monotonic clock; a full roster then reports the same start time again.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let full_roster =
            vec![listed_engine(1, 0, "r1", ready), listed_engine(11, 1, "w1", ready), new_writer];
        gateway.apply_change(roster_change(RosterForm::Full, full_roster)).expect("the driver is running");
        let warm = requests_to_second_writer(&gateway, &fake, "warm").await;
        // A server in slow start gets about a fifth of the requests, and a warm server half of them.
        assert!(cold < 70 && warm > 75, "the server got {cold} of 200 requests while cold, {warm} when warm");
    })
    .await;
}
