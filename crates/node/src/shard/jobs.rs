//! Submission, cancellation and status of jobs.

use journal::{Applied, Record, ShardState, TaskCounts, TaskState};
use kernel::errors;
use kernel::ids;
use kernel::work;
use wire::messages;

use super::ShardOwner;

impl ShardOwner {
    /// Accepts or cancels a job; returns once the change is durable.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Conflict`] if different work has the same name,
    /// [`errors::ErrorKind::NotFound`] if the job to cancel does not exist, or the error of
    /// the journal.
    pub async fn submit(
        &self,
        request: &messages::SubmitRequest,
    ) -> errors::Result<messages::SubmitReply> {
        let work = if request.cancel.is_empty() {
            self.accept(request).await?
        } else {
            self.cancel(&ids::WorkId::new(&request.cancel)).await?
        };
        self.wake.notify_one();
        Ok(messages::SubmitReply {
            work: work.to_string(),
        })
    }

    async fn accept(&self, request: &messages::SubmitRequest) -> errors::Result<ids::WorkId> {
        let work: work::Work = serde_json::from_slice(&request.work).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::BadRequest,
                "cannot decode the work",
                source,
            )
        })?;
        let key = Some(&request.idempotency_key)
            .filter(|key| !key.is_empty())
            .map(ids::IdempotencyKey::new);
        let journal = self.journal()?;
        if let Some(existing) = find_existing_job(&journal.state(), &work, key.as_ref())? {
            return Ok(existing);
        }
        let id = work.id.clone();
        let tasks = work.tasks;
        let record = Record::Accepted {
            work: Box::new(work.clone()),
            key: key.clone(),
        };
        let applied = self.append(vec![record]).await?;
        match applied.first() {
            Some(Applied::Changed) => {
                let accepted = kernel::history::Event::WorkAccepted {
                    work: id.clone(),
                    tasks,
                };
                self.shared.record(accepted);
                Ok(id)
            }
            // A concurrent submission under the same key or name was journaled first, or the
            // shard is at its limit of open jobs.
            _ => find_existing_job(&journal.state(), &work, key.as_ref())?.ok_or_else(|| {
                errors::Error::new(
                    errors::ErrorKind::Overloaded,
                    format!("shard {} has reached its limit of open jobs", self.id),
                )
            }),
        }
    }

    async fn cancel(&self, work: &ids::WorkId) -> errors::Result<ids::WorkId> {
        let applied = self
            .append(vec![Record::Cancelled { work: work.clone() }])
            .await?;
        if !applied.iter().any(|applied| applied.is_changed()) {
            return Err(no_such_job(work));
        }
        self.queue_cancellation(work);
        Ok(work.clone())
    }

    /// Queues the cancellation of some work to all groups.
    pub(super) fn queue_cancellation(&self, work: &ids::WorkId) {
        let groups: Vec<ids::GroupId> = self.shared.config.topology.groups().collect();
        let mut outbox = self.outbox();
        for group in &groups {
            let entry = outbox.group(group);
            entry.cancelled_work.insert(work.clone());
            // The live runs are sent as well, so that the group can hand back those that it
            // does not have.
            entry.changed_work.insert(work.clone());
        }
    }

    /// The status of a job. Running tasks count as assigned here; only the groups distinguish
    /// them.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if the shard has no such job.
    pub fn job_status(&self, work: &ids::WorkId) -> errors::Result<api::JobStatus> {
        let journal = self.journal()?;
        let state = journal.state();
        let job = state.job(work).ok_or_else(|| no_such_job(work))?;
        Ok(status(work, job.counts()))
    }

    /// The status of all jobs in the journal's state; empty if the journal is not open.
    pub fn job_statuses(&self) -> Vec<api::JobStatus> {
        let Ok(journal) = self.journal() else {
            return Vec::new();
        };
        let state = journal.state();
        state
            .jobs()
            .map(|job| status(&job.work().id, job.counts()))
            .collect()
    }

    /// The state of a task according to the journal.
    pub fn explain(&self, task: &ids::TaskId) -> errors::Result<ShardExplanation> {
        let journal = self.journal()?;
        let state = journal.state();
        let job = state
            .job(&task.work)
            .ok_or_else(|| no_such_job(&task.work))?;
        let (task_state, _) = job.task(task.index).ok_or_else(|| {
            errors::Error::new(
                errors::ErrorKind::NotFound,
                format!("no such task: {} has {} tasks", task.work, job.work().tasks),
            )
        })?;
        Ok(ShardExplanation {
            state: task_state,
            cancelled: job.is_cancelled(),
            group: state.group_of(task).cloned(),
        })
    }
}

/// State of a task according to the journal.
#[derive(Clone, Debug)]
pub struct ShardExplanation {
    /// The task's state.
    pub state: TaskState,
    /// Whether its work was cancelled.
    pub cancelled: bool,
    /// The group to which its current attempt is assigned.
    pub group: Option<ids::GroupId>,
}

/// The existing job that a submission repeats, by key or by identical content; `None` for a
/// new job.
fn find_existing_job(
    state: &ShardState,
    work: &work::Work,
    key: Option<&ids::IdempotencyKey>,
) -> errors::Result<Option<ids::WorkId>> {
    if let Some(job) = key.and_then(|key| state.job_by_key(key)) {
        return Ok(Some(job.work().id.clone()));
    }
    match state.job(&work.id) {
        Some(job) if job.work().as_ref() == work => Ok(Some(work.id.clone())),
        Some(_) => Err(errors::Error::new(
            errors::ErrorKind::Conflict,
            format!("different work named {} exists", work.id),
        )),
        None => Ok(None),
    }
}

fn status(work: &ids::WorkId, counts: TaskCounts) -> api::JobStatus {
    api::JobStatus {
        work: work.clone(),
        waiting: counts.waiting,
        assigned: counts.assigned,
        running: 0,
        completed: counts.completed,
        failed: counts.failed,
        cancelled: counts.cancelled,
        unknown: counts.end_unknown,
    }
}

fn no_such_job(work: &ids::WorkId) -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::NotFound,
        format!("no job is named {work}"),
    )
}
