//! Limits on concurrent orders to workers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::{FutureExt, future};
use hickorychute_entry::worker_slots::{Slot, WorkerSlots};

const WAIT: Duration = Duration::from_secs(5);

fn worker(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn take(slots: &Rc<WorkerSlots>, number: u16, count: usize) -> Vec<Slot> {
    let mut taken = Vec::new();
    for _ in 0..count {
        // A slot that is not free at once is not waited for.
        let slot = slots.acquire(worker(number), WAIT).now_or_never();
        taken.extend(slot.flatten());
    }
    taken
}

/// Guards against orders to one worker that take the connections of all others.
#[tokio::test]
async fn each_worker_has_slots_of_its_own() {
    struct Case {
        name: &'static str,
        max_connections: usize,
        /// Orders to each worker, and how many of them get a slot.
        workers: &'static [(usize, usize)],
    }
    let cases = [
        Case {
            name: "one worker has at most half of the connections that it accepts",
            max_connections: 500,
            workers: &[(100, 32)],
        },
        Case {
            name: "the next ones share the rest",
            max_connections: 40,
            workers: &[(100, 32), (100, 20), (100, 13)],
        },
        Case {
            name: "each has some, however many there are",
            max_connections: 4,
            workers: &[(9, 4), (9, 2), (9, 2), (9, 2)],
        },
    ];
    for case in cases {
        let slots = WorkerSlots::new(case.max_connections);
        let mut held = Vec::new();
        for (number, &(orders, expected)) in case.workers.iter().enumerate() {
            let taken = take(&slots, number as u16, orders);
            assert_eq!(taken.len(), expected, "{}, worker {number}", case.name);
            held.push(taken);
        }
        drop(held);
        assert_eq!(slots.used(), 0, "{}", case.name);
    }
}

/// Guards against slots that are lost with an order that gave up, and against orders that overtake.
#[tokio::test]
async fn a_slot_goes_to_the_order_that_has_waited_for_longest() {
    let slots = WorkerSlots::new(2);
    let mut held = take(&slots, 1, 2);
    assert_eq!(held.len(), 2);
    let gives_up = slots.acquire(worker(1), Duration::ZERO);
    assert!(gives_up.await.is_none());
    let mut first = slots.acquire(worker(1), WAIT).boxed_local();
    let mut second = slots.acquire(worker(1), WAIT).boxed_local();
    assert!(future::poll_immediate(&mut first).await.is_none());
    assert!(future::poll_immediate(&mut second).await.is_none());
    held.pop();
    let first = first.await;
    assert!(first.is_some());
    assert!(future::poll_immediate(&mut second).await.is_none());
    drop((held, first));
    assert!(second.await.is_some());
    assert_eq!(slots.used(), 0);
}
