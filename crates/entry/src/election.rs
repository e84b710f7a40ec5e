//! Leader election: the leader is the host that holds a key in the store, attached to a lease.
//!
//! The lease only determines how soon another host may take over, and so does evidence that the
//! leader has left. Two concurrent leaders are kept safe by the fence that every worker compares, and
//! by the rule that a leader stops sending orders [`AUTHORITY_TIMEOUT_MS`] after its key was last
//! confirmed. A leader whose process stood still ([`StallDetector`]) sends nothing until it has
//! confirmed its key again: it may have been replaced, and jobs been cancelled, meanwhile.
//!
//! # Expiry of former leaders' holds
//!
//! A worker that has not accepted the new fence may run tasks of a former leader until the holds and
//! orders of all former leaders have expired ([`Term::inherited_expiry_ms`]):
//!
//! - A former leader confirms its key only before the commit that replaces it, so it sends nothing
//!   later than [`AUTHORITY_TIMEOUT_MS`] after the commit is known ([`Term::committed_ms`]).
//! - What it has sent expires at most [`MAX_HOLD_MS`] later, however late it arrives, because it
//!   names a time on the clock of the worker's process.
//! - The predecessor sends nothing after its process has ended. Only an answer of another process at
//!   its peer address proves that, since two processes cannot listen there at once. A refused
//!   connection does not: a network may refuse it too. Nor does an announcement that it leaves. If
//!   the proof is missing at the takeover, the new leader goes on asking.
//! - That proof is of use only if the predecessor's own takeover was complete, so that no earlier
//!   leader's hold or order was left then ([`Term::last_leader`]).

use std::{cell::Cell, rc::Rc, time::Duration};

use adapter::store::{Committed, StoreError, Txn};
use cell::late_orders::MAX_DELIVERY_DELAY_MS;
use kernel::log_event;
use prost::Message;
use rand::RngExt;
use tokio::time;

use crate::{
    clock, events,
    live::LiveSettings,
    members::{Departure, KnownLeader, Members},
    operator_config::OperatorConfig,
    peers::{self, Body, Peers},
    records::{LEADER_KEY, LEADER_MIRROR_KEY, LeaderRecord, TERM_KEY, TermRecord},
    store::GuardedStore,
};

/// TTL of the leader key's lease, unless the store only grants longer ones.
pub const LEADER_LEASE_TTL: Duration = Duration::from_secs(1);
/// Minimum TTL of that lease, in store latencies: the lease runs from its grant, and is renewed
/// only after the key has been written.
const LEASE_TTL_LATENCIES: u32 = 6;
/// Interval between renewals of that lease.
pub const LEADER_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a leader may send orders after its key was last confirmed, in milliseconds. Its
/// successor relies on this limit.
pub const AUTHORITY_TIMEOUT_MS: u64 = 5_000;
/// Maximum hold that workers grant, in milliseconds, allowing for slow worker clocks.
pub const MAX_HOLD_MS: u64 = 6_200;
/// How long a leader's process may stand still without losing its lease unnoticed, in milliseconds.
pub const MAX_STALL_MS: u64 = 750;
/// Interval between two liveness checks of the leader, or of a former leader.
pub(crate) const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time within which a live leader answers the check.
const LEADER_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum random delay before an election attempt, in milliseconds, to avoid collisions.
const MAX_JITTER_MS: u64 = 120;
/// Extra delay of hosts that do not have the most CPU, since leading is the most demanding role.
const LOW_CPU_DELAY: Duration = Duration::from_millis(200);
/// Extra delay of hosts far from the store, whose latency is part of every commit.
const FAR_STORE_DELAY: Duration = Duration::from_millis(500);

/// The leader of the term before a term.
#[derive(Clone, Copy, Debug)]
pub struct Predecessor {
    /// Its term, which also identifies its process.
    pub leader: KnownLeader,
    /// When its process had certainly ended, in milliseconds of [`clock::now_ms`]; `None` if that is
    /// not proven.
    pub ended_by_ms: Option<u64>,
}

/// A leader's term.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// Fencing token that workers compare: the store revision of the leader key.
    pub fence: u64,
    /// Lease that the key is attached to.
    pub lease: u64,
    /// Number of terms before this one.
    pub number: u64,
    /// The leader of the term before, if its process is known.
    pub predecessor: Option<Predecessor>,
    /// When the transaction that acquired the key was sent, in milliseconds of [`clock::now_ms`].
    /// This leader's own authority counts from then.
    pub taken_ms: u64,
    /// When that transaction was known to be committed, in milliseconds of [`clock::now_ms`]. Former
    /// leaders can confirm their keys until it is committed, so their authority counts from then.
    pub committed_ms: u64,
}

