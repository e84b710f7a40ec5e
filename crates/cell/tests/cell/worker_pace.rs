//! Paces of workers, learned from the durations of their runs.

use std::rc::Rc;

use hickorychute_cell::{
    ids::{StepId, TaskId},
    pace_choice::{PaceChoice, StepTime},
    worker_pace::{MeasuredRun, PaceTable, StepDurations},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support;

/// Workers with given paces that execute steps of tasks which differ by up to 30%.
struct Cell {
    names: Vec<Rc<str>>,
    paces: Vec<f64>,
    table: PaceTable,
    random: ChaCha8Rng,
    steps: u64,
    now_ms: u64,
}

impl Cell {
    fn new(paces: &[f64], seed: u64) -> Self {
        Self {
            names: (0..paces.len()).map(|n| format!("w{n}").into()).collect(),
            paces: paces.to_vec(),
            table: PaceTable::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            steps: 0,
            now_ms: 1_000,
        }
    }

    /// Executes a step with one task on each of the given workers. The first task takes `first_factor`
    /// times as long as it otherwise would.
    fn execute(&mut self, workers: &[usize], first_factor: f64) {
        self.steps += 1;
        let step_ms = self.random.random_range(500.0..3_000.0);
        let mut runs: Vec<(u64, usize, u32)> = Vec::new();
        for (index, &worker) in workers.iter().enumerate() {
            let mut total_ms = step_ms * self.paces[worker] * self.random.random_range(0.7..1.3);
            if index == 0 {
                total_ms *= first_factor;
            }
            runs.push((total_ms as u64, worker, index as u32));
        }
        runs.sort_unstable();
        let mut durations = StepDurations::default();
        let step = StepId {
            job: support::id(self.steps),
            occurrence: 0,
            step: 0,
        };
        for (total_ms, worker, index) in runs {
            let run = MeasuredRun {
                worker: &self.names[worker],
                task: TaskId { step, index },
                run: 1,
                total_ms,
            };
            self.table.record(&mut durations, run, self.now_ms);
        }
    }

    /// Executes steps of three tasks on random workers, until each worker has had `runs` of them on
    /// average.
    fn execute_runs(&mut self, runs: usize) {
        for _ in 0..(self.names.len() * runs).div_ceil(3) {
            let workers = [(); 3].map(|()| self.random.random_range(0..self.names.len()));
            self.execute(&workers, 1.0);
            if self.steps.is_multiple_of(50) {
                self.refresh();
            }
        }
        self.refresh();
    }

    fn refresh(&mut self) {
        self.now_ms += 1_000;
        assert!(self.table.refresh(self.now_ms, |_| true));
    }

    fn percent(&self, worker: usize) -> u32 {
        self.table.percent(&self.names[worker]).unwrap_or(100)
    }
}

/// `count` workers, of which every `divisor`th has the second pace.
fn mixed(count: usize, divisor: usize, paces: (f64, f64)) -> Vec<f64> {
    (0..count)
        .map(|n| if n % divisor == 0 { paces.1 } else { paces.0 })
        .collect()
}

/// Guards against workers that are told apart by the noise of their tasks, which would change the
/// placement of equal workers.
#[test]
fn equal_workers_have_equal_paces() {
    for (count, seed) in [(3, 1), (3, 2), (12, 3), (12, 4), (60, 5), (350, 6)] {
        let mut cell = Cell::new(&vec![1.0; count], seed);
        for round in 0..40 {
            cell.execute_runs(5);
            for worker in 0..count {
                assert_eq!(
                    cell.percent(worker),
                    100,
                    "{count} workers, round {round}, {:?}",
                    cell.table.summary()
                );
            }
        }
        assert_eq!(cell.table.summary(), None, "{count} workers");
    }
}

#[test]
fn typical_cells_are_learned_from_a_few_runs() {
    struct Case {
        name: &'static str,
        paces: Vec<f64>,
        runs: usize,
        /// Share of the workers whose pace must be known, in percent.
        right_percent: usize,
    }
    let cases = [
        Case {
            name: "a quarter slow, first minute",
            paces: mixed(350, 4, (0.85, 1.6)),
            runs: 10,
            right_percent: 85,
        },
        Case {
            name: "a quarter slow",
            paces: mixed(350, 4, (0.85, 1.6)),
            runs: 40,
            right_percent: 97,
        },
        Case {
            name: "a third slow",
            paces: mixed(60, 3, (0.85, 1.6)),
            runs: 40,
            right_percent: 95,
        },
        Case {
            name: "a third slightly slow",
            paces: mixed(60, 3, (1.0, 1.3)),
            runs: 60,
            right_percent: 80,
        },
    ];
    for case in cases {
        let mut cell = Cell::new(&case.paces, 7);
        cell.execute_runs(case.runs);
        let slowest = case.paces.iter().copied().fold(0.0, f64::max);
        let is_right = |worker: &usize| {
            let is_slow = case.paces[*worker] >= slowest;
            (cell.percent(*worker) > 100) == is_slow
        };
        let count = case.paces.len();
        let right = (0..count).filter(is_right).count();
        assert!(
            right * 100 >= case.right_percent * count,
            "{}: {right} of {count}: {:?}",
            case.name,
            cell.table.summary()
        );
    }
}

/// Guards against comparing the runs of slow workers only with each other: those of a wide step end last,
/// all together.
#[test]
fn slow_workers_of_wide_steps_are_learned() {
    let paces = mixed(24, 3, (0.85, 1.6));
    let mut cell = Cell::new(&paces, 12);
    let workers: Vec<usize> = (0..24).collect();
    for _ in 0..12 {
        cell.execute(&workers, 1.0);
        cell.refresh();
    }
    let percents: Vec<u32> = (0..24).map(|worker| cell.percent(worker)).collect();
    for (percent, pace) in percents.iter().zip(&paces) {
        assert_eq!(*percent > 100, *pace > 1.0, "{percents:?}");
    }
}

/// Guards against single tasks that take far longer than the others of their step.
#[test]
fn outliers_do_not_make_a_worker_slow() {
    let mut cell = Cell::new(&mixed(30, 3, (0.85, 1.6)), 8);
    cell.execute_runs(30);
    assert_eq!(cell.percent(1), 100);
    let others = [2, 4, 5];
    for round in 0..6 {
        cell.execute(&[1, 4, 5], 7.0);
        cell.refresh();
        assert_eq!(cell.percent(1), 100, "round {round} {:?}", cell.table);
        for _ in 0..2 {
            cell.execute(&[1, 2, 4], 1.0);
        }
        cell.refresh();
        assert_eq!(cell.percent(1), 100, "round {round} {:?}", cell.table);
        for other in others {
            assert_eq!(cell.percent(other), 100, "round {round}");
        }
    }
}

#[test]
fn a_changed_pace_is_learned_again_within_a_few_runs() {
    struct Case {
        name: &'static str,
        from: f64,
        to: f64,
    }
    let cases = [
        Case {
            name: "becomes slow",
            from: 0.85,
            to: 1.6,
        },
        Case {
            name: "becomes fast",
            from: 1.6,
            to: 0.85,
        },
    ];
    for case in cases {
        let mut needed: Vec<u64> = (0..20)
            .map(|seed| {
                let mut paces = mixed(30, 3, (0.85, 1.6));
                paces[1] = case.from;
                let mut cell = Cell::new(&paces, 100 + seed);
                cell.execute_runs(40);
                assert_eq!(cell.percent(1) > 110, case.from > 1.0, "{}", case.name);
                cell.paces[1] = case.to;
                let mut runs = 0;
                while (cell.percent(1) > 110) != (case.to > 1.0) {
                    runs += 1;
                    let others = [(); 2].map(|()| cell.random.random_range(2..30));
                    cell.execute(&[1, others[0], others[1]], 1.0);
                    cell.refresh();
                }
                runs
            })
            .collect();
        needed.sort_unstable();
        assert!(
            needed[10] <= 6 && needed[19] <= 12,
            "{}: {needed:?}",
            case.name
        );
    }
}

/// Guards against an estimate that outlives its reason, and against a table that grows for ever.
#[test]
fn paces_age_and_lost_workers_are_forgotten() {
    let mut cell = Cell::new(&mixed(12, 3, (0.85, 1.6)), 10);
    cell.execute_runs(40);
    assert!(cell.percent(0) > 100);
    cell.now_ms += 1_000_000;
    cell.refresh();
    assert_eq!(cell.percent(0), 100, "all measurements are old");
    cell.execute_runs(40);
    assert!(cell.percent(0) > 100);
    cell.now_ms += 1_000;
    cell.table.refresh(cell.now_ms, |worker| worker != "w0");
    assert_eq!(cell.table.percent("w0"), None);
}

#[test]
fn inherited_paces_hold_until_others_are_measured() {
    let names: Vec<Rc<str>> = (0..9).map(|n| format!("w{n}").into()).collect();
    let mut cell = Cell::new(&mixed(9, 3, (1.6, 0.85)), 11);
    for (number, name) in names.iter().enumerate() {
        let percent = if number % 3 == 0 { 195 } else { 100 };
        cell.table.inherit(name, percent);
    }
    cell.refresh();
    assert_eq!(cell.percent(0), 195);
    assert_eq!(cell.percent(1), 100);
    // In fact the others are the slow ones.
    cell.execute_runs(40);
    let percents: Vec<u32> = (0..9).map(|worker| cell.percent(worker)).collect();
    assert!(cell.percent(0) < cell.percent(1), "{percents:?}");
    cell.table.forget("w0");
    assert_eq!(cell.table.percent("w0"), None, "another process");
}

#[test]
fn work_near_its_objective_goes_to_fast_workers() {
    struct Case {
        name: &'static str,
        remaining_ms: u64,
        left_ms: Option<u64>,
        choice: PaceChoice,
    }
    let cases = [
        Case {
            name: "short urgent job",
            remaining_ms: 640,
            left_ms: Some(1_560),
            choice: PaceChoice::Fast,
        },
        Case {
            name: "batch with slack",
            remaining_ms: 2_200,
            left_ms: Some(11_800),
            choice: PaceChoice::Slow,
        },
        Case {
            name: "the same batch after a long wait",
            remaining_ms: 2_200,
            left_ms: Some(5_000),
            choice: PaceChoice::Fast,
        },
        Case {
            name: "nothing left to lose",
            remaining_ms: 640,
            left_ms: None,
            choice: PaceChoice::Slow,
        },
    ];
    for case in cases {
        let time = StepTime {
            remaining_ms: case.remaining_ms,
            left_ms: case.left_ms,
            slowest_percent: 195,
        };
        assert_eq!(time.choice(), case.choice, "{}", case.name);
    }
}
