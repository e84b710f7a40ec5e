//! The recording of a whole host replays to the same decisions.

mod support;

use std::process::Command;
use std::time::Duration;

use support::Cell;
use support::work::SETTLE;

const ZONES: [&str; 1] = ["muc-ost"];
const DRAIN: Duration = Duration::from_secs(10);

#[test]
fn a_recorded_host_decides_the_same_again() {
    let file = format!("{}/recording.jsonl", env!("CARGO_TARGET_TMPDIR"));
    let mut cell = Cell::start(&ZONES, &["--record", &file]);
    cell.settle(&ZONES);
    let accepted = cell.submit_job(0, "audit", 4, 500);
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    cell.wait_for_job(0, "audit", 4, SETTLE);
    cell.hosts[0].process.signal("TERM");
    cell.hosts[0].process.wait(DRAIN);
    let replay = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .args(["replay", &file])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&replay.stdout);
    print!("{text}");
    assert!(replay.status.success(), "{replay:?}");
    assert!(text.ends_with("same decisions\n"), "{text}");
    assert!(!text.contains(" 0 decisions compared"), "{text}");
}
