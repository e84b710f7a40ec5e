//! One test for each mechanism of a group.

use hickorychute_placement::{Decision, EndEffect, HandBackReason, TaskState};
use kernel::ids;
use kernel::plugin;
use kernel::work;
use platform::workers;

use crate::harness;

const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 0);
const HALF: work::Resources = work::Resources::new(4_000, 8_000, 0);
const WHOLE: work::Resources = CAPACITY;
const BATCH: work::WorkKind = work::WorkKind::BatchRun;
const GANG: work::WorkKind = work::WorkKind::GangJob;

fn harness(workers: u32) -> harness::Harness {
    harness::Harness::new(workers, CAPACITY, harness::config())
}

fn running(harness: &harness::Harness) -> Vec<ids::TaskAttempt> {
    harness.runs.keys().cloned().collect()
}

#[test]
fn urgent_work_preempts_the_cheapest_tasks() {
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
        let mut harness = harness(1);
        let mut batch = harness::job("batch", BATCH, 2, HALF);
        batch.urgency = case.urgency;
        batch.idempotent = case.idempotent;
        harness.submit(batch);
        harness.decide();
        let mut urgent = harness::job("urgent", BATCH, 1, HALF);
        urgent.urgency = work::Urgency::Urgent;
        harness.submit(urgent);
        let mut modes = Vec::new();
        let mut victim = None;
        for _ in 0..2 {
            for decision in harness.decide() {
                let Decision::Stop { run, mode, .. } = decision else {
                    panic!("{}: {decision:?}", case.name);
                };
                modes.push(mode);
                victim = Some(run);
            }
            harness.now_ms += 400;
        }
        assert_eq!(modes, case.modes, "{}", case.name);
        let Some(victim) = victim else { continue };
        let effect = harness.end(&victim, workers::RunEnd::Checkpointed);
        assert_eq!(
            effect,
            EndEffect::Restart {
                next: ids::Attempt(2)
            }
        );
        let decisions = harness.decide();
        let [Decision::Start { order, .. }] = &decisions[..] else {
            panic!("{}: {decisions:?}", case.name);
        };
        assert_eq!(order.urgency, work::Urgency::Urgent, "{}", case.name);
    }
}

#[test]
fn cancelled_tasks_never_start() {
    const JOBS: u32 = 10_000;
    let mut harness = harness(4);
    for number in 0..JOBS {
        harness.submit(harness::job(&format!("job-{number}"), BATCH, 1, HALF));
    }
    let started = harness.decide().len();
    assert_eq!(started, 8);
    let ids: Vec<_> = harness.works.keys().cloned().collect();
    let dropped: usize = ids.iter().map(|id| harness.cancel(id)).sum();
    assert_eq!(dropped, JOBS as usize - started);
    assert_eq!(
        (harness.group.waiting(), harness.group.running()),
        (0, started)
    );
    assert_eq!(harness.decide().len(), started, "running tasks are stopped");
    for run in running(&harness) {
        assert_eq!(
            harness.end(&run, workers::RunEnd::Stopped),
            EndEffect::Finished
        );
    }
    assert!(harness.decide().is_empty());
    let late = harness.works[0].clone();
    harness.submit((*late).clone());
    assert!(
        harness.decide().is_empty(),
        "a late assignment does not start"
    );
}

#[test]
fn quotas_limit_teams_and_weights_divide_the_rest() {
    let mut harness = harness(32);
    let team = |number: u32| ids::TeamId::new(format!("team-{number}"));
    let small = work::Resources::new(1_000, 2_000, 0);
    harness.group.set_quota(&team(0), Some(small.times(10)), 1);
    harness.group.set_quota(&team(1), None, 2);
    harness.group.set_quota(&team(2), None, 1);
    for number in 0..3 {
        let mut large = harness::job(&format!("flood-{number}"), BATCH, 500, small);
        large.team = team(number);
        harness.submit(large);
    }
    assert_eq!(harness.decide().len(), 256);
    let used = |number: u32| {
        let team = team(number);
        harness
            .runs
            .values()
            .filter(|run| run.order.team == team)
            .count()
    };
    assert_eq!([used(0), used(1), used(2)], [10, 164, 82]);
    let reason = harness
        .group
        .explain(&ids::TaskId::new(&ids::WorkId::new("flood-0"), 499))
        .reason;
    assert!(reason.contains("quota"), "{reason}");
}

