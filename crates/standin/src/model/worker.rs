//! State machine of a worker agent: epoch fencing, task lease, capacity and reports.

use indexmap::IndexMap;
use kernel::history::Event;
use kernel::ids;
use kernel::work;
use platform::workers::{
    FinishedRun, Refusal, RefusalReason, RunEnd, StartOrder, StopMode, StopOrder, SyncReply,
    SyncRequest, WorkerError, WorkerState,
};

use super::digest;
use super::run;
use crate::config;

/// A saved checkpoint: the attempt that wrote it and the run time completed so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Checkpoint {
    attempt: ids::Attempt,
    done_ms: u64,
}

/// State shared by all workers.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) behaviour: config::WorkerBehaviour,
    /// Work whose tasks fail on every worker.
    pub(super) failing_work: IndexMap<ids::WorkId, ()>,
    pub(super) checkpoints: IndexMap<ids::TaskId, Checkpoint>,
    /// Events not yet appended to the sink.
    pub(super) events: Vec<Event>,
}

/// The agent of one worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: ids::WorkerId,
    pub(super) capacity: work::Resources,
    pub(super) state: WorkerState,
    pub(super) alive: bool,
    pub(super) fails_all: bool,
    pub(super) epoch: ids::Epoch,
    // Sequence number of the last request in the current epoch; `None` before the first.
    sequence: Option<u64>,
    pub(super) runs: IndexMap<ids::TaskId, run::Run>,
    lease_ends_at_ms: u64,
    finished: IndexMap<ids::TaskAttempt, FinishedRun>,
    // The highest attempt of each task that was started or ordered to stop on this worker.
    attempts: IndexMap<ids::TaskId, ids::Attempt>,
}

impl Worker {
    pub(super) fn new(id: ids::WorkerId, capacity: work::Resources) -> Self {
        Self {
            id,
            capacity,
            state: WorkerState::Live,
            alive: true,
            fails_all: false,
            epoch: ids::Epoch::default(),
            sequence: None,
            runs: IndexMap::new(),
            lease_ends_at_ms: 0,
            finished: IndexMap::new(),
            attempts: IndexMap::new(),
        }
    }

    /// Time at which the worker next ends a run on its own; `None` without runs.
    pub(super) fn next_end_ms(&self) -> Option<u64> {
        if self.runs.is_empty() {
            return None;
        }
        let own = self.runs.values().filter_map(|run| run.scheduled_end);
        let first = own.map(|(at_ms, _)| at_ms).min();
        Some(first.map_or(self.lease_ends_at_ms, |at_ms| {
            at_ms.min(self.lease_ends_at_ms)
        }))
    }

