//! The simulator adapter: every event, every kind of action, and malformed lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SPAWN: &str = "SPAWN routerId=3 randomSeed=5 categories.count=1 categories.0.effect=safe \
    categories.0.hardLimitMs=4000.0 categories.0.objectiveMs=1000.0 categories.0.odd=1 \
    extra.roleByKind=read,write extra.tokensByKind=200000,100000 extra.tokenAimMs=50.0 \
    extra.aimUsPer1000PromptTokens=40000.0 extra.reportX0=share_of_memory_that_is_held \
    permissions.cancelling=true report.fields=x0,x1 membershipMode=ask resolutionMs=4.0 unknown.key=7";
const ROSTER: &str = "SYNC routerId=3 form=cached serial=41 rows=2\n\
    M size=1 az=0 unitGroup=0 worker=1 condition=ready classOfHost=0\n\
    M size=1 az=0 unitGroup=0 worker=2 condition=ready classOfHost=1 startTimeMs=1.0 extra=4";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_meadowlug-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A malformed line ends the adapter before it has read all input, so that writing to its pipe may fail.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter exits")
}

fn batch(turn: u32, time_ms: f64, lines: &str) -> String {
    format!("CLOCK timeMs={time_ms} turn={turn}\n{lines}\nYOUR_TURN\n")
}

fn start_batch() -> String {
    batch(1, 90_000.0, &format!("{SPAWN}\n{ROSTER}"))
}

fn job(id: &str) -> String {
    format!("JOB_IN routerId=3 ref={id} prefixTokens=0 outputCap=99 kind=0 expiresInMs=4000.0 inputLen=800")
}

