//! Runs from which one guard was taken away: the checker must find the promise broken.

use checker::Violation;
use hickorychute_histories::{FaultKind, Guard, HistoryOutcome, Plan, run, run_without};

/// Seeds after which a missing guard that showed nothing counts as not needed.
const SEEDS: u64 = 12;

struct Case {
    guard: Guard,
    faults: &'static [FaultKind],
    breaks: fn(&Violation) -> bool,
}

impl Case {
    /// Runs seeds until the promise is seen broken, and the same seed with the guard in place.
    ///
    /// Fails the test if the promise is never broken without the guard, or broken with it.
    fn assert_breaks(&self) {
        let guard = self.guard;
        let broken = (0..SEEDS).find_map(|seed| {
            let plan = Plan::of(seed, self.faults);
            let found = self.broken(run_without(guard, &plan));
            found.map(|violation| (plan, violation))
        });
        let (plan, violation) = broken.expect("a broken promise");
        println!("without {guard}, seed {}: {violation}", plan.seed);
        let guarded = self.broken(run(&plan));
        assert_eq!(guarded, None, "with {guard}, seed {}", plan.seed);
    }

    fn broken(&self, outcome: HistoryOutcome) -> Option<Violation> {
        outcome.violations.into_iter().find(self.breaks)
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
        breaks: |violation| {
            matches!(
                violation,
                Violation::Overlap { .. }
                    | Violation::CompletedTwice { .. }
                    | Violation::OverSlots { .. }
                    | Violation::StaleEpochObeyed { .. }
            )
        },
    };
    case.assert_breaks();
}

#[test]
fn without_task_leases_single_runs_break() {
    let case = Case {
        guard: Guard::TaskLease,
        faults: &[FaultKind::WorkerUnreachable, FaultKind::WorkerUnreachable],
        breaks: |violation| {
            matches!(
                violation,
                Violation::Overlap { .. } | Violation::CompletedTwice { .. }
            )
        },
    };
    case.assert_breaks();
}

#[test]
fn without_store_conditions_accepted_releases_break() {
    let case = Case {
        guard: Guard::StoreCondition,
        faults: &[FaultKind::OperatorsRace, FaultKind::OperatorsRace],
        breaks: |violation| {
            matches!(
                violation,
                Violation::ReleaseAcceptedTwice { .. } | Violation::ReleaseReverted { .. }
            )
        },
    };
    case.assert_breaks();
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
        breaks: |violation| {
            matches!(
                violation,
                Violation::WorkLost { .. }
                    | Violation::RanTwice { .. }
                    | Violation::CompletedTwice { .. }
                    | Violation::Overlap { .. }
            )
        },
    };
    case.assert_breaks();
}

#[test]
fn without_claims_at_most_one_run_breaks() {
    let case = Case {
        guard: Guard::Claim,
        faults: &[],
        breaks: |violation| matches!(violation, Violation::RanTwice { .. }),
    };
    case.assert_breaks();
}

#[test]
fn without_answer_matching_own_answers_break() {
    let case = Case {
        guard: Guard::AnswerMatch,
        faults: &[],
        breaks: |violation| matches!(violation, Violation::CrossedAnswer { .. }),
    };
    case.assert_breaks();
}

#[test]
fn without_telling_lost_answers_apart_not_run_breaks() {
    let case = Case {
        guard: Guard::AnswerLoss,
        faults: &[FaultKind::UpstreamAnswersLost, FaultKind::KillWorker],
        breaks: |violation| {
            matches!(
                violation,
                Violation::NotRunButRan { .. } | Violation::RanTwice { .. }
            )
        },
    };
    case.assert_breaks();
}

#[test]
fn without_leaving_signals_no_new_work_breaks() {
    let case = Case {
        guard: Guard::LeavingSignal,
        faults: &[FaultKind::WorkerLeaves, FaultKind::WorkerLeaves],
        breaks: |violation| matches!(violation, Violation::WorkToLeaving { .. }),
    };
    case.assert_breaks();
}
