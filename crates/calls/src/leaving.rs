//! Remembers which instances are leaving.
//!
//! Three sources tell of a departure, and any of them may be the last to know: a
//! drain signal, a refusal by the instance, and the platform's list. The first one
//! counts. A run that leaves never comes back; the next attempt of its task may.

use derive_more::Display;
use indexmap::IndexMap;
use kernel::ids;

/// How a departure became known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The instance or its worker was told to drain.
    Signal,
    /// The instance refused a call and said that it is leaving.
    Refusal,
    /// The platform's list of workers says so.
    HostList,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    attempt: ids::Attempt,
    source: LeavingSource,
}

/// The departures of the tasks of one service.
///
/// Holds one entry per task, however often the task is started.
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    departures: IndexMap<ids::TaskId, Departure>,
}

impl LeavingSet {
    /// Notes a departure; returns whether it was not known before.
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

    /// Whether a run is leaving or is older than one that left.
    pub fn contains(&self, run: &ids::TaskAttempt) -> bool {
        let departure = self.departures.get(&run.task);
        departure.is_some_and(|departure| run.attempt <= departure.attempt)
    }

    /// What told first of the last departure of a task.
    pub fn source(&self, task: &ids::TaskId) -> Option<LeavingSource> {
        self.departures.get(task).map(|departure| departure.source)
    }
}