fn reply(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

fn error_message(input: &str) -> String {
    let output = run(input);
    assert!(!output.status.success(), "accepted: {input}");
    String::from_utf8(output.stderr).expect("the output is UTF-8")
}

#[test]
fn request_is_read_written_and_released() {
    let mut input = start_batch();
    input += &batch(2, 90_004.0, &job("r-1"));
    input += &batch(
        3,
        90_050.5,
        "DONE routerId=3 ref=r-1 n=0 worker=1 stateCode=prefilled costTimeMs=46.5 feedback=0.4,1.25 detail=12",
    );
    input += &batch(4, 90_080.0, "STREAMING routerId=3 ref=r-1 n=1 costTimeMs=30 worker=2");
    input +=
        &batch(5, 91_000.0, "DONE routerId=3 ref=r-1 n=1 worker=2 stateCode=GOOD costTimeMs=950 finished=1");
    let reply = reply(&input);
    let expected = [
        "TRACK routerId=3 want=1",
        "EOR turn=1",
        "SEND routerId=3 ref=r-1 worker=1",
        "ARM routerId=3 ctx=0 spanMs=20",
        "EOR turn=2",
        "SEND routerId=3 ref=r-1 worker=2",
        "EOR turn=3",
        "EOR turn=4",
        "DROP_STATE routerId=3 ref=r-1",
        "EOR turn=5",
    ];
    assert_eq!(reply.lines().collect::<Vec<_>>(), expected);
}

#[test]
fn every_other_event_and_outcome_is_accepted() {
    let codes = ["BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP"];
    let mut input = start_batch();
    for (n, code) in codes.iter().enumerate() {
        let done = format!("DONE routerId=3 ref=r-{n} n=0 worker=1 stateCode={code} costTimeMs=1 detail=1");
        input += &batch(2, 90_000.0 + n as f64, &format!("{}\n{done}", job(&format!("r-{n}"))));
    }
    input += &batch(
        3,
        90_100.0,
        "SAMPLED routerId=3 worker=1 stateCode=GOOD costTimeMs=1 feedback=0.1,0.2\n\
         ANSWER_AHEAD routerId=3 ref=r-1 n=0 worker=2 topic=2 value=0\n\
         WAKEUP routerId=3 ctx=0\nWAKEUP routerId=3 ctx=other\n\
         DATAGRAM routerId=3 srcPeer=1 msg=00\nNEWS routerId=3 what=ever\n\
         SYNC routerId=3 form=failed serial=1\nABANDONED routerId=3 ref=r-0",
    );
    input += &batch(4, 90_104.0, "CRASH_NOW routerId=3");
    assert!(reply(&input).ends_with("EOR turn=4\n"));
}

#[test]
fn cancel_fail_and_refuse_are_written_as_lines() {
    let mut input = start_batch();
    input += &batch(2, 90_004.0, &job("r-1"));
    input += &batch(3, 90_010.0, "ABANDONED routerId=3 ref=r-1");
    input += &batch(4, 90_020.0, &job("r-2").replace("expiresInMs=4000.0", "expiresInMs=0"));
    let reply = reply(&input);
    assert!(reply.contains("DROP_ATTEMPT routerId=3 ref=r-1 n=0\nDROP_STATE routerId=3 ref=r-1\n"));
    // A refusal without a retry delay would make the client retry into the same full queue.
    assert!(reply.contains("SHED routerId=3 ref=r-2 waitMs=500\n"));
    let unsafe_class = input.replace("effect=safe", "effect=unsafe");
    let lost_request = batch(5, 90_030.0, &job("r-3"))
        + &batch(6, 90_040.0, "DONE routerId=3 ref=r-3 n=0 worker=1 stateCode=prefilled costTimeMs=9")
        + &batch(7, 90_050.0, "DONE routerId=3 ref=r-3 n=1 worker=2 stateCode=RST costTimeMs=9");
    assert!(self::reply(&(unsafe_class + &lost_request)).contains("LOSE routerId=3 ref=r-3\n"));
}

#[test]
fn malformed_line_is_reported_with_message_and_field() {
    for (malformed, message, field) in [
        ("JOB_IN routerId=3 kind=0 expiresInMs=5", "JOB_IN", "ref"),
        ("JOB_IN routerId=3 ref=a kind=0", "JOB_IN", "expiresInMs"),
        ("JOB_IN routerId=3 ref=a kind=0 expiresInMs=NaN", "JOB_IN", "expiresInMs"),
        ("DONE routerId=3 ref=a n=x worker=1 stateCode=GOOD", "DONE", "n"),
        ("DONE routerId=3 ref=a n=0 worker=1 stateCode=ODD", "DONE", "stateCode"),
        ("STREAMING routerId=z ref=a n=0", "STREAMING", "routerId"),
        ("SYNC routerId=3 form=full rows=2\nM worker=1 condition=ready", "SYNC", "rows"),
        ("SYNC routerId=3 form=full rows=1\nM worker=1 condition=lost", "M", "condition"),
    ] {
        let error = error_message(&(start_batch() + &batch(2, 90_001.0, malformed)));
        assert!(
            error.contains(message) && error.contains(&format!("field {field}:")),
            "{malformed}: {error}"
        );
    }
}

#[test]
fn roster_truncated_by_the_end_of_input_is_reported() {
    let truncated = "CLOCK timeMs=1 turn=1\nSYNC routerId=3 form=full rows=2\nM worker=1 condition=ready\n";
    assert!(error_message(truncated).contains("SYNC: field rows"));
}

#[test]
fn invalid_settings_are_rejected() {
    let unknown_role = SPAWN.replace("read,write", "read,dream");
    assert!(error_message(&batch(1, 1.0, &unknown_role)).contains("extra.roleByKind"));
    let no_classes = SPAWN.replace("categories.count=1", "categories.count=0");
    assert!(error_message(&batch(1, 1.0, &no_classes)).contains("class"));
}

#[test]
fn empty_batch_and_empty_input_are_accepted() {
    assert_eq!(reply("CLOCK timeMs=8412.25 turn=1\nYOUR_TURN\n"), "EOR turn=1\n");
    assert_eq!(reply(""), "");
}

#[test]
fn malformed_load_report_does_not_disturb_the_reply() {
    for report in ["-0.4,-1.25", "inf,nan", "0.4", "0.4,1.25,7"] {
        let mut input = start_batch();
        input += &batch(2, 90_004.0, &job("r-1"));
        let done = "DONE routerId=3 ref=r-1 n=0 worker=1 stateCode=prefilled costTimeMs=46.5";
        input += &batch(3, 90_050.0, &format!("{done} feedback={report}"));
        let reply = reply(&input);
        assert!(reply.ends_with("SEND routerId=3 ref=r-1 worker=2\nEOR turn=3\n"), "{report}: {reply}");
    }
}
