//! Routing of calls from the entry host to the owner of an upstream's slots.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use calls::{
    GroupLoad, RetryConfig, RetryDecision, RetryPolicy, RetryRequest, Route, RouteRequest, Router,
    RouterConfig,
};
use indexmap::IndexSet;
use kernel::errors;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use ownership::Liveness;
use wire::messages;

use crate::{config, group, peer, shared};

/// `hop` of a message to the owner of a non-idempotent call's claim.
pub(crate) const HOP_CLAIM: &str = "claim";
/// `hop` of a message to the owner of the upstream's slots.
pub(crate) const HOP_OWNER: &str = "owner";

/// Part of the deadline reserved for the reply.
const REPLY_RESERVE_MS: u64 = 10;
/// Interval of the check whether the addressed owner of a group has been replaced.
const OWNER_POLL_INTERVAL_MS: u64 = 100;
/// Delay before routing is retried for a service whose instances are still starting.
const NO_ROUTE_RETRY_DELAY_MS: u64 = 100;

/// A call as received by the entry host.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: ids::WorkId,
    /// Path and query to request from the service.
    pub path: String,
    /// The request's body.
    pub body: bytes::Bytes,
    /// Idempotency key; `None` marks the call as idempotent.
    pub key: Option<ids::IdempotencyKey>,
    /// The team to which the call is accounted.
    pub team: ids::TeamId,
    /// Urgency, which selects the queue of the call.
    pub urgency: work::Urgency,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// A complete answer to a call.
#[derive(Clone, Debug)]
pub struct Answered {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Body of the upstream's answer.
    pub body: bytes::Bytes,
    /// The instance that answered, as `WORK/INDEX@ATTEMPT`; empty if it is no longer recorded.
    pub instance: String,
    /// Number of the attempt; zero if it is no longer recorded.
    pub attempt_id: u64,
    /// Load of the service in the group that answered; `None` unless the answer comes from the
    /// group's owner.
    pub load: Option<GroupLoad>,
}

/// Group selection and retry budget of one entry host.
#[derive(Debug)]
pub struct Routing {
    router: Mutex<Router>,
    retries: Mutex<RetryPolicy>,
    known_groups: Mutex<IndexSet<ids::GroupId>>,
}

impl Routing {
    /// Creates routing state without any known group.
    pub fn new(config: &config::NodeConfig) -> Self {
        let router = RouterConfig::new(&config.zone, config.topology.zones.clone());
        Self {
            router: Mutex::new(Router::new(router, config.seed)),
            retries: Mutex::new(RetryPolicy::new(RetryConfig::default(), config.seed)),
            known_groups: Mutex::default(),
        }
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryPolicy> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the router from the gossip about groups and their services.
    pub fn refresh(&self, shared: &shared::Shared) {
        let now_ms = shared.now_ms();
        let hosts = shared.membership().hosts(now_ms);
        let draining = lifecycle::Phase::Draining.to_string();
        let mut known_groups = self
            .known_groups
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut router = self.router();
        let mut present = IndexSet::new();
        for host in &hosts {
            // Groups of this host are read directly instead of from gossip, which lags by up
            // to one round.
            let is_local = host.rumor.host == shared.config.host.as_str();
            let rumors: Vec<messages::GroupRumor> = if is_local {
                shared.groups().iter().map(|group| group.rumor()).collect()
            } else {
                host.rumor.groups.clone()
            };
            for rumor in &rumors {
                let id = ids::GroupId::new(&ids::ZoneId::new(&rumor.zone), rumor.index as u16);
                let live = host.liveness == Liveness::Live;
                router.set_state(&id, host.rumor.phase == draining && !is_local, live);
                for service in &rumor.services {
                    let load = group_load(service);
                    let heard_at_ms = now_ms.saturating_sub(host.heard_ms_ago);
                    router.observe(&id, &ids::WorkId::new(&service.service), load, heard_at_ms);
                }
                present.insert(id);
            }
        }
        for removed in known_groups.difference(&present) {
            router.remove(removed);
        }
        *known_groups = present;
    }
}

fn group_load(rumor: &messages::ServiceRumor) -> GroupLoad {
    GroupLoad {
        instances: rumor.instances,
        free_slots: rumor.free_slots,
        queue_delay_ms: rumor.queue_delay_ms,
    }
}

/// Routes a call received by this entry host: a non-idempotent one through the owner of its
/// claim, any other directly to an owner of slots.
///
/// # Errors
///
/// Any kind; see [`errors::ErrorKind`].
pub async fn enter(shared: &Arc<shared::Shared>, call: Call) -> errors::Result<Answered> {
    if call.key.is_some() {
        return crate::claims::enter(shared, call).await;
    }
    route(shared, call).await
}

/// Sends a call to a group that serves it, with the retries that the retry policy allows.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn route(shared: &Arc<shared::Shared>, call: Call) -> errors::Result<Answered> {
    let deadline_at_ms = shared.now_ms() + call.deadline_ms;
    shared.routing.retries().record_request(&call.team);
    let mut tried = Vec::new();
    let mut attempts = 0;
    let mut may_have_run = false;
    loop {
        let now_ms = shared.now_ms();
        let left_ms = deadline_at_ms.saturating_sub(now_ms);
        if left_ms <= REPLY_RESERVE_MS {
            let error = errors::Error::new(
                errors::ErrorKind::DeadlineBeforeStart,
                "the deadline passed before the call was sent",
            );
            return Err(correct_outcome(error, may_have_run));
        }
        let error = match select_group(shared, &call, &tried) {
            Ok(route) => {
                attempts += 1;
                tried.push(route.group.clone());
                match send_attempt(shared, &call, &route, left_ms - REPLY_RESERVE_MS).await {
                    Ok(answered) => return Ok(answered),
                    // The call did not reach an upstream, so this attempt does not count as a
                    // retry; another group is tried.
                    Err(error) if failed_before_upstream(error.kind) => {
                        attempts -= 1;
                        log::debug!("call to {} is routed again: {error}", call.service);
                        continue;
                    }
                    Err(error) => error,
                }
            }
            Err(error)
                if error.kind == errors::ErrorKind::NoUpstream
                    && is_service_in_release(shared, &call.service) =>
            {
                // Instances may be starting, or moving off a leaving worker.
                tried.clear();
                let pause_ms = NO_ROUTE_RETRY_DELAY_MS.min(left_ms);
                tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
                shared.routing.refresh(shared);
                log::debug!("call to {} is routed again: {error}", call.service);
                continue;
            }
            Err(error) => error,
        };
        may_have_run |= error.kind.answer().outcome == errors::Outcome::Unknown;
        let request = RetryRequest {
            team: &call.team,
            kind: error.kind,
            idempotent: call.key.is_none(),
            attempts,
            time_left_ms: deadline_at_ms.saturating_sub(shared.now_ms()),
        };
        let RetryDecision::RetryAfter { after_ms } = shared.routing.retries().decide(&request)
        else {
            return Err(correct_outcome(error, may_have_run));
        };
        tokio::time::sleep(time::Duration::from_millis(after_ms)).await;
    }
}

