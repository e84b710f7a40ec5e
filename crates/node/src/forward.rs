//! Calls on their way from an entry host to the owner of the slots.

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

/// The hop of a non-idempotent call to the owner of its claim.
pub(crate) const HOP_CLAIM: &str = "claim";
/// The hop of a call to the owner of the slots.
pub(crate) const HOP_OWNER: &str = "owner";

/// Part of the deadline that is kept for the way back.
const RETURN_RESERVE_MS: u64 = 10;
/// Pause between looks whether the asked owner of a group has been replaced.
const OWNER_POLL_MS: u64 = 100;
/// Pause between looks for a group that serves a service whose instances are still starting.
const NO_ROUTE_RETRY_MS: u64 = 100;

/// A call as the entry host got it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: ids::WorkId,
    /// Path at the service, with its query.
    pub path: String,
    /// The request's body.
    pub body: bytes::Bytes,
    /// The key of a non-idempotent call.
    pub key: Option<ids::IdempotencyKey>,
    /// The team whose share it uses.
    pub team: ids::TeamId,
    /// Its lane.
    pub urgency: work::Urgency,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// HTTP status of the upstream.
    pub status: u16,
    /// The body.
    pub body: bytes::Bytes,
    /// The instance that answered, as `WORK/INDEX@ATTEMPT`; empty if it is not known any more.
    pub instance: String,
    /// The number of the attempt.
    pub attempt_id: u64,
    /// Load of the service in the group that answered, if the answer comes from its owner.
    pub load: Option<GroupLoad>,
}

/// The choice of groups and the budget of retries of one entry host.
#[derive(Debug)]
pub struct Routing {
    router: Mutex<Router>,
    retries: Mutex<RetryPolicy>,
    known: Mutex<IndexSet<ids::GroupId>>,
}

impl Routing {
    /// Starts without knowledge of any group.
    pub fn new(config: &config::NodeConfig) -> Self {
        let router = RouterConfig::new(&config.zone, config.topology.zones.clone());
        Self {
            router: Mutex::new(Router::new(router, config.seed)),
            retries: Mutex::new(RetryPolicy::new(RetryConfig::default(), config.seed)),
            known: Mutex::default(),
        }
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryPolicy> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what the rumors say about groups and their services.
    pub fn refresh(&self, shared: &shared::Shared) {
        let now_ms = shared.now_ms();
        let hosts = shared.membership().hosts(now_ms);
        let draining = lifecycle::Phase::Draining.to_string();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let mut router = self.router();
        let mut present = IndexSet::new();
        for host in &hosts {
            // Own groups are read directly, so that they are never a round of gossip old.
            let own = host.rumor.host == shared.config.host.as_str();
            let rumors: Vec<messages::GroupRumor> = if own {
                shared.groups().iter().map(|group| group.rumor()).collect()
            } else {
                host.rumor.groups.clone()
            };
            for rumor in &rumors {
                let id = ids::GroupId::new(&ids::ZoneId::new(&rumor.zone), rumor.index as u16);
                let live = host.liveness == Liveness::Live;
                router.set_state(&id, host.rumor.phase == draining && !own, live);
                for service in &rumor.services {
                    let load = group_load(service);
                    let heard_ms = now_ms.saturating_sub(host.heard_ms_ago);
                    router.observe(&id, &ids::WorkId::new(&service.service), load, heard_ms);
                }
                present.insert(id);
            }
        }
        for gone in known.difference(&present) {
            router.remove(gone);
        }
        *known = present;
    }
}

fn group_load(rumor: &messages::ServiceRumor) -> GroupLoad {
    GroupLoad {
        instances: rumor.instances,
        free_slots: rumor.free_slots,
        queue_delay_ms: rumor.queue_delay_ms,
    }
}

/// Serves a call at its entry host: the claim's owner for a non-idempotent one, else the slots'.
///
/// # Errors
///
/// As in the table of error kinds.
pub async fn enter(shared: &Arc<shared::Shared>, call: Call) -> errors::Result<Answered> {
    if call.key.is_some() {
        return crate::claims::enter(shared, call).await;
    }
    route(shared, call).await
}

/// Sends a call to a group that serves it, and tries again where that is allowed.
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
        if left_ms <= RETURN_RESERVE_MS {
            let error = errors::Error::new(
                errors::ErrorKind::DeadlineBeforeStart,
                "the deadline passed before the call left",
            );
            return Err(truthful(error, may_have_run));
        }
        let error = match pick(shared, &call, &tried) {
            Ok(route) => {
                attempts += 1;
                tried.push(route.group.clone());
                match attempt(shared, &call, &route, left_ms - RETURN_RESERVE_MS).await {
                    Ok(answered) => return Ok(answered),
                    // No upstream was asked, so this is no retry; another group may have one.
                    Err(error) if asked_no_upstream(error.kind) => {
                        attempts -= 1;
                        log::debug!("call to {}: {error}", call.service);
                        continue;
                    }
                    Err(error) => error,
                }
            }
            Err(error)
                if error.kind == errors::ErrorKind::NoUpstream
                    && is_starting(shared, &call.service) =>
            {
                // Instances may be starting, or moving from a leaving worker.
                tried.clear();
                let pause_ms = NO_ROUTE_RETRY_MS.min(left_ms);
                tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
                shared.routing.refresh(shared);
                log::debug!("call to {}: {error}", call.service);
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
            return Err(truthful(error, may_have_run));
        };
        tokio::time::sleep(time::Duration::from_millis(after_ms)).await;
    }
}

