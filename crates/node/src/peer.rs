//! Requests of peers, and requests to the owners of groups and shards.

use std::sync::Arc;

use futures::future;
use kernel::errors;
use kernel::ids;
use opentelemetry::trace::SpanKind;
use wire::messages;

use crate::{claims, forward, gossip, operators, shared, telemetry};

/// Answers the requests of peers.
#[derive(Debug)]
pub struct PeerHandler {
    shared: Arc<shared::Shared>,
}

impl PeerHandler {
    /// A handler for one host.
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        Self { shared }
    }
}

impl wire::Handler for PeerHandler {
    fn handle(&self, request: messages::Envelope) -> future::BoxFuture<'_, messages::Envelope> {
        Box::pin(async move {
            let result = answer(&self.shared, request).await;
            messages::Envelope {
                from: self.shared.config.host.to_string(),
                release_version: self.shared.releases.version().0,
                body: Some(result.unwrap_or_else(|error| wire::failure(&error))),
                ..messages::Envelope::default()
            }
        })
    }
}

/// Answers one request, whether it came over the network or from this host itself.
async fn answer(
    shared: &Arc<shared::Shared>,
    request: messages::Envelope,
) -> errors::Result<messages::Body> {
    let deadline_ms = request.deadline_ms;
    let Some(body) = request.body else {
        return Err(errors::Error::new(
            errors::ErrorKind::BadRequest,
            "the request has no body",
        ));
    };
    match body {
        messages::Body::GossipRequest(gossip) => Ok(gossip::answer(shared, gossip)),
        messages::Body::ReleaseFetch(fetch) => shared.releases.content(fetch),
        messages::Body::AssignRequest(assign) => {
            let group = owned_group(shared, &assign.zone, assign.group)?;
            Ok(messages::Body::AssignReply(group.assign(&assign)?))
        }
        messages::Body::ReportRequest(report) => {
            let shard = owned_shard(shared, report.shard)?;
            Ok(messages::Body::ReportReply(shard.report(&report).await?))
        }
        messages::Body::CallRequest(call) => {
            let name = if call.hop == forward::HOP_CLAIM {
                "shard call"
            } else {
                "owner call"
            };
            let served = async {
                if call.hop == forward::HOP_CLAIM {
                    claims::serve(shared, call, deadline_ms).await
                } else {
                    forward::serve(shared, call, deadline_ms).await
                }
            };
            telemetry::in_span(name, SpanKind::Server, &request.traceparent, served).await
        }
        messages::Body::SubmitRequest(submit) => {
            let shard = owned_shard(shared, submit.shard)?;
            Ok(messages::Body::SubmitReply(shard.submit(&submit).await?))
        }
        messages::Body::QueryRequest(query) => operators::answer(shared, &query),
        _ => Err(errors::Error::new(
            errors::ErrorKind::BadRequest,
            "requests of this kind are not answered",
        )),
    }
}

fn owned_group(
    shared: &shared::Shared,
    zone: &str,
    index: u32,
) -> errors::Result<Arc<crate::group::GroupOwner>> {
    let id = ids::GroupId::new(&ids::ZoneId::new(zone), index as u16);
    shared.group(&id).ok_or_else(|| not_owned(&id))
}

fn owned_shard(
    shared: &shared::Shared,
    number: u32,
) -> errors::Result<Arc<crate::shard::ShardOwner>> {
    let id = ids::ShardId(number as u16);
    shared
        .shard(id)
        .ok_or_else(|| not_owned(&format_args!("shard {id}")))
}

fn not_owned(what: &impl std::fmt::Display) -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::StaleEpoch,
        format!("this host does not own {what}"),
    )
}

/// Sends a request to the owner of a shard.
///
/// # Errors
///
/// [`errors::ErrorKind::OwnerUnreachable`] if no owner is known, or what the owner answers.
pub(crate) async fn ask_shard(
    shared: &Arc<shared::Shared>,
    shard: ids::ShardId,
    body: messages::Body,
    deadline_ms: u64,
) -> errors::Result<messages::Body> {
    let address = shared
        .directory()
        .shard(shard)
        .map(|location| location.address.clone());
    let Some(address) = address else {
        return Err(unknown_owner(&format_args!("shard {shard}")));
    };
    ask_host(shared, &address, body, deadline_ms).await
}

/// Sends a request to the owner of a group.
///
/// # Errors
///
/// [`errors::ErrorKind::OwnerUnreachable`] if no owner is known, or what the owner answers.
pub(crate) async fn ask_group(
    shared: &Arc<shared::Shared>,
    group: &ids::GroupId,
    body: messages::Body,
    deadline_ms: u64,
) -> errors::Result<messages::Body> {
    let address = shared
        .directory()
        .group(group)
        .map(|location| location.address.clone());
    let Some(address) = address else {
        return Err(unknown_owner(group));
    };
    ask_host(shared, &address, body, deadline_ms).await
}

/// Sends a request to a host; one to this host itself does not touch the network.
///
/// The future is boxed because answering a request may lead to another one.
pub(crate) fn ask_host<'a>(
    shared: &'a Arc<shared::Shared>,
    address: &'a str,
    body: messages::Body,
    deadline_ms: u64,
) -> future::BoxFuture<'a, errors::Result<messages::Body>> {
    if address != shared.config.peer_address {
        return Box::pin(shared.ask(address, body, deadline_ms));
    }
    let request = messages::Envelope {
        deadline_ms,
        traceparent: telemetry::current_traceparent(),
        body: Some(body),
        ..messages::Envelope::default()
    };
    Box::pin(answer(shared, request))
}

fn unknown_owner(what: &impl std::fmt::Display) -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::OwnerUnreachable,
        format!("no owner of {what} is known"),
    )
}
