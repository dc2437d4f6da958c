//! The configuration file replaced under a running gateway, on real sockets.

mod loopback;
use loopback::*;
use serde_json::json;
use std::time::Duration;
use tokio::task::spawn_local;

// Told another address the gateway stayed at the old one, and sent to engines long gone.
#[tokio::test]
async fn watch_moves_without_a_gap() {
    local(async {
        let (r1, r2) = (Engine::start("r1", "reader").await, Engine::start("r2", "reader").await);
        let writer = Engine::start("w1", "writer").await;
        let old = Discovery::start(&[&r1, &writer]).await;
        let daemon = Daemon::start(&old, None).await;
        let ask = async |id: &str| chat(daemon.address, id, "lookup", 9000).await.status;

        // Nothing answers there: the list it has and the old watch go on.
        daemon.move_discovery(closed_port().await).await;
        assert_eq!(ask("a1").await, 200);
        old.add(&r2);
        old.set(&r1, "DRAINING");
        let mut n = 0;
        let sent_to_second = async || {
            n += 1;
            assert_eq!(ask(&format!("b{n}")).await, 200);
            r2.count("/v1/") > 0
        };
        until("follows the old watch", sent_to_second).await;

        // A file that makes no sense changes nothing and ends nothing.
        daemon.reread("{").await;
        assert_eq!(ask("c1").await, 200);

        // The new one lists an engine that the old one never told of, and not those it did.
        let r3 = Engine::start("r3", "reader").await;
        let new = Discovery::at(9, vec![r3.target("SERVING"), writer.target("SERVING")]).await;
        daemon.move_discovery(new.address).await;
        let sent_to_third = async || {
            n += 1;
            assert_eq!(ask(&format!("d{n}")).await, 200);
            r3.count("/v1/") > 0
        };
        until("follows the new watch", sent_to_third).await;
        old.set(&r2, "SERVING");
        for n in 0..8 {
            assert_eq!(ask(&format!("e{n}")).await, 200);
        }
        assert!(r3.count("/v1/") >= 8, "the old watch has ended");
    })
    .await;
}

