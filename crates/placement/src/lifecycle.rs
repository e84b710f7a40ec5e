//! Lifecycle of a task's run, with one type per state.
//!
//! A placed run has an attempt that may exist on a worker. Only the end of that run, or
//! a refusal of its start, leads back to a state from which the task can be placed.

use kernel::ids;
use kernel::work;

/// Worker of a placed run and the size assigned to it.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Index of the worker in its group.
    pub worker: u32,
    /// Size assigned to the run.
    pub assigned: work::Resources,
    /// Time of the start decision.
    pub decided_ms: u64,
}

/// Not placed; no attempt of the task exists on any worker.
#[derive(Clone, Copy, Debug)]
pub struct Waiting;
/// The start was decided but not confirmed by the worker.
#[derive(Clone, Copy, Debug)]
pub struct Starting(Placement);
/// The worker confirmed the start.
#[derive(Clone, Copy, Debug)]
pub struct Running(Placement);
/// A stop was decided but the end has not been reported.
#[derive(Clone, Copy, Debug)]
pub struct Stopping(Placement);

/// A run in state `S`, with the attempt under which it is placed or will be placed.
#[derive(Clone, Copy, Debug)]
pub struct Run<S> {
    attempt: ids::Attempt,
    state: S,
}

impl Run<Waiting> {
    /// Creates a run that is not placed yet.
    pub const fn new(attempt: ids::Attempt) -> Self {
        Self {
            attempt,
            state: Waiting,
        }
    }

    /// Records the decision to start the run.
    pub const fn start(self, placement: Placement) -> Run<Starting> {
        Run {
            attempt: self.attempt,
            state: Starting(placement),
        }
    }
}

impl Run<Starting> {
    /// Records that the worker confirmed the start.
    pub const fn confirm(self) -> Run<Running> {
        Run {
            attempt: self.attempt,
            state: Running(self.state.0),
        }
    }

    /// Records the decision to stop the run before its start was confirmed.
    pub const fn stop(self) -> Run<Stopping> {
        Run {
            attempt: self.attempt,
            state: Stopping(self.state.0),
        }
    }
}

impl Run<Running> {
    /// Records the decision to stop the run.
    pub const fn stop(self) -> Run<Stopping> {
        Run {
            attempt: self.attempt,
            state: Stopping(self.state.0),
        }
    }
}

/// A run in any state, as the task table stores it.
#[derive(Clone, Copy, Debug)]
pub enum RunState {
    /// See [`Waiting`].
    Waiting(Run<Waiting>),
    /// See [`Starting`].
    Starting(Run<Starting>),
    /// See [`Running`].
    Running(Run<Running>),
    /// See [`Stopping`].
    Stopping(Run<Stopping>),
}

impl RunState {
    /// Returns the attempt of the placed run, or of the run to be placed next.
    pub const fn attempt(&self) -> ids::Attempt {
        match self {
            Self::Waiting(run) => run.attempt,
            Self::Starting(run) => run.attempt,
            Self::Running(run) => run.attempt,
            Self::Stopping(run) => run.attempt,
        }
    }

    /// Returns the placement, or `None` for a waiting run.
    pub const fn placement(&self) -> Option<Placement> {
        match self {
            Self::Waiting(_) => None,
            Self::Starting(run) => Some(run.state.0),
            Self::Running(run) => Some(run.state.0),
            Self::Stopping(run) => Some(run.state.0),
        }
    }

    /// Returns whether a stop was decided.
    pub const fn is_stopping(&self) -> bool {
        matches!(self, Self::Stopping(_))
    }

    /// Returns whether the start was decided but not confirmed.
    pub const fn is_starting(&self) -> bool {
        matches!(self, Self::Starting(_))
    }

    /// Confirms a start. Has no effect in other states.
    pub fn confirm(&mut self) {
        if let Self::Starting(run) = *self {
            *self = Self::Running(run.confirm());
        }
    }

    /// Marks a placed run as stopping. Has no effect on a waiting run.
    pub fn stop(&mut self) {
        match *self {
            Self::Starting(run) => *self = Self::Stopping(run.stop()),
            Self::Running(run) => *self = Self::Stopping(run.stop()),
            Self::Waiting(_) | Self::Stopping(_) => {}
        }
    }

    /// Starts a waiting run. Returns `false` if the run was already placed.
    pub fn start(&mut self, placement: Placement) -> bool {
        let Self::Waiting(run) = *self else {
            return false;
        };
        *self = Self::Starting(run.start(placement));
        true
    }

    /// Increases the size assigned to a placed run.
    pub fn grow(&mut self, excess: work::Resources) {
        let placement = match self {
            Self::Waiting(_) => return,
            Self::Starting(run) => &mut run.state.0,
            Self::Running(run) => &mut run.state.0,
            Self::Stopping(run) => &mut run.state.0,
        };
        placement.assigned += excess;
    }
}
