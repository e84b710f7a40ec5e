//! Workers whose runs have certainly ended: their holds have expired, or they have left.

use std::rc::Rc;

use super::{Coordinator, crash_log::LossEvidence};
use crate::{ids::TaskId, workers::Worker};

/// Time within which the entries of live workers are back after a store outage, in milliseconds.
const ENTRY_RETURN_MS: u64 = 2_000;

impl Coordinator {
    /// Lowers the time by which the predecessor's holds and orders have expired, in milliseconds of
    /// the local clock; never raises it.
    pub fn lower_inherited_expiry(&mut self, expiry_ms: u64) {
        self.inherited_expiry_ms = self.inherited_expiry_ms.min(expiry_ms);
    }

    /// Releases the runs of unresponsive workers whose holds and orders have all expired.
    pub(super) fn release_expired_workers(&mut self, now_ms: u64) {
        self.settle_departed_workers(now_ms);
        let lapsed = |worker: &&Worker| worker.unresponsive && worker.has_certainly_expired(now_ms);
        let ids: Vec<Rc<str>> = self
            .workers
            .values()
            .filter(lapsed)
            .map(|w| Rc::clone(&w.entry.id))
            .collect();
        for id in ids {
            self.judge_lost_worker(&id, self.pass_unix_ms);
            self.record_loss(&id, LossEvidence::HoldsExpired);
            let tasks: Vec<TaskId> = self
                .workers
                .get(&id)
                .map(|w| w.runs.keys().copied().collect())
                .unwrap_or_default();
            for task in tasks {
                self.release(&id, task);
            }
            // Ends that it did not list before its hold expired do not count.
            self.unreported_workers.swap_remove(&id);
            if self.workers.get(&id).is_some_and(|worker| !worker.listed) {
                self.workers.swap_remove(&id);
            }
        }
        let unreported = &self.unreported_workers;
        self.workers
            .retain(|id, worker| unreported.contains(id) || !worker.is_gone(now_ms));
        if now_ms >= self.inherited_expiry_ms {
            let workers = &self.workers;
            self.unreported_workers
                .retain(|id| workers.get(id).is_some_and(|worker| worker.fenced));
            // Workers of the predecessor that neither sent a report nor are listed have no runs any
            // more.
            self.workers
                .retain(|_, worker| worker.listed || worker.fenced || !worker.runs.is_empty());
        }
    }

    /// Stops waiting for workers of the predecessor that were draining and have left: they do not
    /// answer and their entries stay away longer than a store outage can explain.
    fn settle_departed_workers(&mut self, now_ms: u64) {
        let Some(listed_ms) = self.listed_since_ms else {
            return;
        };
        if self.unreported_workers.is_empty() || now_ms < listed_ms + ENTRY_RETURN_MS {
            return;
        }
        let has_left = |id: &&Rc<str>| self.workers.get(*id).is_some_and(Worker::has_departed);
        let left: Vec<Rc<str>> = self
            .unreported_workers
            .iter()
            .filter(has_left)
            .cloned()
            .collect();
        for id in left {
            self.worker_ended(&id, now_ms);
        }
    }
}
