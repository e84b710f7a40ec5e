//! Stated outcomes, and what a replay observes to check them.

use std::fmt;

use indexmap::IndexMap;
use kernel::ids;
use placement::{Decision, Group};
use serde::{Deserialize, Serialize};

use crate::call::{Call, Effect};

/// What has to hold of a replayed trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// The task was started, and only on workers of the rack.
    StartedOnRack {
        /// The task.
        task: ids::TaskId,
        /// The rack.
        rack: ids::RackId,
    },
    /// No worker was ever assigned more than its capacity.
    NeverOverCapacity,
    /// The gang was started, and each time with all its tasks in one decision.
    StartedTogether {
        /// The gang.
        gang: ids::WorkId,
    },
    /// The work was cancelled, and nothing of it was started afterwards.
    CancelledNeverStarted {
        /// The work.
        work: ids::WorkId,
    },
    /// A task of the work was given back to its shard.
    HandedBack {
        /// The work.
        work: ids::WorkId,
    },
    /// A run of the work was told to stop.
    Stopped {
        /// The work.
        work: ids::WorkId,
    },
    /// The worker was said to leave, and nothing was started on it afterwards.
    LeavingNotUsed {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// At most this many runs were started on the worker.
    StartsAtMost {
        /// The worker.
        worker: ids::WorkerId,
        /// The number.
        starts: usize,
    },
    /// All tasks of the work that were submitted were started.
    AllStarted {
        /// The work.
        work: ids::WorkId,
    },
}

impl fmt::Display for Expectation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match serde_json::to_string(self) {
            Ok(text) => formatter.write_str(&text),
            Err(_) => Err(fmt::Error),
        }
    }
}

#[derive(Debug)]
struct Start {
    step: usize,
    run: ids::TaskAttempt,
    worker: ids::WorkerId,
}

/// What was seen during a replay; a step is the number of a line.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    starts: Vec<Start>,
    racks: IndexMap<ids::WorkerId, ids::RackId>,
    submitted: IndexMap<ids::WorkId, Vec<ids::TaskId>>,
    gang_sizes: IndexMap<ids::WorkId, usize>,
    cancelled: IndexMap<ids::WorkId, usize>,
    leaving: IndexMap<ids::WorkerId, usize>,
    handed_back: Vec<ids::WorkId>,
    stopped: Vec<ids::WorkId>,
    over_capacity: Option<String>,
}

impl Observed {
    /// Takes in a call with what the replayed group made of it.
    pub fn note(&mut self, step: usize, call: &Call, effect: &Effect) {
        match call {
            Call::SetWorker { spec, .. } => {
                self.racks.insert(spec.id.clone(), spec.rack.clone());
            }
            Call::SetWorkerState {
                worker,
                leaving: true,
                ..
            } => {
                self.leaving.insert(worker.clone(), step);
            }
            Call::Cancel { work, .. } => {
                self.cancelled.insert(work.clone(), step);
            }
            Call::Submit { work, runs, .. } => {
                self.gang_sizes.insert(work.id.clone(), runs.len());
                let tasks = self.submitted.entry(work.id.clone()).or_default();
                tasks.extend(runs.iter().map(|run| ids::TaskId::new(&work.id, run.0)));
            }
            _ => {}
        }
        for decision in effect.decisions() {
            self.note_decision(step, decision);
        }
    }

    fn note_decision(&mut self, step: usize, decision: &Decision) {
        match decision {
            Decision::Start { worker, order } => self.starts.push(Start {
                step,
                run: order.run.clone(),
                worker: worker.clone(),
            }),
            Decision::Stop { run, .. } => self.stopped.push(run.task.work.clone()),
            Decision::HandBack { run, .. } => self.handed_back.push(run.task.work.clone()),
        }
    }

    /// Looks for a worker that is assigned more than it can hold.
    pub fn note_capacity(&mut self, step: usize, group: &Group) {
        let workers = group.snapshot().workers;
        let over = workers
            .iter()
            .find(|worker| !worker.assigned.fits_in(worker.capacity));
        if let (Some(worker), None) = (over, &self.over_capacity) {
            self.over_capacity = Some(format!("line {step}: worker {}", worker.id));
        }
    }

    /// Why the expectation does not hold; `None` if it does.
    pub fn fault(&self, expectation: &Expectation) -> Option<String> {
        match expectation {
            Expectation::StartedOnRack { task, rack } => self.rack_fault(task, rack),
            Expectation::NeverOverCapacity => self.over_capacity.clone(),
            Expectation::StartedTogether { gang } => self.gang_fault(gang),
            Expectation::CancelledNeverStarted { work } => {
                let Some(step) = self.cancelled.get(work) else {
                    return Some("it was not cancelled".to_owned());
                };
                self.later_start(*step, |start| start.run.task.work == *work)
            }
            Expectation::HandedBack { work } => missing(
                self.handed_back.contains(work),
                "nothing of it was handed back",
            ),
            Expectation::Stopped { work } => {
                missing(self.stopped.contains(work), "nothing of it was stopped")
            }
            Expectation::LeavingNotUsed { worker } => {
                let Some(step) = self.leaving.get(worker) else {
                    return Some("it did not leave".to_owned());
                };
                self.later_start(*step, |start| start.worker == *worker)
            }
            Expectation::StartsAtMost { worker, starts } => {
                let on_worker = self.starts.iter().filter(|start| start.worker == *worker);
                let count = on_worker.count();
                (count > *starts).then(|| format!("{count} starts"))
            }
            Expectation::AllStarted { work } => self.all_fault(work),
        }
    }

    fn later_start(&self, step: usize, concerns: impl Fn(&Start) -> bool) -> Option<String> {
        self.starts
            .iter()
            .find(|start| start.step > step && concerns(start))
            .map(|start| {
                let Start { step, run, worker } = start;
                format!("line {step}: {run} started on {worker}")
            })
    }

    fn rack_fault(&self, task: &ids::TaskId, rack: &ids::RackId) -> Option<String> {
        let mut starts = self
            .starts
            .iter()
            .filter(|start| start.run.task == *task)
            .peekable();
        if starts.peek().is_none() {
            return Some("it was not started".to_owned());
        }
        starts
            .find(|start| self.racks.get(&start.worker) != Some(rack))
            .map(|start| format!("line {}: started on {}", start.step, start.worker))
    }

    fn gang_fault(&self, gang: &ids::WorkId) -> Option<String> {
        let size = self.gang_sizes.get(gang).copied().unwrap_or(0);
        let mut steps: IndexMap<usize, usize> = IndexMap::new();
        for start in self
            .starts
            .iter()
            .filter(|start| start.run.task.work == *gang)
        {
            *steps.entry(start.step).or_default() += 1;
        }
        if steps.is_empty() {
            return Some("it was not started".to_owned());
        }
        steps
            .iter()
            .find(|(_, count)| **count != size)
            .map(|(step, count)| format!("line {step}: {count} of {size} tasks started"))
    }

    fn all_fault(&self, work: &ids::WorkId) -> Option<String> {
        let Some(tasks) = self.submitted.get(work) else {
            return Some("it was not submitted".to_owned());
        };
        tasks
            .iter()
            .find(|task| !self.starts.iter().any(|start| start.run.task == **task))
            .map(|task| format!("{task} was not started"))
    }
}

fn missing(is_there: bool, fault: &str) -> Option<String> {
    (!is_there).then(|| fault.to_owned())
}
