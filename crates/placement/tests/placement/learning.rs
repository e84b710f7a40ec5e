//! Attribution of failures to workers or jobs, and sizes learned from usage.

use hickorychute_placement::Decision;
use kernel::ids;
use kernel::work;
use platform::workers;

use crate::harness;

const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 0);
const HALF: work::Resources = work::Resources::new(4_000, 8_000, 0);
const BATCH: work::WorkKind = work::WorkKind::BatchRun;

fn harness(workers: u32) -> harness::Harness {
    harness::Harness::new(workers, CAPACITY, harness::config())
}

fn running(harness: &harness::Harness) -> Vec<ids::TaskAttempt> {
    harness.runs.keys().cloned().collect()
}

#[test]
fn a_worker_on_which_every_run_fails_is_quarantined() {
    let mut harness = harness(4);
    harness.submit(harness::job("sound", BATCH, 400, CAPACITY));
    let bad = ids::WorkerId::new("w0");
    let mut starts_on_bad = 0;
    for _ in 0..40 {
        harness.now_ms += 1_000;
        harness.decide();
        for run in running(&harness) {
            let failed = harness.runs[&run].worker == bad;
            starts_on_bad += u32::from(failed);
            harness.end(
                &run,
                if failed {
                    workers::RunEnd::Failed
                } else {
                    workers::RunEnd::Completed
                },
            );
        }
    }
    assert!(starts_on_bad <= 4, "{starts_on_bad} starts");
    let state = |harness: &harness::Harness| harness.group.snapshot().workers[0].state;
    assert_eq!(state(&harness), "quarantined");
    harness.now_ms += 60_000;
    harness.decide();
    assert_eq!(state(&harness), "probation");
    for run in running(&harness) {
        harness.end(&run, workers::RunEnd::Completed);
    }
    assert_eq!(state(&harness), "live");
}

#[test]
fn jobs_that_always_fail_quarantine_no_worker() {
    const JOBS: u32 = 6;
    let mut harness = harness(8);
    for number in 0..JOBS {
        let mut broken = harness::job(&format!("broken-{number}"), BATCH, 10, HALF);
        broken.max_attempts = 3;
        harness.submit(broken);
    }
    for _ in 0..60 {
        harness.now_ms += 5_000;
        harness.decide();
        for run in running(&harness) {
            harness.end(&run, workers::RunEnd::Failed);
        }
    }
    assert_eq!(harness.finished.len(), 60, "all tasks failed for good");
    let workers = harness.group.snapshot().workers;
    assert!(workers.iter().all(|worker| worker.state == "live"));
}

#[test]
fn failures_of_new_jobs_that_succeed_elsewhere_quarantine_the_worker() {
    let mut harness = harness(4);
    let bad = ids::WorkerId::new("w0");
    let mut starts_on_bad = 0;
    for round in 0..100 {
        harness.now_ms += 1_000;
        harness.submit(harness::job(&format!("new-{round}"), BATCH, 4, CAPACITY));
        harness.decide();
        for run in running(&harness) {
            let failed = harness.runs[&run].worker == bad;
            starts_on_bad += u32::from(failed);
            let end = [workers::RunEnd::Completed, workers::RunEnd::Failed];
            harness.end(&run, end[usize::from(failed)]);
        }
        if harness.now_ms == 50_000 {
            assert!(starts_on_bad <= 4, "{starts_on_bad} starts");
        }
    }
    // The first quarantine is followed by one start on probation and a longer quarantine.
    assert!(starts_on_bad <= 5, "{starts_on_bad} starts");
}

#[test]
fn sizes_are_learned_and_overuse_is_stopped() {
    let mut harness = harness(1);
    let tenth = work::Resources::new(800, 1_600, 0);
    for wave in 0..12 {
        harness.submit(harness::job(&format!("wave-{wave}"), BATCH, 2, HALF));
        harness.decide();
        for run in running(&harness) {
            let worker = harness.runs[&run].worker.clone();
            harness.group.usage(&worker, &run, tenth, harness.now_ms);
            harness.end(&run, workers::RunEnd::Completed);
        }
    }
    harness.submit(harness::job("many", BATCH, 20, HALF));
    assert!(
        harness.decide().len() >= 9,
        "five times as many fit as declared"
    );
    let run = running(&harness)[0].clone();
    let worker = harness.runs[&run].worker.clone();
    let mut modes = Vec::new();
    for _ in 0..4 {
        harness.group.usage(&worker, &run, HALF, harness.now_ms);
        for decision in harness.decide() {
            let Decision::Stop { mode, .. } = decision else {
                panic!("{decision:?}")
            };
            modes.push(mode);
        }
        harness.now_ms += 6_000;
    }
    let expected = [
        workers::StopMode::Throttle,
        workers::StopMode::Checkpoint,
        workers::StopMode::Kill,
    ];
    assert_eq!(modes, expected);
    harness.check();
}

#[test]
fn many_broken_jobs_leave_most_workers_in_use() {
    let mut harness = harness(8);
    for number in 0..100 {
        let mut broken = harness::job(&format!("broken-{number}"), BATCH, 1, HALF);
        broken.max_attempts = 3;
        harness.submit(broken);
    }
    for _ in 0..60 {
        harness.now_ms += 500;
        harness.decide();
        for run in running(&harness) {
            harness.end(&run, workers::RunEnd::Failed);
        }
        let workers = harness.group.snapshot().workers;
        let out = workers
            .iter()
            .filter(|worker| worker.state == "quarantined");
        assert!(out.count() <= 2);
    }
}
