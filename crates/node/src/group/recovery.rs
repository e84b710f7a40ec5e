//! From a takeover to the first decision.
//!
//! Until every worker of the roster has answered, a task that was assigned
//! before the takeover may run, or may have run, on one that has not. Such
//! tasks are held back. When all have answered, what no worker runs or has
//! ended was never started. If a worker stays silent until every lease must
//! have run out, held tasks may have run there to an unknown end.

use kernel::ids;
use platform::workers;

use super::{GroupOwner, assign, state};

impl GroupOwner {
    /// Ends the recovery when every worker has answered, or every lease granted
    /// before this owner must have run out.
    pub(super) fn check_recovery(&self, state: &mut state::GroupState, now_ms: u64) {
        if state.recovered {
            return;
        }
        let all_heard = state.roster.is_known()
            && state.listed_once
            && state.lost_before_recovery.is_none()
            && state.links.values().all(|link| link.confirmed);
        if !all_heard && now_ms < state.recovered_by_ms {
            return;
        }
        state.recovered = true;
        kernel::log_event!(
            crate::events::GROUP_RECOVERED,
            "{} under epoch {}: {} workers, {} assignments held, all heard: {all_heard}",
            self.id,
            self.epoch,
            state.links.len(),
            state.held.len()
        );
        let held = std::mem::take(&mut state.held);
        for held in &held {
            assign::submit(state, held, now_ms);
        }
        // Before anything is decided, what has already ended is taken out of the queue.
        for (worker, ends) in take_ends(state) {
            for finished in &ends {
                self.apply_end(state, &worker, finished, now_ms);
            }
        }
        if !all_heard {
            self.end_unheard(state, &held, now_ms);
        }
        assign::cancel_held(state, now_ms);
    }

    /// Ends the held tasks that may have run on a worker that was never heard.
    ///
    /// Their leases have run out, so they do not run now. Work that may be started
    /// again goes on under the next attempt; other work ends as unknown.
    fn end_unheard(
        &self,
        state: &mut state::GroupState,
        held: &[state::HeldAssignment],
        now_ms: u64,
    ) {
        let silent = state.links.iter().find(|(_, link)| !link.confirmed);
        let silent = silent.map(|(worker, _)| worker.clone());
        let Some(worker) = silent.or_else(|| state.lost_before_recovery.clone()) else {
            return;
        };
        for assignment in held {
            for (index, attempt) in &assignment.runs {
                let task = ids::TaskId::new(&assignment.work.id, *index);
                let found = state.placement.explain(&task);
                let waits = found.state == placement::TaskState::Waiting;
                if !waits || found.attempt != *attempt {
                    continue;
                }
                let finished = workers::FinishedRun {
                    order: order_of(assignment, task, *attempt),
                    end: workers::RunEnd::LeaseLapsed,
                    ran_ms: 0,
                };
                self.apply_end(state, &worker, &finished, now_ms);
            }
        }
    }
}

fn take_ends(state: &mut state::GroupState) -> Vec<(ids::WorkerId, Vec<workers::FinishedRun>)> {
    state
        .links
        .iter_mut()
        .map(|(worker, link)| (worker.clone(), std::mem::take(&mut link.ends_at_recovery)))
        .collect()
}

/// The order under which an earlier owner would have started a task.
fn order_of(
    assignment: &state::HeldAssignment,
    task: ids::TaskId,
    attempt: ids::Attempt,
) -> workers::StartOrder {
    let work = &assignment.work;
    workers::StartOrder {
        run: ids::TaskAttempt { task, attempt },
        shard: Some(assignment.shard),
        team: work.team.clone(),
        urgency: work.urgency,
        kind: work.kind,
        demand: work.demand,
        run_time_ms: work.run_time_ms,
        slots: work.slots,
        connections: work.connections,
        revision: work.revision,
    }
}
