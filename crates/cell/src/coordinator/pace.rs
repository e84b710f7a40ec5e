//! Orders that limit the CPU share of best-effort tasks next to latency-sensitive ones.

use std::rc::Rc;

use super::{Coordinator, Order};
use crate::{
    ids::TaskId,
    workers::{Phase, Worker},
};

/// Time after which an unconfirmed order is sent again, in milliseconds.
const PACE_RETRY_MS: u64 = 400;

impl Coordinator {
    /// Recomputes the CPU share of best-effort tasks on a worker after its report.
    pub(super) fn update_best_effort_share(&mut self, id: &str, now_ms: u64) {
        let pressure = self
            .workers
            .get(id)
            .and_then(|worker| self.pressure(worker));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.best_effort_share = worker.best_effort_share.next(pressure, now_ms);
        }
    }

    /// Highest ratio of tail latency to target among the latency-sensitive tasks on a worker.
    fn pressure(&self, worker: &Worker) -> Option<f64> {
        let latency_sensitive = worker.runs.iter().filter_map(|(task, run)| {
            let spec = self.spec_of(*task)?;
            let present = matches!(run.phase, Phase::Present { .. });
            (present && spec.latency_target_ms > 0)
                .then(|| run.measured_value as f64 / spec.latency_target_ms as f64)
        });
        latency_sensitive.reduce(f64::max)
    }

    /// Whether best-effort tasks run next to latency-sensitive ones on a worker.
    pub(super) fn has_colocated_best_effort(&self, worker: &Worker) -> bool {
        worker.best_effort_millicores > 0 && self.pressure(worker).is_some()
    }

    /// Collects orders for best-effort runs whose share differs from that of their worker.
    pub(super) fn due_pace_orders(&mut self, now_ms: u64, orders: &mut Vec<Order>) {
        for (id, worker) in &mut self.workers {
            if !worker.fenced || worker.unresponsive {
                continue;
            }
            let percent = worker.best_effort_share.percent;
            for (&task, run) in &mut worker.runs {
                let due = run
                    .pace_sent_ms
                    .is_none_or(|sent_ms| now_ms >= sent_ms + PACE_RETRY_MS);
                if run.best_effort_millicores > 0
                    && matches!(run.phase, Phase::Present { .. })
                    && run.stopping.is_none()
                    && run.pace_percent != Some(percent)
                    && due
                {
                    run.pace_sent_ms = Some(now_ms);
                    orders.push(Order::SetCpuShare {
                        worker: Rc::clone(id),
                        task,
                        run: run.run,
                        percent,
                    });
                }
            }
        }
    }

    /// Records that a worker confirmed the CPU share of a best-effort run.
    pub fn pace_confirmed(&mut self, id: &str, task: TaskId, run: u64, percent: u32) {
        let known = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(&task));
        if let Some(known) = known.filter(|known| known.run == run) {
            known.pace_percent = Some(percent);
            known.pace_sent_ms = None;
        }
    }
}