// The first answer of a new address counted as whole whatever it held: an agent that had just started, with no
// list or an old one, took every engine out of use, and brought drained ones back into it.
#[tokio::test]
async fn address_that_is_behind_takes_no_engine_out_and_brings_none_back() {
    local(async {
        let (r1, r2) = (Engine::start("r1", "reader").await, Engine::start("r2", "reader").await);
        let (r3, writer) = (Engine::start("r3", "reader").await, Engine::start("w1", "writer").await);
        let serving = |engines: &[&Engine]| engines.iter().map(|e| e.target("SERVING")).collect::<Vec<_>>();
        let old = Discovery::at(40, serving(&[&r1, &r2, &writer])).await;
        let daemon = Daemon::start(&old, None).await;
        let mut n = 0;
        let mut ask = async || {
            n += 1;
            assert_eq!(chat(daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
        };
        let drained = old.set(&r1, "DRAINING");
        until("told", async || old.has_told(drained)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let before = r1.count("/v1/");

        // Nothing listed, then a list from before the drain that lacks an engine, then one with a drain.
        let empty = Discovery::at(1, Vec::new()).await;
        daemon.move_discovery(empty.address).await;
        until("asked", async || empty.has_told(1)).await;
        for _ in 0..8 {
            ask().await;
        }
        let behind = Discovery::at(30, serving(&[&r1, &r3, &writer])).await;
        daemon.move_discovery(behind.address).await;
        until("asked", async || behind.has_told(30)).await;
        for _ in 0..8 {
            ask().await;
        }
        assert_eq!((r1.count("/v1/"), r3.count("/v1/")), (before, 0), "an old list brings nothing into use");

        // It catches up: what it tells counts from then on, and nobody follows the old one.
        for _ in 0..10 {
            behind.set(&r1, "DRAINING");
        }
        behind.add(&r3);
        let mut caught_up = async || {
            ask().await;
            r3.count("/v1/") > 0
        };
        until("caught up", &mut caught_up).await;
        assert_eq!(r1.count("/v1/"), before);
    })
    .await;
}

// The revisions of a discovery that was set up anew begin again: its engines were never taken into use.
#[tokio::test]
async fn address_that_stays_behind_is_another_history_and_counts() {
    local(async {
        let (r1, r2) = (Engine::start("r1", "reader").await, Engine::start("r2", "reader").await);
        let writer = Engine::start("w1", "writer").await;
        let old = Discovery::at(40, vec![r1.target("SERVING"), writer.target("SERVING")]).await;
        let daemon = Daemon::start(&old, None).await;
        let new = Discovery::at(3, vec![r2.target("SERVING"), writer.target("SERVING")]).await;
        daemon.move_discovery(new.address).await;
        let mut n = 0;
        let mut followed = async || {
            n += 1;
            assert_eq!(chat(daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
            r2.count("/v1/") > 0
        };
        until("followed", &mut followed).await;
    })
    .await;
}

// Several orders in a row, with one that makes no sense among them, and the end right after: what had been taken
// is answered, the last address counts, and the program ends in order.
#[rstest::rstest]
#[case::moved_then_stopped(&["away", "spoilt", "back"])]
#[case::spoilt_then_stopped(&["spoilt"])]
#[case::stopped_alone(&[])]
#[tokio::test]
async fn orders_in_a_row_and_the_end_right_after_lose_nothing(#[case] orders: &[&str]) {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let old = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::start(&old, None).await;
        let nothing = closed_port().await;
        let address = daemon.address;
        let asked = (0..8).map(|n| format!("a{n}"));
        let taken: Vec<_> = asked
            .map(|id| spawn_local(async move { chat(address, &id, "lookup", 9000).await.status }))
            .collect();
        // Each comes to its first engine before the orders do.
        until("taken", async || reader.count("/v1/") == 8).await;
        for order in orders {
            match *order {
                "away" => daemon.move_discovery(nothing).await,
                "back" => daemon.move_discovery(old.address).await,
                _ => daemon.reread(r#"{"listen":"#).await,
            }
        }
        daemon.stop.notify_one();
        for answer in taken {
            assert_eq!(answer.await.expect("an answer"), 200);
        }
        tokio::time::timeout(Duration::from_secs(15), daemon.ended)
            .await
            .expect("in time")
            .expect("in order");
        assert_eq!(writer.count("/v1/"), 8, "nothing was written twice");
    })
    .await;
}

// Asked to move or to end before it had ever heard of an engine: a start into an outage of discovery.
#[rstest::rstest]
#[case::moved_to_where_there_is_a_list(&["away", "there"], true)]
#[case::nothing_but_orders_without_sense(&["spoilt", "away", "spoilt"], false)]
#[case::no_order(&[], false)]
#[tokio::test]
async fn orders_before_the_first_list(#[case] orders: &[&str], #[case] serves: bool) {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let nothing = closed_port().await;
        let daemon = Daemon::before_its_list(json!({}), nothing, None).await;
        assert!(!daemon.is_ready().await);
        for order in orders {
            match *order {
                "away" => daemon.move_discovery(closed_port().await).await,
                "there" => daemon.move_discovery(discovery.address).await,
                _ => daemon.reread(r#"{"listen":"#).await,
            }
        }
        if serves {
            until("ready", async || daemon.is_ready().await).await;
            assert_eq!(chat(daemon.address, "a1", "lookup", 9000).await.status, 200);
        } else {
            // It waits for an engine no longer than its client does, and says so.
            let answer = chat(daemon.address, "a1", "lookup", 300).await;
            assert!((400..600).contains(&answer.status), "{}", answer.status);
        }
        daemon.stop.notify_one();
        let ended = tokio::time::timeout(Duration::from_secs(15), daemon.ended).await;
        ended.expect("in time").expect("in order");
    })
    .await;
}
