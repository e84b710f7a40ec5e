//! Start, stop and pace orders, and advice queries.

use std::{rc::Rc, time::Duration};

use cell::{
    coordinator::{
        AdviceOutcome, AdviceQuery, CrashEvent, EndProof, Order, StartResponse, WaitChange,
    },
    ids::TaskId,
    placement_wait::WaitReason,
};
use kernel::log_event;
use tokio::time;

use super::Leader;
use crate::{
    advice_client, clock, events,
    peers::{self, AdviceCall, AdviceReply, Body, PeerError, RunCall, StartCall, WorkerRef},
    relay,
};

/// Maximum number of times that one start order is sent.
const MAX_START_ATTEMPTS: usize = 3;
/// A start order is resent only within this time, in milliseconds, since its deadline is close
/// after that.
const START_RETRY_WINDOW_MS: u64 = 700;
/// Interval at which a leader logs which steps wait, and for which workers inherited tasks wait, in
/// milliseconds.
const WAITING_LOG_INTERVAL_MS: u64 = 1_000;
/// Maximum number of workers named at a time.
const MAX_WAITING_LOGGED: usize = 4;
/// Steps are logged once they have waited for this long, in milliseconds.
const LONG_WAIT_MS: u64 = 2_000;
/// Maximum number of steps logged at a time.
const MAX_STEPS_LOGGED: usize = 2;
/// Minimum pause between scheduling passes.
const MIN_PASS_PAUSE: Duration = Duration::from_millis(8);
/// Maximum time between two passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(60);
/// Minimum pause after a pass, as a multiple of the pass's duration.
const PASS_PAUSE_FACTOR: u32 = 3;
/// Maximum pause after a pass. With 3,000 workers a pass can take 50 ms on an overloaded host, and with
/// shorter pauses the host saw too late which workers were draining.
const MAX_PASS_PAUSE: Duration = Duration::from_millis(200);
/// How much longer than expected the advice service may take, in milliseconds.
const ADVICE_TIMEOUT_MARGIN_MS: u64 = 500;
/// Fraction of hosts reserved for light queries, as a divisor.
const LIGHT_QUERY_RESERVE_DIVISOR: usize = 3;
/// Fraction of hosts that heavy queries may use where capacity is contended, as a divisor.
const HEAVY_QUERY_DIVISOR: usize = 3;

/// Time between two lines about the paces of the workers, in milliseconds.
const PACES_LOG_INTERVAL_MS: u64 = 10_000;

/// Runs scheduling passes until the term ends.
pub(super) async fn run(leader: Rc<Leader>) {
    let mut settled = false;
    let mut waiting_logged_ms = leader.term.taken_ms;
    let mut paces_logged_ms = leader.term.taken_ms;
    loop {
        let _tick = time::timeout(MAX_PASS_INTERVAL, leader.schedule.notified()).await;
        let pass_began = time::Instant::now();
        if let Some(now_ms) = leader.authorized_now_ms() {
            let orders = leader
                .coordinator
                .borrow_mut()
                .schedule(now_ms, clock::unix_ms());
            leader.log_crashes();
            leader.log_released_runs();
            leader.log_preemptions();
            leader.log_placement_waits();
            leader.count_held_steps();
            for order in orders {
                leader.execute(order);
            }
            leader.dispatch_advice_queries(now_ms);
            if leader.coordinator.borrow().has_changes() {
                leader.commit.notify_one();
            }
            if now_ms >= waiting_logged_ms + WAITING_LOG_INTERVAL_MS {
                waiting_logged_ms = now_ms;
                if !settled {
                    leader.log_waiting(now_ms);
                }
                leader.log_waiting_steps(now_ms);
                leader.report_tenants();
            }
            if now_ms >= paces_logged_ms + PACES_LOG_INTERVAL_MS {
                paces_logged_ms = now_ms;
                leader.log_paces();
            }
            if !settled && leader.coordinator.borrow().takeover_complete(now_ms) {
                settled = true;
                leader.roster.notify_one();
                let after_ms = now_ms - leader.term.taken_ms;
                log_event!(
                    events::LEAD_SETTLED,
                    "fence={} after_ms={after_ms}",
                    leader.term.fence
                );
            }
        }
        // On a host with little CPU, passes must leave time for worker lists, orders and lease
        // renewal.
        let pause = MIN_PASS_PAUSE.max(pass_began.elapsed() * PASS_PAUSE_FACTOR);
        time::sleep(pause.min(MAX_PASS_PAUSE)).await;
    }
}

