//! Assignment of waiting tasks to groups.

use std::sync::Arc;

use journal::{Assignment, Record, Run, ShardState};
use kernel::errors;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use ownership::Liveness;
use wire::messages;

use super::{ShardOwner, balance, outbox};
use crate::{group, peer, shared};

/// Maximum number of runs assigned in one journal entry.
const MAX_RUNS_PER_ENTRY: usize = 4_000;
/// Maximum time that a new owner of a shard waits for the load of every group before it
/// assigns replicas of services.
const GROUP_LOAD_TIMEOUT_MS: u64 = 3_000;
/// Timeout of one assignment message.
const ASSIGN_TIMEOUT_MS: u64 = 3_000;
/// Delay before assignments are sent again after a failure.
const ASSIGN_RETRY_DELAY_MS: u64 = 500;

impl ShardOwner {
    /// Assigns waiting tasks to groups: in the journal first, then in the outbox.
    pub(super) async fn assign(&self) -> errors::Result<()> {
        let journal = self.journal()?;
        let waiting = journal.state().tasks_to_assign(MAX_RUNS_PER_ENTRY);
        if waiting.is_empty() {
            return Ok(());
        }
        let chosen = self.choose_groups(&waiting);
        if chosen.is_empty() {
            return Ok(());
        }
        let records = chosen
            .iter()
            .map(|(group, assignment)| Record::Assigned {
                work: assignment.work.id.clone(),
                runs: assignment.runs.clone(),
                group: group.clone(),
            })
            .collect();
        let applied = self.append(records).await?;
        let state = journal.state();
        let mut outbox = self.outbox();
        for ((group, assignment), applied) in chosen.into_iter().zip(applied) {
            if applied.is_changed() {
                let entry = outbox.group(&group);
                let work = &assignment.work.id;
                // A cancellation that has not been sent yet may belong to an earlier job of
                // the same name.
                if state.job(work).is_some_and(|job| !job.is_cancelled()) {
                    entry.cancelled_work.shift_remove(work);
                }
                entry.new_assignments.push(assignment);
            }
        }
        Ok(())
    }

    fn choose_groups(&self, waiting: &[Assignment]) -> Vec<(ids::GroupId, Assignment)> {
        let now_ms = self.shared.now_ms();
        let mut loads = group_loads(&self.shared);
        let mut selector = self.selector();
        selector.subtract_recent(&mut loads, now_ms);
        let mut chosen = Vec::new();
        let all_loads_known = self.has_all_group_loads(&loads, now_ms);
        for assignment in waiting {
            let work = &assignment.work;
            if work.kind == work::WorkKind::Service && !all_loads_known {
                continue;
            }
            let groups = selector.select(work, assignment.runs.len(), &mut loads, now_ms);
            let mut remaining: &[Run] = &assignment.runs;
            for (group, count) in groups {
                let (part, after) = remaining.split_at(count);
                remaining = after;
                let part = Assignment {
                    work: Arc::clone(work),
                    runs: part.to_vec(),
                };
                chosen.push((group, part));
            }
        }
        chosen
    }

    /// Whether the load of every group is known, or the shard has waited long enough for it.
    ///
    /// Right after a start the shard's host has heard from its own zone only, and would put
    /// all replicas of a service there.
    fn has_all_group_loads(&self, loads: &[balance::GroupLoad], now_ms: u64) -> bool {
        let reported = loads
            .iter()
            .filter(|load| load.capacity.cpu_milli > 0)
            .count();
        let groups = self.shared.config.topology.groups().count();
        reported >= groups || now_ms >= self.started_at_ms + GROUP_LOAD_TIMEOUT_MS
    }

    /// Journals the epochs under which groups are owned, before their owners get assignments.
    ///
    /// Reports of earlier owners are ignored from then on, also under a later owner of this
    /// shard.
    pub(super) async fn record_group_epochs(&self) -> errors::Result<()> {
        let journal = self.journal()?;
        let directory = self.shared.directory();
        let records: Vec<Record> = {
            let state = journal.state();
            let groups = self.shared.config.topology.groups();
            let raised = groups.filter_map(|group| {
                let epoch = directory.group(&group)?.epoch;
                (epoch > state.group_epoch(&group)).then_some((group, epoch))
            });
            raised
                .map(|(group, epoch)| Record::GroupEpoch { group, epoch })
                .collect()
        };
        if !records.is_empty() {
            self.append(records).await?;
        }
        Ok(())
    }

