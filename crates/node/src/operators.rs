//! Operator queries, answered from the owners of groups and shards.
//!
//! Lists omit owners that do not answer within the timeout, so that a list is always returned.
//! A query about a single subject fails with the owner that is missing.

use std::sync::Arc;

use futures::future;
use indexmap::IndexSet;
use kernel::errors;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use ownership::Liveness;
use platform::upstreams;
use serde::de::DeserializeOwned;
use wire::messages;

use crate::{group, peer, shared};

/// Timeout of a query to one host.
const QUERY_TIMEOUT_MS: u64 = 2_000;

const WORKERS: &str = "workers";
const PLACEMENTS: &str = "placements";
const INSTANCES: &str = "instances";
const JOBS: &str = "jobs";
const JOB: &str = "job";
const RUNNING: &str = "running";
const EXPLAIN_SHARD: &str = "explain_shard";
const EXPLAIN_GROUP: &str = "explain_group";

/// Answers a query of a peer from the groups and shards that this host owns.
///
/// # Errors
///
/// [`errors::ErrorKind::NotFound`] if the subject is not known to this host,
/// [`errors::ErrorKind::BadRequest`] for an unknown query.
pub(crate) fn handle_query(
    shared: &Arc<shared::Shared>,
    query: &messages::QueryRequest,
) -> errors::Result<messages::Body> {
    let groups = shared.groups();
    let subject = ids::WorkId::new(&query.subject);
    let json = match query.what.as_str() {
        WORKERS => encode(
            &groups
                .iter()
                .flat_map(|group| group.worker_views())
                .collect::<Vec<_>>(),
        ),
        PLACEMENTS => encode(
            &groups
                .iter()
                .flat_map(|group| group.placements())
                .collect::<Vec<_>>(),
        ),
        INSTANCES => encode(
            &groups
                .iter()
                .flat_map(|group| group.instances(&subject))
                .collect::<Vec<_>>(),
        ),
        RUNNING => encode(
            &groups
                .iter()
                .map(|group| group.running_count(&subject))
                .sum::<u32>(),
        ),
        JOBS => {
            let shards = shared.shards();
            encode(
                &shards
                    .iter()
                    .flat_map(|shard| shard.job_statuses())
                    .collect::<Vec<_>>(),
            )
        }
        JOB => encode(&shard_owner_of(shared, subject.as_str())?.job_status(&subject)?),
        EXPLAIN_SHARD => {
            let task: ids::TaskId = query.subject.parse()?;
            encode(&explain_at_shard(shared, &task)?)
        }
        EXPLAIN_GROUP => {
            let task: ids::TaskId = query.subject.parse()?;
            encode(&groups.iter().find_map(|group| group.explain(&task)))
        }
        other => Err(errors::Error::new(
            errors::ErrorKind::BadRequest,
            format!("unknown query {other:?}"),
        )),
    }?;
    Ok(messages::Body::QueryReply(messages::QueryReply {
        json: json.into(),
    }))
}

fn shard_owner_of(
    shared: &shared::Shared,
    name: &str,
) -> errors::Result<Arc<crate::shard::ShardOwner>> {
    let id = shared.config.topology.shard_of(name);
    shared.shard(id).ok_or_else(|| {
        errors::Error::new(
            errors::ErrorKind::StaleEpoch,
            format!("this host does not own shard {id}"),
        )
    })
}

/// The entry hosts known to this host.
pub(crate) fn hosts(shared: &shared::Shared) -> Vec<api::HostView> {
    let hosts = shared.membership().hosts(shared.now_ms());
    hosts.into_iter().map(host_view).collect()
}

