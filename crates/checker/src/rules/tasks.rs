//! Rules for tasks: no overlapping runs, no capacity excess, no stale epoch, no second completion.

use indexmap::{IndexMap, IndexSet};
use kernel::history::{Event, Record};
use kernel::ids;
use kernel::work;

use crate::violation::Violation;

#[derive(Debug)]
struct Worker {
    capacity: work::Resources,
    seen: ids::Epoch,
    running: IndexMap<ids::TaskAttempt, work::Resources>,
}

impl Worker {
    fn assigned(&self) -> work::Resources {
        let running = self.running.values();
        running.fold(work::Resources::default(), |sum, demand| sum + *demand)
    }
}

#[derive(Debug, Default)]
struct Replay {
    workers: IndexMap<ids::WorkerId, Worker>,
    /// Current runs of each task; more than one only after a violation.
    placements: IndexMap<ids::TaskId, Vec<(ids::WorkerId, ids::TaskAttempt)>>,
    completed: IndexSet<ids::TaskId>,
    violations: Vec<Violation>,
}

/// Replays all task events and finds violations.
pub(crate) fn check_tasks(
    records: &[&Record],
    repeatable: &IndexSet<ids::WorkId>,
) -> Vec<Violation> {
    let mut replay = Replay::default();
    for record in records {
        match &record.event {
            Event::WorkerAdded { worker, capacity } => replay.add(worker, *capacity),
            Event::WorkerLost { worker } => replay.remove(worker),
            Event::TaskStarted {
                worker,
                run,
                demand,
                epoch,
            } => {
                replay.check_overlap(record.at_ms, worker, run);
                replay.start(record.at_ms, worker, run, *demand, *epoch);
            }
            Event::TaskEnded {
                worker,
                run,
                completed,
            } => replay.end(record.at_ms, worker, run, *completed),
            _ => {}
        }
    }
    replay.violations.retain(|violation| match violation {
        Violation::CompletedTwice { run, .. } => !repeatable.contains(&run.task.work),
        _ => true,
    });
    replay.violations
}

impl Replay {
    fn add(&mut self, worker: &ids::WorkerId, capacity: work::Resources) {
        let added = Worker {
            capacity,
            seen: ids::Epoch::default(),
            running: IndexMap::new(),
        };
        self.workers.insert(worker.clone(), added);
    }

    fn remove(&mut self, worker: &ids::WorkerId) {
        self.workers.swap_remove(worker);
        for placements in self.placements.values_mut() {
            placements.retain(|(place, _)| place != worker);
        }
    }

    fn check_overlap(&mut self, at_ms: u64, worker: &ids::WorkerId, run: &ids::TaskAttempt) {
        let placements = self.placements.entry(run.task.clone()).or_default();
        if let Some((first_worker, first)) = placements.first() {
            self.violations.push(Violation::Overlap {
                at_ms,
                first: first.clone(),
                first_worker: first_worker.clone(),
                second: run.clone(),
                second_worker: worker.clone(),
            });
        }
        placements.push((worker.clone(), run.clone()));
    }

    fn start(
        &mut self,
        at_ms: u64,
        id: &ids::WorkerId,
        run: &ids::TaskAttempt,
        demand: work::Resources,
        epoch: ids::Epoch,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            let (worker, run) = (id.clone(), run.clone());
            let violation = Violation::NoSuchWorker { at_ms, worker, run };
            return self.violations.push(violation);
        };
        if epoch < worker.seen {
            self.violations.push(Violation::StaleEpochObeyed {
                at_ms,
                worker: id.clone(),
                run: run.clone(),
                epoch,
                seen: worker.seen,
            });
        }
        worker.seen = worker.seen.max(epoch);
        worker.running.insert(run.clone(), demand);
        let assigned = worker.assigned();
        if !assigned.fits_in(worker.capacity) {
            self.violations.push(Violation::OverCapacity {
                at_ms,
                worker: id.clone(),
                assigned,
                capacity: worker.capacity,
            });
        }
    }

    fn end(&mut self, at_ms: u64, id: &ids::WorkerId, run: &ids::TaskAttempt, completed: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.running.swap_remove(run);
        }
        if let Some(placements) = self.placements.get_mut(&run.task) {
            placements.retain(|(place, running)| (place, running) != (id, run));
        }
        if completed && !self.completed.insert(run.task.clone()) {
            let run = run.clone();
            self.violations
                .push(Violation::CompletedTwice { at_ms, run });
        }
    }
}
