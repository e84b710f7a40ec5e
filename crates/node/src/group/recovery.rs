//! Recovery of a group after a takeover, before the first decision.
//!
//! Until every worker of the roster has answered, a task assigned before the takeover may run,
//! or may have run, on a worker that has not. Such tasks are deferred. Once all workers have
//! answered, a task that none of them runs or reports as ended was never started. If a worker
//! does not answer until every lease must have expired, deferred tasks may have run there with
//! an unknown end. The leases that this owner granted count too: a worker applies a request even
//! if its reply is lost.

use kernel::ids;
use platform::workers;

use super::{GroupOwner, assign, state};

impl GroupOwner {
    /// Finishes the recovery when every worker has answered, or every lease granted by this
    /// owner or an earlier one must have expired on those that have not.
    pub(super) fn try_finish_recovery(&self, state: &mut state::GroupState, now_ms: u64) {
        if state.recovered {
            return;
        }
        let all_confirmed = state.roster.is_sealed()
            && state.list_received
            && state.lost_before_recovery.is_empty()
            && state.links.values().all(|link| link.confirmed);
        if !all_confirmed && !all_leases_expired(state, now_ms) {
            return;
        }
        state.recovered = true;
        kernel::log_event!(
            crate::events::GROUP_RECOVERED,
            "{} under epoch {}: {} workers, {} assignments deferred, all workers answered: {all_confirmed}",
            self.id,
            self.epoch,
            state.links.len(),
            state.deferred_assignments.len()
        );
        let deferred = std::mem::take(&mut state.deferred_assignments);
        for assignment in &deferred {
            assign::submit(state, assignment, now_ms);
        }
        // Ends are applied before the first decision, so that ended runs leave the queue.
        for (worker, ends) in take_deferred_ends(state) {
            for finished in &ends {
                self.apply_end(state, &worker, finished, now_ms);
            }
        }
        if !all_confirmed {
            self.end_unconfirmed(state, &deferred, now_ms);
        }
        assign::apply_deferred_cancellations(state, now_ms);
    }

    /// Ends the deferred tasks that may have run on a worker that never answered.
    ///
    /// Their leases have expired, so they are not running. Restartable work continues with the
    /// next attempt; other work ends as unknown.
    fn end_unconfirmed(
        &self,
        state: &mut state::GroupState,
        deferred: &[state::ShardAssignment],
        now_ms: u64,
    ) {
        let unconfirmed = state.links.iter().find(|(_, link)| !link.confirmed);
        let unconfirmed = unconfirmed.map(|(worker, _)| worker.clone());
        let Some(worker) = unconfirmed.or_else(|| state.lost_before_recovery.first().cloned())
        else {
            return;
        };
        for assignment in deferred {
            for (index, attempt) in &assignment.runs {
                let task = ids::TaskId::new(&assignment.work.id, *index);
                let found = state.placement.explain(&task);
                let waits = found.state == placement::TaskState::Waiting;
                if !waits || found.attempt != *attempt {
                    continue;
                }
                let finished = workers::FinishedRun {
                    order: rebuild_order(assignment, task, *attempt),
                    end: workers::RunEnd::LeaseLapsed,
                    ran_ms: 0,
                };
                self.apply_end(state, &worker, &finished, now_ms);
            }
        }
    }
}

/// Whether no task of an earlier owner can run any more on a worker that has not answered.
///
/// Without the roster it is not known which workers there are. A worker that was lost and is
/// listed again has a new link, whose leases cover no earlier run.
fn all_leases_expired(state: &state::GroupState, now_ms: u64) -> bool {
    let mut unconfirmed = state
        .links
        .iter()
        .filter(|(worker, link)| !link.confirmed && !state.lost_before_recovery.contains(*worker));
    state.roster.is_sealed() && unconfirmed.all(|(_, link)| link.leases_expired(now_ms))
}

fn take_deferred_ends(
    state: &mut state::GroupState,
) -> Vec<(ids::WorkerId, Vec<workers::FinishedRun>)> {
    state
        .links
        .iter_mut()
        .map(|(worker, link)| (worker.clone(), std::mem::take(&mut link.deferred_ends)))
        .collect()
}

/// Rebuilds the start order that an earlier owner would have used for a task.
fn rebuild_order(
    assignment: &state::ShardAssignment,
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