fn host_view(host: ownership::HostView) -> api::HostView {
    let rumor = host.rumor;
    let sum = |pick: fn(&messages::GroupRumor) -> Option<&messages::Amount>| {
        rumor
            .groups
            .iter()
            .map(|group| group::decode_resources(pick(group)))
            .fold(work::Resources::default(), |sum, amount| sum + amount)
    };
    api::HostView {
        free: sum(|group| group.free.as_ref()),
        capacity: sum(|group| group.capacity.as_ref()),
        waiting_tasks: rumor.groups.iter().map(|group| group.waiting_tasks).sum(),
        groups: rumor
            .groups
            .iter()
            .map(|group| api::GroupView {
                zone: ids::ZoneId::new(&group.zone),
                index: group.index as u16,
                epoch: ids::Epoch(group.epoch),
            })
            .collect(),
        shards: rumor
            .shards
            .iter()
            .map(|shard| api::ShardView {
                shard: ids::ShardId(shard.shard as u16),
                epoch: ids::Epoch(shard.epoch),
            })
            .collect(),
        phase: parse_phase(&rumor.phase).unwrap_or_default(),
        host: ids::HostId::new(&rumor.host),
        zone: ids::ZoneId::new(&rumor.zone),
        address: rumor.http_address,
        heard_ms_ago: host.heard_ms_ago,
    }
}

/// Parses the name of a phase; `None` if it is unknown.
pub(crate) fn parse_phase(name: &str) -> Option<lifecycle::Phase> {
    serde_json::from_value(serde_json::Value::String(name.to_owned())).ok()
}

/// The workers of all groups whose owners answer in time.
pub(crate) async fn workers(shared: &Arc<shared::Shared>) -> Vec<api::WorkerView> {
    let found: Vec<Vec<api::WorkerView>> = query_live_hosts(shared, WORKERS, "").await;
    found.into_iter().flatten().collect()
}

/// The tasks on the workers of all groups whose owners answer in time.
pub(crate) async fn placements(shared: &Arc<shared::Shared>) -> Vec<api::Placement> {
    let found: Vec<Vec<api::Placement>> = query_live_hosts(shared, PLACEMENTS, "").await;
    found.into_iter().flatten().collect()
}

/// The instances of a service, with their addresses, in all groups whose owners answer in
/// time.
pub(crate) async fn instances(
    shared: &Arc<shared::Shared>,
    service: &ids::WorkId,
) -> Vec<upstreams::UpstreamAddress> {
    let found =
        query_live_hosts::<Vec<upstreams::UpstreamAddress>>(shared, INSTANCES, service.as_str());
    found.await.into_iter().flatten().collect()
}

/// All jobs whose shards answer in time, sorted by name.
pub(crate) async fn jobs(shared: &Arc<shared::Shared>) -> Vec<api::JobStatus> {
    let answers: Vec<Vec<api::JobStatus>> = query_live_hosts(shared, JOBS, "").await;
    let mut jobs: Vec<api::JobStatus> = answers.into_iter().flatten().collect();
    jobs.sort_by(|a, b| a.work.cmp(&b.work));
    let placements = placements(shared).await;
    for job in &mut jobs {
        let running = placements
            .iter()
            .filter(|placement| placement.run.task.work == job.work)
            .count();
        split_running(job, running as u32);
    }
    jobs
}

/// The status of one job.
///
/// # Errors
///
/// [`errors::ErrorKind::NotFound`] if there is no such job, else the error of reaching its
/// shard.
pub(crate) async fn job_status(
    shared: &Arc<shared::Shared>,
    job: &ids::WorkId,
) -> errors::Result<api::JobStatus> {
    let shard = shared.config.topology.shard_of(job.as_str());
    let mut status: api::JobStatus = query_shard(shared, shard, JOB, job.as_str()).await?;
    let running: Vec<u32> = query_live_hosts(shared, RUNNING, job.as_str()).await;
    split_running(&mut status, running.into_iter().sum());
    Ok(status)
}

/// Splits the assigned tasks into running and assigned ones. The shard's count and the groups'
/// count are taken at different times, so the running count is capped.
fn split_running(status: &mut api::JobStatus, running: u32) {
    status.running = running.min(status.assigned);
    status.assigned -= status.running;
}

