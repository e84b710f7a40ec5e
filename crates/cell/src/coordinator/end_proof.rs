//! What proves that a run has ended or will never start, and the log of released runs.
//!
//! [`EndProof`] is complete: no run without a reported end is released for another reason. What is
//! not in it proves nothing, alone or together: no response, a refused connection, a missing entry, a
//! lapsed entry, an announced shutdown. A worker that is cut off from the hosts and from the store
//! shows all of them, while its runs go on until its hold expires.
//!
//! A proof holds for the process that had the run. Where the task may start next depends besides on
//! orders that a later process may still receive (see [`super::late_orders`]).

use std::rc::Rc;

use derive_more::Display;

use super::{Coordinator, reports::StartResponse};
use crate::{
    ids::TaskId,
    late_orders::UnconfirmedOrder,
    workers::{Phase, Worker},
};

/// Why a run was released although its worker has not reported its end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EndProof {
    /// The order to start it had no effect: it was not sent, or the worker rejected it.
    #[display("order_refused answer={answer:?}")]
    OrderRefused {
        /// The worker's response.
        answer: StartResponse,
    },
    /// A complete report of the worker's process does not contain it.
    #[display("not_in_report requested_ms_ago={requested_ms_ago}")]
    NotInReport {
        /// Time since the report was requested, in milliseconds.
        requested_ms_ago: u64,
    },
    /// A worker reports a later run of the task: the same worker, which rejects earlier ones from then
    /// on, or another one, whose run a predecessor ordered only after this one had ended.
    #[display("superseded by={by_run}")]
    Superseded {
        /// Number of the later run.
        by_run: u64,
    },
    /// A later process of the worker reports itself. The run was on the former one: its start was
    /// confirmed, or its end missed, before the report was requested.
    #[display(
        "process_replaced started={started_unix_ms} former_started={former_started_unix_ms} requested_ms_ago={requested_ms_ago}"
    )]
    ProcessReplaced {
        /// Start of the process that reports itself, in Unix milliseconds.
        started_unix_ms: u64,
        /// Start of the process that had the run, in Unix milliseconds.
        former_started_unix_ms: u64,
        /// Time since its report was requested, in milliseconds.
        requested_ms_ago: u64,
    },
    /// Another worker answers at the address at which the worker has answered. Only one process can
    /// listen at an address, so the worker's has ended.
    #[display("address_taken")]
    AddressTaken,
    /// The worker was draining, has removed its entry itself, as a worker does when it exits, and does
    /// not answer. An entry that lapses stays longer after its last write.
    #[display("departed entry_age_ms={entry_age_ms}")]
    Departed {
        /// Longest time that can have passed between the last write of the entry and its removal, in
        /// milliseconds.
        entry_age_ms: u64,
    },
    /// The process to which the order was sent has ended, and the order cannot reach a later one any
    /// more.
    #[display("order_undeliverable")]
    OrderUndeliverable,
    /// Every hold and order granted to the worker has expired, even on the slowest clock.
    #[display("holds_expired")]
    HoldsExpired,
    /// The same for all holds and orders of the predecessors of this coordinator, which the worker has
    /// not answered.
    #[display("inherited_holds_expired")]
    InheritedHoldsExpired,
}

/// A run that was released, with what was known of its worker.
#[derive(Clone, Debug, Display)]
#[display(
    "task={task} run={run} worker={worker} proof={proof} phase={phase} heard_ms_ago={heard_ms_ago:?} \
     hold_left_ms={hold_left_ms:?} listed={listed} draining={draining} silent={silent} bound_ms={bound_ms:?}"
)]
pub struct ReleasedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Worker that may have had the run.
    pub worker: Rc<str>,
    /// Why the run was released.
    pub proof: EndProof,
    /// State of the order to start the run: `ordered`, `present`, `ended`, or `expired` if it can no
    /// longer take effect.
    pub phase: &'static str,
    /// Time since the worker's last report, in milliseconds; absent without one.
    pub heard_ms_ago: Option<u64>,
    /// Time until all holds have expired on the slowest clock, in milliseconds; absent if unknown.
    pub hold_left_ms: Option<u64>,
    /// Whether the worker was listed.
    pub listed: bool,
    /// Whether the worker was draining.
    pub draining: bool,
    /// Whether the last hold got no response.
    pub silent: bool,
    /// Time for which the task may start on this worker only, in milliseconds; absent if it may start
    /// anywhere.
    pub bound_ms: Option<u64>,
}

impl ReleasedRun {
    fn new(worker: &Worker, task: TaskId, proof: EndProof, now_ms: u64) -> Option<Self> {
        let run = worker.runs.get(&task)?;
        let phase = match run.phase {
            Phase::Ordered { .. } => "ordered",
            Phase::Present { .. } => "present",
            Phase::Ended => "ended",
        };
        Some(Self::of(worker, (task, run.run), phase, proof, now_ms))
    }

    /// An order that can no longer take effect, whose run the worker does not have.
    pub(super) fn of_order(worker: &Worker, order: &UnconfirmedOrder, now_ms: u64) -> Self {
        let run = (order.task, order.run);
        Self::of(worker, run, "expired", EndProof::OrderUndeliverable, now_ms)
    }

    fn of(
        worker: &Worker,
        (task, run): (TaskId, u64),
        phase: &'static str,
        proof: EndProof,
        now_ms: u64,
    ) -> Self {
        let hold_left_ms = worker.clock.map(|clock| {
            let worker_ms = clock.lower_bound_ms(now_ms);
            worker.held_until_worker_ms.saturating_sub(worker_ms)
        });
        let pending = worker.pending_order(task, now_ms);
        Self {
            task,
            run,
            worker: Rc::clone(&worker.entry.id),
            proof,
            phase,
            heard_ms_ago: worker
                .clock
                .map(|clock| now_ms.saturating_sub(clock.received_ms)),
            hold_left_ms,
            listed: worker.listed,
            draining: worker.entry.draining,
            silent: worker.unresponsive,
            bound_ms: pending.map(|order| order.expires_ms - now_ms),
        }
    }
}

impl Coordinator {
    /// Takes the runs that were released since the last call.
    pub fn take_released_runs(&mut self) -> Vec<ReleasedRun> {
        std::mem::take(&mut self.released_runs)
    }

    /// Releases the resources of a run, and lets its task be scheduled again.
    pub(super) fn release(&mut self, id: &str, task: TaskId, proof: EndProof, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let released = ReleasedRun::new(worker, task, proof, now_ms);
        self.released_runs.extend(released);
        let Some(run) = worker.remove_run(task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if let Some(state) = job.task_mut(task)
            && state
                .active
                .as_ref()
                .is_some_and(|a| &*a.worker == id && a.run == run.run)
        {
            state.active = None;
        }
        self.stop_gang_of(task, run.run);
    }
}
