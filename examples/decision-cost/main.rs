//! Measures the time that the decision module needs for one event, by
//! the number of listed engines and the number of waiting requests.
//!
//!     cargo run --release --example decision-cost

use meadowlug::Router;
use meadowlug::interface::*;
use std::sync::Arc;
use std::time::Instant;

/// Returns one of 350 routers, with the given number of engines, a
/// third of them readers, and with requests that wait for writers.
fn router_with_queue(engines: u32, waiting: usize) -> Router {
    let settings = Settings {
        replicas: 350,
        roles: vec![Role::Read, Role::Write],
        memory_tokens: vec![200_000.0, 700_000.0 / f64::from(engines)],
        classes: vec![Class { first_token_target: 60_000_000, deadline: 300_000_000, ..Class::default() }],
        ..Settings::default()
    };
    let mut router = Router::new(settings, 0).expect("valid settings");
    let entry = |n: u32| Entry {
        server: ServerId(n),
        kind: usize::from(!n.is_multiple_of(3)),
        zone: n % 4,
        cell: n / 6,
        started_at: if n.is_multiple_of(2) { 95_000_000 } else { 0 },
        ..Entry::default()
    };
    let entries = (0..engines).map(entry).collect();
    let mut events = vec![Event::Roster { form: RosterForm::Full, entries }];
    events.extend((0..waiting + 2).map(|n| {
        Event::Request(Arrival {
            id: RequestId(Arc::from(format!("r{n}"))),
            session: Some(Arc::from(format!("s{}", n % 90))),
            prefix: Some(Arc::from(format!("p{}", n % 7))),
            prefix_tokens: 900.0,
            prompt_tokens: 2_000.0,
            expires_in: 300_000_000,
            ..Arrival::default()
        })
    }));
    router.handle(100_000_000, &events);
    router
}

fn main() {
    println!("engines waiting microseconds per event");
    for engines in [100, 300, 1024] {
        for waiting in [0, 20, 400] {
            let mut router = router_with_queue(engines, waiting);
            const EVENTS: u64 = 200;
            let start = Instant::now();
            for n in 0..EVENTS {
                router.handle(100_000_000 + 100 * n, &[Event::Timer { token: 0 }]);
            }
            println!("{engines:7} {waiting:7} {:8.1}", start.elapsed().as_secs_f64() * 1e6 / EVENTS as f64);
        }
    }
}
