//! Capacity kept free for one blocked gang, and backfill around it.
//!
//! The workers that are expected to have room for the whole gang first are held. Other
//! tasks are placed there only if they are declared to end before the gang's expected
//! start, or are urgent. The gang starts once the runs on the held workers have ended,
//! however wrong their declared run times are, because no further non-urgent tasks are
//! placed there after that time.

use kernel::ids;
use kernel::work;

use super::Group;
use crate::table;

/// How long a hold lasts without another attempt to start the gang.
const HOLD_TTL_MS: u64 = 10_000;
/// How long after the expected start of the gang the hold is planned again.
const HOLD_REPLAN_DELAY_MS: u64 = 30_000;

/// Workers on which capacity is kept free for a gang.
#[derive(Debug)]
pub(super) struct Hold {
    pub(super) work: ids::WorkId,
    /// Expected start of the gang.
    pub(super) start_ms: u64,
    workers: Vec<u32>,
    expires_ms: u64,
}

/// Room for a number of gang members on one worker from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FutureCapacity {
    at_ms: u64,
    worker: u32,
    count: u64,
}

impl Group {
    /// Keeps capacity free for a gang that found no room. Returns why the gang waits.
    pub(super) fn hold_for_gang(
        &mut self,
        work: u32,
        slots: &[u32],
        now_ms: u64,
    ) -> table::BlockReason {
        let entry = &self.works[work];
        let id = entry.work.id.clone();
        let size = slots
            .iter()
            .fold(work::Resources::default(), |largest, &slot| {
                crate::estimate::component_max(largest, self.size_for(slot))
            });
        if !size.fits_in(self.max_worker_capacity) {
            return table::BlockReason::NeverFits;
        }
        let since_ms = entry.blocked_since_ms.unwrap_or(now_ms);
        if now_ms.saturating_sub(since_ms) < self.config.gang_hold_after_ms {
            return table::BlockReason::NoGangRoom;
        }
        match self.hold_capacity(&id, slots.len() as u64, size, now_ms) {
            Some(start_ms) => table::BlockReason::CapacityHeld(start_ms),
            None => table::BlockReason::NoGangRoom,
        }
    }

    /// Creates or renews the hold of a gang. Returns its expected start, or `None` if
    /// another gang has the hold or the workers cannot fit the gang.
    pub(super) fn hold_capacity(
        &mut self,
        work: &ids::WorkId,
        count: u64,
        size: work::Resources,
        now_ms: u64,
    ) -> Option<u64> {
        if let Some(hold) = &mut self.hold {
            if hold.work != *work {
                return None;
            }
            if now_ms < hold.start_ms + HOLD_REPLAN_DELAY_MS {
                hold.expires_ms = now_ms + HOLD_TTL_MS;
                return Some(hold.start_ms);
            }
            self.release_hold();
        }
        let (start_ms, workers) = self.plan_hold(count, size, now_ms)?;
        for &worker in &workers {
            self.workers[worker as usize].held_for_gang = true;
        }
        self.hold = Some(Hold {
            work: work.clone(),
            start_ms,
            workers,
            expires_ms: now_ms + HOLD_TTL_MS,
        });
        Some(start_ms)
    }

    /// Returns the earliest expected start of the gang and the workers that then have room for it.
    fn plan_hold(&self, count: u64, size: work::Resources, now_ms: u64) -> Option<(u64, Vec<u32>)> {
        let mut capacities = Vec::new();
        for (worker_index, worker) in self.workers.iter().enumerate() {
            if !worker.accepts_tasks() {
                continue;
            }
            let count_now = worker.free().count_of(size);
            let mut later_capacity = worker.capacity;
            let mut last_end_ms = now_ms;
            for &slot in &worker.tasks {
                let Some(placement) = self.tasks[slot].run_state.placement() else {
                    continue;
                };
                let run_time_ms = self.works[self.tasks[slot].work].work.run_time_ms;
                match run_time_ms {
                    Some(run_ms) => {
                        last_end_ms = last_end_ms.max(placement.decided_ms.saturating_add(run_ms));
                    }
                    None => later_capacity = later_capacity.saturating_sub(placement.assigned),
                }
            }
            let count_later = later_capacity.count_of(size);
            let worker = worker_index as u32;
            capacities.push(FutureCapacity {
                at_ms: now_ms,
                worker,
                count: count_now,
            });
            capacities.push(FutureCapacity {
                at_ms: last_end_ms,
                worker,
                count: count_later.saturating_sub(count_now),
            });
        }
        capacities.retain(|capacity| capacity.count > 0);
        capacities.sort_unstable();
        let mut found = 0;
        let mut workers = Vec::new();
        for capacity in capacities {
            found += capacity.count;
            if !workers.contains(&capacity.worker) {
                workers.push(capacity.worker);
            }
            if found >= count {
                return Some((capacity.at_ms, workers));
            }
        }
        None
    }

    pub(super) fn release_hold(&mut self) {
        let Some(hold) = self.hold.take() else {
            return;
        };
        for worker in hold.workers {
            self.workers[worker as usize].held_for_gang = false;
        }
    }

    /// Releases the hold if it belongs to this work.
    pub(super) fn release_hold_of(&mut self, work: &ids::WorkId) {
        if self.hold.as_ref().is_some_and(|hold| hold.work == *work) {
            self.release_hold();
        }
    }

    pub(super) fn expire_hold(&mut self, now_ms: u64) {
        if self
            .hold
            .as_ref()
            .is_some_and(|hold| hold.expires_ms <= now_ms)
        {
            self.release_hold();
        }
    }
}
