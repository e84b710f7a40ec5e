//! Limits of tenants: what each has running, and how many more tasks it may start.
//!
//! A [`Ledger`] is derived anew for each scheduling pass from everything that may be running, and is
//! never stored, so it cannot drift from the workers' state. It holds to the limit itself: the
//! tolerance that the platform grants above it is left for what the coordinator cannot know.

use std::rc::Rc;

use derive_more::Display;

use crate::{
    collections::{IndexMap, IndexSet},
    config::Config,
    ids::StepId,
    jobs::{JobSpec, StepSpec},
    workers::Resources,
};

/// What a tenant has running, against its limit.
#[derive(Clone, Debug, Default)]
pub struct TenantUsage {
    /// Limit of the tenant; 0 for no limit of a resource.
    pub limit: Resources,
    /// Resources of all that may be running.
    pub used: Resources,
    /// Tasks that the limit kept from starting in the pass.
    pub held_tasks: u64,
    /// Resources kept for steps that have waited long for room within the limit.
    reserved: Resources,
}

/// Tasks of a step that are about to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Tenant of the job; empty for none.
    pub tenant: &'a str,
    /// The step.
    pub step: StepId,
    /// Resources of each task.
    pub demand: Resources,
    /// Number of tasks that would start.
    pub count: u32,
    /// Whether all of them start or none.
    pub is_gang: bool,
    /// Whether less urgent steps of the tenant leave room for this one if it does not fit. Otherwise
    /// a steady flow of small tasks would starve a wide gang or a large task.
    pub has_waited_long: bool,
}

/// Numbers of steps that the limits kept from starting in a pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldSteps {
    /// Steps of which some tasks were held back.
    pub clamped: u64,
    /// Gangs that do not fit whole.
    pub gangs: u64,
    /// Other steps of which no task fits.
    pub full: u64,
}

/// What each tenant has running, and what was held back in the current pass. Empty if the cell has no
/// tenants.
#[derive(Debug, Default)]
pub struct Ledger {
    tenants: IndexMap<Rc<str>, TenantUsage>,
    /// Steps of which no task may start in the pass.
    held: IndexSet<StepId>,
    counts: HeldSteps,
}

impl Ledger {
    /// A ledger of the configured tenants, without any usage.
    pub fn of(config: &Config) -> Self {
        let tenants = config.tenants.iter().flat_map(IndexMap::values);
        let usage = tenants.map(|tenant| {
            let usage = TenantUsage {
                limit: tenant.limit,
                ..TenantUsage::default()
            };
            (Rc::clone(&tenant.name), usage)
        });
        Self {
            tenants: usage.collect(),
            ..Self::default()
        }
    }

