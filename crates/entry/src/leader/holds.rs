//! One long poll per worker (hold), which extends the worker's runs and returns its lists of
//! running and ended runs.

use std::{rc::Rc, time::Duration};

use cell::{coordinator::HoldFailure, workers::HoldReport};
use kernel::log_event;
use tokio::time;

use super::Leader;
use crate::{
    clock, events,
    peers::{Body, HoldCall, HoldOutcome},
    relay,
};

/// How long a worker waits for a run to end before it answers.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// The same for a worker with a run that makes no progress.
const CLOSE_WATCH_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a poll that does not wait. After a takeover all inherited work depends on these
/// answers, so the next route is tried soon.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// The same while answers get lost, so that the ends in a lost answer are noticed soon.
const LOSSY_POLL_WAIT: Duration = Duration::from_millis(300);
/// How long after its wait a worker may answer while answers get lost.
const LOSSY_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Consecutive unanswered holds after which a worker counts as unresponsive.
const MAX_UNANSWERED_HOLDS: usize = 2;
/// Routes retried for one hold before the worker counts as unresponsive.
const MAX_ROUTE_RETRIES: usize = 2;
/// Delay after a failed hold.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long the next hold waits for the reported ends to become durable.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(300);

impl Leader {
    /// Starts a long poll for each worker in the inherited roster.
    pub(super) fn spawn_known_holds(self: &Rc<Self>) {
        let known: Vec<Rc<str>> = self
            .coordinator
            .borrow()
            .workers()
            .keys()
            .cloned()
            .collect();
        for id in known {
            self.spawn_hold(id);
        }
    }

    /// Starts a long poll for a worker unless it has one: responses to concurrent polls may overtake
    /// each other.
    pub(super) fn spawn_hold(self: &Rc<Self>, id: Rc<str>) {
        let mut routes = self.poll_routes.borrow_mut();
        if !routes.contains_key(&id) {
            routes.insert(Rc::clone(&id), 0);
            self.spawn(run(Rc::clone(self), id));
        }
    }

    /// Route over which a worker has last answered its poll. Orders use it first, so that runs that
    /// are extended can also be stopped.
    pub(super) fn poll_route(&self, id: &str) -> usize {
        self.poll_routes.borrow().get(id).copied().unwrap_or(0)
    }
}

/// State of one worker's long poll.
#[derive(Debug)]
struct Poll {
    leader: Rc<Leader>,
    id: Rc<str>,
    /// Identifier of the connection that delivered the last answer; 0 after a failure.
    connection: u64,
    /// Route to use: counts the hosts that failed to reach the worker.
    route_index: usize,
    /// Consecutive failed routes; reset when the worker answers or is reported unresponsive.
    failed_routes: usize,
    /// Consecutive holds that were relayed and not answered.
    unanswered: usize,
    was_silent: bool,
    /// Whether the last report may have lacked ends.
    was_truncated: bool,
}

/// What the poll loop does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// Polls immediately.
    Again,
    /// Polls after a delay.
    After(Duration),
    /// Stops polling.
    End,
}

/// Polls a worker until the worker is removed or the term ends. If the worker is listed again before
/// the poll has noticed its removal, the poll continues.
async fn run(leader: Rc<Leader>, id: Rc<str>) {
    let mut poll = Poll {
        leader,
        id,
        connection: 0,
        route_index: 0,
        failed_routes: 0,
        unanswered: 0,
        was_silent: true,
        was_truncated: false,
    };
    loop {
        match poll.poll_once().await {
            NextStep::Again => {}
            NextStep::After(pause) => time::sleep(pause).await,
            NextStep::End => break,
        }
    }
    poll.leader.poll_routes.borrow_mut().swap_remove(&poll.id);
}

