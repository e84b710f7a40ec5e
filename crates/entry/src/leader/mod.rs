//! The leader's term: applies the decisions of [`cell::coordinator`] to the platform.
//!
//! - [`takeover`]: state that a new leader loads before it makes decisions;
//! - [`commits`]: group commit of accepted jobs and of task results;
//! - [`arrivals`]: changes that reach the leader through the store;
//! - [`relays`]: calls to workers, relayed by a host near the worker;
//! - [`holds`]: one long poll per worker, which extends its runs and returns its lists;
//! - [`keys`]: the second check of the keys of submissions;
//! - [`orders`]: start and stop orders, and advice queries;
//! - [`tenants`]: admission of tenants' jobs, and what is logged and counted of their limits;
//! - [`retention`]: removal of ended jobs after the retention period.

mod arrivals;
mod commits;
mod holds;
mod keys;
mod orders;
mod relays;
mod retention;
mod takeover;
mod tenants;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use adapter::{http::ConnectionPool, settings::Settings};
use cell::{
    answer_loss::AnswerLoss,
    coordinator::{Coordinator, Tuning},
    credentials::KeyClaim,
    footprint,
    ids::JobId,
    jobs::{JobRecord, JobSpec},
    link_budget::LinkBudget,
    outage::{self, RequestDecision},
};
use indexmap::{IndexMap, IndexSet};
use kernel::log_event;
use tokio::{
    sync::{Notify, Semaphore, oneshot},
    task, time,
};
use tokio_util::sync::CancellationToken;

pub(crate) use self::tenants::TOO_LARGE;
use self::{arrivals::AppliedArrival, takeover::Takeover};
use crate::{
    client_limits, clock,
    election::{AUTHORITY_TIMEOUT_MS, LEADER_RENEWAL_INTERVAL, StallDetector, Term},
    events,
    key_checks::KeyChecks,
    live::LiveSettings,
    members::Members,
    metrics::Metrics,
    operator_config::OperatorConfig,
    payloads::PayloadCache,
    peers::{self, Body, Peers, StateReply, SubmitCall, SubmitReply, WrittenJob},
    records::{self, Roster},
    relay::Relay,
    store::GuardedStore,
};

/// Extra time that ended jobs are kept beyond the retention period, in milliseconds: the wall
/// clocks of hosts differ and may be set back by a few seconds.
const RETENTION_MARGIN_MS: u64 = 5_000;

/// Maximum time that a job waits for a failing store, in milliseconds. Shorter than the time after
/// which a host treats the leader as unresponsive.
const MAX_STORE_WAIT_MS: u64 = 600;

/// Time reserved for the response to reach the client's host, in milliseconds: a response after the
/// client's deadline leaves the job in doubt.
const RESPONSE_MARGIN_MS: u64 = 150;

/// Maximum concurrent reads of records of jobs that arrived through the store.
const MAX_RECORD_READS: usize = 8;

/// Time within which a host that was allowed to write a job itself has written it, or has given up.
const DIRECT_WRITE_TIME: Duration = Duration::from_millis(1_200);

/// The leader key is read if no commit has confirmed it for this long, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 900;

/// Services of this host that a leader uses.
#[derive(Clone, Debug)]
pub struct HostContext {
    /// Current settings of the host.
    pub settings: Rc<LiveSettings>,
    /// Client of the platform's store.
    pub store: GuardedStore,
    /// HTTP connections of this host, shared with the store client and the relay.
    pub pool: ConnectionPool,
    /// Calls to workers from this host.
    pub relay: Rc<Relay>,
    /// Payloads of jobs.
    pub payloads: Rc<PayloadCache>,
    /// Connections to the other hosts.
    pub peers: Rc<Peers>,
    /// Live hosts and the current leader.
    pub members: Rc<Members>,
    /// The operators' configuration in effect.
    pub operator_config: Rc<OperatorConfig>,
    /// Checks of keys against that configuration.
    pub key_checks: Rc<KeyChecks>,
    /// Counters and histograms of the host.
    pub metrics: Rc<Metrics>,
}

