//! Choice of a worker for one task.

use kernel::work;
use rand::Rng;

use super::Group;
use crate::index;
use crate::life;
use crate::scorer;

/// Candidates that are scored for one task.
const CANDIDATES: usize = 16;
/// Racks that are examined for a task that is spread over racks.
const SPREAD_RACKS: usize = 64;

/// Best candidate found so far.
#[derive(Debug, Default)]
struct Best {
    worker: Option<u32>,
    score: f64,
    seen: usize,
    rejected: bool,
}

impl Best {
    fn consider(&mut self, worker: u32, score: f64) {
        self.seen += 1;
        if self.worker.is_none() || score > self.score {
            self.worker = Some(worker);
            self.score = score;
        }
    }
}

/// Reason why no worker was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoWorker {
    /// The size fits on no worker, so no larger size does.
    Full,
    /// The size fits, but only on workers that the task may not use.
    Restricted,
}

impl Group {
    /// Returns the size to assign to a task.
    pub(super) fn size_of(&self, slot: u32) -> work::Resources {
        let task = &self.tasks[slot];
        let entry = &self.works[task.work];
        let declared = entry.work.demand;
        if !self.config.learn_sizes {
            return declared;
        }
        let size = self.estimates.size(entry.class, declared, self.ceiling);
        if task.peak == work::Resources::default() {
            return size;
        }
        // A run that was stopped for overuse is assigned its peak usage the next time.
        work::Resources::new(
            size.cpu_milli
                .max(task.peak.cpu_milli.min(self.ceiling.cpu_milli)),
            size.memory_mb
                .max(task.peak.memory_mb.min(self.ceiling.memory_mb)),
            size.accelerators,
        )
    }

    /// Chooses a worker with room for a task, avoiding the one on which it last failed
    /// if possible.
    pub(super) fn choose(
        &mut self,
        slot: u32,
        size: work::Resources,
        now_ms: u64,
    ) -> Result<u32, NoWorker> {
        let offset = self.random.next_u32() as usize;
        let avoided = self.tasks[slot].failed_on;
        let mut best = self.best_worker(slot, size, offset, avoided, now_ms);
        if best.worker.is_none() && avoided.is_some() {
            best = self.best_worker(slot, size, offset, None, now_ms);
        }
        let refusal = if best.rejected {
            NoWorker::Restricted
        } else {
            NoWorker::Full
        };
        best.worker.ok_or(refusal)
    }

    fn best_worker(
        &self,
        slot: u32,
        size: work::Resources,
        offset: usize,
        avoided: Option<u32>,
        now_ms: u64,
    ) -> Best {
        let entry = &self.works[self.tasks[slot].work];
        let policy = match entry.work.kind {
            work::WorkKind::Service => work::Policy::Spread,
            work::WorkKind::BatchRun | work::WorkKind::GangJob => entry.work.policy,
        };
        let order = match policy {
            work::Policy::TightPacking => index::Order::Tight,
            work::Policy::QuickStart | work::Policy::Spread => index::Order::Loose,
        };
        let scoring = &self.scoring[policy as usize];
        // Spreading compares all examined racks to find the least used one.
        let wanted = match policy {
            work::Policy::Spread => SPREAD_RACKS,
            work::Policy::QuickStart | work::Policy::TightPacking => CANDIDATES,
        };
        let mut best = Best::default();
        let mut offer = |worker: u32| {
            if avoided == Some(worker) || !self.may_use(worker, slot, now_ms) {
                best.rejected = true;
                return index::Answer::Rejected;
            }
            let score = scoring.score(&self.candidate(worker, slot, size));
            best.consider(worker, score);
            if best.seen >= wanted {
                index::Answer::Enough
            } else {
                index::Answer::Taken
            }
        };
        let found = policy == work::Policy::Spread && self.offer_racks(size, offset, &mut offer);
        if !found {
            self.free.search(size, order, offset, offer);
        }
        best
    }

    /// Offers one fitting worker per rack. Returns whether any was accepted.
    fn offer_racks(
        &self,
        size: work::Resources,
        offset: usize,
        offer: &mut impl FnMut(u32) -> index::Answer,
    ) -> bool {
        let mut found = false;
        let racks = self.racks.len().min(SPREAD_RACKS);
        for step in 0..racks {
            let workers = &self.racks[(offset + step) % self.racks.len()];
            let fitting = workers.iter().copied().filter(|&worker| {
                let entry = &self.workers[worker as usize];
                entry.accepts() && size.fits_in(entry.free())
            });
            for worker in fitting {
                match offer(worker) {
                    index::Answer::Taken => {
                        found = true;
                        break;
                    }
                    index::Answer::Rejected => {}
                    index::Answer::Enough => return true,
                }
            }
        }
        found
    }

    /// Returns whether a task may use a worker, considering capacity kept free for a gang.
    fn may_use(&self, worker: u32, slot: u32, now_ms: u64) -> bool {
        if !self.workers[worker as usize].held {
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
    ) -> life::Placement {
        life::Placement {
            worker,
            assigned,
            since_ms: now_ms,
        }
    }
}
