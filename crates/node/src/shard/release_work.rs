//! The work of the release that belongs to the shard.

use journal::{JobPhase, Record};
use kernel::errors;
use kernel::work;

use super::ShardOwner;

impl ShardOwner {
    /// Accepts what the release has added and cancels what it has withdrawn.
    ///
    /// Only work that came from a release is withdrawn; it is told apart by
    /// having no submitter's key.
    pub(super) async fn follow_release(&self) -> errors::Result<()> {
        let release = self.shared.releases.current();
        if release.version.0 == 0 || self.followed() == release.version {
            return Ok(());
        }
        let (records, cancelled) = self.changes(&release)?;
        if !records.is_empty() {
            self.journal()?
                .append(records, crate::journals::APPEND_WAIT_MS)
                .await?;
        }
        for work in &cancelled {
            self.note_cancelled(work);
        }
        self.set_followed(release.version);
        Ok(())
    }

    fn changes(
        &self,
        release: &work::Release,
    ) -> errors::Result<(Vec<Record>, Vec<kernel::ids::WorkId>)> {
        let topology = &self.shared.config.topology;
        let journal = self.journal()?;
        let state = journal.state();
        let mine = release
            .work
            .values()
            .filter(|work| topology.shard_of(work.id.as_str()) == self.id);
        let mut records: Vec<Record> = mine
            .filter(|work| state.job(&work.id).is_none())
            .map(|work| Record::Accepted {
                work: Box::new(work.clone()),
                key: None,
            })
            .collect();
        let withdrawn: Vec<kernel::ids::WorkId> = state
            .jobs()
            .filter(|job| job.is_from_release() && job.phase() == JobPhase::Open)
            .filter(|job| !job.is_cancelled() && !release.work.contains_key(&job.work().id))
            .map(|job| job.work().id.clone())
            .collect();
        records.extend(
            withdrawn
                .iter()
                .map(|work| Record::Cancelled { work: work.clone() }),
        );
        Ok((records, withdrawn))
    }
}
