//! Calls to workers that this host relays for the leader.
//!
//! A relay makes no decisions: the leader's message gives the worker, the fence and the terms, and
//! workers reject calls from a former leader. The relay keeps one connection per worker for long
//! polls and returns the worker's lists to the leader in compact form.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use adapter::{
    http::{CallError, ConnectionPool, Line},
    workers::{self, HoldResponse, StartRequest},
};
use cell::{
    coordinator::{HoldTerms, StartResponse},
    ids::{JobId, TaskId},
    late_orders::MAX_DELIVERY_DELAY_MS,
};
use indexmap::IndexMap;
use rand::RngExt;
use tokio::time;

use crate::{
    clock,
    payloads::PayloadCache,
    peers::{
        self, Body, HoldCall, HoldOutcome, HoldReply, LateOrder, LateOrdersReply, PayloadReply,
        RunCall, StartCall,
    },
    worker_slots::WorkerSlots,
};

/// How long after its wait a hold may still be answered.
const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Longest wait of an order for the worker's earlier ones; the leader sends it again.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(400);
/// Timeout of a start order; the leader sends it again.
const START_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a stop order; the leader sends it again.
const STOP_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an order that sets the share of a best-effort run; the leader sends it again.
const PACE_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections idle for this long are closed, in milliseconds: another host relays calls to the
/// worker by then.
const IDLE_TIMEOUT_MS: u64 = 8_000;
/// Interval between two scans for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time of a hold beyond the worker's wait: connecting and receiving the answer.
pub const MAX_HOLD_OVERHEAD: Duration = Duration::from_millis(1_300);
/// Maximum time of an order: connecting and receiving the answer.
pub const MAX_ORDER_OVERHEAD: Duration = Duration::from_millis(1_500);

/// Connection for the long polls of one worker.
#[derive(Debug)]
struct PollConnection {
    number: u64,
    line: Line,
    used_ms: u64,
}

/// Relays calls to workers and serves job payloads.
#[derive(Debug)]
pub struct Relay {
    pool: ConnectionPool,
    /// Slots of orders; long polls have one connection per worker besides.
    slots: Rc<WorkerSlots>,
    payloads: Rc<PayloadCache>,
    connections: RefCell<IndexMap<SocketAddr, PollConnection>>,
    unanswered: RefCell<Vec<UnansweredOrder>>,
}

/// An order to start without a ticket, of which a copy is on its way or got no response.
#[derive(Debug)]
struct UnansweredOrder {
    number: u64,
    worker: String,
    task: TaskId,
    run: u64,
    fence: u64,
    expires_ms: u64,
}

impl Relay {
    /// A relay without open connections.
    pub fn new(pool: ConnectionPool, slots: Rc<WorkerSlots>, payloads: Rc<PayloadCache>) -> Self {
        Self {
            pool,
            slots,
            payloads,
            connections: RefCell::default(),
            unanswered: RefCell::default(),
        }
    }

    /// Performs a relayed call; `None` if `body` is not one.
    pub async fn relay(&self, body: Body) -> Option<Body> {
        Some(match body {
            Body::Hold(call) => Body::HoldReply(self.hold(&call).await),
            Body::Start(call) => {
                Body::StartReply(peers::encode_start_response(self.start(&call).await))
            }
            Body::LateOrders(fence) => Body::LateOrdersReply(LateOrdersReply {
                orders: self.late_orders(fence),
            }),
            Body::Stop(call) => Body::Confirmed(self.stop(&call).await),
            Body::Pace(call) => Body::Confirmed(self.pace(&call).await),
            Body::Payload(call) => {
                let payload = self.payloads.get(JobId(call.job), &call.payload_host).await;
                Body::PayloadReply(PayloadReply {
                    payload: payload.map(|payload| payload.to_string()),
                })
            }
            _ => return None,
        })
    }

