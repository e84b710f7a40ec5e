//! Properties of records and of the shard's state.

use std::collections::BTreeMap;

use hickorychute_journal as journal;
use journal::{Applied, Entry, Record, Run, ShardState, TaskState};
use kernel::{errors, ids, work};
use platform::workers;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config as Runs, FileFailurePersistence};
use proptest::{prop_assert, prop_assert_eq, proptest};

use crate::group_reports;
use crate::support::batch_run;

pub(crate) const WORKS: u32 = 3;
pub(crate) const TASKS: u32 = 4;

pub(crate) fn name(index: u32) -> ids::WorkId {
    ids::WorkId::new(format!("w{index}"))
}

fn key(index: u32) -> ids::IdempotencyKey {
    ids::IdempotencyKey::new(format!("k{index}"))
}

pub(crate) fn run_of(index: u32, attempt: u32) -> Run {
    let attempt = ids::Attempt(attempt);
    Run { index, attempt }
}

pub(crate) fn ends() -> impl Strategy<Value = workers::RunEnd> {
    prop_oneof![
        Just(workers::RunEnd::Completed),
        Just(workers::RunEnd::Failed),
        Just(workers::RunEnd::Checkpointed),
        Just(workers::RunEnd::Stopped),
        Just(workers::RunEnd::LeaseLapsed),
    ]
}

fn answers() -> impl Strategy<Value = journal::Answer> {
    let outcome = prop_oneof![
        Just(errors::Outcome::Done),
        Just(errors::Outcome::NotRun),
        Just(errors::Outcome::Unknown),
    ];
    (outcome, any::<u16>(), vec(any::<u8>(), 0..20))
        .prop_map(|(outcome, status, body)| journal::Answer::new(outcome, status, body.into()))
}

/// Arbitrary records about a few work items and keys, valid or not.
fn records() -> impl Strategy<Value = Record> {
    let (work, task, attempt) = (0..WORKS, 0..TASKS + 1, 1..5_u32);
    let runs = (0..TASKS, 1..4_u32, 1..5_u32).prop_map(|(first, count, attempt)| -> Vec<Run> {
        (first..first + count)
            .map(|index| run_of(index, attempt))
            .collect()
    });
    prop_oneof![
        2 => (work.clone(), any::<bool>(), any::<bool>()).prop_map(|(work, keyed, idempotent)| {
            let mut accepted = batch_run(name(work).as_str(), TASKS);
            accepted.idempotent = idempotent;
            Record::Accepted { work: Box::new(accepted), key: keyed.then(|| key(9)) }
        }),
        4 => (work.clone(), runs.clone(), 0..2_u16).prop_map(|(work, runs, group)| {
            let group = ids::GroupId::new(&"muc-ost".into(), group);
            Record::Assigned { work: name(work), runs, group }
        }),
        1 => (work.clone(), runs.clone(), 0..2_u16).prop_map(|(work, runs, group)| {
            let group = ids::GroupId::new(&"muc-ost".into(), group);
            Record::Restarted { work: name(work), runs, group }
        }),
        1 => (work.clone(), runs).prop_map(|(work, runs)| Record::HandedBack { work: name(work), runs }),
        4 => (work.clone(), task, attempt, ends()).prop_map(|(work, task, attempt, end)| {
            let run = ids::TaskAttempt {
                task: ids::TaskId::new(&name(work), task),
                attempt: ids::Attempt(attempt),
            };
            Record::Ended { run, end }
        }),
        1 => (0..2_u16, 0..3_u64).prop_map(|(group, epoch)| Record::GroupEpoch {
            group: ids::GroupId::new(&"muc-ost".into(), group),
            epoch: ids::Epoch(epoch),
        }),
        2 => (0..2_u16, 0..3_u64, vec(group_reports::reported(), 0..3)).prop_map(|(group, epoch, records)| {
            let group = ids::GroupId::new(&"muc-ost".into(), group);
            Record::Reported { group, epoch: ids::Epoch(epoch), records }
        }),
        1 => work.clone().prop_map(|work| Record::Cancelled { work: name(work) }),
        1 => work.prop_map(|work| Record::Withdrawn { work: name(work) }),
        1 => (0..9_u64).prop_map(|version| Record::Followed { version: ids::ReleaseVersion(version) }),
        1 => (0..3_u32, any::<u64>(), 0..3_u64).prop_map(|(index, request_digest, attempt_id)| {
            Record::Claimed { key: key(index), request_digest, attempt_id, host: "h".into() }
        }),
        1 => (0..3_u32, 0..3_u64, answers()).prop_map(|(index, attempt_id, answer)| {
            Record::Answered { key: key(index), attempt_id, answer }
        }),
        1 => (0..3_u32, 0..3_u64)
            .prop_map(|(index, attempt_id)| Record::ClaimUnknown { key: key(index), attempt_id }),
    ]
}

