//! Time-ordered queue of simulation events.

use std::cmp;
use std::collections::BinaryHeap;

#[derive(Debug)]
struct Entry<E> {
    at_us: u64,
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn key(&self) -> (u64, u64) {
        (self.at_us, self.sequence)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed, because `BinaryHeap` is a max-heap.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.key().cmp(&self.key())
    }
}

/// Pending events. Events at the same time are returned in insertion order.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub(super) fn push(&mut self, at_us: u64, event: E) {
        self.sequence += 1;
        self.heap.push(Entry {
            at_us,
            sequence: self.sequence,
            event,
        });
    }

    pub(super) fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|entry| (entry.at_us, entry.event))
    }
}
