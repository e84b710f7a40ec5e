//! Workers and runs of the predecessor.

use std::rc::Rc;

use super::{
    Coordinator, InheritedWorker,
    end_proof::EndProof,
    job::{ActiveRun, demand_of},
};
use crate::{
    ids::{JobId, TaskId},
    workers::{Phase, ReportedRun, Run, Worker},
};

impl Coordinator {
    pub(super) fn inherit_worker(&mut self, inherited: InheritedWorker, orders_expiry_ms: u64) {
        let mut worker = Worker::new(inherited.entry);
        let id = Rc::clone(&worker.entry.id);
        worker.listed = false;
        worker.known_address = Some(Rc::clone(&worker.entry.address));
        if let Some(runs) = inherited.closed_runs {
            for &(task, run) in &runs {
                let active = ActiveRun {
                    worker: Rc::clone(&id),
                    run,
                };
                let of_job = self.inherited_runs.entry(task.step.job).or_default();
                of_job.push((task, active));
            }
            worker.closed_runs = Some(runs);
            self.unheard_workers.insert(Rc::clone(&id));
        } else {
            worker.in_roster = true;
            self.unreported_workers.insert(Rc::clone(&id));
        }
        self.workers.insert(Rc::clone(&id), worker);
        self.inherit_pace(&id, inherited.pace_percent);
        for (task, run) in inherited.late_orders {
            self.inherit_late_order(&id, task, run, orders_expiry_ms);
        }
    }

    /// Assumes that the runs of a job that the predecessor listed go on, until their workers report
    /// or their holds have expired.
    pub(super) fn restore_inherited_runs(&mut self, id: JobId) {
        for (task, active) in self.inherited_runs.swap_remove(&id).unwrap_or_default() {
            self.restore_inherited_run(task, active);
        }
    }

    fn restore_inherited_run(&mut self, id: TaskId, active: ActiveRun) -> Option<()> {
        let job = self.jobs.get_mut(&id.step.job)?;
        job.begin_through(id.step.occurrence);
        let demand = demand_of(job.step_spec(id.step.step)?);
        let task = job.task_mut(id)?;
        // A later run was ordered only after the earlier ones had ended.
        if task.done || task.last_run > active.run {
            return None;
        }
        if let Some(earlier) = task.active.take()
            && let Some(worker) = self.workers.get_mut(&earlier.worker)
        {
            worker.remove_run(id);
        }
        let worker = self.workers.get_mut(&active.worker)?;
        let run = Run {
            survived: true,
            ..Run::new(active.run, &demand, Phase::Present { since_ms: 0 }, 0)
        };
        worker.add_run(id, run);
        task.last_run = active.run;
        task.active = Some(active);
        Some(())
    }

    /// Releases an earlier run of a reported task that the predecessor listed for another worker: the
    /// later one was ordered only after that had ended.
    pub(super) fn release_superseded_run(&mut self, reported: &ReportedRun, now_ms: u64) {
        let job = self.jobs.get(&reported.task.step.job);
        let active = job
            .and_then(|job| job.task(reported.task))
            .and_then(|task| task.active.clone())
            .filter(|active| active.run < reported.run)
            .filter(|active| self.unheard_workers.contains(&active.worker));
        if let Some(active) = active {
            let by_run = reported.run;
            let proof = EndProof::Superseded { by_run };
            self.release(&active.worker, reported.task, proof, now_ms);
        }
    }
}