    /// Whether there are any tenants.
    pub fn is_active(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenants and what they have running.
    pub fn usage(&self) -> &IndexMap<Rc<str>, TenantUsage> {
        &self.tenants
    }

    /// Numbers of steps that were held back in the pass.
    pub fn held_steps(&self) -> HeldSteps {
        self.counts
    }

    /// Position of a tenant, for many charges; `None` if it is not configured.
    pub fn position(&self, tenant: &str) -> Option<usize> {
        self.tenants.get_index_of(tenant)
    }

    /// Counts resources as used by the tenant at a position.
    pub fn charge_at(&mut self, position: usize, resources: &Resources) {
        if let Some((_, usage)) = self.tenants.get_index_mut(position) {
            usage.used.add(resources);
        }
    }

    /// Counts resources as used by a tenant; ignored if the tenant is not configured.
    pub fn charge(&mut self, tenant: &str, resources: &Resources) {
        if let Some(position) = self.position(tenant) {
            self.charge_at(position, resources);
        }
    }

    /// Whether a tenant has more running than its limit, as it has after the limit was reduced.
    pub fn is_exceeded(&self, tenant: &str) -> bool {
        let usage = self.tenants.get(tenant);
        usage.is_some_and(|usage| exceeded(&usage.used, &usage.limit).is_some())
    }

    /// Number of tasks of size `demand` that the tenant may start now.
    pub fn fitting_tasks(&self, tenant: &str, demand: &Resources) -> u32 {
        let Some(usage) = self.tenants.get(tenant) else {
            return u32::MAX;
        };
        let mut taken = usage.used;
        taken.add(&usage.reserved);
        concurrent_tasks(&usage.limit, &taken, demand)
    }

    /// Returns how many of the tasks may start; of a gang all or none. Does not charge them.
    pub fn claim(&mut self, claim: &Claim<'_>) -> u32 {
        if claim.count == 0 || !self.tenants.contains_key(claim.tenant) {
            return claim.count;
        }
        if self.is_held(claim.step) {
            return 0;
        }
        let fitting = self.fitting_tasks(claim.tenant, &claim.demand);
        if fitting >= claim.count {
            return claim.count;
        }
        let allowed = if claim.is_gang { 0 } else { fitting };
        if allowed > 0 {
            self.counts.clamped += 1;
        } else if claim.is_gang {
            self.counts.gangs += 1;
        } else {
            self.counts.full += 1;
        }
        if allowed == 0 {
            self.held.insert(claim.step);
        }
        if let Some(usage) = self.tenants.get_mut(claim.tenant) {
            usage.held_tasks += u64::from(claim.count - allowed);
            if allowed == 0 && claim.has_waited_long {
                let needed = if claim.is_gang { claim.count } else { 1 };
                // What exceeds a reduced limit by itself would only keep others from it.
                let at_most = concurrent_tasks(&usage.limit, &Resources::default(), &claim.demand);
                if needed <= at_most {
                    usage.reserved.add(&times(&claim.demand, needed));
                }
            }
        }
        allowed
    }

    /// Whether the limit of a step's tenant keeps all of its tasks from starting in the pass.
    pub fn is_held(&self, step: StepId) -> bool {
        self.held.contains(&step)
    }
}

/// Resources of several tasks.
pub fn times(demand: &Resources, count: u32) -> Resources {
    let times = |amount: u64| amount.saturating_mul(u64::from(count));
    Resources {
        cpu_millicores: times(demand.cpu_millicores),
        memory_mb: times(demand.memory_mb),
        gpus: times(demand.gpus),
    }
}

/// Number of tasks that fit into a limit of which a part is taken.
fn concurrent_tasks(limit: &Resources, taken: &Resources, demand: &Resources) -> u32 {
    let fitting = |limit: u64, taken: u64, demand: u64| match (limit, demand) {
        (0, _) | (_, 0) => u64::from(u32::MAX),
        _ => limit.saturating_sub(taken) / demand,
    };
    let cpu = fitting(
        limit.cpu_millicores,
        taken.cpu_millicores,
        demand.cpu_millicores,
    );
    let memory = fitting(limit.memory_mb, taken.memory_mb, demand.memory_mb);
    let gpus = fitting(limit.gpus, taken.gpus, demand.gpus);
    cpu.min(memory).min(gpus).min(u64::from(u32::MAX)) as u32
}

/// Longest chain of a job's steps, in milliseconds. A step that is wider than its tenant may run takes
/// its duration for each of the waves that it needs.
pub fn critical_path_ms(spec: &JobSpec, limit: Option<&Resources>) -> u64 {
    let Some(limit) = limit else {
        return spec.critical_path_ms();
    };
    spec.longest_chain_ms(|step| step.estimate_ms.saturating_mul(waves(limit, step)))
}

/// Number of times that a step's tasks start one after another under a limit.
fn waves(limit: &Resources, step: &StepSpec) -> u64 {
    if step.gang || step.long_running {
        return 1;
    }
    let at_once = concurrent_tasks(limit, &Resources::default(), &step.resources());
    u64::from(step.count.div_ceil(at_once.max(1)))
}

/// Why a job can never run within its tenant's limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "{} of step {step} needs {needed} {unit}, above the tenant's limit of {limit}",
    if *is_gang { "the gang" } else { "a task" }
)]
pub struct LimitExcess {
    /// Position of the step in the job.
    pub step: u32,
    /// Whether the tasks fit one by one, and only the whole gang does not.
    pub is_gang: bool,
    /// Unit of the resource.
    pub unit: &'static str,
    /// What the task or the gang needs.
    pub needed: u64,
    /// The tenant's limit.
    pub limit: u64,
}

/// The first task or gang of a job that exceeds a limit by itself.
pub fn limit_excess(spec: &JobSpec, limit: &Resources) -> Option<LimitExcess> {
    spec.steps.iter().enumerate().find_map(|(number, step)| {
        let task = step.resources();
        let gang = times(&task, if step.gang { step.count } else { 1 });
        [(task, false), (gang, true)]
            .into_iter()
            .find_map(|(needed, is_gang)| {
                let (unit, needed, limit) = exceeded(&needed, limit)?;
                Some(LimitExcess {
                    step: number as u32,
                    is_gang,
                    unit,
                    needed,
                    limit,
                })
            })
    })
}

fn exceeded(needed: &Resources, limit: &Resources) -> Option<(&'static str, u64, u64)> {
    [
        (
            "millicores of CPU",
            needed.cpu_millicores,
            limit.cpu_millicores,
        ),
        ("MB of memory", needed.memory_mb, limit.memory_mb),
        ("GPUs", needed.gpus, limit.gpus),
    ]
    .into_iter()
    .find(|&(_, needed, limit)| limit > 0 && needed > limit)
}
