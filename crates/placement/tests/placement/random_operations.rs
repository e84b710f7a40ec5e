//! Invariants under random sequences of operations.

use std::sync::Arc;

use kernel::ids;
use kernel::work;
use platform::workers;
use proptest::strategy::Strategy;
use proptest::test_runner;

use crate::harness;

const SEQUENCE_COUNT: u32 = 300;
const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 2);
const WORKER_COUNT: u32 = 6;

#[derive(Clone, Copy, Debug)]
enum Operation {
    Submit {
        kind: u8,
        tasks: u32,
        units: u64,
        urgency: u8,
    },
    Decide,
    End {
        which: usize,
        outcome: u8,
    },
    Usage {
        which: usize,
        units: u64,
    },
    Refuse {
        which: usize,
    },
    SetLeaving {
        worker: usize,
        leaving: bool,
    },
    LoseWorker {
        worker: usize,
    },
    Cancel {
        which: usize,
    },
    Reserve {
        tasks: u32,
        units: u64,
        confirm: bool,
    },
    Advance {
        ms: u64,
    },
    TakeOver,
}

fn operation() -> impl Strategy<Value = Operation> {
    proptest::prop_oneof![
        4 => (0..4_u8, 1..6_u32, 1..82_u64, 0..4_u8).prop_map(|(kind, tasks, units, urgency)| {
            Operation::Submit { kind, tasks, units, urgency }
        }),
        8 => proptest::strategy::Just(Operation::Decide),
        8 => (0..64_usize, 0..8_u8).prop_map(|(which, outcome)| Operation::End { which, outcome }),
        3 => (0..64_usize, 1..82_u64).prop_map(|(which, units)| Operation::Usage { which, units }),
        1 => (0..64_usize).prop_map(|which| Operation::Refuse { which }),
        2 => (0..6_usize, proptest::bool::ANY)
            .prop_map(|(worker, leaving)| Operation::SetLeaving { worker, leaving }),
        1 => (0..6_usize).prop_map(|worker| Operation::LoseWorker { worker }),
        1 => (0..64_usize).prop_map(|which| Operation::Cancel { which }),
        1 => (1..6_u32, 1..82_u64, proptest::bool::ANY)
            .prop_map(|(tasks, units, confirm)| Operation::Reserve { tasks, units, confirm }),
        4 => (1..3_000_u64).prop_map(|ms| Operation::Advance { ms }),
        1 => proptest::strategy::Just(Operation::TakeOver),
    ]
}

fn size(units: u64) -> work::Resources {
    work::Resources::new(units * 97, units * 190, u64::from(units % 16 == 7))
}

fn nth_run(harness: &harness::Harness, which: usize) -> Option<ids::TaskAttempt> {
    let count = harness.runs.len();
    (count > 0).then(|| harness.runs.get_index(which % count).unwrap().0.clone())
}

fn submit(harness: &mut harness::Harness, kind: u8, tasks: u32, units: u64, urgency: u8) {
    let kind = match kind {
        0 => work::WorkKind::Service,
        1 => work::WorkKind::GangJob,
        _ => work::WorkKind::BatchRun,
    };
    let id = format!("work-{}", harness.works.len());
    let mut job = harness::job(&id, kind, tasks, size(units));
    job.urgency = match urgency {
        0 => work::Urgency::Deferrable,
        1 => work::Urgency::Urgent,
        _ => work::Urgency::Normal,
    };
    job.team = ids::TeamId::new(format!("team-{}", units % 3));
    harness.submit(job);
}

fn end(harness: &mut harness::Harness, which: usize, outcome: u8) {
    let Some(run) = nth_run(harness, which) else {
        return;
    };
    let stopped = match harness.runs[&run].stop {
        Some(workers::StopMode::Checkpoint) => Some(workers::RunEnd::Checkpointed),
        Some(_) => Some(workers::RunEnd::Stopped),
        None => None,
    };
    let end = match (outcome, stopped) {
        (0..=3, Some(end)) => end,
        (4, _) => workers::RunEnd::Failed,
        (5, _) => workers::RunEnd::LeaseLapsed,
        _ => workers::RunEnd::Completed,
    };
    harness.end(&run, end);
}

fn lose_worker(harness: &mut harness::Harness, worker: usize) {
    let spec = harness.workers[worker].clone();
    let runs = harness.group.remove_worker(&spec.id, harness.now_ms);
    harness.decide();
    for run in runs {
        harness.end(&run, workers::RunEnd::LeaseLapsed);
    }
    harness.group.set_worker(&spec, harness.now_ms);
}

