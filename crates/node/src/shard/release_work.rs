//! The work of the release that belongs to the shard.

use journal::{JobPhase, Record, ShardState};
use kernel::errors;
use kernel::ids;
use kernel::work;

use super::ShardOwner;

/// Records in one append, few enough that they fit one entry.
const APPEND_LIMIT: usize = 500;

impl ShardOwner {
    /// Accepts what the release has added and withdraws what it no longer has.
    ///
    /// The journal remembers up to which release this was done, so that neither
    /// a new owner nor a host that lags behind does any of it again.
    pub(super) async fn follow_release(&self) -> errors::Result<()> {
        let journal = self.journal()?;
        if self.shared.releases.version() <= journal.state().followed() {
            return Ok(());
        }
        let release = self.shared.releases.current();
        let records = changes(&journal.state(), &release, |work| self.owns(work));
        // The version comes last: what a crash leaves half done is done again, and
        // records that were written already change nothing then.
        for records in records.chunks(APPEND_LIMIT) {
            let appended = self.append(records.to_vec()).await;
            self.note_changed(records, appended.is_ok());
            appended?;
        }
        let ending: Vec<ids::WorkId> = journal.state().cancelled_work().cloned().collect();
        for work in &ending {
            self.note_cancelled(work);
        }
        let followed = vec![Record::Followed {
            version: release.version,
        }];
        self.append(followed).await?;
        Ok(())
    }

    /// Tells the groups about changed work.
    ///
    /// If it is not known whether the records count, everything is sent again from
    /// the state, as to a new owner of a group.
    fn note_changed(&self, records: &[Record], appended: bool) {
        let mut outbox = self.outbox();
        for group in self.shared.config.topology.groups() {
            let entry = outbox.group(&group);
            for record in records {
                let Record::Changed { work } = record else {
                    continue;
                };
                if appended {
                    entry.changed.insert(work.id.clone());
                } else {
                    entry.complete_for = None;
                }
            }
        }
    }

    fn owns(&self, work: &ids::WorkId) -> bool {
        self.shared.config.topology.shard_of(work.as_str()) == self.id
    }
}

/// What a release means for a shard that has followed an earlier one.
fn changes(
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
