//! Limits concurrent orders to workers, each of which takes a connection.
//!
//! A worker has slots of its own, and orders beyond them wait for the worker's earlier ones only: a
//! crowd of orders to one worker delays no other worker's. How many slots each has follows from the
//! connections that this host has for orders, and from the number of workers that it calls now.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use indexmap::IndexMap;
use tokio::{sync::oneshot, time};

/// Minimum number of slots of a worker, however many workers are called.
const MIN_SLOTS: usize = 2;
/// Maximum number of slots of a worker, half of the connections that a worker accepts.
const MAX_SLOTS: usize = 32;

/// Slots of all workers that are called at present.
#[derive(Debug)]
pub struct WorkerSlots {
    max_connections: usize,
    workers: RefCell<IndexMap<SocketAddr, Slots>>,
}

#[derive(Debug, Default)]
struct Slots {
    used: usize,
    /// Orders that wait, oldest first. The receiver of one that gave up is gone.
    waiting: VecDeque<oneshot::Sender<()>>,
}

/// A slot of a worker; released on drop.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<WorkerSlots>,
    worker: SocketAddr,
}

impl WorkerSlots {
    /// Slots for at most about `max_connections` concurrent orders.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            workers: RefCell::default(),
        })
    }

    /// Waits for a slot of a worker, at most for `max_wait`; `None` if there was none.
    pub async fn acquire(self: &Rc<Self>, worker: SocketAddr, max_wait: Duration) -> Option<Slot> {
        let turn = {
            let mut workers = self.workers.borrow_mut();
            let count = workers.len() + usize::from(!workers.contains_key(&worker));
            let limit = (self.max_connections / count).clamp(MIN_SLOTS, MAX_SLOTS);
            let slots = workers.entry(worker).or_default();
            if slots.used < limit {
                slots.used += 1;
                None
            } else {
                let (sender, turn) = oneshot::channel();
                slots.waiting.push_back(sender);
                Some(turn)
            }
        };
        let slot = || Slot {
            slots: Rc::clone(self),
            worker,
        };
        let Some(mut turn) = turn else {
            return Some(slot());
        };
        match time::timeout(max_wait, &mut turn).await {
            Ok(handed_over) => handed_over.is_ok().then(slot),
            // The slot may have been handed over at the same moment.
            Err(_) => turn.try_recv().is_ok().then(slot),
        }
    }

    /// Number of slots in use.
    pub fn used(&self) -> usize {
        let workers = self.workers.borrow();
        workers.values().map(|slots| slots.used).sum()
    }

    fn release(&self, worker: SocketAddr) {
        let mut workers = self.workers.borrow_mut();
        let Some(slots) = workers.get_mut(&worker) else {
            return;
        };
        while let Some(next) = slots.waiting.pop_front() {
            // Hands the slot over, unless that order has given up.
            if next.send(()).is_ok() {
                return;
            }
        }
        slots.used -= 1;
        if slots.used == 0 {
            workers.swap_remove(&worker);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release(self.worker);
    }
}
