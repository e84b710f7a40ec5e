//! Live hosts and the current leader, as watched in the store.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::ControlFlow,
    rc::Rc,
    time::Duration,
};

use adapter::store::{Committed, Event, Item, StoreError, Txn};
use cell::routing::{Relay, RoutingTable};
use indexmap::IndexMap;
use kernel::log_event;
use prost::Message;
use rand::RngExt;
use tokio::{sync::Notify, time};

use crate::{
    events,
    listing::Listing,
    prefix_watch::{self, WatchAnswer, WatchConfig, WatchHandler},
    records::{HOST_PREFIX, HostRecord, LEADER_KEY, LeaderRecord, MEMBERS_PREFIX},
    store::GuardedStore,
};

/// Timing of the watch on hosts and leader.
const WATCH_CONFIG: WatchConfig = WatchConfig {
    watch_timeout: Duration::from_millis(1_500),
    watch_interval: Duration::ZERO,
    retry_delay: RETRY_DELAY,
};
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A host that does not renew its registration for this long counts as gone.
const HOST_LEASE_TTL: Duration = Duration::from_secs(4);
/// Interval between renewals of the registration lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// A live host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its CPU capacity, in thousandths of a core.
    pub cpu_millicores: u64,
}

/// A leader's term as read from the store. Evidence about its process applies to this term alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// Store revision of the leader key, which is the term's fencing token.
    pub fence: u64,
    /// Peer address of the leader's host.
    pub address: SocketAddr,
    /// Random identifier of the leader's process; 0 if unknown.
    pub process: u64,
}

/// Why a leader may be replaced before its lease expires; later variants are stronger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Departure {
    /// It shuts down and leads until it is replaced.
    Leaving,
    /// Its address refuses connections, as it also does if a network between refuses them.
    Refusing,
    /// Another process answers at its address, so that its process has ended.
    Ended {
        /// When the answer was received, in milliseconds of [`crate::clock::now_ms`].
        by_ms: u64,
    },
}

/// Live hosts and the current leader, last seen in the store.
#[derive(Debug, Default)]
pub struct Members {
    hosts: RefCell<IndexMap<String, Host>>,
    leader: RefCell<Option<LeaderRecord>>,
    /// The latest leader read from the store, also after its key was removed.
    known_leader: Cell<Option<KnownLeader>>,
    /// Fence of the latest leader with evidence of its departure, and that evidence.
    departure: Cell<Option<(u64, Departure)>>,
    /// The leader before the current vacancy.
    previous_leader: RefCell<Option<String>>,
    /// Random identifier that distinguishes this process from other processes of the host.
    own_process_id: u64,
    /// Store revision of the leader key; 0 if unknown.
    leader_revision: Cell<u64>,
    /// The store has been read and holds no leader key.
    vacant: Cell<bool>,
    /// This host's registration is missing from the store.
    registration_lost: Cell<bool>,
    /// This host is shutting down and has to deregister.
    leaving: Cell<bool>,
    /// Notified when `leaving` is set.
    leave_requested: Notify,
    region_of_zone: IndexMap<String, String>,
    /// Cached routes; cleared when the hosts change.
    routes: RefCell<Option<Rc<RoutingTable>>>,
    /// Notified when hosts or leader change.
    pub changed: Notify,
}

impl Members {
    /// Membership before the first listing: no hosts, no leader.
    pub fn new(region_of_zone: IndexMap<String, String>) -> Self {
        Self {
            region_of_zone,
            own_process_id: rand::rng().random_range(1..=u64::MAX),
            ..Self::default()
        }
    }

    /// Routes over the live hosts.
    pub fn routes(&self) -> Rc<RoutingTable> {
        let build = || {
            let relay = |(name, host): (&String, &Host)| Relay {
                name: name.as_str().into(),
                zone: host.zone.as_str().into(),
                cpu_millicores: host.cpu_millicores,
            };
            let relays = self.hosts.borrow().iter().map(relay).collect();
            Rc::new(RoutingTable::new(relays, self.region_of_zone.clone()))
        };
        Rc::clone(self.routes.borrow_mut().get_or_insert_with(build))
    }

