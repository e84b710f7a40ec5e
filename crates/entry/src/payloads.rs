//! Job payloads, passed to each task on start.
//!
//! A payload is up to a few thousand bytes, and each task start carries it. The leader does not
//! hold payloads: the host that accepted a job caches its payload, and each availability zone in
//! which tasks of the job start fetches it once. The store also keeps it, in case that host is
//! gone.
//!
//! Identifiers of jobs are chosen by clients, so another client may submit a job under the identifier
//! of one that runs. What clients submitted is kept apart from what was fetched, and is used only for
//! jobs that this host accepted; if it was submitted with different payloads, the store decides.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use cell::ids::JobId;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use indexmap::IndexMap;

use crate::{
    clock,
    members::Members,
    peers::{Body, PayloadCall, PayloadReply, Peers},
    records,
    store::GuardedStore,
};

/// Maximum total size of cached payloads with their entries, in bytes.
const MAX_CACHED_BYTES: usize = 2 << 20;
/// Size to which the cache is reduced once it exceeds that, in bytes: evicting one by one would move all
/// others each time.
const KEPT_CACHED_BYTES: usize = MAX_CACHED_BYTES / 4 * 3;
/// Size of an entry without its payload, in bytes.
const ENTRY_BYTES: usize = 96;
/// Payloads unused for this long are evicted, in milliseconds: most jobs have ended by then.
const CACHE_TTL_MS: u64 = 20_000;
/// Timeout for fetching a payload from another host.
const FETCH_TIMEOUT: Duration = Duration::from_millis(350);

type Fetch = Shared<LocalBoxFuture<'static, Option<Rc<str>>>>;

/// Where a cached payload is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Origin {
    /// A client submitted it to this host.
    Submitted,
    /// Another host or the store returned it.
    Fetched,
}

#[derive(Debug)]
struct CachedPayload {
    /// `None` if it was submitted with different payloads.
    payload: Option<Rc<str>>,
    last_used_ms: u64,
}

impl CachedPayload {
    /// Size of the entry, in bytes.
    fn bytes(&self) -> usize {
        ENTRY_BYTES + self.payload.as_ref().map_or(0, |payload| payload.len())
    }
}

/// Cache of payloads, filled from other hosts or the store on a miss.
#[derive(Debug)]
pub struct PayloadCache {
    own_name: String,
    own_zone: String,
    /// Peer address of this host, as `ip:port`.
    own_address: String,
    members: Rc<Members>,
    peers: Rc<Peers>,
    store: GuardedStore,
    /// Cached payloads, most recently inserted last.
    cached: RefCell<IndexMap<(JobId, Origin), CachedPayload>>,
    /// Total size of their entries, in bytes.
    cached_bytes: Cell<usize>,
    /// Fetches in progress; concurrent requests for a payload share one.
    fetching: RefCell<IndexMap<JobId, Fetch>>,
}