impl Poll {
    async fn poll_once(&mut self) -> NextStep {
        let Some(worker) = self.leader.worker_ref(&self.id) else {
            return NextStep::End;
        };
        let Some(sent_ms) = self.leader.authorized_now_ms() else {
            return NextStep::After(RETRY_DELAY);
        };
        let has_connection = self.connection != 0;
        let terms =
            self.leader
                .coordinator
                .borrow_mut()
                .begin_hold(&self.id, has_connection, sent_ms);
        let Some(terms) = terms else {
            return NextStep::End;
        };
        let lossy = self.leader.answer_loss.get().is_expected(sent_ms);
        let wait = match (has_connection, terms.prompt_response) {
            (false, _) => Duration::ZERO,
            (true, true) => CLOSE_WATCH_WAIT,
            (true, false) if lossy => LOSSY_POLL_WAIT,
            (true, false) => POLL_WAIT,
        };
        let answer_timeout = if lossy {
            LOSSY_ANSWER_TIMEOUT
        } else {
            Duration::ZERO
        };
        let call = Body::Hold(HoldCall {
            worker,
            until_worker_ms: terms.until_worker_ms,
            acknowledged_end: terms.acknowledged_end,
            wait_ms: wait.as_millis() as u64,
            connection: self.connection,
            answer_timeout_ms: answer_timeout.as_millis() as u64,
        });
        self.leader.context.metrics.count("holds");
        let worker_timeout = if has_connection {
            wait + relay::MAX_HOLD_OVERHEAD
        } else {
            FIRST_POLL_TIMEOUT
        };
        let answer = self
            .leader
            .relay(&self.id, self.route_index, call, worker_timeout);
        let Ok(Body::HoldReply(reply)) = answer.await else {
            return self.handle_not_relayed();
        };
        match reply.outcome() {
            HoldOutcome::Listed => {
                self.connection = reply.connection;
                self.failed_routes = 0;
                self.leader
                    .poll_routes
                    .borrow_mut()
                    .insert(Rc::clone(&self.id), self.route_index);
                if self.unanswered > 0 && !self.was_silent {
                    self.leader.record_lost_answer();
                }
                self.unanswered = 0;
                self.handle_report(sent_ms, &reply.report()).await
            }
            HoldOutcome::Fenced => {
                self.leader.end_term("fenced_by_worker");
                NextStep::End
            }
            HoldOutcome::OtherLife => {
                let now_ms = clock::now_ms();
                let ended = self
                    .leader
                    .coordinator
                    .borrow_mut()
                    .address_taken(&self.id, now_ms);
                let reason = if ended {
                    "other_life"
                } else {
                    "unknown_address"
                };
                self.handle_failure(HoldFailure::Silent, reason)
            }
            HoldOutcome::Unusable => self.handle_failure(HoldFailure::Silent, "unhealthy"),
            outcome @ (HoldOutcome::Silent | HoldOutcome::Refused) => {
                self.unanswered += 1;
                if self.unanswered < MAX_UNANSWERED_HOLDS {
                    // The answer may have been lost: a new connection tells.
                    self.connection = 0;
                    return NextStep::Again;
                }
                // The relaying host may be the one that is disconnected.
                self.route_index += 1;
                if outcome == HoldOutcome::Refused {
                    self.handle_failure(HoldFailure::Refused, "refused")
                } else {
                    self.handle_failure(HoldFailure::Silent, "no_answer")
                }
            }
        }
    }

    /// Handles a call that no host relayed. The worker counts as unresponsive only after other
    /// routes have failed.
    fn handle_not_relayed(&mut self) -> NextStep {
        self.connection = 0;
        self.route_index += 1;
        self.failed_routes += 1;
        if self.failed_routes <= MAX_ROUTE_RETRIES {
            return NextStep::Again;
        }
        self.handle_failure(HoldFailure::Silent, "no_host")
    }

    async fn handle_report(&mut self, sent_ms: u64, report: &HoldReport) -> NextStep {
        let (leader, id) = (&self.leader, &self.id);
        leader.log_ends(id, report);
        let accepted = leader.coordinator.borrow_mut().hold_answered(
            id,
            sent_ms,
            clock::now_ms(),
            clock::unix_ms(),
            report,
        );
        if !accepted {
            return self.handle_failure(HoldFailure::Silent, "earlier_process");
        }
        if self.was_silent {
            log_event!(
                events::WORKER_HEARD,
                "worker={id} running={} ended={}",
                report.running.len(),
                report.ended.len()
            );
            self.was_silent = false;
        }
        if report.ends_truncated && !self.was_truncated {
            log_event!(
                events::ENDS_TRUNCATED,
                "worker={id} running={} listed={}",
                report.running.len(),
                report.ended.len()
            );
        }
        self.was_truncated = report.ends_truncated;
        leader.schedule.notify_one();
        if !report.ended.is_empty() {
            leader.commit.notify_one();
            leader.wait_for_acknowledgement(id).await;
        }
        NextStep::Again
    }

    fn handle_failure(&mut self, failure: HoldFailure, reason: &str) -> NextStep {
        self.connection = 0;
        self.failed_routes = 0;
        if !self.was_silent {
            log_event!(
                events::WORKER_SILENT,
                "worker={} reason={reason:?}",
                self.id
            );
            self.was_silent = true;
        }
        let now_ms = clock::now_ms();
        self.leader
            .coordinator
            .borrow_mut()
            .hold_failed(&self.id, failure, now_ms);
        self.leader.schedule.notify_one();
        NextStep::After(RETRY_DELAY)
    }
}

impl Leader {
    fn record_lost_answer(&self) {
        let mut loss = self.answer_loss.get();
        loss.record(clock::now_ms());
        self.answer_loss.set(loss);
    }

    /// Logs ends that were not reported before.
    fn log_ends(&self, id: &str, report: &HoldReport) {
        let coordinator = self.coordinator.borrow();
        let processed_end = coordinator
            .workers()
            .get(id)
            .map_or(0, |worker| worker.processed_end);
        for end in report.ended.iter().filter(|end| end.number > processed_end) {
            log_event!(
                events::RUN_ENDED,
                "task={} run={} worker={id} how={:?}",
                end.task,
                end.run,
                end.kind
            );
        }
    }

    /// Waits until the reported ends are durable. An earlier hold would return the same ends
    /// immediately.
    async fn wait_for_acknowledgement(&self, id: &str) {
        let acknowledged = async {
            loop {
                let committed = self.committed.notified();
                let pending = {
                    let coordinator = self.coordinator.borrow();
                    coordinator
                        .workers()
                        .get(id)
                        .is_some_and(|w| w.processed_end > w.durable_end)
                };
                if !pending {
                    return;
                }
                committed.await;
            }
        };
        // During a store outage ends stay unacknowledged, and holds continue at this interval.
        let _timed_out = time::timeout(ACKNOWLEDGE_TIMEOUT, acknowledged).await;
    }
}
