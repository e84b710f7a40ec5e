//! What workers' answers change.

use std::rc::Rc;

use super::{Coordinator, Order, job::need_of};
use crate::{
    ids::TaskId,
    progress::Progress,
    workers::{
        ClockReading, DoubtfulOrder, HoldReport, Need, Phase, Room, Run, ShownRun, StopReason,
    },
};

/// Rest of a worker that refused a start, in milliseconds.
const REFUSAL_REST_MS: u64 = 400;

/// Rest of a job whose text could not be had, in milliseconds: the host that has it, or the store, may be
/// back by then.
const NO_TEXT_REST_MS: u64 = 300;

/// A call without an answer may be carried out this much later, in milliseconds.
const LATEST_ORDER_MS: u64 = 13_000;
/// Workers shorten longer holds to this, in milliseconds.
const LONGEST_HOLD_MS: u64 = 6_000;

/// What a hold tells a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldTerms {
    /// Until when what runs there may go on, on the worker's clock; absent while that is unknown.
    pub until_worker_ms: Option<u64>,
    /// Ends up to this number are durable.
    pub acknowledged_end: u64,
    /// The answer should come soon: some run there makes no progress.
    pub watch_closely: bool,
}

/// A worker's answer to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// It is there.
    Started,
    /// A coordinator with a higher fence gives orders there.
    Fenced,
    /// A run with this number or a higher one stopped or ended there.
    OldRun,
    /// The order's deadline had passed.
    TooLate,
    /// It does not fit.
    NoRoom,
    /// The ticket is missing, of another step or expired.
    BadTicket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The job's text could not be had, and the order was not sent.
    NoText,
    /// Another life of the worker answered.
    OtherLife,
    /// The order was malformed.
    Malformed,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