/// Whether a call failed before it reached any upstream: refused by an owner, or the owner
/// unreachable.
const fn failed_before_upstream(kind: errors::ErrorKind) -> bool {
    matches!(
        kind,
        errors::ErrorKind::NoUpstream
            | errors::ErrorKind::StaleEpoch
            | errors::ErrorKind::OwnerUnreachable
    )
}

/// Replaces an error with the outcome `not_run` by one with the outcome `unknown` if an
/// earlier attempt may have run.
pub(crate) fn correct_outcome(error: errors::Error, may_have_run: bool) -> errors::Error {
    if may_have_run && error.kind.answer().outcome == errors::Outcome::NotRun {
        let detail = format!("an earlier attempt got no answer; the last one failed: {error}");
        return errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, error);
    }
    error
}

fn select_group(
    shared: &shared::Shared,
    call: &Call,
    tried: &[ids::GroupId],
) -> errors::Result<Route> {
    let link_bytes = call.body.len() as u64;
    let request = RouteRequest {
        service: &call.service,
        link_bytes,
        tried,
    };
    shared.routing.router().pick(&request, shared.now_ms())
}

/// Whether the release in force contains the service, so that its instances may be starting.
fn is_service_in_release(shared: &shared::Shared, service: &ids::WorkId) -> bool {
    let release = shared.releases.current();
    release
        .work
        .get(service)
        .is_some_and(|work| work.kind == work::WorkKind::Service)
}

async fn send_attempt(
    shared: &Arc<shared::Shared>,
    call: &Call,
    route: &Route,
    deadline_ms: u64,
) -> errors::Result<Answered> {
    let body = messages::Body::CallRequest(messages::CallRequest {
        hop: HOP_OWNER.to_owned(),
        zone: route.group.zone.to_string(),
        group: u32::from(route.group.index),
        ..call_message(call)
    });
    // The owner answers by `deadline_ms`; the reserve leaves time for the reply to arrive.
    let wait_ms = deadline_ms + REPLY_RESERVE_MS;
    let result = send_to_owner(shared, call, &route.group, body, wait_ms).await;
    let now_ms = shared.now_ms();
    let mut router = shared.routing.router();
    match &result {
        Ok(answer) => {
            router.record_success(&route.group, now_ms);
            if let Some(load) = answer.load {
                router.observe(&route.group, &call.service, load, now_ms);
            }
            if route.distance == calls::Distance::OtherRegion {
                router.record_link_bytes(answer.body.len() as u64, now_ms);
            }
        }
        Err(error) if is_group_failure(error.kind) => {
            router.record_failure(&route.group, now_ms);
        }
        Err(_) => {}
    }
    result
}

