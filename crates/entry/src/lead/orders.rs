//! Starts, stops and questions to the advice service.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use adapter::workers::{self, StartOrder};
use cell::{
    coordinator::{AdviceOutcome, Order, Question, StartAnswer},
    ids::TaskId,
};
use kernel::log_event;
use tokio::time;

use super::Lead;
use crate::{
    clock, daemon, events,
    peers::{AdviseCall, Advised, Body},
};

/// An order to start is given up after this time; what became of it is then in doubt.
const START_TIMEOUT: Duration = Duration::from_millis(800);
/// A stop is given up after this time, and sent again.
const STOP_TIMEOUT: Duration = Duration::from_millis(800);
/// An order about the share of a filling run is given up after this time, and sent again.
const PACE_TIMEOUT: Duration = Duration::from_millis(400);
/// Scheduling passes that follow one another are at least this far apart.
const PASS_PACE: Duration = Duration::from_millis(8);
/// The longest time between two passes.
const PASS_AT_LEAST: Duration = Duration::from_millis(60);
/// How much longer than expected an answer of the advice service may take.
const ADVICE_SLACK_MS: u64 = 500;
/// Part of all hosts that stay free for light questions, as a divisor.
const LIGHT_PART: usize = 3;

/// Schedules until the term ends.
pub(super) async fn run(lead: Rc<Lead>) {
    let mut settled = false;
    loop {
        let _tick = time::timeout(PASS_AT_LEAST, lead.schedule.notified()).await;
        if lead.has_authority() {
            let now_ms = clock::now_ms();
            let orders = lead.cell.borrow_mut().schedule(now_ms, clock::unix_ms());
            for order in orders {
                lead.carry_out(order);
            }
            lead.ask_questions(now_ms);
            if lead.cell.borrow().has_changes() {
                lead.commit.notify_one();
            }
            if !settled && lead.cell.borrow().inheritance_settled(now_ms) {
                settled = true;
                let after_ms = now_ms - lead.term.taken_ms;
                log_event!(
                    events::LEAD_SETTLED,
                    "fence={} after_ms={after_ms}",
                    lead.term.fence
                );
            }
        }
        time::sleep(PASS_PACE).await;
    }
}

impl Lead {
    pub(super) fn address_of(&self, worker: &str) -> Option<SocketAddr> {
        self.cell
            .borrow()
            .workers()
            .get(worker)?
            .entry
            .address
            .parse()
            .ok()
    }

    fn carry_out(self: &Rc<Self>, order: Order) {
        let lead = Rc::clone(self);
        match order {
            Order::Start {
                worker,
                task,
                run,
                payload,
                until_worker_ms,
                checkpoint,
                ticket,
            } => {
                log_event!(
                    events::RUN_ORDERED,
                    "task={task} run={run} worker={worker} until={until_worker_ms} resume={}",
                    !checkpoint.is_empty()
                );
                self.spawn(async move {
                    let body = workers::start_body(&StartOrder {
                        task,
                        run,
                        payload: &payload.payload,
                        until_worker_ms,
                        fence: lead.term.fence,
                        checkpoint: &checkpoint,
                        ticket: ticket.as_deref(),
                    });
                    let answer = lead.start(&worker, body).await;
                    lead.started(&worker, task, run, answer);
                });
            }
            Order::Stop {
                worker,
                task,
                run,
                reason,
            } => {
                log_event!(
                    events::RUN_STOPPED,
                    "task={task} run={run} worker={worker} why={reason}"
                );
                self.spawn(async move { lead.stop(&worker, task, run).await });
            }
            Order::Pace {
                worker,
                task,
                run,
                percent,
            } => {
                log_event!(
                    events::RUN_PACED,
                    "task={task} run={run} worker={worker} percent={percent}"
                );
                self.spawn(async move { lead.pace(&worker, (task, run), percent).await });
            }
        }
    }

    async fn start(&self, worker: &str, body: Vec<u8>) -> StartAnswer {
        let Some(address) = self.address_of(worker) else {
            return StartAnswer::Unhealthy;
        };
        if !self.has_authority() {
            return StartAnswer::Unhealthy; // Not sent: nothing was done.
        }
        self.around.metrics.count("starts");
        let headers = workers::life_header(worker);
        let call = workers::start_call(&headers, body, START_TIMEOUT);
        match self.around.pool.call(address, &call).await {
            Ok(answer) => workers::start_answer(&answer),
            Err(adapter::http::CallError::NotSent) => StartAnswer::Unhealthy,
            Err(adapter::http::CallError::Unanswered) => StartAnswer::Unknown,
        }
    }