    /// Peer address of a live host.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.hosts.borrow().get(name).map(|host| host.address)
    }

    /// Deregisters this host, so that other hosts stop routing to it.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.leave_requested.notify_one();
    }

    /// Whether this host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// The live hosts by name.
    pub fn hosts(&self) -> IndexMap<String, Host> {
        self.hosts.borrow().clone()
    }

    /// Whether any live host has more CPU capacity than `cpu_millicores`.
    pub fn has_host_with_more_cpu(&self, cpu_millicores: u64) -> bool {
        self.hosts
            .borrow()
            .values()
            .any(|host| host.cpu_millicores > cpu_millicores)
    }

    /// Peer address of the leader; `None` if it is unknown.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.leader.borrow().as_ref()?.address.parse().ok()
    }

    /// Name of the leader before the current vacancy.
    pub fn previous_leader(&self) -> Option<String> {
        self.previous_leader.borrow().clone()
    }

    /// Whether the store, as last read, holds no leader key.
    pub fn is_vacant(&self) -> bool {
        self.vacant.get()
    }

    /// Store revision of the leader key that a successor replaces: 0 if there is no key, the key's
    /// revision if there is evidence that the leader has left or is about to, `None` otherwise.
    pub fn replaceable_revision(&self) -> Option<u64> {
        if self.vacant.get() {
            return Some(0);
        }
        let leader = self.current_leader()?;
        self.departure_of(leader.fence).map(|_| leader.fence)
    }

    /// The leader whose key is in the store, as last read; `None` if it was learned from another
    /// host or there is none.
    pub fn current_leader(&self) -> Option<KnownLeader> {
        let revision = self.leader_revision.get();
        let is_current = |leader: &KnownLeader| !self.vacant.get() && leader.fence == revision;
        self.known_leader.get().filter(is_current)
    }

    /// The leader with this fence, if it is the latest one that was read from the store.
    pub fn leader_with_fence(&self, fence: u64) -> Option<KnownLeader> {
        let leader = self.known_leader.get()?;
        (leader.fence == fence).then_some(leader)
    }

    /// Evidence that the leader with this fence has left or is about to.
    pub fn departure_of(&self, fence: u64) -> Option<Departure> {
        let (of, departure) = self.departure.get()?;
        (of == fence).then_some(departure)
    }

    /// Records evidence gathered about `leader`. If another term has begun meanwhile, it does not
    /// apply, even if the same host leads again.
    pub fn record_departure(&self, leader: KnownLeader, departure: Departure) {
        let known = self.departure_of(leader.fence);
        let has_ended = matches!(known, Some(Departure::Ended { .. }));
        if self.current_leader() != Some(leader) || has_ended || known >= Some(departure) {
            return;
        }
        if let Some(record) = &*self.leader.borrow() {
            let event = match departure {
                Departure::Leaving => events::LEAD_LEAVING,
                Departure::Refusing | Departure::Ended { .. } => events::LEAD_DEAD,
            };
            log_event!(
                event,
                "lead={} fence={} process={:016x} evidence={departure:?}",
                record.host,
                leader.fence,
                leader.process
            );
            *self.previous_leader.borrow_mut() = Some(record.host.clone());
        }
        self.departure.set(Some((leader.fence, departure)));
        self.changed.notify_waiters();
    }

    /// Random identifier of this process, never 0.
    pub fn own_process_id(&self) -> u64 {
        self.own_process_id
    }

    /// Whether no live host has more CPU capacity than this one.
    pub fn has_most_cpu(&self, own_name: &str) -> bool {
        let own_millicores = self.hosts.borrow().get(own_name).map(|h| h.cpu_millicores);
        own_millicores.is_some_and(|own| !self.has_host_with_more_cpu(own))
    }

    /// Records a leader reported by another host while the store is unavailable.
    pub fn set_leader_from_peer(&self, address: SocketAddr) {
        let leader = LeaderRecord {
            address: address.to_string(),
            ..LeaderRecord::default()
        };
        *self.leader.borrow_mut() = Some(leader);
        self.leader_revision.set(0);
        self.vacant.set(false);
    }

    /// Records that the leader key is held by another host.
    pub fn mark_leader_present(&self) {
        self.vacant.set(false);
        self.departure.set(None);
    }

    fn apply_put(&self, item: &Item, own_name: &str) {
        if item.key == LEADER_KEY {
            let Ok(leader) = LeaderRecord::decode(item.value.as_slice()) else {
                return;
            };
            log_event!(
                events::LEAD_SEEN,
                "lead={} revision={}",
                leader.host,
                item.revision
            );
            let known = leader.address.parse().ok().map(|address| KnownLeader {
                fence: item.revision,
                address,
                process: leader.process,
            });
            self.known_leader.set(known);
            *self.leader.borrow_mut() = Some(leader);
            self.leader_revision.set(item.revision);
            self.vacant.set(false);
        } else if let Some(name) = item.key.strip_prefix(HOST_PREFIX) {
            let Ok(record) = HostRecord::decode(item.value.as_slice()) else {
                return;
            };
            if let Ok(address) = record.address.parse() {
                let host = Host {
                    address,
                    zone: record.zone,
                    cpu_millicores: record.cpu_millicores,
                };
                self.hosts.borrow_mut().insert(name.to_owned(), host);
                self.routes.borrow_mut().take();
            }
            if name == own_name {
                self.registration_lost.set(false);
            }
        }
    }

    fn apply_removal(&self, key: &str, own_name: &str) {
        if key == LEADER_KEY {
            if let Some(previous) = self.leader.borrow_mut().take() {
                *self.previous_leader.borrow_mut() = Some(previous.host);
            }
            self.vacant.set(true);
        } else if let Some(name) = key.strip_prefix(HOST_PREFIX) {
            self.hosts.borrow_mut().shift_remove(name);
            self.routes.borrow_mut().take();
            if name == own_name {
                self.registration_lost.set(true);
            }
        }
    }
}

