//! Expectations of a trace, and the observations of a replay that they are checked against.

use std::fmt;

use indexmap::IndexMap;
use kernel::ids;
use placement::{Decision, Group};
use serde::{Deserialize, Serialize};

use crate::call::{Call, Effect};

/// A condition that the replay of a trace must satisfy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// The task was started, and only on workers of the rack.
    StartedOnRack {
        /// Task to check.
        task: ids::TaskId,
        /// Only rack on which the task may start.
        rack: ids::RackId,
    },
    /// No worker was assigned more than its capacity after any call.
    NeverOverCapacity,
    /// The gang was started, and all its tasks were started by the same call each time.
    StartedTogether {
        /// Gang job to check.
        gang: ids::WorkId,
    },
    /// The work was cancelled, and none of its tasks was started afterwards.
    CancelledNeverStarted {
        /// Work to check.
        work: ids::WorkId,
    },
    /// A task of the work was handed back to its shard.
    HandedBack {
        /// Work to check.
        work: ids::WorkId,
    },
    /// A stop of a running task of the work was decided.
    Stopped {
        /// Work to check.
        work: ids::WorkId,
    },
    /// The worker was marked as leaving, and no task was started on it afterwards.
    LeavingNotUsed {
        /// Worker to check.
        worker: ids::WorkerId,
    },
    /// At most `starts` task attempts were started on the worker.
    StartsAtMost {
        /// Worker to check.
        worker: ids::WorkerId,
        /// Maximum number of starts.
        starts: usize,
    },
    /// Every submitted task of the work was started at least once.
    AllStarted {
        /// Work to check.
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

/// Observations made during a replay. A `step` is the number of a trace line, from one.
#[derive(Debug, Default)]
pub(crate) struct Observations {
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

impl Observations {
    /// Records a call and its effect on the replayed group.
    pub fn record_call(&mut self, step: usize, call: &Call, effect: &Effect) {
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
            self.record_decision(step, decision);
        }
    }

    fn record_decision(&mut self, step: usize, decision: &Decision) {
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

    /// Records the first worker whose assigned resources exceed its capacity.
    pub fn record_capacity(&mut self, step: usize, group: &Group) {
        let workers = group.snapshot().workers;
        let overloaded = workers
            .iter()
            .find(|worker| !worker.assigned.fits_in(worker.capacity));
        if let (Some(worker), None) = (overloaded, &self.over_capacity) {
            self.over_capacity = Some(format!(
                "line {step}: worker {} is over capacity",
                worker.id
            ));
        }
    }

    /// Returns why the expectation is violated; `None` if it holds.
    pub fn violation(&self, expectation: &Expectation) -> Option<String> {
        match expectation {
            Expectation::StartedOnRack { task, rack } => self.rack_violation(task, rack),
            Expectation::NeverOverCapacity => self.over_capacity.clone(),
            Expectation::StartedTogether { gang } => self.gang_violation(gang),
            Expectation::CancelledNeverStarted { work } => {
                let Some(step) = self.cancelled.get(work) else {
                    return Some("the work was not cancelled".to_owned());
                };
                self.start_after(*step, |start| start.run.task.work == *work)
            }
            Expectation::HandedBack { work } => violation_unless(
                self.handed_back.contains(work),
                "no task of the work was handed back",
            ),
            Expectation::Stopped { work } => violation_unless(
                self.stopped.contains(work),
                "no task of the work was stopped",
            ),
            Expectation::LeavingNotUsed { worker } => {
                let Some(step) = self.leaving.get(worker) else {
                    return Some("the worker was not marked as leaving".to_owned());
                };
                self.start_after(*step, |start| start.worker == *worker)
            }
            Expectation::StartsAtMost { worker, starts } => {
                let on_worker = self.starts.iter().filter(|start| start.worker == *worker);
                let count = on_worker.count();
                (count > *starts).then(|| format!("{count} starts on the worker"))
            }
            Expectation::AllStarted { work } => self.all_started_violation(work),
        }
    }

    fn start_after(&self, step: usize, predicate: impl Fn(&Start) -> bool) -> Option<String> {
        self.starts
            .iter()
            .find(|start| start.step > step && predicate(start))
            .map(|start| {
                let Start { step, run, worker } = start;
                format!("line {step}: {run} started on {worker}")
            })
    }

    fn rack_violation(&self, task: &ids::TaskId, rack: &ids::RackId) -> Option<String> {
        let mut starts = self
            .starts
            .iter()
            .filter(|start| start.run.task == *task)
            .peekable();
        if starts.peek().is_none() {
            return Some("the task was not started".to_owned());
        }
        starts
            .find(|start| self.racks.get(&start.worker) != Some(rack))
            .map(|start| format!("line {}: started on {}", start.step, start.worker))
    }

    fn gang_violation(&self, gang: &ids::WorkId) -> Option<String> {
        let size = self.gang_sizes.get(gang).copied().unwrap_or(0);
        let mut starts_by_step: IndexMap<usize, usize> = IndexMap::new();
        for start in self
            .starts
            .iter()
            .filter(|start| start.run.task.work == *gang)
        {
            *starts_by_step.entry(start.step).or_default() += 1;
        }
        if starts_by_step.is_empty() {
            return Some("the gang was not started".to_owned());
        }
        starts_by_step
            .iter()
            .find(|(_, count)| **count != size)
            .map(|(step, count)| format!("line {step}: {count} of {size} tasks started"))
    }

    fn all_started_violation(&self, work: &ids::WorkId) -> Option<String> {
        let Some(tasks) = self.submitted.get(work) else {
            return Some("the work was not submitted".to_owned());
        };
        tasks
            .iter()
            .find(|task| !self.starts.iter().any(|start| start.run.task == **task))
            .map(|task| format!("{task} was not started"))
    }
}

fn violation_unless(holds: bool, violation: &str) -> Option<String> {
    (!holds).then(|| violation.to_owned())
}
