//! Reservations for gangs that are divided among several groups.

use std::sync::Arc;

use kernel::ids;
use kernel::work;
use platform::workers;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::Group;
use crate::decision;
use crate::lifecycle;
use crate::table;

/// Confirmed reservations that are kept to recognize repeated confirmations.
const MAX_CONFIRMED_RESERVATIONS: usize = 256;

/// Capacity that a group reserves for tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Identifier of the reservation in its group.
    pub id: u64,
    /// Time at which the reservation expires.
    pub until_ms: u64,
}

/// A reservation in the group's table.
#[derive(Debug)]
pub(super) struct ReservedTasks {
    until_ms: u64,
    /// The tasks, and whether each existed before the reservation.
    slots: Vec<(u32, bool)>,
}

impl Group {
    /// Reserves capacity for tasks of a gang, all or nothing.
    ///
    /// After a refusal for lack of room the group keeps capacity free for the gang for
    /// a while, unless it already does so for another gang. Each further request renews
    /// that.
    pub fn reserve(
        &mut self,
        gang: &Arc<work::Work>,
        runs: &[(u32, ids::Attempt)],
        shard: Option<ids::ShardId>,
        until_ms: u64,
        now_ms: u64,
    ) -> Option<Reservation> {
        self.refresh_capacity();
        let work = self.submit_work(gang, shard, now_ms)?;
        let total_demand = gang.demand.times(runs.len() as u64);
        let is_allowed = self
            .teams
            .has_quota_for(self.works[work].team, total_demand)
            && runs
                .iter()
                .all(|&(index, _)| self.is_reservable(work, index));
        let slots = is_allowed
            .then(|| self.reserve_all(work, runs, now_ms))
            .flatten();
        let Some(slots) = slots else {
            if is_allowed {
                let size = gang.demand;
                self.hold_capacity(&gang.id, runs.len() as u64, size, now_ms);
            }
            self.remove_unused_work(work);
            return None;
        };
        // Random identifiers keep a reservation of an earlier owner from matching one
        // of this owner.
        let id = self.random.next_u64();
        self.reservations
            .insert(id, ReservedTasks { until_ms, slots });
        Some(Reservation { id, until_ms })
    }

    /// Returns whether a task is unknown, or waits without a reservation or a running
    /// older attempt.
    fn is_reservable(&self, work: u32, index: u32) -> bool {
        self.task_slots.get(&(work, index)).is_none_or(|&slot| {
            let task = &self.tasks[slot];
            task.run_state.placement().is_none() && task.reserved.is_none() && task.blocked_by == 0
        })
    }

    fn reserve_all(
        &mut self,
        work: u32,
        runs: &[(u32, ids::Attempt)],
        now_ms: u64,
    ) -> Option<Vec<(u32, bool)>> {
        let mut slots = Vec::new();
        for &(index, attempt) in runs {
            let (slot, existed) = self.dequeue_or_insert(work, index, attempt, now_ms);
            slots.push((slot, existed));
            let size = self.size_for(slot);
            let Ok(worker) = self.choose_worker(slot, size, now_ms) else {
                self.roll_back(slots);
                return None;
            };
            self.tasks[slot].reserved = Some(Self::placement(worker, size, now_ms));
            self.workers[worker as usize].assigned += size;
            self.charge(slot);
            self.reindex(worker);
        }
        Some(slots)
    }

    /// Takes a task out of the queue or creates it. The flag says whether it existed before.
    fn dequeue_or_insert(
        &mut self,
        work: u32,
        index: u32,
        attempt: ids::Attempt,
        now_ms: u64,
    ) -> (u32, bool) {
        if let Some(&slot) = self.task_slots.get(&(work, index)) {
            self.dequeue(slot);
            self.tasks[slot].raise_attempt(attempt);
            return (slot, true);
        }
        let task = table::Task::new(work, index, attempt, now_ms);
        (self.insert_task(task), false)
    }

    fn roll_back(&mut self, slots: Vec<(u32, bool)>) {
        for (slot, existed) in slots {
            self.unreserve(slot);
            if existed {
                self.enqueue(slot, false);
            } else {
                self.remove_task(slot);
            }
        }
    }

