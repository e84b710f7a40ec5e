//! State that a new leader loads before it makes decisions: job records and the roster of workers.

use std::{rc::Rc, time::Duration};

use adapter::store::{Item, Listing};
use cell::{
    coordinator::{Coordinator, TakeoverState},
    ids::JobId,
    jobs::{JobRecord, Outcome},
};
use kernel::log_event;
use prost::Message;
use tokio::time;

use super::{HostContext, Leader};
use crate::{
    clock,
    election::{AUTHORITY_TIMEOUT_MS, LEADER_RENEWAL_INTERVAL, Term},
    events,
    records::{JOB_PREFIX, ROSTER_KEY, Roster},
};

/// Run numbers reserved per term for each task.
const RUN_NUMBERS_PER_TERM: u64 = 1_000;
/// Maximum hold that workers grant, in milliseconds, allowing for slow worker clocks.
const MAX_HOLD_MS: u64 = 6_200;
/// Time limit for reading the records; the term is abandoned after it.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Loads records and roster; `None` if the lease ends or the store does not return them in time.
pub(super) async fn load(context: &HostContext, term: Term) -> Option<Rc<Leader>> {
    let renewal = renew_lease_until_ended(context, term);
    let read = time::timeout(READ_TIMEOUT, read_all(context));
    let (jobs, roster) = tokio::select! {
        () = renewal => return None,
        read = read => read.ok()?,
    };
    let config = context.operator_config.current()?;
    let takeover = TakeoverState {
        roster: roster.entries(),
        expiry_ms: term.taken_ms + authority_ms(term, &roster) + MAX_HOLD_MS,
        run_floor: term.number * RUN_NUMBERS_PER_TERM,
    };
    let tuning = Leader::tuning(&context.settings.current());
    let mut coordinator = Coordinator::new(tuning, config, takeover);
    let unix_ms = clock::unix_ms();
    let mut open = 0;
    let job_revisions: Vec<(JobId, u64)> = jobs
        .items
        .iter()
        .filter_map(|item| {
            let record = decode(item)?;
            open += usize::from(record.outcome() == Outcome::Open);
            coordinator.add_job(&record, true, unix_ms);
            Some((JobId(record.id), item.revision))
        })
        .collect();
    log_event!(
        events::LEAD_TAKEN,
        "fence={} records={} open={open} roster={} read_ms={}",
        term.fence,
        job_revisions.len(),
        roster.workers.len(),
        clock::now_ms() - term.taken_ms
    );
    let leader = Leader::new(context, term, coordinator);
    leader.revisions.borrow_mut().extend(job_revisions);
    *leader.durable_roster.borrow_mut() = roster;
    Some(Rc::new(leader))
}

/// How long former leaders may still extend holds, in milliseconds: not at all if the predecessor's
/// process has ended and its own takeover was complete, since no other leader was left then.
fn authority_ms(term: Term, roster: &Roster) -> u64 {
    let none_left = term.replaced_fence != 0 && term.replaced_fence == roster.settled_fence;
    if none_left { 0 } else { AUTHORITY_TIMEOUT_MS }
}

fn decode(item: &Item) -> Option<JobRecord> {
    JobRecord::decode(item.value.as_slice()).ok()
}

async fn renew_lease_until_ended(context: &HostContext, term: Term) {
    loop {
        if context.store.renew_lease(term.lease).await
            == Err(adapter::store::StoreError::LeaseEnded)
        {
            return;
        }
        time::sleep(LEADER_RENEWAL_INTERVAL).await;
    }
}

/// Reads both concurrently: with a slow store, sequential calls would delay the takeover.
async fn read_all(context: &HostContext) -> (Listing, Roster) {
    tokio::join!(read_jobs(context), read_roster(context))
}

async fn read_jobs(context: &HostContext) -> Listing {
    loop {
        match context.store.list(JOB_PREFIX).await {
            Ok(listing) => return listing,
            Err(_) => time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn read_roster(context: &HostContext) -> Roster {
    loop {
        match context.store.get(ROSTER_KEY).await {
            Ok(Some(item)) => return Roster::decode(item.value.as_slice()).unwrap_or_default(),
            Ok(None) => return Roster::default(),
            Err(_) => time::sleep(RETRY_DELAY).await,
        }
    }
}