#[test]
fn teams_get_their_fair_share_beside_teams_with_long_queues() {
    const TEAMS: u32 = 62;
    const LARGE_TEAMS: u32 = 5;
    let mut harness = harness(62);
    let small = work::Resources::new(400, 800, 0);
    for number in 0..TEAMS {
        let tasks = if number < LARGE_TEAMS { 2_000 } else { 20 };
        let mut run = harness::job(&format!("run-{number}"), BATCH, tasks, small);
        run.team = ids::TeamId::new(format!("team-{number}"));
        harness.submit(run);
    }
    harness
        .group
        .decide(0, 1_240)
        .iter()
        .for_each(|decision| harness.apply(std::slice::from_ref(decision)));
    for number in LARGE_TEAMS..TEAMS {
        let team = ids::TeamId::new(format!("team-{number}"));
        let used = harness
            .runs
            .values()
            .filter(|run| run.order.team == team)
            .count();
        assert!(used >= 19, "{team} got {used} of its share of 20");
    }
}

#[test]
fn replicas_are_spread_over_racks_and_replaced_without_a_gap() {
    let mut harness = harness(8);
    let mut service = harness::job("service", work::WorkKind::Service, 4, HALF);
    service.policy = work::Policy::Spread;
    harness.submit(service);
    harness.decide();
    let racks = |harness: &harness::Harness| {
        let workers = harness
            .runs
            .values()
            .map(|run| harness.workers[&run.worker].rack.clone());
        workers.collect::<indexmap::IndexSet<_>>().len()
    };
    assert_eq!(racks(&harness), 4);
    for run in running(&harness) {
        harness.group.started(&run);
    }
    let leaving = harness.runs[0].worker.clone();
    let old = running(&harness)[0].clone();
    harness
        .group
        .set_worker_state(&leaving, true, harness.now_ms);
    let decisions = harness.decide();
    let [Decision::Start { worker, order }] = &decisions[..] else {
        panic!("the replacement starts before the old replica stops: {decisions:?}");
    };
    assert_ne!(*worker, leaving);
    harness.group.started(&order.run);
    let decisions = harness.decide();
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
        harness.end(&old, workers::RunEnd::Stopped),
        EndEffect::Finished
    );
    assert!(harness.decide().is_empty());
    assert_eq!(harness.runs.len(), 4);
}

