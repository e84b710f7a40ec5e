//! The owner's side of credits.

use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;

use crate::dispatch;

use super::{Credit, CreditAsk, CreditGrant};

/// Credits are numbered from here, apart from the calls of the same dispatcher.
const FIRST_CREDIT_ID: u64 = 1 << 63;
/// How far two clocks may drift apart, in percent.
const DRIFT_PERCENT: u64 = 1;

/// Terms on which slots are lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditConfig {
    /// How long a credit lasts after it was granted or renewed.
    pub lifetime_ms: u64,
}

impl Default for CreditConfig {
    fn default() -> Self {
        Self { lifetime_ms: 5_000 }
    }
}

impl CreditConfig {
    /// How long a slot counts as used after it was lent, by the slowest clock allowed.
    ///
    /// A new owner blocks each instance for this time, since it does not know what
    /// the former one lent.
    pub fn fence_ms(&self) -> u64 {
        // Rounded up, so that a short lifetime gets a bound as well.
        self.lifetime_ms + (self.lifetime_ms * DRIFT_PERCENT).div_ceil(100)
    }
}

#[derive(Clone, Debug)]
struct Loan {
    host: ids::HostId,
    instance: ids::TaskAttempt,
    address: Arc<str>,
    counts_until_ms: u64,
}

/// What one owner has lent of one service in one group.
#[derive(Debug)]
pub struct CreditLedger {
    epoch: ids::Epoch,
    config: CreditConfig,
    loans: IndexMap<dispatch::CallId, Loan>,
    wanted: IndexMap<ids::HostId, u32>,
    next_id: u64,
}

impl CreditLedger {
    /// Makes a ledger without loans under an epoch.
    pub fn new(epoch: ids::Epoch, config: CreditConfig) -> Self {
        Self {
            epoch,
            config,
            loans: IndexMap::new(),
            wanted: IndexMap::new(),
            next_id: FIRST_CREDIT_ID,
        }
    }

    /// Takes back what a host returns, renews what it keeps, and lends what it lacks.
    pub fn exchange(
        &mut self,
        host: &ids::HostId,
        ask: &CreditAsk,
        dispatcher: &mut dispatch::Dispatcher,
        now_ms: u64,
    ) -> CreditGrant {
        self.expire(dispatcher, now_ms);
        for id in &ask.returned {
            let lent_to_host = self.loans.get(id).is_some_and(|loan| loan.host == *host);
            if lent_to_host && self.loans.swap_remove(id).is_some() {
                dispatcher.return_slot(*id);
            }
        }
        self.wanted.insert(host.clone(), ask.wanted);
        let counts_until_ms = now_ms + self.config.fence_ms();
        let mut held = 0;
        for loan in self.loans.values_mut().filter(|loan| loan.host == *host) {
            loan.counts_until_ms = counts_until_ms;
            held += 1;
        }
        let target = self.target(host, dispatcher);
        while held < target && self.lend(host, dispatcher, counts_until_ms) {
            held += 1;
        }
        CreditGrant {
            sequence: ask.sequence,
            epoch: self.epoch,
            credits: self.credits_of(host),
            expires_in_ms: self.config.lifetime_ms,
            target,
        }
    }

    /// Frees the slots of credits that have expired by the slowest clock allowed.
    pub fn expire(&mut self, dispatcher: &mut dispatch::Dispatcher, now_ms: u64) {
        let expired = self
            .loans
            .extract_if(.., |_, loan| loan.counts_until_ms <= now_ms);
        for (id, loan) in expired {
            // A host that let its credits expire has gone; it does not share any more.
            self.wanted.swap_remove(&loan.host);
            dispatcher.return_slot(id);
        }
    }

    /// Number of slots that are lent.
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// Whether nothing is lent.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The part of all slots that a host's demand gives it.
    fn target(&self, host: &ids::HostId, dispatcher: &dispatch::Dispatcher) -> u32 {
        let slots = dispatcher.usable_slots();
        let wanted = u64::from(self.wanted.get(host).copied().unwrap_or(0));
        let all: u64 = self.wanted.values().copied().map(u64::from).sum();
        if all <= slots {
            return wanted as u32;
        }
        (slots * wanted / all) as u32
    }

    fn lend(
        &mut self,
        host: &ids::HostId,
        dispatcher: &mut dispatch::Dispatcher,
        counts_until_ms: u64,
    ) -> bool {
        let id = dispatch::CallId(self.next_id);
        let Some(slot) = dispatcher.take_slot(id) else {
            return false;
        };
        self.next_id += 1;
        let loan = Loan {
            host: host.clone(),
            instance: slot.instance,
            address: slot.address,
            counts_until_ms,
        };
        self.loans.insert(id, loan);
        true
    }

    fn credits_of(&self, host: &ids::HostId) -> Vec<Credit> {
        let loans = self.loans.iter().filter(|(_, loan)| loan.host == *host);
        let credits = loans.map(|(id, loan)| Credit {
            id: *id,
            instance: loan.instance.clone(),
            address: Arc::clone(&loan.address),
        });
        credits.collect()
    }
}
