//! One test for each mechanism of a group.

use hickorychute_placement::{Decision, EndEffect, HandBackReason, TaskState};
use kernel::ids;
use kernel::plugin;
use kernel::work;
use platform::workers;

use crate::world;

const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 0);
const HALF: work::Resources = work::Resources::new(4_000, 8_000, 0);
const WHOLE: work::Resources = CAPACITY;
const BATCH: work::WorkKind = work::WorkKind::BatchRun;
const GANG: work::WorkKind = work::WorkKind::GangJob;

fn world(workers: u32) -> world::World {
    world::World::new(workers, CAPACITY, world::config())
}

fn running(world: &world::World) -> Vec<ids::TaskAttempt> {
    world.runs.keys().cloned().collect()
}

#[test]
fn urgent_work_displaces_the_cheapest_tasks() {
    struct Case {
        name: &'static str,
        urgency: work::Urgency,
        idempotent: bool,
        modes: &'static [workers::StopMode],
    }
    use workers::StopMode::{Checkpoint, Kill};
    let cases = [
        Case {
            name: "deferrable",
            urgency: work::Urgency::Deferrable,
            idempotent: true,
            modes: &[Checkpoint, Kill],
        },
        Case {
            name: "normal",
            urgency: work::Urgency::Normal,
            idempotent: true,
            modes: &[Checkpoint, Kill],
        },
        Case {
            name: "not to be run twice",
            urgency: work::Urgency::Normal,
            idempotent: false,
            modes: &[Checkpoint],
        },
        Case {
            name: "urgent",
            urgency: work::Urgency::Urgent,
            idempotent: true,
            modes: &[],
        },
    ];
    for case in cases {
        let mut world = world(1);
        let mut batch = world::job("batch", BATCH, 2, HALF);
        batch.urgency = case.urgency;
        batch.idempotent = case.idempotent;
        world.submit(batch);
        world.decide();
        let mut urgent = world::job("urgent", BATCH, 1, HALF);
        urgent.urgency = work::Urgency::Urgent;
        world.submit(urgent);
        let mut modes = Vec::new();
        let mut victim = None;
        for _ in 0..2 {
            for decision in world.decide() {
                let Decision::Stop { run, mode, .. } = decision else {
                    panic!("{}: {decision:?}", case.name);
                };
                modes.push(mode);
                victim = Some(run);
            }
            world.now_ms += 400;
        }
        assert_eq!(modes, case.modes, "{}", case.name);
        let Some(victim) = victim else { continue };
        let effect = world.end(&victim, workers::RunEnd::Checkpointed);
        assert_eq!(
            effect,
            EndEffect::Restart {
                next: ids::Attempt(2)
            }
        );
        let decisions = world.decide();
        let [Decision::Start { order, .. }] = &decisions[..] else {
            panic!("{}: {decisions:?}", case.name);
        };
        assert_eq!(order.urgency, work::Urgency::Urgent, "{}", case.name);
    }
}

#[test]
fn a_wave_of_cancellations_leaves_nothing_to_start() {
    const JOBS: u32 = 10_000;
    let mut world = world(4);
    for number in 0..JOBS {
        world.submit(world::job(&format!("job-{number}"), BATCH, 1, HALF));
    }
    let started = world.decide().len();
    assert_eq!(started, 8);
    let ids: Vec<_> = world.works.keys().cloned().collect();
    let dropped: usize = ids.iter().map(|id| world.cancel(id)).sum();
    assert_eq!(dropped, JOBS as usize - started);
    assert_eq!((world.group.waiting(), world.group.running()), (0, started));
    assert_eq!(world.decide().len(), started, "running tasks are stopped");
    for run in running(&world) {
        assert_eq!(
            world.end(&run, workers::RunEnd::Stopped),
            EndEffect::Finished
        );
    }
    assert!(world.decide().is_empty());
    let late = world.works[0].clone();
    world.submit((*late).clone());
    assert!(
        world.decide().is_empty(),
        "a late assignment does not start"
    );
}

#[test]
fn quotas_limit_teams_and_weights_divide_what_is_left() {
    let mut world = world(32);
    let team = |number: u32| ids::TeamId::new(format!("team-{number}"));
    let small = work::Resources::new(1_000, 2_000, 0);
    world.group.set_quota(&team(0), Some(small.times(10)), 1);
    world.group.set_quota(&team(1), None, 2);
    world.group.set_quota(&team(2), None, 1);
    for number in 0..3 {
        let mut flood = world::job(&format!("flood-{number}"), BATCH, 500, small);
        flood.team = team(number);
        world.submit(flood);
    }
    assert_eq!(world.decide().len(), 256);
    let used = |number: u32| {
        let team = team(number);
        world
            .runs
            .values()
            .filter(|ran| ran.order.team == team)
            .count()
    };
    assert_eq!([used(0), used(1), used(2)], [10, 164, 82]);
    let reason = world
        .group
        .explain(&ids::TaskId::new(&ids::WorkId::new("flood-0"), 499))
        .reason;
    assert!(reason.contains("quota"), "{reason}");
}

