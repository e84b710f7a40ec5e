//! Credits between the owners of groups and the entry hosts.

use indexmap::IndexMap;
use kernel::ids;

use crate::credits;
use crate::dispatch;

use super::cell;

/// Credits asked for beyond the present need, as a share of it.
const SPARE_SHARE: f64 = 0.25;
/// Least number of credits asked for beyond the present need.
const SPARE_MIN: u32 = 2;

/// The owner of one group.
#[derive(Debug)]
pub(super) struct Lender {
    ledger: credits::CreditLedger,
    dispatcher: dispatch::Dispatcher,
}

impl Lender {
    pub(super) fn new(service: &ids::WorkId, group: usize, seed: u64) -> Self {
        let config = dispatch::DispatcherConfig::default();
        let mut dispatcher = dispatch::Dispatcher::new(config, seed);
        for index in 0..cell::GROUP_INSTANCES {
            let run = cell::instance(service, group, index);
            dispatcher.set_instance(&run, "", cell::SLOTS, cell::CONNECTIONS, 0);
        }
        let config = credits::CreditConfig {
            // Longer than any deadline of the cases, so that no call waits for a renewal.
            lifetime_ms: 30_000,
        };
        Self {
            ledger: credits::CreditLedger::new(ids::Epoch(1), config),
            dispatcher,
        }
    }

    pub(super) fn exchange(
        &mut self,
        host: usize,
        ask: &credits::CreditRequest,
        now_ms: u64,
    ) -> credits::CreditGrant {
        let host = ids::HostId::new(host.to_string());
        self.ledger
            .exchange(&host, ask, &mut self.dispatcher, now_ms)
    }
}

/// What one entry host holds of one group.
#[derive(Debug, Default)]
pub(super) struct Borrower {
    held: Vec<credits::Credit>,
    sequence: u64,
    target: u32,
}

impl Borrower {
    /// Asks for what the queue and the open calls need, and gives back idle credits.
    pub(super) fn ask(
        &mut self,
        dispatcher: &mut dispatch::Dispatcher,
        now_ms: u64,
    ) -> credits::CreditRequest {
        let load = dispatcher.load();
        let need = load.open_calls as u32 + load.queued_calls as u32;
        let spare = (f64::from(need) * SPARE_SHARE) as u32;
        let wanted = need + spare.max(SPARE_MIN);
        let keep = wanted.min(self.target.max(SPARE_MIN)) as usize;
        let mut returned = Vec::new();
        while self.held.len() > keep {
            let idle = |credit: &credits::Credit| {
                dispatcher.open_calls_on(&credit.instance) < self.count(&credit.instance)
            };
            let Some(position) = self.held.iter().position(idle) else {
                break;
            };
            let credit = self.held.swap_remove(position);
            returned.push(credit.id);
            let slots = self.count(&credit.instance);
            // Fewer slots never set a waiting call free.
            dispatcher.set_instance(&credit.instance, "", slots, cell::CONNECTIONS, now_ms);
        }
        self.sequence += 1;
        credits::CreditRequest {
            sequence: self.sequence,
            wanted,
            returned,
        }
    }

    /// Takes in a grant and returns calls that now have a slot.
    pub(super) fn accept(
        &mut self,
        grant: credits::CreditGrant,
        dispatcher: &mut dispatch::Dispatcher,
        now_ms: u64,
    ) -> Vec<dispatch::Dispatch> {
        if grant.sequence != self.sequence {
            return Vec::new();
        }
        self.held = grant.credits;
        self.target = grant.fair_share;
        let mut counts: IndexMap<ids::TaskAttempt, u32> = IndexMap::new();
        for credit in &self.held {
            *counts.entry(credit.instance.clone()).or_default() += 1;
        }
        let mut ready = Vec::new();
        for (run, slots) in counts {
            ready.extend(dispatcher.set_instance(&run, "", slots, cell::CONNECTIONS, now_ms));
        }
        ready
    }

    fn count(&self, instance: &ids::TaskAttempt) -> u32 {
        let held = self.held.iter();
        held.filter(|credit| credit.instance == *instance).count() as u32
    }
}
