//! Rule: accepted work is completed or still known to the system.

use indexmap::{IndexMap, IndexSet};
use kernel::history::{Event, Record};
use kernel::ids;

use crate::Settled;
use crate::violation::Violation;

/// Finds accepted work that is neither completed nor known in the stable state.
pub(crate) fn check_accepted(records: &[&Record], settled: &Settled) -> Vec<Violation> {
    let mut accepted = IndexMap::<&ids::WorkId, (u64, u32)>::new();
    let mut completed = IndexMap::<&ids::WorkId, IndexSet<u32>>::new();
    for record in records {
        match &record.event {
            Event::WorkAccepted { work, tasks } => {
                accepted.entry(work).or_insert((record.at_ms, *tasks));
            }
            Event::TaskEnded {
                run,
                completed: true,
                ..
            } => {
                let tasks = completed.entry(&run.task.work).or_default();
                tasks.insert(run.task.index);
            }
            _ => {}
        }
    }
    let mut lost = Vec::new();
    for (work, (accepted_ms, tasks)) in accepted {
        let done = completed.get(work).map_or(0, |tasks| tasks.len() as u32);
        let missing = tasks.saturating_sub(done);
        if missing > 0 && !settled.known_work.contains(work) {
            lost.push(Violation::WorkLost {
                work: work.clone(),
                accepted_ms,
                missing,
            });
        }
    }
    lost
}
