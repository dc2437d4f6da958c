//! Discovery of 1,024 engines with long names, as a full list and as changes, over real sockets up to served
//! requests.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::{Value, json};

const ENGINES: usize = 1024;

/// Discovery entries for the engines with the given numbers. All of them share the addresses of one reader
/// and one writer.
fn targets(readers: &Engine, writers: &Engine, numbers: std::ops::Range<usize>) -> Vec<Value> {
    let entry = |number: usize| {
        let engine = if number.is_multiple_of(2) { readers } else { writers };
        let mut target = engine.target("SERVING");
        // The name is as long as a pod name with its set, hash and namespace may be.
        target["uid"] = json!(format!("{:0>63}.{:0>63}-{number:05}", engine.model, "records"));
        target["pod_group"] = json!(number / 6);
        target
    };
    numbers.map(entry).collect()
}

// A limit below this number of engines, or buffers sized for the largest possible list, would prevent a
// gateway with little memory and few sockets from starting or from becoming ready.
#[rstest]
#[case::common_limits(json!({"memory_mb": 192, "sockets": 1024}))]
#[case::smallest_limits(json!({"memory_mb": 32, "sockets": 256}))]
#[tokio::test]
async fn gateway_lists_and_uses_a_thousand_engines(
    #[case] limits: Value,
    #[values(false, true)] as_changes: bool,
) {
    run_local(async move {
        let (readers, writers) = (Engine::start("r", "reader").await, Engine::start("w", "writer").await);
        let initial_count = if as_changes { 2 } else { ENGINES };
        let discovery = Discovery::with_revision(1, targets(&readers, &writers, 0..initial_count)).await;
        let daemon = Daemon::with_limits(limits, &discovery, None).await;
        if as_changes {
            discovery.add_as_change(targets(&readers, &writers, 2..ENGINES / 2));
            wait_until("the first change is announced", async || discovery.has_announced(2)).await;
            discovery.add_as_change(targets(&readers, &writers, ENGINES / 2..ENGINES));
        }
        let all_listed = async || {
            let stats = send_request(daemon.management, "GET", "/ops/stats", &[], "").await;
            stats.body.lines().any(|line| line.ends_with(&format!(" {ENGINES}")))
        };
        wait_until("the daemon knows all engines", all_listed).await;
        for number in 0..20 {
            assert_eq!(chat(daemon.address, &format!("a{number}"), "lookup", 9000).await.status, 200);
        }
        assert_eq!((readers.count("/v1/"), writers.count("/v1/")), (20, 20));
    })
    .await;
}
