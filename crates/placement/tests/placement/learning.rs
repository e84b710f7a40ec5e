//! Attribution of failures to workers or jobs, and sizes learned from usage.

use hickorychute_placement::Decision;
use kernel::ids;
use kernel::work;
use platform::workers;

use crate::world;

const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 0);
const HALF: work::Resources = work::Resources::new(4_000, 8_000, 0);
const BATCH: work::WorkKind = work::WorkKind::BatchRun;

fn world(workers: u32) -> world::World {
    world::World::new(workers, CAPACITY, world::config())
}

fn running(world: &world::World) -> Vec<ids::TaskAttempt> {
    world.runs.keys().cloned().collect()
}

#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    let mut world = world(4);
    world.submit(world::job("sound", BATCH, 400, CAPACITY));
    let bad = ids::WorkerId::new("w0");
    let mut starts_on_bad = 0;
    for _ in 0..40 {
        world.now_ms += 1_000;
        world.decide();
        for run in running(&world) {
            let failed = world.runs[&run].worker == bad;
            starts_on_bad += u32::from(failed);
            world.end(
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
    let state = |world: &world::World| world.group.snapshot().workers[0].state;
    assert_eq!(state(&world), "quarantined");
    world.now_ms += 60_000;
    world.decide();
    assert_eq!(state(&world), "probation");
    for run in running(&world) {
        world.end(&run, workers::RunEnd::Completed);
    }
    assert_eq!(state(&world), "live");
}

#[test]
fn jobs_that_can_never_run_blame_no_worker() {
    const JOBS: u32 = 6;
    let mut world = world(8);
    for number in 0..JOBS {
        let mut broken = world::job(&format!("broken-{number}"), BATCH, 10, HALF);
        broken.max_attempts = 3;
        world.submit(broken);
    }
    for _ in 0..60 {
        world.now_ms += 5_000;
        world.decide();
        for run in running(&world) {
            world.end(&run, workers::RunEnd::Failed);
        }
    }
    assert_eq!(world.closed.len(), 60, "all tasks failed for good");
    let workers = world.group.snapshot().workers;
    assert!(workers.iter().all(|worker| worker.state == "live"));
}

#[test]
fn new_jobs_that_run_elsewhere_prove_a_bad_worker() {
    let mut world = world(4);
    let bad = ids::WorkerId::new("w0");
    let mut starts_on_bad = 0;
    for round in 0..100 {
        world.now_ms += 1_000;
        world.submit(world::job(&format!("new-{round}"), BATCH, 4, CAPACITY));
        world.decide();
        for run in running(&world) {
            let failed = world.runs[&run].worker == bad;
            starts_on_bad += u32::from(failed);
            let end = [workers::RunEnd::Completed, workers::RunEnd::Failed];
            world.end(&run, end[usize::from(failed)]);
        }
        if world.now_ms == 50_000 {
            assert!(starts_on_bad <= 4, "{starts_on_bad} starts");
        }
    }
    // The first quarantine is followed by one start on probation and a longer quarantine.
    assert!(starts_on_bad <= 5, "{starts_on_bad} starts");
}

#[test]
fn sizes_are_learned_and_overuse_is_held_back() {
    let mut world = world(1);
    let tenth = work::Resources::new(800, 1_600, 0);
    for wave in 0..12 {
        world.submit(world::job(&format!("wave-{wave}"), BATCH, 2, HALF));
        world.decide();
        for run in running(&world) {
            let worker = world.runs[&run].worker.clone();
            world.group.usage(&worker, &run, tenth, world.now_ms);
            world.end(&run, workers::RunEnd::Completed);
        }
    }
    world.submit(world::job("many", BATCH, 20, HALF));
    assert!(
        world.decide().len() >= 9,
        "five times as many fit as declared"
    );
    let run = running(&world)[0].clone();
    let worker = world.runs[&run].worker.clone();
    let mut modes = Vec::new();
    for _ in 0..4 {
        world.group.usage(&worker, &run, HALF, world.now_ms);
        for decision in world.decide() {
            let Decision::Stop { mode, .. } = decision else {
                panic!("{decision:?}")
            };
            modes.push(mode);
        }
        world.now_ms += 6_000;
    }
    let expected = [
        workers::StopMode::Throttle,
        workers::StopMode::Checkpoint,
        workers::StopMode::Kill,
    ];
    assert_eq!(modes, expected);
    world.check();
}

#[test]
fn a_wave_of_broken_jobs_leaves_most_workers_in_use() {
    let mut world = world(8);
    for number in 0..100 {
        let mut broken = world::job(&format!("broken-{number}"), BATCH, 1, HALF);
        broken.max_attempts = 3;
        world.submit(broken);
    }
    for _ in 0..60 {
        world.now_ms += 500;
        world.decide();
        for run in running(&world) {
            world.end(&run, workers::RunEnd::Failed);
        }
        let workers = world.group.snapshot().workers;
        let out = workers
            .iter()
            .filter(|worker| worker.state == "quarantined");
        assert!(out.count() <= 2);
    }
}
