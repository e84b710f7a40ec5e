//! Workers whose capacity shrinks and grows while they run.

use hickorychute_cell::jobs::JobState;

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
