//! Claims of non-idempotent requests, and the answers retained for duplicates.

use std::collections::VecDeque;

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;

use super::Limits;
use crate::record::Answer;

/// State of the claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// No claim: no request was sent under this key, or it certainly did not run.
    Absent,
    /// Claimed by the current writer of the shard and not yet answered.
    Claimed(ClaimOwner),
    /// Answered; within the retention of claims.
    Answered(Answer),
    /// Claimed, and it is not known whether the request ran until the upstream is queried.
    Unknown(ClaimOwner),
}

/// The attempt and host of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOwner {
    /// The attempt that was to be sent.
    pub attempt_id: u64,
    /// The host that was to send it.
    pub host: ids::HostId,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub request_digest: u64,
    pub owner: ClaimOwner,
    /// Epoch and session of the writer that appended the claim.
    pub epoch: u64,
    pub session: u64,
    pub unknown: bool,
    pub answer: Option<(u64, Answer)>,
}

/// The claims of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Claims {
    by_key: IndexMap<ids::IdempotencyKey, Claim>,
    /// Answered keys with the time of their answer, oldest first.
    answered: VecDeque<(u64, ids::IdempotencyKey)>,
    /// Number of the oldest answered keys whose bodies were dropped.
    stripped: usize,
    body_bytes: usize,
}

impl Claims {
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn get(&self, key: &ids::IdempotencyKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ids::IdempotencyKey, &Claim)> {
        self.by_key.iter()
    }

    /// All claims: the answered ones in the order of their answers, then the open ones.
    pub fn in_order(&self) -> impl Iterator<Item = (&ids::IdempotencyKey, &Claim)> {
        let answered = self.answered.iter().map(|(_, key)| key);
        let answered = answered.filter_map(|key| self.by_key.get_key_value(key));
        let open = self.iter().filter(|(_, claim)| claim.answer.is_none());
        answered.chain(open)
    }

    /// Adds a claim; the key must be absent.
    pub fn insert(&mut self, key: ids::IdempotencyKey, claim: Claim) {
        let previous = self.by_key.insert(key, claim);
        debug_assert!(previous.is_none(), "a key is claimed at most once");
    }

    /// Marks the claim as unknown.
    pub fn set_unknown(&mut self, key: &ids::IdempotencyKey) {
        if let Some(claim) = self.by_key.get_mut(key) {
            claim.unknown = true;
        }
    }

    /// Records the answer of a claim; the outcome `NotRun` frees the key.
    pub fn answer(&mut self, key: &ids::IdempotencyKey, at_ms: u64, answer: Answer) {
        if answer.outcome == errors::Outcome::NotRun {
            self.by_key.swap_remove(key);
            return;
        }
        let Some(claim) = self.by_key.get_mut(key) else {
            return;
        };
        self.body_bytes += answer.body.as_ref().map_or(0, bytes::Bytes::len);
        claim.answer = Some((at_ms, answer));
        self.answered.push_back((at_ms, key.clone()));
    }

    /// Number of the oldest answers whose bodies were dropped to stay within the limit.
    pub fn stripped(&self) -> usize {
        self.stripped
    }

    /// Rebuilds the answer order after claims were inserted in that order.
    pub fn restore_order(&mut self, stripped: usize) {
        let mut answered: Vec<(u64, ids::IdempotencyKey)> = Vec::new();
        for (key, claim) in &self.by_key {
            let Some((at_ms, answer)) = &claim.answer else {
                continue;
            };
            self.body_bytes += answer.body.as_ref().map_or(0, bytes::Bytes::len);
            answered.push((*at_ms, key.clone()));
        }
        self.stripped = stripped.min(answered.len());
        self.answered = answered.into();
    }

    /// Evicts answers past their retention, then drops the oldest bodies above the size limit.
    ///
    /// Keys are evicted by age only: a key evicted by size could run a second time.
    pub fn prune(&mut self, now_ms: u64, limits: &Limits) {
        while let Some((at_ms, key)) = self.answered.front() {
            if at_ms.saturating_add(limits.claim_retention_ms) > now_ms {
                break;
            }
            let claim = self.by_key.swap_remove(key);
            let answer = claim.and_then(|claim| claim.answer);
            self.body_bytes -= body_len(answer.as_ref());
            self.answered.pop_front();
            self.stripped = self.stripped.saturating_sub(1);
        }
        while self.body_bytes > limits.claim_body_bytes {
            let Some((_, key)) = self.answered.get(self.stripped) else {
                break;
            };
            let claim = self.by_key.get_mut(key);
            if let Some((_, answer)) = claim.and_then(|claim| claim.answer.as_mut()) {
                let body = answer.body.take();
                self.body_bytes -= body.map_or(0, |body| body.len());
            }
            self.stripped += 1;
        }
    }
}

fn body_len(answer: Option<&(u64, Answer)>) -> usize {
    let body = answer.and_then(|(_, answer)| answer.body.as_ref());
    body.map_or(0, bytes::Bytes::len)
}
