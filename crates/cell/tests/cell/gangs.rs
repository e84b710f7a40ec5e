//! Gangs: all members run, or none.

use hickorychute_cell::jobs::JobState;

use crate::support::{self, Model, WorkerMode};

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    struct Case {
        name: &'static str,
        members: u32,
        cpu_millicores: u64,
        starts: u64,
    }
    let cases = [
        Case {
            name: "fills the cell exactly",
            members: 6,
            cpu_millicores: 8_000,
            starts: 6,
        },
        Case {
            name: "one too many",
            members: 7,
            cpu_millicores: 8_000,
            starts: 0,
        },
        Case {
            name: "member larger than a worker",
            members: 1,
            cpu_millicores: 17_000,
            starts: 0,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 3);
        let gang = support::gang(case.members, case.cpu_millicores, 5_000);
        model.submit(support::job(1, "gang", vec![gang]));
        model.run_ms(1_000);
        assert_eq!(model.starts, case.starts, "{}", case.name);
    }
}

/// Members that have completed their part wait at 100 percent for the slowest one. Guards against
/// treating them as hung, which occurred with wide gangs.
#[test]
fn gang_members_that_completed_their_part_are_not_hung() {
    let mut model = Model::new(support::config(), 3);
    model.submit(support::job(
        1,
        "gang",
        vec![support::gang(6, 7_000, 9_000)],
    ));
    model.run_ms(9_500);
    assert_eq!(model.state(1), Some(JobState::Completed));
    assert_eq!(model.starts, 6);
}

#[test]
fn a_gang_that_loses_a_member_runs_again_as_a_whole() {
    let mut model = Model::new(support::config(), 4);
    model.submit(support::job(
        1,
        "gang",
        vec![support::gang(6, 8_000, 2_000)],
    ));
    model.run_ms(500);
    model.set_mode(0, WorkerMode::Down);
    model.run_ms(16_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// A wide gang competes with a stream of small tasks that would fill every gap.
#[test]
fn a_wide_gang_is_not_starved_by_small_tasks() {
    let mut model = Model::new(support::config(), 12);
    for number in 0..60 {
        model.submit(support::job(
            1_000 + number,
            "batch",
            vec![support::step(10, 1_000, 1_500)],
        ));
    }
    model.run_ms(300);
    model.submit(support::job(
        1,
        "gang",
        vec![support::gang(8, 8_000, 1_000)],
    ));
    for number in 0..40 {
        model.submit(support::job(
            2_000 + number,
            "batch",
            vec![support::step(10, 1_000, 1_500)],
        ));
        model.run_ms(100);
    }
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Steps that do not fit precede a wide gang, and a stream of small tasks follows it. Steps for
/// which no workers are reserved must not use up the reservation attempts of a pass.
#[test]
fn workers_are_reserved_for_a_wide_gang_behind_steps_that_do_not_fit() {
    let mut model = Model::new(support::config(), 12);
    for number in 0..400 {
        let steps = vec![support::step(4, 4_000, 700 + number % 7 * 90)];
        model.submit(support::job(1_000 + number, "batch", steps));
    }
    model.run_ms(300);
    for number in 0..20 {
        let mut step = support::step(1, 1_000, 6_000);
        "kind-that-is-away".clone_into(&mut step.required_label);
        model.submit(support::job(100 + number, "urgent", vec![step]));
    }
    model.submit(support::job(
        1,
        "gang",
        vec![support::gang(4, 9_000, 4_000)],
    ));
    model.run_ms(6_000);
    assert_eq!(model.state(1), Some(JobState::Running));
}