pub(crate) fn entry(batch: u64, records: Vec<Record>) -> Entry {
    Entry {
        epoch: ids::Epoch(1),
        writer: ids::HostId::new("h"),
        session: 7,
        batch,
        at_ms: batch * 1_000,
        records,
    }
}

/// A state with retention short enough that jobs and claims are evicted within a test.
pub(crate) fn opened() -> ShardState {
    let mut state = ShardState::new(journal::Limits {
        claim_retention_ms: 8_000,
        claim_body_bytes: 30,
        job_retention_ms: 9_000,
        finished_jobs: 2,
        ..journal::Limits::default()
    });
    let (epoch, writer) = (ids::Epoch(1), ids::HostId::new("h"));
    state
        .apply_entry(&entry(0, vec![Record::Opened { epoch, writer }]))
        .unwrap();
    state
}

/// Live attempts and highest attempt numbers, tracked independently of the state under test.
#[derive(Default)]
struct Model {
    live: BTreeMap<(ids::WorkId, u32), u32>,
    highest: BTreeMap<(ids::WorkId, u32), u32>,
}

impl Model {
    /// Applies a record that took effect; false if it violates an invariant.
    fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Accepted { work, .. } => {
                self.highest.retain(|(known, _), _| *known != work.id);
                self.live.keys().all(|(known, _)| *known != work.id)
            }
            Record::Assigned { work, runs, .. } => runs.iter().all(|run| {
                let task = (work.clone(), run.index);
                let highest = self
                    .highest
                    .insert(task.clone(), run.attempt.0)
                    .unwrap_or(0);
                let live = self.live.insert(task, run.attempt.0);
                live.is_none() && run.attempt.0 == highest + 1
            }),
            Record::Restarted { work, runs, .. } => runs.iter().all(|run| {
                let task = (work.clone(), run.index);
                let highest = self.highest.insert(task.clone(), run.attempt.0);
                let live = self.live.insert(task, run.attempt.0);
                live.is_none() && run.attempt.0 > highest.unwrap_or(0)
            }),
            Record::HandedBack { work, runs } => {
                for run in runs {
                    let task = (work.clone(), run.index);
                    if self.live.get(&task) == Some(&run.attempt.0) {
                        self.live.remove(&task);
                    }
                }
                true
            }
            Record::Ended { run, .. } => {
                let task = (run.task.work.clone(), run.task.index);
                self.live.remove(&task) == Some(run.attempt.0)
            }
            Record::Reported { records, .. } => {
                for record in records {
                    let Record::Ended { run, .. } = record else {
                        self.apply(record);
                        continue;
                    };
                    let task = (run.task.work.clone(), run.task.index);
                    if self.live.get(&task) == Some(&run.attempt.0) {
                        self.live.remove(&task);
                    }
                }
                true
            }
            _ => true,
        }
    }
}

fn runs() -> Runs {
    Runs {
        cases: 300,
        failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Runs::default()
    }
}

