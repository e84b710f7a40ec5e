//! Selection of a group for each task.
//!
//! Selection uses gossip that is one to two seconds old. Recent assignments of this shard are
//! subtracted from it, so that the shard does not send everything to the group that looked
//! emptiest. Different shards may still do so; the group then hands back what it cannot start.

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

/// Time for which a group that handed back tasks of some work gets no more of that work.
const REFUSAL_RETENTION_MS: u64 = 5_000;
/// Time for which an assignment is subtracted from the free resources in gossip.
const ASSIGNMENT_RETENTION_MS: u64 = 3_000;

/// Load of one group, from gossip.
#[derive(Clone, Debug)]
pub(super) struct GroupLoad {
    pub id: ids::GroupId,
    pub free: work::Resources,
    pub capacity: work::Resources,
    pub waiting_tasks: u32,
}

/// Selects groups, with the recent assignments and refusals of this shard.
#[derive(Debug, Default)]
pub(super) struct GroupSelector {
    recent_assignments: Vec<(u64, ids::GroupId, work::Resources)>,
    refusals: IndexMap<(ids::WorkId, ids::GroupId), u64>,
    task_counts: IndexMap<(ids::WorkId, ids::GroupId), u32>,
}

impl GroupSelector {
    /// Records that a group handed a task back.
    pub fn record_refusal(&mut self, work: &ids::WorkId, group: &ids::GroupId, now_ms: u64) {
        self.refusals.insert((work.clone(), group.clone()), now_ms);
        if let Some(count) = self.task_counts.get_mut(&(work.clone(), group.clone())) {
            *count = count.saturating_sub(1);
        }
    }

    /// Subtracts recent assignments from the free resources, and removes expired records.
    pub fn subtract_recent(&mut self, loads: &mut [GroupLoad], now_ms: u64) {
        self.recent_assignments
            .retain(|(at_ms, _, _)| now_ms - at_ms < ASSIGNMENT_RETENTION_MS);
        self.refusals
            .retain(|_, at_ms| now_ms - *at_ms < REFUSAL_RETENTION_MS);
        for (_, group, demand) in &self.recent_assignments {
            if let Some(load) = loads.iter_mut().find(|load| load.id == *group) {
                load.free = load.free.saturating_sub(*demand);
            }
        }
    }

    /// Selects groups for `count` tasks; the counts sum to less if some tasks have no eligible
    /// group.
    ///
    /// All tasks of a gang go to one group.
    pub fn select(
        &mut self,
        work: &work::Work,
        count: usize,
        loads: &mut [GroupLoad],
        now_ms: u64,
    ) -> IndexMap<ids::GroupId, usize> {
        let mut chosen = IndexMap::new();
        if work.kind == work::WorkKind::GangJob {
            let demand = work.demand.times(count as u64);
            if let Some(group) = self.select_one(work, demand, loads, now_ms) {
                chosen.insert(group, count);
            }
            return chosen;
        }
        for _ in 0..count {
            let Some(group) = self.select_one(work, work.demand, loads, now_ms) else {
                break;
            };
            *chosen.entry(group).or_default() += 1;
        }
        chosen
    }

    fn select_one(
        &mut self,
        work: &work::Work,
        demand: work::Resources,
        loads: &mut [GroupLoad],
        now_ms: u64,
    ) -> Option<ids::GroupId> {
        let is_eligible = |load: &&mut GroupLoad| {
            let in_zone = work.zones.is_empty() || work.zones.contains(&load.id.zone);
            let has_refused = self
                .refusals
                .contains_key(&(work.id.clone(), load.id.clone()));
            in_zone && !has_refused && demand.fits_in(load.capacity)
        };
        let candidates: Vec<&mut GroupLoad> = loads.iter_mut().filter(is_eligible).collect();
        let may_queue = work.urgency != work::Urgency::Deferrable;
        let best = candidates
            .into_iter()
            .filter(|load| may_queue || demand.fits_in(load.free))
            .min_by_key(|load| {
                let fits = demand.fits_in(load.free);
                (!fits, self.rank(work, load), load.waiting_tasks)
            })?;
        best.free = best.free.saturating_sub(demand);
        best.waiting_tasks += 1;
        let id = best.id.clone();
        self.recent_assignments.push((now_ms, id.clone(), demand));
        *self
            .task_counts
            .entry((work.id.clone(), id.clone()))
            .or_default() += 1;
        Some(id)
    }

    /// Number of the work's tasks in the group's zone (upper 32 bits), then in the group
    /// itself (lower 32 bits).
    fn existing_tasks_rank(&self, work: &work::Work, group: &ids::GroupId) -> u64 {
        let of_work = || {
            self.task_counts
                .iter()
                .filter(|((id, _), _)| *id == work.id)
        };
        let in_zone: u64 = of_work()
            .filter(|((_, other), _)| other.zone == group.zone)
            .map(|(_, count)| u64::from(*count))
            .sum();
        let in_group: u64 = of_work()
            .filter(|((_, other), _)| other == group)
            .map(|(_, count)| u64::from(*count))
            .sum();
        (in_zone << u32::BITS) + in_group
    }

    /// Rank of a group, lower is better. Free CPU, in thousandths of the group's capacity, is
    /// the measure of free resources.
    fn rank(&self, work: &work::Work, load: &GroupLoad) -> u64 {
        let free_per_mille = load.free.cpu_milli * 1_000 / load.capacity.cpu_milli.max(1);
        match work.policy {
            _ if work.kind == work::WorkKind::Service => self.existing_tasks_rank(work, &load.id),
            work::Policy::Spread => self.existing_tasks_rank(work, &load.id),
            work::Policy::QuickStart => 1_000 - free_per_mille.min(1_000),
            work::Policy::TightPacking => free_per_mille,
        }
    }
}
