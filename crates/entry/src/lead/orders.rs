//! Starts, stops and questions to the advice service.

use std::{rc::Rc, time::Duration};

use cell::{
    coordinator::{AdviceOutcome, Order, Question, StartAnswer},
    ids::TaskId,
};
use kernel::log_event;
use tokio::time;

use super::Lead;
use crate::{
    carrier, clock, daemon, events,
    peers::{self, AdviseCall, Advised, Body, PeerError, RunCall, StartCall, WorkerRef},
};

/// Hosts over which one order to start is sent at most.
const START_WAYS: usize = 3;
/// An order to start is sent again within this time, in milliseconds: its deadline is near then.
const RESEND_WITHIN_MS: u64 = 600;
/// Scheduling passes that follow one another are at least this far apart.
const PASS_PACE: Duration = Duration::from_millis(8);
/// The longest time between two passes.
const PASS_AT_LEAST: Duration = Duration::from_millis(60);
/// The pause after a pass is at least this many times as long as the pass took.
const PASS_SHARE: u32 = 3;
/// How much longer than expected an answer of the advice service may take.
const ADVICE_SLACK_MS: u64 = 500;
/// Part of all hosts that stay free for light questions, as a divisor.
const LIGHT_PART: usize = 3;

/// Schedules until the term ends.
pub(super) async fn run(lead: Rc<Lead>) {
    let mut settled = false;
    loop {
        let _tick = time::timeout(PASS_AT_LEAST, lead.schedule.notified()).await;
        let pass_began = time::Instant::now();
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
        // On a weak host passes must leave time for lists, orders and the lease.
        let pause = PASS_PACE.max(pass_began.elapsed() * PASS_SHARE);
        time::sleep(pause.min(PASS_AT_LEAST)).await;
    }
}

impl Lead {
    /// A worker, as the host that carries calls to it must know it.
    pub(super) fn worker_ref(&self, worker: &str) -> Option<WorkerRef> {
        let cell = self.cell.borrow();
        let entry = &cell.workers().get(worker)?.entry;
        Some(WorkerRef {
            id: entry.id.to_string(),
            address: entry.address.to_string(),
            fence: self.term.fence,
        })
    }

    fn carry_out(self: &Rc<Self>, order: Order) {
        let lead = Rc::clone(self);
        match order {
            Order::Start {
                worker,
                task,
                run,
                until_worker_ms,
                checkpoint,
                ticket,
                home,
                ..
            } => {
                log_event!(
                    events::RUN_ORDERED,
                    "task={task} run={run} worker={worker} until={until_worker_ms} resume={}",
                    !checkpoint.is_empty()
                );
                self.spawn(async move {
                    let Some(at) = lead.worker_ref(&worker) else {
                        return lead.started(&worker, task, run, StartAnswer::Unhealthy);
                    };
                    let call = StartCall {
                        worker: at,
                        task: task.into(),
                        run,
                        until_worker_ms,
                        checkpoint,
                        ticket: ticket.map(|ticket| ticket.to_string()),
                        home: home.to_string(),
                    };
                    let answer = lead.start(&worker, call).await;
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

    /// Orders a start; through another host if the first one cannot be reached or dies. A worker carries
    /// the same order out once, however often it arrives.
    async fn start(&self, worker: &str, call: StartCall) -> StartAnswer {
        self.around.metrics.count("starts");
        let began_ms = clock::now_ms();
        let mut sent_before = false;
        for detour in 0..START_WAYS {
            if !self.has_authority() || clock::now_ms() > began_ms + RESEND_WITHIN_MS {
                break;
            }
            let body = Body::Start(call.clone());
            match self
                .carry(worker, detour, body, carrier::ORDER_OVERHEAD)
                .await
            {
                Ok(Body::StartIs(number)) => {
                    let answer = peers::decode_start_answer(number);
                    // A refusal of the repetition says nothing of the first order: the run may have
                    // begun, and even ended.
                    return match answer {
                        StartAnswer::Started => answer,
                        _ if sent_before => StartAnswer::Unknown,
                        _ => answer,
                    };
                }
                Err(PeerError::NotSent) => {}
                Ok(_) | Err(PeerError::Unanswered) => sent_before = true,
            }
        }
        if sent_before {
            StartAnswer::Unknown
        } else {
            StartAnswer::Unhealthy // Not sent: nothing was done.
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

    fn run_call(&self, worker: &str, task: TaskId, run: u64, percent: u32) -> Option<RunCall> {
        Some(RunCall {
            worker: self.worker_ref(worker)?,
            task: task.into(),
            run,
            percent,
        })
    }

    async fn stop(&self, worker: &str, task: TaskId, run: u64) {
        let Some(call) = self.run_call(worker, task, run, 0) else {
            return;
        };
        // Without a confirmation it is sent again while the run is still there.
        let body = Body::Stop(call);
        let answer = self.carry(worker, 0, body, carrier::ORDER_OVERHEAD).await;
        if answer == Ok(Body::Confirmed(true)) {
            let now_ms = clock::now_ms();
            self.cell
                .borrow_mut()
                .stop_confirmed(worker, task, run, now_ms);
        }
    }

    async fn pace(&self, worker: &str, (task, run): (TaskId, u64), percent: u32) {
        let Some(call) = self.run_call(worker, task, run, percent) else {
            return;
        };
        // Without a confirmation the order is sent again while the run is there.
        let body = Body::Pace(call);
        let answer = self.carry(worker, 0, body, carrier::ORDER_OVERHEAD).await;
        if answer == Ok(Body::Confirmed(true)) {
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
            if self.asking.borrow().contains(&name) || self.carriers.is_away(&name) {
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
                    Ok(daemon::ask_advice(&lead.around.pool, own_address, &call).await)
                } else {
                    let timeout = Duration::from_millis(call.timeout_ms + 150);
                    let body = Body::Advise(call);
                    lead.note_sent(body.encoded_len());
                    match lead.around.peers.call(host.address, body, timeout).await {
                        Ok(Body::Advised(advised)) => Ok(advised),
                        Ok(_) => Ok(Advised::default()),
                        Err(error) => Err(error),
                    }
                };
                lead.asking.borrow_mut().swap_remove(&name);
                match advised {
                    Ok(advised) => lead.advised(&question, &advised, &name),
                    Err(error) => lead.not_asked(&question, &name, error),
                }
            });
        }
    }

    /// The host that was to ask is gone; the next pass asks through another one.
    fn not_asked(&self, question: &Question, host: &str, error: PeerError) {
        log_event!(
            events::ADVICE_ANSWERED,
            "step={} host={host} named={} error={error:?}",
            question.step,
            question.workers.len()
        );
        if error == PeerError::NotSent {
            self.host_away(host, "not_reached");
        }
        let now_ms = clock::now_ms();
        self.cell
            .borrow_mut()
            .advice_answered(question, &AdviceOutcome::NotAsked, now_ms);
        self.schedule.notify_one();
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
