//! Why steps wait, for the log.

use std::rc::Rc;

use derive_more::Display;

use super::{
    Coordinator,
    candidates::{has_label, is_distrusted, service_of, task_limit},
    job::resources_of,
};
use crate::{ids::StepId, workers::Worker};

/// A step that has waited for a worker, with the workers that it could use at the last scheduling
/// pass. Each count is of workers of the step's service that have its label.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "step={step} waiting={waiting} waited_ms={waited_ms} passed_over_ms={passed_over_ms} \
     workers={workers} schedulable={schedulable} ticketed={ticketed} reserved={reserved} \
     failed={failed} with_room={with_room}"
)]
pub struct WaitingReport {
    /// The step.
    pub step: StepId,
    /// Number of its waiting tasks.
    pub waiting: usize,
    /// Time since a task of it was last placed, in milliseconds.
    pub waited_ms: u64,
    /// Time for which other workers have been preferred to one with room, in milliseconds.
    pub passed_over_ms: u64,
    /// Workers that are listed.
    pub workers: usize,
    /// Workers that answer and are not backed off.
    pub schedulable: usize,
    /// Workers with a valid ticket.
    pub ticketed: usize,
    /// Workers that are kept free for other steps.
    pub reserved: usize,
    /// Workers on which a waiting task failed and that have completed nothing since.
    pub failed: usize,
    /// Workers that have room for a task.
    pub with_room: usize,
}

impl Coordinator {
    /// The most urgent steps that have waited for at least `min_wait_ms`.
    pub fn waiting_steps(
        &self,
        now_ms: u64,
        min_wait_ms: u64,
    ) -> impl Iterator<Item = WaitingReport> {
        let has_waited = move |id: &&StepId| {
            let step = self.jobs.get(&id.job).and_then(|job| job.step(**id));
            step.and_then(|step| step.waiting_since_ms)
                .is_some_and(|since_ms| now_ms >= since_ms + min_wait_ms)
        };
        self.ready_steps
            .iter()
            .filter(has_waited)
            .filter_map(move |&id| self.waiting_report(id, now_ms))
    }

    fn waiting_report(&self, id: StepId, now_ms: u64) -> Option<WaitingReport> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        let step = job.step(id)?;
        let since =
            |since_ms: Option<u64>| since_ms.map_or(0, |since| now_ms.saturating_sub(since));
        let service = service_of(&self.config, job);
        let demand = resources_of(spec);
        let failures = step.failures(step.waiting());
        let suitable = |worker: &&Worker| {
            worker.listed && worker.entry.service == service && has_label(worker, spec)
        };
        let count = |is_counted: &dyn Fn(&Worker, &Rc<str>) -> bool| {
            let workers = self.workers.values().filter(suitable);
            workers.filter(|w| is_counted(w, &w.entry.id)).count()
        };
        Some(WaitingReport {
            step: id,
            waiting: step.waiting().count(),
            waited_ms: since(step.waiting_since_ms),
            passed_over_ms: since(step.passed_over_since_ms),
            workers: count(&|_, _| true),
            schedulable: count(&|worker, _| worker.is_schedulable(now_ms)),
            ticketed: count(&|_, name| step.advice.has_ticket(name, now_ms)),
            reserved: count(&|_, name| self.reservations.contains(name)),
            failed: count(&|worker, _| is_distrusted(worker, &failures)),
            with_room: count(&|worker, _| {
                worker.entry.capacity.fits(&worker.used, &demand)
                    && task_limit(worker, spec, id) > 0
            }),
        })
    }
}
