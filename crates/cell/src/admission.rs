//! Which jobs are refused before they are accepted, and when to come back.
//!
//! An accepted job is kept, so work that cannot be done while it still counts must be turned away
//! at the door. A late end still counts, and late work waits for work in time, so a job is refused
//! only if even a late end is out of reach. The estimate is deliberately plain: the processor time that waits ahead of the
//! job, over all processors of its service, against the time that the job has.

use crate::{config::Queue, coordinator::Coordinator, jobs::JobSpec, workers::Room};

/// Whether a job is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Accept,
    /// Not now; the caller may come back after this time, in milliseconds.
    Refuse {
        /// When the backlog is expected to have shrunk enough.
        retry_after_ms: u64,
    },
    /// No worker of the service could hold one of its tasks.
    NeverFits,
}

/// Parts of a hundred of the processors that are expected to do useful work.
const USABLE_PERCENT: u64 = 85;
/// A job is taken if it is expected to end within this many times its objective: a later end counts
/// for nothing.
pub(crate) const WORTHLESS_AFTER: u64 = 3;
/// Bounds on the time after which a caller is asked to come back, in milliseconds.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (300, 3_000);

impl Coordinator {
    /// Decides on a job that is not known yet.
    pub fn admit(&self, queue: &Queue, spec: &JobSpec) -> Verdict {
        let mut capacity = Room::default();
        let mut any_holds = vec![false; spec.steps.len()];
        for worker in self.workers().values() {
            if !worker.listed || worker.entry.service != queue.service {
                continue;
            }
            capacity.add(&worker.entry.capacity);
            for (holds, step) in any_holds.iter_mut().zip(&spec.steps) {
                let need = Room {
                    cpu_millicores: step.counted_millicores(),
                    memory_mb: step.memory_mb,
                    gpus: step.gpus,
                };
                *holds |= worker.entry.capacity.fits(&Room::default(), &need);
            }
        }
        if capacity == Room::default() {
            return Verdict::Accept; // The workers are not known yet.
        }
        if any_holds.contains(&false) {
            return Verdict::NeverFits;
        }
        if spec.occurrences > 0 || spec.steps.iter().any(|step| step.long_running) {
            return Verdict::Accept;
        }
        let ahead_core_ms = self.backlog_core_ms(queue);
        let usable_millicores = (capacity.cpu_millicores * USABLE_PERCENT / 100).max(1);
        let wait_ms = ahead_core_ms * 1000 / usable_millicores;
        let chain_ms = spec.longest_chain_ms();
        let allowed_ms = (chain_ms as f64 * queue.stretch) as u64 + queue.target_ms;
        let within_ms = allowed_ms * WORTHLESS_AFTER;
        if wait_ms + chain_ms <= within_ms {
            return Verdict::Accept;
        }
        let excess_ms = wait_ms + chain_ms - within_ms;
        let (least, most) = RETRY_AFTER_RANGE_MS;
        Verdict::Refuse {
            retry_after_ms: excess_ms.clamp(least, most),
        }
    }

    /// Processor time that is still to be spent on jobs that come before a new one of `queue`, in
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