#[test]
fn teams_that_do_not_flood_get_their_share() {
    const TEAMS: u32 = 62;
    const FLOODING: u32 = 5;
    let mut world = world(62);
    let small = work::Resources::new(400, 800, 0);
    for number in 0..TEAMS {
        let tasks = if number < FLOODING { 2_000 } else { 20 };
        let mut run = world::job(&format!("run-{number}"), BATCH, tasks, small);
        run.team = ids::TeamId::new(format!("team-{number}"));
        world.submit(run);
    }
    world
        .group
        .decide(0, 1_240)
        .iter()
        .for_each(|decision| world.apply(std::slice::from_ref(decision)));
    for number in FLOODING..TEAMS {
        let team = ids::TeamId::new(format!("team-{number}"));
        let used = world
            .runs
            .values()
            .filter(|ran| ran.order.team == team)
            .count();
        assert!(used >= 19, "{team} got {used} of its share of 20");
    }
}

#[test]
fn replicas_are_spread_over_racks_and_replaced_without_a_gap() {
    let mut world = world(8);
    let mut service = world::job("service", work::WorkKind::Service, 4, HALF);
    service.policy = work::Policy::Spread;
    world.submit(service);
    world.decide();
    let racks = |world: &world::World| {
        let workers = world
            .runs
            .values()
            .map(|ran| world.workers[&ran.worker].rack.clone());
        workers.collect::<indexmap::IndexSet<_>>().len()
    };
    assert_eq!(racks(&world), 4);
    for run in running(&world) {
        world.group.started(&run);
    }
    let leaving = world.runs[0].worker.clone();
    let old = running(&world)[0].clone();
    world.group.set_worker_state(&leaving, true, world.now_ms);
    let decisions = world.decide();
    let [Decision::Start { worker, order }] = &decisions[..] else {
        panic!("the replacement starts before the old replica stops: {decisions:?}");
    };
    assert_ne!(*worker, leaving);
    world.group.started(&order.run);
    let decisions = world.decide();
    let [
        Decision::Stop {
            run,
            mode: workers::StopMode::Drain,
            ..
        },
    ] = &decisions[..]
    else {
        panic!("{decisions:?}");
    };
    assert_eq!(*run, old);
    assert_eq!(
        world.end(&old, workers::RunEnd::Stopped),
        EndEffect::Finished
    );
    assert!(world.decide().is_empty());
    assert_eq!(world.runs.len(), 4);
}

#[test]
fn a_large_gang_starts_although_small_tasks_keep_coming() {
    let mut world = world(4);
    world.submit(world::job("first", BATCH, 8, HALF));
    world.decide();
    world.submit(world::job("gang", GANG, 4, WHOLE));
    let mut backfilled = 0;
    for round in 0..100_u64 {
        world.now_ms += 500;
        let mut small = world::job(&format!("small-{round}"), BATCH, 1, HALF);
        small.run_time_ms = Some(if round % 2 == 0 { 1_000 } else { 60_000 });
        world.submit(small);
        for decision in world.decide() {
            let Decision::Start { order, .. } = decision else {
                panic!("{decision:?}")
            };
            if order.kind == GANG {
                assert!(backfilled > 0, "short tasks run around the reservation");
                return;
            }
            backfilled += 1;
        }
        // Runs end one by one, so that no worker becomes idle by chance.
        if let Some(run) = running(&world).first().filter(|_| round % 3 == 0) {
            world.end(run, workers::RunEnd::Completed);
        }
    }
    panic!("the gang starves");
}

#[test]
fn waiting_tasks_are_explained_and_handed_back() {
    struct Case {
        name: &'static str,
        demand: work::Resources,
        words: &'static str,
        reason: HandBackReason,
    }
    let huge = work::Resources::new(9_000, 1_000, 0);
    let cases = [
        Case {
            name: "full",
            demand: WHOLE,
            words: "add workers",
            reason: HandBackReason::NoRoom,
        },
        Case {
            name: "huge",
            demand: huge,
            words: "even when empty",
            reason: HandBackReason::NeverFits,
        },
    ];
    for case in cases {
        let config = world::config().hand_back_after_ms(Some(5_000));
        let mut world = world::World::new(1, CAPACITY, config);
        world.submit(world::job("running", BATCH, 2, HALF));
        world.decide();
        let work = world::job("waiting", BATCH, 1, case.demand);
        world.submit(work.clone());
        world.decide();
        let task = ids::TaskId::new(&work.id, 0);
        let explanation = world.group.explain(&task);
        assert_eq!(explanation.state, TaskState::Waiting, "{}", case.name);
        assert!(
            explanation.reason.contains(case.words),
            "{}: {}",
            case.name,
            explanation.reason
        );
        let runs = [(0, ids::Attempt(1))];
        world
            .group
            .submit(&work.into(), &runs, Some(ids::ShardId(1)), world.now_ms);
        world.now_ms += 5_000;
        let decisions = world.decide();
        let run = ids::TaskAttempt {
            task,
            attempt: ids::Attempt(1),
        };
        let expected = Decision::HandBack {
            run,
            reason: case.reason,
        };
        assert_eq!(decisions, [expected], "{}", case.name);
    }
}

