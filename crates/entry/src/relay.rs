//! Calls to workers that this host carries for the coordinator.
//!
//! A carrier decides nothing: which worker it calls, with which fence and on which terms, stands in the
//! coordinator's message, and workers refuse what comes from a former coordinator. It keeps one
//! connection to each worker for long polls, and hands the coordinator the lists in short form.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use adapter::{
    http::{CallError, Line, Pool},
    workers::{self, HoldAnswer, StartOrder},
};
use cell::{
    coordinator::{HoldTerms, StartAnswer},
    ids::{JobId, TaskId},
};
use indexmap::IndexMap;
use rand::RngExt;
use tokio::time;

use crate::{
    clock,
    payloads::PayloadCache,
    peers::{self, Body, HoldCall, HoldOutcome, HoldReply, PayloadReply, RunCall, StartCall},
};

/// How long an answer to a hold may be late.
const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// An order to start is given up after this time; what became of it is then in doubt.
const START_TIMEOUT: Duration = Duration::from_millis(800);
/// A stop is given up after this time, and sent again.
const STOP_TIMEOUT: Duration = Duration::from_millis(800);
/// An order about the share of a filling run is given up after this time, and sent again.
const PACE_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection that has carried nothing for this long is closed, in milliseconds: another host
/// carries calls to the worker now.
const IDLE_TIMEOUT_MS: u64 = 8_000;
/// Time between two looks for such connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// The longest that a hold takes beside the time that the worker waits: a connection and an answer.
pub const MAX_HOLD_OVERHEAD: Duration = Duration::from_millis(1_300);
/// The longest that an order takes: a connection and an answer.
pub const MAX_ORDER_OVERHEAD: Duration = Duration::from_millis(1_500);

/// A connection for the long polls of one worker.
#[derive(Debug)]
struct PollConnection {
    number: u64,
    line: Line,
    used_ms: u64,
}

/// The carrier of a host.
#[derive(Debug)]
pub struct Relay {
    pool: Pool,
    payloads: Rc<PayloadCache>,
    connections: RefCell<IndexMap<SocketAddr, PollConnection>>,
}

impl Relay {
    /// A carrier without connections.
    pub fn new(pool: Pool, payloads: Rc<PayloadCache>) -> Self {
        Self {
            pool,
            payloads,
            connections: RefCell::default(),
        }
    }

    /// Carries a call; `None` if the message is none.
    pub async fn relay(&self, body: Body) -> Option<Body> {
        Some(match body {
            Body::Hold(call) => Body::HoldReply(self.hold(&call).await),
            Body::Start(call) => {
                Body::StartReply(peers::encode_start_answer(self.start(&call).await))
            }
            Body::Stop(call) => Body::Confirmed(self.stop(&call).await),
            Body::Pace(call) => Body::Confirmed(self.pace(&call).await),
            Body::Payload(call) => {
                let text = self.payloads.get(JobId(call.job), &call.home).await;
                Body::PayloadReply(PayloadReply {
                    text: text.map(|text| text.to_string()),
                })
            }
            _ => return None,
        })
    }

    async fn hold(&self, call: &HoldCall) -> HoldReply {
        let Ok(address) = call.worker.address.parse() else {
            return HoldReply::without_lists(HoldOutcome::Unusable);
        };
        let known = self.connections.borrow_mut().swap_remove(&address);
        let mut connection = match known.filter(|connection| connection.line.is_usable()) {
            Some(connection) => connection,
            None => match Line::open(address).await {
                Ok(line) => PollConnection {
                    number: rand::rng().random_range(1..=u64::MAX),
                    line,
                    used_ms: 0,
                },
                Err(_) => return HoldReply::without_lists(HoldOutcome::Silent),
            },
        };
        // Over another connection a new life may answer, whose ends must not be acknowledged.
        let same_connection = connection.number == call.connection;
        let terms = HoldTerms {
            until_worker_ms: call.until_worker_ms,
            acknowledged_end: if same_connection {
                call.acknowledged_end
            } else {
                0
            },
            watch_closely: false,
        };
        let wait = if same_connection {
            Duration::from_millis(call.wait_ms)
        } else {
            Duration::ZERO
        };
        let headers = workers::life_header(&call.worker.id);
        let hold = workers::hold_call(
            &headers,
            terms,
            call.worker.fence,
            wait,
            wait + HOLD_TIMEOUT_MARGIN,
        );
        let Ok(answer) = connection.line.call(&hold).await else {
            return HoldReply::without_lists(HoldOutcome::Silent);
        };
        match workers::hold_answer(&answer) {
            HoldAnswer::Report(report) => {
                let held = HoldReply::listed(connection.number, &report);
                connection.used_ms = clock::now_ms();
                self.connections.borrow_mut().insert(address, connection);
                held
            }
            HoldAnswer::Fenced => HoldReply::without_lists(HoldOutcome::Fenced),
            HoldAnswer::OtherLife => HoldReply::without_lists(HoldOutcome::OtherLife),
            HoldAnswer::Unusable => HoldReply::without_lists(HoldOutcome::Unusable),
        }
    }

    async fn start(&self, call: &StartCall) -> StartAnswer {
        let task = TaskId::from(call.task);
        let Ok(address) = call.worker.address.parse() else {
            return StartAnswer::Unhealthy;
        };
        let Some(text) = self.payloads.get(task.step.job, &call.home).await else {
            return StartAnswer::NoText;
        };
        let body = workers::start_body(&StartOrder {
            task,
            run: call.run,
            payload: &text,
            until_worker_ms: call.until_worker_ms,
            fence: call.worker.fence,
            checkpoint: &call.checkpoint,
            ticket: call.ticket.as_deref(),
        });
        let headers = workers::life_header(&call.worker.id);
        let order = workers::start_call(&headers, body, START_TIMEOUT);
        match self.pool.call(address, &order).await {
            Ok(answer) => workers::start_answer(&answer),
            Err(CallError::NotSent) => StartAnswer::Unhealthy,
            Err(CallError::Unanswered) => StartAnswer::Unknown,
        }
    }

    /// Whether the worker confirmed a stop, or another life answers, in which the run is not.
    async fn stop(&self, call: &RunCall) -> bool {
        let headers = workers::life_header(&call.worker.id);
        let (task, fence) = (call.task.into(), call.worker.fence);
        let order = workers::stop_call(&headers, task, call.run, fence, STOP_TIMEOUT);
        let Ok(address) = call.worker.address.parse() else {
            return false;
        };
        let answer = self.pool.call(address, &order).await;
        answer.is_ok_and(|answer| matches!(answer.status, 200 | 421))
    }

    async fn pace(&self, call: &RunCall) -> bool {
        let headers = workers::life_header(&call.worker.id);
        let run = (call.task.into(), call.run);
        let fence = call.worker.fence;
        let order = workers::pace_call(&headers, run, call.percent, fence, PACE_TIMEOUT);
        let Ok(address) = call.worker.address.parse() else {
            return false;
        };
        let answer = self.pool.call(address, &order).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Closes connections that carry nothing any more, for as long as the process runs.
    pub async fn close_idle_connections(self: Rc<Self>) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            let now_ms = clock::now_ms();
            self.connections
                .borrow_mut()
                .retain(|_, connection| now_ms < connection.used_ms + IDLE_TIMEOUT_MS);
            self.pool.close_idle(Duration::from_millis(IDLE_TIMEOUT_MS));
        }
    }
}
