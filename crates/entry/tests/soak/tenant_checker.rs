//! Judges, from outside, the answers to calls with keys, and what tenants had running at once.

use std::ops::Range;

use crate::{
    checker::{CALM_MS, Run},
    tenants::{self, APPLY_MS, BURST_PERCENT, KeyedCall, REVOKE_MS, Version},
};

/// Time from an order to the start that a worker reports, on a busy machine.
const START_DELAY_MS: u64 = 500;

/// What is known about the tenants of a history.
#[derive(Debug)]
pub struct TenantHistory<'a> {
    /// The versions of the configuration, oldest first.
    pub versions: &'a [Version],
    /// The calls with keys.
    pub calls: &'a [KeyedCall],
    /// The runs, in the order of their starts.
    pub runs: &'a [Run<'a>],
    /// When faults were in effect, on the machine's clock.
    pub faults: &'a [Range<u64>],
}

impl TenantHistory<'_> {
    /// The versions that were the newest one at some time in the span; `None` if the span begins before
    /// the first one was acknowledged.
    fn versions_in(&self, from_ms: u64, to_ms: u64) -> Option<&[Version]> {
        let acknowledged = |version: &Version| version.acknowledged_ms < from_ms;
        let first = self.versions.iter().rposition(acknowledged)?;
        let sent = |version: &Version| version.sent_ms <= to_ms;
        let last = self.versions.iter().rposition(sent)?;
        Some(&self.versions[first..=last.max(first)])
    }

    /// The rules that were broken; empty in a correct history.
    pub fn violations(&self) -> Vec<String> {
        let mut violations: Vec<String> = self
            .calls
            .iter()
            .filter_map(|call| self.wrong_answer(call))
            .collect();
        for tenant in 0..tenants::TENANTS {
            violations.extend(self.excess(tenant));
        }
        violations
    }

    fn wrong_answer(&self, call: &KeyedCall) -> Option<String> {
        let is_listed = |version: &Version| version.tenants[call.tenant].keys.contains(&call.key);
        let from_ms = |bound_ms| call.sent_ms.saturating_sub(bound_ms);
        let kind = match call.status {
            200..=299 => {
                let versions = self.versions_in(from_ms(REVOKE_MS), call.answered_ms)?;
                (!versions.iter().any(is_listed)).then_some("REVOKED success with a revoked key")
            }
            401 | 403 => {
                let versions = self.versions_in(from_ms(APPLY_MS), call.answered_ms)?;
                versions
                    .iter()
                    .all(is_listed)
                    .then_some("VALID refusal of a valid key")
            }
            _ => None,
        }?;
        let KeyedCall {
            sent_ms,
            answered_ms,
            host,
            call,
            key,
            status,
            ..
        } = call;
        Some(format!(
            "{kind}: {call} with {key} to host {host} from {sent_ms} to {answered_ms} ms: {status}"
        ))
    }

    /// When the oldest configuration was written that may have been in force at a time: a host that a
    /// fault kept from the store may have an older one.
    fn in_force_since(&self, at_ms: u64) -> u64 {
        let delay_ms = APPLY_MS + START_DELAY_MS;
        let mut from_ms = at_ms.saturating_sub(delay_ms);
        loop {
            let disturbs =
                |fault: &&Range<u64>| fault.start < at_ms && fault.end + CALM_MS >= from_ms;
            let starts = self.faults.iter().filter(disturbs).map(|fault| fault.start);
            let Some(first_ms) = starts.min() else {
                return from_ms;
            };
            let extended_ms = first_ms.saturating_sub(delay_ms);
            if extended_ms >= from_ms {
                return from_ms;
            }
            from_ms = extended_ms;
        }
    }

    /// The first start that took a tenant above its limit. A reduced limit stops nothing, so that only
    /// starts count.
    fn excess(&self, tenant: usize) -> Option<String> {
        let mut running: Vec<&Run> = Vec::new();
        for run in self.runs {
            let job = u64::from_str_radix(run.job(), 16).unwrap_or_default();
            if tenants::tenant_of(job) != tenant {
                continue;
            }
            let at_ms = run.span.start;
            running.retain(|other| other.span.end > at_ms);
            running.push(run);
            let versions = self.versions_in(self.in_force_since(at_ms), at_ms);
            let limits = versions.unwrap_or(self.versions).iter();
            let limit = limits.map(|version| version.tenants[tenant].limit).max()?;
            let allowed = limit + limit * BURST_PERCENT / 100 + 1;
            if running.len() as u64 > allowed {
                let count = running.len();
                return Some(format!(
                    "LIMIT tenant {tenant} has {count} tasks at once, limit {limit}: {}: {}",
                    run.task,
                    run.place()
                ));
            }
        }
        None
    }
}
