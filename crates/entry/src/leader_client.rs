//! Requests to the leader, with direct store access as the fallback.
//!
//! A client request goes to the leader first, which answers from memory and commits for all hosts
//! together. If there is no answer, the host uses the store directly: the store alone decides
//! whether a job is accepted or cancelled, and repeating either changes nothing.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use adapter::store::{Committed, Item, StoreError, Txn};
use cell::{
    credentials::Caller,
    footprint::{self, MemoryBudget},
    ids::JobId,
    jobs::JobRecord,
    outage::{self, Health, RequestDecision},
    quota::{self, LimitExcess},
};
use indexmap::IndexSet;
use prost::Message;
use tokio::time;

use crate::{
    client_limits,
    key_checks::{Denial, Grant, KeyChecks},
    leader::{LeaderSlot, TOO_LARGE},
    live::LiveSettings,
    members::Members,
    operator_config::OperatorConfig,
    payloads::PayloadCache,
    peers::{Body, PeerError, Peers, SubmitCall, SubmitReply, WrittenJob},
    records::{self, ACCEPTED_PREFIX, LEADER_KEY},
    store::GuardedStore,
};

/// Timeout of a call to the leader before the host uses the store directly. Covers the latency
/// between regions and a commit to a slow store.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time limit for a direct write to the store while the leader answers but cannot commit.
const STORE_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a host writes all its jobs directly after the leader's link was saturated.
const DIRECT_WRITE_PERIOD: Duration = Duration::from_secs(2);
/// Part of a coordinator's memory for jobs that each host may write directly in a period: one byte in
/// this many.
const DIRECT_WRITES_PART: u64 = 8;
/// Period of that limit.
const DIRECT_BUDGET_PERIOD: Duration = Duration::from_secs(3);
/// Timeout for notifying the leader of a job that it let this host write.
const WRITTEN_NOTICE_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the leader is called again during a store outage.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Minimum remaining time for an attempt; with less, the client leaves before the response.
const MIN_TIME_LEFT: Duration = Duration::from_millis(150);

/// Maximum number of in-doubt jobs remembered by a host. Callers retry within seconds, and this is
/// more than arrive in an outage of 10 s at the two-year size.
const MAX_IN_DOUBT_JOBS: usize = 4_096;

/// Timeout for asking another host for the leader.
const LEADER_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is accepted and durable.
    Accepted,
    /// The job is not accepted; the caller may retry.
    Refused {
        /// Time until the backlog is expected to have shrunk enough, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job is not accepted, because no worker or its tenant could ever run it.
    NeverFits {
        /// Why, for the client; empty if no worker could.
        reason: String,
    },
    /// The job was cancelled before it was accepted, and never will be.
    Cancelled,
    /// Neither the leader nor the store processed the request.
    Unavailable,
    /// The store is unavailable and nothing was written; the caller may retry.
    StoreAway {
        /// Time after which another attempt fits before the caller's deadline, in milliseconds;
        /// `None` if none fits that can be named.
        retry_after_ms: Option<u64>,
    },
    /// The job may have been accepted; a retry will tell.
    InDoubt,
    /// The job is not accepted, on account of the key of the call.
    Denied(Denial),
}

impl SubmitReply {
    fn outcome(self) -> SubmitOutcome {
        if self.unauthorised {
            return SubmitOutcome::Denied(Denial::Unauthorised);
        }
        match (self.accepted, self.retry_after_ms) {
            (true, _) => SubmitOutcome::Accepted,
            (false, 0) => SubmitOutcome::NeverFits {
                reason: self.reason,
            },
            (false, retry_after_ms) => SubmitOutcome::Refused { retry_after_ms },
        }
    }
}

/// Result of a client's query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<T> {
    /// The requested value.
    Is(T),
    /// The job does not exist.
    Missing,
    /// Neither the leader nor the store answered.
    Unavailable,
    /// The call is refused on account of its key, and had no effect.
    Denied(Denial),
}

