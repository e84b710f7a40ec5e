//! One long poll a worker, which extends its runs and brings its lists.

use std::{rc::Rc, time::Duration};

use cell::workers::HoldReport;
use kernel::log_event;
use tokio::time;

use super::Lead;
use crate::{
    carrier, clock, events,
    peers::{Body, HoldCall, HoldOutcome},
};

/// How long a worker waits for an end before it answers.
const WAIT: Duration = Duration::from_secs(1);
/// The same for a worker with a run that makes no progress.
const CLOSE_WAIT: Duration = Duration::from_millis(300);
/// A worker that does not wait for anything answers within this time. After a takeover all inherited work
/// waits for these answers, so the next way is tried soon.
const FIRST_ANSWER: Duration = Duration::from_millis(400);
/// Hosts that are tried for one hold before the worker itself counts as silent.
const MOST_DETOURS: usize = 2;
/// Pause after a hold that failed.
const RETRY: Duration = Duration::from_millis(150);
/// How long a hold waits for the ends of the last one to become durable.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(300);

impl Lead {
    /// Starts a long poll for each worker that is known from the roster.
    pub(super) fn spawn_known_holds(self: &Rc<Self>) {
        let known: Vec<Rc<str>> = self.cell.borrow().workers().keys().cloned().collect();
        for id in known {
            self.spawn(run(Rc::clone(self), id));
        }
    }
}

/// The long poll of one worker.
#[derive(Debug)]
struct Poll {
    lead: Rc<Lead>,
    id: Rc<str>,
    /// The connection over which the last answer came; 0 after a failure.
    connection: u64,
    /// Hosts that were tried in vain, one after the other, to reach the worker.
    detour: usize,
    /// How many of them since the last time that the worker was called silent.
    tried: usize,
    was_silent: bool,
}

/// How a poll goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// At once.
    Again,
    /// After a pause.
    After(Duration),
    /// Not at all.
    End,
}

/// Holds a worker for as long as it is known.
pub(super) async fn run(lead: Rc<Lead>, id: Rc<str>) {
    let mut poll = Poll {
        lead,
        id,
        connection: 0,
        detour: 0,
        tried: 0,
        was_silent: true,
    };
    loop {
        match poll.once().await {
            Next::Again => {}
            Next::After(pause) => time::sleep(pause).await,
            Next::End => return,
        }
    }
}

impl Poll {
    async fn once(&mut self) -> Next {
        let Some(worker) = self.lead.worker_ref(&self.id) else {
            return Next::End;
        };
        if !self.lead.has_authority() {
            return Next::After(RETRY);
        }
        let sent_ms = clock::now_ms();
        let proven = self.connection != 0;
        let terms = self
            .lead
            .cell
            .borrow_mut()
            .begin_hold(&self.id, proven, sent_ms);
        let Some(terms) = terms else {
            return Next::End;
        };
        let wait = match (proven, terms.watch_closely) {
            (false, _) => Duration::ZERO,
            (true, true) => CLOSE_WAIT,
            (true, false) => WAIT,
        };
        let call = Body::Hold(HoldCall {
            worker,
            until_worker_ms: terms.until_worker_ms,
            acknowledged_end: terms.acknowledged_end,
            wait_ms: wait.as_millis() as u64,
            connection: self.connection,
        });
        self.lead.around.metrics.count("holds");
        let at_worker = if proven {
            wait + carrier::HOLD_OVERHEAD
        } else {
            FIRST_ANSWER
        };
        let answer = self.lead.carry(&self.id, self.detour, call, at_worker);
        let Ok(Body::Held(held)) = answer.await else {
            return self.not_carried();
        };
        match held.outcome() {
            HoldOutcome::Listed => {
                self.connection = held.connection;
                self.tried = 0;
                self.reported(sent_ms, &held.report()).await;
                Next::Again
            }
            HoldOutcome::Fenced => {
                self.lead.lose("fenced_by_worker");
                Next::End
            }
            HoldOutcome::OtherLife => {
                let now_ms = clock::now_ms();
                self.lead.cell.borrow_mut().worker_ended(&self.id, now_ms);
                self.failed("other_life")
            }
            HoldOutcome::Unusable => self.failed("unhealthy"),
            HoldOutcome::Silent => {
                // The host may be the one that is cut off.
                self.detour += 1;
                self.failed("no_answer")
            }
        }
    }

    /// No host carried the call: says nothing of the worker until others were tried.
    fn not_carried(&mut self) -> Next {
        self.connection = 0;
        self.detour += 1;
        self.tried += 1;
        if self.tried <= MOST_DETOURS {
            return Next::Again;
        }
        self.failed("no_host")
    }

    async fn reported(&mut self, sent_ms: u64, report: &HoldReport) {
        let (lead, id) = (&self.lead, &self.id);
        lead.log_ends(id, report);
        lead.cell.borrow_mut().hold_answered(
            id,
            sent_ms,
            clock::now_ms(),
            clock::unix_ms(),
            report,
        );
        if self.was_silent {
            log_event!(
                events::WORKER_HEARD,
                "worker={id} running={} ended={}",
                report.running.len(),
                report.ended.len()
            );
            self.was_silent = false;
        }
        lead.schedule.notify_one();
        if !report.ended.is_empty() {
            lead.commit.notify_one();
            lead.wait_for_acknowledgement(id).await;
        }
    }

    fn failed(&mut self, reason: &str) -> Next {
        self.connection = 0;
        self.tried = 0;
        if !self.was_silent {
            log_event!(
                events::WORKER_SILENT,
                "worker={} reason={reason:?}",
                self.id
            );
            self.was_silent = true;
        }
        let now_ms = clock::now_ms();
        self.lead.cell.borrow_mut().hold_failed(&self.id, now_ms);
        self.lead.schedule.notify_one();
        Next::After(RETRY)
    }
}

impl Lead {
    /// Logs ends that were not listed before.
    fn log_ends(&self, id: &str, report: &HoldReport) {
        let cell = self.cell.borrow();
        let processed_end = cell
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

    /// A hold before that would list the same ends again, at once.
    async fn wait_for_acknowledgement(&self, id: &str) {
        let acknowledged = async {
            loop {
                let committed = self.committed.notified();
                let pending = {
                    let cell = self.cell.borrow();
                    cell.workers()
                        .get(id)
                        .is_some_and(|w| w.processed_end > w.durable_end)
                };
                if !pending {
                    return;
                }
                committed.await;
            }
        };
        // While the store is away ends stay unacknowledged, and holds go on at this pace.
        let _late = time::timeout(ACKNOWLEDGE_WAIT, acknowledged).await;
    }
}
