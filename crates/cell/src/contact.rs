//! Runs that start on a worker, and workers to which contact was lost meanwhile.

use crate::{
    ids::TaskId,
    workers::{Phase, Resources, Run, Worker},
};

/// Why a run is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trial {
    /// Its task is to show whether it crashes its worker, apart from tasks of other jobs.
    Alone,
    /// A worker has crashed under the task while no other job's was starting. One more crash settles
    /// it, together with others of this kind.
    Repeated,
}

/// How long before the loss of a worker a run was last started there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastStart {
    /// All runs had survived their start.
    Earlier,
    /// A run was starting.
    Recently,
    /// A run had only just started.
    Just,
}

/// Lost contact to a worker, and what was concluded from it.
#[derive(Clone, Debug)]
pub struct LostContact {
    /// When a poll of the worker first failed, in milliseconds of the local clock.
    pub lost_ms: u64,
    /// Whether the worker's address refuses connections.
    pub refused: bool,
    /// The latest start on the worker by then.
    pub last_start: LastStart,
    /// Whether it was judged which run may be the cause.
    pub judged: bool,
    /// Runs that were counted against their tasks.
    pub counted: Vec<(TaskId, u64)>,
}

impl Run {
    /// Time after which a run is no longer starting, in milliseconds: includes the time that the
    /// loss of its worker takes to become known.
    const START_MS: u64 = 500;

    /// Time from the start of a run to the loss of its worker within which the run is very likely the
    /// cause, in milliseconds.
    const PROMPT_LOSS_MS: u64 = 150;

    /// Whether the run may have started only just before `at_ms`, in milliseconds of the local clock.
    pub fn has_just_started(&self, at_ms: u64) -> bool {
        match self.phase {
            Phase::Ordered { .. } => true,
            Phase::Present { since_ms } => at_ms <= since_ms + Self::PROMPT_LOSS_MS,
            Phase::Ended => false,
        }
    }

    /// Whether the run had survived its start at `at_ms`, in milliseconds of the local clock.
    pub fn has_survived_start(&self, at_ms: u64) -> bool {
        let is_over = match self.phase {
            Phase::Ordered { .. } => false,
            Phase::Present { since_ms } => at_ms >= since_ms + Self::START_MS,
            Phase::Ended => true,
        };
        self.survived || is_over
    }
}

impl Worker {
    /// Whether a run on trial is starting on the worker.
    pub fn has_starting_trial(&self, now_ms: u64) -> bool {
        let is_starting = |run: &Run| run.trial.is_some() && !run.has_survived_start(now_ms);
        self.trial_runs > 0 && self.runs.values().any(is_starting)
    }

    /// Whether the worker may take a trial beside what it runs.
    pub fn may_take_trial(&self, now_ms: u64) -> bool {
        let is_out_of_the_way = |run: &Run| {
            run.phase == Phase::Ended || (run.trial.is_some() && run.has_survived_start(now_ms))
        };
        self.runs.values().all(is_out_of_the_way)
    }

    /// Whether the worker has no run that lasts until its job is cancelled.
    pub fn can_become_empty(&self) -> bool {
        self.permanently_used() == Resources::default()
    }

    /// Whether the worker has no other runs than repeated trials that were ordered at `now_ms`.
    pub fn has_only_new_repeated_trials(&self, now_ms: u64) -> bool {
        let is_new = |run: &Run| run.trial == Some(Trial::Repeated) && run.ordered_ms == now_ms;
        self.runs.values().all(is_new)
    }

    /// Whether the worker is used for a trial: one is starting, or was when the worker was lost.
    pub fn is_used_for_trial(&self, now_ms: u64) -> bool {
        let until_ms = self
            .lost_contact
            .as_ref()
            .map_or(now_ms, |lost| lost.lost_ms);
        self.has_starting_trial(until_ms)
    }

    /// Records that a poll of the worker has failed.
    pub fn lose_contact(&mut self, refused: bool, now_ms: u64) {
        if !self.fenced {
            return;
        }
        let mut runs = self.runs.values();
        let last_start = if runs.clone().any(|run| run.has_just_started(now_ms)) {
            LastStart::Just
        } else if runs.any(|run| !run.has_survived_start(now_ms)) {
            LastStart::Recently
        } else {
            LastStart::Earlier
        };
        let contact = self.lost_contact.get_or_insert_with(|| LostContact {
            lost_ms: now_ms,
            refused: false,
            last_start,
            judged: false,
            counted: Vec::new(),
        });
        contact.refused |= refused;
    }
}