impl Term {
    /// Time by which the holds and orders of all former leaders have expired, in milliseconds of
    /// [`clock::now_ms`]. `settled_fence` is the fence of the last leader whose takeover was
    /// complete.
    pub fn inherited_expiry_ms(&self, settled_fence: u64) -> u64 {
        self.former_authority_end_ms(settled_fence) + MAX_HOLD_MS
    }

    /// Time after which no order of a former leader takes effect in any process, in milliseconds of
    /// [`clock::now_ms`]. The deadlines that orders name hold for one process of a worker only.
    pub fn inherited_orders_expiry_ms(&self, settled_fence: u64) -> u64 {
        self.former_authority_end_ms(settled_fence) + MAX_DELIVERY_DELAY_MS
    }

    /// Time after which no former leader sends anything, in milliseconds of [`clock::now_ms`].
    fn former_authority_end_ms(&self, settled_fence: u64) -> u64 {
        let authority_expiry_ms = self.committed_ms + AUTHORITY_TIMEOUT_MS;
        let last_leader = self.last_leader(settled_fence);
        let ended_by_ms = last_leader.and_then(|predecessor| predecessor.ended_by_ms);
        ended_by_ms.unwrap_or(u64::MAX).min(authority_expiry_ms)
    }

    /// The same term, with a proof that the predecessor's process had ended by `ended_by_ms`.
    #[must_use]
    pub fn with_predecessor_ended(self, ended_by_ms: u64) -> Self {
        let ended = |predecessor: Predecessor| Predecessor {
            ended_by_ms: Some(ended_by_ms),
            ..predecessor
        };
        Self {
            predecessor: self.predecessor.map(ended),
            ..self
        }
    }

    /// The predecessor, if it was the only former leader that could still send holds and orders
    /// when it was replaced.
    pub fn last_leader(&self, settled_fence: u64) -> Option<Predecessor> {
        self.predecessor
            .filter(|predecessor| predecessor.leader.fence == settled_fence)
    }
}

/// Detects that the process stood still, because it was stopped or its machine was overloaded. It
/// then acts on what it knew before, and may have been replaced.
#[derive(Debug)]
pub struct StallDetector {
    /// When the process was last seen to run.
    running_ms: Cell<u64>,
    /// When it ran again after its last stall.
    resumed_ms: Cell<u64>,
}

impl StallDetector {
    /// Starts to observe a process that runs at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            running_ms: Cell::new(now_ms),
            resumed_ms: Cell::default(),
        }
    }

    /// Records that the process runs. Returns the length of a stall that has just ended, in
    /// milliseconds.
    pub fn record_running(&self, now_ms: u64) -> Option<u64> {
        let stalled_ms = now_ms.saturating_sub(self.running_ms.replace(now_ms));
        if stalled_ms <= MAX_STALL_MS {
            return None;
        }
        self.resumed_ms.set(now_ms);
        Some(stalled_ms)
    }

    /// Whether something sent at `sent_ms` was sent after the last stall.
    pub fn has_run_since(&self, sent_ms: u64) -> bool {
        sent_ms >= self.resumed_ms.get()
    }
}

/// Checks the leader for the lifetime of the process, so that it can be replaced before its lease
/// expires if its process ends. Only the preferred successors check: hosts near the store with the
/// most CPU.
pub async fn watch_leader(
    store: GuardedStore,
    peers: Rc<Peers>,
    members: Rc<Members>,
    own: String,
) {
    loop {
        time::sleep(LEADER_CHECK_INTERVAL).await;
        if store.is_far() || !members.has_most_cpu(&own) {
            continue;
        }
        let Some(leader) = members.current_leader() else {
            continue;
        };
        if members.address_of(&own) == Some(leader.address) {
            continue;
        }
        if let Some(departure) = check_leader(&peers, leader).await {
            members.record_departure(leader, departure);
        }
    }
}

/// Checks whether a leader has left or is about to. A missing answer may be a pause.
pub(crate) async fn check_leader(peers: &Peers, leader: KnownLeader) -> Option<Departure> {
    let call = peers.call(leader.address, Body::GetLeader(true), LEADER_CHECK_TIMEOUT);
    match call.await {
        Ok(Body::LeaderInfo(answer)) => {
            // Either identifier is 0 if its host runs a version without it.
            let is_other = leader.process != 0 && answer.process != 0;
            if is_other && answer.process != leader.process {
                let by_ms = clock::now_ms();
                Some(Departure::Ended { by_ms })
            } else {
                answer.leaving.then_some(Departure::Leaving)
            }
        }
        Ok(_) => None,
        Err(_) => {
            let refused = peers::refuses_connections(leader.address).await;
            refused.then_some(Departure::Refusing)
        }
    }
}

