//! Queries and cancellations of jobs, answered by the leader or from the store.

use std::time::{Duration, Instant};

use adapter::store::{Committed, Item, Txn};
use cell::{
    credentials::Caller,
    ids::JobId,
    jobs::{JobRecord, JobState},
};
use prost::Message;
use tokio::time;

use crate::{
    clock,
    key_checks::{Denial, Grant},
    leader_client::{self, LEADER_TIMEOUT, LeaderClient, Lookup},
    peers::{self, Body},
    records::{self, ACCEPTED_PREFIX, CANCEL_PREFIX},
};

/// Delay before a cancellation that got no answer from the store is repeated.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Builds the transaction that cancels a job which has not been accepted. Its record takes the
/// job's key, so that no write that accepts the job can succeed after it.
fn cancel_unaccepted_txn(id: JobId) -> Txn {
    let key = records::job_key(id);
    let record = JobRecord::cancelled_unaccepted(id, clock::unix_ms());
    Txn::default()
        .expect(&key, 0)
        .put(&key, &record.encode_to_vec(), 0)
        .put(&format!("{ACCEPTED_PREFIX}{id}"), &[], 0)
}

/// Whether the caller may cancel the job of a record. A malformed record has no tenant.
fn may_access_item(caller: &Caller, item: &Item) -> bool {
    let record = JobRecord::decode(item.value.as_slice());
    record.map_or(true, |record| caller.may_access(&record.tenant))
}

impl LeaderClient {
    /// Returns a job's state.
    pub async fn state(
        &self,
        id: JobId,
        grant: &Grant,
        client_timeout: Duration,
    ) -> Lookup<JobState> {
        if let Ok(Body::StateReply(answer)) = self
            .call_leader(Body::State(id.0), LEADER_TIMEOUT.min(client_timeout / 2))
            .await
            && answer.found
            && let Some(state) = peers::decode_state(answer.state)
        {
            return if grant.caller.may_access(&answer.tenant) {
                Lookup::Is(state)
            } else {
                Lookup::Denied(grant.access_denial())
            };
        }
        match self.store.get(&records::job_key(id)).await {
            Ok(Some(item)) => match JobRecord::decode(item.value.as_slice()) {
                Ok(record) if !record.was_accepted() => Lookup::Missing,
                Ok(record) if !grant.caller.may_access(&record.tenant) => {
                    Lookup::Denied(grant.access_denial())
                }
                Ok(record) => Lookup::Is(record.state()),
                Err(_) => Lookup::Unavailable,
            },
            Ok(None) => Lookup::Missing,
            Err(_) => Lookup::Unavailable,
        }
    }

    /// Cancels a job; returns once the cancellation is durable. A job that has not been accepted is
    /// [`Lookup::Missing`] only once it cannot be accepted any more: a write that accepts it may be
    /// in progress at any host.
    pub async fn cancel(
        &self,
        id: JobId,
        queue: &str,
        grant: &Grant,
        client_timeout: Duration,
    ) -> Lookup<()> {
        let first = LEADER_TIMEOUT.min(client_timeout / 2);
        let started = Instant::now();
        let mut was_sent = false;
        match self.leader_may_cancel(id, grant, first).await {
            Err(denial) => return Lookup::Denied(denial),
            Ok(false) => {}
            Ok(true) => {
                was_sent = true;
                let left = match grant.caller {
                    Caller::Unrestricted => first,
                    _ => first.saturating_sub(started.elapsed()),
                };
                if let Ok(Body::Cancelled(true)) = self.call_leader(Body::Cancel(id.0), left).await
                {
                    return Lookup::Is(());
                }
            }
        }
        let cancel_in_store = async {
            loop {
                let (txn, outcome) = match self.store.get(&records::job_key(id)).await {
                    Ok(Some(item)) if leader_client::is_cancelled_unaccepted(&item) => {
                        return Lookup::Missing;
                    }
                    Ok(Some(item)) if !may_access_item(&grant.caller, &item) => {
                        return Lookup::Denied(grant.access_denial());
                    }
                    Ok(Some(_)) => {
                        let marker = format!("{CANCEL_PREFIX}{id}");
                        (Txn::default().put(&marker, &[], 0), Lookup::Is(()))
                    }
                    Ok(None) => (cancel_unaccepted_txn(id), Lookup::Missing),
                    Err(_) => {
                        time::sleep(CANCEL_RETRY_DELAY).await;
                        continue;
                    }
                };
                match self.key_checks.check_again(queue, grant) {
                    Err(denial) if !was_sent => return Lookup::Denied(denial),
                    // An earlier attempt may have cancelled the job.
                    Err(_) => return Lookup::Unavailable,
                    Ok(()) => was_sent = true,
                }
                match self.store.commit(&txn).await {
                    Ok(Committed::Done { .. }) => return outcome,
                    // The job was accepted in the meantime.
                    Ok(Committed::Conflict { .. }) => {}
                    Err(_) => time::sleep(CANCEL_RETRY_DELAY).await,
                }
            }
        };
        time::timeout(client_timeout.saturating_sub(first), cancel_in_store)
            .await
            .unwrap_or(Lookup::Unavailable)
    }

    /// Whether the leader may be asked to cancel a job for a caller. If not, its record in the store
    /// decides.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the caller must not cancel it.
    async fn leader_may_cancel(
        &self,
        id: JobId,
        grant: &Grant,
        timeout: Duration,
    ) -> Result<bool, Denial> {
        if grant.caller == Caller::Unrestricted {
            return Ok(true);
        }
        match self.call_leader(Body::State(id.0), timeout).await {
            Ok(Body::StateReply(answer)) if answer.found => {
                let may_access = grant.caller.may_access(&answer.tenant);
                may_access.then_some(true).ok_or(grant.access_denial())
            }
            _ => Ok(false),
        }
    }

    /// Returns the number of waiting jobs in a queue.
    pub async fn pending(&self, queue: &str, client_timeout: Duration) -> Lookup<u64> {
        match self
            .call_leader(Body::Pending(queue.to_owned()), client_timeout)
            .await
        {
            Ok(Body::PendingReply(count)) => Lookup::Is(count),
            _ => Lookup::Unavailable,
        }
    }
}
