//! The history of a run: events of the stand-in platform and of the callers.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use kernel::errors::Outcome;
use kernel::history::{Event, Record};
use kernel::ids;

use super::client::{Reply, request};

/// Events of callers, with the times of the stand-in's clock.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    records: Arc<Mutex<Vec<Record>>>,
    next_request: Arc<AtomicU64>,
}

impl Callers {
    /// Calls a service through a host and notes the request and its answer.
    pub fn call(&self, host: &str, service: &str, key: Option<&str>, deadline_ms: u64) -> Reply {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed) + 1;
        // Requests under one key are the same request.
        let body = key.map_or_else(
            || format!("look up {number}"),
            |key| format!("charge {key}"),
        );
        self.record(Event::RequestSent {
            request: number,
            key: key.map(ids::IdempotencyKey::new),
            digest: standin::digest(body.as_bytes()),
        });
        // A repeated key must carry the same path, so its number cannot stand there.
        let path = match key {
            Some(_) => format!("/v1/call/{service}/charge"),
            None => format!("/v1/call/{service}/look-up?request={number}"),
        };
        let deadline = deadline_ms.to_string();
        let mut headers = vec![("x-deadline-ms", deadline.as_str())];
        if let Some(key) = key {
            headers.push(("idempotency-key", key));
        }
        let reply = request("POST", host, &path, &headers, body.as_bytes());
        self.record(Event::AnswerReceived {
            request: number,
            outcome: outcome(&reply),
            digest: digest(&reply),
            whole: reply.whole,
        });
        reply
    }

    /// The events so far.
    pub fn records(&self) -> Vec<Record> {
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn record(&self, event: Event) {
        let record = Record {
            at_ms: now_ms(),
            process: "caller".to_owned(),
            event,
        };
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }
}

/// What a reply says of the request; one without an answer says nothing.
pub fn outcome(reply: &Reply) -> Outcome {
    match reply.outcome.as_str() {
        "done" => Outcome::Done,
        "not_run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// The digest of the request that a minion's answer belongs to.
fn digest(reply: &Reply) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    value.get("digest")?.as_u64()
}

/// Milliseconds since 1970, as the stand-in's history counts them.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The events that the stand-in platform has noted.
pub fn platform_records(store: &str) -> Vec<Record> {
    let reply = request("GET", store, "/admin/history", &[], b"");
    assert_eq!(reply.status, 200, "the history can be read");
    let text = reply.text();
    let lines = text.lines();
    lines
        .map(|line| serde_json::from_str(line).expect("an event of the history"))
        .collect()
}

/// Fails the test if the history of the platform and the callers breaks a promise.
pub fn assert_promises_held(store: &str, callers: &Callers) -> Vec<Record> {
    let mut records = platform_records(store);
    records.extend(callers.records());
    records.sort_by_key(|record| record.at_ms);
    let violations = checker::check(&records);
    let mut shown = String::new();
    for violation in &violations {
        let _ = writeln!(shown, "{violation}");
    }
    assert!(violations.is_empty(), "{shown}");
    assert_refused_keys_not_run(&records);
    records
}

/// Fails the test if a key ran before one of its requests was answered with "not run", or at all
/// if every one was.
///
/// A keyed request has no number of its own at the minion, so the checker cannot tell.
fn assert_refused_keys_not_run(records: &[Record]) {
    let mut keys = IndexMap::<u64, String>::new();
    let mut ran_ms = IndexMap::<String, u64>::new();
    for record in records {
        match &record.event {
            Event::RequestSent {
                request,
                key: Some(key),
                ..
            } => {
                keys.insert(*request, key.to_string());
            }
            Event::RequestRan { key: Some(key), .. } => {
                ran_ms.entry(key.to_string()).or_insert(record.at_ms);
            }
            _ => {}
        }
    }
    let mut refused = IndexMap::<&String, bool>::new();
    for record in records {
        let Event::AnswerReceived {
            request, outcome, ..
        } = &record.event
        else {
            continue;
        };
        let Some(key) = keys.get(request) else {
            continue;
        };
        let not_run = *outcome == Outcome::NotRun;
        *refused.entry(key).or_insert(true) &= not_run;
        let ran_before = ran_ms.get(key).is_some_and(|ran_ms| *ran_ms < record.at_ms);
        assert!(
            !(not_run && ran_before),
            "{key} ran and was answered \"not run\""
        );
    }
    for (key, only_refused) in refused {
        assert!(
            !only_refused || !ran_ms.contains_key(key),
            "{key} ran though refused"
        );
    }
}

/// Number of times that a request under a key ran.
pub fn runs_of_key(records: &[Record], wanted: &str) -> usize {
    let runs = records.iter().filter(|record| {
        matches!(&record.event, Event::RequestRan { key: Some(key), .. } if key.as_str() == wanted)
    });
    runs.count()
}
