//! Application of releases to the work of the shard.

use journal::{JobPhase, Record, ShardState};
use kernel::errors;
use kernel::ids;
use kernel::work;

use super::ShardOwner;

/// Maximum number of records in one append, so that they fit in one journal entry.
const MAX_RECORDS_PER_APPEND: usize = 500;

impl ShardOwner {
    /// Accepts work added by the release in force, applies changed work and withdraws removed
    /// work.
    ///
    /// The journal records the last applied version, so that neither a new owner nor a host
    /// with an older release applies it again.
    pub(super) async fn apply_release(&self) -> errors::Result<()> {
        let journal = self.journal()?;
        if self.shared.releases.version() <= journal.state().followed() {
            return Ok(());
        }
        let release = self.shared.releases.current();
        let records = release_records(&journal.state(), &release, |work| self.owns(work));
        // The version is written last: after a crash the release is applied again, and records
        // that are already in the journal have no effect.
        for records in records.chunks(MAX_RECORDS_PER_APPEND) {
            let appended = self.append(records.to_vec()).await;
            self.queue_changed_work(records, appended.is_ok());
            appended?;
        }
        let ending: Vec<ids::WorkId> = journal.state().cancelled_work().cloned().collect();
        for work in &ending {
            self.queue_cancellation(work);
        }
        let followed = vec![Record::Followed {
            version: release.version,
        }];
        self.append(followed).await?;
        Ok(())
    }

    /// Queues changed work to all groups.
    ///
    /// If the outcome of the append is unknown, everything is sent again from the state, as to
    /// a new owner of a group.
    fn queue_changed_work(&self, records: &[Record], appended: bool) {
        let mut outbox = self.outbox();
        for group in self.shared.config.topology.groups() {
            let entry = outbox.group(&group);
            for record in records {
                let Record::Changed { work } = record else {
                    continue;
                };
                if appended {
                    entry.changed_work.insert(work.id.clone());
                } else {
                    entry.synced_epoch = None;
                }
            }
        }
    }

    fn owns(&self, work: &ids::WorkId) -> bool {
        self.shared.config.topology.shard_of(work.as_str()) == self.id
    }
}

/// The records that bring a shard from the last applied release to `release`.
fn release_records(
    state: &ShardState,
    release: &work::Release,
    owns: impl Fn(&ids::WorkId) -> bool,
) -> Vec<Record> {
    let added = release.work.values().filter(|work| {
        let known = state.job(&work.id).map(|job| job.newest().since);
        let is_new = known.is_none_or(|known| known < work.since);
        owns(&work.id) && work.since > state.followed() && is_new
    });
    let changed = release.work.values().filter(|work| {
        let job = state.job(&work.id);
        job.is_some_and(|job| job.newest().since == work.since && **job.newest() != **work)
    });
    let changed = changed.map(|work| Record::Changed {
        work: Box::new(work.clone()),
    });
    let accepted = added.map(|work| Record::Accepted {
        work: Box::new(work.clone()),
        key: None,
    });
    let withdrawn = state.jobs().filter(|job| {
        let is_open = job.newest().is_from_release() && job.phase() == JobPhase::Open;
        is_open && !release.work.contains_key(&job.work().id)
    });
    let withdrawn = withdrawn.map(|job| Record::Withdrawn {
        work: job.work().id.clone(),
    });
    accepted.chain(changed).chain(withdrawn).collect()
}