impl Leader {
    /// Logs for which workers inherited tasks wait, and why each has not settled.
    fn log_waiting(&self, now_ms: u64) {
        let coordinator = self.coordinator.borrow();
        let missing = coordinator.unreported_workers().count();
        for worker in coordinator.unreported_workers().take(MAX_WAITING_LOGGED) {
            log_event!(
                events::LEAD_WAITING,
                "fence={} worker={} listed={} heard={} draining={} missing={missing} expires_in_ms={}",
                self.term.fence,
                worker.entry.id,
                worker.listed,
                worker.fenced,
                worker.entry.draining,
                coordinator.inherited_left_ms(now_ms)
            );
        }
    }

    /// Logs what became known about crashed workers and their runs.
    fn log_crashes(&self) {
        let crash_events = self.coordinator.borrow_mut().take_crash_events();
        for event in crash_events {
            match event {
                CrashEvent::Judged(report) => log_event!(events::CRASH_JUDGED, "{report}"),
                CrashEvent::Lost(loss) => {
                    self.context.metrics.count("workers_lost");
                    log_event!(events::RUNS_LOST, "{loss}");
                }
                CrashEvent::GivenUp { task, runs } => {
                    self.context.metrics.count("tasks_given_up");
                    log_event!(events::TASK_GIVEN_UP, "task={task} crashed_runs={runs:?}");
                }
                CrashEvent::QueuesOnTrial { queues } => {
                    log_event!(events::QUEUES_ON_TRIAL, "queues={queues:?}");
                }
            }
        }
    }

    /// Logs the runs that were released without a reported end. Refused orders have a line already.
    fn log_released_runs(&self) {
        let released = self.coordinator.borrow_mut().take_released_runs();
        for run in released {
            if !matches!(run.proof, EndProof::OrderRefused { .. }) {
                self.context.metrics.count("runs_released");
                log_event!(events::RUN_RELEASED, "{run}");
            }
        }
    }

    /// Logs for which steps runs are stopped.
    fn log_preemptions(&self) {
        let preemptions = self.coordinator.borrow_mut().take_preemptions();
        for preemption in preemptions {
            self.context.metrics.count("preemptions");
            log_event!(events::STEP_PREEMPTS, "{preemption}");
        }
    }

    /// Logs the most urgent steps that have waited for long, and what their workers lack.
    fn log_waiting_steps(&self, now_ms: u64) {
        let coordinator = self.coordinator.borrow();
        let waiting = coordinator.waiting_steps(now_ms, LONG_WAIT_MS);
        for report in waiting.take(MAX_STEPS_LOGGED) {
            log_event!(events::STEP_WAITING, "{report}");
        }
    }

    /// Logs the waits for a better placement that began or ended.
    fn log_placement_waits(&self) {
        let wait_events = self.coordinator.borrow_mut().take_wait_events();
        for event in wait_events {
            if event.change == WaitChange::Began {
                self.context.metrics.count(match event.reason {
                    WaitReason::DataRack => "waits_data_rack",
                    WaitReason::GroupRack => "waits_group_rack",
                    WaitReason::FasterWorker => "waits_faster_worker",
                });
            }
            log_event!(events::PLACEMENT_WAIT, "{event}");
        }
    }

    /// Logs the paces of the workers, unless they count as equal.
    fn log_paces(&self) {
        let summary = self.coordinator.borrow().pace_summary();
        let deviating = summary.map_or(0, |paces| paces.deviating);
        let metrics = &self.context.metrics;
        metrics.set("deviating_workers", deviating as u64);
        if let Some(paces) = summary {
            metrics.set("known_pace_workers", paces.known as u64);
            let percent = u64::from(paces.fastest_decile_percent);
            metrics.set("fastest_decile_percent", percent);
            let percent = u64::from(paces.slowest_decile_percent);
            metrics.set("slowest_decile_percent", percent);
            log_event!(events::WORKER_PACES, "{paces}");
        }
    }

    /// The address and fence that a relaying host needs to call a worker.
    pub(super) fn worker_ref(&self, worker: &str) -> Option<WorkerRef> {
        let coordinator = self.coordinator.borrow();
        let entry = &coordinator.workers().get(worker)?.entry;
        Some(WorkerRef {
            id: entry.id.to_string(),
            address: entry.address.to_string(),
            fence: self.term.fence,
        })
    }

