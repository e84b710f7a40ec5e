//! The reference pages against the program.

use std::collections::BTreeSet;

use kernel::{errors, events};
use node::telemetry;
// Linked for their events.
use ctl as _;
use entry as _;
use standin as _;

const EVENTS: &str = include_str!("../docs/events.md");
const ERRORS: &str = include_str!("../docs/errors.md");
const METRICS: &str = include_str!("../docs/metrics.md");

/// The rows of a page's tables that start with the given text.
fn rows<'a>(page: &'a str, start: &'a str) -> BTreeSet<&'a str> {
    page.lines()
        .filter(|line| line.starts_with(start))
        .collect()
}

fn assert_same(page: &str, documented: &BTreeSet<&str>, expected: &BTreeSet<String>) {
    let expected: BTreeSet<&str> = expected.iter().map(String::as_str).collect();
    let missing: Vec<&&str> = expected.difference(documented).collect();
    let surplus: Vec<&&str> = documented.difference(&expected).collect();
    assert!(
        missing.is_empty() && surplus.is_empty(),
        "{page}: missing {missing:#?}, surplus {surplus:#?}"
    );
}

#[test]
fn the_page_lists_every_event() {
    let expected = events::all()
        .iter()
        .map(|event| {
            format!(
                "| E{:04} | {} | {} | {} |",
                event.number,
                event.name,
                event.level.as_str().to_lowercase(),
                event.meaning
            )
        })
        .collect();
    assert_same("docs/events.md", &rows(EVENTS, "| E"), &expected);
}

#[test]
fn no_event_number_or_name_stands_twice() {
    let all = events::all();
    let numbers: BTreeSet<u16> = all.iter().map(|event| event.number).collect();
    let names: BTreeSet<&str> = all.iter().map(|event| event.name).collect();
    assert_eq!(numbers.len(), all.len(), "a number stands twice: {all:#?}");
    assert_eq!(names.len(), all.len(), "a name stands twice: {all:#?}");
    let documented = EVENTS.lines().filter(|line| line.starts_with("| E"));
    assert_eq!(documented.count(), all.len(), "a row stands twice");
}

#[test]
fn the_page_lists_every_error_kind_with_its_answer() {
    let expected = errors::ErrorKind::ALL
        .into_iter()
        .map(|kind| {
            let answer = kind.answer();
            let again = if answer.retryable { "yes" } else { "no" };
            format!(
                "| `{kind}` | {} | {} | `{}` | {again} ",
                answer.http_status, answer.exit_code, answer.outcome
            )
        })
        .collect();
    let documented = rows(ERRORS, "| `");
    let documented: BTreeSet<&str> = documented
        .into_iter()
        .map(|row| {
            let end = row.match_indices('|').nth(5).expect("six columns").0;
            &row[..end]
        })
        .collect();
    assert_same("docs/errors.md", &documented, &expected);
}

#[test]
fn the_page_lists_every_metric() {
    let expected = telemetry::INSTRUMENTS
        .iter()
        .map(|instrument| {
            let kind = match instrument.kind {
                telemetry::InstrumentKind::Counter => "counter",
                telemetry::InstrumentKind::Histogram => "histogram",
            };
            let labels: Vec<String> = instrument
                .labels
                .iter()
                .map(|label| format!("`{label}`"))
                .collect();
            let labels = if labels.is_empty() {
                String::new()
            } else {
                format!(" {}", labels.join(", "))
            };
            format!(
                "| `{}` | {kind} |{labels} | {} |",
                instrument.name, instrument.description
            )
        })
        .collect();
    assert_same("docs/metrics.md", &rows(METRICS, "| `"), &expected);
}