/// Builds the transaction that accepts a job directly in the store, and the record that it writes.
fn accept_txn(record: &JobRecord) -> (JobRecord, Txn) {
    let id = JobId(record.id);
    let key = records::job_key(id);
    let mut record = record.clone();
    let payload = records::take_payload(&mut record);
    let txn = Txn::default()
        .expect(&key, 0)
        .put(&key, &record.encode_to_vec(), 0)
        .put(&records::payload_key(id), payload.as_bytes(), 0)
        .put(&format!("{ACCEPTED_PREFIX}{id}"), &[], 0);
    (record, txn)
}

/// Whether the item is the record of a job that was cancelled before it was accepted.
pub(crate) fn is_cancelled_unaccepted(item: &Item) -> bool {
    let record = JobRecord::decode(item.value.as_slice());
    record.is_ok_and(|record| !record.was_accepted())
}

/// A submission with the key of its caller and no other content.
fn submit_call(grant: &Grant) -> SubmitCall {
    let Caller::Tenant(claim) = &grant.caller else {
        return SubmitCall::default();
    };
    SubmitCall {
        key_digest: claim.digest.as_bytes().to_vec(),
        config_version: claim.config_version,
        ..SubmitCall::default()
    }
}

/// Sends client requests to the leader or the store.
#[derive(Debug)]
pub struct LeaderClient {
    /// This host's own leader, during its term.
    pub leader: LeaderSlot,
    /// Live hosts and the current leader.
    pub members: Rc<Members>,
    /// Connections to the other hosts.
    pub peers: Rc<Peers>,
    /// Client of the platform's store.
    pub store: GuardedStore,
    /// Checks the keys of calls before writes.
    pub key_checks: Rc<KeyChecks>,
    /// Jobs that this host left in doubt, oldest first: a retry of such a job must not be refused.
    pub in_doubt: RefCell<IndexSet<JobId>>,
    /// Payloads of jobs that this host received from clients.
    pub payloads: Rc<PayloadCache>,
    /// The operators' configuration in effect.
    pub operator_config: Rc<OperatorConfig>,
    /// Current settings of the host.
    pub settings: Rc<LiveSettings>,
    /// Memory of the jobs that this host has written directly, in bytes, in the period that ends at this
    /// time.
    pub direct_writes: Cell<(Instant, u64)>,
    /// Until this time payloads are not sent to the leader, whose link is saturated.
    pub direct_write_until: Cell<Instant>,
}

impl LeaderClient {
    /// The leader's address for log lines: `here` on the leader itself, `none` if it is unknown.
    pub fn leader_name(&self) -> String {
        if self.leader.borrow().is_some() {
            return "here".to_owned();
        }
        let address = self.members.leader_address();
        address.map_or("none".to_owned(), |address| address.to_string())
    }

    pub(crate) async fn call_leader(
        &self,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        let own = self.leader.borrow().clone();
        if let Some(leader) = own {
            let answer = time::timeout(timeout, leader.answer(body)).await;
            return answer.map_err(|_| PeerError::Unanswered);
        }
        let known = self.members.leader_address();
        let mut answer = match known {
            Some(address) => self.peers.call(address, body.clone(), timeout).await,
            None => Err(PeerError::NotSent),
        };
        let nothing_done = matches!(answer, Ok(Body::NotHandled(true)) | Err(PeerError::NotSent));
        if nothing_done
            && self.store.is_unavailable()
            && let Some(address) = self.find_leader(known).await
        {
            answer = self.peers.call(address, body, timeout).await;
        }
        answer
    }