    /// Ends the runs that have finished or whose lease has expired.
    pub(super) fn advance(&mut self, shared: &mut Shared, now_ms: u64) {
        let lease_expired = self.lease_ends_at_ms <= now_ms;
        let due: Vec<(ids::TaskId, RunEnd, u64)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.scheduled_end {
                Some((at_ms, end)) if at_ms <= now_ms && at_ms <= self.lease_ends_at_ms => {
                    Some((task.clone(), end, at_ms))
                }
                _ if lease_expired => {
                    Some((task.clone(), RunEnd::LeaseLapsed, self.lease_ends_at_ms))
                }
                _ => None,
            })
            .collect();
        for (task, end, at_ms) in due {
            self.end(shared, &task, end, at_ms);
        }
    }

    /// Rejects an epoch below the highest one seen; otherwise adopts it.
    ///
    /// # Errors
    ///
    /// The highest epoch seen, if `epoch` is lower.
    pub(super) fn check_epoch(
        &mut self,
        shared: &mut Shared,
        epoch: ids::Epoch,
    ) -> Result<(), ids::Epoch> {
        if epoch < self.epoch {
            shared.events.push(Event::OrderRefused {
                worker: self.id.clone(),
                epoch,
                seen: self.epoch,
            });
            return Err(self.epoch);
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.sequence = None;
        }
        Ok(())
    }

    /// Performs one exchange with an owner: renews the lease and executes the orders.
    pub(super) fn sync(
        &mut self,
        shared: &mut Shared,
        request: &SyncRequest,
        now_ms: u64,
    ) -> Result<SyncReply, WorkerError> {
        let admitted = self.check_epoch(shared, request.epoch);
        admitted.map_err(|seen| WorkerError::StaleEpoch { seen })?;
        if self.sequence.is_some_and(|last| request.sequence <= last) {
            return Err(WorkerError::OutOfOrder);
        }
        self.sequence = Some(request.sequence);
        self.lease_ends_at_ms = now_ms.saturating_add(request.lease_ms);
        for run in &request.acknowledged {
            self.finished.shift_remove(run);
        }
        for stop in &request.stops {
            self.stop(shared, stop, now_ms);
        }
        let mut refused = Vec::new();
        for order in &request.starts {
            if let Err(reason) = self.start(shared, order, now_ms) {
                let run = order.run.clone();
                refused.push(Refusal { run, reason });
            }
        }
        Ok(self.reply(shared, request.known_digest, refused, now_ms))
    }

    /// Marks the worker and its upstream instances as leaving.
    pub(super) fn leave(&mut self, shared: &mut Shared) {
        if self.state == WorkerState::Leaving {
            return;
        }
        self.state = WorkerState::Leaving;
        for run in self.runs.values_mut().filter(|run| is_upstream(&run.order)) {
            run.draining |= shared.behaviour.leaving_refuses;
            let task = run.order.run.task.clone();
            shared.events.push(Event::UpstreamLeaving { task });
        }
    }

    /// Ends the run of a task and retains its record until it is acknowledged.
    pub(super) fn end(&mut self, shared: &mut Shared, task: &ids::TaskId, end: RunEnd, at_ms: u64) {
        let Some(run) = self.runs.shift_remove(task) else {
            return;
        };
        shared.events.push(Event::TaskEnded {
            worker: self.id.clone(),
            run: run.order.run.clone(),
            completed: end == RunEnd::Completed,
        });
        if end == RunEnd::Checkpointed {
            shared.save_checkpoint(&run, at_ms);
        }
        let finished = run.finished(end, at_ms);
        self.finished.insert(run.order.run, finished);
    }

    fn start(
        &mut self,
        shared: &mut Shared,
        order: &StartOrder,
        now_ms: u64,
    ) -> Result<(), RefusalReason> {
        let task = &order.run.task;
        // Repeated order: the run is already in the report, so it is not a refusal.
        let runs = self
            .runs
            .get(task)
            .is_some_and(|run| run.is_run(&order.run));
        if runs || self.finished.contains_key(&order.run) {
            return Ok(());
        }
        let known = self.attempts.get(task);
        if known.is_some_and(|known| *known >= order.run.attempt) {
            return Err(RefusalReason::OldAttempt);
        }
        if self.state == WorkerState::Leaving {
            return Err(RefusalReason::Leaving);
        }
        // A later attempt replaces an earlier one and may use its resources.
        let replaced = self.runs.get(task).map(|run| run.order.demand);
        if !order
            .demand
            .fits_in(self.free_capacity(replaced.unwrap_or_default()))
        {
            return Err(RefusalReason::NoRoom);
        }
        self.end(shared, task, RunEnd::Stopped, now_ms);
        self.attempts.insert(task.clone(), order.run.attempt);
        let fails = self.fails_all || shared.failing_work.contains_key(&task.work);
        let done_ms = shared.done_ms(order);
        let run = run::Run::start(order, &shared.behaviour, now_ms, done_ms, fails);
        self.runs.insert(task.clone(), run);
        shared.events.push(Event::TaskStarted {
            worker: self.id.clone(),
            run: order.run.clone(),
            demand: order.demand,
            epoch: self.epoch,
        });
        Ok(())
    }

    fn stop(&mut self, shared: &mut Shared, stop: &StopOrder, now_ms: u64) {
        let task = &stop.run.task;
        let Some(run) = self.runs.get_mut(task).filter(|run| run.is_run(&stop.run)) else {
            self.record_stop(stop);
            return;
        };
        match stop.mode {
            StopMode::Throttle => run.throttled = true,
            StopMode::Checkpoint => self.end(shared, task, RunEnd::Checkpointed, now_ms),
            StopMode::Kill => self.end(shared, task, RunEnd::Stopped, now_ms),
            StopMode::Drain => {
                run.ends_when_idle = true;
                if !run.draining {
                    run.draining = true;
                    let task = task.clone();
                    shared.events.push(Event::UpstreamLeaving { task });
                }
                if run.minion.open_calls == 0 {
                    self.end(shared, task, RunEnd::Stopped, now_ms);
                }
            }
        }
    }

    /// Records a stop for a run that is not here, so that a late start order is refused.
    fn record_stop(&mut self, stop: &StopOrder) {
        if stop.mode == StopMode::Throttle {
            return;
        }
        let task = stop.run.task.clone();
        let known = self.attempts.entry(task).or_default();
        *known = (*known).max(stop.run.attempt);
    }

    fn free_capacity(&self, replaced: work::Resources) -> work::Resources {
        let mut assigned = work::Resources::default();
        for run in self.runs.values() {
            assigned += run.order.demand;
        }
        self.capacity
            .saturating_sub(assigned.saturating_sub(replaced))
    }

    fn reply(
        &self,
        shared: &Shared,
        known_digest: Option<u64>,
        refused: Vec<Refusal>,
        now_ms: u64,
    ) -> SyncReply {
        let lag_ms = shared.behaviour.usage_lag_ms;
        // Summed, so that the digest does not depend on the order of the runs.
        let digests = self.runs.values().map(|run| run.digest(now_ms, lag_ms));
        let digest = digests.fold(digest::of(self.runs.len()), u64::wrapping_add);
        let running = (known_digest != Some(digest)).then(|| {
            let runs = self.runs.values();
            runs.map(|run| run.report(now_ms, lag_ms)).collect()
        });
        SyncReply {
            digest,
            running,
            finished: self.finished.values().cloned().collect(),
            refused,
            state: self.state,
        }
    }
}

impl Shared {
    fn save_checkpoint(&mut self, run: &run::Run, now_ms: u64) {
        let earlier_ms = self.done_ms(&run.order);
        let checkpoint = Checkpoint {
            attempt: run.order.run.attempt,
            done_ms: earlier_ms + now_ms.saturating_sub(run.started_at_ms),
        };
        let task = run.order.run.task.clone();
        self.checkpoints.insert(task, checkpoint);
    }

    /// Run time already completed before this run; only a later attempt resumes from a checkpoint.
    fn done_ms(&self, order: &StartOrder) -> u64 {
        let checkpoint = self.checkpoints.get(&order.run.task);
        let usable = checkpoint.filter(|checkpoint| checkpoint.attempt < order.run.attempt);
        usable.map_or(0, |checkpoint| checkpoint.done_ms)
    }
}

/// Whether an order starts an upstream instance.
pub(super) const fn is_upstream(order: &StartOrder) -> bool {
    matches!(order.kind, work::WorkKind::Service)
}
