//! Decides from a history of events whether the promises held.
//!
//! Every process and stand-in of a test appends [`history::Record`]s to one
//! sink; [`check`] reads them afterwards and returns every [`Violation`]. It
//! knows nothing of how hickorychute works, only what its users were promised,
//! so it can judge any implementation. [`linearizable`] holds the acceptance of
//! release notes and the claims of keys against their sequential meaning.

pub mod linearizable;
mod rules;
mod violation;

use indexmap::IndexSet;
use kernel::history;
use kernel::ids;

pub use rules::{LEAVING_LIMIT_MS, RELEASE_LIMIT_MS};
pub use violation::Violation;

/// What holds at the end of a history beyond its events.
#[derive(Clone, Debug, Default)]
pub struct Expectations {
    /// Hosts that could be reached throughout, on which every release must come into force.
    pub reachable_hosts: Vec<ids::HostId>,
    /// Work whose submitter allows that a task is started again after an end that is not known.
    ///
    /// Such a task may complete twice: its first run may have completed on a worker that
    /// could not be asked any more. It still must not run in two places at once.
    pub repeatable_work: IndexSet<ids::WorkId>,
    /// Set if the history was run until nothing changed any more.
    pub settled: Option<Settled>,
}

/// What the system still knew when nothing changed any more.
#[derive(Clone, Debug, Default)]
pub struct Settled {
    /// Work that an operator is told about: waiting, running, failed or cancelled.
    pub known_work: IndexSet<ids::WorkId>,
}

/// Finds violations that can be seen without knowing how the history ended.
pub fn check(records: &[history::Record]) -> Vec<Violation> {
    check_with(records, &Expectations::default())
}

/// Finds violations, given what is known about the hosts and the end of the history.
pub fn check_with(records: &[history::Record], expectations: &Expectations) -> Vec<Violation> {
    let mut records: Vec<&history::Record> = records.iter().collect();
    // Events with the same time stay in the order in which they were appended.
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
