//! Runs that are lost with their worker, for the log.

use std::{fmt, rc::Rc};

use derive_more::Display;

use super::Coordinator;
use crate::{ids::TaskId, workers::Run};

/// Maximum number of lost runs that one log line names.
const MAX_NAMED_RUNS: usize = 6;

/// How it became certain that a worker's runs are gone.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LossEvidence {
    /// Another process answers at the worker's address, or the worker is gone after draining.
    #[display("process_ended")]
    ProcessEnded,
    /// The worker does not answer, and its holds have expired.
    #[display("holds_expired")]
    HoldsExpired,
}

/// Runs that were lost with a worker.
#[derive(Clone, Debug, Display)]
#[display(
    "worker={worker} evidence={evidence} refused={refused} draining={draining} lost={lost} \
     runs={named}"
)]
pub struct WorkerLoss {
    /// The worker.
    pub worker: Rc<str>,
    /// How the loss became certain.
    pub evidence: LossEvidence,
    /// Whether the worker's address refused connections before.
    pub refused: bool,
    /// Whether the worker was draining.
    pub draining: bool,
    /// Number of lost runs.
    pub lost: usize,
    /// The runs ordered last.
    pub named: NamedRuns,
}

/// The lost runs that were ordered last, latest first.
#[derive(Clone, Debug)]
pub struct NamedRuns(Vec<NamedRun>);

#[derive(Clone, Debug)]
struct NamedRun {
    task: TaskId,
    run: u64,
    age_ms: u64,
}

impl fmt::Display for NamedRuns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, named) in self.0.iter().enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(
                f,
                "{separator}{}#{}@{}ms",
                named.task, named.run, named.age_ms
            )?;
        }
        Ok(())
    }
}

impl Coordinator {
    /// Takes the losses of workers since the last call.
    pub fn take_losses(&mut self) -> Vec<WorkerLoss> {
        std::mem::take(&mut self.losses)
    }

    /// Records that a worker's runs are gone, before they are released.
    pub(super) fn record_loss(&mut self, id: &str, evidence: LossEvidence, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.runs.is_empty() {
            return;
        }
        let age_ms = |run: &Run| now_ms.saturating_sub(run.ordered_ms);
        let mut named: Vec<NamedRun> = worker
            .runs
            .iter()
            .map(|(&task, run)| NamedRun {
                task,
                run: run.run,
                age_ms: age_ms(run),
            })
            .collect();
        named.sort_by_key(|run| (run.age_ms, run.task));
        named.truncate(MAX_NAMED_RUNS);
        self.losses.push(WorkerLoss {
            worker: Rc::clone(&worker.entry.id),
            evidence,
            refused: worker.refused,
            draining: worker.entry.draining,
            lost: worker.runs.len(),
            named: NamedRuns(named),
        });
    }
}