    /// Asks other hosts for the leader while the store is unavailable.
    async fn find_leader(&self, known: Option<SocketAddr>) -> Option<SocketAddr> {
        for host in self.members.hosts().into_values() {
            let call = self
                .peers
                .call(host.address, Body::GetLeader(true), LEADER_QUERY_TIMEOUT);
            let Ok(Body::LeaderInfo(leader)) = call.await else {
                continue;
            };
            let found = leader
                .address
                .parse()
                .ok()
                .filter(|address| Some(*address) != known);
            if let Some(address) = found {
                self.members.set_leader_from_peer(address);
                return Some(address);
            }
        }
        None
    }

    /// Whether an earlier attempt at a job through this host is in doubt.
    pub fn is_in_doubt(&self, id: JobId) -> bool {
        self.in_doubt.borrow().contains(&id)
    }

    /// Submits a job. A refusal becomes [`SubmitOutcome::InDoubt`] if an earlier attempt at the
    /// same job is in doubt.
    pub async fn submit(
        &self,
        record: &JobRecord,
        grant: &Grant,
        client_timeout: Duration,
    ) -> SubmitOutcome {
        let id = JobId(record.id);
        let mut outcome = self.try_submit(record, grant, client_timeout).await;
        if outcome == SubmitOutcome::Accepted
            && self.key_checks.check_answer(&record.queue, grant).is_err()
        {
            // The key may have been revoked too long ago for success, and a refusal would be wrong.
            outcome = SubmitOutcome::InDoubt;
        }
        let mut in_doubt = self.in_doubt.borrow_mut();
        match outcome {
            SubmitOutcome::InDoubt => {
                in_doubt.insert(id);
                if in_doubt.len() > MAX_IN_DOUBT_JOBS {
                    in_doubt.shift_remove_index(0);
                }
            }
            SubmitOutcome::Accepted | SubmitOutcome::Cancelled => {
                in_doubt.shift_remove(&id);
            }
            SubmitOutcome::Refused { .. }
            | SubmitOutcome::NeverFits { .. }
            | SubmitOutcome::Unavailable
            | SubmitOutcome::Denied(_)
            | SubmitOutcome::StoreAway { .. } => {
                if in_doubt.contains(&id) {
                    return SubmitOutcome::InDoubt;
                }
            }
        }
        outcome
    }

    /// Retries until the job is answered or the caller's time runs out. Nothing is written directly
    /// to a store that does not answer.
    async fn try_submit(
        &self,
        record: &JobRecord,
        grant: &Grant,
        client_timeout: Duration,
    ) -> SubmitOutcome {
        let deadline = Instant::now() + client_timeout;
        let left = || deadline.saturating_duration_since(Instant::now());
        let started = Instant::now();
        let waited_ms = || started.elapsed().as_millis() as u64;
        if let Some(spec) = &record.spec {
            // The limit is the same on all hosts, unlike that on memory.
            if footprint::record_bytes(spec) > self.memory_budget().record_bytes {
                return SubmitOutcome::NeverFits {
                    reason: TOO_LARGE.to_owned(),
                };
            }
            self.payloads.cache(JobId(record.id), &spec.payload);
        }
        loop {
            if left() < MIN_TIME_LEFT {
                return SubmitOutcome::Unavailable;
            }
            if let Err(denial) = self.key_checks.check_again(&record.queue, grant) {
                return SubmitOutcome::Denied(denial);
            }
            let without_payload = Instant::now() < self.direct_write_until.get();
            let mut sent_record = record.clone();
            if without_payload {
                let _payload = records::take_payload(&mut sent_record);
            }
            let call = SubmitCall {
                record: Some(sent_record),
                without_payload,
                client_timeout_ms: left().as_millis() as u64,
                waited_ms: waited_ms(),
                ..submit_call(grant)
            };
            let asked = self.call_leader(Body::Submit(call), LEADER_TIMEOUT.min(left()));
            let (leader_reachable, in_doubt) = match asked.await {
                Ok(Body::SubmitReply(submitted)) => return submitted.outcome(),
                Ok(Body::StoreAway(_)) => (true, false),
                Ok(Body::WriteDirectly(fence)) => {
                    if !without_payload {
                        self.direct_write_until
                            .set(Instant::now() + DIRECT_WRITE_PERIOD);
                    }
                    match self.write_for_leader(record, grant, fence).await {
                        Some(true) => return SubmitOutcome::Accepted,
                        Some(false) => (true, false),
                        None => (true, true),
                    }
                }
                Ok(Body::NotHandled(true)) | Err(PeerError::NotSent) => (false, false),
                _ => (false, true),
            };
            if in_doubt || self.store.is_answering().await {
                let time_limit = if leader_reachable {
                    STORE_WRITE_TIMEOUT.min(left())
                } else {
                    left()
                };
                let written = self.submit_to_store(record, grant, time_limit, in_doubt);
                match written.await {
                    SubmitOutcome::Unavailable => {}
                    outcome => return outcome,
                }
            }
            let health = match self.store.health() {
                Health::Serving if leader_reachable => Health::Stalled,
                health => health,
            };
            let left_ms = left().as_millis() as u64;
            match outage::decide_request(health, waited_ms(), left_ms) {
                RequestDecision::Wait => {}
                RequestDecision::RetryAfter { after_ms } => {
                    return SubmitOutcome::StoreAway {
                        retry_after_ms: Some(after_ms),
                    };
                }
                RequestDecision::Reject => {
                    return SubmitOutcome::StoreAway {
                        retry_after_ms: None,
                    };
                }
            }
            self.store.recovered(LEADER_RETRY_DELAY.min(left())).await;
        }
    }

