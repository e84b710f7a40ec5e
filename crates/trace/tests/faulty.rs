//! Replay of altered, incomplete and malformed traces, and the size limit of the recorder.

use std::io::Cursor;

use hickorychute_trace as trace;
use kernel::{errors, ids};
use placement::GroupConfig;

const TRACE: &str = include_str!("traces/urgent-displacement.jsonl");

fn replay_text(text: &str) -> errors::Result<trace::Replay> {
    trace::replay(Cursor::new(text))
}

#[test]
fn replay_reports_line_of_changed_decision() {
    let (number, line) = TRACE
        .lines()
        .enumerate()
        .find(|(_, line)| line.contains("\"start\":{\"worker\":\"worker-0-"))
        .expect("the trace contains a start on rack 0");
    let changed = line.replacen(
        "\"start\":{\"worker\":\"worker-0-",
        "\"start\":{\"worker\":\"other-",
        1,
    );
    let replay = replay_text(&TRACE.replacen(line, &changed, 1)).expect("the trace is valid");
    let divergence = replay.divergence.expect("the change is detected");
    assert_eq!(divergence.line, number + 1);
}

#[test]
fn replay_stops_at_missing_line() {
    let remaining: Vec<&str> = TRACE
        .lines()
        .enumerate()
        .filter(|(index, _)| *index != 5)
        .map(|(_, line)| line)
        .collect();
    let replay = replay_text(&remaining.join("\n")).expect("the trace is valid");
    assert!(
        replay.skipped > 0 && replay.divergence.is_none(),
        "{replay}"
    );
    assert_eq!(replay.calls, 5);
}

#[test]
fn replay_error_names_malformed_line() {
    let error = replay_text("{\"what\": 1}\n").expect_err("a malformed line is rejected");
    assert_eq!(error.kind, errors::ErrorKind::BadRequest);
    assert!(error.detail.contains("line 1"), "{error:?}");
}

#[test]
fn recorder_respects_file_size_limit() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file is created");
    let limits = trace::RecorderConfig {
        max_file_bytes: 2_000,
        channel_capacity_lines: 10_000,
    };
    let recorder = trace::Recorder::create(file.path(), limits).expect("the recorder starts");
    let config = GroupConfig::new(ids::GroupId::new(&ids::ZoneId::new("north"), 0));
    let mut group =
        trace::TracedGroup::new(config, 1, Some(&recorder)).expect("the group is created");
    for now_ms in 0..1_000 {
        group.decide(now_ms, 10);
    }
    drop((group, recorder));
    let text = std::fs::read_to_string(file.path()).expect("the trace file is readable");
    assert!(!text.is_empty() && text.len() <= 2_000, "{}", text.len());
    assert!(replay_text(&text).expect("the trace is valid").has_passed());
}
