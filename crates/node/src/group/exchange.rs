//! Sync exchanges with workers, and the handling of their replies.

use std::sync::Arc;
use std::time;

use calls::LeavingSource;
use indexmap::IndexSet;
use kernel::ids;
use placement::EndEffect;
use platform::workers;

use super::{GroupOwner, link, reports, state};
use crate::events;

/// Timeout of one exchange with a worker.
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;

impl GroupOwner {
    /// Sends a sync request to a worker and applies the reply.
    pub(super) async fn exchange(
        self: Arc<Self>,
        worker: workers::WorkerInfo,
        request: workers::SyncRequest,
    ) {
        let limit = time::Duration::from_millis(EXCHANGE_TIMEOUT_MS);
        let sync = self.shared.platform.workers.sync(&worker, &request);
        let result = tokio::time::timeout(limit, sync).await.unwrap_or_else(|_| {
            Err(workers::WorkerError::ReplyLost {
                detail: "no reply before the timeout".to_owned(),
            })
        });
        let now_ms = self.shared.now_ms();
        {
            let mut state = self.state();
            match result {
                Ok(reply) => {
                    self.shared.metrics.record_worker_sync("ok");
                    self.apply_reply(&mut state, &worker.id, &request, reply, now_ms);
                }
                Err(error) => {
                    self.shared.metrics.record_worker_sync("failed");
                    self.apply_failure(&mut state, &worker.id, request, &error, now_ms);
                }
            }
        }
        self.wake.notify_one();
    }

    fn apply_reply(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        request: &workers::SyncRequest,
        reply: workers::SyncReply,
        now_ms: u64,
    ) {
        let Some(link) = state.links.get_mut(worker) else {
            return;
        };
        link.record_success(now_ms, self.shared.config.worker_sync_interval_ms);
        link.known_digest = Some(reply.digest);
        if !link.confirmed {
            link.confirmed = true;
            state.placement.worker_confirmed(worker);
        }
        for refusal in &reply.refused {
            Self::apply_refusal(state, worker, refusal, now_ms);
        }
        if let Some(running) = reply.running {
            self.reconcile_runs(state, worker, request, &running, &reply.finished, now_ms);
        }
        if state.recovered {
            for finished in &reply.finished {
                self.apply_end(state, worker, finished, now_ms);
            }
        } else if let Some(link) = state.links.get_mut(worker) {
            // Ends are applied after recovery, once the deferred assignments are queued.
            link.deferred_ends = reply.finished;
        }
        if reply.state == workers::WorkerState::Leaving {
            Self::mark_worker_leaving(state, worker, now_ms);
        }
    }

    fn apply_refusal(
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        refusal: &workers::Refusal,
        now_ms: u64,
    ) {
        kernel::log_event!(
            events::START_REFUSED,
            "{} on {worker}: {}",
            refusal.run,
            refusal.reason
        );
        if let Some(link) = state.links.get_mut(worker) {
            link.runs.shift_remove(&refusal.run);
        }
        state
            .placement
            .refused(&refusal.run, refusal.reason, now_ms);
    }

    /// Reconciles the owner's view of a worker with the runs that the worker lists.
    fn reconcile_runs(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        request: &workers::SyncRequest,
        running: &[workers::RunningTask],
        finished: &[workers::FinishedRun],
        now_ms: u64,
    ) {
        let mut listed: IndexSet<&ids::TaskAttempt> = IndexSet::new();
        for task in running {
            listed.insert(&task.order.run);
            self.reconcile_run(state, worker, request, task, now_ms);
        }
        listed.extend(finished.iter().map(|finished| &finished.order.run));
        let Some(link) = state.links.get(worker) else {
            return;
        };
        let missing: Vec<link::LinkedRun> = link
            .runs
            .iter()
            .filter(|(run, _)| !listed.contains(run))
            .map(|(_, linked)| linked.clone())
            .collect();
        for linked in missing {
            self.apply_missing_run(state, worker, linked, now_ms);
        }
    }

    /// Handles a run that the worker neither lists as running nor reports as ended.
    ///
    /// A run that the worker never listed was not started and cannot start any more: the
    /// worker refuses the request that would have started it, because it has answered a newer
    /// one. A run that the worker has listed before was lost with the worker's state.
    fn apply_missing_run(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        linked: link::LinkedRun,
        now_ms: u64,
    ) {
        if linked.was_listed {
            let finished = workers::FinishedRun {
                order: linked.order,
                end: workers::RunEnd::LeaseLapsed,
                ran_ms: 0,
            };
            self.apply_end(state, worker, &finished, now_ms);
            return;
        }
        if let Some(link) = state.links.get_mut(worker) {
            link.runs.shift_remove(&linked.order.run);
        }
        state.placement.not_started(&linked.order.run, now_ms);
    }

    fn reconcile_run(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        request: &workers::SyncRequest,
        task: &workers::RunningTask,
        now_ms: u64,
    ) {
        let run = &task.order.run;
        let just_started = request.starts.iter().any(|order| order.run == *run);
        let Some(link) = state.links.get_mut(worker) else {
            return;
        };
        let linked = link::LinkedRun {
            order: task.order.clone(),
            was_listed: true,
        };
        let was_linked = link.runs.insert(run.clone(), linked).is_some();
        if just_started {
            state.placement.started(run);
            self.shared.metrics.record_start();
        } else {
            state.placement.adopt(worker, &task.order, now_ms);
        }
        state.placement.usage(worker, run, task.usage, now_ms);
        if task.order.slots > 0 {
            let taken_over = !was_linked && !just_started && task.open_calls > 0;
            self.register_instance(state, worker, task, taken_over, now_ms);
        }
    }

