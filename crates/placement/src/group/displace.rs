//! Preemption: less urgent tasks are stopped to make room for urgent work in a full
//! group.
//!
//! A preempted task is queued again only after its end is reported. Until then its
//! capacity is kept for the urgent task.

use kernel::work;
use platform::workers;
use rand::Rng;

use super::Group;
use crate::index;
use crate::table;

/// Workers that are compared for one preemption.
const CANDIDATES: usize = 8;
/// Preemptions that one cycle begins for one work.
const STARTED_AT_ONCE: u32 = 64;

/// Tasks of one worker that are being stopped so that an urgent task can start.
#[derive(Debug)]
pub(super) struct Displacement {
    work: u32,
    worker: u32,
    size: work::Resources,
    remaining: u32,
}

/// Tasks of one worker to preempt, and the cost of doing so.
#[derive(Debug)]
struct Plan {
    worker: u32,
    victims: Vec<u32>,
    cost: u64,
}

impl Group {
    /// Begins preemptions for an urgent work. Returns why its first task waits.
    pub(super) fn displace_for(
        &mut self,
        work: u32,
        size: work::Resources,
        now_ms: u64,
    ) -> table::Block {
        if self.works[work].work.urgency != work::Urgency::Urgent {
            return table::Block::NoRoom;
        }
        let waiting = self.works[work].waiting.len() as u32;
        let wanted = waiting.saturating_sub(self.works[work].displacing);
        for _ in 0..wanted.min(STARTED_AT_ONCE) {
            let entry = &self.works[work];
            let outstanding = entry.work.demand.times(u64::from(entry.displacing) + 1);
            if !self.teams.allows(entry.team, outstanding) {
                break;
            }
            let Some(plan) = self.cheapest_plan(size) else {
                break;
            };
            self.carry_out(work, size, plan, now_ms);
        }
        if self.works[work].displacing > 0 {
            table::Block::Displacing
        } else {
            table::Block::NoRoom
        }
    }

    fn cheapest_plan(&mut self, size: work::Resources) -> Option<Plan> {
        let offset = self.random.next_u32() as usize;
        let mut found = Vec::new();
        self.reclaimable
            .search(size, index::Order::Tight, offset, |worker| {
                found.push(worker);
                if found.len() >= CANDIDATES {
                    index::Answer::Enough
                } else {
                    index::Answer::Taken
                }
            });
        found
            .into_iter()
            .filter_map(|worker| self.plan(worker, size))
            .min_by_key(|plan| plan.cost)
    }

    /// Returns the tasks to preempt on one worker, or `None` if that does not make enough room.
    fn plan(&self, worker: u32, size: work::Resources) -> Option<Plan> {
        let entry = &self.workers[worker as usize];
        let mut candidates: Vec<(u64, u32)> = entry
            .tasks
            .iter()
            .filter(|&&slot| self.is_displaceable(slot))
            .map(|&slot| (self.cost(slot), slot))
            .collect();
        candidates.sort_unstable();
        let mut room = entry.free();
        let mut chosen = Vec::new();
        for (cost, slot) in candidates {
            if size.fits_in(room) {
                break;
            }
            room += self.assigned(slot);
            chosen.push((cost, slot));
        }
        if !size.fits_in(room) {
            return None;
        }
        // Cheaper tasks chosen first may be unnecessary once a larger one is chosen.
        chosen.retain(|&(_, slot)| {
            let less = room.saturating_sub(self.assigned(slot));
            let superfluous = size.fits_in(less);
            if superfluous {
                room = less;
            }
            !superfluous
        });
        Some(Plan {
            worker,
            cost: chosen.iter().map(|(cost, _)| cost).sum(),
            victims: chosen.into_iter().map(|(_, slot)| slot).collect(),
        })
    }

    fn assigned(&self, slot: u32) -> work::Resources {
        self.tasks[slot]
            .life
            .placement()
            .map_or_else(work::Resources::default, |placement| placement.assigned)
    }

    /// Returns the cost of preempting a task: lowest for deferrable and idempotent
    /// work, highest for gangs.
    fn cost(&self, slot: u32) -> u64 {
        const NORMAL: u64 = 4;
        const NOT_IDEMPOTENT: u64 = 8;
        const GANG: u64 = 32;
        let work = &self.works[self.tasks[slot].work].work;
        let mut cost = 1;
        if work.urgency == work::Urgency::Normal {
            cost += NORMAL;
        }
        if !work.idempotent {
            cost += NOT_IDEMPOTENT;
        }
        if work.kind == work::WorkKind::GangJob {
            cost += GANG;
        }
        cost
    }

    fn carry_out(&mut self, work: u32, size: work::Resources, plan: Plan, now_ms: u64) {
        if plan.victims.is_empty() {
            return;
        }
        let number = self.displacements.insert(Displacement {
            work,
            worker: plan.worker,
            size,
            remaining: plan.victims.len() as u32,
        });
        self.works[work].displacing += 1;
        self.workers[plan.worker as usize].earmarked += size;
        for slot in plan.victims {
            self.tasks[slot].victim_of = Some(number);
            self.stop(slot, workers::StopMode::Checkpoint);
            // A task that is not idempotent must not run twice, so it is left to end by itself.
            if self.works[self.tasks[slot].work].work.idempotent {
                self.kill_at(slot, now_ms + self.config.checkpoint_grace_ms);
            }
        }
        self.reindex(plan.worker);
    }

    /// Records the end of a preempted run. After the last one the kept capacity is released.
    pub(super) fn end_victim(&mut self, slot: u32) {
        let Some(number) = self.tasks[slot].victim_of.take() else {
            return;
        };
        let displacement = &mut self.displacements[number];
        displacement.remaining -= 1;
        if displacement.remaining > 0 {
            return;
        }
        let Some(ended) = self.displacements.remove(number) else {
            return;
        };
        let worker = &mut self.workers[ended.worker as usize];
        worker.earmarked = worker.earmarked.saturating_sub(ended.size);
        self.reindex(ended.worker);
        self.works[ended.work].displacing -= 1;
        self.forget_work(ended.work);
    }
}
