//! What is left of a worker that leaves, and what a successor needs to know of it.

use crate::workers::Worker;

/// Removal of a worker's entry sooner after its last write than it could have lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// Longest time that can have passed between the last write and the removal, in milliseconds.
    pub entry_age_ms: u64,
    /// When the removal was seen, in milliseconds of the local clock.
    pub seen_ms: u64,
}

impl Worker {
    /// Whether the worker is draining and has no run, no order that may still arrive, and no end that
    /// is not durable, provided that it has reported all its ends.
    pub fn is_drained(&self, now_ms: u64) -> bool {
        self.entry.draining
            && self.fenced
            && self.runs.is_empty()
            && self.processed_end == self.durable_end
            && !self.has_pending_orders(now_ms)
    }

    /// Whether the worker does not answer and every hold and order granted to it has expired. Nothing
    /// but an order without a response may be left, which a later process may execute.
    pub fn has_lapsed(&self, now_ms: u64) -> bool {
        self.unresponsive && self.has_certainly_expired(now_ms)
    }

    /// The same for a worker of which not even that is left.
    pub fn is_spent(&self, now_ms: u64) -> bool {
        self.has_lapsed(now_ms) && self.runs.is_empty() && !self.has_pending_orders(now_ms)
    }

    /// The withdrawal of the worker's entry, if that shows that the worker has left.
    pub fn departure(&self) -> Option<Withdrawal> {
        let has_departed = self.entry.draining && !self.listed && self.unresponsive;
        self.withdrawal.filter(|_| has_departed)
    }

    /// Whether a list of the worker's runs is complete for a successor: no further run is placed on it,
    /// and the effects of all its processed ends are durable, or no longer count.
    fn has_closed(&self, now_ms: u64) -> bool {
        let is_draining = self.entry.draining && self.fenced;
        (is_draining && self.processed_end == self.durable_end) || self.has_lapsed(now_ms)
    }

    /// Updates the list of runs that a successor needs. It is renewed only once it has become much
    /// too long, since each change of it is written to the store.
    pub(crate) fn close_runs(&mut self, now_ms: u64) {
        let listed = self.closed_runs.as_ref().map(Vec::len);
        if self.has_closed(now_ms)
            && listed.is_none_or(|listed| 2 * self.runs.len() <= listed && listed > 0)
        {
            let runs = self.runs.iter().map(|(&task, run)| (task, run.run));
            self.closed_runs = Some(runs.collect());
        }
    }

    /// Allows further runs to be placed on the worker once the durable roster has no list of its runs
    /// any more.
    pub(crate) fn reopen(&mut self) {
        if self.closed_runs.take().is_some() {
            self.in_roster = false;
        }
    }

    /// Whether the worker is no longer listed and nothing is left of it, not even an order that may
    /// still reach a process started later under the same identifier.
    pub fn is_gone(&self, now_ms: u64) -> bool {
        !self.listed
            && self.unresponsive
            && (!self.fenced || self.has_certainly_expired(now_ms))
            && self.runs.is_empty()
            && !self.has_pending_orders(now_ms)
    }
}