    fn execute(self: &Rc<Self>, order: Order) {
        let leader = Rc::clone(self);
        match order {
            Order::Start {
                worker,
                task,
                run,
                until_worker_ms,
                checkpoint,
                ticket,
                payload_host,
                on_trial,
                ..
            } => {
                log_event!(
                    events::RUN_ORDERED,
                    "task={task} run={run} worker={worker} until={until_worker_ms} resume={} trial={on_trial}",
                    !checkpoint.is_empty()
                );
                self.spawn(async move {
                    let Some(at) = leader.worker_ref(&worker) else {
                        return leader.handle_start_response(
                            &worker,
                            task,
                            run,
                            StartResponse::Unhealthy,
                        );
                    };
                    let call = StartCall {
                        worker: at,
                        task: task.into(),
                        run,
                        until_worker_ms,
                        checkpoint,
                        ticket: ticket.map(|ticket| ticket.to_string()),
                        payload_host: payload_host.to_string(),
                    };
                    let answer = leader.start(&worker, call).await;
                    leader.handle_start_response(&worker, task, run, answer);
                });
            }
            Order::Stop {
                worker,
                task,
                run,
                reason,
            } => {
                log_event!(
                    events::RUN_ENDING,
                    "task={task} run={run} worker={worker} why={reason}"
                );
                self.spawn(async move { leader.stop(&worker, task, run).await });
            }
            Order::SetCpuShare {
                worker,
                task,
                run,
                percent,
            } => {
                log_event!(
                    events::RUN_PACED,
                    "task={task} run={run} worker={worker} percent={percent}"
                );
                self.spawn(async move { leader.pace(&worker, (task, run), percent).await });
            }
        }
    }

    /// Sends a start order over the route of the worker's poll, again if the worker does not answer,
    /// and over another route if the host cannot be reached or dies. A worker executes the same order
    /// only once, however often it arrives.
    async fn start(&self, worker: &str, call: StartCall) -> StartResponse {
        self.context.metrics.count("starts");
        let began_ms = clock::now_ms();
        let mut sent_before = false;
        let mut route_index = self.poll_route(worker);
        for _ in 0..MAX_START_ATTEMPTS {
            if !self.has_authority() || clock::now_ms() > began_ms + START_RETRY_WINDOW_MS {
                break;
            }
            let body = Body::Start(call.clone());
            match self
                .relay(worker, route_index, body, relay::MAX_ORDER_OVERHEAD)
                .await
            {
                Ok(Body::StartReply(number)) => {
                    let answer = peers::decode_start_response(number);
                    // A refusal of the resent order does not tell the outcome of the first one: the
                    // run may have started, and even ended.
                    match answer {
                        StartResponse::Started => return answer,
                        StartResponse::Unknown => {
                            sent_before = true;
                            self.record_unanswered(worker, &call);
                        }
                        _ if sent_before => return StartResponse::Unknown,
                        _ => return answer,
                    }
                }
                Err(PeerError::NotSent) => route_index += 1,
                Ok(_) | Err(PeerError::Unanswered) => {
                    sent_before = true;
                    route_index += 1;
                    self.record_unanswered(worker, &call);
                }
            }
        }
        if sent_before {
            StartResponse::Unknown
        } else {
            StartResponse::Unhealthy // The order was never sent.
        }
    }

    /// Records that a copy of an order got no response, whatever another copy is answered.
    fn record_unanswered(&self, worker: &str, call: &StartCall) {
        self.context.metrics.count("starts_unanswered");
        self.coordinator.borrow_mut().start_unanswered(
            worker,
            call.task.into(),
            call.run,
            clock::now_ms(),
        );
        if call.ticket.is_none() {
            self.roster.notify_one();
        }
    }