    /// Starts sending a message to every group that has queued changes and none in flight.
    pub(super) fn send_assignments(self: &Arc<Self>) {
        let Ok(journal) = self.journal() else { return };
        let now_ms = self.shared.now_ms();
        let directory = self.shared.directory();
        // The state is read and the sequence number is taken under both locks, so that a
        // message with a higher number never carries older state.
        let state = journal.state();
        let mut outbox = self.outbox();
        outbox.resend_if_settled(state.seq());
        let groups: Vec<ids::GroupId> = self.shared.config.topology.groups().collect();
        for group in groups {
            let Some(location) = directory.group(&group) else {
                continue;
            };
            if state.group_epoch(&group) != location.epoch {
                continue;
            }
            let entry = outbox.group(&group);
            if entry.in_flight || now_ms < entry.due_at_ms {
                continue;
            }
            let is_synced = entry.synced_epoch == Some(location.epoch);
            let (assignments, cancelled) = if is_synced {
                let mut assignments = std::mem::take(&mut entry.new_assignments);
                let changed = std::mem::take(&mut entry.changed_work);
                // The runs are read at this point, because a run that has ended since the
                // change must not be sent.
                let changed = changed.iter();
                assignments.extend(changed.filter_map(|work| state.assigned_of(work, &group)));
                (assignments, std::mem::take(&mut entry.cancelled_work))
            } else {
                entry.new_assignments.clear();
                entry.changed_work.clear();
                entry.cancelled_work.clear();
                (
                    state.assigned_to(&group),
                    state.cancelled_work().cloned().collect(),
                )
            };
            if is_synced && assignments.is_empty() && cancelled.is_empty() {
                continue;
            }
            entry.in_flight = true;
            let request = messages::AssignRequest {
                shard: u32::from(self.id.0),
                shard_epoch: self.epoch.0,
                zone: group.zone.to_string(),
                group: u32::from(group.index),
                group_epoch: location.epoch.0,
                sequence: outbox.next_sequence(),
                assignments: assignments
                    .iter()
                    .filter_map(|assignment| encode(&state, assignment))
                    .collect(),
                cancelled: cancelled.iter().map(ToString::to_string).collect(),
                everything: !is_synced,
            };
            let generation = outbox.generation();
            tokio::spawn(Arc::clone(self).deliver_assignments(
                group,
                location.epoch,
                generation,
                request,
            ));
        }
    }

    async fn deliver_assignments(
        self: Arc<Self>,
        group: ids::GroupId,
        epoch: ids::Epoch,
        generation: u64,
        request: messages::AssignRequest,
    ) {
        let body = messages::Body::AssignRequest(request);
        let reply = peer::send_to_group(&self.shared, &group, body, ASSIGN_TIMEOUT_MS).await;
        let reply = reply.and_then(|body| match body {
            messages::Body::AssignReply(reply) => Ok(reply),
            _ => Err(shared::unexpected_reply()),
        });
        let now_ms = self.shared.now_ms();
        {
            let mut outbox = self.outbox();
            let is_current_generation = outbox.generation() == generation;
            let entry: &mut outbox::GroupOutbox = outbox.group(&group);
            entry.in_flight = false;
            match reply {
                Ok(_) => entry.synced_epoch = is_current_generation.then_some(epoch),
                Err(error) => {
                    // The message may or may not have arrived, so everything is sent again
                    // from the state.
                    log::debug!("assignment of shard {} to {group} failed: {error}", self.id);
                    entry.synced_epoch = None;
                    entry.due_at_ms = now_ms + ASSIGN_RETRY_DELAY_MS;
                }
            }
        }
        self.wake.notify_one();
    }
}

fn encode(state: &ShardState, assignment: &Assignment) -> Option<messages::Assignment> {
    let job = state.job(&assignment.work.id);
    let work = serde_json::to_vec(assignment.work.as_ref()).ok()?;
    let runs = assignment
        .runs
        .iter()
        .map(|run| messages::TaskRun {
            index: run.index,
            attempt: run.attempt.0,
        })
        .collect();
    Some(messages::Assignment {
        work: work.into(),
        runs,
        completed: job.map_or(0, |job| job.counts().completed),
    })
}

/// The load of all groups of live, serving hosts, from gossip.
fn group_loads(shared: &shared::Shared) -> Vec<balance::GroupLoad> {
    let now_ms = shared.now_ms();
    let serving = lifecycle::Phase::Serving.to_string();
    let hosts = shared.membership().hosts(now_ms);
    let live = hosts
        .iter()
        .filter(|host| host.liveness == Liveness::Live && host.rumor.phase == serving);
    live.flat_map(|host| &host.rumor.groups)
        .map(|rumor| balance::GroupLoad {
            id: ids::GroupId::new(&ids::ZoneId::new(&rumor.zone), rumor.index as u16),
            free: group::decode_resources(rumor.free.as_ref()),
            capacity: group::decode_resources(rumor.capacity.as_ref()),
            waiting_tasks: rumor.waiting_tasks,
        })
        .collect()
}
