//! Waiting work and capacity, summed up for admission control.
//!
//! Admission control needs sums over all open jobs and all workers. Hosts submit hundreds of jobs a
//! second at the time when thousands are open, so the sums are computed once for each scheduling
//! pass, and an accepted job is added to them.

use std::{cell::RefCell, rc::Rc};

use super::{Coordinator, Job};
use crate::{
    collections::IndexMap,
    config::Queue,
    footprint::{HeldMemory, JOB_STATE_BYTES},
    workers::{Resources, Worker},
};

/// Jobs that are alike for admission control.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    queue: Rc<str>,
    tenant: Rc<str>,
    behind_shares: bool,
}

/// Waiting tasks of a group.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    /// Estimated CPU time, in core-milliseconds.
    core_ms: u64,
    /// Resources, each times the estimated duration in milliseconds.
    resource_ms: Resources,
}

/// Workers of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceCapacity {
    /// Resources of all workers.
    pub(crate) total: Resources,
    /// Number of workers.
    pub(crate) workers: usize,
    /// Capacities that occur.
    sizes: Vec<Resources>,
}

impl ServiceCapacity {
    fn add(&mut self, capacity: Resources) {
        self.total.add(&capacity);
        self.workers += 1;
        if !self.sizes.contains(&capacity) {
            self.sizes.push(capacity);
        }
    }

    /// Whether a task fits on an empty worker.
    pub(crate) fn fits(&self, demand: &Resources) -> bool {
        let empty = Resources::default();
        self.sizes.iter().any(|size| size.fits(&empty, demand))
    }
}

/// Sums for admission control, as of a scheduling pass.
#[derive(Debug, Default)]
struct Sums {
    waiting: IndexMap<Group, Waiting>,
    services: IndexMap<Rc<str>, ServiceCapacity>,
    memory: HeldMemory,
}

/// The sums, if they are up to date.
#[derive(Debug, Default)]
pub(super) struct Backlog(RefCell<Option<Rc<Sums>>>);

impl Backlog {
    /// Has the sums computed anew before they are used again.
    pub(super) fn invalidate(&self) {
        self.0.take();
    }
}

/// Jobs that are scheduled ahead of a new one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AheadOf<'a> {
    /// Queue of the new job.
    pub(crate) queue: &'a Queue,
    /// Whether the new job exceeds its tenant's share.
    pub(crate) over_share: bool,
}

impl Coordinator {
    /// The workers of a service.
    pub(crate) fn service_capacity(&self, service: &str) -> ServiceCapacity {
        let sums = self.sums();
        sums.services.get(service).cloned().unwrap_or_default()
    }

    /// Estimated CPU time of the waiting tasks ahead of a new job, in core-milliseconds.
    pub(crate) fn backlog_core_ms(&self, new: AheadOf<'_>) -> u64 {
        let sums = self.sums();
        let ahead = sums.waiting.iter();
        let ahead = ahead.filter(|(group, _)| self.is_ahead(group, new));
        let core_ms = ahead.map(|(_, waiting)| waiting.core_ms);
        core_ms.fold(0, u64::saturating_add)
    }

    /// Resources of a tenant's waiting tasks ahead of a new job, each times the estimated duration in
    /// milliseconds.
    pub(crate) fn tenant_backlog_ms(&self, tenant: &str, new: AheadOf<'_>) -> Resources {
        let mut sum = Resources::default();
        for (group, waiting) in &self.sums().waiting {
            if *group.tenant == *tenant && self.is_ahead(group, new) {
                sum.add(&waiting.resource_ms);
            }
        }
        sum
    }

    /// Memory of all jobs, and of those that are about to be accepted.
    pub fn held_memory(&self) -> HeldMemory {
        let mut held = self.sums().memory.plus(self.pending_memory);
        let ended = (self.jobs.len() - self.open.len()) as u64;
        let ended_bytes = ended * JOB_STATE_BYTES + self.ended_jobs.held_bytes();
        held.bytes = held.bytes.saturating_add(ended_bytes);
        held
    }

    /// Memory that further occurrences of open jobs may take, in bytes. They leave half to new jobs.
    pub(super) fn memory_room_bytes(&self) -> u64 {
        let budget_bytes = self.tuning.memory.job_bytes / 2;
        budget_bytes.saturating_sub(self.held_memory().bytes)
    }

    /// Counts a job that is about to be accepted, until [`Self::release_memory`].
    pub fn reserve_memory(&mut self, bytes: u64) {
        self.pending_memory.add(bytes);
    }

    /// Ends the reservation of a job that has been accepted or refused.
    pub fn release_memory(&mut self, bytes: u64) {
        self.pending_memory.remove(bytes);
    }

    /// Adds an accepted job to the sums.
    pub(super) fn add_to_backlog(&self, job: &Job) {
        let mut sums = self.backlog.0.borrow_mut();
        if let Some(sums) = sums.as_mut().and_then(Rc::get_mut) {
            self.add_waiting(sums, job);
        }
    }

    fn sums(&self) -> Rc<Sums> {
        let mut sums = self.backlog.0.borrow_mut();
        Rc::clone(sums.get_or_insert_with(|| Rc::new(self.compute_sums())))
    }

    fn compute_sums(&self) -> Sums {
        let mut sums = Sums::default();
        for job in self.open_jobs() {
            self.add_waiting(&mut sums, job);
        }
        let listed = self.workers.values().filter(|worker| worker.listed);
        for Worker { entry, .. } in listed {
            let service = sums.services.entry(Rc::clone(&entry.service));
            service.or_default().add(entry.capacity);
        }
        sums
    }

    fn add_waiting(&self, sums: &mut Sums, job: &Job) {
        let group = Group {
            queue: Rc::clone(&job.queue),
            tenant: Rc::clone(&job.tenant),
            behind_shares: self.is_behind_shares(job),
        };
        sums.memory.add(job.held_bytes());
        let has_tenant = !group.tenant.is_empty();
        let waiting = sums.waiting.entry(group).or_default();
        waiting.core_ms = waiting.core_ms.saturating_add(job.waiting_core_ms());
        if has_tenant {
            waiting.resource_ms.add(&job.waiting_resource_ms());
        }
    }

    /// Whether the waiting tasks of a group are scheduled ahead of a new job.
    fn is_ahead(&self, group: &Group, new: AheadOf<'_>) -> bool {
        let Some(other) = self.config.queues.get(&group.queue) else {
            return false;
        };
        match (new.over_share, group.behind_shares) {
            (false, true) => false,
            (true, false) => other.service == new.queue.service,
            _ => other.priority <= new.queue.priority,
        }
    }
}
