//! What the watch asks of discovery, on real sockets.

mod loopback;
use loopback::*;
use meadowlug::config::{List, Names};
use meadowlug::gateway::{Change, Changes, News};
use meadowlug::net::{Asking, Watch};
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// A discovery that gives these answers in turn, then none; and the paths that it was asked.
async fn scripted(answers: &'static [&'static str]) -> (String, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let paths = Rc::<RefCell<Vec<String>>>::default();
    let asked = paths.clone();
    spawn_local(async move {
        let answers = Rc::new(RefCell::new(answers.iter()));
        while let Ok((mut stream, _)) = listener.accept().await {
            let (answers, asked) = (answers.clone(), asked.clone());
            spawn_local(async move {
                while let Some(request) = message(&mut stream).await {
                    asked.borrow_mut().push(request.path);
                    let next = answers.borrow_mut().next();
                    let Some(answer) = next else { std::future::pending().await };
                    let (status, body) = answer.split_once(' ').expect("a status and a body");
                    // Half an answer lacks its last byte for good.
                    let (status, part) = match status {
                        "half" => ("200", &body[..body.len() - 1]),
                        _ => (status, body),
                    };
                    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream.write_all((head + part).as_bytes()).await.expect("the watch listens");
                }
            });
        }
    });
    (address, paths)
}

/// A watch that knows an engine, and what tells it another address.
fn watch(address: &str, shared: bool) -> (Watch, tokio::sync::watch::Sender<Arc<str>>) {
    let (told, address) = tokio::sync::watch::channel(address.into());
    let names = Names { kinds: vec!["reader".into()], ..Names::default() };
    let known = r#"{"rev":4,"all":true,"targets":[{"uid":"r1","endpoint":"e:1","model":"reader","state":"SERVING"}]}"#;
    let known: List = serde_json::from_str(known).expect("a list");
    (Watch::new(address, names, Some(known), Asking { shared, gateways: 2, ..Asking::agent(9) }), told)
}

async fn next(watch: &mut Watch) -> (u64, Vec<String>) {
    let change = tokio::time::timeout(Duration::from_secs(30), watch.next()).await.expect("in time");
    let Some(Change { revision, news: News::Roster { engines, .. } }) = change else { panic!("no roster") };
    (revision, engines.iter().map(|engine| engine.name.to_string()).collect())
}

const R2: &str = r#"200 {"rev":5,"all":false,"targets":[{"uid":"r2","endpoint":"e:2","model":"reader","state":"SERVING"}]}"#;
const BACK: &str = r#"200 {"rev":3,"all":false,"targets":[]}"#;
const R3: &str = r#"200 {"rev":3,"all":true,"targets":[{"uid":"r3","endpoint":"e:3","model":"reader","state":"SERVING"}]}"#;
const TURNED_AWAY: &str = "503 {}";

// Seventy gateways that started at once asked one service for whole lists, each as much work as forty of its
// lines; with those that had failed asked again within 50 ms, none was ever answered.
#[rstest]
#[case::shared_from_what_is_known(true, &[TURNED_AWAY, R2], &["?index=4&wait=1000", "?index=4&wait=1000"], "r2")]
#[case::another_history_is_asked_for_whole(true, &[BACK, R3], &["?index=4&wait=1000", ""], "r3")]
#[case::an_agent_for_its_whole_list(false, &[R3], &[""], "r3")]
#[tokio::test]
async fn first_calls(
    #[case] shared: bool,
    #[case] answers: &'static [&'static str],
    #[case] paths: &[&str],
    #[case] told: &str,
) {
    local(async {
        let (address, asked) = scripted(answers).await;
        let (mut watch, _told) = watch(&address, shared);
        assert_eq!(next(&mut watch).await, (4, vec!["r1".to_owned()]));
        assert_eq!(next(&mut watch).await.1, [told]);
        let paths: Vec<_> = paths.iter().map(|query| format!("/v1/endpoints{query}")).collect();
        assert_eq!(asked.borrow()[..paths.len()], paths);
    })
    .await;
}

// Told another address of a shared service, each gateway asked it for the whole list, each line of which is work
// there; what has changed since the list so far is enough.
#[rstest]
#[case::shared_from_what_was_told(true, &[R6], "?index=5&wait=1000")]
#[case::shared_with_nothing_new_at_first(true, &[NOTHING_NEW, R6], "?index=5&wait=1000")]
#[case::an_agent_for_its_whole_list(false, &[R6], "")]
#[tokio::test]
async fn first_call_at_another_address(
    #[case] shared: bool,
    #[case] answers: &'static [&'static str],
    #[case] query: &str,
) {
    local(async {
        let (old, _) = scripted(&[R2]).await;
        let (new, asked) = scripted(answers).await;
        let (mut watch, told) = watch(&old, shared);
        next(&mut watch).await;
        assert_eq!(next(&mut watch).await.0, 5);
        told.send(new.into()).expect("it listens");
        if answers.len() > 1 {
            // Nothing has changed, but from now on it is this one that is followed.
            assert_eq!(next(&mut watch).await, (5, Vec::new()));
        }
        assert_eq!(next(&mut watch).await, (6, vec!["r6".to_owned()]));
        assert_eq!(asked.borrow()[0], format!("/v1/endpoints{query}"));
    })
    .await;
}

const NOTHING_NEW: &str = r#"200 {"rev":5,"all":false,"targets":[]}"#;
const R6: &str = r#"200 {"rev":6,"all":false,"targets":[{"uid":"r6","endpoint":"e:6","model":"reader","state":"SERVING"}]}"#;

