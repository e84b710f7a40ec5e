//! Workers that are cut off, restart, answer late, fail or stall everything.

use hickorychute_cell::jobs::JobState;

use crate::support::{self, Fate, HeldUp, Model};

#[test]
fn work_is_done_in_spite_of_a_bad_worker() {
    struct Case {
        name: &'static str,
        fate: Fate,
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "sound",
            fate: Fate::Sound,
            within_ms: 4_000,
        },
        Case {
            name: "fails all",
            fate: Fate::Fails,
            within_ms: 12_000,
        },
        Case {
            name: "stalls all",
            fate: Fate::Stalls,
            within_ms: 15_000,
        },
        Case {
            name: "cut off",
            fate: Fate::CutOff,
            within_ms: 15_000,
        },
        Case {
            name: "carries starts out late",
            fate: Fate::Late(3_000),
            within_ms: 15_000,
        },
        Case {
            name: "carries starts out soon after",
            fate: Fate::Late(700),
            within_ms: 15_000,
        },
        Case {
            name: "down",
            fate: Fate::Down,
            within_ms: 15_000,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 4);
        model.submit(support::job(
            1,
            "batch",
            vec![support::step(20, 1_500, 900)],
        ));
        model.run_ms(200);
        model.set_fate(2, case.fate);
        model.submit(support::job(
            2,
            "batch",
            vec![support::step(20, 1_500, 900)],
        ));
        model.run_ms(case.within_ms);
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
        assert_eq!(model.state(2), Some(JobState::Completed), "{}", case.name);
    }
}

#[test]
fn a_worker_that_restarts_under_its_name_runs_nothing_of_before() {
    let mut model = Model::new(support::config(), 2);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(8, 3_000, 2_000)],
    ));
    for _ in 0..3 {
        model.run_ms(700);
        model.restart_worker(0, HeldUp::InProcess);
    }
    model.run_ms(8_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn a_late_start_at_a_restarted_worker_is_stopped() {
    let mut model = Model::new(support::config(), 2);
    model.set_fate(0, Fate::Late(1_500));
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(8, 3_000, 2_500)],
    ));
    model.run_ms(200);
    model.restart_worker(0, HeldUp::OnTheWay);
    model.run_ms(400);
    model.set_fate(0, Fate::Sound);
    // The model asserts that no task runs twice.
    model.run_ms(15_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn a_worker_that_fails_everything_rests() {
    let mut model = Model::new(support::config(), 4);
    model.set_fate(0, Fate::Fails);
    for number in 0..12 {
        model.submit(support::job(
            number,
            "batch",
            vec![support::step(4, 1_000, 600)],
        ));
        model.run_ms(250);
    }
    model.run_ms(8_000);
    for number in 0..12 {
        assert_eq!(
            model.state(number),
            Some(JobState::Completed),
            "job {number}"
        );
    }
}
