//! Entry host side of credits.

use indexmap::IndexMap;
use indexmap::IndexSet;
use kernel::ids;

use crate::dispatch;

use super::{Credit, CreditGrant, CreditRequest};

/// Credits that an entry host holds for one service in one group.
#[derive(Debug, Default)]
pub struct CreditPool {
    epoch: ids::Epoch,
    sequence: u64,
    requested_at_ms: u64,
    expires_at_ms: u64,
    idle: IndexMap<dispatch::CallId, Credit>,
    in_use: IndexSet<dispatch::CallId>,
    fair_share: u32,
}

impl CreditPool {
    /// Creates a pool without credits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a request for credits, which returns idle ones in excess of the fair share.
    ///
    /// `waiting` is the number of calls that have no credit or are expected to arrive
    /// before the next request. Returned credits leave the pool immediately, whether or
    /// not the request reaches the owner.
    pub fn request(&mut self, waiting: u32, now_ms: u64) -> CreditRequest {
        self.sequence += 1;
        self.requested_at_ms = now_ms;
        let wanted = self.in_use.len() as u32 + waiting;
        let keep = wanted.min(self.fair_share.max(1)) as usize;
        let held = self.idle.len() + self.in_use.len();
        let excess = held.saturating_sub(keep).min(self.idle.len());
        let kept = self.idle.len() - excess;
        let returned = self.idle.split_off(kept).into_keys().collect();
        CreditRequest {
            sequence: self.sequence,
            wanted,
            returned,
        }
    }

    /// Applies a grant. Returns false if the grant was dropped.
    ///
    /// A grant is dropped if it is of an older epoch or does not belong to the latest
    /// request, because the pool may have returned some of its credits since.
    pub fn accept(&mut self, grant: CreditGrant) -> bool {
        if grant.epoch < self.epoch || grant.sequence != self.sequence {
            return false;
        }
        self.fence(grant.epoch);
        self.expires_at_ms = self.requested_at_ms + grant.expires_in_ms;
        self.fair_share = grant.fair_share;
        let credits = grant.credits.into_iter();
        self.idle = credits.map(|credit| (credit.id, credit)).collect();
        // A credit that is not in the grant must not become idle when its call ends.
        self.in_use.retain(|id| self.idle.swap_remove(id).is_some());
        true
    }

    /// Drops all credits of epochs older than `epoch`. Open calls on them continue.
    pub fn fence(&mut self, epoch: ids::Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.expires_at_ms = 0;
        self.fair_share = 0;
        self.idle.clear();
        self.in_use.clear();
    }

    /// Takes an idle credit for a call; `None` if there is none that lasts until the call's
    /// deadline.
    pub fn acquire(&mut self, deadline_at_ms: u64) -> Option<Credit> {
        if self.expires_at_ms < deadline_at_ms {
            return None;
        }
        let (id, credit) = self.idle.pop()?;
        self.in_use.insert(id);
        Some(credit)
    }

    /// Puts a credit back into the pool when its call has ended.
    pub fn release(&mut self, credit: Credit) {
        // A credit that has been dropped in the meantime is not in use any more.
        if self.in_use.swap_remove(&credit.id) {
            self.idle.insert(credit.id, credit);
        }
    }

    /// Epoch of the credits, which calls must carry.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Number of idle credits.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Number of credits that are used by an open call.
    pub fn in_use(&self) -> usize {
        self.in_use.len()
    }
}
