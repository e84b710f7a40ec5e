//! Workers whose holds and orders have certainly expired.

use std::rc::Rc;

use super::{Coordinator, end_proof::EndProof};
use crate::{
    ids::TaskId,
    workers::{Phase, Run, Worker},
};

impl Coordinator {
    /// Lowers the time by which the predecessor's holds and orders have expired, in milliseconds of
    /// the local clock; never raises it.
    pub fn lower_inherited_expiry(&mut self, expiry_ms: u64) {
        self.inherited_expiry_ms = self.inherited_expiry_ms.min(expiry_ms);
    }

    /// Releases the runs of unresponsive workers whose holds and orders have all expired.
    pub(super) fn release_expired_workers(&mut self, now_ms: u64) {
        self.expire_orders(now_ms);
        let lapsed: Vec<Rc<str>> = self
            .workers
            .values()
            .filter(|worker| worker.has_lapsed(now_ms))
            .map(|w| Rc::clone(&w.entry.id))
            .collect();
        for id in lapsed {
            let tasks: Vec<TaskId> = self
                .workers
                .get(&id)
                .map(|worker| expired_tasks(worker, now_ms).collect())
                .unwrap_or_default();
            if !tasks.is_empty() {
                self.account_for_loss(&id, EndProof::HoldsExpired);
            }
            for task in tasks {
                self.release(&id, task, EndProof::HoldsExpired, now_ms);
            }
            // Ends that it did not list before its hold expired do not count.
            self.unreported_workers.swap_remove(&id);
            self.unheard_workers.swap_remove(&id);
        }
        let unreported = &self.unreported_workers;
        self.workers
            .retain(|id, worker| unreported.contains(id) || !worker.is_gone(now_ms));
        if now_ms >= self.inherited_expiry_ms {
            self.release_unheard_workers(now_ms);
            let workers = &self.workers;
            self.unreported_workers
                .retain(|id| workers.get(id).is_some_and(|worker| worker.fenced));
            // Workers of the predecessor that neither sent a report nor are listed have no runs any
            // more.
            self.workers.retain(|_, worker| {
                worker.listed
                    || worker.fenced
                    || !worker.runs.is_empty()
                    || worker.has_pending_orders(now_ms)
            });
        }
    }

    /// Releases the runs that workers of the predecessor may have had, if these have not answered.
    fn release_unheard_workers(&mut self, now_ms: u64) {
        for id in std::mem::take(&mut self.unheard_workers) {
            let tasks: Vec<TaskId> = self
                .workers
                .get(&id)
                .map(|worker| worker.runs.keys().copied().collect())
                .unwrap_or_default();
            for task in tasks {
                self.release(&id, task, EndProof::InheritedHoldsExpired, now_ms);
            }
        }
    }
}

/// Tasks of a worker whose holds have expired that may start elsewhere. A later process under the same
/// identifier may still execute an order that had no response.
fn expired_tasks(worker: &Worker, now_ms: u64) -> impl Iterator<Item = TaskId> {
    let may_arrive = move |task: TaskId, run: &Run| {
        let in_flight = matches!(
            run.phase,
            Phase::Ordered {
                in_flight: true,
                ..
            }
        );
        in_flight || worker.pending_order(task, now_ms).is_some()
    };
    let runs = worker.runs.iter();
    runs.filter(move |(task, run)| !may_arrive(**task, run))
        .map(|(&task, _)| task)
}