#[test]
fn a_large_gang_starts_while_small_tasks_keep_arriving() {
    let mut harness = harness(4);
    harness.submit(harness::job("first", BATCH, 8, HALF));
    harness.decide();
    harness.submit(harness::job("gang", GANG, 4, WHOLE));
    let mut backfilled = 0;
    for round in 0..100_u64 {
        harness.now_ms += 500;
        let mut small = harness::job(&format!("small-{round}"), BATCH, 1, HALF);
        small.run_time_ms = Some(if round % 2 == 0 { 1_000 } else { 60_000 });
        harness.submit(small);
        for decision in harness.decide() {
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
        if let Some(run) = running(&harness).first().filter(|_| round % 3 == 0) {
            harness.end(run, workers::RunEnd::Completed);
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
        let config = harness::config().hand_back_after_ms(Some(5_000));
        let mut harness = harness::Harness::new(1, CAPACITY, config);
        harness.submit(harness::job("running", BATCH, 2, HALF));
        harness.decide();
        let work = harness::job("waiting", BATCH, 1, case.demand);
        harness.submit(work.clone());
        harness.decide();
        let task = ids::TaskId::new(&work.id, 0);
        let explanation = harness.group.explain(&task);
        assert_eq!(explanation.state, TaskState::Waiting, "{}", case.name);
        assert!(
            explanation.reason.contains(case.words),
            "{}: {}",
            case.name,
            explanation.reason
        );
        let runs = [(0, ids::Attempt(1))];
        harness
            .group
            .submit(&work.into(), &runs, Some(ids::ShardId(1)), harness.now_ms);
        harness.now_ms += 5_000;
        let decisions = harness.decide();
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
    let mut harness = harness(1);
    let id = ids::WorkerId::new("w0");
    harness.group.fence_pending(&id, 1_000);
    harness.submit(harness::job("job", BATCH, 1, HALF));
    assert!(harness.decide().is_empty());
    harness.now_ms = 1_000;
    assert_eq!(harness.decide().len(), 1);
}

#[test]
fn built_in_scorers_are_registered() {
    let names = plugin::registered(plugin::Extension::Scorer);
    let names: Vec<_> = names.iter().map(|descriptor| descriptor.name).collect();
    assert_eq!(
        names,
        ["locality", "quick-start", "rack-spread", "tight-packing"]
    );
}

#[test]
fn capacity_freed_by_preemption_is_kept_for_the_urgent_task() {
    let mut harness = harness(1);
    harness.submit(harness::job("batch", BATCH, 4, HALF));
    harness.decide();
    let mut urgent = harness::job("urgent", BATCH, 1, WHOLE);
    urgent.urgency = work::Urgency::Urgent;
    harness.submit(urgent);
    assert_eq!(harness.decide().len(), 2, "both tasks are stopped");
    let victims = running(&harness);
    harness.end(&victims[0], workers::RunEnd::Checkpointed);
    assert!(harness.decide().is_empty(), "the first half stays free");
    harness.end(&victims[1], workers::RunEnd::Checkpointed);
    let decisions = harness.decide();
    assert!(
        matches!(&decisions[..], [Decision::Start { order, .. }] if order.demand == WHOLE),
        "{decisions:?}"
    );
}

#[test]
fn a_replica_replaced_after_a_takeover_uses_no_attempt_twice() {
    let mut harness = harness(3);
    harness.submit(harness::job("service", work::WorkKind::Service, 1, HALF));
    harness.decide();
    let old = running(&harness)[0].clone();
    let leaving = harness.runs[&old].worker.clone();
    harness.group.started(&old);
    harness.group.set_worker_state(&leaving, true, 0);
    harness.decide();
    let replacement = running(&harness)
        .into_iter()
        .find(|run| *run != old)
        .unwrap();
    harness.end(&replacement, workers::RunEnd::Failed);
    harness.take_over(harness::config());
    harness.group.set_worker_state(&leaving, true, 0);
    assert_eq!(harness.decide().len(), 1, "a new replacement starts");
}

#[test]
fn a_task_behind_a_long_queue_of_blocked_work_starts() {
    const BLOCKED: u32 = 3_000;
    let mut harness = harness(1);
    harness.submit(harness::job("running", BATCH, 1, HALF));
    harness.decide();
    for number in 0..BLOCKED {
        harness.submit(harness::job(&format!("blocked-{number}"), BATCH, 1, WHOLE));
    }
    harness.submit(harness::job("small", BATCH, 1, HALF));
    let decisions: usize = (0..20).map(|_| harness.decide().len()).sum();
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
        let mut harness = harness(2);
        let mut changed = harness::job("work", case.kind, 4, WHOLE);
        harness.submit(changed.clone());
        harness.decide();
        let started = running(&harness);
        assert_eq!(started.len(), 2);
        for run in &started {
            harness.group.started(run);
        }
        changed.tasks = 1;
        let changed = std::sync::Arc::new(changed);
        harness.group.submit(&changed, &[], None, harness.now_ms);
        let decisions = harness.group.decide(harness.now_ms, 100);
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
        let effect = harness
            .group
            .ended(last, workers::RunEnd::Failed, 5, harness.now_ms);
        assert_eq!(effect, EndEffect::Finished);
    }
}
