//! Tasks with an order that may take effect late (see [`crate::late_orders`]).
//!
//! - Such a task is bound to the worker of the order: it may only start there. As long as its run was
//!   not stopped, the order is repeated under the same number, so that whichever copy arrives first
//!   starts the run. Once the process knows that the run has ended, the task may start there under a
//!   higher number.
//! - Orders without a ticket are in the durable roster, so that a successor keeps their tasks bound. Of
//!   those that were on their way when the predecessor ended, the hosts that relayed them tell it.
//! - A later process of the worker keeps room for the order until it has confirmed a stop. A run that it
//!   reports before that is adopted.

use std::rc::Rc;

use super::{
    Coordinator, Order,
    end_proof::{EndProof, ReleasedRun},
    job::{ActiveRun, Failure, Job, demand_of},
};
use crate::{
    ids::{JobId, TaskId},
    late_orders::{MAX_DELIVERY_DELAY_MS, UnconfirmedOrder},
    workers::{Demand, Phase, Resources, Run, StopReason},
};

impl Coordinator {
    /// Records that a copy of an order to start got no response. It may take effect later, whatever is
    /// answered to another copy of it.
    pub fn start_unanswered(&mut self, id: &str, task: TaskId, run: u64, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get_mut(&task.step.job);
        let ordered = worker.runs.get(&task).filter(|known| known.run == run);
        let demand = || job.as_ref()?.step_spec(task.step.step).map(demand_of);
        let resources = ordered
            .map(|run| run.resources)
            .or_else(|| demand().map(|demand| demand.resources));
        let expires_ms = ordered.map_or(now_ms + MAX_DELIVERY_DELAY_MS, |run| {
            run.order_expiry_ms(now_ms)
        });
        let queue = job
            .as_ref()
            .and_then(|job| self.config.queues.get(&job.queue));
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let has_ticket = ordered.map_or(needs_ticket, |run| run.ticket_void_ms.is_some());
        // The only process that accepts the ticket has rejected the run, or ended it.
        let is_settled = has_ticket && ordered.is_none();
        if is_settled || expires_ms <= now_ms {
            return;
        }
        worker.add_unconfirmed_order(UnconfirmedOrder {
            task,
            run,
            resources: resources.unwrap_or(Resources::UNKNOWN),
            since_ms: now_ms,
            latest_ms: now_ms,
            expires_ms,
            has_ticket,
        });
        if let Some(task) = job.and_then(|job| job.task_mut(task)) {
            task.bound_to = Some(Rc::clone(&worker.entry.id));
        }
    }

    /// Records an order of a predecessor without a response that takes no effect from `expires_ms` on.
    /// Ignored if the worker is unknown: it has had no order then.
    pub fn inherit_late_order(&mut self, id: &str, task: TaskId, run: u64, expires_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.add_unconfirmed_order(UnconfirmedOrder::inherited(task, run, expires_ms));
        let order = ActiveRun {
            worker: Rc::clone(&worker.entry.id),
            run,
        };
        if self.contains_job(task.step.job) {
            self.bind_task(task, order);
        } else {
            let of_job = self.inherited_orders.entry(task.step.job).or_default();
            of_job.push((task, order));
        }
    }

    /// Waits for the answers of this many hosts about orders of the predecessor. Until then, inherited
    /// tasks without a ticket do not start.
    pub fn await_late_orders(&mut self, hosts: usize) {
        self.awaited_hosts = hosts;
    }

    /// Records that a host has answered, or does not answer.
    pub fn late_orders_answered(&mut self) {
        self.awaited_hosts = self.awaited_hosts.saturating_sub(1);
    }

    /// Whether the tasks of a job may have late orders of which the predecessor's hosts have not told yet.
    pub(super) fn awaits_late_orders(&self, job: &Job) -> bool {
        let queue = self.config.queues.get(&job.queue);
        let has_tickets = queue.is_some_and(|queue| queue.advice.is_some());
        self.awaited_hosts > 0 && job.inherited && !has_tickets
    }

    /// Keeps the tasks of a job bound to the workers to which the predecessor sent an order without a
    /// response.
    pub(super) fn restore_bound_tasks(&mut self, id: JobId) {
        let orders = self.inherited_orders.swap_remove(&id).unwrap_or_default();
        for (task, order) in orders {
            self.bind_task(task, order);
        }
    }

    fn bind_task(&mut self, id: TaskId, order: ActiveRun) -> Option<()> {
        let job = self.jobs.get_mut(&id.step.job)?;
        job.begin_through(id.step.occurrence);
        let demand = demand_of(job.step_spec(id.step.step)?);
        let worker = self.workers.get_mut(&order.worker)?;
        worker.set_order_resources(id, demand.resources);
        let task = job.task_mut(id)?;
        task.last_run = task.last_run.max(order.run);
        task.bound_to = Some(order.worker);
        Some(())
    }

