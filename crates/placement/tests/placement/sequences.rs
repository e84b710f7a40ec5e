//! Invariants under random sequences of operations.

use std::sync::Arc;

use kernel::ids;
use kernel::work;
use platform::workers;
use proptest::strategy::Strategy;
use proptest::test_runner;

use crate::world;

const CASES: u32 = 300;
const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 2);
const WORKERS: u32 = 6;

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
        how: u8,
    },
    Usage {
        which: usize,
        units: u64,
    },
    Refuse {
        which: usize,
    },
    Leave {
        worker: usize,
        leaving: bool,
    },
    Lose {
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
        8 => (0..64_usize, 0..8_u8).prop_map(|(which, how)| Operation::End { which, how }),
        3 => (0..64_usize, 1..82_u64).prop_map(|(which, units)| Operation::Usage { which, units }),
        1 => (0..64_usize).prop_map(|which| Operation::Refuse { which }),
        2 => (0..6_usize, proptest::bool::ANY)
            .prop_map(|(worker, leaving)| Operation::Leave { worker, leaving }),
        1 => (0..6_usize).prop_map(|worker| Operation::Lose { worker }),
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

fn nth_run(world: &world::World, which: usize) -> Option<ids::TaskAttempt> {
    let count = world.runs.len();
    (count > 0).then(|| world.runs.get_index(which % count).unwrap().0.clone())
}

fn submit(world: &mut world::World, kind: u8, tasks: u32, units: u64, urgency: u8) {
    let kind = match kind {
        0 => work::WorkKind::Service,
        1 => work::WorkKind::GangJob,
        _ => work::WorkKind::BatchRun,
    };
    let id = format!("work-{}", world.works.len());
    let mut job = world::job(&id, kind, tasks, size(units));
    job.urgency = match urgency {
        0 => work::Urgency::Deferrable,
        1 => work::Urgency::Urgent,
        _ => work::Urgency::Normal,
    };
    job.team = ids::TeamId::new(format!("team-{}", units % 3));
    world.submit(job);
}

fn end(world: &mut world::World, which: usize, how: u8) {
    let Some(run) = nth_run(world, which) else {
        return;
    };
    let stopped = match world.runs[&run].stop {
        Some(workers::StopMode::Checkpoint) => Some(workers::RunEnd::Checkpointed),
        Some(_) => Some(workers::RunEnd::Stopped),
        None => None,
    };
    let end = match (how, stopped) {
        (0..=3, Some(end)) => end,
        (4, _) => workers::RunEnd::Failed,
        (5, _) => workers::RunEnd::LeaseLapsed,
        _ => workers::RunEnd::Completed,
    };
    world.end(&run, end);
}

fn lose(world: &mut world::World, worker: usize) {
    let spec = world.workers[worker].clone();
    let runs = world.group.remove_worker(&spec.id, world.now_ms);
    world.decide();
    for run in runs {
        world.end(&run, workers::RunEnd::LeaseLapsed);
    }
    world.group.set_worker(&spec, world.now_ms);
}

fn reserve(world: &mut world::World, tasks: u32, units: u64, confirm: bool) {
    let id = format!("work-{}", world.works.len());
    let gang = Arc::new(world::job(&id, work::WorkKind::GangJob, tasks, size(units)));
    let runs: Vec<_> = (0..tasks).map(|index| (index, ids::Attempt(1))).collect();
    world.works.insert(gang.id.clone(), Arc::clone(&gang));
    let until_ms = world.now_ms + 2_000;
    let reserved = world
        .group
        .reserve(&gang, &runs, None, until_ms, world.now_ms);
    let starts = reserved
        .filter(|_| confirm)
        .and_then(|reservation| world.group.confirm(reservation.id, world.now_ms));
    match starts {
        Some(starts) => world.apply(&starts),
        // A refused or expired reservation never starts its tasks here.
        None => {
            world.cancelled.insert(gang.id.clone());
        }
    }
}

fn step(world: &mut world::World, operation: Operation) {
    match operation {
        Operation::Submit {
            kind,
            tasks,
            units,
            urgency,
        } => {
            submit(world, kind, tasks, units, urgency);
        }
        Operation::Decide => {
            world.decide();
        }
        Operation::End { which, how } => end(world, which, how),
        Operation::Usage { which, units } => {
            if let Some(run) = nth_run(world, which) {
                let worker = world.runs[&run].worker.clone();
                world.group.started(&run);
                world.group.usage(&worker, &run, size(units), world.now_ms);
            }
        }
        Operation::Refuse { which } => {
            if let Some(run) = nth_run(world, which) {
                world.runs.swap_remove(&run);
                world
                    .group
                    .refused(&run, workers::RefusalReason::NoRoom, world.now_ms);
            }
        }
        Operation::Leave { worker, leaving } => {
            let id = world.workers[worker].id.clone();
            world.group.set_worker_state(&id, leaving, world.now_ms);
        }
        Operation::Lose { worker } => lose(world, worker),
        Operation::Cancel { which } => {
            if !world.works.is_empty() {
                let (id, _) = world.works.get_index(which % world.works.len()).unwrap();
                let id = id.clone();
                world.cancel(&id);
            }
        }
        Operation::Reserve {
            tasks,
            units,
            confirm,
        } => reserve(world, tasks, units, confirm),
        Operation::Advance { ms } => world.now_ms += ms,
        Operation::TakeOver => world.take_over(world::config()),
    }
    world.check();
}

/// Lets all runs end, then checks that every task finished and none completed twice.
fn settle(world: &mut world::World) {
    for worker in world.workers.keys().cloned().collect::<Vec<_>>() {
        world.group.set_worker_state(&worker, false, world.now_ms);
    }
    // Services never end and could block the largest tasks indefinitely.
    let services = world
        .works
        .values()
        .filter(|work| work.kind == work::WorkKind::Service);
    for service in services.map(|work| work.id.clone()).collect::<Vec<_>>() {
        world.cancel(&service);
    }
    for _ in 0..400 {
        world.now_ms += 5_000;
        world.decide();
        let finished: Vec<_> = world
            .runs
            .iter()
            .filter(|(_, ran)| ran.order.kind != work::WorkKind::Service || ran.stop.is_some())
            .map(|(run, ran)| (run.clone(), ran.stop.is_some()))
            .collect();
        for (run, stopped) in finished {
            let end = if stopped {
                workers::RunEnd::Stopped
            } else {
                workers::RunEnd::Completed
            };
            world.end(&run, end);
        }
    }
    let works: Vec<_> = world.works.values().cloned().collect();
    for work in works
        .iter()
        .filter(|work| !world.cancelled.contains(&work.id))
    {
        if work.kind == work::WorkKind::Service {
            continue;
        }
        for task in work.task_ids() {
            assert!(
                world.closed.contains(&task),
                "{:?}",
                world.group.explain(&task)
            );
            assert!(world.completed.get(&task).is_none_or(|&count| count == 1));
        }
    }
}

#[test]
fn invariants_hold_under_random_operations() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let random = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let sequences = proptest::collection::vec(operation(), 1..120);
    runner
        .run(&sequences, |operations| {
            let mut world = world::World::new(WORKERS, CAPACITY, world::config());
            for operation in operations {
                step(&mut world, operation);
            }
            settle(&mut world);
            Ok(())
        })
        .unwrap();
}
