//! Store health, and the handling of requests while the store is unavailable.
//!
//! A job is accepted by a write to the store. If the write gets no response, the client cannot be
//! told whether the job was accepted, which is the worst outcome for it. So a host does not write
//! to a store that appears unavailable, and asks callers to retry later. Callers retry until the
//! time that remains allows no further attempt; that last request waits, since the store may
//! recover before its deadline.

use indexmap::IndexMap;

/// Multiple of the typical latency after which a call is overdue.
const OVERDUE_FACTOR: u64 = 4;
/// Minimum time after which a call is overdue, in milliseconds. Covers scheduling pauses of a host
/// that has only a small share of a core.
const MIN_OVERDUE_MS: u64 = 150;
/// Consecutive failures after which the store is unavailable, if they span
/// [`UNAVAILABLE_AFTER_MS`].
const UNAVAILABLE_MIN_FAILURES: u32 = 2;
/// Minimum time since the first of those failures, in milliseconds.
const UNAVAILABLE_AFTER_MS: u64 = 250;
/// Retry delay given to callers, in milliseconds: the smallest non-zero value of the `Retry-After`
/// header.
const RETRY_AFTER_MS: u64 = 1_000;
/// Time that must remain after the retry delay to serve the request, in milliseconds.
const REQUEST_SERVICE_MS: u64 = 350;

/// How the store seems to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The store responds.
    Serving,
    /// A response is overdue, or a call has failed.
    Stalled,
    /// Several calls in a row have failed.
    Away,
}

/// Identifies a call until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallNumber(u64);

/// Tracks the health of the store from the outcomes of a host's calls.
#[derive(Debug, Default)]
pub struct StoreHealth {
    next_call: u64,
    /// Start time of each call in flight, in milliseconds.
    in_flight: IndexMap<CallNumber, u64>,
    /// Moving average of the latency, in milliseconds.
    usual_ms: u64,
    /// Lowest latency so far, in milliseconds.
    fastest_ms: Option<u64>,
    failures_in_a_row: u32,
    /// Time of the first of these failures, in milliseconds.
    failing_since_ms: u64,
    answered_ms: u64,
}

impl StoreHealth {
    /// Records that a call was sent.
    pub fn began(&mut self, now_ms: u64) -> CallNumber {
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        self.in_flight.insert(call, now_ms);
        call
    }

    /// Records the response to a call.
    pub fn answered(&mut self, call: CallNumber, now_ms: u64) {
        if let Some(started_ms) = self.in_flight.swap_remove(&call) {
            let took_ms = now_ms.saturating_sub(started_ms);
            self.usual_ms = (self.usual_ms * 3 + took_ms).div_ceil(4);
            self.fastest_ms = Some(self.fastest_ms.map_or(took_ms, |ms| ms.min(took_ms)));
        }
        self.serves(now_ms);
    }

    /// Records that the store works, for example after a response to a probe.
    pub fn serves(&mut self, now_ms: u64) {
        self.failures_in_a_row = 0;
        self.answered_ms = now_ms;
    }

    /// Records a failure of the store.
    pub fn fails(&mut self, now_ms: u64) {
        if self.failures_in_a_row == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures_in_a_row += 1;
    }

    /// Records that the caller abandoned a call, which says nothing about the store.
    pub fn dropped(&mut self, call: CallNumber) {
        self.in_flight.swap_remove(&call);
    }

    /// How the store seems to be.
    pub fn health(&self, now_ms: u64) -> Health {
        let failing_ms = now_ms.saturating_sub(self.failing_since_ms);
        if self.failures_in_a_row >= UNAVAILABLE_MIN_FAILURES && failing_ms >= UNAVAILABLE_AFTER_MS
        {
            return Health::Away;
        }
        let overdue_ms = (self.usual_ms * OVERDUE_FACTOR).max(MIN_OVERDUE_MS);
        // A response since the call began shows that the store works and only this call is late.
        let waiting_since_ms = self
            .in_flight
            .values()
            .map(|started_ms| (*started_ms).max(self.answered_ms));
        let overdue = waiting_since_ms
            .min()
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= overdue_ms);
        if self.failures_in_a_row > 0 || overdue {
            Health::Stalled
        } else {
            Health::Serving
        }
    }

    /// Number of failures since the last response.
    pub fn failures_in_a_row(&self) -> u32 {
        self.failures_in_a_row
    }

    /// Time of the first failure since the last response, in milliseconds.
    pub fn failing_since_ms(&self) -> u64 {
        self.failing_since_ms
    }

    /// Time of the last response, in milliseconds.
    pub fn answered_ms(&self) -> u64 {
        self.answered_ms
    }

    /// Moving average of the latency, in milliseconds.
    pub fn usual_ms(&self) -> u64 {
        self.usual_ms
    }

    /// Lowest latency so far, in milliseconds; `None` before the first response.
    pub fn fastest_ms(&self) -> Option<u64> {
        self.fastest_ms
    }
}

/// How a request is handled that cannot be served immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The request waits: the store may respond soon, or the caller has no time to retry.
    Wait,
    /// The request is rejected immediately and the caller is asked to retry.
    ComeBack {
        /// Retry delay, in milliseconds.
        after_ms: u64,
    },
}

/// Decides whether a request waits, given that its caller waits for another `left_ms` and nothing
/// of the request has been executed.
pub fn turn(health: Health, left_ms: u64) -> Turn {
    let can_retry = left_ms >= RETRY_AFTER_MS + REQUEST_SERVICE_MS;
    if left_ms == 0 || (health == Health::Away && can_retry) {
        Turn::ComeBack {
            after_ms: RETRY_AFTER_MS,
        }
    } else {
        Turn::Wait
    }
}
