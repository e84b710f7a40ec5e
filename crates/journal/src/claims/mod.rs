//! At-most-once execution of non-idempotent requests.
//!
//! A request is claimed in the journal before its first byte is sent to an
//! upstream. The first claim of a key in journal order takes effect; duplicates
//! wait for its answer. A claim whose sender was lost is *unknown* until the
//! upstream has been queried: it is neither run again nor reported as not run.

mod ticket;

use std::sync::Arc;
use std::time::Duration;

use kernel::errors;
use kernel::ids;
use tokio::sync::oneshot;
use tokio::time;

use crate::driver::{ShardJournal, Status};
use crate::record::{Answer, Record};
use crate::state::{Applied, ClaimOwner, ClaimState, IgnoredReason};

pub use ticket::ClaimTicket;

/// The parts of a non-idempotent request that its claim records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Idempotency key under which the request runs at most once.
    pub key: ids::IdempotencyKey,
    /// Digest of the request; a different digest under the same key is refused.
    pub digest: u64,
    /// Identifier of the attempt to send.
    pub attempt_id: u64,
}

/// How the owner of a shard proceeds with a request.
#[derive(Debug)]
pub enum Begin {
    /// The request is claimed: send it once, then record the outcome in the ticket.
    Send(ClaimTicket),
    /// The request was answered before.
    Answered(Answer),
    /// It is not known whether the request ran: query the upstream, then
    /// [`settle`](Deduplicator::settle) the claim.
    Unknown(ClaimOwner),
}

/// Claims the non-idempotent requests of a shard, so that each runs at most once.
#[derive(Clone, Debug)]
pub struct Deduplicator {
    journal: Arc<ShardJournal>,
    host: ids::HostId,
}

impl Deduplicator {
    /// Creates a deduplicator that claims in the name of `host`.
    pub fn new(journal: Arc<ShardJournal>, host: ids::HostId) -> Self {
        Self { journal, host }
    }