/// Sends a call to the owner of a group. An idempotent call stops waiting once the owner has
/// been replaced, because it may be retried elsewhere.
async fn send_to_owner(
    shared: &Arc<shared::Shared>,
    call: &Call,
    group: &ids::GroupId,
    body: messages::Body,
    wait_ms: u64,
) -> errors::Result<Answered> {
    let reply = peer::send_to_group(shared, group, body, wait_ms);
    if call.key.is_some() {
        return reply.await.and_then(decode_reply);
    }
    tokio::select! {
        biased;
        reply = reply => reply.and_then(decode_reply),
        () = wait_for_new_owner(shared, group) => Err(errors::Error::new(
            errors::ErrorKind::AnswerLost,
            format!("{group} has a new owner; the previous one did not answer"),
        )),
    }
}

/// Completes when the group gets a newer owner than at the time of the call.
async fn wait_for_new_owner(shared: &shared::Shared, group: &ids::GroupId) {
    let epoch = || {
        shared
            .directory()
            .group(group)
            .map(|location| location.epoch)
    };
    let initial_epoch = epoch();
    while epoch() <= initial_epoch {
        tokio::time::sleep(time::Duration::from_millis(OWNER_POLL_INTERVAL_MS)).await;
    }
}

const fn is_group_failure(kind: errors::ErrorKind) -> bool {
    matches!(
        kind,
        errors::ErrorKind::OwnerUnreachable
            | errors::ErrorKind::StaleEpoch
            | errors::ErrorKind::AnswerLost
            | errors::ErrorKind::Internal
    )
}

/// Encodes a call as a message; the sender sets the hop.
pub(crate) fn call_message(call: &Call) -> messages::CallRequest {
    messages::CallRequest {
        service: call.service.to_string(),
        path: call.path.clone(),
        body: call.body.clone(),
        idempotency_key: call
            .key
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        team: call.team.to_string(),
        urgency: call.urgency.to_string(),
        idempotent: call.key.is_none(),
        ..messages::CallRequest::default()
    }
}

/// Decodes the call in a message.
pub(crate) fn call_from_message(message: messages::CallRequest, deadline_ms: u64) -> Call {
    let key = Some(&message.idempotency_key)
        .filter(|key| !key.is_empty())
        .map(ids::IdempotencyKey::new);
    Call {
        service: ids::WorkId::new(&message.service),
        path: message.path,
        body: message.body,
        key,
        team: ids::TeamId::new(&message.team),
        urgency: parse_urgency(&message.urgency),
        deadline_ms,
    }
}

/// Parses the name of an urgency; unknown names yield the default, normal.
pub(crate) fn parse_urgency(name: &str) -> work::Urgency {
    serde_json::from_value(serde_json::Value::String(name.to_owned())).unwrap_or_default()
}

/// Decodes the answer in a reply.
pub(crate) fn decode_reply(body: messages::Body) -> errors::Result<Answered> {
    let messages::Body::CallReply(reply) = body else {
        return Err(shared::unexpected_reply());
    };
    Ok(Answered {
        status: reply.status as u16,
        body: reply.body,
        instance: reply.instance,
        attempt_id: reply.attempt_id,
        load: reply.load.as_ref().map(group_load),
    })
}

/// Encodes an answer as a reply.
pub(crate) fn encode_reply(answered: Answered) -> messages::Body {
    messages::Body::CallReply(messages::CallReply {
        status: u32::from(answered.status),
        body: answered.body,
        instance: answered.instance,
        attempt_id: answered.attempt_id,
        load: answered.load.map(|load| messages::ServiceRumor {
            service: String::new(),
            instances: load.instances,
            free_slots: load.free_slots,
            queue_delay_ms: load.queue_delay_ms,
        }),
    })
}

/// Serves a call as the owner of the slots.
///
/// # Errors
///
/// Any kind; see [`errors::ErrorKind`].
pub async fn serve(
    shared: &Arc<shared::Shared>,
    message: messages::CallRequest,
    deadline_ms: u64,
) -> errors::Result<messages::Body> {
    let id = ids::GroupId::new(&ids::ZoneId::new(&message.zone), message.group as u16);
    let owner = shared.group(&id).ok_or_else(|| {
        errors::Error::new(
            errors::ErrorKind::StaleEpoch,
            format!("this host does not own {id}"),
        )
    })?;
    let call = call_from_message(message, deadline_ms.saturating_sub(REPLY_RESERVE_MS));
    let service = call.service.clone();
    let result = owner
        .call(group::OwnerCall {
            service: call.service,
            path: call.path,
            body: call.body,
            key: call.key,
            team: call.team,
            urgency: call.urgency,
            deadline_ms: call.deadline_ms,
        })
        .await?;
    Ok(encode_reply(Answered {
        status: result.answer.status,
        body: result.answer.body,
        instance: result.instance.to_string(),
        attempt_id: result.answer.attempt_id,
        load: owner.service_load(&service),
    }))
}
