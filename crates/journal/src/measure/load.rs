//! Load generator and the cost of a load.

use std::time::Duration;

use bytes::Bytes;
use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::workers;
use tokio::task;
use tokio::time;

use super::counting::Calls;
use crate::record::{Answer, Entry, Record, Run};
use crate::state::{Limits, ShardState};

/// Size of the answer bodies.
const ANSWER_BODY_BYTES: usize = 256;
/// One in this many requests is sent twice.
const DUPLICATE_INTERVAL: u64 = 5;
/// Durable steps of one operation, each awaited before the next.
const STEPS: [&str; 3] = ["accepted", "assigned", "ended"];

/// An open-loop load: operations start at a fixed rate regardless of their duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Operations started per second.
    pub per_s: u32,
    /// Total number of operations.
    pub operations: u64,
    /// Simulated round-trip time of a store call, in milliseconds.
    pub round_trip_ms: u64,
}

impl Load {
    /// Runs all operations and returns their latencies in milliseconds, sorted.
    pub(super) async fn run<F>(&self, operation: impl Fn(u64) -> F) -> errors::Result<Vec<f64>>
    where
        F: Future<Output = errors::Result<()>> + Send + 'static,
    {
        let started = time::Instant::now();
        let mut running = task::JoinSet::new();
        for index in 0..self.operations {
            time::sleep_until(started + super::interval(self.per_s) * index as u32).await;
            let operation = operation(index);
            running.spawn(async move {
                let begun = time::Instant::now();
                operation.await.map(|()| begun.elapsed())
            });
        }
        let mut waits_ms = Vec::new();
        while let Some(finished) = running.join_next().await {
            let panicked = |error| {
                let detail = "an operation of the load panicked";
                errors::Error::with_source(errors::ErrorKind::Internal, detail, error)
            };
            let wait: Duration = finished.map_err(panicked)??;
            waits_ms.push(wait.as_secs_f64() * 1e3);
        }
        waits_ms.sort_by(f64::total_cmp);
        Ok(waits_ms)
    }
}

/// Cost of a load per 100 operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Writes of values per 100 operations.
    pub puts_per_100: f64,
    /// Deletions per 100 operations; the store's rate limit counts them as writes.
    pub deletes_per_100: f64,
    /// Reads per 100 operations.
    pub reads_per_100: f64,
    /// Bytes of written values per 100 operations.
    pub bytes_per_100: f64,
    /// Median latency of an operation with all its durable steps, in milliseconds.
    pub wait_p50_ms: f64,
    /// 99th percentile of the latency of an operation, in milliseconds.
    pub wait_p99_ms: f64,
}

impl Traffic {
    pub(super) fn new(load: &Load, before: Calls, after: Calls, waits_ms: &[f64]) -> Self {
        let per_100 = |before: u64, after: u64| {
            (after - before) as f64 * 100.0 / load.operations.max(1) as f64
        };
        let quantile = |share: f64| {
            let last = waits_ms.len().saturating_sub(1);
            let at = (last as f64 * share).round() as usize;
            waits_ms.get(at).copied().unwrap_or(0.0)
        };
        Self {
            puts_per_100: per_100(before.puts, after.puts),
            deletes_per_100: per_100(before.deletes, after.deletes),
            reads_per_100: per_100(before.reads, after.reads),
            bytes_per_100: per_100(before.written_bytes, after.written_bytes),
            wait_p50_ms: quantile(0.5),
            wait_p99_ms: quantile(0.99),
        }
    }
}

/// The records of a job with one task, from acceptance to its end.
pub(super) fn task_records(index: u64) -> [Record; STEPS.len()] {
    let work = work_of(index, 1);
    let id = work.id.clone();
    let run = Run {
        index: 0,
        attempt: ids::Attempt(1),
    };
    let zone = ids::ZoneId::new("muc-ost");
    [
        Record::Accepted {
            work: Box::new(work),
            key: None,
        },
        Record::Assigned {
            work: id.clone(),
            runs: vec![run],
            group: ids::GroupId::new(&zone, (index % 4) as u16),
        },
        Record::Ended {
            run: ids::TaskAttempt {
                task: ids::TaskId::new(&id, 0),
                attempt: run.attempt,
            },
            end: workers::RunEnd::Completed,
        },
    ]
}

/// A state with `jobs` open jobs of `tasks` tasks each.
pub(super) fn state_of(jobs: u64, tasks: u32) -> errors::Result<ShardState> {
    let mut state = ShardState::new(Limits {
        open_jobs: jobs.max(1_000) as usize,
        ..Limits::default()
    });
    let opened = Record::Opened {
        epoch: ids::Epoch(1),
        writer: ids::HostId::new("measure"),
    };
    let accepted = (0..jobs).map(|index| Record::Accepted {
        work: Box::new(work_of(index, tasks)),
        key: None,
    });
    state.apply_entry(&entry(std::iter::once(opened).chain(accepted)))?;
    Ok(state)
}

/// An entry with the given records.
pub(super) fn entry(records: impl IntoIterator<Item = Record>) -> Entry {
    Entry {
        epoch: ids::Epoch(1),
        writer: ids::HostId::new("measure"),
        session: 1,
        batch: 1,
        at_ms: 0,
        records: records.into_iter().collect(),
    }
}

fn work_of(index: u64, tasks: u32) -> work::Work {
    work::Work {
        id: ids::WorkId::new(format!("report-{index:09}")),
        team: ids::TeamId::new(format!("team-{:02}", index % 62)),
        kind: work::WorkKind::BatchRun,
        tasks,
        demand: work::Resources::new(500 + index % 7 * 250, 512, 0),
        urgency: work::Urgency::Normal,
        policy: work::Policy::QuickStart,
        run_time_ms: Some(30_000 + index % 1_000),
        max_attempts: 3,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    }
}

/// The idempotency key of a request, which compresses as badly as a random one.
pub(super) fn key(index: u64) -> String {
    let spread = index.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("{spread:016x}{:016x}", spread.rotate_left(29) ^ index)
}

/// Number of times that a request is sent.
pub(super) const fn copies(index: u64) -> u64 {
    if index.is_multiple_of(DUPLICATE_INTERVAL) {
        2
    } else {
        1
    }
}

/// The answer to every request.
pub(super) fn answer() -> Answer {
    Answer::new(
        errors::Outcome::Done,
        200,
        Bytes::from(vec![b'a'; ANSWER_BODY_BYTES]),
    )
}

/// The claim and the answer of a request.
pub(super) fn claim_records(index: u64) -> [Record; 2] {
    let key = ids::IdempotencyKey::new(key(index));
    [
        Record::Claimed {
            key: key.clone(),
            request_digest: index,
            attempt_id: index,
            host: ids::HostId::new("measure"),
        },
        Record::Answered {
            key,
            attempt_id: index,
            answer: answer(),
        },
    ]
}