/// Applies listings and events of the members prefix.
#[derive(Debug)]
struct MembersHandler {
    members: Rc<Members>,
    own_name: String,
}

impl WatchHandler for MembersHandler {
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()> {
        let members = &self.members;
        members.hosts.borrow_mut().clear();
        members.routes.borrow_mut().take();
        members.registration_lost.set(true);
        if !listing.items.iter().any(|item| item.key == LEADER_KEY) {
            members.apply_removal(LEADER_KEY, &self.own_name);
        }
        for item in &listing.items {
            members.apply_put(item, &self.own_name);
        }
        members.changed.notify_waiters();
        ControlFlow::Continue(())
    }

    async fn handle_events(&mut self, events: &[Event], _answer: WatchAnswer) -> ControlFlow<()> {
        for event in events {
            match event {
                Event::Put(item) => self.members.apply_put(item, &self.own_name),
                Event::Removed { key } => self.members.apply_removal(key, &self.own_name),
            }
        }
        self.members.changed.notify_waiters();
        ControlFlow::Continue(())
    }
}

/// Watches hosts and leader for the lifetime of the process.
pub async fn watch(store: GuardedStore, members: Rc<Members>, own_name: String) {
    let mut handler = MembersHandler { members, own_name };
    prefix_watch::watch_prefix(&store, MEMBERS_PREFIX, WATCH_CONFIG, &mut handler).await;
}

/// Keeps this host registered in the store until it leaves.
pub async fn register(store: GuardedStore, members: Rc<Members>, own_name: String, own: Host) {
    let record = HostRecord {
        address: own.address.to_string(),
        zone: own.zone,
        cpu_millicores: own.cpu_millicores,
    };
    let key = format!("{HOST_PREFIX}{own_name}");
    while !members.leaving.get() {
        let Ok(lease) = store.grant_lease(HOST_LEASE_TTL).await else {
            time::sleep(RETRY_DELAY).await;
            continue;
        };
        let txn = Txn::default().put(&key, &record.encode_to_vec(), lease);
        let Ok(Committed::Done { .. }) = store.commit(&txn).await else {
            time::sleep(RETRY_DELAY).await;
            continue;
        };
        members.registration_lost.set(false);
        loop {
            let _tick = time::timeout(RENEWAL_INTERVAL, members.leave_requested.notified()).await;
            if members.leaving.get() {
                // If this is not answered, the registration expires with its lease.
                let _result = store.end_lease(lease).await;
                return;
            }
            // The store may drop keys and still renew the lease that they were attached to.
            let ended = store.renew_lease(lease).await == Err(StoreError::LeaseEnded);
            if ended || members.registration_lost.get() {
                break;
            }
        }
    }
}