impl Coordinator {
    /// The terms of the next hold of a worker. `same_connection` says that the last answer came
    /// over the connection that will carry it; over another one a new life may answer, whose
    /// ends must not be acknowledged.
    pub fn begin_hold(
        &mut self,
        id: &str,
        same_connection: bool,
        now_ms: u64,
    ) -> Option<HoldTerms> {
        let hold_ms = self.tuning.hold_ms;
        let watch_closely = self.is_suspect(id, now_ms);
        let worker = self.workers.get_mut(id)?;
        // A silent worker may still hear us: its runs must be able to lapse.
        let clock = worker.clock.filter(|_| !worker.silent);
        let until_worker_ms = clock.map(|clock| clock.estimate(now_ms) + hold_ms);
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
            watch_closely,
        })
    }

    /// A worker answered a hold that was sent at `sent_ms`.
    pub fn hold_answered(
        &mut self,
        id: &str,
        sent_ms: u64,
        now_ms: u64,
        unix_ms: u64,
        report: &HoldReport,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let reborn = worker.born_unix_ms != 0 && worker.born_unix_ms != report.born_unix_ms;
        if reborn {
            self.worker_ended(id, now_ms);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.fenced {
            // What a predecessor granted is not known, only that it granted no more than this.
            let granted_ms = report.clock_ms + LONGEST_HOLD_MS;
            worker.held_until_worker_ms = worker.held_until_worker_ms.max(granted_ms);
        }
        worker.born_unix_ms = report.born_unix_ms;
        worker.fenced = true;
        worker.silent = false;
        worker.clock = Some(ClockReading {
            worker_ms: report.clock_ms,
            received_ms: now_ms,
        });
        self.unheard.swap_remove(id);
        for end in &report.ended {
            self.apply_end(id, end, now_ms, unix_ms);
        }
        for shown in &report.running {
            self.apply_shown(id, shown, now_ms);
        }
        self.drop_absent(id, sent_ms, report);
        self.review_runs(id, now_ms, unix_ms);
    }

    /// A hold got no answer.
    pub fn hold_failed(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.silent = true;
        if worker.entry.draining && !worker.listed {
            self.worker_ended(id, now_ms);
        }
    }

    /// A worker's life has ended; nothing runs there any more.
    pub fn worker_ended(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.clock = None;
        // The hold that brought the news may have granted time by the former life's clock.
        worker.fenced = false;
        worker.processed_end = 0;
        worker.durable_end = 0;
        worker.held_until_worker_ms = 0;
        let mut lost = Vec::new();
        for (&task, run) in &mut worker.runs {
            match run.phase {
                // An order on its way may still reach a new life under the same name.
                Phase::Ordered { .. } if worker.listed => {
                    run.stopping = Some(StopReason::WorkerRestarted);
                }
                _ => lost.push(task),
            }
        }
        self.unheard.swap_remove(id);
        for task in lost {
            self.release(id, task);
        }
        self.expect_doubtful_orders(id, now_ms);
    }

    /// Orders to a former life may be carried out by a later one, which knows nothing of a stop.
    /// Each keeps its room until a stop of it is confirmed there.
    fn expect_doubtful_orders(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.listed) else {
            return;
        };
        for order in std::mem::take(&mut worker.doubtful) {
            if order.expires_ms <= now_ms {
                continue;
            }
            worker.doubtful.push(order);
            if worker.runs.contains_key(&order.task) {
                continue;
            }
            let phase = Phase::Ordered {
                until_worker_ms: u64::MAX,
                in_flight: false,
            };
            worker.add_run(
                order.task,
                Run {
                    stopping: Some(StopReason::WorkerRestarted),
                    ..Run::new(order.run, order.room, phase, now_ms)
                },
            );
        }
    }

    /// A worker answered an order to start, or did not.
    pub fn start_answered(
        &mut self,
        id: &str,
        task: TaskId,
        run: u64,
        answer: StartAnswer,
        now_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(known) = worker.runs.get_mut(&task).filter(|known| known.run == run) else {
            return;
        };
        match answer {
            StartAnswer::Started => {
                if matches!(known.phase, Phase::Ordered { .. }) {
                    known.phase = Phase::Present { since_ms: now_ms };
                    known.progress = Progress::unseen(now_ms);
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.started = true;
                }
                return;
            }
            StartAnswer::Unknown => {
                if let Phase::Ordered { in_flight, .. } = &mut known.phase {
                    *in_flight = false;
                }
                let room = known.room;
                // A stop of the highest run of a task keeps the lower ones from starting as well.
                worker
                    .doubtful
                    .retain(|order| order.expires_ms > now_ms && order.task != task);
                worker.doubtful.push(DoubtfulOrder {
                    task,
                    run,
                    room,
                    expires_ms: now_ms + LATEST_ORDER_MS,
                });
                worker.health.avoid_until_ms = now_ms + REFUSAL_REST_MS;
                self.stop_gang_of(task, run);
                return;
            }
            StartAnswer::OldRun
            | StartAnswer::BadTicket
            | StartAnswer::TooLate
            | StartAnswer::Malformed => {}
            StartAnswer::NoText => {
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.start_not_before_ms = now_ms + NO_TEXT_REST_MS;
                }
            }
            StartAnswer::Fenced
            | StartAnswer::NoRoom
            | StartAnswer::Unhealthy
            | StartAnswer::OtherLife => worker.health.avoid_until_ms = now_ms + REFUSAL_REST_MS,
        }
        if answer == StartAnswer::BadTicket
            && let Some(job) = self.jobs.get_mut(&task.step.job)
            && let Some(step) = job.step_mut(task.step)
            && let Some(ticket) = step.advice.good.get_mut(id)
        {
            ticket.expires_ms = 0;
        }
        self.release(id, task);
        self.stop_gang_of(task, run);
    }

    /// A worker confirmed a stop.
    pub fn stop_confirmed(&mut self, id: &str, task: TaskId, run: u64, now_ms: u64) {
        let known = self.workers.get_mut(id).and_then(|w| w.runs.get_mut(&task));
        // A further confirmation says nothing new, and must not make the run look fresher.
        if let Some(known) = known.filter(|known| known.run == run && !known.stop_confirmed) {
            known.stop_confirmed = true;
            // From here on it is there and ending, or will never start.
            known.phase = Phase::Present { since_ms: now_ms };
        }
    }

    fn apply_shown(&mut self, id: &str, shown: &ShownRun, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker
            .runs
            .get(&shown.task)
            .is_some_and(|known| known.run < shown.run)
        {
            // What is known is an older order, which can no longer start beside this run.
            self.release(id, shown.task);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get_mut(&shown.task.step.job);
        if let Some(run) = worker.runs.get_mut(&shown.task) {
            if matches!(run.phase, Phase::Ordered { .. }) {
                run.phase = Phase::Present { since_ms: now_ms };
                run.progress = Progress::begin(shown.percent, now_ms);
            }
            run.progress.show(shown.percent, now_ms);
            run.figure = shown.figure;
            let Some(job) = job else {
                run.stopping = Some(StopReason::NotWanted);
                return;
            };
            job.started = true;
            if let Some(task) = job.task_mut(shown.task)
                && !shown.checkpoint.is_empty()
                && task.checkpoint != shown.checkpoint
            {
                job.keep_checkpoint(shown.task, &shown.checkpoint);
            }
            return;
        }
        // A run that this coordinator did not order: the predecessor did.
        let unknown = Need {
            room: Room::UNKNOWN,
            filling_millicores: 0,
        };
        let need = job
            .as_ref()
            .and_then(|job| job.step_spec(shown.task.step.step))
            .map_or(unknown, need_of);
        let task = job.and_then(|job| {
            job.started = true;
            job.begin_through(shown.task.step.occurrence);
            job.task_mut(shown.task)
        });
        let wanted = task.is_some_and(|task| {
            task.last_run = task.last_run.max(shown.run);
            if task.done || task.active.is_some() {
                return false;
            }
            if !shown.checkpoint.is_empty() {
                task.checkpoint.clone_from(&shown.checkpoint);
            }
            task.active = Some(super::job::ActiveRun {
                worker: Rc::from(id),
                run: shown.run,
            });
            true
        });
        worker.add_run(
            shown.task,
            Run {
                stopping: (!wanted).then_some(StopReason::NotWanted),
                progress: Progress::begin(shown.percent, now_ms),
                figure: shown.figure,
                filling_millicores: need.filling_millicores,
                ..Run::new(
                    shown.run,
                    need.room,
                    Phase::Present { since_ms: now_ms },
                    now_ms,
                )
            },
        );
    }

    /// Gives up runs that the worker should show and does not.
    fn drop_absent(&mut self, id: &str, sent_ms: u64, report: &HoldReport) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let absent: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                let shown = |shown: &ShownRun| shown.task == **task && shown.run == run.run;
                !report.running.iter().any(shown)
            })
            .filter(|(_, run)| match run.phase {
                Phase::Present { since_ms } => sent_ms >= since_ms,
                Phase::Ordered {
                    until_worker_ms,
                    in_flight,
                } => !in_flight && report.clock_ms >= until_worker_ms,
            })
            .map(|(&task, _)| task)
            .collect();
        for task in absent {
            self.release(id, task);
        }
    }

    /// A run is certainly not there: frees its room and lets its task wait again.
    pub(super) fn release(&mut self, id: &str, task: TaskId) {
        let Some(run) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.remove_run(task))
        else {
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

    /// Stops that are to be sent now.
    pub(super) fn due_stops(&mut self, now_ms: u64, orders: &mut Vec<Order>) {
        /// A stop without an answer is sent again after this time, in milliseconds.
        const STOP_AGAIN_MS: u64 = 400;
        /// A stop that was confirmed is sent again if the run is still there after this time.
        const STOP_CONFIRMED_AGAIN_MS: u64 = 2_500;
        for (id, worker) in &mut self.workers {
            if !worker.fenced {
                continue;
            }
            for (&task, run) in &mut worker.runs {
                let again_ms = if run.stop_confirmed {
                    STOP_CONFIRMED_AGAIN_MS
                } else {
                    STOP_AGAIN_MS
                };
                let due = run
                    .stop_sent_ms
                    .is_none_or(|sent| now_ms >= sent + again_ms);
                if let Some(reason) = run.stopping
                    && due
                {
                    run.stop_sent_ms = Some(now_ms);
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
