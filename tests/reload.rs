//! The configuration file is replaced while a gateway runs, on real sockets.

mod loopback;
use loopback::*;
use serde_json::json;
use std::time::Duration;
use tokio::task::spawn_local;

// A gateway that was given another discovery address kept the old one and sent requests to engines that no
// longer existed.
#[tokio::test]
async fn watch_moves_without_a_gap() {
    run_local(async {
        let (r1, r2) = (Engine::start("r1", "reader").await, Engine::start("r2", "reader").await);
        let writer = Engine::start("w1", "writer").await;
        let old_discovery = Discovery::start(&[&r1, &writer]).await;
        let daemon = Daemon::start(&old_discovery, None).await;
        let chat_status = async |id: &str| chat(daemon.address, id, "lookup", 9000).await.status;

        // No process listens at the new address: the current list and the old watch stay in use.
        daemon.move_discovery(closed_port().await).await;
        assert_eq!(chat_status("a1").await, 200);
        old_discovery.add(&r2);
        old_discovery.set_state(&r1, "DRAINING");
        let mut n = 0;
        let sent_to_second = async || {
            n += 1;
            assert_eq!(chat_status(&format!("b{n}")).await, 200);
            r2.count("/v1/") > 0
        };
        wait_until("the old watch is followed", sent_to_second).await;

        // An invalid file changes nothing and stops nothing.
        daemon.reload("{").await;
        assert_eq!(chat_status("c1").await, 200);

        // The new server lists an engine that the old one never listed, and not all of the old ones.
        let r3 = Engine::start("r3", "reader").await;
        let new_discovery =
            Discovery::with_revision(9, vec![r3.target("SERVING"), writer.target("SERVING")]).await;
        daemon.move_discovery(new_discovery.address).await;
        let sent_to_third = async || {
            n += 1;
            assert_eq!(chat_status(&format!("d{n}")).await, 200);
            r3.count("/v1/") > 0
        };
        wait_until("the new watch is followed", sent_to_third).await;
        old_discovery.set_state(&r2, "SERVING");
        for n in 0..8 {
            assert_eq!(chat_status(&format!("e{n}")).await, 200);
        }
        assert!(r3.count("/v1/") >= 8, "the old watch is still followed");
    })
    .await;
}

