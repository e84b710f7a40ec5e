//! State of the connection between a group's owner and one worker.

use indexmap::{IndexMap, IndexSet};
use kernel::ids;
use platform::workers;

/// Consecutive failed exchanges after which the owner sends no more requests until the
/// worker's leases have expired.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Delay before the next request after a failed exchange.
const RETRY_DELAY_MS: u64 = 250;

/// Duration by which a request extends the leases of a worker's tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseDuration {
    /// Lease duration on the worker's clock, from receipt of the request.
    pub granted_ms: u64,
    /// Time until expiry on the owner's clock, from the end of the exchange, including clock
    /// drift.
    pub expiry_ms: u64,
}

/// A run that, in the owner's view, is on a worker.
#[derive(Clone, Debug)]
pub(super) struct LinkedRun {
    /// The start order of the run.
    pub order: workers::StartOrder,
    /// Whether the worker has listed the run at least once.
    pub was_listed: bool,
}

/// Progress of probing a worker whose leases have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// No probe has been sent since its leases expired, or the worker is healthy.
    Idle,
    /// A probe is in flight.
    InFlight,
    /// The probe failed.
    Failed,
}

/// Connection of a group's owner to one worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    /// The worker's last entry in the platform's list or the roster.
    pub info: workers::WorkerInfo,
    /// Whether the worker has answered a request with this owner's epoch.
    pub confirmed: bool,
    /// Whether the worker is in the platform's latest list.
    pub listed: bool,
    /// Runs that, in the owner's view, are on the worker.
    pub runs: IndexMap<ids::TaskAttempt, LinkedRun>,
    /// Ends reported by the worker before the group's recovery finished.
    pub deferred_ends: Vec<workers::FinishedRun>,
    /// Start orders to send with the next request.
    pub starts: Vec<workers::StartOrder>,
    /// Stop orders to send with the next request.
    pub stops: Vec<workers::StopOrder>,
    /// Ends that are durable, to be acknowledged in the next request so that the worker stops
    /// reporting them.
    pub acknowledged: IndexSet<ids::TaskAttempt>,
    /// Digest of the list of runs in the last reply; `None` requests the complete list.
    pub known_digest: Option<u64>,
    in_flight: bool,
    due_at_ms: u64,
    failures: u32,
    probe_state: ProbeState,
    leases_end_at_ms: u64,
    /// Lease granted by the request in flight.
    lease_in_flight: Option<LeaseDuration>,
    sequence: u64,
}

impl WorkerLink {
    /// Creates the link to a worker that has not answered yet and whose leases may last until
    /// `leases_end_at_ms`.
    ///
    /// Request sequence numbers start at the owner's clock, so that they keep increasing when
    /// a link is recreated.
    pub fn new(
        info: workers::WorkerInfo,
        listed: bool,
        now_ms: u64,
        leases_end_at_ms: u64,
    ) -> Self {
        Self {
            info,
            confirmed: false,
            listed,
            runs: IndexMap::new(),
            deferred_ends: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            acknowledged: IndexSet::new(),
            known_digest: None,
            in_flight: false,
            due_at_ms: now_ms,
            failures: 0,
            probe_state: ProbeState::Idle,
            leases_end_at_ms,
            lease_in_flight: None,
            sequence: now_ms,
        }
    }

    /// Whether a request should be sent now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        if self.in_flight {
            return false;
        }
        let has_orders = !self.starts.is_empty() || !self.stops.is_empty();
        now_ms >= self.due_at_ms || (has_orders && self.failures == 0)
    }

    /// Builds the next request and marks it as in flight.
    ///
    /// A worker that got no requests until its leases expired is probed: the request extends
    /// no lease and starts nothing, but the worker can still report how its runs ended.
    pub fn take_request(
        &mut self,
        epoch: ids::Epoch,
        now_ms: u64,
        lease: LeaseDuration,
    ) -> workers::SyncRequest {
        self.in_flight = true;
        self.sequence += 1;
        let probing = self.failures >= MAX_CONSECUTIVE_FAILURES && now_ms >= self.leases_end_at_ms;
        self.probe_state = if probing {
            ProbeState::InFlight
        } else {
            ProbeState::Idle
        };
        let request = workers::SyncRequest {
            epoch,
            sequence: self.sequence,
            known_digest: self.known_digest,
            stops: std::mem::take(&mut self.stops),
            acknowledged: std::mem::take(&mut self.acknowledged).into_iter().collect(),
            ..workers::SyncRequest::default()
        };
        if probing {
            return request;
        }
        self.lease_in_flight = Some(lease);
        let starts = std::mem::take(&mut self.starts);
        for order in &starts {
            let linked = LinkedRun {
                order: order.clone(),
                was_listed: false,
            };
            self.runs.insert(order.run.clone(), linked);
        }
        workers::SyncRequest {
            lease_ms: lease.granted_ms,
            starts,
            ..request
        }
    }

    /// Records a reply and schedules the next exchange.
    pub fn record_success(&mut self, now_ms: u64, interval_ms: u64) {
        self.extend_leases(now_ms);
        self.in_flight = false;
        self.failures = 0;
        self.due_at_ms = now_ms + interval_ms;
    }

    /// Records that a request was certainly not applied, so that it extended no lease.
    pub fn record_not_sent(&mut self, now_ms: u64) {
        self.lease_in_flight = None;
        self.record_failure(now_ms);
    }

    /// Records a failed exchange whose request may have been applied.
    pub fn record_reply_lost(&mut self, now_ms: u64) {
        self.extend_leases(now_ms);
        self.record_failure(now_ms);
    }

    /// Counts the leases granted by a finished exchange.
    ///
    /// The worker counts them from the receipt of the request, which may be any time before the
    /// exchange ended.
    fn extend_leases(&mut self, now_ms: u64) {
        if let Some(lease) = self.lease_in_flight.take() {
            self.leases_end_at_ms = self.leases_end_at_ms.max(now_ms + lease.expiry_ms);
        }
    }

    /// After `MAX_CONSECUTIVE_FAILURES` no requests are sent until the worker's leases have
    /// expired, because every further request might extend them.
    fn record_failure(&mut self, now_ms: u64) {
        self.in_flight = false;
        self.failures += 1;
        if self.probe_state == ProbeState::InFlight {
            self.probe_state = ProbeState::Failed;
        }
        self.due_at_ms = if self.failures >= MAX_CONSECUTIVE_FAILURES {
            self.leases_end_at_ms.max(now_ms + RETRY_DELAY_MS)
        } else {
            now_ms + RETRY_DELAY_MS
        };
    }

    /// Whether the worker failed to answer a probe after all its leases had expired.
    pub fn is_lost(&self) -> bool {
        self.probe_state == ProbeState::Failed
    }

    /// Whether every lease on the worker has expired, those that this owner granted included.
    pub const fn leases_expired(&self, now_ms: u64) -> bool {
        self.lease_in_flight.is_none() && now_ms >= self.leases_end_at_ms
    }

    /// Whether the last exchange failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
