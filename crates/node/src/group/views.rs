//! Views of a group for operators and peers.

use kernel::ids;
use kernel::work;
use wire::messages;

use super::{GroupOwner, link, state};

/// The gossip entry of the group.
pub(super) fn rumor(
    state: &state::GroupState,
    id: &ids::GroupId,
    epoch: ids::Epoch,
) -> messages::GroupRumor {
    let services = state
        .dispatchers
        .iter()
        .map(|(service, dispatcher)| {
            let load = dispatcher.load();
            messages::ServiceRumor {
                service: service.to_string(),
                instances: load.instances,
                free_slots: load.free_slots,
                queue_delay_ms: load.queue_delay_ms,
            }
        })
        .filter(|service| service.instances > 0)
        .collect();
    messages::GroupRumor {
        zone: id.zone.to_string(),
        index: u32::from(id.index),
        epoch: epoch.0,
        free: Some(amount(state.placement.free())),
        capacity: Some(amount(state.placement.capacity())),
        waiting_tasks: (state.placement.waiting() + state.deferred_assignments.len()) as u32,
        services,
    }
}

fn amount(resources: work::Resources) -> messages::Amount {
    messages::Amount {
        cpu_milli: resources.cpu_milli,
        memory_mb: resources.memory_mb,
        accelerators: resources.accelerators,
    }
}

/// Decodes the resources in a message; an absent amount counts as zero.
pub(crate) fn decode_resources(amount: Option<&messages::Amount>) -> work::Resources {
    amount.map_or_else(work::Resources::default, |amount| {
        work::Resources::new(amount.cpu_milli, amount.memory_mb, amount.accelerators)
    })
}

impl GroupOwner {
    /// The workers of the group, for operators.
    pub(crate) fn worker_views(&self) -> Vec<api::WorkerView> {
        let state = self.state();
        let snapshot = state.placement.snapshot();
        snapshot
            .workers
            .into_iter()
            .map(|worker| {
                let is_unreachable = state
                    .links
                    .get(&worker.id)
                    .is_none_or(link::WorkerLink::is_failing);
                api::WorkerView {
                    worker: worker.id,
                    zone: self.id.zone.clone(),
                    rack: worker.rack,
                    capacity: worker.capacity,
                    assigned: worker.assigned,
                    quarantined: worker.state == "quarantined",
                    state: if is_unreachable {
                        "unreachable".to_owned()
                    } else {
                        worker.state.to_owned()
                    },
                }
            })
            .collect()
    }

    /// The runs on the workers of the group, for operators.
    pub(crate) fn placements(&self) -> Vec<api::Placement> {
        let state = self.state();
        state
            .links
            .iter()
            .flat_map(|(worker, link)| {
                link.runs
                    .values()
                    .map(|run| &run.order)
                    .map(move |order| api::Placement {
                        run: order.run.clone(),
                        team: order.team.clone(),
                        kind: order.kind,
                        worker: worker.clone(),
                        zone: link.info.zone.clone(),
                        rack: link.info.rack.clone(),
                        demand: order.demand,
                    })
            })
            .collect()
    }

    /// The state of a task in this group; `None` if the group does not have it.
    pub(crate) fn explain(&self, task: &ids::TaskId) -> Option<api::Explanation> {
        let state = self.state();
        let is_deferred = state.deferred_assignments.iter().any(|assignment| {
            assignment.work.id == task.work
                && assignment
                    .runs
                    .iter()
                    .any(|(index, _)| *index == task.index)
        });
        if is_deferred {
            return Some(api::Explanation {
                state: api::TaskState::Assigned,
                worker: None,
                attempt: ids::Attempt(0),
                reason: format!(
                    "{} has a new owner that is waiting for answers from its workers.",
                    self.id
                ),
            });
        }
        let explanation = state.placement.explain(task);
        let state = match explanation.state {
            placement::TaskState::Unknown => return None,
            placement::TaskState::Running | placement::TaskState::Stopping => {
                api::TaskState::Running
            }
            placement::TaskState::Waiting
            | placement::TaskState::Reserved
            | placement::TaskState::Starting => api::TaskState::Assigned,
        };
        Some(api::Explanation {
            state,
            worker: explanation.worker,
            attempt: explanation.attempt,
            reason: explanation.reason,
        })
    }

    /// The number of runs of some work in this group.
    pub(crate) fn running_count(&self, work: &ids::WorkId) -> u32 {
        let state = self.state();
        let runs = state.links.values().flat_map(|link| link.runs.keys());
        runs.filter(|run| run.task.work == *work).count() as u32
    }
}
