//! Owner side of credits.

use std::sync::Arc;

use indexmap::IndexMap;
use kernel::ids;

use crate::dispatch;

use super::{Credit, CreditGrant, CreditRequest};

/// First credit ID; separates credits from the calls of the same dispatcher.
const FIRST_CREDIT_ID: u64 = 1 << 63;
/// Maximum drift between two clocks, in percent of the elapsed time.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 1;

/// Configuration of credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditConfig {
    /// Lifetime of a credit after it was granted or renewed.
    pub lifetime_ms: u64,
}

impl Default for CreditConfig {
    fn default() -> Self {
        Self { lifetime_ms: 5_000 }
    }
}

impl CreditConfig {
    /// Time for which a slot counts as in use after its credit was granted or renewed: the
    /// lifetime on the slowest permitted clock.
    ///
    /// A new owner blocks each instance for this time, because the credits granted by the
    /// previous owner are not known to it.
    pub fn fence_ms(&self) -> u64 {
        // Rounded up, so that the margin is not zero for short lifetimes.
        self.lifetime_ms + (self.lifetime_ms * MAX_CLOCK_DRIFT_PERCENT).div_ceil(100)
    }
}

#[derive(Clone, Debug)]
struct GrantedCredit {
    host: ids::HostId,
    instance: ids::TaskAttempt,
    address: Arc<str>,
    in_use_until_ms: u64,
}

/// Credits that an owner has granted for one service in one group.
#[derive(Debug)]
pub struct CreditLedger {
    epoch: ids::Epoch,
    config: CreditConfig,
    granted: IndexMap<dispatch::CallId, GrantedCredit>,
    wanted: IndexMap<ids::HostId, u32>,
    next_id: u64,
}

impl CreditLedger {
    /// Creates a ledger without credits for an epoch of ownership.
    pub fn new(epoch: ids::Epoch, config: CreditConfig) -> Self {
        Self {
            epoch,
            config,
            granted: IndexMap::new(),
            wanted: IndexMap::new(),
            next_id: FIRST_CREDIT_ID,
        }
    }

    /// Processes a request of a host: frees the returned credits, renews the remaining ones
    /// and grants new ones up to the host's fair share.
    pub fn exchange(
        &mut self,
        host: &ids::HostId,
        request: &CreditRequest,
        dispatcher: &mut dispatch::Dispatcher,
        now_ms: u64,
    ) -> CreditGrant {
        self.expire(dispatcher, now_ms);
        for id in &request.returned {
            let granted_to_host = self
                .granted
                .get(id)
                .is_some_and(|credit| credit.host == *host);
            if granted_to_host && self.granted.swap_remove(id).is_some() {
                dispatcher.release_slot(*id);
            }
        }
        self.wanted.insert(host.clone(), request.wanted);
        let in_use_until_ms = now_ms + self.config.fence_ms();
        let mut held = 0;
        for credit in self
            .granted
            .values_mut()
            .filter(|credit| credit.host == *host)
        {
            credit.in_use_until_ms = in_use_until_ms;
            held += 1;
        }
        let fair_share = self.fair_share(host, dispatcher);
        while held < fair_share && self.grant_one(host, dispatcher, in_use_until_ms) {
            held += 1;
        }
        CreditGrant {
            sequence: request.sequence,
            epoch: self.epoch,
            credits: self.credits_of(host),
            expires_in_ms: self.config.lifetime_ms,
            fair_share,
        }
    }

    /// Frees the slots of credits that have expired on the slowest permitted clock.
    pub fn expire(&mut self, dispatcher: &mut dispatch::Dispatcher, now_ms: u64) {
        let expired = self
            .granted
            .extract_if(.., |_, credit| credit.in_use_until_ms <= now_ms);
        for (id, credit) in expired {
            // A host whose credits expired is considered gone, and its demand no longer counts.
            self.wanted.swap_remove(&credit.host);
            dispatcher.release_slot(id);
        }
    }

    /// Number of credits that are granted and have not expired.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Whether no credits are granted.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// The fair share of a host: its demand, scaled down if the total demand exceeds the
    /// number of slots.
    fn fair_share(&self, host: &ids::HostId, dispatcher: &dispatch::Dispatcher) -> u32 {
        let slots = dispatcher.usable_slots();
        let wanted = u64::from(self.wanted.get(host).copied().unwrap_or(0));
        let total_wanted: u64 = self.wanted.values().copied().map(u64::from).sum();
        if total_wanted <= slots {
            return wanted as u32;
        }
        (slots * wanted / total_wanted) as u32
    }

    fn grant_one(
        &mut self,
        host: &ids::HostId,
        dispatcher: &mut dispatch::Dispatcher,
        in_use_until_ms: u64,
    ) -> bool {
        let id = dispatch::CallId(self.next_id);
        let Some(dispatch) = dispatcher.acquire_slot(id) else {
            return false;
        };
        self.next_id += 1;
        let credit = GrantedCredit {
            host: host.clone(),
            instance: dispatch.instance,
            address: dispatch.address,
            in_use_until_ms,
        };
        self.granted.insert(id, credit);
        true
    }

    fn credits_of(&self, host: &ids::HostId) -> Vec<Credit> {
        let granted = self
            .granted
            .iter()
            .filter(|(_, credit)| credit.host == *host);
        let credits = granted.map(|(id, credit)| Credit {
            id: *id,
            instance: credit.instance.clone(),
            address: Arc::clone(&credit.address),
        });
        credits.collect()
    }
}
