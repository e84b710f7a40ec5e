//! Reservations for gangs that are divided among several groups.

use std::sync::Arc;

use kernel::ids;
use kernel::work;
use platform::workers;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::Group;
use crate::decision;
use crate::life;
use crate::table;

/// Confirmed reservations that are kept to recognize repeated confirmations.
const CONFIRMED_KEPT: usize = 256;

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
pub(super) struct Entry {
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
        let work = self.take_work(gang, shard, now_ms)?;
        let total = gang.demand.times(runs.len() as u64);
        let usable = self.teams.allows(self.works[work].team, total)
            && runs
                .iter()
                .all(|&(index, _)| self.is_reservable(work, index));
        let slots = usable
            .then(|| self.reserve_all(work, runs, now_ms))
            .flatten();
        let Some(slots) = slots else {
            if usable {
                let size = gang.demand;
                self.hold(&gang.id, runs.len() as u64, size, now_ms);
            }
            self.forget_work(work);
            return None;
        };
        // Random identifiers keep a reservation of an earlier owner from matching one
        // of this owner.
        let id = self.random.next_u64();
        self.reservations.insert(id, Entry { until_ms, slots });
        Some(Reservation { id, until_ms })
    }

    /// Returns whether a task is unknown, or waits without a reservation or a running
    /// older attempt.
    fn is_reservable(&self, work: u32, index: u32) -> bool {
        self.task_numbers.get(&(work, index)).is_none_or(|&slot| {
            let task = &self.tasks[slot];
            task.life.placement().is_none() && task.reserved.is_none() && task.blocked_by == 0
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
            let (slot, known) = self.taken_task(work, index, attempt, now_ms);
            slots.push((slot, known));
            let size = self.size_of(slot);
            let Ok(worker) = self.choose(slot, size, now_ms) else {
                self.undo(slots);
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
    fn taken_task(
        &mut self,
        work: u32,
        index: u32,
        attempt: ids::Attempt,
        now_ms: u64,
    ) -> (u32, bool) {
        if let Some(&slot) = self.task_numbers.get(&(work, index)) {
            self.withdraw(slot);
            self.tasks[slot].raise_waiting(attempt);
            return (slot, true);
        }
        let task = table::Task::new(work, index, attempt, now_ms);
        (self.insert_task(task), false)
    }

    fn undo(&mut self, slots: Vec<(u32, bool)>) {
        for (slot, known) in slots {
            self.unreserve(slot);
            if known {
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
    pub(super) fn withdraw(&mut self, slot: u32) {
        if self.tasks[slot].reserved.is_some() {
            self.unreserve(slot);
            return;
        }
        if let Some(at_ms) = self.tasks[slot].restart_at_ms.take() {
            self.restarts.remove(&(at_ms, slot));
            return;
        }
        let work = self.tasks[slot].work;
        self.works[work].waiting.retain(|&other| other != slot);
    }

    /// Starts the tasks of a reservation; `None` if it has expired or is unknown.
    ///
    /// Confirming a reservation again returns no decisions and starts nothing.
    pub fn confirm(&mut self, reservation: u64, now_ms: u64) -> Option<Vec<decision::Decision>> {
        if self.confirmed.contains(&reservation) {
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
            let placement = life::Placement {
                since_ms: now_ms,
                ..placement
            };
            self.attach(slot, placement);
            starts.push(self.start_decision(slot));
        }
        let (first, _) = *entry.slots.first()?;
        if self.confirmed.len() >= CONFIRMED_KEPT {
            self.confirmed.pop_front();
        }
        self.confirmed.push_back(reservation);
        let id = self.works[self.tasks[first].work].work.id.clone();
        self.drop_hold_of(&id);
        Some(starts)
    }

    /// Stops the members of a gang in this group because another group could not start
    /// its part.
    ///
    /// Members that wait are handed back. A placed member leaves the group when its run
    /// has ended, which [`Group::ended`] reports as
    /// [`EndEffect::Returned`](crate::EndEffect::Returned).
    pub fn abort_gang(&mut self, gang: &ids::WorkId) {
        let Some(&number) = self.work_numbers.get(gang) else {
            return;
        };
        self.works[number].standing = table::Standing::Aborted;
        for slot in self.works[number].members.clone() {
            if self.tasks[slot].life.placement().is_some() {
                self.stop(slot, workers::StopMode::Kill);
                continue;
            }
            self.pending.push_back(decision::Decision::HandBack {
                run: self.run_of(slot),
                reason: decision::HandBackReason::GangAborted,
            });
            self.withdraw(slot);
            self.remove_task(slot);
        }
    }

    /// Releases a reservation. Tasks that were not submitted before it are removed.
    pub fn release(&mut self, reservation: u64) {
        if let Some(entry) = self.reservations.swap_remove(&reservation) {
            self.undo(entry.slots);
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
            for &(slot, _) in entry.slots.iter().filter(|(_, known)| !known) {
                let run = self.run_of(slot);
                self.pending.push_back(decision::Decision::HandBack {
                    run,
                    reason: decision::HandBackReason::ReservationExpired,
                });
            }
            self.undo(entry.slots);
        }
    }
}