impl PayloadCache {
    /// An empty cache for the host `own_name` in `own_zone`, which other hosts reach at `own_address`.
    pub fn new(
        own_name: &str,
        own_zone: &str,
        own_address: SocketAddr,
        members: Rc<Members>,
        peers: Rc<Peers>,
        store: GuardedStore,
    ) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own_zone: own_zone.to_owned(),
            own_address: own_address.to_string(),
            members,
            peers,
            store,
            cached: RefCell::default(),
            cached_bytes: Cell::default(),
            fetching: RefCell::default(),
        }
    }

    /// Caches a payload that a client submitted to this host.
    pub fn cache(&self, job: JobId, payload: &str) {
        let key = (job, Origin::Submitted);
        let is_other = |cached: &CachedPayload| cached.payload.as_deref() != Some(payload);
        let is_contested = self.cached.borrow().get(&key).is_some_and(is_other);
        self.insert(key, (!is_contested).then(|| payload.into()));
    }

    fn insert(&self, key: (JobId, Origin), payload: Option<Rc<str>>) {
        let mut cached = self.cached.borrow_mut();
        let last_used_ms = clock::now_ms();
        let replaced = cached.shift_remove(&key);
        let inserted = CachedPayload {
            payload,
            last_used_ms,
        };
        let mut bytes = self.cached_bytes.get() + inserted.bytes();
        bytes -= replaced.map_or(0, |replaced| replaced.bytes());
        cached.insert(key, inserted);
        let is_full = bytes > MAX_CACHED_BYTES;
        let mut dropped = 0;
        for old in cached.values() {
            let has_expired = old.last_used_ms + CACHE_TTL_MS < last_used_ms;
            let gives_way = is_full && bytes > KEPT_CACHED_BYTES;
            if !has_expired && !gives_way {
                break;
            }
            bytes -= old.bytes();
            dropped += 1;
        }
        self.cached_bytes.set(bytes);
        cached.drain(..dropped);
    }

    /// The cached payload of a job that `payload_host` accepted; that is this host if it is empty.
    fn get_cached(&self, job: JobId, payload_host: &str) -> Option<Rc<str>> {
        let is_own = payload_host.is_empty() || payload_host == self.own_address;
        let submitted = is_own.then_some((job, Origin::Submitted));
        let mut cached = self.cached.borrow_mut();
        for key in submitted.into_iter().chain([(job, Origin::Fetched)]) {
            if let Some(found) = cached.get_mut(&key)
                && let Some(payload) = &found.payload
            {
                found.last_used_ms = clock::now_ms();
                return Some(Rc::clone(payload));
            }
        }
        None
    }

    /// Returns a job's payload: from the cache, from the host of this zone that fetches it for the
    /// zone, from `payload_host`, or from the store. `payload_host` is the accepting host as `ip:port`, empty if
    /// unknown.
    pub async fn get(self: &Rc<Self>, job: JobId, payload_host: &str) -> Option<Rc<str>> {
        if let Some(payload) = self.get_cached(job, payload_host) {
            return Some(payload);
        }
        let fetch = self
            .fetching
            .borrow_mut()
            .entry(job)
            .or_insert_with(|| {
                let (payloads, payload_host) = (Rc::clone(self), payload_host.to_owned());
                async move { payloads.fetch(job, &payload_host).await }
                    .boxed_local()
                    .shared()
            })
            .clone();
        let payload = fetch.clone().await;
        let mut fetching = self.fetching.borrow_mut();
        if fetching.get(&job).is_some_and(|known| known.ptr_eq(&fetch)) {
            fetching.swap_remove(&job);
        }
        drop(fetching);
        if let Some(payload) = &payload {
            self.insert((job, Origin::Fetched), Some(Rc::clone(payload)));
        }
        payload
    }

    /// The host that fetches the payload for this zone; `None` if it is this host.
    fn zone_fetcher(&self, job: JobId) -> Option<SocketAddr> {
        let routes = self.members.routes();
        let fetcher = routes.select_fetcher(&job.to_string(), &self.own_zone)?;
        if *fetcher.name == *self.own_name {
            return None;
        }
        self.members.address_of(&fetcher.name)
    }

    async fn fetch(&self, job: JobId, payload_host: &str) -> Option<Rc<str>> {
        let payload_host_address: Option<SocketAddr> = payload_host.parse().ok();
        let fetcher = payload_host_address.and_then(|_| self.zone_fetcher(job));
        for address in [fetcher, payload_host_address].into_iter().flatten() {
            // Sends no `payload_host` to that host itself, so that it falls back to the store.
            let is_payload_host = Some(address) == payload_host_address;
            let call = Body::Payload(PayloadCall {
                job: job.0,
                payload_host: if is_payload_host { "" } else { payload_host }.to_owned(),
            });
            let answer = self.peers.call(address, call, FETCH_TIMEOUT).await;
            if let Ok(Body::PayloadReply(PayloadReply {
                payload: Some(payload),
            })) = answer
            {
                return Some(payload.into());
            }
        }
        let item = self.store.get(&records::payload_key(job)).await.ok()??;
        String::from_utf8(item.value).ok().map(Into::into)
    }
}