proptest! {
    #![proptest_config(runs())]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in vec(any::<u8>(), 0..400)) {
        let mut framed = vec![1];
        framed.extend(zstd::bulk::compress(&bytes, 1).unwrap());
        for value in [&bytes, &framed] {
            let _ = Entry::decode(value);
            let _ = ShardState::restore(value, journal::Limits::default());
        }
    }

    #[test]
    fn entries_decode_to_what_was_encoded(records in vec(records(), 0..20), flip in any::<(u16, u8)>()) {
        let entry = entry(3, records);
        let value = entry.encode().unwrap();
        prop_assert_eq!(&Entry::decode(&value).unwrap(), &entry);
        let mut broken = value.to_vec();
        let at = usize::from(flip.0) % broken.len();
        broken[at] ^= flip.1;
        let _ = Entry::decode(&broken);
    }

    #[test]
    fn a_task_has_one_live_attempt_and_a_snapshot_is_the_state(
        batches in vec(vec(records(), 1..4), 1..40),
        cut in 0..40_usize,
    ) {
        let mut state = opened();
        let mut restored = None;
        let mut model = Model::default();
        for (index, records) in batches.into_iter().enumerate() {
            if index == cut {
                let snapshot = state.snapshot().unwrap();
                let limits = *state.limits();
                restored = Some(ShardState::restore(&snapshot, limits).unwrap());
                prop_assert_eq!(restored.as_ref(), Some(&state));
            }
            let entry = entry(index as u64 + 1, records);
            let applied = state.apply_entry(&entry).unwrap();
            if let Some(restored) = &mut restored {
                prop_assert_eq!(&restored.apply_entry(&entry).unwrap(), &applied);
            }
            for (record, applied) in entry.records.iter().zip(applied) {
                prop_assert!(applied != Applied::Changed || model.apply(record), "{:?}", record);
            }
            for job in state.jobs() {
                let counts = job.counts();
                let live = (0..TASKS).filter(|index| {
                    model.live.contains_key(&(job.work().id.clone(), *index))
                });
                prop_assert_eq!(counts.assigned as usize, live.count());
            }
        }
        if let Some(restored) = restored {
            prop_assert_eq!(restored, state);
        }
    }
}

#[test]
fn task_state_after_each_end() {
    struct Case {
        end: workers::RunEnd,
        idempotent: bool,
        times: u32,
        expected: TaskState,
    }
    let case = |end, idempotent, times, expected| Case {
        end,
        idempotent,
        times,
        expected,
    };
    let cases = [
        case(workers::RunEnd::Completed, false, 1, TaskState::Completed),
        case(workers::RunEnd::Failed, true, 2, TaskState::Waiting),
        case(workers::RunEnd::Failed, true, 3, TaskState::Failed),
        case(workers::RunEnd::Checkpointed, false, 5, TaskState::Waiting),
        case(workers::RunEnd::Stopped, false, 5, TaskState::Waiting),
        case(workers::RunEnd::LeaseLapsed, true, 5, TaskState::Waiting),
        case(
            workers::RunEnd::LeaseLapsed,
            false,
            1,
            TaskState::EndUnknown,
        ),
    ];
    for case in cases {
        let mut state = opened();
        let mut work = batch_run("w", 1);
        work.idempotent = case.idempotent;
        let mut records = vec![Record::Accepted {
            work: Box::new(work),
            key: None,
        }];
        for attempt in 1..=case.times {
            let (runs, group) = (vec![run_of(0, attempt)], ids::GroupId::new(&"z".into(), 0));
            records.push(Record::Assigned {
                work: "w".into(),
                runs,
                group,
            });
            let task = ids::TaskId::new(&"w".into(), 0);
            let run = ids::TaskAttempt {
                task,
                attempt: ids::Attempt(attempt),
            };
            records.push(Record::Ended { run, end: case.end });
        }
        let applied = state.apply_entry(&entry(1, records)).unwrap();
        assert!(
            applied.iter().all(|applied| applied.is_changed()),
            "{applied:?}"
        );
        let (found, _) = state.job(&"w".into()).unwrap().task(0).unwrap();
        assert_eq!(found, case.expected, "{} times {}", case.times, case.end);
    }
}

