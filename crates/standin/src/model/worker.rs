//! The agent of one worker: fence, leases, capacity and reports.

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

/// What a checkpoint saved: which attempt wrote it and how much was done.
#[derive(Clone, Copy, Debug)]
pub(super) struct Checkpoint {
    attempt: ids::Attempt,
    done_ms: u64,
}

/// What all workers share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) behaviour: config::WorkerBehaviour,
    /// Work whose tasks fail wherever they run.
    pub(super) failing_work: IndexMap<ids::WorkId, ()>,
    pub(super) checkpoints: IndexMap<ids::TaskId, Checkpoint>,
    /// Events that are not yet in the sink.
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
    // The last request under the epoch; `None` if there was none.
    sequence: Option<u64>,
    pub(super) runs: IndexMap<ids::TaskId, run::Run>,
    lease_ends_at_ms: u64,
    finished: IndexMap<ids::TaskAttempt, FinishedRun>,
    // The highest attempt of each task that was started or ordered to stop here.
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

    /// When the worker next ends a run by itself.
    pub(super) fn next_end_ms(&self) -> Option<u64> {
        if self.runs.is_empty() {
            return None;
        }
        let own = self.runs.values().filter_map(|run| run.own_end);
        let first = own.map(|(at_ms, _)| at_ms).min();
        Some(first.map_or(self.lease_ends_at_ms, |at_ms| {
            at_ms.min(self.lease_ends_at_ms)
        }))
    }

    /// Ends the runs whose time or lease has run out.
    pub(super) fn advance(&mut self, shared: &mut Shared, now_ms: u64) {
        let lease_over = self.lease_ends_at_ms <= now_ms;
        let due: Vec<(ids::TaskId, RunEnd, u64)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.own_end {
                Some((at_ms, end)) if at_ms <= now_ms && at_ms <= self.lease_ends_at_ms => {
                    Some((task.clone(), end, at_ms))
                }
                _ if lease_over => Some((task.clone(), RunEnd::LeaseLapsed, self.lease_ends_at_ms)),
                _ => None,
            })
            .collect();
        for (task, end, at_ms) in due {
            self.end(shared, &task, end, at_ms);
        }
    }

    /// Compares the token of an order with the highest that was seen, and raises it.
    pub(super) fn admit(
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

    /// Carries out one exchange with an owner.
    pub(super) fn sync(
        &mut self,
        shared: &mut Shared,
        request: &SyncRequest,
        now_ms: u64,
    ) -> Result<SyncReply, WorkerError> {
        let admitted = self.admit(shared, request.epoch);
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

    /// Marks the worker as leaving, and its upstream instances with it.
    pub(super) fn leave(&mut self, shared: &mut Shared) {
        self.state = WorkerState::Leaving;
        for run in self.runs.values_mut().filter(|run| is_upstream(&run.order)) {
            run.draining |= shared.behaviour.leaving_refuses;
            let task = run.order.run.task.clone();
            shared.events.push(Event::UpstreamLeaving { task });
        }
    }

    /// Ends the run of a task and keeps its record until it is acknowledged.
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
            shared.save(&run, at_ms);
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
        // A repeated order: the run is in the report, so there is nothing to refuse.
        let runs = self.runs.get(task).is_some_and(|run| run.is(&order.run));
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
        // A later attempt replaces an earlier one, whose room it may use.
        let replaced = self.runs.get(task).map(|run| run.order.demand);
        if !order
            .demand
            .fits_in(self.room(replaced.unwrap_or_default()))
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
        let Some(run) = self.runs.get_mut(task).filter(|run| run.is(&stop.run)) else {
            self.remember_stop(stop);
            return;
        };
        match stop.mode {
            StopMode::Throttle => run.throttled = true,
            StopMode::Checkpoint => self.end(shared, task, RunEnd::Checkpointed, now_ms),
            StopMode::Kill => self.end(shared, task, RunEnd::Stopped, now_ms),
            StopMode::Drain => {
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

    /// Refuses a start that arrives after the order to stop the same run.
    fn remember_stop(&mut self, stop: &StopOrder) {
        if stop.mode == StopMode::Throttle {
            return;
        }
        let task = stop.run.task.clone();
        let known = self.attempts.entry(task).or_default();
        *known = (*known).max(stop.run.attempt);
    }

    fn room(&self, replaced: work::Resources) -> work::Resources {
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
        // Added up, so that the order of the runs does not matter.
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
    fn save(&mut self, run: &run::Run, now_ms: u64) {
        let behind_ms = self.done_ms(&run.order);
        let checkpoint = Checkpoint {
            attempt: run.order.run.attempt,
            done_ms: behind_ms + now_ms.saturating_sub(run.started_at_ms),
        };
        let task = run.order.run.task.clone();
        self.checkpoints.insert(task, checkpoint);
    }

    /// The work behind a run: only a later attempt resumes from a checkpoint.
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
