//! Ends of runs that groups report.

use journal::{Record, Run, TaskState};
use kernel::errors;
use kernel::ids;
use platform::workers;
use wire::messages;

use super::ShardOwner;
use crate::group;

/// Attempts that a group may pass over before a report of it counts as malformed.
const PASSED_OVER_LIMIT: u32 = 1_000;

impl ShardOwner {
    /// Journals the ends in a report; the reply says that they are durable.
    ///
    /// # Errors
    ///
    /// If the report does not decode, or the journal does not take it; the
    /// group then reports again.
    pub async fn report(
        &self,
        request: &messages::ReportRequest,
    ) -> errors::Result<messages::ReportReply> {
        let from = ids::GroupId::new(&ids::ZoneId::new(&request.zone), request.group as u16);
        let mut records = Vec::new();
        for report in &request.reports {
            self.add_records(&mut records, report, &from)?;
        }
        self.append(records).await?;
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
        let task: ids::TaskId = report.task.parse()?;
        let attempt = ids::Attempt(report.attempt);
        self.catch_up(records, &task, attempt, from)?;
        if report.end == group::HANDED_BACK {
            self.balance()
                .refused(&task.work, from, self.shared.now_ms());
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
            // The group goes on by itself: both records take effect together.
            let runs = vec![Run {
                index,
                attempt: ids::Attempt(report.next_attempt),
            }];
            records.push(Record::Assigned {
                work,
                runs,
                group: from.clone(),
            });
        }
        Ok(())
    }
}

impl ShardOwner {
    /// Journals the attempts that a group has passed over.
    ///
    /// A group numbers its attempts by itself; one that a worker refused is passed
    /// over without a report, because it never ran.
    fn catch_up(
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
        if state.group_of(task) != Some(from) || reported.0 > live.0 + PASSED_OVER_LIMIT {
            return Ok(());
        }
        for passed in live.0..reported.0 {
            let run = |attempt| {
                vec![Run {
                    index: task.index,
                    attempt: ids::Attempt(attempt),
                }]
            };
            records.push(Record::HandedBack {
                work: task.work.clone(),
                runs: run(passed),
            });
            records.push(Record::Assigned {
                work: task.work.clone(),
                runs: run(passed + 1),
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
            format!("{name:?} is no end of a run"),
            source,
        )
    })
}
