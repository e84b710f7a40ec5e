//! Non-idempotent requests: at most one run for each key.
//!
//! A request is claimed in the journal before its first byte leaves for an
//! upstream. Of several claims of a key the journal's order lets one count; the
//! others wait for its answer. A claim that outlives its sender is *unknown*
//! until an upstream was asked: it is neither run again nor said not to have run.

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

/// A non-idempotent request, as far as its claim needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The key under which it runs at most once.
    pub key: ids::IdempotencyKey,
    /// Digest of the request; another digest under the same key is refused.
    pub digest: u64,
    /// The number of the attempt that would be sent.
    pub attempt_id: u64,
}

/// What the owner of a shard does with a request.
#[derive(Debug)]
pub enum Begin {
    /// The request is claimed: send it once, then tell the ticket how it went.
    Send(ClaimTicket),
    /// The request ran before; this is its answer.
    Answered(Answer),
    /// Whether the request ran is not known: ask the upstream, then
    /// [`settle`](Deduplicator::settle) it.
    Unknown(ClaimOwner),
}

/// Lets each non-idempotent request of a shard run at most once.
#[derive(Clone, Debug)]
pub struct Deduplicator {
    journal: Arc<ShardJournal>,
    host: ids::HostId,
}

impl Deduplicator {
    /// Requests that this host sends for a shard.
    pub fn new(journal: Arc<ShardJournal>, host: ids::HostId) -> Self {
        Self { journal, host }
    }

    /// Claims a request, or finds out what became of an earlier one with its key.
    ///
    /// A duplicate of a request that is running waits for the answer.
    ///
    /// # Errors
    ///
    /// - [`errors::ErrorKind::Conflict`]: another request has the key.
    /// - [`errors::ErrorKind::DeadlineAfterStart`]: a duplicate is running and was not
    ///   answered within `wait_ms`.
    /// - [`errors::ErrorKind::AnswerLost`]: a duplicate was running when the shard moved.
    /// - [`errors::ErrorKind::DeadlineBeforeStart`]: the claim was not settled within
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

    /// Records what an upstream said about a request of which it was not known whether it ran.
    ///
    /// With [`Answer::not_run`] the key becomes free. Whoever settles must know
    /// that no upstream will run the attempt any more.
    ///
    /// # Errors
    ///
    /// As [`ShardJournal::append`], and [`errors::ErrorKind::Conflict`] if the claim
    /// was settled differently meanwhile.
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
        let detail = "the claim was settled meanwhile";
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

    /// A journal that is no longer written cannot tell how a running duplicate ends.
    fn check_open(&self) -> errors::Result<()> {
        let status = *self.journal.status().borrow();
        if matches!(status, Status::Open | Status::Blocked) {
            return Ok(());
        }
        let detail = "the shard moved while an earlier request with this key was running";
        Err(errors::Error::new(errors::ErrorKind::AnswerLost, detail))
    }

    /// Claims a request; `None` if another claim came first.
    ///
    /// The claim goes on in a task of its own, so that it is released when the
    /// caller goes away before the claim is durable.
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
            "the shard keeps as many claims as it may",
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
