//! Changes that reach the leader through the store: workers, and jobs that hosts accepted or
//! cancelled directly in the store.

use std::{ops::ControlFlow, rc::Rc, time::Duration};

use adapter::{
    entries,
    store::{Event, Item, WORKERS_PREFIX},
};
use cell::{ids::JobId, jobs::JobRecord};
use indexmap::IndexSet;
use kernel::log_event;
use prost::Message;
use tokio::time;

use super::Leader;
use crate::{
    clock, events,
    listing::Listing,
    prefix_watch::{self, WatchAnswer, WatchConfig, WatchHandler, WatchPosition},
    records::{self, ACCEPTED_PREFIX, ARRIVALS_PREFIX, CANCEL_PREFIX, LEADER_MIRROR_KEY},
};

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Timing of the watches on arrivals and workers.
const WATCH_CONFIG: WatchConfig = WatchConfig {
    watch_timeout: Duration::from_millis(1_500),
    watch_interval: Duration::from_millis(120),
    retry_delay: RETRY_DELAY,
};

/// An arrival that was applied and whose key has not been deleted.
#[derive(Clone, Debug)]
pub(super) struct AppliedArrival {
    /// The job that it changed.
    pub(super) job: JobId,
    /// Its key.
    pub(super) key: String,
}

/// Applies jobs accepted or cancelled directly in the store.
#[derive(Debug)]
struct ArrivalsHandler(Rc<Leader>);

impl WatchHandler for ArrivalsHandler {
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()> {
        let Self(leader) = self;
        leader.apply_arrivals(listing)
    }

    async fn handle_events(&mut self, events: &[Event], _answer: WatchAnswer) -> ControlFlow<()> {
        let Self(leader) = self;
        for event in events {
            match event {
                Event::Put(item) if item.key == LEADER_MIRROR_KEY => {
                    if item.revision != leader.term.fence {
                        leader.end_term("key_taken");
                        return ControlFlow::Break(());
                    }
                }
                Event::Put(item) => leader.apply_arrival(&item.key),
                Event::Removed { key } if key == LEADER_MIRROR_KEY => {
                    leader.end_term("key_removed");
                    return ControlFlow::Break(());
                }
                Event::Removed { .. } => {}
            }
        }
        ControlFlow::Continue(())
    }
}

/// Watches for jobs accepted or cancelled directly in the store from `position` on, and for
/// a successor's leader key.
pub(super) async fn watch_arrivals(leader: Rc<Leader>, position: WatchPosition) {
    let store = leader.context.store.clone();
    let mut handler = ArrivalsHandler(leader);
    let watched = prefix_watch::watch_from(
        &store,
        ARRIVALS_PREFIX,
        position,
        WATCH_CONFIG,
        &mut handler,
    );
    if watched.await.is_continue() {
        prefix_watch::watch_prefix(&store, ARRIVALS_PREFIX, WATCH_CONFIG, &mut handler).await;
    }
}

impl Leader {
    /// Applies all arrivals in a listing, unless it shows that another leader has the key.
    pub(super) fn apply_arrivals(self: &Rc<Self>, listing: &Listing) -> ControlFlow<()> {
        let is_own_key =
            |item: &Item| item.key == LEADER_MIRROR_KEY && item.revision == self.term.fence;
        if !listing.items.iter().any(is_own_key) {
            self.end_term("key_taken");
            return ControlFlow::Break(());
        }
        for item in &listing.items {
            self.apply_arrival(&item.key);
        }
        ControlFlow::Continue(())
    }

    /// Applies an arrival. Records that are not in memory are read concurrently: a cancellation
    /// must not wait for the arrivals before it.
    fn apply_arrival(self: &Rc<Self>, key: &str) {
        let accepted = key.strip_prefix(ACCEPTED_PREFIX);
        let cancelled = key.strip_prefix(CANCEL_PREFIX);
        let Some(id) = accepted.or(cancelled).and_then(|id| id.parse().ok()) else {
            return;
        };
        if cancelled.is_some() {
            self.apply_cancellation(id);
        }
        let key = key.to_owned();
        if self.coordinator.borrow().contains_job(id) {
            return self.finish_arrival(id, key);
        }
        let loading = Rc::clone(self);
        self.spawn(async move {
            loading.load_job(id).await;
            loading.finish_arrival(id, key);
        });
    }

    /// Applies a durable cancellation; that of a job not in memory once its record is accepted.
    fn apply_cancellation(&self, id: JobId) {
        if !self.coordinator.borrow().contains_job(id) {
            self.early_cancellations.borrow_mut().insert(id);
            return;
        }
        self.coordinator
            .borrow_mut()
            .cancellation_durable(id, clock::unix_ms());
        self.schedule.notify_one();
    }

    /// Lets the key of an applied arrival be deleted once its effect is durable.
    fn finish_arrival(&self, job: JobId, key: String) {
        self.applied_arrivals
            .borrow_mut()
            .push(AppliedArrival { job, key });
        self.commit.notify_one();
    }

