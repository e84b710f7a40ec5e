//! The entry host's side of credits.

use indexmap::IndexMap;
use indexmap::IndexSet;
use kernel::ids;

use crate::dispatch;

use super::{Credit, CreditAsk, CreditGrant};

/// Credits of one group for one service, as an entry host holds them.
#[derive(Debug, Default)]
pub struct CreditPool {
    epoch: ids::Epoch,
    sequence: u64,
    asked_at_ms: u64,
    expires_at_ms: u64,
    idle: IndexMap<dispatch::CallId, Credit>,
    in_use: IndexSet<dispatch::CallId>,
    target: u32,
}

impl CreditPool {
    /// Makes an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a request for credits, and gives back idle ones above the fair part.
    ///
    /// `waiting` is the number of calls that have no credit or are expected to come
    /// before the next request. What is returned is not
    /// used any more, whether or not the request arrives.
    pub fn ask(&mut self, waiting: u32, now_ms: u64) -> CreditAsk {
        self.sequence += 1;
        self.asked_at_ms = now_ms;
        let wanted = self.in_use.len() as u32 + waiting;
        let keep = wanted.min(self.target.max(1)) as usize;
        let held = self.idle.len() + self.in_use.len();
        let excess = held.saturating_sub(keep).min(self.idle.len());
        let kept = self.idle.len() - excess;
        let returned = self.idle.split_off(kept).into_keys().collect();
        CreditAsk {
            sequence: self.sequence,
            wanted,
            returned,
        }
    }

    /// Takes in a grant; returns whether it was used.
    ///
    /// A grant of an older epoch is dropped, and so is one that does not answer the
    /// last request, since credits may have been returned after it was made.
    pub fn accept(&mut self, grant: CreditGrant) -> bool {
        if grant.epoch < self.epoch || grant.sequence != self.sequence {
            return false;
        }
        self.fence(grant.epoch);
        self.expires_at_ms = self.asked_at_ms + grant.expires_in_ms;
        self.target = grant.target;
        let credits = grant.credits.into_iter();
        self.idle = credits.map(|credit| (credit.id, credit)).collect();
        // A credit that the owner no longer counts must not become idle when its call ends.
        self.in_use.retain(|id| self.idle.swap_remove(id).is_some());
        true
    }

    /// Drops all idle credits of older epochs.
    pub fn fence(&mut self, epoch: ids::Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.expires_at_ms = 0;
        self.target = 0;
        self.idle.clear();
        self.in_use.clear();
    }

    /// Takes a credit that lasts until a call's deadline.
    pub fn take(&mut self, deadline_at_ms: u64) -> Option<Credit> {
        if self.expires_at_ms < deadline_at_ms {
            return None;
        }
        let (id, credit) = self.idle.pop()?;
        self.in_use.insert(id);
        Some(credit)
    }

    /// Makes a credit idle again when its call has ended.
    pub fn give_back(&mut self, credit: Credit) {
        // A credit of an older epoch is not in use here any more and is dropped.
        if self.in_use.swap_remove(&credit.id) {
            self.idle.insert(credit.id, credit);
        }
    }

    /// The epoch that calls on these credits carry.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Number of credits without a call.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Number of credits with a call.
    pub fn in_use(&self) -> usize {
        self.in_use.len()
    }
}