    /// Claims a request, or returns the outcome of an earlier one with the same key.
    ///
    /// A duplicate of a running request waits for its answer.
    ///
    /// An error that means "not run" covers this request only. If the shard
    /// moved, an earlier request with the key may have run elsewhere; on
    /// `stale_epoch` the forwarding host should try the shard's new owner.
    ///
    /// # Errors
    ///
    /// - [`errors::ErrorKind::Conflict`]: the key belongs to a different request.
    /// - [`errors::ErrorKind::DeadlineAfterStart`]: a duplicate is running and was not
    ///   answered within `wait_ms`.
    /// - [`errors::ErrorKind::AnswerLost`]: a duplicate was running when the shard moved.
    /// - [`errors::ErrorKind::DeadlineBeforeStart`]: the claim was not durable within
    ///   `wait_ms`; it is released, and nothing was or will be sent.
    /// - [`errors::ErrorKind::StoreUnavailable`], [`errors::ErrorKind::StaleEpoch`],
    ///   [`errors::ErrorKind::Overloaded`]: there is no claim, and nothing was sent.
    pub async fn begin(&self, request: &Request, wait_ms: u64) -> errors::Result<Begin> {
        let deadline = time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut applied = self.journal.applied_seq();
            match self.look_up(request)? {
                ClaimState::Answered(answer) => return Ok(Begin::Answered(answer)),
                ClaimState::Unknown(owner) => return Ok(Begin::Unknown(owner)),
                ClaimState::Absent => {
                    let left = deadline.saturating_duration_since(time::Instant::now());
                    if let Some(ticket) = self.claim(request, left.as_millis() as u64).await? {
                        return Ok(Begin::Send(ticket));
                    }
                }
                ClaimState::Claimed(_) => {
                    self.check_open()?;
                    if time::timeout_at(deadline, applied.changed()).await.is_err() {
                        let detail = "an earlier request with this key has no answer yet";
                        let kind = errors::ErrorKind::DeadlineAfterStart;
                        return Err(errors::Error::new(kind, detail));
                    }
                }
            }
        }
    }

    /// Records the result of an upstream inquiry about an unknown claim.
    ///
    /// [`Answer::not_run`] frees the key; the caller must have made sure that no
    /// upstream will run the attempt any more.
    ///
    /// # Errors
    ///
    /// Those of [`ShardJournal::append`], and [`errors::ErrorKind::Conflict`] if the claim
    /// was settled differently in the meantime.
    pub async fn settle(
        &self,
        key: &ids::IdempotencyKey,
        attempt_id: u64,
        answer: Answer,
        wait_ms: u64,
    ) -> errors::Result<()> {
        let record = Record::Answered {
            key: key.clone(),
            attempt_id,
            answer,
        };
        let applied = self.journal.append(vec![record], wait_ms).await?;
        if applied.iter().copied().all(Applied::is_changed) {
            return Ok(());
        }
        let detail = "the claim was settled concurrently";
        Err(errors::Error::new(errors::ErrorKind::Conflict, detail))
    }

    fn look_up(&self, request: &Request) -> errors::Result<ClaimState> {
        let state = self.journal.state();
        let digest = state.claim_digest(&request.key);
        if digest.is_some_and(|digest| digest != request.digest) {
            let detail = format!("key {} belongs to another request", request.key);
            return Err(errors::Error::new(errors::ErrorKind::Conflict, detail));
        }
        Ok(state.claim(&request.key))
    }

    /// Fails if this host no longer writes the journal and thus sees no answer of a running
    /// duplicate.
    fn check_open(&self) -> errors::Result<()> {
        let status = *self.journal.status().borrow();
        if matches!(status, Status::Open | Status::Blocked) {
            return Ok(());
        }
        let detail = "the shard moved while an earlier request with this key was running";
        Err(errors::Error::new(errors::ErrorKind::AnswerLost, detail))
    }

    /// Claims a request; `None` if another claim precedes it in the journal.
    ///
    /// The claim runs in a separate task, so that it is released if the caller
    /// is cancelled before the claim is durable.
    async fn claim(&self, request: &Request, wait_ms: u64) -> errors::Result<Option<ClaimTicket>> {
        let (sender, receiver) = oneshot::channel();
        let claim = claim_once(self.clone(), request.clone(), wait_ms);
        tokio::spawn(async move {
            let outcome = claim.await;
            if let Err(Ok(Some(ticket))) = sender.send(outcome) {
                ticket.release();
            }
        });
        let lost = |_| {
            let detail = "the claim was interrupted";
            Err(errors::Error::new(errors::ErrorKind::Internal, detail))
        };
        receiver.await.unwrap_or_else(lost)
    }
}

async fn claim_once(
    claims: Deduplicator,
    request: Request,
    wait_ms: u64,
) -> errors::Result<Option<ClaimTicket>> {
    let record = Record::Claimed {
        key: request.key.clone(),
        request_digest: request.digest,
        attempt_id: request.attempt_id,
        host: claims.host.clone(),
    };
    let ticket = |claims: Deduplicator| ClaimTicket::new(claims.journal, &request);
    let appended = claims.journal.append(vec![record], wait_ms).await;
    match appended.as_deref() {
        Ok([Applied::Changed]) => Ok(Some(ticket(claims))),
        Ok([Applied::Ignored(IgnoredReason::Full)]) => Err(errors::Error::new(
            errors::ErrorKind::Overloaded,
            "the shard has reached its limit of claims",
        )),
        Ok(_) => Ok(None),
        Err(error) if error.kind == errors::ErrorKind::AnswerLost => {
            ticket(claims).release();
            let kind = errors::ErrorKind::DeadlineBeforeStart;
            Err(errors::Error::new(kind, "the claim is not durable yet"))
        }
        Err(_) => appended.map(|_| None),
    }
}
