//! What the owner knows about its exchange with one worker.

use indexmap::{IndexMap, IndexSet};
use kernel::ids;
use platform::workers;

/// Exchanges that may fail in a row before the worker is left alone until its leases end.
const FAILURE_LIMIT: u32 = 3;
const RETRY_INTERVAL_MS: u64 = 250;

/// For how long a request extends the leases of a worker's tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseTime {
    /// As the worker counts it, from the receipt of the request.
    pub granted_ms: u64,
    /// As the owner counts it, from the sending, with the drift of the clocks.
    pub end_ms: u64,
}

/// A run that the owner believes to be on a worker.
#[derive(Clone, Debug)]
pub(super) struct LinkedRun {
    /// The order under which it runs.
    pub order: workers::StartOrder,
    /// Whether the worker has ever listed it.
    pub seen: bool,
}

/// What is known of a worker that does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// It has not been asked since all its leases have ended.
    Unasked,
    /// It is being asked.
    Probed,
    /// It did not answer.
    Lost,
}

/// The exchange with one worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    /// The worker as last listed.
    pub info: workers::WorkerInfo,
    /// Whether the worker has answered under this owner's epoch.
    pub confirmed: bool,
    /// Whether the worker is in the newest list.
    pub listed: bool,
    /// Runs that the owner believes to be on the worker.
    pub runs: IndexMap<ids::TaskAttempt, LinkedRun>,
    /// Ends that the worker reported before the group had recovered.
    pub ends_at_recovery: Vec<workers::FinishedRun>,
    /// Orders to send.
    pub starts: Vec<workers::StartOrder>,
    /// Orders to send.
    pub stops: Vec<workers::StopOrder>,
    /// Ends that are durable and need not be reported again.
    pub acknowledged: IndexSet<ids::TaskAttempt>,
    /// Digest of the running list in the last reply.
    pub known_digest: Option<u64>,
    in_flight: bool,
    due_at_ms: u64,
    failures: u32,
    silence: Silence,
    leases_end_at_ms: u64,
    sequence: u64,
}

impl WorkerLink {
    /// A link to a worker that has not answered yet; its leases may last until the given time.
    ///
    /// The sequence of requests starts at the owner's clock, so that it goes on rising when a link is made anew.
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
            ends_at_recovery: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            acknowledged: IndexSet::new(),
            known_digest: None,
            in_flight: false,
            due_at_ms: now_ms,
            failures: 0,
            silence: Silence::Unasked,
            leases_end_at_ms,
            sequence: now_ms,
        }
    }

    /// Whether an exchange should be started now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        if self.in_flight {
            return false;
        }
        let has_orders = !self.starts.is_empty() || !self.stops.is_empty();
        now_ms >= self.due_at_ms || (has_orders && self.failures == 0)
    }

    /// The next request, and notes that it is on its way.
    ///
    /// The leases are counted from now on: should the reply be lost, the worker
    /// may have extended them. A worker that was left alone until its leases had
    /// ended is probed: the request extends nothing and starts nothing, and the
    /// worker can still say how its runs ended.
    pub fn take_request(
        &mut self,
        epoch: ids::Epoch,
        now_ms: u64,
        lease: LeaseTime,
    ) -> workers::SyncRequest {
        self.in_flight = true;
        self.sequence += 1;
        let probing = self.failures >= FAILURE_LIMIT && now_ms >= self.leases_end_at_ms;
        self.silence = if probing {
            Silence::Probed
        } else {
            Silence::Unasked
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
        self.leases_end_at_ms = self.leases_end_at_ms.max(now_ms + lease.end_ms);
        let starts = std::mem::take(&mut self.starts);
        for order in &starts {
            let linked = LinkedRun {
                order: order.clone(),
                seen: false,
            };
            self.runs.insert(order.run.clone(), linked);
        }
        workers::SyncRequest {
            lease_ms: lease.granted_ms,
            starts,
            ..request
        }
    }

    /// Notes a reply.
    pub fn succeeded(&mut self, now_ms: u64, interval_ms: u64) {
        self.in_flight = false;
        self.failures = 0;
        self.due_at_ms = now_ms + interval_ms;
    }

    /// Notes a failure. After a few in a row the worker is left alone until its
    /// leases have ended, because every further request might extend them.
    pub fn failed(&mut self, now_ms: u64) {
        self.in_flight = false;
        self.failures += 1;
        if self.silence == Silence::Probed {
            self.silence = Silence::Lost;
        }
        self.due_at_ms = if self.failures >= FAILURE_LIMIT {
            self.leases_end_at_ms.max(now_ms + RETRY_INTERVAL_MS)
        } else {
            now_ms + RETRY_INTERVAL_MS
        };
    }

    /// Whether the worker did not even answer after all its leases had ended.
    pub fn is_lost(&self) -> bool {
        self.silence == Silence::Lost
    }

    /// Whether the worker fails to answer.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