/// Whether an owner refused a call, or could not be reached, before any upstream was asked.
const fn asked_no_upstream(kind: errors::ErrorKind) -> bool {
    matches!(
        kind,
        errors::ErrorKind::NoUpstream
            | errors::ErrorKind::StaleEpoch
            | errors::ErrorKind::OwnerUnreachable
    )
}

/// An error that says `not_run` becomes one that says `unknown` if an earlier attempt may have run.
pub(crate) fn truthful(error: errors::Error, may_have_run: bool) -> errors::Error {
    if may_have_run && error.kind.answer().outcome == errors::Outcome::NotRun {
        let detail = format!("an earlier attempt brought no answer, and the last one: {error}");
        return errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, error);
    }
    error
}

fn pick(shared: &shared::Shared, call: &Call, tried: &[ids::GroupId]) -> errors::Result<Route> {
    let link_bytes = call.body.len() as u64;
    let request = RouteRequest {
        service: &call.service,
        link_bytes,
        tried,
    };
    shared.routing.router().pick(&request, shared.now_ms())
}

/// Whether the release has the service, so that instances may be about to start.
fn is_starting(shared: &shared::Shared, service: &ids::WorkId) -> bool {
    let release = shared.releases.current();
    release
        .work
        .get(service)
        .is_some_and(|work| work.kind == work::WorkKind::Service)
}

async fn attempt(
    shared: &Arc<shared::Shared>,
    call: &Call,
    route: &Route,
    deadline_ms: u64,
) -> errors::Result<Answered> {
    let body = messages::Body::CallRequest(messages::CallRequest {
        hop: HOP_OWNER.to_owned(),
        zone: route.group.zone.to_string(),
        group: u32::from(route.group.index),
        ..message(call)
    });
    // The owner answers by the deadline itself; the reserve lets its answer arrive.
    let wait_ms = deadline_ms + RETURN_RESERVE_MS;
    let result = ask_owner(shared, call, &route.group, body, wait_ms).await;
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
        Err(error) if is_fault_of_group(error.kind) => {
            router.record_failure(&route.group, now_ms);
        }
        Err(_) => {}
    }
    result
}

/// Asks the owner of a group; an idempotent call does not wait for one that has been replaced.
async fn ask_owner(
    shared: &Arc<shared::Shared>,
    call: &Call,
    group: &ids::GroupId,
    body: messages::Body,
    wait_ms: u64,
) -> errors::Result<Answered> {
    let asked = peer::ask_group(shared, group, body, wait_ms);
    if call.key.is_some() {
        return asked.await.and_then(answered);
    }
    tokio::select! {
        biased;
        reply = asked => reply.and_then(answered),
        () = replaced(shared, group) => Err(errors::Error::new(
            errors::ErrorKind::AnswerLost,
            format!("{group} has a new owner, and the former one has not answered"),
        )),
    }
}

/// Ends when the group has another owner than now.
async fn replaced(shared: &shared::Shared, group: &ids::GroupId) {
    let epoch = || {
        shared
            .directory()
            .group(group)
            .map(|location| location.epoch)
    };
    let asked = epoch();
    while epoch() <= asked {
        tokio::time::sleep(time::Duration::from_millis(OWNER_POLL_MS)).await;
    }
}

const fn is_fault_of_group(kind: errors::ErrorKind) -> bool {
    matches!(
        kind,
        errors::ErrorKind::OwnerUnreachable
            | errors::ErrorKind::StaleEpoch
            | errors::ErrorKind::AnswerLost
            | errors::ErrorKind::Internal
    )
}

/// The message that carries a call; the hop is left to the sender.
pub(crate) fn message(call: &Call) -> messages::CallRequest {
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

/// The call in a message.
pub(crate) fn call_of(message: messages::CallRequest, deadline_ms: u64) -> Call {
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

/// Reads an urgency by name; an unknown one counts as normal.
pub(crate) fn parse_urgency(name: &str) -> work::Urgency {
    serde_json::from_value(serde_json::Value::String(name.to_owned())).unwrap_or_default()
}

/// The answer in a reply.
pub(crate) fn answered(body: messages::Body) -> errors::Result<Answered> {
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

/// The reply that carries an answer.
pub(crate) fn reply(answered: Answered) -> messages::Body {
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

/// Serves a call at the owner of the slots.
///
/// # Errors
///
/// As in the table of error kinds.
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
    let call = call_of(message, deadline_ms.saturating_sub(RETURN_RESERVE_MS));
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
    Ok(reply(Answered {
        status: result.answer.status,
        body: result.answer.body,
        instance: result.instance.to_string(),
        attempt_id: result.answer.attempt_id,
        load: owner.load(&service),
    }))
}
