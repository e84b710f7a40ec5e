//! Admission control: which jobs are refused on submission, and when the caller may retry.
//!
//! An accepted job is never dropped, so a job that cannot complete while its result still has value
//! must be refused on submission. A late result still has value, and late jobs are scheduled after
//! jobs that can meet their objective, so a job is refused only if even a late completion is out of
//! reach. The estimate is deliberately simple: CPU time queued ahead of the job, divided by the CPU
//! capacity of its service, compared with the time allowed for the job. A job that would start on trial is
//! also refused if many others wait for one: trials use few workers, and each may take one down.

use crate::{
    config::Queue, coordinator::Coordinator, jobs::JobSpec, objective::MAX_LATENESS_FACTOR,
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
    /// A task of the job exceeds the capacity of every worker of the service.
    NeverFits,
}

/// Share of the CPU capacity that is expected to do useful work.
const USABLE_CPU_PERCENT: u64 = 85;
/// Bounds of the retry delay, in milliseconds.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (300, 3_000);

impl Coordinator {
    /// Applies admission control to a job that has not been accepted yet.
    pub fn admit(&self, queue: &Queue, spec: &JobSpec) -> Verdict {
        let mut capacity = Resources::default();
        let mut workers = 0;
        let mut fits_any = vec![false; spec.steps.len()];
        for worker in self.workers().values() {
            if !worker.listed || worker.entry.service != queue.service {
                continue;
            }
            capacity.add(&worker.entry.capacity);
            workers += 1;
            for (found, step) in fits_any.iter_mut().zip(&spec.steps) {
                let demand = Resources {
                    cpu_millicores: step.reserved_millicores(),
                    memory_mb: step.memory_mb,
                    gpus: step.gpus,
                };
                *found |= worker.entry.capacity.fits(&Resources::default(), &demand);
            }
        }
        if capacity == Resources::default() {
            return Verdict::Accept; // The worker list has not been read yet.
        }
        if fits_any.contains(&false) {
            return Verdict::NeverFits;
        }
        if spec.occurrences > 0 || spec.steps.iter().any(|step| step.long_running) {
            return Verdict::Accept;
        }
        let backlog_core_ms = self.backlog_core_ms(queue);
        let usable_millicores = (capacity.cpu_millicores * USABLE_CPU_PERCENT / 100).max(1);
        let wait_ms = backlog_core_ms * 1000 / usable_millicores;
        let critical_path_ms = spec.critical_path_ms();
        let allowed_ms =
            (critical_path_ms as f64 * queue.critical_path_factor) as u64 + queue.base_objective_ms;
        let max_duration_ms = allowed_ms * MAX_LATENESS_FACTOR;
        let excess_ms = (wait_ms + critical_path_ms).saturating_sub(max_duration_ms);
        if excess_ms == 0 && !self.has_full_trial_queue(&queue.name, workers) {
            return Verdict::Accept;
        }
        let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
        Verdict::Refuse {
            retry_after_ms: excess_ms.clamp(min_ms, max_ms),
        }
    }

    /// Estimated CPU time of the waiting tasks scheduled ahead of a new job of `queue`, in
    /// core-milliseconds.
    fn backlog_core_ms(&self, queue: &Queue) -> u64 {
        let config = self.config();
        self.open_jobs()
            .filter(|job| {
                config
                    .queues
                    .get(&job.queue)
                    .is_some_and(|other| other.priority <= queue.priority)
            })
            .map(super::coordinator::Job::waiting_core_ms)
            .sum()
    }
}
