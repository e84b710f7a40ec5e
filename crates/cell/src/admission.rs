//! Admission control: which jobs are refused on submission, and when the caller may retry.
//!
//! An accepted job is never dropped, so a job that cannot complete while its result still has value
//! must be refused on submission. A late result still has value, and late jobs are scheduled after
//! jobs that can meet their objective, so a job is refused only if even a late completion is out of
//! reach. The estimate is deliberately simple: CPU time queued ahead of the job, divided by the CPU
//! capacity of its service, compared with the time allowed for the job. A job that would start on trial is
//! also refused if many others wait for one: trials use few workers, and each may take one down.
//!
//! Whatever a job's work is worth, it is refused while the jobs that are open take the memory that the
//! coordinator has for them, and for good if it could not even be the only one.
//!
//! A tenant's job waits besides for the tenant's own work within its limit, and is refused for good if
//! a task or gang exceeds that limit by itself. A job over its tenant's share counts all work within
//! shares as ahead of it, so that it is refused first; others count none over shares.

use derive_more::Display;

use crate::{
    config::{Queue, Tenant},
    coordinator::{AheadOf, Coordinator},
    footprint,
    jobs::{JobSpec, StepSpec},
    objective::MAX_LATENESS_FACTOR,
    quota::{self, LimitExcess},
    workers::Resources,
};

