//! Shares of tenants: which jobs exceed the rate that a tenant may expect while capacity is short.
//!
//! Jobs within shares are counted over a sliding window. Jobs over the share are not counted: a tenant
//! that floods the cell still gets its share, and only what exceeds it comes after other tenants.

use std::{collections::VecDeque, rc::Rc};

use crate::{
    collections::IndexMap,
    {config::Tenant, ids::JobId},
};

/// Jobs within shares that were accepted lately, by tenant.
#[derive(Debug, Default)]
pub struct Shares {
    /// Times of acceptance in Unix milliseconds, oldest first.
    accepted: IndexMap<Rc<str>, VecDeque<(u64, JobId)>>,
}

/// Number of jobs that a share allows in a window; `None` if the tenant has no share, which leaves it
/// unlimited. At least one, so that a share of less than a job a window is of use.
fn allowed_jobs(tenant: &Tenant, window_ms: u64) -> Option<usize> {
    let is_limited = tenant.jobs_per_s > 0.0;
    is_limited.then(|| {
        (tenant.jobs_per_s * window_ms as f64 / 1000.0)
            .ceil()
            .max(1.0) as usize
    })
}

impl Shares {
    /// Whether a job would exceed its tenant's share now. A job that was counted does not.
    pub fn is_over(&self, tenant: &Tenant, id: JobId, window_ms: u64, unix_ms: u64) -> bool {
        let Some(allowed) = allowed_jobs(tenant, window_ms) else {
            return false;
        };
        let Some(accepted) = self.accepted.get(&tenant.name) else {
            return false;
        };
        let first = first_in_window(accepted, window_ms, unix_ms);
        let counted = accepted.range(first..);
        counted.len() >= allowed && !accepted.iter().any(|&(_, known)| known == id)
    }

    /// Counts a job within its tenant's share, once. Jobs accepted before the window are left out.
    pub fn record(
        &mut self,
        tenant: &Tenant,
        id: JobId,
        accepted_unix_ms: u64,
        window_ms: u64,
        unix_ms: u64,
    ) {
        // The clock of the host that accepted the job may be ahead.
        let accepted_unix_ms = accepted_unix_ms.min(unix_ms);
        if tenant.jobs_per_s <= 0.0 || accepted_unix_ms + window_ms <= unix_ms {
            return;
        }
        let accepted = self.accepted.entry(Rc::clone(&tenant.name)).or_default();
        let expired = first_in_window(accepted, window_ms, unix_ms);
        accepted.drain(..expired);
        if accepted.iter().any(|&(_, known)| known == id) {
            return;
        }
        let position = accepted.partition_point(|&(at_ms, _)| at_ms <= accepted_unix_ms);
        accepted.insert(position, (accepted_unix_ms, id));
    }

    /// Time until the tenant's share has room for another job, in milliseconds.
    pub fn room_in_ms(&self, tenant: &Tenant, window_ms: u64, unix_ms: u64) -> u64 {
        let Some(allowed) = allowed_jobs(tenant, window_ms) else {
            return 0;
        };
        let accepted = self.accepted.get(&tenant.name);
        // Once this job leaves the window, fewer than `allowed` are left in it.
        let last = accepted.and_then(|accepted| {
            let position = accepted.len().checked_sub(allowed)?;
            accepted.get(position)
        });
        last.map_or(0, |&(at_ms, _)| (at_ms + window_ms).saturating_sub(unix_ms))
    }
}

/// Position of the oldest entry that the window contains.
fn first_in_window(accepted: &VecDeque<(u64, JobId)>, window_ms: u64, unix_ms: u64) -> usize {
    accepted.partition_point(|&(at_ms, _)| at_ms + window_ms <= unix_ms)
}