/// Explains why a task waits, or where it runs or ran.
///
/// # Errors
///
/// [`errors::ErrorKind::NotFound`] if there is no such task, else the error of reaching its
/// shard.
pub(crate) async fn explain(
    shared: &Arc<shared::Shared>,
    task: &ids::TaskId,
) -> errors::Result<api::Explanation> {
    let groups: Vec<Option<api::Explanation>> =
        query_live_hosts(shared, EXPLAIN_GROUP, &task.to_string()).await;
    if let Some(explanation) = groups.into_iter().flatten().next() {
        return Ok(explanation);
    }
    let shard = shared.config.topology.shard_of(task.work.as_str());
    query_shard(shared, shard, EXPLAIN_SHARD, &task.to_string()).await
}

fn explain_at_shard(
    shared: &shared::Shared,
    task: &ids::TaskId,
) -> errors::Result<api::Explanation> {
    let found = shard_owner_of(shared, task.work.as_str())?.explain(task)?;
    let (state, reason) = match found.state {
        journal::TaskState::Waiting if found.cancelled => (
            api::TaskState::Cancelled,
            "It was cancelled before it started.".to_owned(),
        ),
        journal::TaskState::Waiting => (
            api::TaskState::Waiting,
            "No rack group that may run it has room; add workers, or withdraw or shrink other \
             work."
                .to_owned(),
        ),
        journal::TaskState::Assigned => {
            let group = found
                .group
                .map(|group| group.to_string())
                .unwrap_or_default();
            (
                api::TaskState::Assigned,
                format!("It is assigned to {group}, whose owner is currently unreachable."),
            )
        }
        journal::TaskState::Completed => (api::TaskState::Completed, "It completed.".to_owned()),
        journal::TaskState::Failed => (
            api::TaskState::Failed,
            "All its attempts failed; check the task's output.".to_owned(),
        ),
        journal::TaskState::Cancelled => {
            (api::TaskState::Cancelled, "It was cancelled.".to_owned())
        }
        journal::TaskState::EndUnknown => (
            api::TaskState::Unknown,
            "Its worker was lost while it ran, and it may not run twice; check its effects and \
             submit it anew."
                .to_owned(),
        ),
    };
    Ok(api::Explanation {
        state,
        worker: None,
        attempt: ids::Attempt(0),
        reason,
    })
}

async fn query_shard<T: DeserializeOwned>(
    shared: &Arc<shared::Shared>,
    shard: ids::ShardId,
    what: &str,
    subject: &str,
) -> errors::Result<T> {
    let reply = peer::send_to_shard(
        shared,
        shard,
        query_request(what, subject),
        QUERY_TIMEOUT_MS,
    )
    .await?;
    decode(reply)
}

/// Sends a query to every live host; hosts that fail to answer are omitted.
async fn query_live_hosts<T: DeserializeOwned>(
    shared: &Arc<shared::Shared>,
    what: &str,
    subject: &str,
) -> Vec<T> {
    let hosts = shared.membership().hosts(shared.now_ms());
    let addresses: IndexSet<String> = hosts
        .into_iter()
        .filter(|host| host.liveness == Liveness::Live)
        .map(|host| host.rumor.address)
        .collect();
    let queries = addresses.iter().map(|address| async move {
        let body = query_request(what, subject);
        let reply = peer::send_to_host(shared, address, body, QUERY_TIMEOUT_MS).await;
        reply
            .and_then(decode)
            .inspect_err(|error| log::debug!("query {what} to {address} failed: {error}"))
    });
    future::join_all(queries)
        .await
        .into_iter()
        .filter_map(Result::ok)
        .collect()
}

fn query_request(what: &str, subject: &str) -> messages::Body {
    messages::Body::QueryRequest(messages::QueryRequest {
        what: what.to_owned(),
        subject: subject.to_owned(),
    })
}

fn encode<T: serde::Serialize>(value: &T) -> errors::Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::Internal,
            "cannot encode the query result",
            source,
        )
    })
}

fn decode<T: DeserializeOwned>(reply: messages::Body) -> errors::Result<T> {
    let messages::Body::QueryReply(reply) = reply else {
        return Err(shared::unexpected_reply());
    };
    serde_json::from_slice(&reply.json).map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::Internal,
            "cannot decode the query result",
            source,
        )
    })
}
