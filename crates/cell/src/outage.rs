//! Store health, and the handling of requests while the store is unavailable.
//!
//! A job is accepted by a write to the store. If the write gets no response, the client cannot be
//! told whether the job was accepted, which is the worst outcome for it. So a host does not write
//! to a store that appears unavailable, and asks callers to retry later. Once the time that remains
//! allows no named delay, a request waits briefly, since the store may recover, and is then
//! rejected; the caller may retry at its own pace until its deadline.

use crate::collections::IndexMap;

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
/// Maximum time for which a request waits without time for a named delay, in milliseconds.
const MAX_LAST_WAIT_MS: u64 = 250;
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
    Unavailable,
}

/// Identifies a call until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallId(u64);

/// Tracks the health of the store from the outcomes of a host's calls.
#[derive(Debug, Default)]
pub struct StoreHealth {
    next_call: u64,
    /// Start time of each call in flight, in milliseconds.
    in_flight: IndexMap<CallId, u64>,
    /// Moving average of the latency, in milliseconds.
    average_latency_ms: u64,
    /// Lowest latency so far, in milliseconds.
    min_latency_ms: Option<u64>,
    consecutive_failures: u32,
    /// Time of the first of these failures, in milliseconds.
    failing_since_ms: u64,
    last_response_ms: u64,
}

impl StoreHealth {
    /// Records that a call was sent.
    pub fn call_started(&mut self, now_ms: u64) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.in_flight.insert(call, now_ms);
        call
    }

    /// Records the response to a call.
    pub fn call_succeeded(&mut self, call: CallId, now_ms: u64) {
        if let Some(started_ms) = self.in_flight.swap_remove(&call) {
            let took_ms = now_ms.saturating_sub(started_ms);
            self.average_latency_ms = (self.average_latency_ms * 3 + took_ms).div_ceil(4);
            self.min_latency_ms = Some(self.min_latency_ms.map_or(took_ms, |ms| ms.min(took_ms)));
        }
        self.record_success(now_ms);
    }

    /// Records that the store works, for example after a response to a probe.
    pub fn record_success(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
        self.last_response_ms = now_ms;
    }

    /// Records a failure of the store.
    pub fn record_failure(&mut self, now_ms: u64) {
        if self.consecutive_failures == 0 {
            self.failing_since_ms = now_ms;
        }
        self.consecutive_failures += 1;
    }

    /// Records that the caller abandoned a call, which says nothing about the store.
    pub fn call_abandoned(&mut self, call: CallId) {
        self.in_flight.swap_remove(&call);
    }

    /// How the store seems to be.
    pub fn health(&self, now_ms: u64) -> Health {
        let failing_ms = now_ms.saturating_sub(self.failing_since_ms);
        if self.consecutive_failures >= UNAVAILABLE_MIN_FAILURES
            && failing_ms >= UNAVAILABLE_AFTER_MS
        {
            return Health::Unavailable;
        }
        let overdue_ms = (self.average_latency_ms * OVERDUE_FACTOR).max(MIN_OVERDUE_MS);
        // A response since the call began shows that the store works and only this call is late.
        let waiting_since_ms = self
            .in_flight
            .values()
            .map(|started_ms| (*started_ms).max(self.last_response_ms));
        let overdue = waiting_since_ms
            .min()
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= overdue_ms);
        if self.consecutive_failures > 0 || overdue {
            Health::Stalled
        } else {
            Health::Serving
        }
    }

    /// Number of failures since the last response.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Time of the first failure since the last response, in milliseconds.
    pub fn failing_since_ms(&self) -> u64 {
        self.failing_since_ms
    }

    /// Time of the last response, in milliseconds.
    pub fn last_response_ms(&self) -> u64 {
        self.last_response_ms
    }

    /// Moving average of the latency, in milliseconds.
    pub fn average_latency_ms(&self) -> u64 {
        self.average_latency_ms
    }

    /// Lowest latency so far, in milliseconds; `None` before the first response.
    pub fn min_latency_ms(&self) -> Option<u64> {
        self.min_latency_ms
    }
}

/// How a request is handled that cannot be served immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestDecision {
    /// The request waits: the store may respond soon, or the caller has no time to retry.
    Wait,
    /// The request is rejected immediately and the caller is asked to retry.
    RetryAfter {
        /// Retry delay, in milliseconds.
        after_ms: u64,
    },
    /// The request is rejected immediately. The shortest delay that can be named would end after
    /// the caller's deadline, so none is: the caller retries at its own pace.
    Reject,
}

/// Decides whether a request waits, given that it has waited for `waited_ms`, that its caller waits
/// for another `left_ms`, and that nothing of the request has been executed.
///
/// A caller without time for a named delay is held only briefly: the store may be away for much
/// longer, and an answer lets the caller turn elsewhere.
pub fn decide_request(health: Health, waited_ms: u64, left_ms: u64) -> RequestDecision {
    let can_retry = left_ms >= RETRY_AFTER_MS + REQUEST_SERVICE_MS;
    match health {
        _ if left_ms == 0 => RequestDecision::Reject,
        Health::Unavailable if can_retry => RequestDecision::RetryAfter {
            after_ms: RETRY_AFTER_MS,
        },
        Health::Unavailable if waited_ms >= MAX_LAST_WAIT_MS => RequestDecision::Reject,
        _ => RequestDecision::Wait,
    }
}
