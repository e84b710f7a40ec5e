//! What reaches the coordinator through the store: workers, and jobs accepted or cancelled past
//! it.

use std::{ops::ControlFlow, rc::Rc, time::Duration};

use adapter::{
    entries,
    store::{Event, Listing, WORKERS_PREFIX},
};
use cell::{ids::JobId, jobs::JobRecord};
use indexmap::IndexSet;
use kernel::log_event;
use prost::Message;
use tokio::time;

use super::{Lead, holds};
use crate::{
    clock, events,
    follow::{self, Follower, Rhythm},
    records::{self, ARRIVALS_PREFIX, CANCEL_PREFIX, LEAD_MIRROR_KEY, NEW_PREFIX},
};

/// Pause after a call to the store that failed.
const RETRY: Duration = Duration::from_millis(150);
/// How arrivals and workers are followed.
const RHYTHM: Rhythm = Rhythm {
    wait: Duration::from_millis(1_500),
    pace: Duration::from_millis(120),
    retry: RETRY,
};

/// Takes in jobs accepted or cancelled past the coordinator.
#[derive(Debug)]
struct JobsFollower(Rc<Lead>);

impl Follower for JobsFollower {
    async fn listed(&mut self, listing: &Listing) -> ControlFlow<()> {
        let Self(lead) = self;
        let mut own_lead = false;
        for item in &listing.items {
            own_lead |= item.key == LEAD_MIRROR_KEY && item.revision == lead.term.fence;
            lead.take_arrival(&item.key).await;
        }
        if own_lead {
            return ControlFlow::Continue(());
        }
        lead.lose("key_taken");
        ControlFlow::Break(())
    }

    async fn changed(&mut self, events: &[Event]) -> ControlFlow<()> {
        let Self(lead) = self;
        for event in events {
            match event {
                Event::Put(item) if item.key == LEAD_MIRROR_KEY => {
                    if item.revision != lead.term.fence {
                        lead.lose("key_taken");
                        return ControlFlow::Break(());
                    }
                }
                Event::Put(item) => lead.take_arrival(&item.key).await,
                Event::Removed { key } if key == LEAD_MIRROR_KEY => {
                    lead.lose("key_removed");
                    return ControlFlow::Break(());
                }
                Event::Removed { .. } => {}
            }
        }
        ControlFlow::Continue(())
    }
}

/// Takes in jobs accepted or cancelled past the coordinator, and notices a successor.
pub(super) async fn follow_jobs(lead: Rc<Lead>) {
    let store = lead.around.store.clone();
    follow::follow(&store, ARRIVALS_PREFIX, RHYTHM, &mut JobsFollower(lead)).await;
}

impl Lead {
    async fn take_arrival(&self, key: &str) {
        if let Some(id) = key.strip_prefix(NEW_PREFIX).and_then(|id| id.parse().ok()) {
            self.fetch(id).await;
        } else if let Some(id) = key
            .strip_prefix(CANCEL_PREFIX)
            .and_then(|id| id.parse().ok())
        {
            self.fetch(id).await;
            self.cell.borrow_mut().cancel(id, clock::unix_ms());
            self.schedule.notify_one();
        } else {
            return;
        }
        self.taken_arrivals.borrow_mut().push(key.to_owned());
        self.commit.notify_one();
    }

    /// Takes in a job's record that is not known here.
    async fn fetch(&self, id: JobId) {
        while !self.cell.borrow().knows(id) {
            match self.around.store.get(&records::job_key(id)).await {
                Ok(Some(item)) => {
                    self.revisions.borrow_mut().insert(id, item.revision);
                    if let Ok(record) = JobRecord::decode(item.value.as_slice()) {
                        self.take_in(&record);
                    }
                    return;
                }
                Ok(None) => return,
                Err(_) => time::sleep(RETRY).await,
            }
        }
    }
}

/// Takes over what workers say of themselves.
#[derive(Debug)]
struct WorkersFollower(Rc<Lead>);

impl Follower for WorkersFollower {
    async fn listed(&mut self, listing: &Listing) -> ControlFlow<()> {
        let Self(lead) = self;
        let mut seen: IndexSet<String> = IndexSet::new();
        for item in &listing.items {
            if lead.take_entry(&item.key, &item.value)
                && let Some(id) = entries::worker_id(&item.key)
            {
                seen.insert(id.to_owned());
            }
        }
        lead.unlist_others(&seen);
        lead.roster.notify_one();
        ControlFlow::Continue(())
    }

    async fn changed(&mut self, events: &[Event]) -> ControlFlow<()> {
        let Self(lead) = self;
        for event in events {
            match event {
                Event::Put(item) => {
                    if !lead.take_entry(&item.key, &item.value) {
                        lead.unlist(&item.key);
                    }
                }
                Event::Removed { key } => lead.unlist(key),
            }
        }
        lead.roster.notify_one();
        lead.schedule.notify_one();
        ControlFlow::Continue(())
    }
}

/// Follows the list of workers.
pub(super) async fn follow_workers(lead: Rc<Lead>) {
    let store = lead.around.store.clone();
    follow::follow(&store, WORKERS_PREFIX, RHYTHM, &mut WorkersFollower(lead)).await;
}

impl Lead {
    /// Takes over a worker's entry; false if it names no worker.
    fn take_entry(self: &Rc<Self>, key: &str, value: &[u8]) -> bool {
        let Some(entry) = entries::worker_id(key).and_then(|id| entries::decode(id, value)) else {
            return false;
        };
        let id = Rc::clone(&entry.id);
        let known = self
            .cell
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
        if self.cell.borrow_mut().list_worker(entry) {
            self.spawn(holds::run(Rc::clone(self), id));
        }
        true
    }

    fn unlist(&self, key: &str) {
        if let Some(id) = entries::worker_id(key) {
            log_event!(events::WORKER_CHANGED, "worker={id} listed=false");
            self.cell.borrow_mut().unlist_worker(id, clock::now_ms());
        }
    }

    fn unlist_others(&self, seen: &IndexSet<String>) {
        let gone: Vec<Rc<str>> = self
            .cell
            .borrow()
            .workers()
            .values()
            .filter(|worker| worker.listed && !seen.contains(&*worker.entry.id))
            .map(|worker| Rc::clone(&worker.entry.id))
            .collect();
        for id in gone {
            log_event!(events::WORKER_CHANGED, "worker={id} listed=false");
            self.cell.borrow_mut().unlist_worker(&id, clock::now_ms());
        }
    }
}
