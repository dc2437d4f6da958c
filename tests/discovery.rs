//! The requests that a watch sends to discovery, on real sockets.

mod loopback;
use loopback::*;
use meadowlug::config::{EngineList, NameTables};
use meadowlug::gateway::{Change, ChangeContent, Changes};
use meadowlug::net::{DiscoveryCallParams, Watch};
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Starts a discovery server that sends the given responses in turn
/// and then none; returns its address and the requested paths.
async fn scripted_discovery(answers: &'static [&'static str]) -> (String, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    let paths = Rc::<RefCell<Vec<String>>>::default();
    let requested = paths.clone();
    spawn_local(async move {
        let answers = Rc::new(RefCell::new(answers.iter()));
        while let Ok((mut stream, _)) = listener.accept().await {
            let (answers, requested) = (answers.clone(), requested.clone());
            spawn_local(async move {
                while let Some(request) = read_message(&mut stream).await {
                    requested.borrow_mut().push(request.path);
                    let next_answer = answers.borrow_mut().next();
                    let Some(answer) = next_answer else { std::future::pending().await };
                    let (status, body) = answer.split_once(' ').expect("a status and a body");
                    // A truncated response never gets its last byte.
                    let (status, sent_part) = match status {
                        "truncated" => ("200", &body[..body.len() - 1]),
                        _ => (status, body),
                    };
                    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream
                        .write_all((head + sent_part).as_bytes())
                        .await
                        .expect("the watch reads the response");
                }
            });
        }
    });
    (address, paths)
}

/// Returns a watch that knows one engine, and the sender that configures another address.
fn watch(address: &str, shared: bool) -> (Watch, tokio::sync::watch::Sender<Arc<str>>) {
    let (address_sender, address) = tokio::sync::watch::channel(address.into());
    let names = NameTables { kinds: vec!["reader".into()], ..NameTables::default() };
    let known_json = r#"{"rev":4,"all":true,"targets":[{"uid":"r1","endpoint":"e:1","model":"reader","state":"SERVING"}]}"#;
    let known: EngineList = serde_json::from_str(known_json).expect("a valid list");
    (
        Watch::new(
            address,
            names,
            Some(known),
            DiscoveryCallParams { shared, gateways: 2, ..DiscoveryCallParams::agent(9) },
        ),
        address_sender,
    )
}

async fn next_roster(watch: &mut Watch) -> (u64, Vec<String>) {
    let change = tokio::time::timeout(Duration::from_secs(30), watch.next())
        .await
        .expect("a change within the time limit");
    let Some(Change { revision, content: ChangeContent::Roster { engines, .. } }) = change else {
        panic!("no roster")
    };
    (revision, engines.iter().map(|engine| engine.name.to_string()).collect())
}

const ADDS_R2: &str = r#"200 {"rev":5,"all":false,"targets":[{"uid":"r2","endpoint":"e:2","model":"reader","state":"SERVING"}]}"#;
const OLDER_REVISION: &str = r#"200 {"rev":3,"all":false,"targets":[]}"#;
const FULL_LIST_R3: &str = r#"200 {"rev":3,"all":true,"targets":[{"uid":"r3","endpoint":"e:3","model":"reader","state":"SERVING"}]}"#;
const REFUSED: &str = "503 {}";

// Seventy gateways that started at once requested full lists from one service, each as much work as forty of
// its lines; with failed calls retried within 50 ms, none was ever answered.
#[rstest]
#[case::shared_service_from_the_known_list(true, &[REFUSED, ADDS_R2], &["?index=4&wait=1000", "?index=4&wait=1000"], "r2")]
#[case::full_list_after_an_older_revision(true, &[OLDER_REVISION, FULL_LIST_R3], &["?index=4&wait=1000", ""], "r3")]
#[case::full_list_from_an_agent(false, &[FULL_LIST_R3], &[""], "r3")]
#[tokio::test]
async fn first_call_resumes_from_the_known_list_where_possible(
    #[case] shared: bool,
    #[case] answers: &'static [&'static str],
    #[case] queries: &[&str],
    #[case] listed: &str,
) {
    run_local(async {
        let (address, requested_paths) = scripted_discovery(answers).await;
        let (mut watch, _address_sender) = watch(&address, shared);
        assert_eq!(next_roster(&mut watch).await, (4, vec!["r1".to_owned()]));
        assert_eq!(next_roster(&mut watch).await.1, [listed]);
        let paths: Vec<_> = queries.iter().map(|query| format!("/v1/endpoints{query}")).collect();
        assert_eq!(requested_paths.borrow()[..paths.len()], paths);
    })
    .await;
}