    fn started(&self, worker: &str, task: TaskId, run: u64, answer: StartAnswer) {
        if answer != StartAnswer::Started {
            log_event!(
                events::RUN_REFUSED,
                "task={task} run={run} worker={worker} why={answer:?}"
            );
            self.around.metrics.count("starts_refused");
        }
        if answer == StartAnswer::Fenced {
            self.lose("fenced_by_worker");
        }
        self.cell
            .borrow_mut()
            .start_answered(worker, task, run, answer, clock::now_ms());
        self.schedule.notify_one();
    }

    async fn stop(&self, worker: &str, task: TaskId, run: u64) {
        let Some(address) = self.address_of(worker) else {
            return;
        };
        let headers = workers::life_header(worker);
        let call = workers::stop_call(&headers, task, run, self.term.fence, STOP_TIMEOUT);
        match self.around.pool.call(address, &call).await {
            Ok(answer) if answer.status == 200 => {
                self.cell
                    .borrow_mut()
                    .stop_confirmed(worker, task, run, clock::now_ms());
            }
            Ok(answer) if answer.status == 421 => {
                self.cell
                    .borrow_mut()
                    .stop_confirmed(worker, task, run, clock::now_ms());
            }
            // Sent again while the run is still there.
            Ok(_) | Err(_) => {}
        }
    }

    async fn pace(&self, worker: &str, (task, run): (TaskId, u64), percent: u32) {
        let Some(address) = self.address_of(worker) else {
            return;
        };
        let headers = workers::life_header(worker);
        let fence = self.term.fence;
        let call = workers::pace_call(&headers, (task, run), percent, fence, PACE_TIMEOUT);
        // Without a confirmation the order is sent again while the run is there.
        if let Ok(answer) = self.around.pool.call(address, &call).await
            && answer.status == 200
        {
            self.cell.borrow_mut().paced(worker, task, run, percent);
        }
    }

    /// Hands the most urgent questions to hosts that are free to ask.
    fn ask_questions(self: &Rc<Self>, now_ms: u64) {
        let settings = self.around.settings.current();
        let Some(own_address) = settings.advice_address else {
            return;
        };
        let own_name = &settings.host_name;
        let mut hosts = self.around.members.hosts();
        if let Some(own) = hosts.shift_remove(own_name) {
            hosts.shift_insert(0, own_name.clone(), own);
        }
        let total = hosts.len();
        for (name, host) in hosts {
            if self.asking.borrow().contains(&name) {
                continue;
            }
            let free = total - self.asking.borrow().len();
            let light_only = free <= total / LIGHT_PART;
            let Some(question) = self.cell.borrow_mut().next_question(now_ms, light_only) else {
                return;
            };
            self.asking.borrow_mut().insert(name.clone());
            let lead = Rc::clone(self);
            let own = name == *own_name;
            self.spawn(async move {
                let call = AdviseCall {
                    job: question.step.job.0,
                    occurrence: question.step.occurrence,
                    step: question.step.step,
                    workers: question.workers.iter().map(ToString::to_string).collect(),
                    timeout_ms: question.expected_ms + ADVICE_SLACK_MS,
                };
                let advised = if own {
                    daemon::ask_advice(&lead.around.pool, own_address, &call).await
                } else {
                    let timeout = Duration::from_millis(call.timeout_ms + 150);
                    let body = Body::Advise(call);
                    match lead.around.peers.call(host.address, body, timeout).await {
                        Ok(Body::Advised(advised)) => advised,
                        _ => Advised::default(),
                    }
                };
                lead.asking.borrow_mut().swap_remove(&name);
                lead.advised(&question, &advised, &name);
            });
        }
    }

    fn advised(&self, question: &Question, advised: &Advised, host: &str) {
        log_event!(
            events::ADVICE_ANSWERED,
            "step={} host={host} named={} good={} answered={}",
            question.step,
            question.workers.len(),
            advised.workers.len(),
            advised.answered
        );
        let outcome = if advised.answered {
            let rows = advised.workers.iter().zip(&advised.tickets);
            AdviceOutcome::Good {
                rows: rows
                    .filter_map(|(&position, ticket)| {
                        let worker = question.workers.get(position as usize)?;
                        Some((Rc::clone(worker), ticket.as_str().into()))
                    })
                    .collect(),
                valid_ms: advised.valid_ms,
            }
        } else {
            AdviceOutcome::Failed
        };
        self.cell
            .borrow_mut()
            .advice_answered(question, &outcome, clock::now_ms());
        self.schedule.notify_one();
    }
}
