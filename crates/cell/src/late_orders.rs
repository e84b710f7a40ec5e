//! Orders to start that got no response, and how late and where they can take effect.
//!
//! A call without a response may be executed later, after newer calls, and whether or not another copy
//! of it was answered. What ends that depends on the process that receives it:
//!
//! - the process to which it was sent rejects it once the deadline that it names has passed, or a stop
//!   of its run was confirmed, or its run has ended, or a higher fencing token was accepted;
//! - a later process with the same identifier knows nothing of that. Its clock starts anew, so that the
//!   deadline lies in its future, and the order may be the first call that it receives. Only time ends
//!   that: [`MAX_DELIVERY_DELAY_MS`], or the ticket that the order carries, which workers do not accept
//!   once it has expired;
//! - any other worker rejects it, because it names the worker's identifier.
//!
//! So a task with such an order starts on no other worker meanwhile, whatever is known of the process.

use crate::{
    ids::TaskId,
    workers::{Phase, Resources, Run, Worker},
};

/// Maximum time after which a call without a response can still take effect, in milliseconds.
pub const MAX_DELIVERY_DELAY_MS: u64 = 13_000;

/// An order to start of which a copy got no response.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedOrder {
    /// Task to be started.
    pub task: TaskId,
    /// Run number, unique within the task. Earlier runs are no longer of interest: what prevents this
    /// one from starting prevents them too.
    pub run: u64,
    /// Resources that the run would occupy.
    pub resources: Resources,
    /// When a copy was first found to have no response, in milliseconds of the local clock.
    pub since_ms: u64,
    /// The same for the latest copy.
    pub latest_ms: u64,
    /// Time after which no copy can take effect, in milliseconds of the local clock.
    pub expires_ms: u64,
    /// Whether the order carries a ticket, which no later process accepts.
    pub has_ticket: bool,
}

impl UnconfirmedOrder {
    /// An order of the predecessor that takes no effect from `expires_ms` on.
    pub(crate) fn inherited(task: TaskId, run: u64, expires_ms: u64) -> Self {
        Self {
            task,
            run,
            resources: Resources::UNKNOWN,
            since_ms: 0,
            latest_ms: 0,
            expires_ms,
            has_ticket: false,
        }
    }

    /// Combines the order with an earlier one for the same task, whose copies may arrive as well.
    #[must_use]
    pub fn after(self, earlier: &Self) -> Self {
        Self {
            run: self.run.max(earlier.run),
            since_ms: earlier.since_ms,
            expires_ms: self.expires_ms.max(earlier.expires_ms),
            has_ticket: self.has_ticket && earlier.has_ticket,
            ..self
        }
    }
}

impl Run {
    /// When a copy of the run's order that has got no response by `now_ms` can no longer take effect,
    /// in milliseconds of the local clock.
    pub(crate) fn order_expiry_ms(&self, now_ms: u64) -> u64 {
        let latest_ms = now_ms + MAX_DELIVERY_DELAY_MS;
        self.ticket_void_ms
            .map_or(latest_ms, |void_ms| void_ms.min(latest_ms))
    }

    /// Whether the order got no response and awaits none.
    pub(crate) fn is_order_unanswered(&self) -> bool {
        let Phase::Ordered { in_flight, .. } = self.phase else {
            return false;
        };
        !in_flight
    }
}

impl Worker {
    /// Whether an order without a response may still reach this process or a later one.
    pub(crate) fn has_pending_orders(&self, now_ms: u64) -> bool {
        self.unconfirmed_orders
            .iter()
            .any(|order| order.expires_ms > now_ms)
    }

    /// The order of a task without a response that may still reach this process or a later one.
    pub(crate) fn pending_order(&self, task: TaskId, now_ms: u64) -> Option<&UnconfirmedOrder> {
        self.unconfirmed_orders
            .iter()
            .find(|order| order.task == task && order.expires_ms > now_ms)
    }

    /// Whether the process has passed the deadline of a task's order by its last report, which does not
    /// contain the run, while a copy may still arrive and nothing prevents the run.
    pub(crate) fn has_overdue_order(&self, task: TaskId, now_ms: u64) -> bool {
        let is_overdue = |run: &Run| match run.phase {
            Phase::Ordered {
                until_worker_ms,
                in_flight: false,
            } => {
                let clock = self.clock.as_ref();
                run.stopping.is_none() && clock.is_some_and(|c| c.worker_ms >= until_worker_ms)
            }
            _ => false,
        };
        self.pending_order(task, now_ms).is_some() && self.runs.get(&task).is_some_and(is_overdue)
    }

    /// Orders that a successor must know of. It hears the present process, so that no later one accepts
    /// a ticket that a predecessor has sent.
    pub fn late_orders(&self) -> impl Iterator<Item = (TaskId, u64)> {
        let orders = self.unconfirmed_orders.iter();
        orders
            .filter(|order| !order.has_ticket)
            .map(|order| (order.task, order.run))
    }

    /// Sets the resources of an inherited order.
    pub(crate) fn set_order_resources(&mut self, task: TaskId, resources: Resources) {
        let mut orders = self.unconfirmed_orders.iter_mut();
        if let Some(order) = orders.find(|order| order.task == task) {
            order.resources = resources;
        }
    }

    /// Records an order without a response.
    pub(crate) fn add_unconfirmed_order(&mut self, order: UnconfirmedOrder) {
        let known = self.unconfirmed_orders.iter_mut();
        match known.into_iter().find(|known| known.task == order.task) {
            Some(known) => *known = order.after(known),
            None => self.unconfirmed_orders.push(order),
        }
    }

    /// Forgets the orders that cannot take effect any more, and returns them.
    pub(crate) fn take_expired_orders(&mut self, now_ms: u64) -> Vec<UnconfirmedOrder> {
        let is_expired = |order: &mut UnconfirmedOrder| order.expires_ms <= now_ms;
        self.unconfirmed_orders.extract_if(.., is_expired).collect()
    }
}
