//! Applies workers' responses to holds, starts and stops.

use std::rc::Rc;

use super::{Coordinator, Order, end_proof::EndProof, job::demand_of};
use crate::{
    departure::Withdrawal,
    ids::TaskId,
    progress::Progress,
    workers::{
        ClockReading, Demand, HoldReport, Phase, ReportedRun, Resources, Run, StopReason, Worker,
    },
};

/// Back-off of a worker that refused a start or did not respond to it, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 400;

/// Back-off of a job whose payload was unavailable, in milliseconds: the host that holds it, or the
/// store, may have recovered by then.
const MISSING_PAYLOAD_BACKOFF_MS: u64 = 300;

/// Maximum time for which a predecessor's calls extend a hold, in milliseconds.
const MAX_INHERITED_HOLD_MS: u64 = 6_000;

/// Terms of a hold: the periodic call that extends the time for which a worker may continue its
/// runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldTerms {
    /// Time until which the runs may continue, in milliseconds of the worker's clock; absent while
    /// the clock is unknown.
    pub until_worker_ms: Option<u64>,
    /// Highest sequence number of a durable end, which the worker may discard.
    pub acknowledged_end: u64,
    /// Whether the worker should respond promptly, because a run makes no progress or best-effort
    /// tasks run next to latency-sensitive ones.
    pub prompt_response: bool,
}

/// Why a hold returned no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldFailure {
    /// The worker's address refuses connections. Its process has probably ended; a cut link may
    /// refuse connections as well, while the worker runs on.
    Refused,
    /// The worker does not answer, or is unhealthy.
    Silent,
}

/// A worker's response to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResponse {
    /// The run has started.
    Started,
    /// The worker has accepted a higher fencing token.
    Fenced,
    /// A run of the task with this or a higher number has stopped or ended on the worker.
    OldRun,
    /// The order arrived after its deadline.
    TooLate,
    /// The worker has too few free resources.
    NoRoom,
    /// The ticket is missing, expired, or of another step.
    BadTicket,
    /// The worker is unhealthy and did not execute the order.
    Unhealthy,
    /// The job's payload was unavailable; the order was not sent.
    NoText,
    /// The worker has restarted since it was listed.
    OtherLife,
    /// The worker rejected the order as malformed.
    Malformed,
    /// No response: the order may have taken effect, or may do so later.
    Unknown,
}

impl StartResponse {
    /// Whether the worker itself has answered.
    fn is_of_worker(self) -> bool {
        !matches!(
            self,
            Self::Unhealthy | Self::NoText | Self::OtherLife | Self::Unknown
        )
    }
}

impl Coordinator {
    /// Returns the terms of the next hold of a worker. `same_connection` tells whether the last
    /// response arrived on the connection that will be used; on another connection a restarted
    /// process may respond, whose ends must not be acknowledged.
    pub fn begin_hold(
        &mut self,
        id: &str,
        same_connection: bool,
        now_ms: u64,
    ) -> Option<HoldTerms> {
        let hold_ms = self.tuning.hold_ms;
        let prompt_response = self.is_suspect(id, now_ms);
        let worker = self.workers.get_mut(id)?;
        worker.polled_address = Some(Rc::clone(&worker.entry.address));
        // An unresponsive worker may still receive holds; they must not extend its runs, or these
        // could never be rescheduled.
        let clock = worker.clock.filter(|_| !worker.unresponsive);
        let until_worker_ms = clock.map(|clock| clock.estimate_ms(now_ms) + hold_ms);
        if let Some(until) = until_worker_ms {
            worker.held_until_worker_ms = worker.held_until_worker_ms.max(until);
        }
        let acknowledged_end = if same_connection {
            worker.durable_end
        } else {
            0
        };
        Some(HoldTerms {
            until_worker_ms,
            acknowledged_end,
            prompt_response,
        })
    }

