//! A soak over a few dozen real processes on loopback: real sockets, a proxy before each server, signals, and system calls
//! that fail; overlapping troubles are drawn from a seed, and invariants judge what clients and servers saw.
//!
//! `SOAK_SEEDS` is a list of seeds, or `FROM..TO`; `SOAK_GATEWAYS` the number of processes; `SOAK_SECONDS` how long each
//! seed lasts; `SOAK_LOGS` a folder for the processes' logs, which are kept below `target/tmp` without it.

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

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn seeds() -> Vec<u64> {
    let told = variable("SOAK_SEEDS").unwrap_or_else(|| "1,2".to_owned());
    if let Some((from, to)) = told.split_once("..") {
        let number = |text: &str| text.parse::<u64>().expect("a seed");
        return (number(from)..number(to)).collect();
    }
    told.split(',').map(|seed| seed.trim().parse().expect("a seed")).collect()
}

/// Builds the library that has system calls fail, apart from the build that runs this test.
fn build_fault_library() -> PathBuf {
    let target = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fault-shim");
    let mut build = std::process::Command::new(env!("CARGO"));
    build
        .args(["build", "--quiet", "--locked", "--package", "meadowlug-fault-shim", "--target-dir"])
        .arg(&target);
    let status = build.current_dir(env!("CARGO_MANIFEST_DIR")).status().expect("cargo runs");
    assert!(status.success(), "the library does not build");
    target.join("debug/libmeadowlug_fault_shim.so")
}

#[test]
fn invariants_hold_over_real_processes_in_overlapping_troubles() {
    let gateways = variable("SOAK_GATEWAYS").map_or(24, |count| count.parse().expect("a count"));
    let seconds = variable("SOAK_SECONDS").map_or(8, |seconds| seconds.parse().expect("seconds"));
    let fault_library = build_fault_library();
    // Kept below target/ until the next run: a violation is traced by its request's id.
    let kept = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-logs");
    let logs = variable("SOAK_LOGS").map_or(kept, PathBuf::from);
    let mut broken = Vec::new();
    for seed in seeds() {
        let logs = logs.join(seed.to_string());
        // Those of an earlier run are no use beside these.
        let _ = std::fs::remove_dir_all(&logs);
        std::fs::create_dir_all(&logs).expect("a folder for logs");
        let scenario = Scenario { seed, gateways, seconds, fault_library: fault_library.clone(), logs };
        let Report { summary, violations } = scenario.run();
        println!("soak seed={seed} {summary} violations={}", violations.len());
        violations.iter().take(20).for_each(|violation| println!("  {violation}"));
        broken.extend(violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    let logs = logs.display();
    assert!(broken.is_empty(), "{} violations, logs in {logs}, the first: {}", broken.len(), broken[0]);
}