/// Waits until the leader is gone or announces that it shuts down, and acquires the leader key;
/// returns the new term.
pub async fn acquire_term(
    store: &GuardedStore,
    members: &Members,
    operator_config: &OperatorConfig,
    own: &LeaderRecord,
    settings: &LiveSettings,
) -> Term {
    loop {
        let settings = settings.current();
        let ttl = LEADER_LEASE_TTL
            .max(Duration::from_millis(settings.shortest_lease_ms))
            .max(store.average_latency() * LEASE_TTL_LATENCIES);
        let configured = operator_config.changed.notified();
        if operator_config.current().is_none() {
            // A leader needs a configuration.
            configured.await;
            continue;
        }
        let changed = members.changed.notified();
        if members.replaceable_revision().is_none() || members.is_leaving() {
            changed.await;
            continue;
        }
        let jitter_ms = rand::rng().random_range(0..MAX_JITTER_MS);
        time::sleep(Duration::from_millis(jitter_ms)).await;
        if store.is_far() {
            time::sleep(FAR_STORE_DELAY).await;
        }
        if members.has_host_with_more_cpu(settings.cpu_millicores) {
            time::sleep(LOW_CPU_DELAY).await;
        }
        let Some(leader_revision) = members.replaceable_revision() else {
            continue;
        };
        // Concurrent: with a slow store, sequential calls would prolong the vacancy.
        let (term_item, lease) = tokio::join!(store.get(TERM_KEY), store.grant_lease(ttl));
        let (Ok(term_item), Ok(lease)) = (term_item, lease) else {
            time::sleep(Duration::from_millis(MAX_JITTER_MS)).await;
            continue;
        };
        let (revision, number) = term_item.map_or((0, 0), |item| {
            let record = TermRecord::decode(item.value.as_slice()).unwrap_or_default();
            (item.revision, record.number + 1)
        });
        let snapshot = StoreSnapshot {
            leader_revision,
            term_revision: revision,
            number,
        };
        if let Some(term) = try_acquire(store, members, own, lease, snapshot).await {
            return term;
        }
        time::sleep(Duration::from_millis(MAX_JITTER_MS)).await;
    }
}

/// Revisions read before an attempt to acquire the key.
#[derive(Clone, Copy, Debug)]
struct StoreSnapshot {
    /// Revision of the key of a leader that is dead or leaving, or 0 for none.
    leader_revision: u64,
    /// Revision of the term counter, or 0 for none. It is written together with the leader key, so
    /// this is the fence of the term before, also if its key was removed.
    term_revision: u64,
    /// The number of the next term.
    number: u64,
}

async fn try_acquire(
    store: &GuardedStore,
    members: &Members,
    own: &LeaderRecord,
    lease: u64,
    snapshot: StoreSnapshot,
) -> Option<Term> {
    let number = snapshot.number;
    let own = LeaderRecord {
        nonce: rand::rng().random(),
        ..own.clone()
    };
    let value = own.encode_to_vec();
    let txn = Txn::default()
        .expect(LEADER_KEY, snapshot.leader_revision)
        .expect(TERM_KEY, snapshot.term_revision)
        .put(LEADER_KEY, &value, lease)
        .put(LEADER_MIRROR_KEY, &value, lease)
        .put(TERM_KEY, &TermRecord { number }.encode_to_vec(), 0);
    // Looked up before the commit, after which the members know only the new term.
    let predecessor = members.leader_with_fence(snapshot.term_revision);
    let predecessor = predecessor.map(|leader| Predecessor {
        leader,
        ended_by_ms: match members.departure_of(leader.fence) {
            Some(Departure::Ended { by_ms }) => Some(by_ms),
            _ => None,
        },
    });
    let taken_ms = clock::now_ms();
    let fence = match store.commit(&txn).await {
        Ok(Committed::Done { revision }) => revision,
        Ok(Committed::Conflict { items }) => {
            if items.iter().any(|item| item.key == LEADER_KEY) {
                members.mark_leader_present();
            }
            return None;
        }
        Err(StoreError::Unanswered) => {
            // The transaction may have been applied.
            let item = store.get(LEADER_KEY).await.ok()??;
            let leader = LeaderRecord::decode(item.value.as_slice()).ok()?;
            if leader.nonce != own.nonce {
                return None;
            }
            item.revision
        }
        Err(_) => return None,
    };
    let committed_ms = clock::now_ms();
    log_event!(
        events::LEAD_TAKEN,
        "fence={fence} term={number} lease={lease} commit_ms={}",
        committed_ms - taken_ms
    );
    Some(Term {
        fence,
        lease,
        number,
        predecessor,
        taken_ms,
        committed_ms,
    })
}
