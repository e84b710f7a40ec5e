//! Arrival of work.

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
    /// Takes tasks of a piece of work into the queue.
    ///
    /// A gang starts once all its members are here; one that stands in several
    /// groups is started by [`Group::reserve`] and [`Group::confirm`] instead.
    /// Sending the same runs again changes nothing. Tasks of a cancelled job
    /// are not taken; a service that comes back is.
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

    /// Says how many members of a submitted gang completed under an earlier owner.
    ///
    /// A gang starts here only when all its members that have not completed wait
    /// here; without this a group that has taken over would wait for the others.
    pub fn gang_completed(&mut self, work: &ids::WorkId, completed: u32) {
        if let Some(&number) = self.work_numbers.get(work) {
            let entry = &mut self.works[number];
            entry.completed = entry.completed.max(completed);
        }
    }

    /// The entry of a work, made or updated; `None` if it was cancelled.
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

    /// Puts a changed definition in place, under which later starts happen.
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
        // The kind and urgency decide which sums a placed task belongs to.
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

    /// The entry for a run found on a worker, made from its order if the work is not known.
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
        });
        let number = self.new_work(&work, order.shard);
        self.works[number].provisional = true;
        if self.cancelled.contains(&work.id) {
            self.works[number].standing = table::Standing::Cancelled;
        }
        number
    }
}
