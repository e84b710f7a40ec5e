//! Runs with one guard disabled, in which the checker must find the corresponding violation.

use checker::Violation;
use hickorychute_histories::{FaultKind, Guard, HistoryOutcome, Plan, run, run_without};

/// Number of seeds tried per guard; the test fails if none of them shows a violation.
const SEEDS: u64 = 12;

struct Case {
    guard: Guard,
    faults: &'static [FaultKind],
    is_expected: fn(&Violation) -> bool,
}

impl Case {
    /// Runs seeds until a violation is found, then repeats that seed with the guard enabled.
    ///
    /// Fails the test if no violation is found without the guard, or if one is found with it.
    fn assert_guard_is_needed(&self) {
        let guard = self.guard;
        let found = (0..SEEDS).find_map(|seed| {
            let plan = Plan::of(seed, self.faults);
            let found = self.violation_in(run_without(guard, &plan));
            found.map(|violation| (plan, violation))
        });
        let (plan, violation) = found.expect("a violation without the guard");
        println!("without {guard}, seed {}: {violation}", plan.seed);
        let guarded = self.violation_in(run(&plan));
        assert_eq!(guarded, None, "with {guard}, seed {}", plan.seed);
    }

    fn violation_in(&self, outcome: HistoryOutcome) -> Option<Violation> {
        outcome.violations.into_iter().find(self.is_expected)
    }
}

#[test]
fn without_worker_epochs_single_runs_break() {
    let case = Case {
        guard: Guard::WorkerEpoch,
        faults: &[
            FaultKind::PauseHost,
            FaultKind::PauseHost,
            FaultKind::KillHost,
        ],
        is_expected: |violation| {
            matches!(
                violation,
                Violation::Overlap { .. }
                    | Violation::CompletedTwice { .. }
                    | Violation::OverSlots { .. }
                    | Violation::StaleEpochObeyed { .. }
            )
        },
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_task_leases_single_runs_break() {
    let case = Case {
        guard: Guard::TaskLease,
        faults: &[FaultKind::WorkerUnreachable, FaultKind::WorkerUnreachable],
        is_expected: |violation| {
            matches!(
                violation,
                Violation::Overlap { .. } | Violation::CompletedTwice { .. }
            )
        },
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_store_conditions_accepted_releases_break() {
    let case = Case {
        guard: Guard::StoreCondition,
        faults: &[FaultKind::OperatorsRace, FaultKind::OperatorsRace],
        is_expected: |violation| {
            matches!(
                violation,
                Violation::ReleaseAcceptedTwice { .. } | Violation::ReleaseReverted { .. }
            )
        },
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_store_conditions_accepted_work_breaks() {
    let case = Case {
        guard: Guard::StoreCondition,
        faults: &[
            FaultKind::PauseHost,
            FaultKind::KillHost,
            FaultKind::PauseHost,
        ],
        is_expected: |violation| {
            matches!(
                violation,
                Violation::WorkLost { .. }
                    | Violation::RanTwice { .. }
                    | Violation::CompletedTwice { .. }
                    | Violation::Overlap { .. }
            )
        },
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_claims_at_most_one_run_breaks() {
    let case = Case {
        guard: Guard::Claim,
        faults: &[],
        is_expected: |violation| matches!(violation, Violation::RanTwice { .. }),
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_answer_matching_own_answers_break() {
    let case = Case {
        guard: Guard::AnswerMatch,
        faults: &[],
        is_expected: |violation| matches!(violation, Violation::CrossedAnswer { .. }),
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_answer_loss_detection_not_run_breaks() {
    let case = Case {
        guard: Guard::AnswerLoss,
        faults: &[FaultKind::UpstreamAnswersLost, FaultKind::KillWorker],
        is_expected: |violation| {
            matches!(
                violation,
                Violation::NotRunButRan { .. } | Violation::RanTwice { .. }
            )
        },
    };
    case.assert_guard_is_needed();
}

#[test]
fn without_leaving_signals_no_new_work_breaks() {
    let case = Case {
        guard: Guard::LeavingSignal,
        faults: &[FaultKind::WorkerLeaves, FaultKind::WorkerLeaves],
        is_expected: |violation| matches!(violation, Violation::WorkToLeaving { .. }),
    };
    case.assert_guard_is_needed();
}