// When another address of a shared service was configured, each gateway requested the full list there, which
// costs work for each line; the changes since the current list are enough.
#[rstest]
#[case::shared_service_from_the_current_list(true, &[ADDS_R6], "?index=5&wait=1000")]
#[case::shared_service_without_changes_at_first(true, &[NOTHING_NEW, ADDS_R6], "?index=5&wait=1000")]
#[case::full_list_from_an_agent(false, &[ADDS_R6], "")]
#[tokio::test]
async fn first_call_at_a_new_address_resumes_where_possible(
    #[case] shared: bool,
    #[case] answers: &'static [&'static str],
    #[case] query: &str,
) {
    run_local(async {
        let (old, _) = scripted_discovery(&[ADDS_R2]).await;
        let (new, requested_paths) = scripted_discovery(answers).await;
        let (mut watch, address_sender) = watch(&old, shared);
        next_roster(&mut watch).await;
        assert_eq!(next_roster(&mut watch).await.0, 5);
        address_sender.send(new.into()).expect("the watch receives the address");
        if answers.len() > 1 {
            // Nothing has changed, but from now on the new address is followed.
            assert_eq!(next_roster(&mut watch).await, (5, Vec::new()));
        }
        assert_eq!(next_roster(&mut watch).await, (6, vec!["r6".to_owned()]));
        assert_eq!(requested_paths.borrow()[0], format!("/v1/endpoints{query}"));
    })
    .await;
}

const NOTHING_NEW: &str = r#"200 {"rev":5,"all":false,"targets":[]}"#;
const ADDS_R6: &str = r#"200 {"rev":6,"all":false,"targets":[{"uid":"r6","endpoint":"e:6","model":"reader","state":"SERVING"}]}"#;

// A change lost with a silent watch counts as announced 6 s later, so the next watch must be answered by
// then. It was only opened at that time, too late for a gateway that is short of processor time.
#[rstest]
#[case::at_a_shared_service(true)]
#[case::at_an_agent(false)]
#[tokio::test]
async fn silent_watch_is_reopened_before_a_missed_change_counts_as_announced(#[case] shared: bool) {
    run_local(async {
        // One response with the full list or the changes, then silence on that connection.
        let (address, requested_paths) = scripted_discovery(&[ADDS_R6]).await;
        let (mut watch, _address_sender) = watch(&address, shared);
        next_roster(&mut watch).await;
        next_roster(&mut watch).await;
        let call_count_is = async |n| requested_paths.borrow().len() == n;
        wait_until("the watch is renewed", async || call_count_is(2).await).await;
        let renewed_at = Instant::now();
        tokio::select! {
            _ = watch.next() => panic!("the watch reported a change that was not sent"),
            () = wait_until("the watch is reopened", async || call_count_is(3).await) => {}
        }
        let reopened_after = renewed_at.elapsed();
        assert!(reopened_after <= Duration::from_millis(5_500), "{reopened_after:?}");
    })
    .await;
}

const TRUNCATED: &str = r#"truncated {"rev":5,"all":false,"targets":[]}"#;
const MALFORMED: &str = r#"200 {"rev":5,"all":false,"targets":[{"uid":7}"#;
const OUTAGE: &[&str] = &[REFUSED, REFUSED, REFUSED, REFUSED, ADDS_R6];