/// A job that waits to be committed.
#[derive(Debug)]
struct Submission {
    record: JobRecord,
    /// Payload passed to the job's tasks; split from the record.
    payload: String,
    /// Priority of its queue; lower values are committed first.
    priority: u32,
    /// Time from which its wait for the store counts, in milliseconds of [`clock::now_ms`].
    waiting_since_ms: u64,
    /// Time at which the caller must be answered, in milliseconds of [`clock::now_ms`].
    response_deadline_ms: u64,
    /// Time at which the caller stops waiting, in milliseconds of [`clock::now_ms`].
    client_deadline_ms: u64,
    /// Key with which it was submitted; `None` if none was needed.
    claim: Option<KeyClaim>,
    /// Receives true once the job is durable, false if nothing was written.
    accepted: oneshot::Sender<bool>,
}

/// Memory for a job that is about to be accepted, so that jobs that arrive together do not exceed what
/// each could have. Released on drop.
#[derive(Debug)]
struct JobReservation {
    leader: Rc<Leader>,
    bytes: u64,
}

impl JobReservation {
    fn new(leader: &Rc<Leader>, spec: Option<&JobSpec>) -> Self {
        let bytes = spec.map_or(0, footprint::job_bytes);
        leader.coordinator.borrow_mut().reserve_memory(bytes);
        Self {
            leader: Rc::clone(leader),
            bytes,
        }
    }

    /// Keeps the memory reserved for a job that its host writes itself.
    fn keep_for(self, period: Duration) {
        task::spawn_local(async move {
            time::sleep(period).await;
            drop(self);
        });
    }
}

impl Drop for JobReservation {
    fn drop(&mut self) {
        let mut coordinator = self.leader.coordinator.borrow_mut();
        coordinator.release_memory(self.bytes);
    }
}

/// A leader during its term.
#[derive(Debug)]
pub struct Leader {
    context: HostContext,
    term: Term,
    coordinator: RefCell<Coordinator>,
    /// When the leader key was last confirmed as ours, in milliseconds of [`clock::now_ms`].
    last_confirmed_ms: Cell<u64>,
    /// Stalls of this process, after which the key must be confirmed again.
    stalls: StallDetector,
    /// Failed commits since the last log line about them.
    failed_commits: Cell<u32>,
    /// When that line was logged, in milliseconds of [`clock::now_ms`].
    failure_logged_ms: Cell<u64>,
    ended: CancellationToken,
    submissions: RefCell<Vec<Submission>>,
    cancellations: RefCell<Vec<(JobId, oneshot::Sender<()>)>>,
    /// Jobs whose commit was not answered, so that they may or may not be durable.
    in_doubt: RefCell<IndexSet<JobId>>,
    /// Store revision of each job record.
    revisions: RefCell<IndexMap<JobId, u64>>,
    /// Recent traffic on this host's network link.
    link_budget: Cell<LinkBudget>,
    /// Recently lost answers of workers.
    answer_loss: Cell<AnswerLoss>,
    /// Workers with a long poll, and the route over which each has last answered it.
    poll_routes: RefCell<IndexMap<Rc<str>, usize>>,
    /// Reachability of the relaying hosts.
    relays: relays::Relays,
    /// Jobs whose cancellation was read before their record.
    early_cancellations: RefCell<IndexSet<JobId>>,
    /// Limits concurrent reads of records.
    record_reads: Semaphore,
    /// Keys of arrivals that were applied; deleted once their effect is durable.
    applied_arrivals: RefCell<Vec<AppliedArrival>>,
    /// The roster as last read from the store or written to it.
    durable_roster: RefCell<Roster>,
    /// Store revision of the durable roster; 0 if there is none.
    roster_revision: Cell<u64>,
    /// Requests a scheduling pass.
    schedule: Notify,
    /// Notified when a submission is queued.
    submitted: Notify,
    /// Notified when other changes wait to be committed.
    commit: Notify,
    /// Notified after each commit of task results.
    committed: Notify,
    /// Notified when the set of workers changes.
    roster: Notify,
    /// Hosts with an advice query in progress, and whether it is a heavy one.
    busy_advice_hosts: RefCell<IndexMap<String, bool>>,
}

/// A host's own leader; set during its term.
pub type LeaderSlot = Rc<RefCell<Option<Rc<Leader>>>>;

