//! Workers whose capacity shrinks and grows while they run.

use std::rc::Rc;

use hickorychute_cell::{coordinator::Order, jobs::JobState, workers::HoldReport};

use crate::support::{self, Model};

/// What happens while a worker is small.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    Takeover,
    StoreAway,
}

/// Guards against LIMIT: the model asserts at each start that the worker has room for it, with what
/// still runs there.
#[test]
fn no_start_exceeds_a_capacity_that_shrinks_and_grows() {
    struct Case {
        name: &'static str,
        /// CPU capacity of all workers after each span of time, in thousandths of a core.
        capacities: &'static [u64],
        trouble: Trouble,
    }
    let shrinking: &[u64] = &[8_000, 3_000, 0, 3_000, 16_000];
    let cases = [
        Case {
            name: "shrinks and grows",
            capacities: shrinking,
            trouble: Trouble::Nothing,
        },
        Case {
            name: "below what runs, and back",
            capacities: &[500, 16_000, 500, 16_000],
            trouble: Trouble::Nothing,
        },
        Case {
            name: "over takeovers",
            capacities: shrinking,
            trouble: Trouble::Takeover,
        },
        Case {
            name: "over outages of the store",
            capacities: shrinking,
            trouble: Trouble::StoreAway,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 4);
        let mut jobs = 0;
        let submit = |model: &mut Model, jobs: &mut u64| {
            let steps = [
                support::step(9, 1_500, 700),
                support::gang(3, 2_500, 900),
                support::step(2, 6_000, 1_300),
            ];
            for step in steps {
                model.submit(support::job(*jobs, "batch", vec![step]));
                *jobs += 1;
            }
        };
        for &cpu_millicores in case.capacities {
            submit(&mut model, &mut jobs);
            model.run_ms(400);
            for worker in 0..4 {
                model.resize_worker(worker, cpu_millicores);
            }
            submit(&mut model, &mut jobs);
            match case.trouble {
                Trouble::Nothing => {}
                Trouble::Takeover => model.take_over(),
                Trouble::StoreAway => {
                    model.store_up = false;
                    model.run_ms(2_500);
                    model.store_up = true;
                }
            }
            model.run_ms(1_500);
        }
        model.run_ms(90_000);
        for number in 0..jobs {
            assert_eq!(
                model.state(number),
                Some(JobState::Completed),
                "{}: job {number}",
                case.name
            );
        }
    }
}

/// Guards against LIMIT: a worker starts again under its identifier with less capacity, and its report
/// arrives before its entry. It was filled according to the entry of its former process.
#[test]
fn a_later_process_is_used_according_to_its_own_entry() {
    struct Case {
        name: &'static str,
        /// Start of the process that reports, after that of the first entry, in milliseconds.
        report_ms: u64,
        /// The same for the latest entry; absent if it does not tell.
        entry_ms: Option<u64>,
        entry_millicores: u64,
        starts: usize,
    }
    let cases = [
        Case {
            name: "the same process",
            report_ms: 0,
            entry_ms: Some(0),
            entry_millicores: 16_000,
            starts: 16,
        },
        Case {
            name: "a later process, entry of the former",
            report_ms: 500,
            entry_ms: Some(0),
            entry_millicores: 16_000,
            starts: 0,
        },
        Case {
            name: "a later process, its own entry",
            report_ms: 500,
            entry_ms: Some(500),
            entry_millicores: 4_000,
            starts: 4,
        },
        Case {
            name: "an entry without a start",
            report_ms: 500,
            entry_ms: None,
            entry_millicores: 4_000,
            starts: 4,
        },
    ];
    for case in cases {
        let mut coordinator = support::coordinator(support::config());
        let first = support::entry(0);
        let id = Rc::clone(&first.id);
        coordinator.update_worker(first.clone());
        coordinator.roster_durable(&[Rc::clone(&id)]);
        let report = |started_ms: u64| HoldReport {
            clock_ms: 1_000,
            started_unix_ms: support::START_UNIX_MS + started_ms,
            ..HoldReport::default()
        };
        let unix_ms = support::START_UNIX_MS;
        coordinator.hold_answered(&id, 0, 10, unix_ms, &report(0));
        let mut entry = first;
        entry.started_unix_ms = case.entry_ms.map_or(0, |ms| unix_ms + ms);
        entry.capacity.cpu_millicores = case.entry_millicores;
        coordinator.update_worker(entry);
        coordinator.hold_answered(&id, 600, 610, unix_ms + 600, &report(case.report_ms));
        let job = support::job(1, "batch", vec![support::step(30, 1_000, 5_000)]);
        coordinator.add_job(&job, false, unix_ms + 600);
        let orders = coordinator.schedule(620, unix_ms + 620);
        let is_start = |order: &&Order| matches!(order, Order::Start { .. });
        let starts = orders.iter().filter(is_start).count();
        assert_eq!(starts, case.starts, "{}", case.name);
    }
}