    /// Writes a job that the leader has admitted, and notifies the leader. False if nothing was
    /// written, `None` if that is not known.
    async fn write_for_leader(
        &self,
        record: &JobRecord,
        grant: &Grant,
        fence: u64,
    ) -> Option<bool> {
        let is_denied = self.key_checks.check_again(&record.queue, grant).is_err();
        if is_denied || self.store.health() != Health::Serving {
            return Some(false);
        }
        let (record, txn) = accept_txn(record);
        let txn = txn.expect(LEADER_KEY, fence);
        match self.store.commit(&txn).await {
            Ok(Committed::Done { revision }) => {
                let written = Body::WrittenJob(WrittenJob {
                    record: Some(record),
                    revision,
                });
                // If this is lost, the leader finds the job in the store.
                let _notified = self.call_leader(written, WRITTEN_NOTICE_TIMEOUT).await;
                Some(true)
            }
            Ok(Committed::Conflict { items }) => {
                let key = records::job_key(JobId(record.id));
                let is_accepted = |item: &Item| item.key == key && !is_cancelled_unaccepted(item);
                Some(items.iter().any(is_accepted))
            }
            Err(StoreError::Unavailable) => Some(false),
            Err(_) => None,
        }
    }

    /// Whether this host may write a job directly in the store, as far as its cost is concerned. The next
    /// leader has to hold all that hosts write, so they write no large ones.
    fn claim_direct_write(&self, record: &JobRecord) -> bool {
        let Some(spec) = &record.spec else {
            return true;
        };
        let bytes = footprint::job_bytes(spec);
        let now = Instant::now();
        let (until, claimed_bytes) = self.direct_writes.get();
        let claimed_bytes = if now < until { claimed_bytes } else { 0 };
        let limit_bytes = self.memory_budget().job_bytes / DIRECT_WRITES_PART;
        if claimed_bytes.saturating_add(bytes) > limit_bytes {
            return false;
        }
        let until = if now < until {
            until
        } else {
            now + DIRECT_BUDGET_PERIOD
        };
        self.direct_writes
            .set((until, claimed_bytes.saturating_add(bytes)));
        true
    }

    /// Limits on what open jobs cost a coordinator on a host like this one.
    fn memory_budget(&self) -> MemoryBudget {
        client_limits::jobs(&self.settings.current())
    }

