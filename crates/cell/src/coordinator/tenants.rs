//! What tenants have running, and their shares.
//!
//! Counted as running is everything that may be: runs until they have certainly ended, orders that may
//! take effect late, also after their run was released, and after a takeover whatever the predecessor
//! may have started on workers that have not reported. What cannot be attributed to a job is counted
//! for no tenant.

use std::rc::Rc;

use super::{Coordinator, job::Job, job::resources_of, pass::Pass};
use crate::{
    collections::IndexMap,
    config::Tenant,
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, Outcome},
    quota::{self, Claim, Ledger},
    shares::Shares,
    workers::{Phase, Resources, Worker},
};

/// What tenants have running, and their shares.
#[derive(Debug, Default)]
pub(super) struct Tenants {
    /// What each had running at the last scheduling pass.
    pub(super) quota: Ledger,
    /// Jobs within shares that were accepted lately.
    shares: Shares,
}

impl Coordinator {
    /// Restores a job from its record, under the limit and the share of its tenant.
    pub(super) fn restore_job(&mut self, record: &JobRecord, inherited: bool, unix_ms: u64) -> Job {
        let queue = self.config.queues.get(record.queue.as_str());
        let tenant = self.config.tenant(&record.tenant);
        let limit = tenant.map(|tenant| &tenant.limit);
        let mut job = Job::new(record, queue.map(Rc::as_ref), limit, inherited);
        self.settle_share(&mut job, unix_ms);
        job
    }

    /// What each tenant had running at the last scheduling pass, with the starts of that pass.
    pub fn quota(&self) -> &Ledger {
        &self.tenants.quota
    }

    /// Derives what each tenant may have running.
    pub(super) fn quota_ledger(&self, now_ms: u64) -> Ledger {
        let mut ledger = Ledger::of(&self.config);
        if !ledger.is_active() {
            return ledger;
        }
        // The tasks of a job are mostly next to each other.
        let mut last: Option<(JobId, Option<usize>)> = None;
        for worker in self.workers.values() {
            let is_counted = |task: &TaskId| {
                let run = worker.runs.get(task);
                run.is_some_and(|run| run.phase != Phase::Ended)
            };
            let runs = worker.runs.iter();
            let runs = runs.filter(|(_, run)| run.phase != Phase::Ended);
            let runs = runs.map(|(task, run)| (task, &run.resources));
            let orders = worker.unconfirmed_orders.iter();
            let orders = orders.filter(|order| !is_counted(&order.task));
            let orders = orders.map(|order| (&order.task, &order.resources));
            for (task, resources) in runs.chain(orders) {
                // Of a job that had ended before the takeover the demand is not known.
                let resources = match *resources {
                    Resources::UNKNOWN => &worker.entry.capacity,
                    _ => resources,
                };
                let id = task.step.job;
                let position = match last {
                    Some((known, position)) if known == id => position,
                    _ => self.tenant_of(id).and_then(|name| ledger.position(name)),
                };
                last = Some((id, position));
                if let Some(position) = position {
                    ledger.charge_at(position, resources);
                }
            }
        }
        self.charge_inherited(&mut ledger, now_ms);
        ledger
    }

    fn tenant_of(&self, id: JobId) -> Option<&str> {
        let job = self.jobs.get(&id)?;
        (!job.tenant.is_empty()).then_some(&*job.tenant)
    }

    /// Counts what the predecessor may have started and no report has shown yet: at most what the
    /// workers can hold that have not reported, and any order that another host may have relayed.
    fn charge_inherited(&self, ledger: &mut Ledger, now_ms: u64) {
        let unreported = self.unreported_workers.iter();
        let unheard = self.unheard_workers.iter();
        let silent = capacity_of(unreported.filter_map(|id| self.silent_worker(id, now_ms)));
        let listed = capacity_of(unheard.filter_map(|id| self.silent_worker(id, now_ms)));
        if silent == Resources::default()
            && listed == Resources::default()
            && self.awaited_hosts == 0
        {
            return;
        }
        let mut unknown: IndexMap<&str, Unknown> = IndexMap::default();
        for job in self.jobs.values() {
            if !job.inherited || job.tenant.is_empty() || job.outcome == Outcome::Completed {
                continue;
            }
            let unknown = unknown.entry(&job.tenant).or_default();
            if job.outcome != Outcome::Open {
                // Its runs may not have been stopped yet, and their demand is not recorded.
                unknown.has_ended_jobs = true;
                continue;
            }
            let demand = unknown_demand(job);
            if self.awaits_late_orders(job) {
                unknown.orders.add(&demand);
            } else {
                unknown.runs.add(&demand);
            }
        }
        for (tenant, unknown) in unknown {
            ledger.charge(tenant, &unknown.orders);
            if unknown.has_ended_jobs {
                ledger.charge(tenant, &silent);
                ledger.charge(tenant, &listed);
            } else {
                ledger.charge(tenant, &lesser(&unknown.runs, &silent));
            }
        }
    }

    /// A worker of the predecessor whose runs are not known and may go on.
    fn silent_worker(&self, id: &str, now_ms: u64) -> Option<&Worker> {
        let worker = self.workers.get(id)?;
        let may_run = !worker.fenced && now_ms < self.inherited_expiry_ms;
        may_run.then_some(worker)
    }

