//! Protocol-independent operations of an entry host for callers and operators.

use std::sync::Arc;
use std::time;

use futures::future;
use kernel::errors;
use kernel::history;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use wire::messages;

use crate::{forward, operators, peer, shared};

/// Timeout of a submission to the owner of a job's shard.
const SUBMIT_TIMEOUT_MS: u64 = 8_000;
/// Timeout of one worker-list request.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Operations of one host; the HTTP port and tests call them.
#[derive(Clone, Debug)]
pub struct Operations {
    shared: Arc<shared::Shared>,
    acceptor: Arc<release::Acceptor>,
}

impl Operations {
    /// Creates the operations of a host.
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        let limits = release::CellLimits::from_workers(shared.config.topology.zones.keys(), []);
        let store = Arc::clone(&shared.platform.store);
        Self {
            shared,
            acceptor: Arc::new(release::Acceptor::new(store, limits)),
        }
    }

    /// The state shared by all roles of the host.
    pub fn shared(&self) -> &Arc<shared::Shared> {
        &self.shared
    }

    /// Serves a call to a service.
    ///
    /// # Errors
    ///
    /// Any kind; see [`errors::ErrorKind`].
    pub async fn call(&self, call: forward::Call) -> errors::Result<forward::Answered> {
        self.check_not_joining()?;
        forward::enter(&self.shared, call).await
    }

    /// Accepts a job; returns once it is durable.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::BadRequest`] if the job can never run in the cell under the
    /// release in force, else any kind; see [`errors::ErrorKind`].
    pub async fn submit_job(
        &self,
        work: &work::Work,
        key: &ids::IdempotencyKey,
    ) -> errors::Result<ids::WorkId> {
        self.check_not_joining()?;
        let limits = self.cell_limits().await;
        release::check_job(work, &self.shared.releases.current(), &limits)
            .map_err(errors::Error::from)?;
        let encoded = serde_json::to_vec(work).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::BadRequest,
                "cannot encode the job",
                source,
            )
        })?;
        let submit = messages::SubmitRequest {
            work: encoded.into(),
            idempotency_key: key.to_string(),
            ..messages::SubmitRequest::default()
        };
        self.submit_to_shard(&work.id, submit).await
    }

    /// Cancels a job; returns once the cancellation is durable.
    ///
    /// # Errors
    ///
    /// Any kind; see [`errors::ErrorKind`].
    pub async fn cancel_job(&self, job: &ids::WorkId) -> errors::Result<ids::WorkId> {
        let cancel = messages::SubmitRequest {
            cancel: job.to_string(),
            ..messages::SubmitRequest::default()
        };
        self.submit_to_shard(job, cancel).await
    }

    async fn submit_to_shard(
        &self,
        work: &ids::WorkId,
        mut submit: messages::SubmitRequest,
    ) -> errors::Result<ids::WorkId> {
        let shard = self.shared.config.topology.shard_of(work.as_str());
        submit.shard = u32::from(shard.0);
        let body = messages::Body::SubmitRequest(submit);
        let reply = peer::send_to_shard(&self.shared, shard, body, SUBMIT_TIMEOUT_MS).await?;
        let messages::Body::SubmitReply(reply) = reply else {
            return Err(shared::unexpected_reply());
        };
        Ok(ids::WorkId::new(&reply.work))
    }

    /// The status of one job.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if there is no such job, else the error of reaching its
    /// shard.
    pub async fn job_status(&self, job: &ids::WorkId) -> errors::Result<api::JobStatus> {
        operators::job_status(&self.shared, job).await
    }

    /// Explains why a task waits, or where it runs or ran.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if there is no such task, else the error of reaching
    /// its shard.
    pub async fn explain(&self, task: &ids::TaskId) -> errors::Result<api::Explanation> {
        operators::explain(&self.shared, task).await
    }

    /// The status of all jobs whose shards are reachable.
    pub async fn jobs(&self) -> Vec<api::JobStatus> {
        operators::jobs(&self.shared).await
    }

    /// Accepts a release note and puts the release in force on this host.
    ///
    /// # Errors
    ///
    /// As [`release::Acceptor::submit`].
    pub async fn submit_release(
        &self,
        note: &[u8],
        submitter: &str,
        base: Option<ids::ReleaseVersion>,
    ) -> errors::Result<release::Accepted> {
        self.acceptor.set_limits(self.cell_limits().await);
        let accepted = self.acceptor.submit(note, submitter, base).await?;
        if !accepted.repeated {
            self.shared.record(history::Event::ReleaseAccepted {
                version: accepted.version,
            });
        }
        self.shared
            .releases
            .shared()
            .offer(Arc::clone(&accepted.newest));
        Ok(accepted)
    }

    /// Capacity limits of the cell from the platform's worker lists; zones that do not answer
    /// in time contribute no workers.
    async fn cell_limits(&self) -> release::CellLimits {
        let zones: Vec<&ids::ZoneId> = self.shared.config.topology.zones.keys().collect();
        let lists = zones.iter().map(|zone| async move {
            let list = self.shared.platform.workers.list(zone);
            let list = tokio::time::timeout(LIST_TIMEOUT, list).await;
            list.ok().and_then(Result::ok).unwrap_or_default()
        });
        let workers: Vec<platform::workers::WorkerInfo> = future::join_all(lists)
            .await
            .into_iter()
            .flatten()
            .collect();
        release::CellLimits::from_workers(
            zones,
            workers.iter().map(|worker| (&worker.zone, worker.capacity)),
        )
    }

    /// Whether all work has settled: every replica of every service of the release in force
    /// runs, and all batch work, submitted jobs included, has ended.
    pub async fn is_settled(&self) -> bool {
        let release = self.shared.releases.current();
        let jobs = self.jobs().await;
        let release_settled = release.work.values().all(|work| {
            jobs.iter()
                .find(|job| job.work == work.id)
                .is_some_and(|job| match work.kind {
                    work::WorkKind::Service => job.running == work.tasks,
                    work::WorkKind::BatchRun | work::WorkKind::GangJob => job.is_settled(),
                })
        });
        let is_submitted_job = |job: &&api::JobStatus| !release.work.contains_key(&job.work);
        release_settled
            && jobs
                .iter()
                .filter(is_submitted_job)
                .all(api::JobStatus::is_settled)
    }

    /// Refuses requests only while the host is joining. A draining host still serves requests
    /// until the balancer has taken it out of rotation and the port is closed.
    fn check_not_joining(&self) -> errors::Result<()> {
        if self.shared.phase() != lifecycle::Phase::Joining {
            return Ok(());
        }
        Err(errors::Error::new(
            errors::ErrorKind::Draining,
            "this host does not accept requests yet",
        ))
    }
}