    /// Accepts a job directly in the store.
    async fn submit_to_store(
        &self,
        record: &JobRecord,
        grant: &Grant,
        client_timeout: Duration,
        mut in_doubt: bool,
    ) -> SubmitOutcome {
        let is_large = record.spec.as_ref().is_some_and(footprint::is_large);
        if is_large && in_doubt {
            // A retry tells whether the leader has accepted it.
            return SubmitOutcome::InDoubt;
        }
        if is_large || (!in_doubt && !self.claim_direct_write(record)) {
            return SubmitOutcome::Refused {
                retry_after_ms: DIRECT_BUDGET_PERIOD.as_millis() as u64,
            };
        }
        // No leader refuses the job, which could never run.
        if let Some(excess) = self.limit_excess(record) {
            let refused = self.refuse_excess(JobId(record.id), excess, in_doubt);
            let outcome = time::timeout(client_timeout, refused).await;
            return match outcome {
                Ok(outcome) => outcome,
                Err(_) if in_doubt => SubmitOutcome::InDoubt,
                Err(_) => SubmitOutcome::Unavailable,
            };
        }
        let (_, txn) = accept_txn(record);
        let attempts = async {
            loop {
                if self.store.health() != Health::Serving && !in_doubt {
                    return SubmitOutcome::Unavailable;
                }
                match self.key_checks.check_again(&record.queue, grant) {
                    Ok(()) => {}
                    Err(denial) if !in_doubt => return SubmitOutcome::Denied(denial),
                    // The store tells the outcome once this host has proof again.
                    Err(Denial::Outdated) => {
                        self.store.recovered(Duration::from_millis(120)).await;
                        continue;
                    }
                    Err(_) => return SubmitOutcome::InDoubt,
                }
                // The caller's time may run out during the call.
                let before = std::mem::replace(&mut in_doubt, true);
                match self.store.commit(&txn).await {
                    Ok(Committed::Done { .. }) => return SubmitOutcome::Accepted,
                    Ok(Committed::Conflict { items })
                        if items.iter().any(is_cancelled_unaccepted) =>
                    {
                        return SubmitOutcome::Cancelled;
                    }
                    // The job was accepted before, by this or another attempt.
                    Ok(Committed::Conflict { items }) if !items.is_empty() => {
                        return SubmitOutcome::Accepted;
                    }
                    Ok(Committed::Conflict { .. }) | Err(StoreError::Unavailable) => {
                        in_doubt = before;
                    }
                    Err(_) => {}
                }
                self.store.recovered(Duration::from_millis(120)).await;
            }
        };
        match time::timeout(client_timeout, attempts).await {
            Ok(outcome) => outcome,
            // A call that timed out may still be applied.
            Err(_) if in_doubt => SubmitOutcome::InDoubt,
            Err(_) => SubmitOutcome::Unavailable,
        }
    }

    /// Answers the submission of a job that exceeds its tenant's limit. It may have been accepted before
    /// the limit was reduced, and if it is in doubt, a leader with an older configuration may still
    /// accept it.
    async fn refuse_excess(&self, id: JobId, excess: LimitExcess, in_doubt: bool) -> SubmitOutcome {
        match self.store.get(&records::job_key(id)).await {
            Ok(Some(item)) if is_cancelled_unaccepted(&item) => SubmitOutcome::Cancelled,
            Ok(Some(_)) => SubmitOutcome::Accepted,
            _ if in_doubt => SubmitOutcome::InDoubt,
            Ok(None) => SubmitOutcome::NeverFits {
                reason: excess.to_string(),
            },
            Err(_) => SubmitOutcome::Unavailable,
        }
    }

    /// The first task or gang of a job that exceeds its tenant's limit, if any.
    fn limit_excess(&self, record: &JobRecord) -> Option<LimitExcess> {
        let config = self.operator_config.current()?;
        let tenant = config.tenant(&record.tenant)?;
        quota::limit_excess(record.spec.as_ref()?, &tenant.limit)
    }
}
