//! Checks a recorded history of events for violations of the system's guarantees.
//!
//! Every process and stand-in of a test appends [`history::Record`]s to one
//! sink; [`check`] evaluates them afterwards and returns every [`Violation`].
//! The rules depend only on the guarantees given to users, not on how hickorychute
//! implements them. [`linearizable`] checks the acceptance of release notes and the
//! claims of idempotency keys against their sequential specifications.

pub mod linearizable;
mod rules;
mod violation;

use indexmap::IndexSet;
use kernel::history;
use kernel::ids;

pub use rules::{MAX_LEAVING_WORK_MS, MAX_RELEASE_DELAY_MS};
pub use violation::Violation;

/// Facts about a history that its events do not contain.
#[derive(Clone, Debug, Default)]
pub struct Expectations {
    /// Hosts reachable during the whole history, on which every release must come into force.
    pub reachable_hosts: Vec<ids::HostId>,
    /// Work whose tasks may be restarted when the outcome of a run is unknown.
    ///
    /// Such a task may complete twice, because its first run may have completed on a worker
    /// that became unreachable. It still must not run in two places at once.
    pub repeatable_work: IndexSet<ids::WorkId>,
    /// Set if the system reached a stable state before the history ended.
    pub settled: Option<Settled>,
}

/// State of the system after it became stable.
#[derive(Clone, Debug, Default)]
pub struct Settled {
    /// Work reported to operators as waiting, running, failed or cancelled.
    pub known_work: IndexSet<ids::WorkId>,
}

/// Finds the violations that can be detected from the events alone.
pub fn check(records: &[history::Record]) -> Vec<Violation> {
    check_with(records, &Expectations::default())
}

/// Finds violations, given additional facts about the hosts and the end of the history.
pub fn check_with(records: &[history::Record], expectations: &Expectations) -> Vec<Violation> {
    let mut records: Vec<&history::Record> = records.iter().collect();
    // The sort is stable: events with the same time keep the order in which they were appended.
    records.sort_by_key(|record| record.at_ms);
    let mut violations = rules::check_tasks(&records, &expectations.repeatable_work);
    violations.extend(rules::check_calls(&records));
    violations.extend(rules::check_leaving(&records));
    violations.extend(rules::check_releases(
        &records,
        &expectations.reachable_hosts,
    ));
    if let Some(settled) = &expectations.settled {
        violations.extend(rules::check_accepted(&records, settled));
        violations.extend(rules::check_answered(&records));
    }
    violations
}