// A change counts as announced 6 s after discovery can be reached again, whatever failed before. Gateways
// whose calls had been refused several times called again up to 24 s later, and a truncated response to the
// first call held a gateway for 5 s plus a retry delay.
#[rstest]
#[case::after_an_outage(OUTAGE)]
#[case::truncated_response(&[TRUNCATED, ADDS_R6])]
#[case::truncated_response_on_an_open_watch(&[NOTHING_NEW, TRUNCATED, ADDS_R6])]
#[case::truncated_response_after_an_outage(&[REFUSED, REFUSED, REFUSED, TRUNCATED, ADDS_R6])]
#[case::malformed_lists(&[MALFORMED, MALFORMED, MALFORMED, ADDS_R6])]
#[tokio::test]
async fn change_is_received_in_time_whatever_failed_before(
    #[case] answers: &'static [&'static str],
    #[values(true, false)] shared: bool,
    #[values(true, false)] moved: bool,
) {
    run_local(async {
        let (address, requested_paths) = scripted_discovery(answers).await;
        let (old, _) = scripted_discovery(&[ADDS_R2]).await;
        let (mut watch, address_sender) = watch(if moved { &old } else { &address }, shared);
        next_roster(&mut watch).await;
        if moved {
            next_roster(&mut watch).await;
            address_sender.send(address.into()).expect("the watch receives the address");
        }
        // Discovery counts as reachable from the last failing call.
        let reachable_since = Rc::new(RefCell::new(None));
        let (reachable_at, failing_calls) = (reachable_since.clone(), answers.len() - 1);
        spawn_local(async move {
            wait_until("the last failing call is made", async || {
                requested_paths.borrow().len() >= failing_calls
            })
            .await;
            reachable_at.replace(Some(Instant::now()));
        });
        loop {
            if next_roster(&mut watch).await.0 == 6 {
                break;
            }
        }
        let received_after = reachable_since.borrow().expect("the failing calls were made").elapsed();
        assert!(received_after <= Duration::from_millis(5_700), "{received_after:?}");
    })
    .await;
}

/// How discovery fails when a daemon starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Down,
    Silent,
    Slow,
    Malformed,
}

/// Starts a discovery server that fails in the given way, or is slow to send its list.
async fn failing_discovery(failure: Failure, list: serde_json::Value) -> std::net::SocketAddr {
    if failure == Failure::Down {
        return closed_port().await;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let body =
                if failure == Failure::Malformed { "{\"rev\":\u{1}".to_owned() } else { list.to_string() };
            spawn_local(async move {
                while read_message(&mut stream).await.is_some() {
                    match failure {
                        Failure::Silent => std::future::pending().await,
                        Failure::Slow => tokio::time::sleep(Duration::from_millis(1_500)).await,
                        _ => {}
                    }
                    let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n", body.len());
                    // The caller may have given up.
                    let _ = stream.write_all((head + &body).as_bytes()).await;
                }
            });
        }
    });
    address
}

// A restarted process serves from the list that it persisted last, whatever
// discovery does; without one it is ready as soon as discovery sends its list.
#[rstest]
#[tokio::test]
async fn restarted_daemon_is_ready_whatever_discovery_does(
    #[values(Failure::Down, Failure::Silent, Failure::Slow, Failure::Malformed)] failure: Failure,
    #[values(true, false)] has_known_list: bool,
) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let targets = [&reader, &writer].map(|engine| engine.target("SERVING"));
        let list = serde_json::json!({"rev": 4, "all": true, "targets": targets});
        let discovery = failing_discovery(failure, list.clone()).await;
        let known = if has_known_list { list } else { serde_json::json!({"rev": "malformed"}) };
        let started = Instant::now();
        let daemon = Daemon::with_known_list(known, serde_json::json!({}), discovery, None).await;
        if has_known_list || failure == Failure::Slow {
            wait_until("the daemon is ready", async || daemon.is_ready().await).await;
            let max_ms = if has_known_list { 1_000 } else { 4_000 };
            assert!(started.elapsed() < Duration::from_millis(max_ms), "{:?}", started.elapsed());
            assert_eq!(chat(daemon.address, "a1", "lookup", 9000).await.status, 200);
        } else {
            // The daemon knows no engine: it reports that it is
            // not ready, and a request still gets a response.
            assert!(!daemon.is_ready().await);
            assert!(matches!(chat(daemon.address, "a1", "lookup", 500).await.status, 429 | 504));
        }
    })
    .await;
}
