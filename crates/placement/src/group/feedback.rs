//! What workers report about runs.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::decision;
use crate::life;
use crate::table;

/// How long a worker gets no starts after a refusal or a lost reply.
const REFUSAL_PAUSE_MS: u64 = 1_000;
/// Wait before a task that failed once starts again; doubles with each failure.
const RESTART_DELAY_MS: u64 = 100;
/// Doublings of that wait at most.
const RESTART_DOUBLINGS: u32 = 9;
/// At most one worker in this many is in quarantine before suspicions stop counting.
const SUSPECTED_PART: usize = 4;
/// A service replica that ran this long speaks for its worker.
const HEALTHY_RUN_MS: u64 = 10_000;

impl Group {
    /// A worker confirmed a start.
    pub fn started(&mut self, run: &ids::TaskAttempt) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        self.change_life(slot, life::Life::confirm);
        self.drain_replaced(slot);
    }

    /// A worker did not carry out a start; the task waits under its next attempt.
    ///
    /// A refusal because of an old attempt says that the run is or was there:
    /// it keeps counting until the worker reports it.
    pub fn refused(&mut self, run: &ids::TaskAttempt, reason: workers::RefusalReason, now_ms: u64) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        let Some(placement) = self.tasks[slot].life.placement() else {
            return;
        };
        match reason {
            workers::RefusalReason::OldAttempt => {}
            workers::RefusalReason::NoRoom => {
                self.pause(placement.worker, now_ms);
                self.not_started(run, now_ms);
            }
            workers::RefusalReason::Leaving => {
                let worker = self.workers[placement.worker as usize].id.clone();
                self.not_started(run, now_ms);
                self.set_worker_state(&worker, true, now_ms);
            }
        }
    }

    /// A start is known not to have been carried out; the task waits under its next attempt.
    pub fn not_started(&mut self, run: &ids::TaskAttempt, now_ms: u64) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        let next = self.next_attempt(slot);
        self.detach(slot, next);
        if self.is_over(slot) {
            self.close(slot);
        } else {
            self.requeue(slot, None, now_ms);
        }
    }

    /// The reply to a start was lost: the run may exist and keeps counting.
    ///
    /// The worker gets no more starts for a moment. Its next report settles the
    /// run: [`Group::adopt`], [`Group::started`], [`Group::ended`] or
    /// [`Group::not_started`].
    pub fn start_unknown(&mut self, run: &ids::TaskAttempt, now_ms: u64) {
        if let Some(slot) = self.placed_slot(run)
            && let Some(placement) = self.tasks[slot].life.placement()
        {
            self.pause(placement.worker, now_ms);
        }
    }

    /// Sends a worker no starts for a moment.
    fn pause(&mut self, worker: u32, now_ms: u64) {
        self.workers[worker as usize].refusing_until_ms = Some(now_ms + REFUSAL_PAUSE_MS);
        self.watch_time(worker);
        self.reindex(worker);
    }

    /// A run has ended for certain.
    pub fn ended(
        &mut self,
        run: &ids::TaskAttempt,
        end: workers::RunEnd,
        ran_ms: u64,
        now_ms: u64,
    ) -> decision::EndEffect {
        let Some(slot) = self.placed_slot(run) else {
            return decision::EndEffect::Ignored;
        };
        let blameless = self.attribute(slot, end, ran_ms, now_ms);
        self.learn_end(slot, end);
        let next = self.next_attempt(slot);
        self.detach(slot, next);
        if self.is_over(slot) {
            self.close(slot);
            return decision::EndEffect::Finished;
        }
        self.settle(slot, end, blameless, now_ms)
    }

    fn next_attempt(&self, slot: u32) -> ids::Attempt {
        let task = &self.tasks[slot];
        task.life.attempt().next().max(task.next_attempt)
    }

    /// Whether a task that ended is not started again, whatever its end.
    pub(super) fn is_over(&self, slot: u32) -> bool {
        let task = &self.tasks[slot];
        task.orphan || task.replaced || self.is_cancelled(task.work) || self.is_surplus(slot)
    }

    /// Forgets a task, and lets the task wait that an orphan kept from starting.
    fn close(&mut self, slot: u32) {
        if !self.tasks[slot].orphan {
            if self.tasks[slot].blocked_by == 0 {
                self.remove_task(slot);
            }
            return;
        }
        let (work, index) = (self.tasks[slot].work, self.tasks[slot].index);
        self.orphans.retain(|_, &mut orphan| orphan != slot);
        if let Some(&main) = self.task_numbers.get(&(work, index)) {
            let task = &mut self.tasks[main];
            task.blocked_by -= 1;
            if task.blocked_by == 0 && task.life.placement().is_none() {
                if self.is_over(main) {
                    self.remove_task(main);
                } else {
                    self.enqueue(main, false);
                }
            }
        }
        self.remove_task(slot);
    }

    /// Counts an end for or against worker and job; returns whether the worker is to blame.
    fn attribute(&mut self, slot: u32, end: workers::RunEnd, ran_ms: u64, now_ms: u64) -> bool {
        let task = &self.tasks[slot];
        let Some(placement) = task.life.placement() else {
            return false;
        };
        let service = self.works[task.work].work.kind == work::WorkKind::Service;
        if end == workers::RunEnd::Completed || (service && ran_ms >= HEALTHY_RUN_MS) {
            self.note_success(task.work, placement.worker, now_ms);
            return false;
        }
        if end != workers::RunEnd::Failed {
            return false;
        }
        let on_suspicion = self.may_suspect();
        let entry = &mut self.works[task.work];
        let quarantined = self.workers[placement.worker as usize].health.failure(
            placement.worker,
            entry.serial,
            &mut entry.health,
            on_suspicion,
            now_ms,
        );
        self.tasks[slot].failed_on = Some(placement.worker);
        if quarantined {
            self.watch_time(placement.worker);
        }
        quarantined
    }

    /// Counts a success for worker and job, and against workers on which the job failed.
    fn note_success(&mut self, work: u32, worker: u32, now_ms: u64) {
        self.workers[worker as usize].health.success();
        for failed_on in self.works[work].health.success() {
            let other = &mut self.workers[failed_on as usize];
            if failed_on != worker && other.health.proven(now_ms) {
                self.watch_time(failed_on);
                self.reindex(failed_on);
            }
        }
    }

    /// Whether few enough workers are in quarantine for suspicions to add one.
    ///
    /// When many new jobs are broken, all workers are suspected at once.
    fn may_suspect(&self) -> bool {
        let quarantined = self.timed.iter().filter(|&&worker| {
            let health = &self.workers[worker as usize].health;
            health.quarantined_until().is_some()
        });
        quarantined.count() * SUSPECTED_PART < self.workers.len()
    }

    /// What becomes of a task whose run ended.
    fn settle(
        &mut self,
        slot: u32,
        end: workers::RunEnd,
        blameless: bool,
        now_ms: u64,
    ) -> decision::EndEffect {
        let work = self.tasks[slot].work;
        let definition = &self.works[work].work;
        let service = definition.kind == work::WorkKind::Service;
        let max_attempts = definition.max_attempts;
        match end {
            workers::RunEnd::Completed if !service => {
                self.works[work].completed += 1;
                self.remove_task(slot);
                return decision::EndEffect::Finished;
            }
            workers::RunEnd::LeaseLapsed if !service && !definition.idempotent => {
                self.remove_task(slot);
                return decision::EndEffect::Unresolved;
            }
            workers::RunEnd::Failed if !blameless => {
                self.tasks[slot].failures += 1;
                if !service && self.tasks[slot].failures >= max_attempts {
                    self.remove_task(slot);
                    return decision::EndEffect::Failed;
                }
            }
            _ => {}
        }
        let next = self.tasks[slot].life.attempt();
        if self.works[work].standing == table::Standing::Aborted || self.is_split(work) {
            let id = self.works[work].work.id.clone();
            self.remove_task(slot);
            self.abort_gang(&id);
            return decision::EndEffect::Returned { next };
        }
        let failed = matches!(end, workers::RunEnd::Failed | workers::RunEnd::Completed);
        let delay_ms = failed.then(|| {
            let doublings = self.tasks[slot].failures.saturating_sub(1);
            RESTART_DELAY_MS << doublings.min(RESTART_DOUBLINGS)
        });
        self.requeue(slot, delay_ms, now_ms);
        decision::EndEffect::Restart { next }
    }

    /// Whether other members of a gang stand in other groups.
    ///
    /// Such a gang cannot start again here alone: its members leave the group.
    fn is_split(&self, work: u32) -> bool {
        let entry = &self.works[work];
        let here = entry.members.len() as u32 + entry.completed;
        entry.work.kind == work::WorkKind::GangJob && !entry.provisional && here < entry.work.tasks
    }

    /// Lets a task wait again, after a delay if there is one.
    fn requeue(&mut self, slot: u32, delay_ms: Option<u64>, now_ms: u64) {
        self.stop_gang(slot);
        if self.tasks[slot].blocked_by > 0 {
            return;
        }
        match delay_ms {
            Some(delay_ms) => {
                let at_ms = now_ms + delay_ms;
                self.tasks[slot].restart_at_ms = Some(at_ms);
                self.restarts.insert((at_ms, slot));
            }
            None => self.enqueue(slot, true),
        }
    }

    /// The members of a gang start together again when one of them has to.
    fn stop_gang(&mut self, slot: u32) {
        let work = self.tasks[slot].work;
        if self.works[work].work.kind != work::WorkKind::GangJob {
            return;
        }
        for member in self.works[work].members.clone() {
            self.stop(member, workers::StopMode::Checkpoint);
        }
    }
}
