//! What becomes known about crashed workers, for the log.

use std::{fmt, rc::Rc};

use derive_more::Display;

use super::{Coordinator, end_proof::EndProof};
use crate::{
    ids::TaskId,
    workers::{Phase, Worker},
};

/// Maximum number of runs that one log line names.
const MAX_NAMED_RUNS: usize = 6;

/// Something that became known about a crashed worker.
#[derive(Clone, Debug)]
pub enum CrashEvent {
    /// The loss of a worker was judged.
    Judged(CrashReport),
    /// The runs of a worker are certainly gone.
    Lost(WorkerLoss),
    /// A task is given up.
    GivenUp {
        /// The task.
        task: TaskId,
        /// The runs under which workers crashed.
        runs: Vec<u64>,
    },
    /// The queues whose new jobs run on trial have changed.
    QueuesOnTrial {
        /// The queues from now on.
        queues: Vec<Rc<str>>,
    },
}

/// How the loss of a worker was judged.
#[derive(Clone, Debug, Display)]
#[display(
    "worker={worker} refused={refused} common_cause={common_cause} runs={runs} nearby={nearby} \
     ordered_before_ms={ordered_before_ms} started_before_ms={started_before_ms:?} \
     suspects={suspects}"
)]
pub struct CrashReport {
    worker: Rc<str>,
    refused: bool,
    common_cause: bool,
    runs: usize,
    nearby: usize,
    /// Time from the order of the first suspected run to the loss.
    ordered_before_ms: u64,
    /// Time from the confirmation of its start to the loss; absent if it was not confirmed.
    started_before_ms: Option<u64>,
    suspects: NamedRuns,
}

impl CrashReport {
    pub(super) fn new(
        worker: &Worker,
        refused: bool,
        common_cause: bool,
        suspects: &[(TaskId, u64)],
        nearby: usize,
        lost_ms: u64,
    ) -> Self {
        let first = suspects.first().and_then(|(task, _)| worker.runs.get(task));
        let started_ms = first.and_then(|run| match run.phase {
            Phase::Present { since_ms } => Some(since_ms),
            Phase::Ordered { .. } | Phase::Ended => None,
        });
        Self {
            worker: Rc::clone(&worker.entry.id),
            refused,
            common_cause,
            runs: worker.runs.len(),
            nearby,
            ordered_before_ms: first.map_or(0, |run| lost_ms.saturating_sub(run.ordered_ms)),
            started_before_ms: started_ms.map(|since_ms| lost_ms.saturating_sub(since_ms)),
            suspects: NamedRuns(suspects.iter().copied().take(MAX_NAMED_RUNS).collect()),
        }
    }
}

/// Runs that were lost with a worker.
#[derive(Clone, Debug, Display)]
#[display(
    "worker={worker} proof={proof} refused={refused} draining={draining} lost={lost} \
     last={last}"
)]
pub struct WorkerLoss {
    worker: Rc<str>,
    proof: EndProof,
    refused: bool,
    draining: bool,
    lost: usize,
    /// The runs ordered last, latest first.
    last: NamedRuns,
}

#[derive(Clone, Debug)]
struct NamedRuns(Vec<(TaskId, u64)>);

impl fmt::Display for NamedRuns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (task, run)) in self.0.iter().enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(f, "{separator}{task}#{run}")?;
        }
        Ok(())
    }
}

impl Coordinator {
    /// Takes what became known about crashed workers since the last call.
    pub fn take_crash_events(&mut self) -> Vec<CrashEvent> {
        std::mem::take(&mut self.crash_events)
    }

    /// Records that a worker's runs are gone, before they are released.
    pub(super) fn record_loss(&mut self, id: &str, proof: EndProof) {
        let Some(worker) = self.workers.get(id).filter(|w| !w.runs.is_empty()) else {
            return;
        };
        let mut last: Vec<_> = worker
            .runs
            .iter()
            .map(|(&task, run)| (run.ordered_ms, task, run.run))
            .collect();
        last.sort_unstable_by(|left, right| right.cmp(left));
        last.truncate(MAX_NAMED_RUNS);
        self.crash_events.push(CrashEvent::Lost(WorkerLoss {
            worker: Rc::clone(&worker.entry.id),
            proof,
            refused: worker
                .lost_contact
                .as_ref()
                .is_some_and(|lost| lost.refused),
            draining: worker.entry.draining,
            lost: worker.runs.len(),
            last: NamedRuns(last.into_iter().map(|(_, task, run)| (task, run)).collect()),
        }));
    }
}
