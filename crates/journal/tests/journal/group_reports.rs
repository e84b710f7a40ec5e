//! Reports of the owners of groups, and which owner may report.

use hickorychute_journal as journal;
use journal::{Record, ShardState};
use kernel::ids;
use platform::workers;
use proptest::prelude::{Strategy, prop_oneof};

use crate::state::{
    TASKS, WORKS, apply_all, assigned, ended, ends, entry, name, opened, released, run_of,
};

/// What a group reports: an end, or a run that it has not started.
pub(crate) fn reported() -> impl Strategy<Value = Record> {
    let run = (0..WORKS, 0..TASKS, 1..5_u32);
    prop_oneof![
        (run.clone(), ends()).prop_map(|((work, task, attempt), end)| Record::Ended {
            run: ids::TaskAttempt {
                task: ids::TaskId::new(&name(work), task),
                attempt: ids::Attempt(attempt),
            },
            end,
        }),
        run.prop_map(|(work, task, attempt)| Record::HandedBack {
            work: name(work),
            runs: vec![run_of(task, attempt)],
        }),
    ]
}

#[test]
fn a_group_that_restarts_cancelled_work_keeps_the_job_open() {
    let mut state = opened();
    let restarted = Record::Restarted {
        work: "w".into(),
        runs: vec![run_of(0, 2)],
        group: ids::GroupId::new(&"z".into(), 0),
    };
    let records = vec![
        released("w", 1, 1),
        assigned(vec![run_of(0, 1)]),
        released("w", 1, 2),
    ];
    apply_all(&mut state, records);
    // Both records are in one entry, as when a group's report is journaled.
    let report = vec![ended(0, 1, workers::RunEnd::Failed), restarted];
    let batch = state.seq();
    state.apply_entry(&entry(batch, report)).unwrap();
    assert!(state.tasks_to_assign(10).is_empty());
    apply_all(&mut state, vec![ended(0, 2, workers::RunEnd::Stopped)]);
    assert_eq!(state.tasks_to_assign(10)[0].runs, [run_of(0, 3)]);
}

// Guards against a second run of a task that an earlier owner of its group hands back late.
#[test]
fn only_the_latest_owner_of_a_group_reports_runs() {
    struct Case {
        name: &'static str,
        /// Epochs recorded for the group before the report.
        recorded: Vec<u64>,
        /// Epoch of the reporting owner.
        reporter: u64,
        accepted: bool,
    }
    let case = |name, recorded: &[u64], reporter, accepted| Case {
        name,
        recorded: recorded.to_vec(),
        reporter,
        accepted,
    };
    let cases = [
        case("the owner", &[1], 1, true),
        case("an earlier owner", &[1, 2], 1, false),
        case("the later owner", &[1, 2], 2, true),
        case("an epoch recorded late", &[2, 1], 1, false),
        case("a later owner, not recorded yet", &[1], 2, true),
        case("no owner recorded, as in older journals", &[], 1, true),
    ];
    let group = || ids::GroupId::new(&"z".into(), 0);
    let handed_back = || Record::HandedBack {
        work: "w".into(),
        runs: vec![run_of(0, 1)],
    };
    let stopped = || ended(0, 1, workers::RunEnd::Stopped);
    for case in cases {
        for report in [handed_back(), stopped()] {
            let mut state = opened();
            let mut records = vec![released("w", 1, 1), assigned(vec![run_of(0, 1)])];
            records.extend(case.recorded.iter().map(|&epoch| Record::GroupEpoch {
                group: group(),
                epoch: ids::Epoch(epoch),
            }));
            apply_all(&mut state, records);
            let mut restored = {
                let snapshot = state.snapshot().unwrap();
                ShardState::restore(&snapshot, *state.limits()).unwrap()
            };
            for state in [&mut state, &mut restored] {
                let reported = Record::Reported {
                    group: group(),
                    epoch: ids::Epoch(case.reporter),
                    records: vec![report.clone()],
                };
                let applied = apply_all(state, vec![reported]);
                assert_eq!(applied[0].is_changed(), case.accepted, "{}", case.name);
                let waits = !state.tasks_to_assign(10).is_empty();
                assert_eq!(waits, case.accepted, "{}: {report:?}", case.name);
            }
        }
    }
}
