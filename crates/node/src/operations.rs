//! What callers and operators can ask of a host, whatever protocol they use.

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

const SUBMIT_DEADLINE_MS: u64 = 8_000;
const LIST_DEADLINE: time::Duration = time::Duration::from_millis(500);

/// The operations of one host.
#[derive(Clone, Debug)]
pub struct Operations {
    shared: Arc<shared::Shared>,
    acceptor: Arc<release::Acceptor>,
}

impl Operations {
    /// The operations of a host.
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        let limits = release::CellLimits::from_workers(shared.config.topology.zones.keys(), []);
        let store = Arc::clone(&shared.platform.store);
        Self {
            shared,
            acceptor: Arc::new(release::Acceptor::new(store, limits)),
        }
    }

    /// What all roles of the host share.
    pub fn shared(&self) -> &Arc<shared::Shared> {
        &self.shared
    }

    /// Serves a call to a service.
    ///
    /// # Errors
    ///
    /// As in the table of error kinds.
    pub async fn call(&self, call: forward::Call) -> errors::Result<forward::Answered> {
        self.check_serving()?;
        forward::enter(&self.shared, call).await
    }

    /// Accepts a job; the reply says that it is durable.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::BadRequest`] if the job can never run in the cell and under the
    /// release in force, else as in the table of error kinds.
    pub async fn submit_job(
        &self,
        work: &work::Work,
        key: &ids::IdempotencyKey,
    ) -> errors::Result<ids::WorkId> {
        self.check_serving()?;
        let limits = self.cell_limits().await;
        release::check_job(work, &self.shared.releases.current(), &limits)
            .map_err(errors::Error::from)?;
        let encoded = serde_json::to_vec(work).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::BadRequest,
                "the job does not encode",
                source,
            )
        })?;
        let submit = messages::SubmitRequest {
            work: encoded.into(),
            idempotency_key: key.to_string(),
            ..messages::SubmitRequest::default()
        };
        self.ask_shard_of(&work.id, submit).await
    }

    /// Cancels a job; the reply says that it is durable.
    ///
    /// # Errors
    ///
    /// As in the table of error kinds.
    pub async fn cancel_job(&self, job: &ids::WorkId) -> errors::Result<ids::WorkId> {
        let cancel = messages::SubmitRequest {
            cancel: job.to_string(),
            ..messages::SubmitRequest::default()
        };
        self.ask_shard_of(job, cancel).await
    }

    async fn ask_shard_of(
        &self,
        work: &ids::WorkId,
        mut submit: messages::SubmitRequest,
    ) -> errors::Result<ids::WorkId> {
        let shard = self.shared.config.topology.shard_of(work.as_str());
        submit.shard = u32::from(shard.0);
        let body = messages::Body::SubmitRequest(submit);
        let reply = peer::ask_shard(&self.shared, shard, body, SUBMIT_DEADLINE_MS).await?;
        let messages::Body::SubmitReply(reply) = reply else {
            return Err(shared::unexpected_reply());
        };
        Ok(ids::WorkId::new(&reply.work))
    }

    /// The status of one job.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if there is no such job, or that its shard cannot be
    /// reached.
    pub async fn job_status(&self, job: &ids::WorkId) -> errors::Result<api::JobStatus> {
        operators::job_status(&self.shared, job).await
    }

    /// Why a task waits, or where it runs or ran.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::NotFound`] if there is no such task, or that its shard cannot be
    /// reached.
    pub async fn explain(&self, task: &ids::TaskId) -> errors::Result<api::Explanation> {
        operators::explain(&self.shared, task).await
    }

    /// The status of all jobs whose shards can be reached.
    pub async fn jobs(&self) -> Vec<api::JobStatus> {
        operators::jobs(&self.shared).await
    }

    /// Accepts a release note and puts the release in force here.
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

    /// What the platform says about the workers; a zone that does not answer is unknown.
    async fn cell_limits(&self) -> release::CellLimits {
        let zones: Vec<&ids::ZoneId> = self.shared.config.topology.zones.keys().collect();
        let lists = zones.iter().map(|zone| async move {
            let list = self.shared.platform.workers.list(zone);
            let list = tokio::time::timeout(LIST_DEADLINE, list).await;
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

    /// Whether all work of the release in force has settled: batch work has
    /// ended and every replica of every service runs.
    pub async fn is_settled(&self) -> bool {
        let release = self.shared.releases.current();
        let jobs = self.jobs().await;
        let of_release = release.work.values().all(|work| {
            jobs.iter()
                .find(|job| job.work == work.id)
                .is_some_and(|job| match work.kind {
                    work::WorkKind::Service => job.running == work.tasks,
                    work::WorkKind::BatchRun | work::WorkKind::GangJob => job.is_settled(),
                })
        });
        let submitted = |job: &&api::JobStatus| !release.work.contains_key(&job.work);
        of_release
            && jobs
                .iter()
                .filter(submitted)
                .all(api::JobStatus::is_settled)
    }

    /// A draining host goes on serving what still arrives, until the balancer has noticed and
    /// the port is closed; only one that is joining refuses.
    fn check_serving(&self) -> errors::Result<()> {
        if self.shared.phase() != lifecycle::Phase::Joining {
            return Ok(());
        }
        Err(errors::Error::new(
            errors::ErrorKind::Draining,
            "this host takes no requests yet",
        ))
    }
}
