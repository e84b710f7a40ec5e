//! Worker reports about runs: confirmed and refused starts, and ends.

use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::decision;
use crate::lifecycle;
use crate::table;

/// How long a worker gets no starts after a refusal or a lost reply.
const REFUSAL_BACKOFF_MS: u64 = 1_000;
/// Delay before a task that failed once is queued again; doubles with each failure.
const FIRST_RESTART_DELAY_MS: u64 = 100;
/// Limit on the doublings of the restart delay.
const MAX_RESTART_DOUBLINGS: u32 = 9;
/// Unproven failures quarantine no further worker once one in this many is quarantined.
const QUARANTINED_SHARE_DIVISOR: usize = 4;
/// Run time after which a service replica counts as a success for its worker, however it ends.
const MIN_HEALTHY_RUN_MS: u64 = 10_000;

impl Group {
    /// Records that a worker confirmed a start.
    pub fn started(&mut self, run: &ids::TaskAttempt) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        self.update_run_state(slot, lifecycle::RunState::confirm);
        self.drain_replaced(slot);
    }

    /// Records that a worker refused a start; the task is queued under its next
    /// attempt.
    ///
    /// A refusal because of an old attempt means that the run is or was on the worker,
    /// so it keeps counting until the worker reports its end.
    pub fn refused(&mut self, run: &ids::TaskAttempt, reason: workers::RefusalReason, now_ms: u64) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        let Some(placement) = self.tasks[slot].run_state.placement() else {
            return;
        };
        match reason {
            workers::RefusalReason::OldAttempt => {}
            workers::RefusalReason::NoRoom => {
                self.suspend_starts(placement.worker, now_ms);
                self.not_started(run, now_ms);
            }
            workers::RefusalReason::Leaving => {
                let worker = self.workers[placement.worker as usize].id.clone();
                self.not_started(run, now_ms);
                self.set_worker_state(&worker, true, now_ms);
            }
        }
    }

    /// Records that a start was certainly not carried out; the task is queued under its
    /// next attempt.
    pub fn not_started(&mut self, run: &ids::TaskAttempt, now_ms: u64) {
        let Some(slot) = self.placed_slot(run) else {
            return;
        };
        let next = self.next_attempt(slot);
        self.detach(slot, next);
        if self.is_finished(slot) {
            self.remove_ended(slot);
        } else {
            self.requeue(slot, None, now_ms);
        }
    }

    /// Records that the reply to a start was lost: the run may exist and keeps
    /// counting.
    ///
    /// The worker gets no starts for a short time. Its next report settles the run
    /// through [`Group::adopt`], [`Group::started`], [`Group::ended`] or
    /// [`Group::not_started`].
    pub fn start_unknown(&mut self, run: &ids::TaskAttempt, now_ms: u64) {
        if let Some(slot) = self.placed_slot(run)
            && let Some(placement) = self.tasks[slot].run_state.placement()
        {
            self.suspend_starts(placement.worker, now_ms);
        }
    }

    /// Suspends starts on a worker for [`REFUSAL_BACKOFF_MS`].
    fn suspend_starts(&mut self, worker: u32, now_ms: u64) {
        self.workers[worker as usize].refusing_until_ms = Some(now_ms + REFUSAL_BACKOFF_MS);
        self.watch_expiry(worker);
        self.reindex(worker);
    }

    /// Records that a run has certainly ended, and returns the outcome for its task.
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
        let worker_at_fault = self.attribute_end(slot, end, ran_ms, now_ms);
        self.record_end_usage(slot, end);
        let next = self.next_attempt(slot);
        self.detach(slot, next);
        if self.is_finished(slot) {
            self.remove_ended(slot);
            return decision::EndEffect::Finished;
        }
        self.apply_end(slot, end, worker_at_fault, now_ms)
    }

    fn next_attempt(&self, slot: u32) -> ids::Attempt {
        let task = &self.tasks[slot];
        task.run_state.attempt().next().max(task.next_attempt)
    }

    /// Returns whether a task is not started again however its run ends.
    pub(super) fn is_finished(&self, slot: u32) -> bool {
        let task = &self.tasks[slot];
        task.orphan || task.replaced || self.is_cancelled(task.work) || self.is_surplus(slot)
    }

    /// Removes an ended task. If it was an orphan, queues the task that it blocked.
    fn remove_ended(&mut self, slot: u32) {
        if !self.tasks[slot].orphan {
            if self.tasks[slot].blocked_by == 0 {
                self.remove_task(slot);
            }
            return;
        }
        let (work, index) = (self.tasks[slot].work, self.tasks[slot].index);
        self.orphans.retain(|_, &mut orphan| orphan != slot);
        if let Some(&blocked) = self.task_slots.get(&(work, index)) {
            let task = &mut self.tasks[blocked];
            task.blocked_by -= 1;
            if task.blocked_by == 0 && task.run_state.placement().is_none() {
                if self.is_finished(blocked) {
                    self.remove_task(blocked);
                } else {
                    self.enqueue(blocked, false);
                }
            }
        }
        self.remove_task(slot);
    }

    /// Records an end in the health of worker and job. Returns whether the worker is
    /// now quarantined.
    fn attribute_end(&mut self, slot: u32, end: workers::RunEnd, ran_ms: u64, now_ms: u64) -> bool {
        let task = &self.tasks[slot];
        let Some(placement) = task.run_state.placement() else {
            return false;
        };
        let is_service = self.works[task.work].work.kind == work::WorkKind::Service;
        if end == workers::RunEnd::Completed || (is_service && ran_ms >= MIN_HEALTHY_RUN_MS) {
            self.record_success(task.work, placement.worker, now_ms);
            return false;
        }
        if end != workers::RunEnd::Failed {
            return false;
        }
        let count_unproven = self.may_quarantine_unproven();
        let entry = &mut self.works[task.work];
        let quarantined = self.workers[placement.worker as usize]
            .health
            .record_failure(
                placement.worker,
                entry.attribution_id,
                &mut entry.health,
                count_unproven,
                now_ms,
            );
        self.tasks[slot].failed_on = Some(placement.worker);
        if quarantined {
            self.watch_expiry(placement.worker);
        }
        quarantined
    }

    /// Records a success of worker and job, and a failure of other workers on which the
    /// job failed.
    fn record_success(&mut self, work: u32, worker: u32, now_ms: u64) {
        self.workers[worker as usize].health.record_success();
        for failed_on in self.works[work].health.record_success() {
            let other = &mut self.workers[failed_on as usize];
            if failed_on != worker && other.health.record_confirmed_failure(now_ms) {
                self.watch_expiry(failed_on);
                self.reindex(failed_on);
            }
        }
    }

    /// Returns whether few enough workers are quarantined for unproven failures to
    /// quarantine another.
    ///
    /// Many broken new jobs at once would otherwise quarantine all workers.
    fn may_quarantine_unproven(&self) -> bool {
        let quarantined = self.expiring.iter().filter(|&&worker| {
            let health = &self.workers[worker as usize].health;
            health.quarantined_until_ms().is_some()
        });
        quarantined.count() * QUARANTINED_SHARE_DIVISOR < self.workers.len()
    }

    /// Restarts, finishes or returns a task whose run ended.
    fn apply_end(
        &mut self,
        slot: u32,
        end: workers::RunEnd,
        worker_at_fault: bool,
        now_ms: u64,
    ) -> decision::EndEffect {
        let work = self.tasks[slot].work;
        let definition = &self.works[work].work;
        let is_service = definition.kind == work::WorkKind::Service;
        let max_attempts = definition.max_attempts;
        match end {
            workers::RunEnd::Completed if !is_service => {
                self.works[work].completed += 1;
                self.remove_task(slot);
                return decision::EndEffect::Finished;
            }
            workers::RunEnd::LeaseLapsed if !is_service && !definition.idempotent => {
                self.remove_task(slot);
                return decision::EndEffect::Unresolved;
            }
            workers::RunEnd::Failed if !worker_at_fault => {
                self.tasks[slot].failures += 1;
                if !is_service && self.tasks[slot].failures >= max_attempts {
                    self.remove_task(slot);
                    return decision::EndEffect::Failed;
                }
            }
            _ => {}
        }
        let next = self.tasks[slot].run_state.attempt();
        if self.works[work].status == table::WorkStatus::Aborted || self.has_members_elsewhere(work)
        {
            let id = self.works[work].work.id.clone();
            self.remove_task(slot);
            self.abort_gang(&id);
            return decision::EndEffect::Returned { next };
        }
        let failed = matches!(end, workers::RunEnd::Failed | workers::RunEnd::Completed);
        let delay_ms = failed.then(|| {
            let doublings = self.tasks[slot].failures.saturating_sub(1);
            FIRST_RESTART_DELAY_MS << doublings.min(MAX_RESTART_DOUBLINGS)
        });
        self.requeue(slot, delay_ms, now_ms);
        decision::EndEffect::Restart { next }
    }

    /// Returns whether members of a gang are in other groups.
    ///
    /// Such a gang cannot be restarted by this group alone, so its members leave the
    /// group.
    fn has_members_elsewhere(&self, work: u32) -> bool {
        let entry = &self.works[work];
        let local_members = entry.members.len() as u32 + entry.completed;
        entry.work.kind == work::WorkKind::GangJob
            && !entry.provisional
            && local_members < entry.work.tasks
    }

    /// Queues a task again, after a delay if one is given. The other members of its
    /// gang are stopped.
    fn requeue(&mut self, slot: u32, delay_ms: Option<u64>, now_ms: u64) {
        self.stop_gang_members(slot);
        if self.tasks[slot].blocked_by > 0 {
            return;
        }
        match delay_ms {
            Some(delay_ms) => {
                let at_ms = now_ms + delay_ms;
                self.tasks[slot].restart_at_ms = Some(at_ms);
                self.scheduled_restarts.insert((at_ms, slot));
            }
            None => self.enqueue(slot, true),
        }
    }

    /// Stops all members of a task's gang, since they have to restart together.
    fn stop_gang_members(&mut self, slot: u32) {
        let work = self.tasks[slot].work;
        if self.works[work].work.kind != work::WorkKind::GangJob {
            return;
        }
        for member in self.works[work].members.clone() {
            self.stop(member, workers::StopMode::Checkpoint);
        }
    }
}