/// Leads until the term ends.
pub async fn run(context: &HostContext, term: Term, slot: &LeaderSlot) {
    let Some(Takeover {
        leader,
        arrivals_position,
    }) = takeover::load(context, term).await
    else {
        log_event!(
            events::LEAD_LOST,
            "fence={} reason=takeover_failed",
            term.fence
        );
        let _result = context.store.end_lease(term.lease).await;
        return;
    };
    *slot.borrow_mut() = Some(Rc::clone(&leader));
    leader.spawn(commits::accept(Rc::clone(&leader)));
    leader.spawn(commits::run(Rc::clone(&leader)));
    leader.spawn(arrivals::watch_arrivals(
        Rc::clone(&leader),
        arrivals_position,
    ));
    leader.spawn(arrivals::watch_workers(Rc::clone(&leader)));
    leader.spawn(maintain_lease(Rc::clone(&leader)));
    leader.spawn(watch_config(Rc::clone(&leader)));
    leader.spawn(watch_settings(Rc::clone(&leader)));
    leader.spawn(commits::maintain_roster(Rc::clone(&leader)));
    leader.spawn(relays::watch(Rc::clone(&leader)));
    leader.spawn(orders::run(Rc::clone(&leader)));
    leader.spawn(retention::run(Rc::clone(&leader)));
    leader.spawn_known_holds();
    leader.ended.cancelled().await;
    leader.withdraw_usage();
    slot.borrow_mut().take();
}

impl Leader {
    fn new(context: &HostContext, term: Term, coordinator: Coordinator) -> Self {
        Self {
            context: context.clone(),
            term,
            coordinator: RefCell::new(coordinator),
            last_confirmed_ms: Cell::new(term.taken_ms),
            stalls: StallDetector::new(clock::now_ms()),
            failed_commits: Cell::default(),
            failure_logged_ms: Cell::default(),
            ended: CancellationToken::new(),
            submissions: RefCell::default(),
            cancellations: RefCell::default(),
            in_doubt: RefCell::default(),
            revisions: RefCell::default(),
            link_budget: Cell::default(),
            answer_loss: Cell::default(),
            poll_routes: RefCell::default(),
            relays: relays::Relays::new(context.members.previous_leader()),
            early_cancellations: RefCell::default(),
            record_reads: Semaphore::new(MAX_RECORD_READS),
            applied_arrivals: RefCell::default(),
            durable_roster: RefCell::default(),
            roster_revision: Cell::default(),
            schedule: Notify::new(),
            submitted: Notify::new(),
            commit: Notify::new(),
            committed: Notify::new(),
            roster: Notify::new(),
            busy_advice_hosts: RefCell::default(),
        }
    }

    fn tuning(settings: &Settings) -> Tuning {
        let base = Tuning::default();
        Tuning {
            hold_ms: base
                .hold_ms
                .min(settings.longest_hold_ms.saturating_sub(500)),
            gang_patience_ms: base.gang_patience_ms.min(settings.gang_timeout_ms / 2),
            retention_ms: settings.retention_ms + RETENTION_MARGIN_MS,
            max_hold_ms: settings.longest_hold_ms,
            cross_rack_percent: u32::try_from(settings.cross_rack_percent).unwrap_or(u32::MAX),
            quota_window_ms: settings.quota_window_ms,
            // The platform's clock may run fast.
            entry_lapse_ms: settings.worker_lapse_ms * 9 / 10,
            stop_timeout_ms: settings.stop_timeout_ms,
            restore_ms: settings.restore_ms,
            memory: client_limits::jobs(settings),
            max_starts_in_flight: client_limits::starts_in_flight(settings),
            ..base
        }
    }

    /// Spawns a task that is cancelled when the term ends.
    fn spawn(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let ended = self.ended.clone();
        task::spawn_local(async move {
            tokio::select! {
                () = ended.cancelled() => {}
                () = work => {}
            }
        });
    }

    /// Whether the leader may send orders: its key was confirmed within [`AUTHORITY_TIMEOUT_MS`] and
    /// since the process last stood still.
    fn has_authority(&self) -> bool {
        self.authorized_now_ms().is_some()
    }

    /// The current time, if the leader may send orders now. Deadlines must be computed from this time:
    /// the process may be stopped at any point after the check, and its authority may end meanwhile.
    fn authorized_now_ms(&self) -> Option<u64> {
        let now_ms = clock::now_ms();
        let confirmed_ms = self.last_confirmed_ms.get();
        if let Some(stalled_ms) = self.stalls.record_running(now_ms) {
            log_event!(
                events::LEAD_STALLED,
                "fence={} stalled_ms={stalled_ms} unconfirmed_ms={}",
                self.term.fence,
                now_ms - confirmed_ms
            );
        }
        let has_authority = !self.ended.is_cancelled()
            && !self.is_confirmation_expired(now_ms)
            && self.stalls.has_run_since(confirmed_ms);
        has_authority.then_some(now_ms)
    }

