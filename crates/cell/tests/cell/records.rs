//! State of tasks in a job's durable record.

use hickorychute_cell::{
    coordinator::{ChangeLimits, Coordinator},
    ids::{JobId, TaskId},
    jobs::{DoneTasks, JobRecord, JobState},
};
use prost::Message;

use crate::support::{self, Model, WorkerMode};

#[test]
fn done_tasks_are_kept_as_bits() {
    struct Case {
        name: &'static str,
        positions: &'static [usize],
        bytes: usize,
    }
    let cases = [
        Case {
            name: "none",
            positions: &[],
            bytes: 0,
        },
        Case {
            name: "the first",
            positions: &[0],
            bytes: 1,
        },
        Case {
            name: "both sides of a byte boundary",
            positions: &[7, 8],
            bytes: 2,
        },
        Case {
            name: "far apart",
            positions: &[1, 63, 200],
            bytes: 26,
        },
    ];
    for case in cases {
        let done = DoneTasks::new(2, 1, case.positions.iter().copied());
        assert_eq!(done.bits.len(), case.bytes, "{}", case.name);
        let read: Vec<usize> = done.positions().map(|n| n as usize).collect();
        assert_eq!(read, case.positions, "{}", case.name);
    }
}

/// Wide steps whose tasks end one by one; the record is written at each end and must stay small.
#[test]
fn record_of_a_wide_step_stays_small_and_a_successor_resumes_from_it() {
    let mut model = Model::new(support::config(), 4);
    let mut record = support::job(
        1,
        "batch",
        vec![support::step(60, 1_000, 400), support::step(60, 1_000, 400)],
    );
    if let Some(spec) = &mut record.spec {
        spec.payload = String::new();
    }
    model.submit(record);
    model.run_ms(500);
    let open = model.coordinator.open_jobs().next();
    let written: JobRecord = open.expect("the job is open").record();
    assert_eq!(written.state(), JobState::Running);
    let done: usize = written
        .done_tasks
        .iter()
        .map(|d| d.positions().count())
        .sum();
    assert!(done >= 20, "{done} tasks are done");
    assert!(written.encoded_len() < 150, "{}", written.encoded_len());
    model.take_over();
    model.run_ms(6_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
    assert_eq!(model.starts, 120, "each task must run once");
}

#[test]
fn failures_survive_a_takeover() {
    let mut model = Model::new(support::config(), 1);
    model.set_mode(0, WorkerMode::FailsRuns);
    model.submit(support::job(
        1,
        "urgent",
        vec![support::step(1, 1_000, 200)],
    ));
    model.run_ms(180);
    let task: TaskId = "0000000000000001.0.0.0".parse().expect("a task's name");
    assert_eq!(model.failures(task), 1);
    model.take_over();
    // The last attempt waits, since only the worker that failed the first one is there.
    model.run_ms(6_000);
    assert_eq!(model.state(1), Some(JobState::Failed));
    assert_eq!(model.failures(task), 2);
}

/// With a slow store, the record of a job that ends is written beside those of other jobs, and an
/// end is acknowledged to its worker only once every record that it may have changed is durable.
/// Guards against outcomes that wait for other jobs' writes, and against ends that are forgotten
/// before they are recorded.
#[test]
fn ended_jobs_are_written_first_and_ends_wait_for_their_records() {
    const LIMITS: ChangeLimits = ChangeLimits {
        records: 10,
        open_records: 1,
        open_bytes: u64::MAX,
    };
    let mut model = Model::new(support::config(), 1);
    model.store_up = false;
    // The second task of the first job runs on after the second job has ended.
    let steps = vec![
        support::step(1, 1_000, 200),
        support::step(1, 1_000, 60_000),
    ];
    model.submit(support::job(1, "batch", steps));
    model.submit(support::job(2, "batch", vec![support::step(1, 1_000, 200)]));
    model.run_ms(1_000);
    let coordinator = &mut model.coordinator;
    assert!(coordinator.has_changes());
    let changes = coordinator.take_changes(LIMITS);
    let ids: Vec<u64> = changes.iter().map(|change| change.record.id).collect();
    assert_eq!(ids, [2, 1], "the ended job is first");
    assert!(
        !coordinator.has_changes(),
        "nothing is written twice at once"
    );
    let durable_end = |coordinator: &Coordinator| {
        let worker = coordinator
            .workers()
            .values()
            .next()
            .expect("the worker is there");
        (worker.durable_end, worker.processed_end)
    };
    coordinator.record_durable(&changes[0]);
    assert_eq!(
        coordinator.job_state(support::id(2)),
        Some(JobState::Completed)
    );
    assert_eq!(
        durable_end(coordinator),
        (0, 2),
        "the first job is being written"
    );
    assert!(!coordinator.is_durable(support::id(1)));
    coordinator.record_durable(&changes[1]);
    assert_eq!(durable_end(coordinator), (2, 2));
    assert!(coordinator.is_durable(support::id(1)));
}

/// A record that only prevents its job from being accepted is kept until the retention period has
/// passed, without being shown, and a submission of the same job does not open it.
#[test]
fn a_job_cancelled_before_it_is_accepted_is_not_shown_and_does_not_open() {
    let id = support::id(1);
    for inherited in [false, true] {
        let mut coordinator = Model::new(support::config(), 1).coordinator;
        let ended_unix_ms = support::START_UNIX_MS;
        let cancelled = JobRecord::cancelled_unaccepted(id, ended_unix_ms);
        coordinator.add_job(&cancelled, inherited, ended_unix_ms);
        let submitted = support::job(1, "batch", vec![support::step(1, 1_000, 400)]);
        coordinator.add_job(&submitted, false, ended_unix_ms);
        assert!(coordinator.contains_job(id));
        assert_eq!(coordinator.job_state(id), None);
        assert!(!coordinator.request_cancel(id, ended_unix_ms));
        assert_eq!(coordinator.open_jobs().count(), 0);
        assert!(!coordinator.has_changes());
        assert_eq!(coordinator.expired_jobs(ended_unix_ms), Vec::<JobId>::new());
        assert_eq!(coordinator.expired_jobs(ended_unix_ms + 600_000), [id]);
    }
}
