//! Tasks on workers: no overlap, no excess, no stale epoch, no second completion.

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
struct Cell {
    workers: IndexMap<ids::WorkerId, Worker>,
    /// Where each task runs: several places only after a violation.
    places: IndexMap<ids::TaskId, Vec<(ids::WorkerId, ids::TaskAttempt)>>,
    completed: IndexSet<ids::TaskId>,
    violations: Vec<Violation>,
}

/// Follows all tasks through the history.
pub(crate) fn check_tasks(
    records: &[&Record],
    repeatable: &IndexSet<ids::WorkId>,
) -> Vec<Violation> {
    let mut cell = Cell::default();
    for record in records {
        match &record.event {
            Event::WorkerAdded { worker, capacity } => cell.add(worker, *capacity),
            Event::WorkerLost { worker } => cell.lose(worker),
            Event::TaskStarted {
                worker,
                run,
                demand,
                epoch,
            } => {
                cell.check_overlap(record.at_ms, worker, run);
                cell.start(record.at_ms, worker, run, *demand, *epoch);
            }
            Event::TaskEnded {
                worker,
                run,
                completed,
            } => cell.end(record.at_ms, worker, run, *completed),
            _ => {}
        }
    }
    cell.violations.retain(|violation| match violation {
        Violation::CompletedTwice { run, .. } => !repeatable.contains(&run.task.work),
        _ => true,
    });
    cell.violations
}

impl Cell {
    fn add(&mut self, worker: &ids::WorkerId, capacity: work::Resources) {
        let added = Worker {
            capacity,
            seen: ids::Epoch::default(),
            running: IndexMap::new(),
        };
        self.workers.insert(worker.clone(), added);
    }

    fn lose(&mut self, worker: &ids::WorkerId) {
        self.workers.swap_remove(worker);
        for places in self.places.values_mut() {
            places.retain(|(place, _)| place != worker);
        }
    }

    fn check_overlap(&mut self, at_ms: u64, worker: &ids::WorkerId, run: &ids::TaskAttempt) {
        let places = self.places.entry(run.task.clone()).or_default();
        if let Some((first_worker, first)) = places.first() {
            self.violations.push(Violation::Overlap {
                at_ms,
                first: first.clone(),
                first_worker: first_worker.clone(),
                second: run.clone(),
                second_worker: worker.clone(),
            });
        }
        places.push((worker.clone(), run.clone()));
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
        if let Some(places) = self.places.get_mut(&run.task) {
            places.retain(|(place, running)| (place, running) != (id, run));
        }
        if completed && !self.completed.insert(run.task.clone()) {
            let run = run.clone();
            self.violations
                .push(Violation::CompletedTwice { at_ms, run });
        }
    }
}
