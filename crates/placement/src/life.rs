//! The life cycle of a task's run as types.
//!
//! A run that is placed has an attempt that may exist on a worker; only the end
//! of that run, or a refusal, leads back to a state from which it can be placed.

use kernel::ids;
use kernel::work;

/// Where a run is placed and what is assigned to it.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Slot of the worker.
    pub worker: u32,
    /// What is assigned.
    pub assigned: work::Resources,
    /// When the start was decided.
    pub since_ms: u64,
}

/// In the queue; no attempt of the task exists on any worker.
#[derive(Clone, Copy, Debug)]
pub struct Waiting;
/// Start decided; the worker has not confirmed it.
#[derive(Clone, Copy, Debug)]
pub struct Starting(Placement);
/// The worker has confirmed the start.
#[derive(Clone, Copy, Debug)]
pub struct Running(Placement);
/// A stop was decided; the end is not reported yet.
#[derive(Clone, Copy, Debug)]
pub struct Stopping(Placement);

/// A run in state `S`.
#[derive(Clone, Copy, Debug)]
pub struct Run<S> {
    attempt: ids::Attempt,
    state: S,
}

impl Run<Waiting> {
    /// A run that may be placed under an attempt number.
    pub const fn new(attempt: ids::Attempt) -> Self {
        Self {
            attempt,
            state: Waiting,
        }
    }

    /// The start of the run was decided.
    pub const fn start(self, placement: Placement) -> Run<Starting> {
        Run {
            attempt: self.attempt,
            state: Starting(placement),
        }
    }
}

impl Run<Starting> {
    /// The worker runs it.
    pub const fn confirm(self) -> Run<Running> {
        Run {
            attempt: self.attempt,
            state: Running(self.state.0),
        }
    }

    /// It is stopped before its start was confirmed.
    pub const fn stop(self) -> Run<Stopping> {
        Run {
            attempt: self.attempt,
            state: Stopping(self.state.0),
        }
    }
}

impl Run<Running> {
    /// A stop was decided.
    pub const fn stop(self) -> Run<Stopping> {
        Run {
            attempt: self.attempt,
            state: Stopping(self.state.0),
        }
    }
}

/// A run in any state, as tables store it.
#[derive(Clone, Copy, Debug)]
pub enum Life {
    /// See [`Waiting`].
    Waiting(Run<Waiting>),
    /// See [`Starting`].
    Starting(Run<Starting>),
    /// See [`Running`].
    Running(Run<Running>),
    /// See [`Stopping`].
    Stopping(Run<Stopping>),
}

impl Life {
    /// The attempt number, of the run that exists or would be placed next.
    pub const fn attempt(&self) -> ids::Attempt {
        match self {
            Self::Waiting(run) => run.attempt,
            Self::Starting(run) => run.attempt,
            Self::Running(run) => run.attempt,
            Self::Stopping(run) => run.attempt,
        }
    }

    /// Where the run is placed, unless it waits.
    pub const fn placement(&self) -> Option<Placement> {
        match self {
            Self::Waiting(_) => None,
            Self::Starting(run) => Some(run.state.0),
            Self::Running(run) => Some(run.state.0),
            Self::Stopping(run) => Some(run.state.0),
        }
    }

    /// Whether a stop was decided.
    pub const fn is_stopping(&self) -> bool {
        matches!(self, Self::Stopping(_))
    }

    /// Whether the start is not confirmed.
    pub const fn is_starting(&self) -> bool {
        matches!(self, Self::Starting(_))
    }

    /// Confirms a start; other states stay.
    pub fn confirm(&mut self) {
        if let Self::Starting(run) = *self {
            *self = Self::Running(run.confirm());
        }
    }

    /// Decides a stop; a run that waits or already stops stays.
    pub fn stop(&mut self) {
        match *self {
            Self::Starting(run) => *self = Self::Stopping(run.stop()),
            Self::Running(run) => *self = Self::Stopping(run.stop()),
            Self::Waiting(_) | Self::Stopping(_) => {}
        }
    }

    /// Starts a waiting run; returns whether it was waiting.
    pub fn start(&mut self, placement: Placement) -> bool {
        let Self::Waiting(run) = *self else {
            return false;
        };
        *self = Self::Starting(run.start(placement));
        true
    }

    /// Assigns more to a placed run.
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
