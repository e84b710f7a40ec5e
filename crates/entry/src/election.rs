//! Who coordinates: the host that holds a key in the store, bound to a lease.
//!
//! The lease decides only how soon another host may take over. What keeps two coordinators from
//! harming each other are the fence that every worker compares, and the rule that a coordinator
//! without a confirmed hold on the key stops giving orders after [`AUTHORITY_TIMEOUT_MS`].

use std::{rc::Rc, time::Duration};

use adapter::store::{Committed, StoreError, Txn};
use kernel::log_event;
use prost::Message;
use rand::RngExt;
use tokio::time;

use crate::{
    clock, events,
    live::LiveSettings,
    members::Members,
    operator_config::OperatorConfig,
    peers::{self, Body, Peers},
    records::{LEADER_KEY, LEADER_MIRROR_KEY, LeaderRecord, TERM_KEY, TermRecord},
    store::GuardedStore,
};

/// How long the key outlives a coordinator that dies, unless the store grants only longer leases.
pub const LEADER_LEASE_TTL: Duration = Duration::from_secs(1);
/// Time between renewals of that lease.
pub const LEADER_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// A coordinator gives orders until this long after its hold on the key was last confirmed, in
/// milliseconds. Its successor counts on that.
pub const AUTHORITY_TIMEOUT_MS: u64 = 5_000;
/// Time between two looks at the coordinator.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// How long a coordinator that lives may take to answer.
const LEADER_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Hosts wait up to this long before they try to take over, so that few collide.
const MAX_JITTER_MS: u64 = 120;
/// Head start of the hosts with the most processor: coordinating is the heaviest role.
const LOW_CPU_DELAY: Duration = Duration::from_millis(200);
/// Head start of hosts near the store: the way to it is part of every commit.
const FAR_STORE_DELAY: Duration = Duration::from_millis(500);

/// A term of coordination.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// The fence that workers compare: the store's revision at which the key was taken.
    pub fence: u64,
    /// The lease that the key is bound to.
    pub lease: u64,
    /// Terms before this one.
    pub number: u64,
    /// When it was taken, in milliseconds of our clock.
    pub taken_ms: u64,
}

/// Looks after the coordinator for as long as the process runs, so that its place is taken before its
/// lease runs out if its process ends. Only hosts that would succeed it at once do so.
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
        let Some(address) = members.leader_address() else {
            continue;
        };
        if members.address_of(&own) == Some(address) {
            continue;
        }
        // Silence may be a pause. That nobody listens there, or another process, says for certain
        // that the coordinator's has ended.
        let process = members.leader_process_id();
        let call = peers.call(address, Body::GetLeader(true), LEADER_CHECK_TIMEOUT);
        let ended = match call.await {
            Ok(Body::LeaderInfo(answer)) => {
                process.is_some_and(|process| answer.process != process)
            }
            Ok(_) => false,
            Err(_) => peers::refuses_connections(address).await,
        };
        if ended {
            members.mark_leader_dead(address);
        }
    }
}

/// Waits until nobody coordinates, and takes over; returns once it has.
pub async fn acquire_term(
    store: &GuardedStore,
    members: &Members,
    operator_config: &OperatorConfig,
    own: &LeaderRecord,
    settings: &LiveSettings,
) -> Term {
    loop {
        let settings = settings.current();
        let ttl = LEADER_LEASE_TTL.max(Duration::from_millis(settings.shortest_lease_ms));
        let configured = operator_config.changed.notified();
        if operator_config.current().is_none() {
            // Without a configuration there is nothing to coordinate by.
            configured.await;
            continue;
        }
        let changed = members.changed.notified();
        if members.replaceable_revision().is_none() {
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
        // Both at once: while the store is slow, each call in a row prolongs the vacancy.
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

/// What the store showed before an attempt to take over.
#[derive(Clone, Copy, Debug)]
struct StoreSnapshot {
    /// Revision of the entry of a coordinator that died, or 0 for none.
    leader_revision: u64,
    /// Revision of the count of terms, or 0 for none.
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
            // It may have been done all the same.
            let item = store.get(LEADER_KEY).await.ok()??;
            let leader = LeaderRecord::decode(item.value.as_slice()).ok()?;
            if leader.nonce != own.nonce {
                return None;
            }
            item.revision
        }
        Err(_) => return None,
    };
    log_event!(
        events::LEAD_TAKEN,
        "fence={fence} term={number} lease={lease}"
    );
    Some(Term {
        fence,
        lease,
        number,
        taken_ms,
    })
}