    async fn hold(&self, call: &HoldCall) -> HoldReply {
        let Ok(address) = call.worker.address.parse() else {
            return HoldReply::with_outcome(HoldOutcome::Unusable);
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
                Err(CallError::Refused) => {
                    return HoldReply::with_outcome(HoldOutcome::Refused);
                }
                Err(_) => return HoldReply::with_outcome(HoldOutcome::Silent),
            },
        };
        // A new connection may reach another instance of the worker, whose ends must not be
        // acknowledged.
        let same_connection = connection.number == call.connection;
        let terms = HoldTerms {
            until_worker_ms: call.until_worker_ms,
            acknowledged_end: if same_connection {
                call.acknowledged_end
            } else {
                0
            },
            prompt_response: false,
        };
        let wait = if same_connection {
            Duration::from_millis(call.wait_ms)
        } else {
            Duration::ZERO
        };
        let margin = match call.answer_timeout_ms {
            0 => HOLD_TIMEOUT_MARGIN,
            ms => Duration::from_millis(ms).min(HOLD_TIMEOUT_MARGIN),
        };
        let headers = workers::instance_header(&call.worker.id);
        let hold = workers::hold_call(&headers, terms, call.worker.fence, wait, wait + margin);
        let Ok(answer) = connection.line.call(&hold).await else {
            return HoldReply::with_outcome(HoldOutcome::Silent);
        };
        match workers::decode_hold_response(&answer) {
            HoldResponse::Report(report) => {
                let held = HoldReply::listed(connection.number, &report);
                connection.used_ms = clock::now_ms();
                self.connections.borrow_mut().insert(address, connection);
                held
            }
            HoldResponse::Fenced => HoldReply::with_outcome(HoldOutcome::Fenced),
            HoldResponse::OtherLife => HoldReply::with_outcome(HoldOutcome::OtherLife),
            HoldResponse::Unavailable => HoldReply::with_outcome(HoldOutcome::Unusable),
        }
    }

    async fn start(&self, call: &StartCall) -> StartResponse {
        let task = TaskId::from(call.task);
        let Ok(address) = call.worker.address.parse() else {
            return StartResponse::Unhealthy;
        };
        let Some(payload) = self.payloads.get(task.step.job, &call.payload_host).await else {
            return StartResponse::NoText;
        };
        let body = workers::encode_start(&StartRequest {
            task,
            run: call.run,
            payload: &payload,
            until_worker_ms: call.until_worker_ms,
            fence: call.worker.fence,
            checkpoint: &call.checkpoint,
            ticket: call.ticket.as_deref(),
        });
        let headers = workers::instance_header(&call.worker.id);
        let order = workers::start_call(&headers, body, START_TIMEOUT);
        let Some(_slot) = self.slots.acquire(address, MAX_SLOT_WAIT).await else {
            return StartResponse::Unhealthy;
        };
        let number = self.record_order(call);
        let answer = match self.pool.call(address, &order).await {
            Ok(answer) => workers::decode_start_response(&answer),
            Err(CallError::NotSent | CallError::Refused) => StartResponse::Unhealthy,
            Err(CallError::Unanswered) => StartResponse::Unknown,
        };
        if answer != StartResponse::Unknown {
            let mut unanswered = self.unanswered.borrow_mut();
            unanswered.retain(|order| Some(order.number) != number);
        }
        answer
    }

    /// Records an order that is about to be sent, unless it has a ticket: no later process of the
    /// worker accepts that. Returns its number.
    fn record_order(&self, call: &StartCall) -> Option<u64> {
        if call.ticket.is_some() {
            return None;
        }
        let now_ms = clock::now_ms();
        let number = rand::rng().random();
        let mut unanswered = self.unanswered.borrow_mut();
        unanswered.retain(|order| now_ms < order.expires_ms);
        unanswered.push(UnansweredOrder {
            number,
            worker: call.worker.id.clone(),
            task: call.task.into(),
            run: call.run,
            fence: call.worker.fence,
            expires_ms: now_ms + START_TIMEOUT.as_millis() as u64 + MAX_DELIVERY_DELAY_MS,
        });
        Some(number)
    }

    /// Orders of leaders with a lower fence that may still take effect. The leader may have ended
    /// before it knew that they have no response.
    pub fn late_orders(&self, fence: u64) -> Vec<LateOrder> {
        let now_ms = clock::now_ms();
        let unanswered = self.unanswered.borrow();
        let is_late = |order: &&UnansweredOrder| order.fence < fence && now_ms < order.expires_ms;
        let late_order = |order: &UnansweredOrder| LateOrder {
            worker: order.worker.clone(),
            task: order.task.into(),
            run: order.run,
            left_ms: order.expires_ms - now_ms,
        };
        unanswered.iter().filter(is_late).map(late_order).collect()
    }

    /// Whether the worker confirmed the stop. Another worker at the address (421) says nothing about
    /// orders on their way to this one.
    async fn stop(&self, call: &RunCall) -> bool {
        let headers = workers::instance_header(&call.worker.id);
        let (task, fence) = (call.task.into(), call.worker.fence);
        let order = workers::stop_call(&headers, task, call.run, fence, STOP_TIMEOUT);
        let Ok(address) = call.worker.address.parse() else {
            return false;
        };
        let Some(_slot) = self.slots.acquire(address, MAX_SLOT_WAIT).await else {
            return false;
        };
        let answer = self.pool.call(address, &order).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    async fn pace(&self, call: &RunCall) -> bool {
        let headers = workers::instance_header(&call.worker.id);
        let run = (call.task.into(), call.run);
        let fence = call.worker.fence;
        let order = workers::pace_call(&headers, run, call.percent, fence, PACE_TIMEOUT);
        let Ok(address) = call.worker.address.parse() else {
            return false;
        };
        let Some(_slot) = self.slots.acquire(address, MAX_SLOT_WAIT).await else {
            return false;
        };
        let answer = self.pool.call(address, &order).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Closes idle connections, for the lifetime of the process.
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
