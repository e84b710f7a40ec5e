//! What a new coordinator learns before it decides.

use std::{rc::Rc, time::Duration};

use adapter::store::{Item, Listing};
use cell::{
    coordinator::{Coordinator, Inheritance},
    ids::JobId,
    jobs::{JobRecord, Outcome},
};
use kernel::log_event;
use prost::Message;
use tokio::time;

use super::{Lead, Surroundings};
use crate::{
    clock,
    election::{AUTHORITY_MS, LEAD_RENEWAL, Term},
    events,
    records::{JOB_PREFIX, ROSTER_KEY, Roster},
};

/// Run numbers that one term may use for a task.
const RUNS_PER_TERM: u64 = 1_000;
/// The longest hold that workers grant, with their clocks running slow, in milliseconds.
const LONGEST_HOLD_MS: u64 = 6_200;
/// Time in which records must be read, after which the term is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(100);

/// Reads records and roster; `None` if the store does not give them.
pub(super) async fn begin(around: &Surroundings, term: Term) -> Option<Rc<Lead>> {
    let keep = keep_lease(around, term);
    let read = time::timeout(READ_TIMEOUT, read_all(around));
    let (jobs, roster) = tokio::select! {
        () = keep => return None,
        read = read => read.ok()?,
    };
    let config = around.operators.current()?;
    let inheritance = Inheritance {
        roster: roster.entries(),
        lapsed_ms: term.taken_ms + AUTHORITY_MS + LONGEST_HOLD_MS,
        run_floor: term.number * RUNS_PER_TERM,
    };
    let tuning = Lead::tuning(&around.settings.current());
    let mut cell = Coordinator::new(tuning, config, inheritance);
    let unix_ms = clock::unix_ms();
    let mut open = 0;
    let lead_revisions: Vec<(JobId, u64)> = jobs
        .items
        .iter()
        .filter_map(|item| {
            let record = decode(item)?;
            open += usize::from(record.outcome() == Outcome::Open);
            cell.accept(&record, true, unix_ms);
            Some((JobId(record.id), item.revision))
        })
        .collect();
    log_event!(
        events::LEAD_TAKEN,
        "fence={} records={} open={open} roster={} read_ms={}",
        term.fence,
        lead_revisions.len(),
        roster.workers.len(),
        clock::now_ms() - term.taken_ms
    );
    let lead = Lead::new(around, term, cell);
    lead.revisions.borrow_mut().extend(lead_revisions);
    let rostered = roster
        .workers
        .iter()
        .map(|worker| worker.id.as_str().into());
    lead.rostered.borrow_mut().extend(rostered);
    Some(Rc::new(lead))
}

fn decode(item: &Item) -> Option<JobRecord> {
    JobRecord::decode(item.value.as_slice()).ok()
}

async fn keep_lease(around: &Surroundings, term: Term) {
    loop {
        time::sleep(LEAD_RENEWAL).await;
        if around.store.renew_lease(term.lease).await == Err(adapter::store::StoreError::LeaseEnded)
        {
            return;
        }
    }
}

/// Reads both at once: while the store is slow, each call in a row delays the takeover.
async fn read_all(around: &Surroundings) -> (Listing, Roster) {
    tokio::join!(read_jobs(around), read_roster(around))
}

async fn read_jobs(around: &Surroundings) -> Listing {
    loop {
        match around.store.list(JOB_PREFIX).await {
            Ok(listing) => return listing,
            Err(_) => time::sleep(RETRY).await,
        }
    }
}

async fn read_roster(around: &Surroundings) -> Roster {
    loop {
        match around.store.get(ROSTER_KEY).await {
            Ok(Some(item)) => return Roster::decode(item.value.as_slice()).unwrap_or_default(),
            Ok(None) => return Roster::default(),
            Err(_) => time::sleep(RETRY).await,
        }
    }
}