    fn is_confirmation_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.last_confirmed_ms.get() + AUTHORITY_TIMEOUT_MS
    }

    fn end_term(&self, reason: &str) {
        if !self.ended.is_cancelled() {
            log_event!(
                events::LEAD_LOST,
                "fence={} reason={reason}",
                self.term.fence
            );
            self.ended.cancel();
        }
    }

    /// Leads until another host has taken the leader key, which the preferred successors do as soon
    /// as they see that this host is leaving. At `deadline` releases the key.
    pub async fn hand_over(&self, deadline: time::Instant) {
        let _timed_out = time::timeout_at(deadline, self.ended.cancelled()).await;
        self.end_term("resigned");
        // If this is not answered, the lease expires on its own.
        let _result = self.context.store.end_lease(self.term.lease).await;
    }

    /// Handles a client request forwarded by a host.
    pub async fn answer(self: &Rc<Self>, body: Body) -> Body {
        if !self.has_authority() {
            return Body::NotHandled(true);
        }
        match body {
            Body::Submit(mut call) => {
                let claim = call.claim();
                match call.record.take() {
                    Some(record) => self.submit(record, &call, claim).await,
                    None => Body::NotHandled(true),
                }
            }
            Body::WrittenJob(written) => self.accept_written(&written),
            Body::State(id) => {
                let coordinator = self.coordinator.borrow();
                let state = coordinator.job_state(JobId(id));
                let tenant = coordinator.job_tenant(JobId(id));
                Body::StateReply(StateReply {
                    found: state.is_some(),
                    state: state.map_or(0, peers::encode_state),
                    tenant: tenant.map(ToString::to_string).unwrap_or_default(),
                })
            }
            Body::Pending(queue) => {
                Body::PendingReply(self.coordinator.borrow().pending_job_count(&queue) as u64)
            }
            Body::Cancel(id) => self.cancel(JobId(id)).await,
            _ => Body::NotHandled(true),
        }
    }

    async fn submit(
        self: &Rc<Self>,
        mut record: JobRecord,
        call: &SubmitCall,
        claim: Option<KeyClaim>,
    ) -> Body {
        let client_timeout_ms = call.client_timeout_ms;
        let id = JobId(record.id);
        let accepted = Body::SubmitReply(SubmitReply {
            accepted: true,
            ..SubmitReply::default()
        });
        if self.coordinator.borrow().job_state(id).is_some() {
            return accepted;
        }
        // The store decides about a job that is in doubt or was cancelled before it was accepted.
        if self.in_doubt.borrow().contains(&id) || self.coordinator.borrow().contains_job(id) {
            return Body::NotHandled(false);
        }
        if let Some(refusal) = self.refuse_key(id, &record.queue, claim.as_ref()) {
            return Body::SubmitReply(refusal);
        }
        if let Some(refusal) = self.refusal(&record) {
            return Body::SubmitReply(refusal);
        }
        let health = self.context.store.health();
        if outage::decide_request(health, call.waited_ms, client_timeout_ms)
            != RequestDecision::Wait
        {
            return Body::StoreAway(true);
        }
        let now_ms = clock::now_ms();
        let reservation = JobReservation::new(self, record.spec.as_ref());
        if call.without_payload || self.is_link_saturated() {
            reservation.keep_for(DIRECT_WRITE_TIME);
            return Body::WriteDirectly(self.term.fence);
        }
        let priority = {
            let coordinator = self.coordinator.borrow();
            let queue = coordinator.config().queues.get(record.queue.as_str());
            queue.map_or(u32::MAX, |queue| queue.priority)
        };
        self.coordinator
            .borrow_mut()
            .claim_share(&mut record, clock::unix_ms());
        let (sender, durable) = oneshot::channel();
        let payload = records::take_payload(&mut record);
        let queue = record.queue.clone();
        self.submissions.borrow_mut().push(Submission {
            record,
            payload,
            priority,
            waiting_since_ms: now_ms.saturating_sub(call.waited_ms),
            response_deadline_ms: now_ms
                + MAX_STORE_WAIT_MS.min(client_timeout_ms.saturating_sub(RESPONSE_MARGIN_MS)),
            client_deadline_ms: now_ms + client_timeout_ms,
            claim: claim.clone(),
            accepted: sender,
        });
        self.submitted.notify_one();
        let durable = durable.await;
        drop(reservation);
        match durable {
            Ok(true) => accepted,
            Ok(false) => match self.refuse_key(id, &queue, claim.as_ref()) {
                Some(refusal) => Body::SubmitReply(refusal),
                None => Body::StoreAway(true),
            },
            Err(_) => Body::NotHandled(false),
        }
    }

    /// Accepts a job that another host has written to the store.
    fn accept_written(&self, written: &WrittenJob) -> Body {
        if let Some(record) = &written.record {
            let id = JobId(record.id);
            if !self.coordinator.borrow().contains_job(id) {
                self.revisions.borrow_mut().insert(id, written.revision);
                self.accept_record(record);
            }
        }
        Body::Confirmed(true)
    }

    /// Counts bytes sent over this host's network link.
    fn record_bytes_sent(&self, bytes: usize) {
        let mut budget = self.link_budget.get();
        budget.record_sent(bytes as u64, clock::now_ms());
        self.link_budget.set(budget);
    }

    /// Whether this host's network link is close to its limit.
    fn is_link_saturated(&self) -> bool {
        let link_bytes_per_s = self.context.settings.current().link_bytes_per_s;
        let mut budget = self.link_budget.get();
        let congested = budget.is_congested(link_bytes_per_s, clock::now_ms());
        self.link_budget.set(budget);
        congested
    }

    async fn cancel(&self, id: JobId) -> Body {
        if !self
            .coordinator
            .borrow_mut()
            .request_cancel(id, clock::unix_ms())
        {
            return Body::Cancelled(false);
        }
        let (sender, durable) = oneshot::channel();
        self.cancellations.borrow_mut().push((id, sender));
        self.commit.notify_one();
        self.schedule.notify_one();
        match durable.await {
            Ok(()) => Body::Cancelled(true),
            Err(_) => Body::NotHandled(false),
        }
    }
}

