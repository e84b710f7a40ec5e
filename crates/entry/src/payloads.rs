//! The texts of jobs, which their tasks are handed.
//!
//! A text is up to some thousand bytes, and each start of a task carries it. The coordinator decides without
//! it: the host that took a job from its client keeps the text at hand, and it travels once to each
//! availability zone in which tasks of the job start. The store has it as well, for when that host is gone.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

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

/// Texts that a host keeps at hand at most, in bytes.
const MAX_CACHED_BYTES: usize = 2 << 20;
/// A text that nobody asked for this long is dropped, in milliseconds: most jobs have ended by then.
const CACHE_TTL_MS: u64 = 20_000;
/// How long another host may take to give a text.
const FETCH_TIMEOUT: Duration = Duration::from_millis(350);

type Fetch = Shared<LocalBoxFuture<'static, Option<Rc<str>>>>;

#[derive(Debug)]
struct CachedPayload {
    text: Rc<str>,
    last_used_ms: u64,
}

/// The texts that this host keeps at hand, and the way to the others.
#[derive(Debug)]
pub struct PayloadCache {
    own_name: String,
    own_zone: String,
    members: Rc<Members>,
    peers: Rc<Peers>,
    store: GuardedStore,
    /// Texts, the one that was asked for last at the end.
    cached: RefCell<IndexMap<JobId, CachedPayload>>,
    /// Texts that are on their way; all who ask meanwhile wait for the same answer.
    fetching: RefCell<IndexMap<JobId, Fetch>>,
}

impl PayloadCache {
    /// No text is at hand yet.
    pub fn new(
        own_name: &str,
        own_zone: &str,
        members: Rc<Members>,
        peers: Rc<Peers>,
        store: GuardedStore,
    ) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own_zone: own_zone.to_owned(),
            members,
            peers,
            store,
            cached: RefCell::default(),
            fetching: RefCell::default(),
        }
    }

    /// Keeps a text at hand.
    pub fn cache(&self, job: JobId, text: &str) {
        self.insert(job, text.into());
    }

    fn insert(&self, job: JobId, text: Rc<str>) {
        let mut cached = self.cached.borrow_mut();
        let last_used_ms = clock::now_ms();
        cached.shift_remove(&job);
        cached.insert(job, CachedPayload { text, last_used_ms });
        let mut bytes: usize = cached.values().map(|cached| cached.text.len()).sum();
        let mut dropped = 0;
        for old in cached.values() {
            if bytes <= MAX_CACHED_BYTES && old.last_used_ms + CACHE_TTL_MS >= last_used_ms {
                break;
            }
            bytes -= old.text.len();
            dropped += 1;
        }
        cached.drain(..dropped);
    }

    fn get_cached(&self, job: JobId) -> Option<Rc<str>> {
        let mut cached = self.cached.borrow_mut();
        let found = cached.get_mut(&job)?;
        found.last_used_ms = clock::now_ms();
        Some(Rc::clone(&found.text))
    }

    /// The text of a job: from here, from the host of this zone that fetches it for all, from
    /// `home`, or from the store.
    pub async fn get(self: &Rc<Self>, job: JobId, home: &str) -> Option<Rc<str>> {
        if let Some(text) = self.get_cached(job) {
            return Some(text);
        }
        let fetch = self
            .fetching
            .borrow_mut()
            .entry(job)
            .or_insert_with(|| {
                let (payloads, home) = (Rc::clone(self), home.to_owned());
                async move { payloads.fetch(job, &home).await }
                    .boxed_local()
                    .shared()
            })
            .clone();
        let text = fetch.clone().await;
        let mut fetching = self.fetching.borrow_mut();
        if fetching.get(&job).is_some_and(|known| known.ptr_eq(&fetch)) {
            fetching.swap_remove(&job);
        }
        drop(fetching);
        if let Some(text) = &text
            && !self.cached.borrow().contains_key(&job)
        {
            self.insert(job, Rc::clone(text));
        }
        text
    }

    /// The host of this zone that fetches the text for all, unless it is this one.
    fn zone_fetcher(&self, job: JobId) -> Option<SocketAddr> {
        let routes = self.members.routes();
        let fetcher = routes.depot(&job.to_string(), &self.own_zone)?;
        if *fetcher.name == *self.own_name {
            return None;
        }
        self.members.address_of(&fetcher.name)
    }

    async fn fetch(&self, job: JobId, home: &str) -> Option<Rc<str>> {
        let home_address: Option<SocketAddr> = home.parse().ok();
        let fetcher = home_address.and_then(|_| self.zone_fetcher(job));
        for address in [fetcher, home_address].into_iter().flatten() {
            // The home itself has nobody left to ask but the store.
            let asked_home = Some(address) == home_address;
            let call = Body::Payload(PayloadCall {
                job: job.0,
                home: if asked_home { "" } else { home }.to_owned(),
            });
            let answer = self.peers.call(address, call, FETCH_TIMEOUT).await;
            if let Ok(Body::PayloadReply(PayloadReply { text: Some(text) })) = answer {
                return Some(text.into());
            }
        }
        let item = self.store.get(&records::payload_key(job)).await.ok()??;
        String::from_utf8(item.value).ok().map(Into::into)
    }
}
