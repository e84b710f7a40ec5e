//! Assignments and cancellations received from shards.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use kernel::work;
use wire::messages;

use super::{GroupOwner, state};

impl GroupOwner {
    /// Applies an assignment message of a shard.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::StaleEpoch`] if the message is addressed to another owner of the
    /// group, comes from an earlier owner of the shard, or was written before the shard
    /// confirmed a later report; [`errors::ErrorKind::BadRequest`] if it does not decode.
    pub fn assign(
        &self,
        request: &messages::AssignRequest,
    ) -> errors::Result<messages::AssignReply> {
        let assignments = decode(request)?;
        let now_ms = self.shared.now_ms();
        {
            let mut state = self.state();
            self.accept_order(&mut state, request)?;
            let shard = ids::ShardId(request.shard as u16);
            let names = &request.cancelled;
            let is_cancelled =
                |work: &work::Work| names.iter().any(|name| name == work.id.as_str());
            let mut cancelled = Vec::new();
            for assignment in assignments {
                lift_cancellation(&mut state, shard, &assignment.work.id);
                if state.recovered || !request.everything {
                    submit(&mut state, &assignment, now_ms);
                    if is_cancelled(&assignment.work) {
                        cancelled.push(assignment);
                    }
                } else {
                    state.deferred_assignments.push(assignment);
                }
            }
            for name in &request.cancelled {
                cancel(&mut state, shard, &ids::WorkId::new(name), now_ms);
            }
            for assignment in cancelled {
                hand_back_unknown(&mut state, &assignment);
            }
        }
        self.wake.notify_one();
        Ok(messages::AssignReply {
            group_epoch: self.epoch.0,
        })
    }

    fn accept_order(
        &self,
        state: &mut state::GroupState,
        request: &messages::AssignRequest,
    ) -> errors::Result<()> {
        let stale = |detail: &str| Err(errors::Error::new(errors::ErrorKind::StaleEpoch, detail));
        if self.is_stopped() || request.group_epoch != self.epoch.0 {
            return stale("the assignment is addressed to another owner of the group");
        }
        let order = state::AssignmentOrder {
            shard_epoch: ids::Epoch(request.shard_epoch),
            sequence: request.sequence,
        };
        let last = state
            .last_orders
            .entry(ids::ShardId(request.shard as u16))
            .or_default();
        if order <= *last {
            return stale("the assignment is older than the last accepted one");
        }
        *last = order;
        Ok(())
    }
}

/// Queues the tasks of an assignment.
///
/// Skips attempts whose end report the shard has not confirmed yet: the assignment was written
/// before the shard received the report.
pub(super) fn submit(
    state: &mut state::GroupState,
    assignment: &state::ShardAssignment,
    now_ms: u64,
) {
    let runs: Vec<(u32, ids::Attempt)> = assignment
        .runs
        .iter()
        .filter(|(index, attempt)| !has_unconfirmed_end(state, assignment, *index, *attempt))
        .copied()
        .collect();
    state
        .placement
        .submit(&assignment.work, &runs, Some(assignment.shard), now_ms);
    if assignment.work.kind == work::WorkKind::GangJob {
        state
            .placement
            .gang_completed(&assignment.work.id, assignment.completed);
    }
    let mut cancelled = state.deferred_cancellations.iter();
    if cancelled.any(|(shard, work)| *shard == assignment.shard && *work == assignment.work.id) {
        hand_back_unknown(state, assignment);
    }
}

/// Whether an unconfirmed report covers the run, or a later attempt of its task.
fn has_unconfirmed_end(
    state: &state::GroupState,
    assignment: &state::ShardAssignment,
    index: u32,
    attempt: ids::Attempt,
) -> bool {
    let reports = state.reports.get(&assignment.shard);
    let mut reported_runs = reports
        .into_iter()
        .flat_map(|queue| queue.unconfirmed.keys());
    reported_runs.any(|run| {
        placement::replica_of(run.task.index) == index
            && run.task.work == assignment.work.id
            && run.attempt >= attempt
    })
}

/// Lifts an earlier cancellation of a job name that is assigned again.
///
/// This is safe because messages of a shard are applied in order, and the shard assigns
/// nothing under a name between its cancellation and the end of all runs of the cancelled
/// work.
fn lift_cancellation(state: &mut state::GroupState, shard: ids::ShardId, work: &ids::WorkId) {
    state
        .deferred_cancellations
        .retain(|(from, cancelled)| (*from, cancelled) != (shard, work));
    state.placement.lift_cancellation(work);
}

/// Removes the work's waiting tasks from the queue and hands them back to the shard as never
/// started.
fn cancel(state: &mut state::GroupState, shard: ids::ShardId, work: &ids::WorkId, now_ms: u64) {
    if !state.recovered {
        // A deferred task may be running on a worker that has not answered yet, so it cannot
        // be handed back before recovery has finished.
        state.deferred_cancellations.push((shard, work.clone()));
        return;
    }
    for run in state.placement.cancel(work, now_ms) {
        super::reports::queue_hand_back(state, shard, &run);
    }
}

/// Hands back runs of cancelled work that the group neither has nor has an unconfirmed report
/// for.
///
/// One case is a replica that was replaced by an instance under its second index: the shard
/// still records the replica under an attempt that was never started.
fn hand_back_unknown(state: &mut state::GroupState, assignment: &state::ShardAssignment) {
    for (index, attempt) in &assignment.runs {
        let run = ids::TaskAttempt {
            task: ids::TaskId::new(&assignment.work.id, *index),
            attempt: *attempt,
        };
        let is_known = state.placement.explain(&run.task).state != placement::TaskState::Unknown;
        if !is_known && !has_unconfirmed_end(state, assignment, *index, *attempt) {
            super::reports::queue_hand_back(state, assignment.shard, &run);
        }
    }
}

/// Applies the cancellations received while the group was recovering.
pub(super) fn apply_deferred_cancellations(state: &mut state::GroupState, now_ms: u64) {
    for (shard, work) in std::mem::take(&mut state.deferred_cancellations) {
        cancel(state, shard, &work, now_ms);
    }
}

fn decode(request: &messages::AssignRequest) -> errors::Result<Vec<state::ShardAssignment>> {
    let shard = ids::ShardId(request.shard as u16);
    let decode_one = |assignment: &messages::Assignment| {
        let work = serde_json::from_slice(&assignment.work).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::BadRequest,
                "cannot decode the assigned work",
                source,
            )
        })?;
        let runs = assignment
            .runs
            .iter()
            .map(|run| (run.index, ids::Attempt(run.attempt)))
            .collect();
        Ok(state::ShardAssignment {
            shard,
            work: Arc::new(work),
            runs,
            completed: assignment.completed,
        })
    };
    request.assignments.iter().map(decode_one).collect()
}
