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
const MAX_COMPARED_WORKERS: usize = 8;
/// Preemptions that one cycle begins for one work.
const MAX_NEW_PREEMPTIONS: u32 = 64;

/// Tasks of one worker that are being stopped so that an urgent task can start.
#[derive(Debug)]
pub(super) struct Preemption {
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
    pub(super) fn preempt_for(
        &mut self,
        work: u32,
        size: work::Resources,
        now_ms: u64,
    ) -> table::BlockReason {
        if self.works[work].work.urgency != work::Urgency::Urgent {
            return table::BlockReason::NoRoom;
        }
        let waiting = self.works[work].waiting.len() as u32;
        let needed = waiting.saturating_sub(self.works[work].pending_preemptions);
        for _ in 0..needed.min(MAX_NEW_PREEMPTIONS) {
            let entry = &self.works[work];
            let outstanding = entry
                .work
                .demand
                .times(u64::from(entry.pending_preemptions) + 1);
            if !self.teams.has_quota_for(entry.team, outstanding) {
                break;
            }
            let Some(plan) = self.cheapest_plan(size) else {
                break;
            };
            self.begin_preemption(work, size, plan, now_ms);
        }
        if self.works[work].pending_preemptions > 0 {
            table::BlockReason::Preempting
        } else {
            table::BlockReason::NoRoom
        }
    }

    fn cheapest_plan(&mut self, size: work::Resources) -> Option<Plan> {
        let offset = self.random.next_u32() as usize;
        let mut candidates = Vec::new();
        self.reclaimable_index
            .search(size, index::SearchOrder::LeastFree, offset, |worker| {
                candidates.push(worker);
                if candidates.len() >= MAX_COMPARED_WORKERS {
                    index::OfferResponse::Stop
                } else {
                    index::OfferResponse::Accepted
                }
            });
        candidates
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
            .filter(|&&slot| self.is_preemptible(slot))
            .map(|&slot| (self.preemption_cost(slot), slot))
            .collect();
        candidates.sort_unstable();
        let mut room = entry.free();
        let mut chosen = Vec::new();
        for (cost, slot) in candidates {
            if size.fits_in(room) {
                break;
            }
            room += self.assigned_to(slot);
            chosen.push((cost, slot));
        }
        if !size.fits_in(room) {
            return None;
        }
        // Cheaper tasks chosen first may be unnecessary once a larger one is chosen.
        chosen.retain(|&(_, slot)| {
            let remaining_room = room.saturating_sub(self.assigned_to(slot));
            let unnecessary = size.fits_in(remaining_room);
            if unnecessary {
                room = remaining_room;
            }
            !unnecessary
        });
        Some(Plan {
            worker,
            cost: chosen.iter().map(|(cost, _)| cost).sum(),
            victims: chosen.into_iter().map(|(_, slot)| slot).collect(),
        })
    }

    fn assigned_to(&self, slot: u32) -> work::Resources {
        self.tasks[slot]
            .run_state
            .placement()
            .map_or_else(work::Resources::default, |placement| placement.assigned)
    }

    /// Returns the cost of preempting a task: lowest for deferrable and idempotent
    /// work, highest for gangs.
    fn preemption_cost(&self, slot: u32) -> u64 {
        const NORMAL_COST: u64 = 4;
        const NOT_IDEMPOTENT_COST: u64 = 8;
        const GANG_COST: u64 = 32;
        let work = &self.works[self.tasks[slot].work].work;
        let mut cost = 1;
        if work.urgency == work::Urgency::Normal {
            cost += NORMAL_COST;
        }
        if !work.idempotent {
            cost += NOT_IDEMPOTENT_COST;
        }
        if work.kind == work::WorkKind::GangJob {
            cost += GANG_COST;
        }
        cost
    }

    fn begin_preemption(&mut self, work: u32, size: work::Resources, plan: Plan, now_ms: u64) {
        if plan.victims.is_empty() {
            return;
        }
        let preemption_slot = self.preemptions.insert(Preemption {
            work,
            worker: plan.worker,
            size,
            remaining: plan.victims.len() as u32,
        });
        self.works[work].pending_preemptions += 1;
        self.workers[plan.worker as usize].urgent_reserve += size;
        for slot in plan.victims {
            self.tasks[slot].preemption = Some(preemption_slot);
            self.stop(slot, workers::StopMode::Checkpoint);
            // A task that is not idempotent must not run twice, so it is left to end by itself.
            if self.works[self.tasks[slot].work].work.idempotent {
                self.schedule_kill(slot, now_ms + self.config.checkpoint_grace_ms);
            }
        }
        self.reindex(plan.worker);
    }

    /// Records the end of a preempted run. After the last one the kept capacity is released.
    pub(super) fn record_victim_end(&mut self, slot: u32) {
        let Some(preemption_slot) = self.tasks[slot].preemption.take() else {
            return;
        };
        let preemption = &mut self.preemptions[preemption_slot];
        preemption.remaining -= 1;
        if preemption.remaining > 0 {
            return;
        }
        let Some(preemption) = self.preemptions.remove(preemption_slot) else {
            return;
        };
        let worker = &mut self.workers[preemption.worker as usize];
        worker.urgent_reserve = worker.urgent_reserve.saturating_sub(preemption.size);
        self.reindex(preemption.worker);
        self.works[preemption.work].pending_preemptions -= 1;
        self.remove_unused_work(preemption.work);
    }
}