    /// Applies a worker's response to the hold that was sent at `sent_ms`. Returns whether it was
    /// accepted: a response of an earlier process says nothing about the runs of the current one, and
    /// counts as none.
    pub fn hold_answered(
        &mut self,
        id: &str,
        sent_ms: u64,
        now_ms: u64,
        unix_ms: u64,
        report: &HoldReport,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        let former_started_unix_ms = worker.started_unix_ms;
        let restarted =
            former_started_unix_ms != 0 && former_started_unix_ms != report.started_unix_ms;
        let proof = if restarted {
            // Wall clocks may be set back, so the order counts only while the known process may have
            // runs.
            if report.started_unix_ms < former_started_unix_ms
                && worker.clock.is_some()
                && !worker.has_certainly_expired(now_ms)
            {
                self.hold_failed(id, HoldFailure::Silent, now_ms);
                return false;
            }
            let proof = EndProof::ProcessReplaced {
                started_unix_ms: report.started_unix_ms,
                former_started_unix_ms,
                requested_ms_ago: now_ms.saturating_sub(sent_ms),
            };
            self.account_for_loss(id, proof);
            self.forget_process(id, now_ms);
            self.forget_pace(id);
            proof
        } else {
            self.withdraw_blame(id);
            EndProof::NotInReport {
                requested_ms_ago: now_ms.saturating_sub(sent_ms),
            }
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        if !worker.fenced {
            let granted_ms = report.clock_ms
                + if restarted {
                    // Calls to the former process name times on its clock. Workers shorten them.
                    self.tuning.max_hold_ms
                } else {
                    MAX_INHERITED_HOLD_MS
                };
            worker.held_until_worker_ms = worker.held_until_worker_ms.max(granted_ms);
        }
        worker.started_unix_ms = report.started_unix_ms;
        worker.fenced = true;
        worker.unresponsive = false;
        worker.known_address = worker.polled_address.clone();
        if !worker.entry.draining {
            worker.reopen();
        }
        // It has answered since, so the removal of its entry was not its exit.
        worker.withdrawal = worker.withdrawal.filter(|seen| sent_ms < seen.seen_ms);
        worker.clock = Some(ClockReading {
            worker_ms: report.clock_ms,
            received_ms: now_ms,
        });
        if !report.ends_truncated {
            self.unreported_workers.swap_remove(id);
        }
        self.unheard_workers.swap_remove(id);
        for end in &report.ended {
            self.apply_end(id, end, now_ms, unix_ms);
        }
        if restarted {
            // The new process may have executed an earlier order of a task than the former one.
            self.settle_missing_runs(id, sent_ms, now_ms, report, proof);
            self.reserve_unconfirmed_orders(id, now_ms);
        }
        for reported in &report.running {
            self.apply_reported_run(id, reported, now_ms);
        }
        if !restarted {
            self.settle_missing_runs(id, sent_ms, now_ms, report, proof);
        }
        self.review_runs(id, now_ms, unix_ms);
        true
    }

    /// Records that a hold returned no report.
    pub fn hold_failed(&mut self, id: &str, failure: HoldFailure, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.unresponsive = true;
        worker.lose_contact(failure == HoldFailure::Refused, now_ms);
        self.end_departed_worker(id, now_ms);
    }

    /// Records that another worker answers at the address to which the last hold was sent. Returns
    /// whether that proves the end of the worker's process, which has to have answered there.
    pub fn address_taken(&mut self, id: &str, now_ms: u64) -> bool {
        let is_known = |worker: &Worker| {
            worker.known_address == worker.polled_address
                && worker.polled_address.as_ref() == Some(&worker.entry.address)
        };
        if !self.workers.get(id).is_some_and(is_known) {
            return false;
        }
        self.end_process(id, EndProof::AddressTaken, now_ms);
        true
    }

    /// Ends a worker that has left.
    pub(super) fn end_departed_worker(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        // Nothing more is known of a process that has been ended before.
        let is_known = worker.fenced
            || self.unheard_workers.contains(id)
            || self.unreported_workers.contains(id);
        if let Some(Withdrawal { entry_age_ms, .. }) = worker.departure().filter(|_| is_known) {
            self.end_process(id, EndProof::Departed { entry_age_ms }, now_ms);
        }
    }

    /// Ends a worker's process. Orders on their way are kept unless they cannot arrive any more.
    fn end_process(&mut self, id: &str, proof: EndProof, now_ms: u64) {
        self.account_for_loss(id, proof);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_released = |run: &Run| !matches!(run.phase, Phase::Ordered { .. });
        let released: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| is_released(run))
            .map(|(&task, _)| task)
            .collect();
        for task in released {
            self.release(id, task, proof, now_ms);
        }
        self.unreported_workers.swap_remove(id);
        self.unheard_workers.swap_remove(id);
        self.forget_process(id, now_ms);
    }

    /// Judges and logs the loss of a worker's process, while its runs are still known.
    pub(super) fn account_for_loss(&mut self, id: &str, proof: EndProof) {
        self.judge_lost_worker(id, self.pass_unix_ms);
        self.record_loss(id, proof);
    }

