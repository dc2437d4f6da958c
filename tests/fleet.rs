//! A list of 1,024 engines with long names, whole and as changes, on real sockets through to served requests.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::{Value, json};

const ENGINES: usize = 1024;

/// The entries of that many engines: all listen where one reader and one writer do.
fn targets(readers: &Engine, writers: &Engine, numbers: std::ops::Range<usize>) -> Vec<Value> {
    let entry = |n: usize| {
        let engine = if n.is_multiple_of(2) { readers } else { writers };
        let mut target = engine.target("SERVING");
        // As long as a pod's name with its set, hash and namespace may be.
        target["uid"] = json!(format!("{:0>63}.{:0>63}-{n:05}", engine.model, "records"));
        target["pod_group"] = json!(n / 6);
        target
    };
    numbers.map(entry).collect()
}

// A cap below it, or buffers sized by the largest list there could be, would keep a gateway with little memory
// and few sockets from starting, or from ever being ready.
#[rstest]
#[case::usual(json!({"memory_mb": 192, "sockets": 1024}))]
#[case::smallest(json!({"memory_mb": 32, "sockets": 256}))]
#[tokio::test]
async fn thousand_engines_are_listed_and_serve(
    #[case] limits: Value,
    #[values(false, true)] as_changes: bool,
) {
    local(async move {
        let (readers, writers) = (Engine::start("r", "reader").await, Engine::start("w", "writer").await);
        let first = if as_changes { 2 } else { ENGINES };
        let discovery = Discovery::at(1, targets(&readers, &writers, 0..first)).await;
        let daemon = Daemon::within(limits, &discovery, None).await;
        if as_changes {
            discovery.change(targets(&readers, &writers, 2..ENGINES / 2));
            until("told", async || discovery.has_told(2)).await;
            discovery.change(targets(&readers, &writers, ENGINES / 2..ENGINES));
        }
        let all_listed = async || {
            let stats = ask(daemon.management, "GET", "/ops/stats", &[], "").await;
            stats.body.lines().any(|l| l.ends_with(&format!(" {ENGINES}")))
        };
        until("all listed", all_listed).await;
        for n in 0..20 {
            assert_eq!(chat(daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
        }
        assert_eq!((readers.count("/v1/"), writers.count("/v1/")), (20, 20));
    })
    .await;
}
