//! Events in the order of their times.

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
    /// Reversed, since the heap gives its greatest entry first.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.key().cmp(&self.key())
    }
}

/// Events to come; those of the same time in the order in which they were added.
#[derive(Debug)]
pub(super) struct Timeline<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
}

impl<E> Timeline<E> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub(super) fn add(&mut self, at_us: u64, event: E) {
        self.sequence += 1;
        self.heap.push(Entry {
            at_us,
            sequence: self.sequence,
            event,
        });
    }

    pub(super) fn next(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|entry| (entry.at_us, entry.event))
    }
}
