//! The set of instances that are leaving and get no new calls.
//!
//! A departure is reported by a drain signal, by a refusal from the instance, or by the
//! platform's list of workers, in any order; the first report takes effect. A run that
//! is leaving never becomes available again, but a later attempt of its task may.

use derive_more::Display;
use indexmap::IndexMap;
use kernel::ids;

/// The source that reported a departure.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum LeavingSource {
    /// A drain signal to the instance or its worker.
    Signal,
    /// The instance refused a call because it is leaving.
    Refusal,
    /// The platform's list of workers.
    HostList,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    attempt: ids::Attempt,
    source: LeavingSource,
}

/// Departures of the instances of one service.
///
/// Keeps one entry per task, for the latest attempt that left, so its size does not grow
/// with the number of attempts.
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    departures: IndexMap<ids::TaskId, Departure>,
}

impl LeavingSet {
    /// Records a departure. Returns false if it was already recorded.
    pub fn insert(&mut self, run: &ids::TaskAttempt, source: LeavingSource) -> bool {
        if self.contains(run) {
            return false;
        }
        let departure = Departure {
            attempt: run.attempt,
            source,
        };
        self.departures.insert(run.task.clone(), departure);
        true
    }

    /// Whether a run, or a later attempt of its task, is leaving.
    pub fn contains(&self, run: &ids::TaskAttempt) -> bool {
        let departure = self.departures.get(&run.task);
        departure.is_some_and(|departure| run.attempt <= departure.attempt)
    }

    /// The source that first reported the latest departure of a task.
    pub fn source(&self, task: &ids::TaskId) -> Option<LeavingSource> {
        self.departures.get(task).map(|departure| departure.source)
    }
}
