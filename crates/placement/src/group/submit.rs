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
        let Some(number) = self.take_work(work, shard, now_ms) else {
            return;
        };
        for &(index, attempt) in runs {
            self.submit_task(number, index, attempt, now_ms);
        }
        self.forget_work(number);
    }

    /// Sets how many members of a submitted gang completed under an earlier owner.
    ///
    /// A gang starts only when all members that have not completed wait in this group.
    /// Without this count, a group after a takeover would wait for members that have
    /// already completed.
    pub fn gang_completed(&mut self, work: &ids::WorkId, completed: u32) {
        if let Some(&number) = self.work_numbers.get(work) {
            let entry = &mut self.works[number];
            entry.completed = entry.completed.max(completed);
        }
    }

    /// Returns the entry of a work, creating or updating it; `None` if the job was cancelled.
    pub(super) fn take_work(
        &mut self,
        work: &Arc<work::Work>,
        shard: Option<ids::ShardId>,
        now_ms: u64,
    ) -> Option<u32> {
        if self.cancelled.contains(&work.id) {
            if work.kind != work::WorkKind::Service {
                return None;
            }
            self.cancelled.remove(&work.id);
        }
        let Some(&number) = self.work_numbers.get(&work.id) else {
            return Some(self.new_work(work, shard));
        };
        self.works[number].standing = table::Standing::Wanted;
        self.works[number].shard = shard;
        if self.works[number].provisional || *self.works[number].work != **work {
            self.update_work(number, work);
            self.drain_surplus(number);
            self.note_outdated(number);
            if work.kind == work::WorkKind::Service {
                self.settle_replicas(number, now_ms);
            }
        }
        Some(number)
    }

    fn new_work(&mut self, work: &Arc<work::Work>, shard: Option<ids::ShardId>) -> u32 {
        let team = self.teams.number(&work.team);
        let class = self.estimates.class_of(work);
        self.next_serial = self.next_serial.wrapping_add(1);
        let number = self.works.insert(table::WorkEntry {
            work: Arc::clone(work),
            shard,
            team,
            class,
            standing: table::Standing::Wanted,
            queued: false,
            provisional: false,
            waiting: VecDeque::new(),
            members: Vec::new(),
            serial: self.next_serial,
            completed: 0,
            blocked_since_ms: None,
            block: table::Block::NotAsked,
            displacing: 0,
            racks: IndexMap::new(),
            health: health::JobHealth::default(),
        });
        self.work_numbers.insert(work.id.clone(), number);
        number
    }

    /// Replaces the definition of a work. Later starts use the new one.
    fn update_work(&mut self, number: u32, work: &Arc<work::Work>) {
        let team = self.teams.number(&work.team);
        let class = self.estimates.class_of(work);
        let placed: Vec<u32> = self.works[number]
            .members
            .iter()
            .copied()
            .filter(|&slot| self.tasks[slot].life.placement().is_some())
            .collect();
        let entry = &mut self.works[number];
        let (old_team, old_urgency) = (entry.team, entry.work.urgency as usize);
        if entry.queued {
            entry.queued = false;
            let queue = &mut self.teams.get_mut(old_team).queues[old_urgency];
            queue.retain(|&other| other != number);
        }
        // Kind and urgency determine the worker totals that a placed task counts in.
        for &slot in &placed {
            self.uncount(slot);
        }
        let entry = &mut self.works[number];
        if !entry.provisional && entry.work.since != work.since {
            entry.completed = 0;
        }
        entry.work = Arc::clone(work);
        entry.team = team;
        entry.class = class;
        entry.provisional = false;
        for &slot in &placed {
            self.recount(slot);
        }
        self.queue_work(number);
    }

    fn submit_task(&mut self, number: u32, index: u32, attempt: ids::Attempt, now_ms: u64) {
        if self.works[number].work.kind == work::WorkKind::Service
            && self.twin(number, index).is_some()
        {
            return;
        }
        let Some(&slot) = self.task_numbers.get(&(number, index)) else {
            let slot = self.insert_task(table::Task::new(number, index, attempt, now_ms));
            self.enqueue(slot, false);
            return;
        };
        let task = &mut self.tasks[slot];
        if attempt > task.next_attempt {
            task.next_attempt = attempt;
            task.raise_waiting(attempt);
        }
    }

    /// Returns the entry for a run found on a worker, created from its start order if
    /// the work is unknown.
    pub(super) fn work_of_order(&mut self, order: &workers::StartOrder) -> u32 {
        if let Some(&number) = self.work_numbers.get(&order.run.task.work) {
            return number;
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
        let number = self.new_work(&work, order.shard);
        self.works[number].provisional = true;
        if self.cancelled.contains(&work.id) {
            self.works[number].standing = table::Standing::Cancelled;
        }
        number
    }
}