    /// Loads and accepts the record of a job that is not in memory.
    async fn load_job(&self, id: JobId) {
        let Ok(_slot) = self.record_reads.acquire().await else {
            return;
        };
        while !self.coordinator.borrow().contains_job(id) {
            match self.context.store.get(&records::job_key(id)).await {
                Ok(item) => {
                    let record = item.as_ref().and_then(|item| {
                        let record = JobRecord::decode(item.value.as_slice()).ok()?;
                        Some((record, item.revision))
                    });
                    return self.accept_loaded(id, record);
                }
                Err(_) => time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Accepts a loaded record and its revision, unless the job has become known meanwhile.
    fn accept_loaded(&self, id: JobId, record: Option<(JobRecord, u64)>) {
        if self.coordinator.borrow().contains_job(id) {
            return;
        }
        let Some((record, revision)) = record else {
            // The record was removed after the retention period.
            self.early_cancellations.borrow_mut().swap_remove(&id);
            return;
        };
        self.revisions.borrow_mut().insert(id, revision);
        self.accept_record(&record);
    }
}

/// Applies the workers' own entries.
#[derive(Debug)]
struct WorkersHandler(Rc<Leader>);

impl WatchHandler for WorkersHandler {
    async fn handle_listing(&mut self, listing: &Listing) -> ControlFlow<()> {
        let Self(leader) = self;
        let mut seen: IndexSet<String> = IndexSet::new();
        for item in &listing.items {
            if leader.apply_worker_entry(&item.key, &item.value)
                && let Some(id) = entries::worker_id(&item.key)
            {
                seen.insert(id.to_owned());
            }
        }
        leader.unlist_missing(&seen);
        leader.roster.notify_one();
        ControlFlow::Continue(())
    }

    async fn handle_events(&mut self, events: &[Event], answer: WatchAnswer) -> ControlFlow<()> {
        let Self(leader) = self;
        for event in events {
            let (Event::Put(Item { key, .. }) | Event::Removed { key }) = event;
            let Some(id) = entries::worker_id(key) else {
                continue;
            };
            match event {
                Event::Put(item) if leader.apply_worker_entry(key, &item.value) => {
                    let mut coordinator = leader.coordinator.borrow_mut();
                    coordinator.entry_written(id, answer.not_before_ms);
                }
                Event::Put(_) => leader.unlist(id),
                Event::Removed { .. } => leader.remove_entry(id),
            }
        }
        leader.roster.notify_one();
        leader.schedule.notify_one();
        ControlFlow::Continue(())
    }
}

/// Watches the list of workers.
pub(super) async fn watch_workers(leader: Rc<Leader>) {
    let store = leader.context.store.clone();
    prefix_watch::watch_prefix(
        &store,
        WORKERS_PREFIX,
        WATCH_CONFIG,
        &mut WorkersHandler(leader),
    )
    .await;
}

impl Leader {
    /// Applies a worker's entry; false if the entry is not a valid worker.
    fn apply_worker_entry(self: &Rc<Self>, key: &str, value: &[u8]) -> bool {
        let Some(entry) = entries::worker_id(key).and_then(|id| entries::decode(id, value)) else {
            return false;
        };
        let id = Rc::clone(&entry.id);
        let known = self
            .coordinator
            .borrow()
            .workers()
            .get(&id)
            .map(|w| (w.listed, w.entry.draining));
        if known != Some((true, entry.draining)) {
            log_event!(
                events::WORKER_CHANGED,
                "worker={id} listed=true draining={} address={} cpu={} memory_mb={}",
                entry.draining,
                entry.address,
                entry.capacity.cpu_millicores,
                entry.capacity.memory_mb
            );
        }
        if self.coordinator.borrow_mut().update_worker(entry) {
            self.spawn_hold(id);
        }
        true
    }

    /// Applies the removal of a worker's entry.
    fn remove_entry(&self, id: &str) {
        let mut coordinator = self.coordinator.borrow_mut();
        coordinator.entry_removed(id, clock::now_ms());
        let withdrawal = coordinator.workers().get(id).and_then(|w| w.withdrawal);
        log_event!(
            events::WORKER_CHANGED,
            "worker={id} listed=false withdrawn_after_ms={:?}",
            withdrawal.map(|withdrawal| withdrawal.entry_age_ms)
        );
    }

    /// Removes a worker from the list that has no valid entry.
    fn unlist(&self, id: &str) {
        log_event!(events::WORKER_CHANGED, "worker={id} listed=false");
        self.coordinator.borrow_mut().remove_from_list(id);
    }

    fn unlist_missing(&self, seen: &IndexSet<String>) {
        let missing: Vec<Rc<str>> = self
            .coordinator
            .borrow()
            .workers()
            .values()
            .filter(|worker| worker.listed && !seen.contains(&*worker.entry.id))
            .map(|worker| Rc::clone(&worker.entry.id))
            .collect();
        for id in missing {
            self.unlist(&id);
        }
    }
}
