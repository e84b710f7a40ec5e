//! Pattern: tasks that fill beside tasks that serve their own users.

use hickorychute_cell::{
    jobs::{JobSpec, StepSpec},
    pacing::BestEffortShare,
};

use crate::support::{self, Fate, Model};

/// A serving task must not be over its target for longer, in milliseconds.
const HARM_MS: u64 = 4_000;

#[test]
fn the_share_falls_fast_and_rises_slowly() {
    struct Case {
        name: &'static str,
        /// Time and highest tail against its target of each list.
        lists: &'static [(u64, Option<f64>)],
        percent: u32,
    }
    let cases = [
        Case {
            name: "nothing serves",
            lists: &[(1_000, None)],
            percent: 100,
        },
        Case {
            name: "calm",
            lists: &[(1_000, Some(0.5))],
            percent: 100,
        },
        Case {
            name: "near the target",
            lists: &[(1_000, Some(1.0))],
            percent: 50,
        },
        Case {
            name: "a change must show before the next cut",
            lists: &[(1_000, Some(1.0)), (1_300, Some(1.0))],
            percent: 50,
        },
        Case {
            name: "still near the target",
            lists: &[(1_000, Some(1.0)), (1_700, Some(1.0)), (2_400, Some(1.0))],
            percent: 0,
        },
        Case {
            name: "far over the target",
            lists: &[(1_000, Some(1.5))],
            percent: 0,
        },
        Case {
            name: "calm again, in steps",
            lists: &[
                (1_000, Some(1.5)),
                (1_500, Some(0.3)),
                (2_500, Some(0.3)),
                (3_000, Some(0.3)),
                (4_000, Some(0.3)),
            ],
            percent: 30,
        },
        Case {
            name: "neither calm nor near",
            lists: &[(1_000, Some(1.0)), (5_000, Some(0.7))],
            percent: 50,
        },
        Case {
            name: "what served has gone",
            lists: &[(1_000, Some(1.5)), (1_100, None)],
            percent: 100,
        },
    ];
    for case in cases {
        let mut share = BestEffortShare::default();
        for &(now_ms, pressure) in case.lists {
            share = share.next(pressure, now_ms);
        }
        assert_eq!(share.percent, case.percent, "{}", case.name);
    }
}

fn serving(model: &mut Model) {
    let step = StepSpec {
        long_running: true,
        target_ms: 100,
        ..support::step(1, 2_000, 0)
    };
    model.submit(support::job(1, "urgent", vec![step]));
    model.run_ms(300);
}

fn filling(id: u64, count: u32) -> hickorychute_cell::jobs::JobRecord {
    let step = StepSpec {
        fills: true,
        ..support::step(count, 1_000, 30_000)
    };
    let mut record = support::job(id, "batch", vec![step]);
    let spec = record.spec.get_or_insert_with(JobSpec::default);
    "filling".clone_into(&mut spec.payload);
    record
}

#[test]
fn a_serving_task_is_not_over_its_target_for_long() {
    struct Case {
        name: &'static str,
        takeover: bool,
    }
    let cases = [
        Case {
            name: "one coordinator",
            takeover: false,
        },
        Case {
            name: "a successor that does not know the shares",
            takeover: true,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 1);
        serving(&mut model);
        model.submit(filling(2, 6));
        let mut over_since_ms = None;
        for round in 0..400 {
            model.run_ms(50);
            if case.takeover && round == 60 {
                model.take_over();
            }
            let (_, worker) = model.workers.get_index(0).expect("there is one");
            if worker.tail_ms() <= 100 {
                over_since_ms = None;
                continue;
            }
            let since_ms = *over_since_ms.get_or_insert(model.now_ms);
            assert!(model.now_ms - since_ms < HARM_MS, "{}", case.name);
        }
        assert!(
            model.tasks_on(0).len() > 1,
            "{}: filling goes on",
            case.name
        );
    }
}

#[test]
fn filling_at_its_full_share_again_once_nothing_serves() {
    let mut model = Model::new(support::config(), 1);
    serving(&mut model);
    model.submit(filling(2, 6));
    model.run_ms(2_000);
    let unix_ms = support::START_UNIX_MS;
    assert!(model.coordinator.request_cancel(support::id(1), unix_ms));
    model.run_ms(2_000);
    // Six tasks at their full share disturb as much as they can.
    let (_, worker) = model.workers.get_index(0).expect("there is one");
    assert_eq!(worker.tail_ms(), 200);
}

#[test]
fn a_lasting_task_runs_again_however_often_it_fails() {
    let mut model = Model::new(support::config(), 2);
    let step = StepSpec {
        long_running: true,
        ..support::step(1, 1_000, 0)
    };
    model.set_fate(0, Fate::Fails);
    model.set_fate(1, Fate::Fails);
    model.submit(support::job(1, "urgent", vec![step]));
    model.run_ms(20_000);
    assert!(model.starts > 4, "{}", model.starts);
    model.set_fate(0, Fate::Sound);
    model.set_fate(1, Fate::Sound);
    model.run_ms(10_000);
    let present: usize = (0..2).map(|number| model.tasks_on(number).len()).sum();
    assert_eq!(present, 1);
}
