//! Traces that are cut, changed or over their limit.

use std::io::Cursor;

use hickorychute_trace as trace;
use kernel::{errors, ids};
use placement::GroupConfig;

const TRACE: &str = include_str!("traces/urgent-displacement.jsonl");

fn replayed(text: &str) -> errors::Result<trace::Replay> {
    trace::replay(Cursor::new(text))
}

#[test]
fn a_changed_decision_is_named_with_its_line() {
    let (number, line) = TRACE
        .lines()
        .enumerate()
        .find(|(_, line)| line.contains("\"start\":{\"worker\":\"worker-0-"))
        .expect("something is started");
    let other = line.replacen(
        "\"start\":{\"worker\":\"worker-0-",
        "\"start\":{\"worker\":\"other-",
        1,
    );
    let found = replayed(&TRACE.replacen(line, &other, 1)).expect("it is read");
    let difference = found.difference.expect("it is seen");
    assert_eq!(difference.line, number + 1);
}

#[test]
fn nothing_is_compared_after_a_missing_line() {
    let kept: Vec<&str> = TRACE
        .lines()
        .enumerate()
        .filter(|(index, _)| *index != 5)
        .map(|(_, line)| line)
        .collect();
    let found = replayed(&kept.join("\n")).expect("it is read");
    assert!(found.skipped > 0 && found.difference.is_none(), "{found}");
    assert_eq!(found.calls, 5);
}

#[test]
fn an_unreadable_line_is_named() {
    let error = replayed("{\"what\": 1}\n").expect_err("it is refused");
    assert_eq!(error.kind, errors::ErrorKind::BadRequest);
    assert!(error.detail.contains("line 1"), "{error:?}");
}

#[test]
fn the_file_stays_within_its_limit() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let limits = trace::RecorderConfig {
        file_limit_bytes: 2_000,
        channel_lines: 10_000,
    };
    let recorder = trace::Recorder::create(file.path(), limits).expect("it records");
    let config = GroupConfig::new(ids::GroupId::new(&ids::ZoneId::new("north"), 0));
    let mut group = trace::TracedGroup::new(config, 1, Some(&recorder)).expect("a group");
    for now_ms in 0..1_000 {
        group.decide(now_ms, 10);
    }
    drop((group, recorder));
    let text = std::fs::read_to_string(file.path()).expect("it is written");
    assert!(!text.is_empty() && text.len() <= 2_000, "{}", text.len());
    assert!(replayed(&text).expect("it is read").has_passed());
}