#[test]
fn a_cancelled_job_assigns_nothing_and_keeps_live_runs() {
    let mut state = opened();
    let (group, run) = (ids::GroupId::new(&"z".into(), 1), run_of(2, 1));
    let work = Box::new(batch_run("w", 1_000));
    let assigned = Record::Assigned {
        work: "w".into(),
        runs: vec![run],
        group: group.clone(),
    };
    let records = vec![
        Record::Accepted { work, key: None },
        assigned.clone(),
        Record::Cancelled { work: "w".into() },
        assigned,
    ];
    let applied = state.apply_entry(&entry(1, records)).unwrap();
    let refused = Applied::Ignored(journal::IgnoredReason::NotWaiting);
    assert_eq!(applied[2..], [Applied::Changed, refused]);
    assert!(state.tasks_to_assign(10).is_empty());
    assert_eq!(state.assigned_to(&group)[0].runs, [run]);
    assert_eq!(state.cancelled_work().count(), 1);
    let counts = state.job(&"w".into()).unwrap().counts();
    assert_eq!((counts.cancelled, counts.assigned), (999, 1));
}

/// Accepts work of the release `since`.
pub(crate) fn released(name: &str, tasks: u32, since: u64) -> Record {
    let mut work = batch_run(name, tasks);
    work.since = ids::ReleaseVersion(since);
    Record::Accepted {
        work: Box::new(work),
        key: None,
    }
}

pub(crate) fn assigned(runs: Vec<Run>) -> Record {
    Record::Assigned {
        work: "w".into(),
        runs,
        group: ids::GroupId::new(&"z".into(), 0),
    }
}

pub(crate) fn ended(index: u32, attempt: u32, end: workers::RunEnd) -> Record {
    let task = ids::TaskId::new(&"w".into(), index);
    let attempt = ids::Attempt(attempt);
    let run = ids::TaskAttempt { task, attempt };
    Record::Ended { run, end }
}

/// Applies records one by one and compares the state with a restored snapshot after each.
pub(crate) fn apply_all(state: &mut ShardState, records: Vec<Record>) -> Vec<Applied> {
    let mut applied = Vec::new();
    for record in records {
        let batch = state.seq();
        applied.extend(state.apply_entry(&entry(batch, vec![record])).unwrap());
        let snapshot = state.snapshot().unwrap();
        let restored = ShardState::restore(&snapshot, *state.limits()).unwrap();
        assert_eq!(&restored, state);
    }
    applied
}