impl Leader {
    /// Reads the leader key; if it is still ours, the confirmation counts from `sent_ms`.
    async fn confirm_key(&self, sent_ms: u64) {
        match self.context.store.get(records::LEADER_KEY).await {
            Ok(Some(item)) if item.revision == self.term.fence => {
                self.last_confirmed_ms
                    .set(self.last_confirmed_ms.get().max(sent_ms));
            }
            Ok(_) => self.end_term("key_taken"),
            Err(_) => {}
        }
    }
}

/// Renews the lease, and reads the leader key if no commit has confirmed it recently or since a
/// stall.
async fn maintain_lease(leader: Rc<Leader>) {
    loop {
        let sent_ms = clock::now_ms();
        // Renewals run concurrently, so that one lost answer does not cost the lease.
        let renewing = Rc::clone(&leader);
        leader.spawn(async move {
            let renewed = renewing
                .context
                .store
                .renew_lease(renewing.term.lease)
                .await;
            if renewed == Err(adapter::store::StoreError::LeaseEnded) {
                renewing.end_term("lease_ended");
            }
        });
        let is_due = sent_ms > leader.last_confirmed_ms.get() + CONFIRM_INTERVAL_MS;
        if is_due || !leader.has_authority() {
            // This runs concurrently too: an unresponsive store may recover before the call times
            // out.
            let confirming = Rc::clone(&leader);
            leader.spawn(async move { confirming.confirm_key(sent_ms).await });
        }
        if leader.is_confirmation_expired(clock::now_ms()) {
            return leader.end_term("not_confirmed");
        }
        time::sleep(LEADER_RENEWAL_INTERVAL).await;
    }
}

async fn watch_config(leader: Rc<Leader>) {
    loop {
        let changed = leader.context.operator_config.changed.notified();
        if let Some(config) = leader.context.operator_config.current() {
            leader.coordinator.borrow_mut().apply_config(config);
            leader.schedule.notify_one();
        }
        changed.await;
    }
}

async fn watch_settings(leader: Rc<Leader>) {
    loop {
        let changed = leader.context.settings.changed.notified();
        let tuning = Leader::tuning(&leader.context.settings.current());
        leader.coordinator.borrow_mut().tune(tuning);
        changed.await;
    }
}
