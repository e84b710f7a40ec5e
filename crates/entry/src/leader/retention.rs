//! Removal of ended jobs after the retention period.
//!
//! A record is kept after its job has ended, so that clients can read the outcome through any host
//! and after any takeover. Without removal, each takeover would read all jobs ever submitted.

use std::{rc::Rc, time::Duration};

use adapter::store::{Committed, MAX_TXN_ENTRIES, Txn};
use cell::ids::JobId;
use kernel::log_event;
use tokio::time;

use super::Leader;
use crate::{
    clock, events,
    records::{self, LEADER_KEY},
};

/// Interval between two sweeps. At the two-year size (66,000 jobs a day) a sweep removes a few
/// records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Records removed by one transaction: each needs a condition and a deletion, and the transaction
/// has one more condition on the leader key.
const MAX_REMOVALS_PER_TXN: usize = (MAX_TXN_ENTRIES - 1) / 2;

/// Removes expired records until the term ends.
pub(super) async fn run(leader: Rc<Leader>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        let (now_ms, unix_ms) = (clock::now_ms(), clock::unix_ms());
        let expired = {
            let mut coordinator = leader.coordinator.borrow_mut();
            coordinator.compact_ended_jobs(now_ms, unix_ms);
            coordinator.expired_jobs(unix_ms)
        };
        for ids in expired.chunks(MAX_REMOVALS_PER_TXN) {
            if !leader.remove_records(ids).await {
                // The next sweep finds the remaining records again.
                break;
            }
        }
    }
}

impl Leader {
    /// Removes the records of ended jobs; false if the removal was not confirmed.
    async fn remove_records(&self, ids: &[JobId]) -> bool {
        let mut txn = Txn::default().expect(LEADER_KEY, self.term.fence);
        for id in ids {
            let key = records::job_key(*id);
            let revision = self.revisions.borrow().get(id).copied();
            txn = match revision {
                Some(revision) => txn.expect(&key, revision).delete(&key),
                None => txn,
            };
        }
        let sent_ms = clock::now_ms();
        match self.context.store.commit(&txn).await {
            Ok(Committed::Done { .. }) => {
                self.last_confirmed_ms
                    .set(self.last_confirmed_ms.get().max(sent_ms));
            }
            Ok(Committed::Conflict { items }) => {
                let is_ours = |item: &adapter::store::Item| {
                    item.key == LEADER_KEY && item.revision == self.term.fence
                };
                if !items.iter().any(is_ours) {
                    self.end_term("key_taken");
                    return false;
                }
                // An unanswered removal or write was applied after all.
                self.update_revisions(ids, &items);
                return false;
            }
            Err(_) => return false,
        }
        for id in ids {
            self.coordinator.borrow_mut().remove_job(*id);
            self.revisions.borrow_mut().swap_remove(id);
        }
        log_event!(events::JOBS_REMOVED, "records={}", ids.len());
        true
    }

    /// Updates the revisions from a conflict; a missing record has none.
    fn update_revisions(&self, ids: &[JobId], items: &[adapter::store::Item]) {
        let mut revisions = self.revisions.borrow_mut();
        for id in ids {
            let key = records::job_key(*id);
            match items.iter().find(|item| item.key == key) {
                Some(item) => {
                    revisions.insert(*id, item.revision);
                }
                None => {
                    revisions.swap_remove(id);
                }
            }
        }
    }
}