    /// Forgets what is known of a worker's process, because it has ended or a later one answers. Its
    /// runs are left to the caller; orders on their way may still reach a later process.
    fn forget_process(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.lost_contact = None;
        worker.clock = None;
        // The hold that detected the end may have granted time on the clock of the former process.
        worker.fenced = false;
        worker.processed_end = 0;
        worker.pending_end = 0;
        worker.durable_end = 0;
        worker.held_until_worker_ms = 0;
        for run in worker.runs.values_mut() {
            if matches!(run.phase, Phase::Ordered { .. }) {
                run.stopping = Some(StopReason::WorkerRestarted);
            }
        }
        self.reserve_unconfirmed_orders(id, now_ms);
    }

    /// Applies a worker's response to an order to start, or the lack of one.
    pub fn start_answered(
        &mut self,
        id: &str,
        task: TaskId,
        run: u64,
        answer: StartResponse,
        now_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if answer.is_of_worker() {
            worker.order_answered_ms = now_ms;
        }
        let Some(known) = worker.runs.get_mut(&task).filter(|known| known.run == run) else {
            return;
        };
        match answer {
            StartResponse::Started => {
                if matches!(known.phase, Phase::Ordered { .. }) {
                    known.phase = Phase::Present { since_ms: now_ms };
                    known.progress = Progress::unreported(now_ms);
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.record_start(task);
                }
                return;
            }
            StartResponse::Unknown => {
                if let Phase::Ordered { in_flight, .. } = &mut known.phase {
                    *in_flight = false;
                }
                worker.health.refusal_until_ms = now_ms + REFUSAL_BACKOFF_MS;
                self.start_unanswered(id, task, run, now_ms);
                self.stop_gang_of(task, run);
                return;
            }
            StartResponse::OldRun
            | StartResponse::BadTicket
            | StartResponse::TooLate
            | StartResponse::Malformed => {}
            StartResponse::NoText => {
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.start_not_before_ms = now_ms + MISSING_PAYLOAD_BACKOFF_MS;
                }
            }
            StartResponse::Fenced
            | StartResponse::NoRoom
            | StartResponse::Unhealthy
            | StartResponse::OtherLife => {
                worker.health.refusal_until_ms = now_ms + REFUSAL_BACKOFF_MS;
            }
        }
        if answer == StartResponse::BadTicket
            && let Some(job) = self.jobs.get_mut(&task.step.job)
            && let Some(step) = job.step_mut(task.step)
            && let Some(ticket) = step.advice.eligible.get_mut(id)
        {
            ticket.expires_ms = 0;
        }
        self.release(id, task, EndProof::OrderRefused { answer }, now_ms);
        self.stop_gang_of(task, run);
    }

    /// Records that a worker confirmed a stop.
    pub fn stop_confirmed(&mut self, id: &str, task: TaskId, run: u64, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.order_answered_ms = now_ms;
        let known = worker.runs.get_mut(&task);
        // Only the first confirmation counts: a later one must not renew `since_ms`, or the absence
        // of the run from reports would never release it.
        if let Some(known) = known.filter(|known| known.run == run && !known.stop_confirmed) {
            known.stop_confirmed = true;
            if known.phase != Phase::Ended {
                // From now on the run is ending or will never start.
                known.phase = Phase::Present { since_ms: now_ms };
            }
        }
    }

    fn apply_reported_run(&mut self, id: &str, reported: &ReportedRun, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker
            .runs
            .get(&reported.task)
            .is_some_and(|known| known.run < reported.run)
        {
            // The known run is an older order, which can no longer start next to this run.
            let by_run = reported.run;
            self.release(id, reported.task, EndProof::Superseded { by_run }, now_ms);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get_mut(&reported.task.step.job);
        if let Some(run) = worker.runs.get_mut(&reported.task) {
            if run.run != reported.run {
                // A later run has been ordered since: the report is older than the earlier one's end.
                return;
            }
            if matches!(run.phase, Phase::Ordered { .. }) {
                run.phase = Phase::Present { since_ms: now_ms };
                run.progress = Progress::first_report(reported.percent, now_ms);
            }
            run.progress.update(reported.percent, now_ms);
            run.measured_value = reported.measured_value;
            let Some(job) = job else {
                run.stopping = Some(StopReason::NotNeeded);
                return;
            };
            job.record_start(reported.task);
            // A late order that the current process has executed before it was told to stop it.
            if run.stopping == Some(StopReason::WorkerRestarted)
                && run.stop_sent_ms.is_none()
                && job.adopt_late_run(&worker.entry.id, reported.task, reported.run)
            {
                run.stopping = None;
            }
            if let Some(task) = job.task_mut(reported.task)
                && !reported.checkpoint.is_empty()
                && task.checkpoint != reported.checkpoint
            {
                job.store_checkpoint(reported.task, &reported.checkpoint);
            }
            return;
        }
        self.release_superseded_run(reported, now_ms);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get_mut(&reported.task.step.job);
        // A run that was ordered by the predecessor.
        let unknown_demand = Demand {
            resources: Resources::UNKNOWN,
            ..Demand::default()
        };
        let demand = job
            .as_ref()
            .and_then(|job| job.step_spec(reported.task.step.step))
            .map_or(unknown_demand, demand_of);
        let task = job.and_then(|job| {
            job.begin_through(reported.task.step.occurrence);
            job.record_start(reported.task);
            job.task_mut(reported.task)
        });
        let needed = task.is_some_and(|task| {
            task.last_run = task.last_run.max(reported.run);
            if task.done || task.active.is_some() {
                return false;
            }
            if !reported.checkpoint.is_empty() {
                task.checkpoint.clone_from(&reported.checkpoint);
            }
            task.active = Some(super::job::ActiveRun {
                worker: Rc::from(id),
                run: reported.run,
            });
            true
        });
        worker.add_run(
            reported.task,
            Run {
                stopping: (!needed).then_some(StopReason::NotNeeded),
                survived: true,
                progress: Progress::first_report(reported.percent, now_ms),
                measured_value: reported.measured_value,
                ..Run::new(
                    reported.run,
                    &demand,
                    Phase::Present { since_ms: now_ms },
                    now_ms,
                )
            },
        );
    }

    /// Settles runs that the report should contain but does not. They no longer exist; only if the
    /// report lists all ends is it known that they left none, so that their tasks may start again.
    fn settle_missing_runs(
        &mut self,
        id: &str,
        sent_ms: u64,
        now_ms: u64,
        report: &HoldReport,
        proof: EndProof,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_new_process = matches!(proof, EndProof::ProcessReplaced { .. });
        let absent: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                // A process that has executed an earlier order of the task keeps it occupied.
                let is_of_former = is_new_process && run.phase.is_present();
                let reported = |reported: &ReportedRun| {
                    let is_earlier = reported.run < run.run && !is_of_former;
                    reported.task == **task && (reported.run == run.run || is_earlier)
                };
                !report.running.iter().any(reported)
            })
            .filter(|(_, run)| match run.phase {
                // Within the same millisecond the report may have been requested first.
                Phase::Present { since_ms } => sent_ms > since_ms,
                Phase::Ordered {
                    until_worker_ms,
                    in_flight,
                } => !in_flight && report.clock_ms >= until_worker_ms,
                Phase::Ended => true,
            })
            .map(|(&task, _)| task)
            .collect();
        if report.ends_truncated {
            for task in absent {
                worker.vacate_run(task);
            }
            return;
        }
        for task in absent {
            let worker = self.workers.get(id);
            if !worker.is_some_and(|worker| worker.has_overdue_order(task, now_ms)) {
                self.release(id, task, proof, now_ms);
            }
        }
    }

    /// Collects the stops that are due.
    pub(super) fn due_stop_orders(&mut self, now_ms: u64, orders: &mut Vec<Order>) {
        /// Time after which an unconfirmed stop is sent again, in milliseconds.
        const STOP_RETRY_MS: u64 = 400;
        /// Time after which a confirmed stop is sent again if the run is still active, in
        /// milliseconds.
        const CONFIRMED_STOP_RETRY_MS: u64 = 2_500;
        /// Maximum number of stops of a worker that were sent lately and are not confirmed; the others
        /// are sent later.
        const MAX_UNCONFIRMED_STOPS: usize = 32;
        let is_unconfirmed = |run: &&Run| {
            let sent_ms = run.stop_sent_ms.filter(|_| !run.stop_confirmed);
            sent_ms.is_some_and(|sent_ms| now_ms < sent_ms + STOP_RETRY_MS)
        };
        for (id, worker) in &mut self.workers {
            if !worker.fenced {
                continue;
            }
            let mut unconfirmed = worker.runs.values().filter(is_unconfirmed).count();
            for (&task, run) in &mut worker.runs {
                if unconfirmed >= MAX_UNCONFIRMED_STOPS {
                    break;
                }
                let repeated_ms = if run.stop_confirmed {
                    CONFIRMED_STOP_RETRY_MS
                } else {
                    STOP_RETRY_MS
                };
                let due = run
                    .stop_sent_ms
                    .is_none_or(|sent| now_ms >= sent + repeated_ms);
                if let Some(reason) = run.stopping
                    && run.phase != Phase::Ended
                    && due
                {
                    run.stop_sent_ms = Some(now_ms);
                    unconfirmed += 1;
                    orders.push(Order::Stop {
                        worker: Rc::clone(id),
                        task,
                        run: run.run,
                        reason,
                    });
                }
            }
        }
    }
}