    fn handle_start_response(&self, worker: &str, task: TaskId, run: u64, answer: StartResponse) {
        if answer != StartResponse::Started {
            log_event!(
                events::RUN_REFUSED,
                "task={task} run={run} worker={worker} why={answer:?}"
            );
            self.context.metrics.count("starts_refused");
        }
        if answer == StartResponse::Fenced {
            self.end_term("fenced_by_worker");
        }
        self.coordinator
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

    /// Sends an order over the route over which the worker has last answered its poll.
    async fn relay_order(&self, worker: &str, body: Body) -> Result<Body, PeerError> {
        let route_index = self.poll_route(worker);
        self.relay(worker, route_index, body, relay::MAX_ORDER_OVERHEAD)
            .await
    }

    async fn stop(&self, worker: &str, task: TaskId, run: u64) {
        let Some(call) = self.run_call(worker, task, run, 0) else {
            return;
        };
        // An unconfirmed stop is sent again as long as the run exists.
        let body = Body::Stop(call);
        let answer = self.relay_order(worker, body).await;
        if answer == Ok(Body::Confirmed(true)) {
            let now_ms = clock::now_ms();
            self.coordinator
                .borrow_mut()
                .stop_confirmed(worker, task, run, now_ms);
        }
    }

    async fn pace(&self, worker: &str, (task, run): (TaskId, u64), percent: u32) {
        let Some(call) = self.run_call(worker, task, run, percent) else {
            return;
        };
        // An unconfirmed order is sent again as long as the run exists.
        let body = Body::Pace(call);
        let answer = self.relay_order(worker, body).await;
        if answer == Ok(Body::Confirmed(true)) {
            self.coordinator
                .borrow_mut()
                .pace_confirmed(worker, task, run, percent);
        }
    }

    /// Assigns the most urgent advice queries to hosts that have none in progress.
    fn dispatch_advice_queries(self: &Rc<Self>, now_ms: u64) {
        let settings = self.context.settings.current();
        let Some(own_address) = settings.advice_address else {
            return;
        };
        let own_name = &settings.host_name;
        let mut hosts = self.context.members.hosts();
        if let Some(own) = hosts.shift_remove(own_name) {
            hosts.shift_insert(0, own_name.clone(), own);
        }
        let total = hosts.len();
        for (name, host) in hosts {
            if self.busy_advice_hosts.borrow().contains_key(&name)
                || self.relays.is_unreachable(&name)
            {
                continue;
            }
            let light_only = self.is_reserved_for_light_queries(total);
            let Some(query) = self
                .coordinator
                .borrow_mut()
                .next_advice_query(now_ms, light_only)
            else {
                return;
            };
            let busy_hosts = &self.busy_advice_hosts;
            busy_hosts.borrow_mut().insert(name.clone(), query.heavy);
            let leader = Rc::clone(self);
            let own = name == *own_name;
            self.spawn(async move {
                let call = AdviceCall {
                    job: query.step.job.0,
                    occurrence: query.step.occurrence,
                    step: query.step.step,
                    workers: query.workers.iter().map(ToString::to_string).collect(),
                    timeout_ms: query.expected_ms + ADVICE_TIMEOUT_MARGIN_MS,
                };
                let reply = if own {
                    Ok(advice_client::query(&leader.context.pool, own_address, &call).await)
                } else {
                    let timeout = Duration::from_millis(call.timeout_ms + 150);
                    let body = Body::Advise(call);
                    leader.record_bytes_sent(body.encoded_len());
                    match leader.context.peers.call(host.address, body, timeout).await {
                        Ok(Body::AdviceReply(reply)) => Ok(reply),
                        Ok(_) => Ok(AdviceReply::default()),
                        Err(error) => Err(error),
                    }
                };
                leader.busy_advice_hosts.borrow_mut().swap_remove(&name);
                match reply {
                    Ok(reply) => leader.handle_advice(&query, &reply, &name),
                    Err(error) => leader.handle_advice_not_sent(&query, &name, error),
                }
            });
        }
    }

    /// Whether the hosts without a query may send light ones only. Where capacity is contended, light
    /// queries alone could keep all but a third of the hosts busy, so only heavy ones count: otherwise
    /// wide gangs, whose queries are heavy, would never be asked about.
    fn is_reserved_for_light_queries(&self, total: usize) -> bool {
        let busy_hosts = self.busy_advice_hosts.borrow();
        if self.coordinator.borrow().may_preempt() {
            let heavy = busy_hosts.values().filter(|heavy| **heavy).count();
            return heavy >= (total / HEAVY_QUERY_DIVISOR).max(1);
        }
        total - busy_hosts.len() <= total / LIGHT_QUERY_RESERVE_DIVISOR
    }

    /// Handles a query that did not reach the advice service because its host is gone; the next
    /// pass uses another host.
    fn handle_advice_not_sent(&self, query: &AdviceQuery, host: &str, error: PeerError) {
        log_event!(
            events::ADVICE_ANSWERED,
            "step={} host={host} named={} error={error:?}",
            query.step,
            query.workers.len()
        );
        if error == PeerError::NotSent {
            self.mark_unreachable(host, "not_reached");
        }
        let now_ms = clock::now_ms();
        self.coordinator
            .borrow_mut()
            .advice_answered(query, &AdviceOutcome::NotSent, now_ms);
        self.schedule.notify_one();
    }

    fn handle_advice(&self, query: &AdviceQuery, reply: &AdviceReply, host: &str) {
        log_event!(
            events::ADVICE_ANSWERED,
            "step={} host={host} named={} good={} answered={}",
            query.step,
            query.workers.len(),
            reply.workers.len(),
            reply.answered
        );
        let outcome = if reply.answered {
            let tickets = reply.workers.iter().zip(&reply.tickets);
            AdviceOutcome::Answered {
                tickets: tickets
                    .filter_map(|(&position, ticket)| {
                        let worker = query.workers.get(position as usize)?;
                        Some((Rc::clone(worker), ticket.as_str().into()))
                    })
                    .collect(),
                valid_ms: reply.valid_ms,
            }
        } else {
            AdviceOutcome::Failed
        };
        self.coordinator
            .borrow_mut()
            .advice_answered(query, &outcome, clock::now_ms());
        self.schedule.notify_one();
    }
}
