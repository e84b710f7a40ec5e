//! Rules for releases: accepted once, in force on all reachable hosts in time, never reverted.

use indexmap::IndexMap;
use kernel::history::{Event, Record};
use kernel::ids;

use crate::violation::Violation;

/// Time within which an accepted release must be in force on all reachable hosts, in milliseconds.
pub const MAX_RELEASE_DELAY_MS: u64 = 3_000;

/// Finds releases that were accepted twice, reverted or late.
pub(crate) fn check_releases(records: &[&Record], reachable: &[ids::HostId]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut accepted = IndexMap::<ids::ReleaseVersion, u64>::new();
    let mut in_force = IndexMap::<ids::HostId, Vec<(u64, ids::ReleaseVersion)>>::new();
    for record in records {
        let at_ms = record.at_ms;
        match &record.event {
            Event::ReleaseAccepted { version } => {
                let Some(&first_ms) = accepted.get(version) else {
                    accepted.insert(*version, at_ms);
                    continue;
                };
                violations.push(Violation::ReleaseAcceptedTwice {
                    version: *version,
                    first_ms,
                    second_ms: at_ms,
                });
            }
            Event::ReleaseInForce { host, version } => {
                let steps = in_force.entry(host.clone()).or_default();
                if let Some((_, before)) = steps.last().filter(|(_, before)| before > version) {
                    violations.push(Violation::ReleaseReverted {
                        at_ms,
                        host: host.clone(),
                        version: *version,
                        before: *before,
                    });
                }
                steps.push((at_ms, *version));
            }
            _ => {}
        }
    }
    let end_ms = records.last().map_or(0, |record| record.at_ms);
    for host in reachable {
        let steps = in_force.get(host).map_or(&[][..], Vec::as_slice);
        violations.extend(late_releases(host, steps, &accepted, end_ms));
    }
    violations
}

/// Finds the releases that were not in force on one host in time.
fn late_releases(
    host: &ids::HostId,
    steps: &[(u64, ids::ReleaseVersion)],
    accepted: &IndexMap<ids::ReleaseVersion, u64>,
    end_ms: u64,
) -> Vec<Violation> {
    let mut late = Vec::new();
    for (&version, &accepted_ms) in accepted {
        let due_ms = accepted_ms + MAX_RELEASE_DELAY_MS;
        // A later release supersedes this one.
        let step = steps.iter().find(|(_, in_force)| *in_force >= version);
        let in_force_ms = step.map(|(at_ms, _)| *at_ms);
        let is_late = in_force_ms.map_or(end_ms > due_ms, |at_ms| at_ms > due_ms);
        if is_late {
            late.push(Violation::ReleaseLate {
                version,
                accepted_ms,
                host: host.clone(),
                in_force_ms,
            });
        }
    }
    late
}
