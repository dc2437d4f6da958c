//! Soak test over a few dozen real gateway processes on loopback, with real sockets, a proxy before each
//! server, signals and failing system calls. Overlapping disruptions are sampled from a seed. The judge
//! checks invariants over the events that clients and servers observed.
//!
//! `SOAK_SEEDS` is a list of seeds or a range `FROM..TO`. `SOAK_GATEWAYS` is the number of gateway processes.
//! `SOAK_SECONDS` is the duration of each seed. `SOAK_LOGS` is a directory for the logs of the processes; the
//! default is below `target/tmp`.

mod clients;
mod discovery;
mod gateways;
mod judge;
#[path = "../loopback/mod.rs"]
mod loopback;
mod network;
mod scenario;
mod servers;

use scenario::{Report, Scenario};
use std::path::PathBuf;

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn seeds() -> Vec<u64> {
    let seed_list = environment_variable("SOAK_SEEDS").unwrap_or_else(|| "1,2".to_owned());
    if let Some((from, to)) = seed_list.split_once("..") {
        let parse_seed = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS: a seed must be an integer");
        return (parse_seed(from)..parse_seed(to)).collect();
    }
    seed_list
        .split(',')
        .map(|seed| seed.trim().parse().expect("SOAK_SEEDS: a seed must be an integer"))
        .collect()
}

/// Builds the library that makes system calls fail. Uses a target directory separate from that of the build
/// that runs this test.
fn build_fault_library() -> PathBuf {
    let target = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fault-shim");
    let mut cargo_build = std::process::Command::new(env!("CARGO"));
    cargo_build
        .args(["build", "--quiet", "--locked", "--package", "meadowlug-fault-shim", "--target-dir"])
        .arg(&target);
    let status = cargo_build.current_dir(env!("CARGO_MANIFEST_DIR")).status().expect("cargo can be started");
    assert!(status.success(), "the fault library does not build");
    target.join("debug/libmeadowlug_fault_shim.so")
}

#[test]
fn invariants_hold_over_real_processes_under_overlapping_disruptions() {
    let gateways = environment_variable("SOAK_GATEWAYS")
        .map_or(24, |count| count.parse().expect("SOAK_GATEWAYS must be an integer"));
    let seconds = environment_variable("SOAK_SECONDS")
        .map_or(8, |seconds| seconds.parse().expect("SOAK_SECONDS must be an integer"));
    let fault_library = build_fault_library();
    // The logs are kept until the next run, since a violation is traced by its request's id.
    let default_logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-logs");
    let logs = environment_variable("SOAK_LOGS").map_or(default_logs, PathBuf::from);
    let mut all_violations = Vec::new();
    for seed in seeds() {
        let logs = logs.join(seed.to_string());
        // Removes the logs of an earlier run of this seed.
        let _ = std::fs::remove_dir_all(&logs);
        std::fs::create_dir_all(&logs).expect("the log directory can be created");
        let scenario = Scenario { seed, gateways, seconds, fault_library: fault_library.clone(), logs };
        let Report { summary, violations } = scenario.run();
        println!("soak seed={seed} {summary} violations={}", violations.len());
        violations.iter().take(20).for_each(|violation| println!("  {violation}"));
        all_violations.extend(violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    let logs = logs.display();
    assert!(
        all_violations.is_empty(),
        "{} violations, logs in {logs}, the first: {}",
        all_violations.len(),
        all_violations[0]
    );
}