    /// Releases the capacity reserved for a task, if any.
    pub(super) fn unreserve(&mut self, slot: u32) {
        let Some(placement) = self.tasks[slot].reserved.take() else {
            return;
        };
        let worker = &mut self.workers[placement.worker as usize];
        worker.assigned = worker.assigned.saturating_sub(placement.assigned);
        self.refund(slot);
        self.reindex(placement.worker);
        for entry in self.reservations.values_mut() {
            entry.slots.retain(|&(other, _)| other != slot);
        }
    }

    /// Takes a waiting task out of the queue, its reservation or its restart delay.
    pub(super) fn dequeue(&mut self, slot: u32) {
        if self.tasks[slot].reserved.is_some() {
            self.unreserve(slot);
            return;
        }
        if let Some(at_ms) = self.tasks[slot].restart_at_ms.take() {
            self.scheduled_restarts.remove(&(at_ms, slot));
            return;
        }
        let work = self.tasks[slot].work;
        self.works[work].waiting.retain(|&other| other != slot);
    }

    /// Starts the tasks of a reservation; `None` if it has expired or is unknown.
    ///
    /// Confirming a reservation again returns no decisions and starts nothing.
    pub fn confirm(&mut self, reservation: u64, now_ms: u64) -> Option<Vec<decision::Decision>> {
        if self.recently_confirmed.contains(&reservation) {
            return Some(Vec::new());
        }
        self.expire_reservations(now_ms);
        let entry = self.reservations.swap_remove(&reservation)?;
        let mut starts = Vec::new();
        for &(slot, _) in &entry.slots {
            let Some(placement) = self.tasks[slot].reserved else {
                continue;
            };
            self.unreserve(slot);
            let placement = lifecycle::Placement {
                decided_ms: now_ms,
                ..placement
            };
            self.attach(slot, placement);
            starts.push(self.start_decision(slot));
        }
        let (first, _) = *entry.slots.first()?;
        if self.recently_confirmed.len() >= MAX_CONFIRMED_RESERVATIONS {
            self.recently_confirmed.pop_front();
        }
        self.recently_confirmed.push_back(reservation);
        let id = self.works[self.tasks[first].work].work.id.clone();
        self.release_hold_of(&id);
        Some(starts)
    }

    /// Stops the members of a gang in this group because another group could not start
    /// its part.
    ///
    /// Members that wait are handed back. A placed member leaves the group when its run
    /// has ended, which [`Group::ended`] reports as
    /// [`EndEffect::Returned`](crate::EndEffect::Returned).
    pub fn abort_gang(&mut self, gang: &ids::WorkId) {
        let Some(&work) = self.work_slots.get(gang) else {
            return;
        };
        self.works[work].status = table::WorkStatus::Aborted;
        for slot in self.works[work].members.clone() {
            if self.tasks[slot].run_state.placement().is_some() {
                self.stop(slot, workers::StopMode::Kill);
                continue;
            }
            self.pending_decisions
                .push_back(decision::Decision::HandBack {
                    run: self.run_of(slot),
                    reason: decision::HandBackReason::GangAborted,
                });
            self.dequeue(slot);
            self.remove_task(slot);
        }
    }

    /// Releases a reservation. Tasks that were not submitted before it are removed.
    pub fn release(&mut self, reservation: u64) {
        if let Some(entry) = self.reservations.swap_remove(&reservation) {
            self.roll_back(entry.slots);
        }
    }

    pub(super) fn expire_reservations(&mut self, now_ms: u64) {
        let expired: Vec<u64> = self
            .reservations
            .iter()
            .filter(|(_, entry)| entry.until_ms <= now_ms)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            let Some(entry) = self.reservations.swap_remove(&id) else {
                continue;
            };
            for &(slot, _) in entry.slots.iter().filter(|(_, existed)| !existed) {
                let run = self.run_of(slot);
                self.pending_decisions
                    .push_back(decision::Decision::HandBack {
                        run,
                        reason: decision::HandBackReason::ReservationExpired,
                    });
            }
            self.roll_back(entry.slots);
        }
    }
}
