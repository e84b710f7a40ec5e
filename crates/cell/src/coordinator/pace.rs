//! Orders that slow filling tasks down beside serving ones.

use std::rc::Rc;

use super::{Coordinator, Order};
use crate::{
    ids::TaskId,
    workers::{Phase, Worker},
};

/// An order without an answer is sent again after this time, in milliseconds.
const PACE_AGAIN_MS: u64 = 400;

impl Coordinator {
    /// Decides the share of filling tasks on a worker that has just shown its lists.
    pub(super) fn review_fill_share(&mut self, id: &str, now_ms: u64) {
        let pressure = self
            .workers
            .get(id)
            .and_then(|worker| self.pressure(worker));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.fill_share = worker.fill_share.next(pressure, now_ms);
        }
    }

    /// The highest tail of a serving task against its target.
    fn pressure(&self, worker: &Worker) -> Option<f64> {
        let serving = worker.runs.iter().filter_map(|(task, run)| {
            let spec = self.spec_of(*task)?;
            let present = matches!(run.phase, Phase::Present { .. });
            (present && spec.target_ms > 0).then(|| run.figure as f64 / spec.target_ms as f64)
        });
        serving.reduce(f64::max)
    }

    /// Whether filling tasks work beside serving ones on a worker.
    pub(super) fn has_fillers_beside_serving(&self, worker: &Worker) -> bool {
        worker.filling_millicores > 0 && self.pressure(worker).is_some()
    }

    /// Orders for filling tasks that do not work at the share of their worker.
    pub(super) fn due_paces(&mut self, now_ms: u64, orders: &mut Vec<Order>) {
        for (id, worker) in &mut self.workers {
            if !worker.fenced || worker.silent {
                continue;
            }
            let percent = worker.fill_share.percent;
            for (&task, run) in &mut worker.runs {
                let due = run
                    .pace_sent_ms
                    .is_none_or(|sent_ms| now_ms >= sent_ms + PACE_AGAIN_MS);
                if run.filling_millicores > 0
                    && matches!(run.phase, Phase::Present { .. })
                    && run.stopping.is_none()
                    && run.pace_percent != Some(percent)
                    && due
                {
                    run.pace_sent_ms = Some(now_ms);
                    orders.push(Order::Pace {
                        worker: Rc::clone(id),
                        task,
                        run: run.run,
                        percent,
                    });
                }
            }
        }
    }

    /// A worker has set the share of a filling task.
    pub fn paced(&mut self, id: &str, task: TaskId, run: u64, percent: u32) {
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