    /// Whether a step's tasks on trial may start within the limit of its tenant; of a gang all members.
    pub(super) fn may_start_trial(&self, id: StepId, pass: &mut Pass) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let (Some(spec), Some(step)) = (job.step_spec(id.step), job.step(id)) else {
            return false;
        };
        let (trials, others) = job.split_waiting(step);
        let count = if spec.gang {
            trials.len() + others.len()
        } else {
            trials.len()
        };
        let claim = Claim {
            tenant: &job.tenant,
            step: id,
            demand: resources_of(spec),
            count: count as u32,
            is_gang: spec.gang,
            has_waited_long: self.has_waited_long(id, pass.unix_ms),
        };
        pass.quota.claim(&claim) > 0
    }

    /// Counts started tasks of a step as running.
    pub(super) fn charge_started(&self, id: StepId, count: usize, pass: &mut Pass) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if let Some(spec) = job.step_spec(id.step) {
            let started = quota::times(&resources_of(spec), count as u32);
            pass.quota.charge(&job.tenant, &started);
        }
    }

    /// Whether a job comes after the jobs within shares.
    pub(crate) fn is_behind_shares(&self, job: &Job) -> bool {
        job.over_share && self.config.tenants.is_some()
    }

    /// Whether a job that has not been accepted exceeds its tenant's share.
    pub fn is_over_share(&self, record: &JobRecord, unix_ms: u64) -> bool {
        let window_ms = self.tuning.quota_window_ms;
        let is_over = |tenant: &Rc<Tenant>| {
            let id = JobId(record.id);
            self.tenants.shares.is_over(tenant, id, window_ms, unix_ms)
        };
        self.config.tenant(&record.tenant).is_some_and(is_over)
    }

    /// Sets whether a job that is about to be accepted exceeds its tenant's share, and otherwise counts
    /// it towards the share.
    pub fn claim_share(&mut self, record: &mut JobRecord, unix_ms: u64) {
        record.over_share = self.is_over_share(record, unix_ms);
        if !record.over_share {
            self.count_towards_share(&record.tenant, JobId(record.id), unix_ms, unix_ms);
        }
    }

    /// Counts a job whose record is durable towards its tenant's share. One that its host has written
    /// directly to the store may exceed the share, which its next record shows.
    fn settle_share(&mut self, job: &mut Job, unix_ms: u64) {
        if job.tenant.is_empty() || job.over_share || !job.was_accepted() {
            return;
        }
        let window_ms = self.tuning.quota_window_ms;
        let tenant = self.config.tenant(&job.tenant);
        let is_over = |tenant: &Rc<Tenant>| {
            self.tenants
                .shares
                .is_over(tenant, job.id, window_ms, unix_ms)
        };
        if !job.inherited && job.outcome == Outcome::Open && tenant.is_some_and(is_over) {
            job.over_share = true;
            self.dirty.insert(job.id);
            return;
        }
        self.count_towards_share(&job.tenant, job.id, job.accepted_unix_ms, unix_ms);
    }

    fn count_towards_share(
        &mut self,
        tenant: &str,
        id: JobId,
        accepted_unix_ms: u64,
        unix_ms: u64,
    ) {
        let window_ms = self.tuning.quota_window_ms;
        if let Some(tenant) = self.config.tenant(tenant) {
            self.tenants
                .shares
                .record(tenant, id, accepted_unix_ms, window_ms, unix_ms);
        }
    }

    /// Time until a tenant's share has room for another job, in milliseconds.
    pub(crate) fn share_room_in_ms(&self, tenant: &Tenant, unix_ms: u64) -> u64 {
        let window_ms = self.tuning.quota_window_ms;
        self.tenants.shares.room_in_ms(tenant, window_ms, unix_ms)
    }
}

/// What the predecessor may have started for a tenant.
#[derive(Debug, Default)]
struct Unknown {
    /// Tasks without a known run.
    runs: Resources,
    /// The same of jobs whose late orders are not known yet.
    orders: Resources,
    /// Whether jobs were cancelled or failed whose runs may not have been stopped.
    has_ended_jobs: bool,
}

/// Resources of a job's tasks that may have a run which is not known. A task with an order that may
/// take effect late is counted with the order.
fn unknown_demand(job: &Job) -> Resources {
    let mut demand = Resources::default();
    let specs = job.spec.iter().flat_map(|spec| &spec.steps);
    for (number, spec) in specs.enumerate() {
        let steps = job.occurrences.values();
        let steps = steps.filter_map(|occurrence| occurrence.steps.get(number));
        for step in steps {
            let waiting = step.waiting();
            let unbound = waiting.filter(|&n| step.tasks[n as usize].bound_to.is_none());
            demand.add(&quota::times(&resources_of(spec), unbound.count() as u32));
        }
    }
    demand
}

fn capacity_of<'a>(workers: impl Iterator<Item = &'a Worker>) -> Resources {
    let mut capacity = Resources::default();
    for worker in workers {
        capacity.add(&worker.entry.capacity);
    }
    capacity
}

fn lesser(one: &Resources, other: &Resources) -> Resources {
    Resources {
        cpu_millicores: one.cpu_millicores.min(other.cpu_millicores),
        memory_mb: one.memory_mb.min(other.memory_mb),
        gpus: one.gpus.min(other.gpus),
    }
}