/// Result of admission control for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// The backlog is too large.
    Refuse {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job needs more memory than the coordinator has for all jobs, or its record would be larger
    /// than the store allows.
    TooLarge,
    /// Open jobs take the memory that the coordinator has for them.
    NoMemory {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// A task of the job exceeds the capacity of every worker of the service.
    NeverFits,
    /// A task or gang of the job exceeds the limit of its tenant by itself.
    ExceedsLimit(LimitExcess),
    /// The job could not complete in time because of its tenant, while others are accepted.
    RefuseTenant {
        /// Why.
        cause: TenantCause,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Why a job is refused that another tenant could have submitted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TenantCause {
    /// The tenant's waiting work takes too long within its limit.
    #[display("at_limit")]
    AtLimit,
    /// The job exceeds the tenant's share, and the work within shares leaves too little capacity.
    #[display("over_share")]
    OverShare,
}

/// The tenant of a job that has not been accepted yet.
#[derive(Clone, Copy, Debug)]
pub struct Submitter<'a> {
    /// The tenant.
    pub tenant: &'a Tenant,
    /// Whether the job exceeds its share.
    pub over_share: bool,
    /// Time of the submission, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Share of the CPU capacity that is expected to do useful work.
const USABLE_CPU_PERCENT: u64 = 85;
/// Retry delay of a job for which there is no memory, in milliseconds: about the time in which some of
/// the open jobs end.
const MEMORY_RETRY_AFTER_MS: u64 = 2_000;
/// Bounds of the retry delay, in milliseconds.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (300, 3_000);
/// The same for a job that is refused because of its tenant, in milliseconds: the work of one tenant
/// within its limit can take much longer than the cell's, and a caller that retries sooner is refused
/// again.
const TENANT_RETRY_RANGE_MS: (u64, u64) = (300, 30_000);

impl Coordinator {
    /// Applies admission control to a job without a tenant that has not been accepted yet.
    pub fn admit(&self, queue: &Queue, spec: &JobSpec) -> Verdict {
        self.admit_from(queue, spec, None)
    }

    /// Applies admission control to a job that has not been accepted yet.
    pub fn admit_from(
        &self,
        queue: &Queue,
        spec: &JobSpec,
        submitter: Option<&Submitter<'_>>,
    ) -> Verdict {
        if let Some(refusal) = self.memory_refusal(spec) {
            return refusal;
        }
        let limit = submitter.map(|submitter| &submitter.tenant.limit);
        if let Some(excess) = limit.and_then(|limit| quota::limit_excess(spec, limit)) {
            return Verdict::ExceedsLimit(excess);
        }
        let service = self.service_capacity(&queue.service);
        if service.total == Resources::default() {
            return Verdict::Accept; // The worker list has not been read yet.
        }
        let fits = |step: &StepSpec| {
            service.fits(&Resources {
                cpu_millicores: step.reserved_millicores(),
                memory_mb: step.memory_mb,
                gpus: step.gpus,
            })
        };
        if !spec.steps.iter().all(fits) {
            return Verdict::NeverFits;
        }
        if spec.occurrences > 0 || spec.steps.iter().any(|step| step.long_running) {
            return Verdict::Accept;
        }
        let over_share = submitter.is_some_and(|submitter| submitter.over_share);
        let usable_millicores = (service.total.cpu_millicores * USABLE_CPU_PERCENT / 100).max(1);
        let cell_wait_ms = |over_share| {
            let new = AheadOf { queue, over_share };
            self.backlog_core_ms(new).saturating_mul(1000) / usable_millicores
        };
        let wait_ms = cell_wait_ms(over_share);
        let critical_path_ms = quota::critical_path_ms(spec, limit);
        let allowed_ms = (critical_path_ms as f64 * queue.critical_path_factor
            + queue.base_objective_ms as f64) as u64;
        let max_duration_ms = allowed_ms.saturating_mul(MAX_LATENESS_FACTOR);
        let excess_of = |wait_ms: u64| {
            let duration_ms = wait_ms.saturating_add(critical_path_ms);
            duration_ms.saturating_sub(max_duration_ms)
        };
        let excess_ms = excess_of(wait_ms);
        if let Some(submitter) = submitter {
            let (min_ms, max_ms) = TENANT_RETRY_RANGE_MS;
            let refuse = |cause, retry_after_ms: u64| Verdict::RefuseTenant {
                cause,
                retry_after_ms: retry_after_ms.clamp(min_ms, max_ms),
            };
            let own_excess_ms = excess_of(self.tenant_wait_ms(queue, submitter));
            if own_excess_ms > excess_ms {
                return refuse(TenantCause::AtLimit, own_excess_ms);
            }
            if over_share && excess_ms > 0 {
                // It could be accepted once the backlog has shrunk, or as a job within the share.
                let share_ms = self.share_room_in_ms(submitter.tenant, submitter.unix_ms);
                let within_ms = excess_of(cell_wait_ms(false)).max(share_ms);
                return refuse(TenantCause::OverShare, excess_ms.min(within_ms));
            }
        }
        if excess_ms == 0 && !self.has_full_trial_queue(&queue.name, service.workers) {
            return Verdict::Accept;
        }
        let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
        Verdict::Refuse {
            retry_after_ms: excess_ms.clamp(min_ms, max_ms),
        }
    }

    /// Refusal of a job for which there is no memory.
    fn memory_refusal(&self, spec: &JobSpec) -> Option<Verdict> {
        let budget = self.memory_budget();
        if !budget.fits_alone(spec) {
            return Some(Verdict::TooLarge);
        }
        let bytes = footprint::job_bytes(spec);
        let has_room = budget.has_room(self.held_memory(), bytes);
        (!has_room).then_some(Verdict::NoMemory {
            retry_after_ms: MEMORY_RETRY_AFTER_MS,
        })
    }

    /// Estimated time that a tenant's waiting tasks ahead of a new job take within its limit, in
    /// milliseconds.
    fn tenant_wait_ms(&self, queue: &Queue, submitter: &Submitter<'_>) -> u64 {
        let Tenant { name, limit, .. } = submitter.tenant;
        if *limit == Resources::default() {
            return 0;
        }
        let new = AheadOf {
            queue,
            over_share: submitter.over_share,
        };
        let waiting = self.tenant_backlog_ms(name, new);
        let wait_ms = |waiting: u64, limit: u64| waiting.checked_div(limit).unwrap_or(0);
        wait_ms(waiting.cpu_millicores, limit.cpu_millicores)
            .max(wait_ms(waiting.memory_mb, limit.memory_mb))
            .max(wait_ms(waiting.gpus, limit.gpus))
    }
}