    /// Registers a running task of a service as an upstream instance.
    fn register_instance(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        task: &workers::RunningTask,
        taken_over: bool,
        now_ms: u64,
    ) {
        let Some(address) = state
            .links
            .get(worker)
            .map(|link| link.info.address.clone())
        else {
            return;
        };
        let order = &task.order;
        let blocked_until_ms = now_ms + self.shared.config.default_deadline_ms;
        let dispatcher = state.dispatcher(&order.run.task.work);
        if taken_over {
            // Calls of the previous owner may still be open on the instance.
            dispatcher.block_until(&order.run, blocked_until_ms);
        }
        dispatcher.set_instance(&order.run, &address, order.slots, order.connections, now_ms);
        if task.draining {
            dispatcher.set_leaving(&order.run, LeavingSource::Signal);
        }
        let ready = dispatcher.dispatch_ready(now_ms);
        state.deliver_slots(ready);
    }

    /// Applies the end of a run. Idempotent.
    ///
    /// If the task is queued here for an attempt that has already ended, the run is adopted
    /// first, so that its end is counted. An end of a task that is not assigned to this group
    /// is only reported: the shard alone decides how to proceed.
    pub(super) fn apply_end(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        finished: &workers::FinishedRun,
        now_ms: u64,
    ) {
        let run = &finished.order.run;
        if was_applied(state, worker, finished) {
            return;
        }
        let link = state.links.get_mut(worker);
        let was_linked = link.is_none_or(|link| link.runs.shift_remove(run).is_some());
        let is_assigned =
            || state.placement.explain(&run.task).state != placement::TaskState::Unknown;
        if !was_linked && is_assigned() {
            state.placement.adopt(worker, &finished.order, now_ms);
        }
        if let Some(dispatcher) = state.dispatchers.get_mut(&run.task.work) {
            dispatcher.remove_instance(run);
        }
        let effect = state
            .placement
            .ended(run, finished.end, finished.ran_ms, now_ms);
        if effect != EndEffect::Ignored {
            self.shared.metrics.record_end(finished.end);
        }
        log::debug!("{run} on {worker}: {}, {effect:?}", finished.end);
        reports::queue_end_report(state, worker, finished);
    }

    fn apply_failure(
        &self,
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        request: workers::SyncRequest,
        error: &workers::WorkerError,
        now_ms: u64,
    ) {
        match error {
            workers::WorkerError::StaleEpoch { seen } => {
                kernel::log_event!(
                    events::OWNER_FENCED,
                    "{} under epoch {}: worker {worker} has seen epoch {seen}",
                    self.id,
                    self.epoch
                );
                self.stopped.cancel();
                return;
            }
            workers::WorkerError::Unreachable { .. } => {
                requeue_request(state, worker, request, now_ms);
                if let Some(link) = state.links.get_mut(worker) {
                    link.record_not_sent(now_ms);
                }
            }
            workers::WorkerError::ReplyLost { .. } | workers::WorkerError::OutOfOrder => {
                for order in &request.starts {
                    state.placement.start_unknown(&order.run, now_ms);
                }
                requeue_stops(state, worker, request);
                if let Some(link) = state.links.get_mut(worker) {
                    link.record_reply_lost(now_ms);
                }
            }
        }
        let Some(link) = state.links.get_mut(worker) else {
            return;
        };
        log::debug!("exchange with {worker} failed: {error}");
        // The failed exchange may have changed the worker's runs, so the next reply must
        // contain the complete list.
        link.known_digest = None;
    }
}

/// Whether the end was applied before: its report is unconfirmed, or its acknowledgement has
/// not been sent yet.
fn was_applied(
    state: &state::GroupState,
    worker: &ids::WorkerId,
    finished: &workers::FinishedRun,
) -> bool {
    let run = &finished.order.run;
    let acknowledged = state
        .links
        .get(worker)
        .is_some_and(|link| link.acknowledged.contains(run));
    let reported = finished
        .order
        .shard
        .and_then(|shard| state.reports.get(&shard))
        .is_some_and(|queue| queue.unconfirmed.contains_key(run));
    acknowledged || reported
}

/// Handles a request that did not reach the worker: its starts did not happen.
fn requeue_request(
    state: &mut state::GroupState,
    worker: &ids::WorkerId,
    request: workers::SyncRequest,
    now_ms: u64,
) {
    for order in &request.starts {
        if let Some(link) = state.links.get_mut(worker) {
            link.runs.shift_remove(&order.run);
        }
        state.placement.not_started(&order.run, now_ms);
    }
    requeue_stops(state, worker, request);
}

fn requeue_stops(
    state: &mut state::GroupState,
    worker: &ids::WorkerId,
    request: workers::SyncRequest,
) {
    let Some(link) = state.links.get_mut(worker) else {
        return;
    };
    link.stops.extend(request.stops);
    link.acknowledged.extend(request.acknowledged);
}
