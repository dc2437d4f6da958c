//! The configuration file replaced under a running gateway, on real sockets.

mod loopback;
use loopback::*;

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
        let new = Discovery::start(&[&r3, &writer]).await;
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
