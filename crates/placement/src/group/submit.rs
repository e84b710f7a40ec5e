//! Submission of works and their tasks.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;
use platform::workers;

use super::Group;
use crate::health;
use crate::table;

impl Group {
    /// Adds tasks of a work to the queue.
    ///
    /// A gang starts once all its members are in this group. A gang that is divided
    /// among groups is started with [`Group::reserve`] and [`Group::confirm`] instead.
    /// Submitting the same runs again has no effect. Tasks of a cancelled job are
    /// ignored, while a cancelled service may be submitted again.
    pub fn submit(
        &mut self,
        work: &Arc<work::Work>,
        runs: &[(u32, ids::Attempt)],
        shard: Option<ids::ShardId>,
        now_ms: u64,
    ) {
        let Some(work_slot) = self.submit_work(work, shard, now_ms) else {
            return;
        };
        for &(index, attempt) in runs {
            self.submit_task(work_slot, index, attempt, now_ms);
        }
        self.remove_unused_work(work_slot);
    }

    /// Sets how many members of a submitted gang completed under an earlier owner.
    ///
    /// A gang starts only when all members that have not completed wait in this group.
    /// Without this count, a group after a takeover would wait for members that have
    /// already completed.
    pub fn gang_completed(&mut self, work: &ids::WorkId, completed: u32) {
        if let Some(&work_slot) = self.work_slots.get(work) {
            let entry = &mut self.works[work_slot];
            entry.completed = entry.completed.max(completed);
        }
    }

    /// Returns the entry of a work, creating or updating it; `None` if the job was cancelled.
    pub(super) fn submit_work(
        &mut self,
        work: &Arc<work::Work>,
        shard: Option<ids::ShardId>,
        now_ms: u64,
    ) -> Option<u32> {
        if self.cancelled_works.contains(&work.id) {
            if work.kind != work::WorkKind::Service {
                return None;
            }
            self.cancelled_works.remove(&work.id);
        }
        let Some(&work_slot) = self.work_slots.get(&work.id) else {
            return Some(self.insert_work(work, shard));
        };
        self.works[work_slot].status = table::WorkStatus::Active;
        self.works[work_slot].shard = shard;
        if self.works[work_slot].provisional || *self.works[work_slot].work != **work {
            self.update_work(work_slot, work);
            self.drain_surplus(work_slot);
            self.record_outdated(work_slot);
            if work.kind == work::WorkKind::Service {
                self.restore_replacements(work_slot, now_ms);
            }
        }
        Some(work_slot)
    }

    fn insert_work(&mut self, work: &Arc<work::Work>, shard: Option<ids::ShardId>) -> u32 {
        let team = self.teams.intern(&work.team);
        let class = self.estimates.class_of(work);
        self.next_attribution_id = self.next_attribution_id.wrapping_add(1);
        let work_slot = self.works.insert(table::WorkEntry {
            work: Arc::clone(work),
            shard,
            team,
            class,
            status: table::WorkStatus::Active,
            queued: false,
            provisional: false,
            waiting: VecDeque::new(),
            members: Vec::new(),
            attribution_id: self.next_attribution_id,
            completed: 0,
            blocked_since_ms: None,
            block_reason: table::BlockReason::NotEvaluated,
            pending_preemptions: 0,
            racks: IndexMap::new(),
            health: health::JobHealth::default(),
        });
        self.work_slots.insert(work.id.clone(), work_slot);
        work_slot
    }

    /// Replaces the definition of a work. Later starts use the new one.
    fn update_work(&mut self, work_slot: u32, work: &Arc<work::Work>) {
        let team = self.teams.intern(&work.team);
        let class = self.estimates.class_of(work);
        let placed: Vec<u32> = self.works[work_slot]
            .members
            .iter()
            .copied()
            .filter(|&slot| self.tasks[slot].run_state.placement().is_some())
            .collect();
        let entry = &mut self.works[work_slot];
        let (old_team, old_urgency) = (entry.team, entry.work.urgency as usize);
        if entry.queued {
            entry.queued = false;
            let queue = &mut self.teams.get_mut(old_team).queues[old_urgency];
            queue.retain(|&other| other != work_slot);
        }
        // Kind and urgency determine the worker totals that a placed task counts in.
        for &slot in &placed {
            self.subtract_from_totals(slot);
        }
        let entry = &mut self.works[work_slot];
        if !entry.provisional && entry.work.since != work.since {
            entry.completed = 0;
        }
        entry.work = Arc::clone(work);
        entry.team = team;
        entry.class = class;
        entry.provisional = false;
        for &slot in &placed {
            self.add_to_totals(slot);
        }
        self.enqueue_work(work_slot);
    }

    fn submit_task(&mut self, work_slot: u32, index: u32, attempt: ids::Attempt, now_ms: u64) {
        if self.works[work_slot].work.kind == work::WorkKind::Service
            && self.alternate_task(work_slot, index).is_some()
        {
            return;
        }
        let Some(&slot) = self.task_slots.get(&(work_slot, index)) else {
            let slot = self.insert_task(table::Task::new(work_slot, index, attempt, now_ms));
            self.enqueue(slot, false);
            return;
        };
        let task = &mut self.tasks[slot];
        if attempt > task.next_attempt {
            task.next_attempt = attempt;
            task.raise_attempt(attempt);
        }
    }

    /// Returns the entry for a run found on a worker, created from its start order if
    /// the work is unknown.
    pub(super) fn work_for_order(&mut self, order: &workers::StartOrder) -> u32 {
        if let Some(&work_slot) = self.work_slots.get(&order.run.task.work) {
            return work_slot;
        }
        let work = Arc::new(work::Work {
            id: order.run.task.work.clone(),
            team: order.team.clone(),
            kind: order.kind,
            tasks: 0,
            demand: order.demand,
            urgency: order.urgency,
            policy: work::Policy::default(),
            run_time_ms: order.run_time_ms,
            max_attempts: 1,
            zones: Vec::new(),
            idempotent: false,
            slots: order.slots,
            connections: order.connections,
            since: ids::ReleaseVersion::default(),
            revision: order.revision,
        });
        let work_slot = self.insert_work(&work, order.shard);
        self.works[work_slot].provisional = true;
        if self.cancelled_works.contains(&work.id) {
            self.works[work_slot].status = table::WorkStatus::Cancelled;
        }
        work_slot
    }
}