#[test]
fn an_unconfirmed_worker_counts_as_full() {
    let mut world = world(1);
    let id = ids::WorkerId::new("w0");
    world.group.fence_pending(&id, 1_000);
    world.submit(world::job("job", BATCH, 1, HALF));
    assert!(world.decide().is_empty());
    world.now_ms = 1_000;
    assert_eq!(world.decide().len(), 1);
}

#[test]
fn scorers_register_themselves() {
    let names = plugin::registered(plugin::Extension::Scorer);
    let names: Vec<_> = names.iter().map(|descriptor| descriptor.name).collect();
    assert_eq!(
        names,
        ["locality", "quick-start", "rack-spread", "tight-packing"]
    );
}

#[test]
fn room_made_for_an_urgent_task_is_kept_for_it() {
    let mut world = world(1);
    world.submit(world::job("batch", BATCH, 4, HALF));
    world.decide();
    let mut urgent = world::job("urgent", BATCH, 1, WHOLE);
    urgent.urgency = work::Urgency::Urgent;
    world.submit(urgent);
    assert_eq!(world.decide().len(), 2, "both tasks are stopped");
    let victims = running(&world);
    world.end(&victims[0], workers::RunEnd::Checkpointed);
    assert!(world.decide().is_empty(), "the first half stays free");
    world.end(&victims[1], workers::RunEnd::Checkpointed);
    let decisions = world.decide();
    assert!(
        matches!(&decisions[..], [Decision::Start { order, .. }] if order.demand == WHOLE),
        "{decisions:?}"
    );
}

#[test]
fn a_replica_replaced_after_a_takeover_uses_no_attempt_twice() {
    let mut world = world(3);
    world.submit(world::job("service", work::WorkKind::Service, 1, HALF));
    world.decide();
    let old = running(&world)[0].clone();
    let leaving = world.runs[&old].worker.clone();
    world.group.started(&old);
    world.group.set_worker_state(&leaving, true, 0);
    world.decide();
    let twin = running(&world).into_iter().find(|run| *run != old).unwrap();
    world.end(&twin, workers::RunEnd::Failed);
    world.take_over(world::config());
    world.group.set_worker_state(&leaving, true, 0);
    assert_eq!(world.decide().len(), 1, "a new twin starts");
}

#[test]
fn a_task_behind_a_long_queue_of_blocked_work_starts() {
    const BLOCKED: u32 = 3_000;
    let mut world = world(1);
    world.submit(world::job("running", BATCH, 1, HALF));
    world.decide();
    for number in 0..BLOCKED {
        world.submit(world::job(&format!("blocked-{number}"), BATCH, 1, WHOLE));
    }
    world.submit(world::job("small", BATCH, 1, HALF));
    let decisions: usize = (0..20).map(|_| world.decide().len()).sum();
    assert_eq!(decisions, 1);
}

#[test]
fn a_changed_number_of_tasks_drains_replicas_and_hands_waiting_tasks_back() {
    struct Case {
        kind: work::WorkKind,
        drained: usize,
    }
    let case = |kind, drained| Case { kind, drained };
    let cases = [
        case(work::WorkKind::Service, 1),
        case(work::WorkKind::BatchRun, 0),
    ];
    for case in cases {
        // Two workers have room for two tasks; the other two wait.
        let mut world = world(2);
        let mut changed = world::job("work", case.kind, 4, WHOLE);
        world.submit(changed.clone());
        world.decide();
        let started = running(&world);
        assert_eq!(started.len(), 2);
        for run in &started {
            world.group.started(run);
        }
        changed.tasks = 1;
        let changed = std::sync::Arc::new(changed);
        world.group.submit(&changed, &[], None, world.now_ms);
        let decisions = world.group.decide(world.now_ms, 100);
        let drained = decisions.iter().filter(|decision| {
            let Decision::Stop { run, mode, .. } = decision else {
                return false;
            };
            run.task.index > 0 && *mode == workers::StopMode::Drain
        });
        assert_eq!(drained.count(), case.drained, "{decisions:?}");
        let back = decisions.iter().filter(
            |decision| matches!(decision, Decision::HandBack { run, .. } if run.task.index > 1),
        );
        assert_eq!(back.count(), 2, "{decisions:?}");
        let last = &started[1];
        let effect = world
            .group
            .ended(last, workers::RunEnd::Failed, 5, world.now_ms);
        assert_eq!(effect, EndEffect::Finished);
    }
}
