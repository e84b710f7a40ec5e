//! Choice of a worker for one task.

use kernel::work;
use rand::Rng;

use super::Group;
use crate::index;
use crate::lifecycle;
use crate::scorer;

const MAX_SCORED_CANDIDATES: usize = 16;
/// Racks that are examined for a task that is spread over racks.
const MAX_SPREAD_RACKS: usize = 64;

#[derive(Debug, Default)]
struct BestCandidate {
    worker: Option<u32>,
    score: f64,
    scored: usize,
    rejected: bool,
}

impl BestCandidate {
    fn consider(&mut self, worker: u32, score: f64) {
        self.scored += 1;
        if self.worker.is_none() || score > self.score {
            self.worker = Some(worker);
            self.score = score;
        }
    }
}

/// Reason why no worker was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChooseError {
    /// The size fits on no worker, so no larger size does.
    NoCapacity,
    /// The size fits, but only on workers that the task may not use.
    Restricted,
}

impl Group {
    /// Returns the size to assign to a task.
    pub(super) fn size_for(&self, slot: u32) -> work::Resources {
        let task = &self.tasks[slot];
        let entry = &self.works[task.work];
        let declared = entry.work.demand;
        if !self.config.learn_sizes {
            return declared;
        }
        let size = self
            .estimates
            .size(entry.class, declared, self.max_worker_capacity);
        if task.peak_usage == work::Resources::default() {
            return size;
        }
        // A run that was stopped for overuse is assigned its peak usage the next time.
        work::Resources::new(
            size.cpu_milli.max(
                task.peak_usage
                    .cpu_milli
                    .min(self.max_worker_capacity.cpu_milli),
            ),
            size.memory_mb.max(
                task.peak_usage
                    .memory_mb
                    .min(self.max_worker_capacity.memory_mb),
            ),
            size.accelerators,
        )
    }

    /// Chooses a worker with room for a task, avoiding the one on which it last failed
    /// if possible.
    pub(super) fn choose_worker(
        &mut self,
        slot: u32,
        size: work::Resources,
        now_ms: u64,
    ) -> Result<u32, ChooseError> {
        let offset = self.random.next_u32() as usize;
        let avoided = self.tasks[slot].failed_on;
        let mut best = self.best_worker(slot, size, offset, avoided, now_ms);
        if best.worker.is_none() && avoided.is_some() {
            best = self.best_worker(slot, size, offset, None, now_ms);
        }
        let error = if best.rejected {
            ChooseError::Restricted
        } else {
            ChooseError::NoCapacity
        };
        best.worker.ok_or(error)
    }

    fn best_worker(
        &self,
        slot: u32,
        size: work::Resources,
        offset: usize,
        avoided: Option<u32>,
        now_ms: u64,
    ) -> BestCandidate {
        let entry = &self.works[self.tasks[slot].work];
        let policy = match entry.work.kind {
            work::WorkKind::Service => work::Policy::Spread,
            work::WorkKind::BatchRun | work::WorkKind::GangJob => entry.work.policy,
        };
        let order = match policy {
            work::Policy::TightPacking => index::SearchOrder::LeastFree,
            work::Policy::QuickStart | work::Policy::Spread => index::SearchOrder::MostFree,
        };
        let scorer = &self.scorers[policy as usize];
        // Spreading compares all examined racks to find the least used one.
        let max_candidates = match policy {
            work::Policy::Spread => MAX_SPREAD_RACKS,
            work::Policy::QuickStart | work::Policy::TightPacking => MAX_SCORED_CANDIDATES,
        };
        let mut best = BestCandidate::default();
        let mut offer = |worker: u32| {
            if avoided == Some(worker) || !self.may_use_worker(worker, slot, now_ms) {
                best.rejected = true;
                return index::OfferResponse::Rejected;
            }
            let score = scorer.score(&self.candidate(worker, slot, size));
            best.consider(worker, score);
            if best.scored >= max_candidates {
                index::OfferResponse::Stop
            } else {
                index::OfferResponse::Accepted
            }
        };
        let accepted =
            policy == work::Policy::Spread && self.offer_rack_workers(size, offset, &mut offer);
        if !accepted {
            self.free_index.search(size, order, offset, offer);
        }
        best
    }

    /// Offers one fitting worker per rack. Returns whether any was accepted.
    fn offer_rack_workers(
        &self,
        size: work::Resources,
        offset: usize,
        offer: &mut impl FnMut(u32) -> index::OfferResponse,
    ) -> bool {
        let mut accepted = false;
        let racks = self.rack_workers.len().min(MAX_SPREAD_RACKS);
        for step in 0..racks {
            let workers = &self.rack_workers[(offset + step) % self.rack_workers.len()];
            let fitting = workers.iter().copied().filter(|&worker| {
                let entry = &self.workers[worker as usize];
                entry.accepts_tasks() && size.fits_in(entry.free())
            });
            for worker in fitting {
                match offer(worker) {
                    index::OfferResponse::Accepted => {
                        accepted = true;
                        break;
                    }
                    index::OfferResponse::Rejected => {}
                    index::OfferResponse::Stop => return true,
                }
            }
        }
        accepted
    }

    /// Returns whether a task may use a worker, considering capacity kept free for a gang.
    fn may_use_worker(&self, worker: u32, slot: u32, now_ms: u64) -> bool {
        if !self.workers[worker as usize].held_for_gang {
            return true;
        }
        let Some(hold) = &self.hold else {
            return true;
        };
        let work = &self.works[self.tasks[slot].work].work;
        let ends_in_time = work
            .run_time_ms
            .is_some_and(|run_ms| now_ms.saturating_add(run_ms) <= hold.start_ms);
        work.id == hold.work || work.urgency == work::Urgency::Urgent || ends_in_time
    }

    fn candidate(&self, worker: u32, slot: u32, size: work::Resources) -> scorer::Candidate {
        let task = &self.tasks[slot];
        let entry = &self.workers[worker as usize];
        let racks = &self.works[task.work].racks;
        scorer::Candidate {
            capacity: entry.capacity,
            free: entry.free(),
            demand: size,
            starting: entry.starting,
            same_work_on_rack: racks.get(&entry.rack).copied().unwrap_or(0),
            ran_here: task.last_worker == Some(worker),
        }
    }

    /// Returns the placement for a decision made at `now_ms`.
    pub(super) const fn placement(
        worker: u32,
        assigned: work::Resources,
        now_ms: u64,
    ) -> lifecycle::Placement {
        lifecycle::Placement {
            worker,
            assigned,
            decided_ms: now_ms,
        }
    }
}
