//! The set of workers of the group, from the platform's list and the roster.

use std::sync::Arc;
use std::time;

use calls::LeavingSource;
use indexmap::IndexMap;
use kernel::ids;
use platform::workers;

use super::{GroupOwner, link, state};

/// Timeout of one worker-list request.
const LIST_TIMEOUT_MS: u64 = 2_000;

impl GroupOwner {
    /// Starts reading the platform's worker list if it is due.
    pub(super) fn refresh_worker_list(
        self: &Arc<Self>,
        state: &mut state::GroupState,
        now_ms: u64,
    ) {
        if state.list_in_flight || now_ms < state.list_due_at_ms {
            return;
        }
        state.list_in_flight = true;
        let owner = Arc::clone(self);
        tokio::spawn(async move {
            let limit = time::Duration::from_millis(LIST_TIMEOUT_MS);
            let list = owner.shared.platform.workers.list(&owner.id.zone);
            let result = tokio::time::timeout(limit, list).await;
            let now_ms = owner.shared.now_ms();
            let mut state = owner.state();
            state.list_in_flight = false;
            state.list_due_at_ms = now_ms + owner.shared.config.worker_list_interval_ms;
            match result {
                Ok(Ok(list)) => owner.apply_worker_list(&mut state, list, now_ms),
                Ok(Err(error)) => log::debug!("cannot read the worker list: {error}"),
                Err(_) => log::debug!("cannot read the worker list: no answer before the timeout"),
            }
            drop(state);
            owner.wake.notify_one();
        });
    }

    /// Applies a worker list: which workers are listed and which are leaving.
    ///
    /// A new worker is used once it is in the roster. A worker that is no longer listed is
    /// kept until it stops answering, because the list may be incomplete.
    fn apply_worker_list(
        &self,
        state: &mut state::GroupState,
        list: Vec<workers::WorkerInfo>,
        now_ms: u64,
    ) {
        let topology = &self.shared.config.topology;
        let in_group =
            |info: &workers::WorkerInfo| topology.group_of(&info.zone, &info.rack) == self.id;
        let listed: IndexMap<ids::WorkerId, workers::WorkerInfo> = list
            .into_iter()
            .filter(in_group)
            .map(|info| (info.id.clone(), info))
            .collect();
        for (id, link) in &mut state.links {
            link.listed = listed.contains_key(id);
        }
        for info in listed.values() {
            if state.links.contains_key(&info.id) || state.roster.contains(&info.id) {
                self.add_or_update_worker(state, info.clone(), now_ms);
            }
        }
        state.listed = listed;
        state.list_received = true;
    }

    /// Adds a worker that is in the roster, or updates it from the list.
    pub(super) fn add_or_update_worker(
        &self,
        state: &mut state::GroupState,
        info: workers::WorkerInfo,
        now_ms: u64,
    ) {
        state
            .placement
            .set_worker(&placement::WorkerSpec::from(&info), now_ms);
        let id = info.id.clone();
        let leaving = info.state == workers::WorkerState::Leaving;
        if let Some(link) = state.links.get_mut(&id) {
            link.info = info;
        } else {
            self.add_link(state, info, now_ms);
        }
        if leaving {
            Self::mark_worker_leaving(state, &id, now_ms);
        }
    }

    fn add_link(&self, state: &mut state::GroupState, info: workers::WorkerInfo, now_ms: u64) {
        let leases_end_ms = now_ms + self.shared.config.lease_expiry_delay_ms();
        state.placement.fence_pending(&info.id, leases_end_ms);
        let listed = state.listed.contains_key(&info.id);
        let link = link::WorkerLink::new(info.clone(), listed, now_ms, leases_end_ms);
        state.links.insert(info.id, link);
    }

    /// Marks a worker as leaving: no tasks start on it, and its instances get no new calls.
    pub(super) fn mark_worker_leaving(
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        now_ms: u64,
    ) {
        state.placement.set_worker_state(worker, true, now_ms);
        let Some(link) = state.links.get(worker) else {
            return;
        };
        let runs: Vec<ids::TaskAttempt> = link.runs.keys().cloned().collect();
        for run in runs {
            if let Some(dispatcher) = state.dispatchers.get_mut(&run.task.work) {
                dispatcher.set_leaving(&run, LeavingSource::HostList);
            }
        }
    }

    /// Removes workers that did not answer a probe after all their leases had expired; nothing
    /// runs on them any more.
    pub(super) fn remove_lost_workers(&self, state: &mut state::GroupState, now_ms: u64) {
        let lost: Vec<ids::WorkerId> = state
            .links
            .iter()
            .filter(|(_, link)| link.is_lost())
            .map(|(id, _)| id.clone())
            .collect();
        for worker in lost {
            self.remove_lost_worker(state, &worker, now_ms);
        }
    }

    fn remove_lost_worker(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        now_ms: u64,
    ) {
        let Some(link) = state.links.shift_remove(worker) else {
            return;
        };
        kernel::log_event!(
            crate::events::WORKER_LOST,
            "{worker} of {}: the leases of its {} runs have expired",
            self.id,
            link.runs.len()
        );
        if !state.recovered {
            state.lost_before_recovery.insert(worker.clone());
        }
        for (_, run) in link.runs {
            let finished = workers::FinishedRun {
                order: run.order,
                end: workers::RunEnd::LeaseLapsed,
                ran_ms: 0,
            };
            self.apply_end(state, worker, &finished, now_ms);
        }
        for order in &link.starts {
            state.placement.not_started(&order.run, now_ms);
        }
        state.placement.remove_worker(worker, now_ms);
        if link.listed {
            self.add_or_update_worker(state, link.info, now_ms);
        }
    }
}