#[test]
fn a_reused_name_waits_for_the_runs_of_the_older_job() {
    struct Case {
        name: &'static str,
        before: Vec<Record>,
        /// The first run that may be assigned; `None` if none may.
        expected: Option<Run>,
    }
    let withdrawn = || Record::Withdrawn { work: "w".into() };
    let first = || vec![released("w", 2, 1), assigned(vec![run_of(0, 1)])];
    let again = || released("w", 3, 5);
    let stopped = || ended(0, 1, workers::RunEnd::Stopped);
    let submitted = || Record::Accepted {
        work: Box::new(batch_run("w", 1)),
        key: Some(key(1)),
    };
    let cases = [
        Case {
            name: "the older run is live",
            before: [first(), vec![withdrawn(), again()]].concat(),
            expected: None,
        },
        Case {
            name: "the older run has ended",
            before: [first(), vec![withdrawn(), again(), stopped()]].concat(),
            expected: Some(run_of(0, 2)),
        },
        Case {
            name: "ended before the name was used again",
            before: [first(), vec![withdrawn(), stopped(), again()]].concat(),
            expected: Some(run_of(0, 2)),
        },
        Case {
            name: "the withdrawal was not journaled",
            before: [first(), vec![again(), stopped()]].concat(),
            expected: Some(run_of(0, 2)),
        },
        Case {
            name: "withdrawn once more",
            before: [first(), vec![again(), withdrawn(), stopped()]].concat(),
            expected: None,
        },
        Case {
            name: "a run outside the task table had a higher attempt",
            before: [
                first(),
                vec![ended(2, 7, workers::RunEnd::Stopped), again(), stopped()],
            ]
            .concat(),
            expected: Some(run_of(0, 8)),
        },
        Case {
            name: "behind a submitted job, which continues",
            before: vec![submitted(), assigned(vec![run_of(0, 1)]), again()],
            expected: None,
        },
        Case {
            name: "after a submitted job",
            before: vec![
                submitted(),
                assigned(vec![run_of(0, 1)]),
                again(),
                ended(0, 1, workers::RunEnd::Completed),
            ],
            expected: Some(run_of(0, 2)),
        },
    ];
    for case in cases {
        let mut state = opened();
        let applied = apply_all(&mut state, case.before);
        let is_changed = |applied: &Applied| applied.is_changed();
        let ignored = applied
            .iter()
            .filter(|applied| !is_changed(applied))
            .count();
        // Only the end of the run outside the task table has no effect.
        assert!(ignored <= 1, "{}: {applied:?}", case.name);
        let waiting = state.tasks_to_assign(10);
        let found = waiting.first().map(|assignment| assignment.runs[0]);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn a_changed_number_of_tasks_decides_what_is_assigned() {
    struct Case {
        name: &'static str,
        kind: work::WorkKind,
        /// Successive numbers of tasks set by releases, after an initial three.
        tasks: Vec<u32>,
        /// Whether the first and the last of the three tasks ended before the changes.
        ended: bool,
        expected: Vec<Run>,
    }
    let case = |name, kind, tasks: &[u32], ended, expected: &[Run]| Case {
        name,
        kind,
        tasks: tasks.to_vec(),
        ended,
        expected: expected.to_vec(),
    };
    let (service, batch) = (work::WorkKind::Service, work::WorkKind::BatchRun);
    let cases = [
        case(
            "grows",
            service,
            &[5],
            false,
            &[run_of(1, 1), run_of(3, 1), run_of(4, 1)],
        ),
        case("shrinks", service, &[1], false, &[]),
        case("shrinks after ends", service, &[1], true, &[run_of(0, 2)]),
        case(
            "shrinks and grows",
            service,
            &[1, 3],
            true,
            &[run_of(0, 2), run_of(1, 1), run_of(2, 2)],
        ),
        case(
            "batch run grows",
            batch,
            &[4],
            true,
            &[run_of(1, 1), run_of(3, 1)],
        ),
        case("batch run shrinks", batch, &[1], true, &[]),
        case(
            "gang job keeps its size",
            work::WorkKind::GangJob,
            &[5],
            false,
            &[run_of(1, 1)],
        ),
    ];
    for case in cases {
        let mut state = opened();
        let work = |tasks| {
            let mut work = batch_run("w", tasks);
            work.kind = case.kind;
            work.since = ids::ReleaseVersion(1);
            Box::new(work)
        };
        let accepted = Record::Accepted {
            work: work(3),
            key: None,
        };
        let mut records = vec![accepted, assigned(vec![run_of(0, 1), run_of(2, 1)])];
        if case.ended {
            records.push(ended(0, 1, workers::RunEnd::Completed));
            records.push(ended(2, 1, workers::RunEnd::Completed));
        }
        records.extend(
            case.tasks
                .iter()
                .map(|&tasks| Record::Changed { work: work(tasks) }),
        );
        apply_all(&mut state, records);
        let waiting = state.tasks_to_assign(10);
        let found: Vec<Run> = waiting.into_iter().flat_map(|found| found.runs).collect();
        assert_eq!(found, case.expected, "{}", case.name);
        let is_over = found.is_empty() && case.ended;
        let phase = state.job(&"w".into()).unwrap().phase();
        assert_eq!(
            phase == journal::JobPhase::Completed,
            is_over,
            "{}",
            case.name
        );
    }
}

#[test]
fn work_of_a_release_is_accepted_once_even_by_a_full_shard() {
    let mut state = ShardState::new(journal::Limits {
        open_jobs: 0,
        ..*opened().limits()
    });
    let (epoch, writer) = (ids::Epoch(1), ids::HostId::new("h"));
    let opening = entry(0, vec![Record::Opened { epoch, writer }]);
    state.apply_entry(&opening).unwrap();
    let version = ids::ReleaseVersion(4);
    let older = ids::ReleaseVersion(3);
    let records = vec![
        released("w", 1, 4),
        released("w", 1, 4),
        Record::Followed { version },
        Record::Followed { version: older },
    ];
    let applied = apply_all(&mut state, records);
    let known = Applied::Ignored(journal::IgnoredReason::KnownWork);
    let old = Applied::Ignored(journal::IgnoredReason::OldRelease);
    assert_eq!(applied, [Applied::Changed, known, Applied::Changed, old]);
    assert_eq!(state.followed(), version);
}
