//! Assignments from shards.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use kernel::work;
use wire::messages;

use super::{GroupOwner, state};

impl GroupOwner {
    /// Takes over the assignments of a shard.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::StaleEpoch`] if the message is meant for another owner of the group,
    /// or comes from an earlier owner of the shard, or was written before an end that the shard
    /// has confirmed since; [`errors::ErrorKind::BadRequest`] if it does not decode.
    pub fn assign(
        &self,
        request: &messages::AssignRequest,
    ) -> errors::Result<messages::AssignReply> {
        let works = decode(request)?;
        let now_ms = self.shared.now_ms();
        {
            let mut state = self.state();
            self.check_order(&mut state, request)?;
            let shard = ids::ShardId(request.shard as u16);
            let names = &request.cancelled;
            let is_cancelled =
                |work: &work::Work| names.iter().any(|name| name == work.id.as_str());
            let mut cancelled = Vec::new();
            for held in works {
                lift_cancellation(&mut state, shard, &held.work.id);
                if state.recovered || !request.everything {
                    submit(&mut state, &held, now_ms);
                    if is_cancelled(&held.work) {
                        cancelled.push(held);
                    }
                } else {
                    state.held.push(held);
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

    fn check_order(
        &self,
        state: &mut state::GroupState,
        request: &messages::AssignRequest,
    ) -> errors::Result<()> {
        let stale = |detail: &str| Err(errors::Error::new(errors::ErrorKind::StaleEpoch, detail));
        if self.is_stopped() || request.group_epoch != self.epoch.0 {
            return stale("the assignment is meant for another owner of the group");
        }
        let order = state::AssignmentOrder {
            shard_epoch: ids::Epoch(request.shard_epoch),
            sequence: request.sequence,
        };
        let last = state
            .orders
            .entry(ids::ShardId(request.shard as u16))
            .or_default();
        if order <= *last {
            return stale("the assignment is older than one already seen");
        }
        *last = order;
        Ok(())
    }
}

/// Puts an assignment into the queue of tasks.
///
/// An attempt whose end is on its way to the shard is left out: the assignment
/// was written before the shard knew.
pub(super) fn submit(state: &mut state::GroupState, held: &state::HeldAssignment, now_ms: u64) {
    let runs: Vec<(u32, ids::Attempt)> = held
        .runs
        .iter()
        .filter(|(index, attempt)| !has_ended(state, held, *index, *attempt))
        .copied()
        .collect();
    state
        .placement
        .submit(&held.work, &runs, Some(held.shard), now_ms);
    if held.work.kind == work::WorkKind::GangJob {
        state
            .placement
            .gang_completed(&held.work.id, held.completed);
    }
    let mut cancelled = state.cancel_at_recovery.iter();
    if cancelled.any(|(shard, work)| *shard == held.shard && *work == held.work.id) {
        hand_back_unknown(state, held);
    }
}

/// Whether the end of an assigned run, or of a later one of its task, is on its way to the shard.
fn has_ended(
    state: &state::GroupState,
    held: &state::HeldAssignment,
    index: u32,
    attempt: ids::Attempt,
) -> bool {
    let reports = state.reports.get(&held.shard);
    let mut open = reports.into_iter().flat_map(|queue| queue.open.keys());
    open.any(|run| {
        placement::replica_of(run.task.index) == index
            && run.task.work == held.work.id
            && run.attempt >= attempt
    })
}

/// Forgets an earlier cancellation of a name that is assigned again.
///
/// Messages of a shard are applied in its order, and it assigns nothing under a
/// name between the cancellation and the end of all runs of the cancelled work.
fn lift_cancellation(state: &mut state::GroupState, shard: ids::ShardId, work: &ids::WorkId) {
    state
        .cancel_at_recovery
        .retain(|(from, cancelled)| (*from, cancelled) != (shard, work));
    state.placement.lift_cancellation(work);
}

/// Takes the work's waiting tasks out of the queue and gives them back as never started.
fn cancel(state: &mut state::GroupState, shard: ids::ShardId, work: &ids::WorkId, now_ms: u64) {
    if !state.recovered {
        // A held task may run on a worker not yet heard, so it cannot be given back yet.
        state.cancel_at_recovery.push((shard, work.clone()));
        return;
    }
    for run in state.placement.cancel(work, now_ms) {
        super::reports::note_hand_back(state, shard, &run);
    }
}

/// Gives runs of cancelled work back that the group neither has nor reports.
///
/// A replica that was replaced by its twin is such a run: the shard counts on it
/// under a number that was never started.
fn hand_back_unknown(state: &mut state::GroupState, assignment: &state::HeldAssignment) {
    for (index, attempt) in &assignment.runs {
        let run = ids::TaskAttempt {
            task: ids::TaskId::new(&assignment.work.id, *index),
            attempt: *attempt,
        };
        let is_known = state.placement.explain(&run.task).state != placement::TaskState::Unknown;
        if !is_known && !has_ended(state, assignment, *index, *attempt) {
            super::reports::note_hand_back(state, assignment.shard, &run);
        }
    }
}

/// Cancels what was cancelled while the group recovered.
pub(super) fn cancel_held(state: &mut state::GroupState, now_ms: u64) {
    for (shard, work) in std::mem::take(&mut state.cancel_at_recovery) {
        cancel(state, shard, &work, now_ms);
    }
}

fn decode(request: &messages::AssignRequest) -> errors::Result<Vec<state::HeldAssignment>> {
    let shard = ids::ShardId(request.shard as u16);
    let decode_one = |assignment: &messages::Assignment| {
        let work = serde_json::from_slice(&assignment.work).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::BadRequest,
                "assigned work does not decode",
                source,
            )
        })?;
        let runs = assignment
            .runs
            .iter()
            .map(|run| (run.index, ids::Attempt(run.attempt)))
            .collect();
        Ok(state::HeldAssignment {
            shard,
            work: Arc::new(work),
            runs,
            completed: assignment.completed,
        })
    };
    request.assignments.iter().map(decode_one).collect()
}