    /// Orders that may reach a later process of the worker. Each keeps its resources reserved there
    /// until a stop is confirmed, since that process does not know of earlier stops.
    pub(super) fn reserve_unconfirmed_orders(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        for order in worker.unconfirmed_orders.clone() {
            if order.expires_ms <= now_ms || worker.runs.contains_key(&order.task) {
                continue;
            }
            let phase = Phase::Ordered {
                until_worker_ms: u64::MAX,
                in_flight: false,
            };
            let demand = Demand {
                resources: order.resources,
                ..Demand::default()
            };
            worker.add_run(
                order.task,
                Run {
                    stopping: Some(StopReason::WorkerRestarted),
                    ..Run::new(order.run, &demand, phase, now_ms)
                },
            );
        }
    }

    /// Repeats orders whose deadline the worker's process has passed without executing them, if it has
    /// answered another order since: one that answers its polls alone would keep their tasks for longer.
    /// If it never answers a task's orders, it is given up once the first copy cannot arrive any more.
    pub(super) fn repeat_orders(&mut self, now_ms: u64, orders: &mut Vec<Order>) {
        for (id, worker) in &mut self.workers {
            if worker.unconfirmed_orders.is_empty() || !worker.is_usable(now_ms) {
                continue;
            }
            let Some(clock) = worker.clock else {
                continue;
            };
            for order in worker.unconfirmed_orders.clone() {
                let task = order.task;
                let is_given_up = now_ms >= order.since_ms + MAX_DELIVERY_DELAY_MS;
                if is_given_up
                    || worker.order_answered_ms <= order.latest_ms
                    || !worker.has_overdue_order(task, now_ms)
                {
                    continue;
                }
                let Some(job) = self.jobs.get(&task.step.job) else {
                    continue;
                };
                let queue = self.config.queues.get(&job.queue);
                let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
                let (Some(spec), Some(step)) = (&job.spec, job.step(task.step)) else {
                    continue;
                };
                let ticket = step.advice.eligible.get(id);
                let Some(state) = step.tasks.get(task.index as usize) else {
                    continue;
                };
                if needs_ticket && !step.advice.has_ticket(id, now_ms) {
                    continue;
                }
                let until_worker_ms = clock.estimate_ms(now_ms) + self.tuning.start_timeout_ms;
                let ticket_void_ms = ticket.map(|ticket| ticket.void_ms);
                let Some(run) = worker.repeat_order(task, until_worker_ms, ticket_void_ms) else {
                    continue;
                };
                orders.push(Order::Start {
                    worker: Rc::clone(id),
                    task,
                    run: run.run,
                    spec: Rc::clone(spec),
                    payload_host: Rc::clone(&job.payload_host),
                    until_worker_ms,
                    checkpoint: state.checkpoint.clone(),
                    ticket: ticket.map(|ticket| Rc::clone(&ticket.text)),
                    on_trial: run.trial.is_some(),
                });
            }
        }
    }

    /// Lets tasks start anywhere again whose orders can no longer take effect.
    pub(super) fn expire_orders(&mut self, now_ms: u64) {
        let mut undeliverable = Vec::new();
        for (id, worker) in &mut self.workers {
            let expired = worker.take_expired_orders(now_ms);
            for order in expired {
                let job = self.jobs.get_mut(&order.task.step.job);
                let Some(task) = job.and_then(|job| job.task_mut(order.task)) else {
                    continue;
                };
                task.bound_to.take_if(|bound_to| bound_to == id);
                let run = worker.runs.get(&order.task);
                if task.done || run.is_some_and(|run| run.phase.is_present()) {
                    continue;
                }
                // Another worker comes first until this one has completed a later run.
                task.last_failure = Some(Failure {
                    worker: Rc::clone(id),
                    at_ms: order.latest_ms,
                });
                if run.is_none() && task.active.is_none() {
                    let released = ReleasedRun::of_order(worker, &order, now_ms);
                    self.released_runs.push(released);
                }
            }
            if worker.fenced || worker.started_unix_ms == 0 {
                continue;
            }
            let is_undeliverable = |(task, run): &(&TaskId, &Run)| {
                run.is_order_unanswered() && worker.pending_order(**task, now_ms).is_none()
            };
            let runs = worker.runs.iter().filter(is_undeliverable);
            undeliverable.extend(runs.map(|(&task, _)| (Rc::clone(id), task)));
        }
        for (id, task) in undeliverable {
            self.release(&id, task, EndProof::OrderUndeliverable, now_ms);
        }
    }
}

impl Job {
    /// Makes a run the active one of its task, if the task needs one and has no other. The members of a
    /// gang start together, so a late one is of no use.
    pub(super) fn adopt_late_run(&mut self, worker: &Rc<str>, id: TaskId, run: u64) -> bool {
        if self.step_spec(id.step.step).is_none_or(|spec| spec.gang) {
            return false;
        }
        let Some(task) = self.task_mut(id).filter(|task| !task.done) else {
            return false;
        };
        let is_other = |active: &ActiveRun| active.worker != *worker || active.run != run;
        if task.active.as_ref().is_some_and(is_other) {
            return false;
        }
        task.last_run = task.last_run.max(run);
        task.active = Some(ActiveRun {
            worker: Rc::clone(worker),
            run,
        });
        true
    }
}
