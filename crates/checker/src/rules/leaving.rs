//! Rule: a leaving upstream receives no new requests after [`MAX_LEAVING_WORK_MS`].

use indexmap::IndexMap;
use kernel::history::{Event, Record};
use kernel::ids;

use crate::violation::Violation;

/// Time after the start of leaving during which an upstream may still receive requests, in
/// milliseconds.
pub const MAX_LEAVING_WORK_MS: u64 = 3_000;

/// Finds requests that a leaving instance received after the limit.
pub(crate) fn check_leaving(records: &[&Record]) -> Vec<Violation> {
    let mut leaving = IndexMap::<ids::TaskId, u64>::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::UpstreamLeaving { task } => {
                leaving.entry(task.clone()).or_insert(record.at_ms);
            }
            // A later run of the task is a new instance.
            Event::TaskStarted { run, .. } => {
                leaving.swap_remove(&run.task);
            }
            Event::RequestRan { task, request, .. } => {
                let Some(&leaving_ms) = leaving.get(task) else {
                    continue;
                };
                if record.at_ms > leaving_ms + MAX_LEAVING_WORK_MS {
                    violations.push(Violation::WorkToLeaving {
                        task: task.clone(),
                        leaving_ms,
                        request: *request,
                        at_ms: record.at_ms,
                    });
                }
            }
            _ => {}
        }
    }
    violations
}