fn reserve(harness: &mut harness::Harness, tasks: u32, units: u64, confirm: bool) {
    let id = format!("work-{}", harness.works.len());
    let gang = Arc::new(harness::job(
        &id,
        work::WorkKind::GangJob,
        tasks,
        size(units),
    ));
    let runs: Vec<_> = (0..tasks).map(|index| (index, ids::Attempt(1))).collect();
    harness.works.insert(gang.id.clone(), Arc::clone(&gang));
    let until_ms = harness.now_ms + 2_000;
    let reserved = harness
        .group
        .reserve(&gang, &runs, None, until_ms, harness.now_ms);
    let starts = reserved
        .filter(|_| confirm)
        .and_then(|reservation| harness.group.confirm(reservation.id, harness.now_ms));
    match starts {
        Some(starts) => harness.apply(&starts),
        // A refused or expired reservation never starts its tasks here.
        None => {
            harness.cancelled.insert(gang.id.clone());
        }
    }
}

fn apply(harness: &mut harness::Harness, operation: Operation) {
    match operation {
        Operation::Submit {
            kind,
            tasks,
            units,
            urgency,
        } => {
            submit(harness, kind, tasks, units, urgency);
        }
        Operation::Decide => {
            harness.decide();
        }
        Operation::End { which, outcome } => end(harness, which, outcome),
        Operation::Usage { which, units } => {
            if let Some(run) = nth_run(harness, which) {
                let worker = harness.runs[&run].worker.clone();
                harness.group.started(&run);
                harness
                    .group
                    .usage(&worker, &run, size(units), harness.now_ms);
            }
        }
        Operation::Refuse { which } => {
            if let Some(run) = nth_run(harness, which) {
                harness.runs.swap_remove(&run);
                harness
                    .group
                    .refused(&run, workers::RefusalReason::NoRoom, harness.now_ms);
            }
        }
        Operation::SetLeaving { worker, leaving } => {
            let id = harness.workers[worker].id.clone();
            harness.group.set_worker_state(&id, leaving, harness.now_ms);
        }
        Operation::LoseWorker { worker } => lose_worker(harness, worker),
        Operation::Cancel { which } => {
            if !harness.works.is_empty() {
                let (id, _) = harness
                    .works
                    .get_index(which % harness.works.len())
                    .unwrap();
                let id = id.clone();
                harness.cancel(&id);
            }
        }
        Operation::Reserve {
            tasks,
            units,
            confirm,
        } => reserve(harness, tasks, units, confirm),
        Operation::Advance { ms } => harness.now_ms += ms,
        Operation::TakeOver => harness.take_over(harness::config()),
    }
    harness.check();
}

/// Lets all runs end, then checks that every task finished and none completed twice.
fn run_to_completion(harness: &mut harness::Harness) {
    for worker in harness.workers.keys().cloned().collect::<Vec<_>>() {
        harness
            .group
            .set_worker_state(&worker, false, harness.now_ms);
    }
    // Services never end and could block the largest tasks indefinitely.
    let services = harness
        .works
        .values()
        .filter(|work| work.kind == work::WorkKind::Service);
    for service in services.map(|work| work.id.clone()).collect::<Vec<_>>() {
        harness.cancel(&service);
    }
    for _ in 0..400 {
        harness.now_ms += 5_000;
        harness.decide();
        let finished: Vec<_> = harness
            .runs
            .iter()
            .filter(|(_, fake_run)| {
                fake_run.order.kind != work::WorkKind::Service || fake_run.stop.is_some()
            })
            .map(|(run, fake_run)| (run.clone(), fake_run.stop.is_some()))
            .collect();
        for (run, stopped) in finished {
            let end = if stopped {
                workers::RunEnd::Stopped
            } else {
                workers::RunEnd::Completed
            };
            harness.end(&run, end);
        }
    }
    let works: Vec<_> = harness.works.values().cloned().collect();
    for work in works
        .iter()
        .filter(|work| !harness.cancelled.contains(&work.id))
    {
        if work.kind == work::WorkKind::Service {
            continue;
        }
        for task in work.task_ids() {
            assert!(
                harness.finished.contains(&task),
                "{:?}",
                harness.group.explain(&task)
            );
            assert!(harness.completed.get(&task).is_none_or(|&count| count == 1));
        }
    }
}

#[test]
fn invariants_hold_under_random_operations() {
    let config = test_runner::Config {
        cases: SEQUENCE_COUNT,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let random = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let sequences = proptest::collection::vec(operation(), 1..120);
    runner
        .run(&sequences, |operations| {
            let mut harness = harness::Harness::new(WORKER_COUNT, CAPACITY, harness::config());
            for operation in operations {
                apply(&mut harness, operation);
            }
            run_to_completion(&mut harness);
            Ok(())
        })
        .unwrap();
}