// The first response of a new address was accepted as a full list whatever it held: an agent that had just
// started, with no list or an old one, took every engine out of use and put drained engines back into use.
#[tokio::test]
async fn address_with_an_older_revision_removes_no_engine_and_brings_none_back() {
    run_local(async {
        let (r1, r2) = (Engine::start("r1", "reader").await, Engine::start("r2", "reader").await);
        let (r3, writer) = (Engine::start("r3", "reader").await, Engine::start("w1", "writer").await);
        let serving = |engines: &[&Engine]| engines.iter().map(|e| e.target("SERVING")).collect::<Vec<_>>();
        let old_discovery = Discovery::with_revision(40, serving(&[&r1, &r2, &writer])).await;
        let daemon = Daemon::start(&old_discovery, None).await;
        let mut n = 0;
        let mut send_chat = async || {
            n += 1;
            assert_eq!(chat(daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
        };
        let drain_revision = old_discovery.set_state(&r1, "DRAINING");
        wait_until("the drain is announced", async || old_discovery.has_announced(drain_revision)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let count_before = r1.count("/v1/");

        // An empty list, then a list from before the drain that lacks an engine, then one with a drain.
        let empty_discovery = Discovery::with_revision(1, Vec::new()).await;
        daemon.move_discovery(empty_discovery.address).await;
        wait_until("the empty list is sent", async || empty_discovery.has_announced(1)).await;
        for _ in 0..8 {
            send_chat().await;
        }
        let lagging_discovery = Discovery::with_revision(30, serving(&[&r1, &r3, &writer])).await;
        daemon.move_discovery(lagging_discovery.address).await;
        wait_until("the older list is sent", async || lagging_discovery.has_announced(30)).await;
        for _ in 0..8 {
            send_chat().await;
        }
        assert_eq!(
            (r1.count("/v1/"), r3.count("/v1/")),
            (count_before, 0),
            "the older list brought an engine into use"
        );

        // The new address catches up: its changes are accepted
        // from then on, and the old address is no longer followed.
        for _ in 0..10 {
            lagging_discovery.set_state(&r1, "DRAINING");
        }
        lagging_discovery.add(&r3);
        let mut caught_up = async || {
            send_chat().await;
            r3.count("/v1/") > 0
        };
        wait_until("the new address has caught up", &mut caught_up).await;
        assert_eq!(r1.count("/v1/"), count_before);
    })
    .await;
}

// Revisions start again when discovery is set up from scratch. The gateway never used the engines of the new
// list.
#[tokio::test]
async fn address_that_keeps_an_older_revision_is_accepted() {
    run_local(async {
        let (r1, r2) = (Engine::start("r1", "reader").await, Engine::start("r2", "reader").await);
        let writer = Engine::start("w1", "writer").await;
        let old_discovery =
            Discovery::with_revision(40, vec![r1.target("SERVING"), writer.target("SERVING")]).await;
        let daemon = Daemon::start(&old_discovery, None).await;
        let new_discovery =
            Discovery::with_revision(3, vec![r2.target("SERVING"), writer.target("SERVING")]).await;
        daemon.move_discovery(new_discovery.address).await;
        let mut n = 0;
        let mut followed = async || {
            n += 1;
            assert_eq!(chat(daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
            r2.count("/v1/") > 0
        };
        wait_until("the new address is followed", &mut followed).await;
    })
    .await;
}

// Several reloads in a row, an invalid one among them, with a shutdown right after: accepted requests are
// answered, the last address is in force, and the process ends without an error.
#[rstest::rstest]
#[case::moved_then_stopped(&["away", "malformed", "back"])]
#[case::malformed_then_stopped(&["malformed"])]
#[case::only_stopped(&[])]
#[tokio::test]
async fn reloads_in_a_row_and_a_shutdown_right_after_lose_nothing(#[case] reloads: &[&str]) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let old_discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::start(&old_discovery, None).await;
        let unreachable = closed_port().await;
        let address = daemon.address;
        let ids = (0..8).map(|n| format!("a{n}"));
        let responses: Vec<_> = ids
            .map(|id| spawn_local(async move { chat(address, &id, "lookup", 9000).await.status }))
            .collect();
        // Each request reaches its first engine before the reloads.
        wait_until("the requests reach the reader", async || reader.count("/v1/") == 8).await;
        for reload in reloads {
            match *reload {
                "away" => daemon.move_discovery(unreachable).await,
                "back" => daemon.move_discovery(old_discovery.address).await,
                _ => daemon.reload(r#"{"listen":"#).await,
            }
        }
        daemon.stop.notify_one();
        for answer in responses {
            assert_eq!(answer.await.expect("the client task ends"), 200);
        }
        tokio::time::timeout(Duration::from_secs(15), daemon.task)
            .await
            .expect("the daemon ends within the time limit")
            .expect("the daemon ends without an error");
        assert_eq!(writer.count("/v1/"), 8, "each request was written once");
    })
    .await;
}

// A reload or shutdown before the daemon knew any engine: a start during an outage of discovery.
#[rstest::rstest]
#[case::moved_to_an_address_with_a_list(&["away", "there"], true)]
#[case::no_usable_reload(&["malformed", "away", "malformed"], false)]
#[case::no_reload(&[], false)]
#[tokio::test]
async fn reloads_before_the_first_list(#[case] reloads: &[&str], #[case] serves: bool) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let unreachable = closed_port().await;
        let daemon = Daemon::without_list(json!({}), unreachable, None).await;
        assert!(!daemon.is_ready().await);
        for reload in reloads {
            match *reload {
                "away" => daemon.move_discovery(closed_port().await).await,
                "there" => daemon.move_discovery(discovery.address).await,
                _ => daemon.reload(r#"{"listen":"#).await,
            }
        }
        if serves {
            wait_until("the daemon is ready", async || daemon.is_ready().await).await;
            assert_eq!(chat(daemon.address, "a1", "lookup", 9000).await.status, 200);
        } else {
            // The request waits for an engine no longer than its
            // deadline allows, and then gets an error response.
            let answer = chat(daemon.address, "a1", "lookup", 300).await;
            assert!((400..600).contains(&answer.status), "{}", answer.status);
        }
        daemon.stop.notify_one();
        let task_result = tokio::time::timeout(Duration::from_secs(15), daemon.task).await;
        task_result
            .expect("the daemon ends within the time limit")
            .expect("the daemon ends without an error");
    })
    .await;
}
