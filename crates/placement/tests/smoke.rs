//! The ordinary path of a batch run, a gang and an urgent task.

use std::sync::Arc;

use hickorychute_placement as placement;
use kernel::ids;
use kernel::work;
use placement::Decision;
use platform::workers;

fn group(workers: u32) -> placement::Group {
    let id = ids::GroupId::new(&ids::ZoneId::new("muc-ost"), 0);
    let mut group = placement::Group::new(placement::GroupConfig::new(id), 7).unwrap();
    for number in 0..workers {
        let spec = placement::WorkerSpec {
            id: ids::WorkerId::new(format!("w{number}")),
            zone: ids::ZoneId::new("muc-ost"),
            rack: ids::RackId::new(format!("r{}", number / 8)),
            capacity: work::Resources::new(16_000, 32_000, 0),
        };
        group.set_worker(&spec, 0);
    }
    group
}

fn job(id: &str, kind: work::WorkKind, tasks: u32, urgency: work::Urgency) -> Arc<work::Work> {
    Arc::new(work::Work {
        id: ids::WorkId::new(id),
        team: ids::TeamId::new("huber"),
        kind,
        tasks,
        demand: work::Resources::new(8_000, 16_000, 0),
        urgency,
        policy: work::Policy::TightPacking,
        run_time_ms: Some(10_000),
        max_attempts: 3,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
    })
}

fn runs(tasks: u32) -> Vec<(u32, ids::Attempt)> {
    (0..tasks).map(|index| (index, ids::Attempt(1))).collect()
}

#[test]
fn urgent_task_displaces_batch_work_after_its_end() {
    let mut group = group(2);
    let batch = job("b", work::WorkKind::BatchRun, 5, work::Urgency::Normal);
    group.submit(&batch, &runs(5), None, 0);
    let starts = group.decide(0, 100);
    assert_eq!(starts.len(), 4);
    for decision in &starts {
        let Decision::Start { order, .. } = decision else {
            panic!("{decision:?}")
        };
        group.started(&order.run);
    }
    let urgent = job("u", work::WorkKind::BatchRun, 1, work::Urgency::Urgent);
    group.submit(&urgent, &runs(1), None, 10);
    let decisions = group.decide(10, 100);
    let [
        Decision::Stop {
            run,
            mode: workers::StopMode::Checkpoint,
            ..
        },
    ] = &decisions[..]
    else {
        panic!("{decisions:?}")
    };
    assert!(group.decide(20, 100).is_empty());
    let effect = group.ended(run, workers::RunEnd::Checkpointed, 20, 30);
    assert_eq!(
        effect,
        placement::EndEffect::Restart {
            next: ids::Attempt(2)
        }
    );
    let decisions = group.decide(30, 100);
    let [Decision::Start { order, .. }] = &decisions[..] else {
        panic!("{decisions:?}")
    };
    assert_eq!(order.run.task.work, urgent.id);
    assert_eq!((group.waiting(), group.running()), (2, 4));
}
