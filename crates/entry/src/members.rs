//! Hosts that live, and who coordinates.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::ControlFlow,
    rc::Rc,
    time::Duration,
};

use adapter::store::{Committed, Event, Item, Listing, StoreError, Txn};
use cell::routing::{Carrier, Routes};
use indexmap::IndexMap;
use kernel::log_event;
use prost::Message;
use rand::RngExt;
use tokio::{sync::Notify, time};

use crate::{
    events,
    prefix_watch::{self, WatchConfig, WatchHandler},
    records::{HOST_PREFIX, HostRecord, LEADER_KEY, LeaderRecord, MEMBERS_PREFIX},
    store::GuardedStore,
};

/// How hosts and coordinator are followed.
const WATCH_CONFIG: WatchConfig = WatchConfig {
    watch_timeout: Duration::from_millis(1_500),
    watch_interval: Duration::ZERO,
    retry_delay: RETRY_DELAY,
};
/// Pause after a call to the store that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A host that does not renew its entry for this long counts as gone.
const HOST_LEASE_TTL: Duration = Duration::from_secs(4);
/// Time between renewals of a host's entry.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// A host that lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its processor, in thousandths of a core.
    pub cpu_millicores: u64,
}

/// What the store says of hosts and of the coordinator.
#[derive(Debug, Default)]
pub struct Members {
    hosts: RefCell<IndexMap<String, Host>>,
    leader: RefCell<Option<LeaderRecord>>,
    /// Who coordinated before the place became vacant.
    previous_leader: RefCell<Option<String>>,
    /// Tells this process from others of the host.
    own_process_id: u64,
    /// The store's revision of the coordinator's entry.
    leader_revision: Cell<u64>,
    /// That revision, if the process of that coordinator is known to have ended.
    dead_leader_revision: Cell<u64>,
    /// The store has answered, and nobody coordinates.
    vacant: Cell<bool>,
    /// Our own entry vanished from the store.
    registration_lost: Cell<bool>,
    /// This host leaves and must no longer be counted on.
    leaving: Cell<bool>,
    /// Notified when it does.
    leave_requested: Notify,
    region_of_zone: IndexMap<String, String>,
    /// Routes over the hosts that live, until these change.
    routes: RefCell<Option<Rc<Routes>>>,
    /// Notified at each change.
    pub changed: Notify,
}

impl Members {
    /// No host is known yet.
    pub fn new(region_of_zone: IndexMap<String, String>) -> Self {
        Self {
            region_of_zone,
            own_process_id: rand::rng().random_range(1..=u64::MAX),
            ..Self::default()
        }
    }

    /// Routes over the hosts that live.
    pub fn routes(&self) -> Rc<Routes> {
        let build = || {
            let carrier = |(name, host): (&String, &Host)| Carrier {
                name: name.as_str().into(),
                zone: host.zone.as_str().into(),
                cpu_millicores: host.cpu_millicores,
            };
            let carriers = self.hosts.borrow().iter().map(carrier).collect();
            Rc::new(Routes::new(carriers, self.region_of_zone.clone()))
        };
        Rc::clone(self.routes.borrow_mut().get_or_insert_with(build))
    }

    /// Where a host that lives takes messages.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.hosts.borrow().get(name).map(|host| host.address)
    }

    /// Takes this host out of the list, so that the others count on it no longer.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.leave_requested.notify_one();
    }

    /// The hosts that live, by name.
    pub fn hosts(&self) -> IndexMap<String, Host> {
        self.hosts.borrow().clone()
    }

    /// Whether a host that lives has more processor than this.
    pub fn has_host_with_more_cpu(&self, cpu_millicores: u64) -> bool {
        self.hosts
            .borrow()
            .values()
            .any(|host| host.cpu_millicores > cpu_millicores)
    }

    /// Where the coordinator takes messages.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.leader.borrow().as_ref()?.address.parse().ok()
    }

    /// The host that coordinated before the place became vacant.
    pub fn previous_leader(&self) -> Option<String> {
        self.previous_leader.borrow().clone()
    }

    /// Whether nobody coordinates, as far as the store says.
    pub fn is_vacant(&self) -> bool {
        self.vacant.get()
    }

    /// The store's revision of the entry that a successor replaces: 0 if nobody coordinates, that of a
    /// coordinator whose process has ended, or `None` while one may be at work.
    pub fn replaceable_revision(&self) -> Option<u64> {
        if self.vacant.get() {
            return Some(0);
        }
        let revision = self.leader_revision.get();
        (revision != 0 && revision == self.dead_leader_revision.get()).then_some(revision)
    }

    /// The process of the coordinator at `address` has ended; its key outlives it by its lease.
    pub fn mark_leader_dead(&self, address: SocketAddr) {
        if self.leader_address() != Some(address) || self.replaceable_revision().is_some() {
            return;
        }
        if let Some(leader) = &*self.leader.borrow() {
            log_event!(events::LEAD_DEAD, "lead={}", leader.host);
            *self.previous_leader.borrow_mut() = Some(leader.host.clone());
        }
        self.dead_leader_revision.set(self.leader_revision.get());
        self.changed.notify_waiters();
    }

    /// Tells this process from others of the host.
    pub fn own_process_id(&self) -> u64 {
        self.own_process_id
    }

    /// Which process of its host coordinates; unknown if another host told of it.
    pub fn leader_process_id(&self) -> Option<u64> {
        let process = self.leader.borrow().as_ref().map(|leader| leader.process);
        process.filter(|process| *process != 0)
    }

    /// Whether no host that lives has more processor than this one.
    pub fn has_most_cpu(&self, own_name: &str) -> bool {
        let own_millicores = self.hosts.borrow().get(own_name).map(|h| h.cpu_millicores);
        own_millicores.is_some_and(|own| !self.has_host_with_more_cpu(own))
    }

    /// Another host told who coordinates, while the store does not.
    pub fn set_leader_from_peer(&self, address: SocketAddr) {
        let leader = LeaderRecord {
            address: address.to_string(),
            ..LeaderRecord::default()
        };
        *self.leader.borrow_mut() = Some(leader);
        self.leader_revision.set(0);
        self.vacant.set(false);
    }

    /// Another host was found to coordinate.
    pub fn mark_leader_present(&self) {
        self.vacant.set(false);
        self.dead_leader_revision.set(0);
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

/// Takes over what the store says of hosts and coordinator.
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

    async fn handle_events(&mut self, events: &[Event]) -> ControlFlow<()> {
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

/// Follows hosts and coordinator for as long as the process runs.
pub async fn watch(store: GuardedStore, members: Rc<Members>, own_name: String) {
    let mut handler = MembersHandler { members, own_name };
    prefix_watch::watch_prefix(&store, MEMBERS_PREFIX, WATCH_CONFIG, &mut handler).await;
}

/// Keeps this host's entry in the store for as long as the process runs.
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
                // Without an answer the entry lapses by itself.
                let _lapses = store.end_lease(lease).await;
                return;
            }
            // The store may drop keys and still renew the lease that held them.
            let ended = store.renew_lease(lease).await == Err(StoreError::LeaseEnded);
            if ended || members.registration_lost.get() {
                break;
            }
        }
    }
}
