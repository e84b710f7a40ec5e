//! Reports of ended runs from groups.

use journal::{Record, Run, TaskState};
use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::workers;
use wire::messages;

use super::ShardOwner;
use crate::group;

/// Maximum number of attempts that a group may skip; larger gaps are treated as malformed and not filled.
const MAX_SKIPPED_ATTEMPTS: u32 = 1_000;

impl ShardOwner {
    /// Journals the ends in a report; returns once they are durable.
    ///
    /// What a later owner of the group knows of the runs is not known to an earlier one, so only
    /// the latest owner that got assignments may report. A worker reports an end until it is
    /// acknowledged, and thus to the latest owner too.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::StaleEpoch`] if a later owner of the group got assignments; otherwise
    /// if the report does not decode or the journal refuses it, and the group reports again.
    pub async fn report(
        &self,
        request: &messages::ReportRequest,
    ) -> errors::Result<messages::ReportReply> {
        let from = ids::GroupId::new(&ids::ZoneId::new(&request.zone), request.group as u16);
        let mut records = Vec::new();
        for report in &request.reports {
            self.add_records(&mut records, report, &from)?;
        }
        let report = Record::Reported {
            group: from,
            epoch: ids::Epoch(request.group_epoch),
            records,
        };
        let applied = self.append(vec![report]).await?;
        if !applied.iter().all(|applied| applied.is_changed()) {
            return Err(errors::Error::new(
                errors::ErrorKind::StaleEpoch,
                "the report is from an earlier owner of the group",
            ));
        }
        self.wake.notify_one();
        Ok(messages::ReportReply {
            shard_epoch: self.epoch.0,
            sequence_floor: self.outbox().sequence(),
        })
    }

    fn add_records(
        &self,
        records: &mut Vec<Record>,
        report: &messages::RunReport,
        from: &ids::GroupId,
    ) -> errors::Result<()> {
        let task = self.replica_task(report.task.parse()?)?;
        let attempt = ids::Attempt(report.attempt);
        if (1..report.attempt).contains(&report.next_attempt) {
            // The run was to replace a replica, which continues instead.
            return Ok(());
        }
        self.add_skipped_attempts(records, &task, attempt, from)?;
        if report.end == group::HANDED_BACK {
            self.selector()
                .record_refusal(&task.work, from, self.shared.now_ms());
            let runs = vec![Run {
                index: task.index,
                attempt,
            }];
            records.push(Record::HandedBack {
                work: task.work,
                runs,
            });
            return Ok(());
        }
        let end = parse_end(&report.end)?;
        let work = task.work.clone();
        let index = task.index;
        records.push(Record::Ended {
            run: ids::TaskAttempt { task, attempt },
            end,
        });
        if report.next_attempt > report.attempt {
            // The group continues with the next attempt itself: both records take effect
            // together.
            let runs = vec![Run {
                index,
                attempt: ids::Attempt(report.next_attempt),
            }];
            records.push(Record::Restarted {
                work,
                runs,
                group: from.clone(),
            });
        }
        Ok(())
    }
}

impl ShardOwner {
    /// The task of a replica, which may run under either of two indexes; other tasks are
    /// returned unchanged.
    fn replica_task(&self, task: ids::TaskId) -> errors::Result<ids::TaskId> {
        let journal = self.journal()?;
        let state = journal.state();
        let job = state.job(&task.work);
        Ok(match job.map(|job| job.work().kind) {
            Some(work::WorkKind::Service) => {
                ids::TaskId::new(&task.work, placement::replica_of(task.index))
            }
            _ => task,
        })
    }

    /// Adds records for the attempts that a group has skipped.
    ///
    /// A group numbers attempts itself. An attempt that a worker refused is skipped without a
    /// report, because it never ran.
    fn add_skipped_attempts(
        &self,
        records: &mut Vec<Record>,
        task: &ids::TaskId,
        reported: ids::Attempt,
        from: &ids::GroupId,
    ) -> errors::Result<()> {
        let journal = self.journal()?;
        let state = journal.state();
        let live = state.job(&task.work).and_then(|job| job.task(task.index));
        let Some((TaskState::Assigned, live)) = live else {
            return Ok(());
        };
        if state.group_of(task) != Some(from) || reported.0 > live.0 + MAX_SKIPPED_ATTEMPTS {
            return Ok(());
        }
        for skipped in live.0..reported.0 {
            let run = |attempt| {
                vec![Run {
                    index: task.index,
                    attempt: ids::Attempt(attempt),
                }]
            };
            records.push(Record::HandedBack {
                work: task.work.clone(),
                runs: run(skipped),
            });
            records.push(Record::Restarted {
                work: task.work.clone(),
                runs: run(skipped + 1),
                group: from.clone(),
            });
        }
        Ok(())
    }
}

fn parse_end(name: &str) -> errors::Result<workers::RunEnd> {
    let quoted = serde_json::Value::String(name.to_owned());
    serde_json::from_value(quoted).map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::BadRequest,
            format!("{name:?} is not a kind of end of a run"),
            source,
        )
    })
}
