//! Exchange of credits between the owners of groups and the entry hosts.

use indexmap::IndexMap;
use kernel::ids;

use crate::credits;
use crate::dispatch;

use super::cell;

/// Ratio of spare credits requested to the credits currently needed.
const SPARE_CREDIT_RATIO: f64 = 0.25;
/// Minimum number of spare credits requested.
const MIN_SPARE_CREDITS: u32 = 2;

/// Owner side of the credits of one group.
#[derive(Debug)]
pub(super) struct CreditIssuer {
    ledger: credits::CreditLedger,
    dispatcher: dispatch::Dispatcher,
}

impl CreditIssuer {
    pub(super) fn new(service: &ids::WorkId, group: usize, seed: u64) -> Self {
        let config = dispatch::DispatcherConfig::default();
        let mut dispatcher = dispatch::Dispatcher::new(config, seed);
        for index in 0..cell::INSTANCES_PER_GROUP {
            let run = cell::instance(service, group, index);
            dispatcher.set_instance(
                &run,
                "",
                cell::SLOTS_PER_INSTANCE,
                cell::CONNECTIONS_PER_INSTANCE,
                0,
            );
        }
        let config = credits::CreditConfig {
            // Longer than the deadlines of all workloads, so that no call waits for a renewal.
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
        request: &credits::CreditRequest,
        now_ms: u64,
    ) -> credits::CreditGrant {
        let host = ids::HostId::new(host.to_string());
        self.ledger
            .exchange(&host, request, &mut self.dispatcher, now_ms)
    }
}

/// Credits that one entry host holds in one group.
#[derive(Debug, Default)]
pub(super) struct CreditHolder {
    held: Vec<credits::Credit>,
    sequence: u64,
    fair_share: u32,
}

impl CreditHolder {
    /// Requests credits for the queued and open calls, and returns idle ones.
    pub(super) fn request(
        &mut self,
        dispatcher: &mut dispatch::Dispatcher,
        now_ms: u64,
    ) -> credits::CreditRequest {
        let load = dispatcher.load();
        let needed = load.open_calls as u32 + load.queued_calls as u32;
        let spare = (f64::from(needed) * SPARE_CREDIT_RATIO) as u32;
        let wanted = needed + spare.max(MIN_SPARE_CREDITS);
        let keep = wanted.min(self.fair_share.max(MIN_SPARE_CREDITS)) as usize;
        let mut returned = Vec::new();
        while self.held.len() > keep {
            let idle = |credit: &credits::Credit| {
                dispatcher.open_calls_on(&credit.instance) < self.held_on(&credit.instance)
            };
            let Some(position) = self.held.iter().position(idle) else {
                break;
            };
            let credit = self.held.swap_remove(position);
            returned.push(credit.id);
            let slots = self.held_on(&credit.instance);
            // Reducing the slots cannot dispatch a waiting call, so the result is ignored.
            dispatcher.set_instance(
                &credit.instance,
                "",
                slots,
                cell::CONNECTIONS_PER_INSTANCE,
                now_ms,
            );
        }
        self.sequence += 1;
        credits::CreditRequest {
            sequence: self.sequence,
            wanted,
            returned,
        }
    }

    /// Applies a grant and returns the calls dispatched as a result.
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
        self.fair_share = grant.fair_share;
        let mut counts: IndexMap<ids::TaskAttempt, u32> = IndexMap::new();
        for credit in &self.held {
            *counts.entry(credit.instance.clone()).or_default() += 1;
        }
        let mut ready = Vec::new();
        for (run, slots) in counts {
            ready.extend(dispatcher.set_instance(
                &run,
                "",
                slots,
                cell::CONNECTIONS_PER_INSTANCE,
                now_ms,
            ));
        }
        ready
    }

    fn held_on(&self, instance: &ids::TaskAttempt) -> u32 {
        let held = self.held.iter();
        held.filter(|credit| credit.instance == *instance).count() as u32
    }
}
