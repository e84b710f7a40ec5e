//! What holds for all steps of a scheduling pass, and the order in which it takes them.

use super::{
    candidates::FreeCpuIndex, placement_wait::WaitBudget, reserves::Reservations,
    trial_workers::TrialBudget,
};
use crate::{ids::StepId, quota::Ledger};

/// Urgency of a step; the smallest is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Whether steps within their tenants' shares come first: the job exceeds its share, or its result
    /// has no value any more.
    pub(super) behind_shares: bool,
    /// False for long-running tasks, which come first: they should run from submission until they
    /// are cancelled.
    pub(super) finite: bool,
    /// 0 while the objective can be met, 1 while a late result still has value, 2 afterwards.
    pub(super) lateness: u8,
    pub(super) priority: u32,
    pub(super) not_started: bool,
    pub(super) accepted_unix_ms: u64,
    pub(super) step: StepId,
}

/// What holds for all steps of a scheduling pass.
#[derive(Debug)]
pub(super) struct Pass {
    /// Time of the pass, in milliseconds of the local clock.
    pub(super) now_ms: u64,
    /// The same, in Unix milliseconds.
    pub(super) unix_ms: u64,
    /// Workers by free CPU at the start of the pass.
    pub(super) free_cpu: FreeCpuIndex,
    /// Workers that are kept free for more urgent steps.
    pub(super) reservations: Reservations,
    /// What each tenant has running.
    pub(super) quota: Ledger,
    /// Workers that may still be used for trials.
    pub(super) trial_budget: TrialBudget,
    /// Positions of the workers that are kept for trials and may take one now.
    pub(super) free_trial_workers: Vec<usize>,
    /// Position of the one on which repeated trials start.
    pub(super) repeated_trial_worker: Option<usize>,
    /// Orders to start that may still be sent.
    pub(super) start_budget: usize,
    /// Searches for better placements that may still be made.
    pub(super) waits: WaitBudget,
}
