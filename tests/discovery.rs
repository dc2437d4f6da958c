//! What the watch asks of discovery, on real sockets.

mod loopback;
use loopback::*;
use meadowlug::config::{List, Names};
use meadowlug::gateway::{Change, Changes, News};
use meadowlug::net::{Asking, Watch};
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
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
        let mut answers = answers.iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            while let Some(request) = message(&mut stream).await {
                asked.borrow_mut().push(request.path);
                let Some(answer) = answers.next() else { std::future::pending().await };
                let (status, body) = answer.split_once(' ').expect("a status and a body");
                let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all((head + body).as_bytes()).await.expect("the watch listens");
            }
        }
    });
    (address, paths)
}

fn watch(address: &str, shared: bool) -> Watch {
    let (told, address) = tokio::sync::watch::channel(address.into());
    // The address stays as it is.
    std::mem::forget(told);
    let names = Names { kinds: vec!["reader".into()], ..Names::default() };
    let known = r#"{"rev":4,"all":true,"targets":[{"uid":"r1","endpoint":"e:1","model":"reader","state":"SERVING"}]}"#;
    let known: List = serde_json::from_str(known).expect("a list");
    Watch::new(address, names, Some(known), Asking { shared, gateways: 2, seed: 9 })
}

async fn next(watch: &mut Watch) -> (u64, Vec<String>) {
    let change = tokio::time::timeout(Duration::from_secs(10), watch.next()).await.expect("in time");
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
#[case::shared_from_what_is_known(true, &[TURNED_AWAY, R2], &["?index=4&wait=4000", "?index=4&wait=4000"], "r2")]
#[case::another_history_is_asked_for_whole(true, &[BACK, R3], &["?index=4&wait=4000", ""], "r3")]
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
        let mut watch = watch(&address, shared);
        assert_eq!(next(&mut watch).await, (4, vec!["r1".to_owned()]));
        assert_eq!(next(&mut watch).await.1, [told]);
        let paths: Vec<_> = paths.iter().map(|query| format!("/v1/endpoints{query}")).collect();
        assert_eq!(asked.borrow()[..paths.len()], paths);
    })
    .await;
}