// What a watch misses that has fallen silent counts as told 6 s later: the next one has to be answered by then.
// It was opened just then, too late for a gateway that is short of processor time.
#[rstest]
#[case::at_a_shared_service(true)]
#[case::at_an_agent(false)]
#[tokio::test]
async fn silent_watch_is_opened_anew_before_what_it_misses_counts(#[case] shared: bool) {
    local(async {
        // The whole list or what has changed, then silence on that connection.
        let (address, asked) = scripted(&[R6]).await;
        let (mut watch, _told) = watch(&address, shared);
        next(&mut watch).await;
        next(&mut watch).await;
        let calls = async |n| asked.borrow().len() == n;
        until("renewed", async || calls(2).await).await;
        let renewed = Instant::now();
        tokio::select! {
            _ = watch.next() => panic!("nothing was told"),
            () = until("opened anew", async || calls(3).await) => {}
        }
        let after = renewed.elapsed();
        assert!(after <= Duration::from_millis(5_500), "{after:?}");
    })
    .await;
}

const HALF: &str = r#"half {"rev":5,"all":false,"targets":[]}"#;
const SPOILT: &str = r#"200 {"rev":5,"all":false,"targets":[{"uid":7}"#;
const OUTAGE: &[&str] = &[TURNED_AWAY, TURNED_AWAY, TURNED_AWAY, TURNED_AWAY, R6];

// Whatever failed before, a change counts as told 6 s after discovery could be reached again. Gateways that had been
// turned away some times asked again up to 24 s later, and half an answer to the first call held one for 5 s and
// a pause on top.
#[rstest]
#[case::after_an_outage(OUTAGE)]
#[case::half_an_answer(&[HALF, R6])]
#[case::half_an_answer_on_an_open_watch(&[NOTHING_NEW, HALF, R6])]
#[case::half_an_answer_after_an_outage(&[TURNED_AWAY, TURNED_AWAY, TURNED_AWAY, HALF, R6])]
#[case::no_list(&[SPOILT, SPOILT, SPOILT, R6])]
#[tokio::test]
async fn change_is_known_in_time_whatever_failed_before(
    #[case] answers: &'static [&'static str],
    #[values(true, false)] shared: bool,
    #[values(true, false)] moved: bool,
) {
    local(async {
        let (address, asked) = scripted(answers).await;
        let (old, _) = scripted(&[R2]).await;
        let (mut watch, told) = watch(if moved { &old } else { &address }, shared);
        next(&mut watch).await;
        if moved {
            next(&mut watch).await;
            told.send(address.into()).expect("it listens");
        }
        // From the last call that failed on it could be reached.
        let reached = Rc::new(RefCell::new(None));
        let (seen, failing) = (reached.clone(), answers.len() - 1);
        spawn_local(async move {
            until("the last failing call", async || asked.borrow().len() >= failing).await;
            seen.replace(Some(Instant::now()));
        });
        loop {
            if next(&mut watch).await.0 == 6 {
                break;
            }
        }
        let after = reached.borrow().expect("it failed before").elapsed();
        assert!(after <= Duration::from_millis(5_700), "{after:?}");
    })
    .await;
}

/// How a discovery fails at which a daemon starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fails {
    Down,
    Silent,
    Slow,
    Spoilt,
}

/// A discovery that fails so, or is just slow to give its list.
async fn failing(how: Fails, list: serde_json::Value) -> std::net::SocketAddr {
    if how == Fails::Down {
        return closed_port().await;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = if how == Fails::Spoilt { "{\"rev\":\u{1}".to_owned() } else { list.to_string() };
            spawn_local(async move {
                while message(&mut stream).await.is_some() {
                    match how {
                        Fails::Silent => std::future::pending().await,
                        Fails::Slow => tokio::time::sleep(Duration::from_millis(1_500)).await,
                        _ => {}
                    }
                    let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n", body.len());
                    // Whoever asked may have given up.
                    let _ = stream.write_all((head + &body).as_bytes()).await;
                }
            });
        }
    });
    address
}

// A process that starts again serves from the list it held last, whatever discovery does; without one it is ready
// as soon as discovery gives its own.
#[rstest]
#[tokio::test]
async fn daemon_that_starts_again_is_ready_whatever_discovery_does(
    #[values(Fails::Down, Fails::Silent, Fails::Slow, Fails::Spoilt)] how: Fails,
    #[values(true, false)] knows: bool,
) {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let targets = [&reader, &writer].map(|engine| engine.target("SERVING"));
        let list = serde_json::json!({"rev": 4, "all": true, "targets": targets});
        let discovery = failing(how, list.clone()).await;
        let known = if knows { list } else { serde_json::json!({"rev": "spoilt"}) };
        let started = Instant::now();
        let daemon = Daemon::with_known_list(known, serde_json::json!({}), discovery, None).await;
        if knows || how == Fails::Slow {
            until("ready", async || daemon.is_ready().await).await;
            let most = if knows { 1_000 } else { 4_000 };
            assert!(started.elapsed() < Duration::from_millis(most), "{:?}", started.elapsed());
            assert_eq!(chat(daemon.address, "a1", "lookup", 9000).await.status, 200);
        } else {
            // Nobody has told it of any engine: it says so, and a request gets its answer all the same.
            assert!(!daemon.is_ready().await);
            assert!(matches!(chat(daemon.address, "a1", "lookup", 500).await.status, 429 | 504));
        }
    })
    .await;
}
