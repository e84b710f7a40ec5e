//! Handling of requests from peers, and sending of requests to the owners of groups and
//! shards.

use std::sync::Arc;

use futures::future;
use kernel::errors;
use kernel::ids;
use opentelemetry::trace::SpanKind;
use wire::messages;

use crate::{claims, forward, gossip, operators, shared, telemetry};

/// Handles requests from peers.
#[derive(Debug)]
pub struct PeerHandler {
    shared: Arc<shared::Shared>,
}

impl PeerHandler {
    /// Creates the handler of one host.
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        Self { shared }
    }
}

impl wire::Handler for PeerHandler {
    fn handle(&self, request: messages::Envelope) -> future::BoxFuture<'_, messages::Envelope> {
        Box::pin(async move {
            let result = handle_request(&self.shared, request).await;
            messages::Envelope {
                from: self.shared.config.host.to_string(),
                release_version: self.shared.releases.version().0,
                body: Some(result.unwrap_or_else(|error| wire::failure(&error))),
                ..messages::Envelope::default()
            }
        })
    }
}

/// Handles one request, received over the network or sent by this host to itself.
async fn handle_request(
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
        messages::Body::GossipRequest(gossip) => Ok(gossip::handle_request(shared, gossip)),
        messages::Body::ReleaseFetch(fetch) => shared.releases.encode_content(fetch),
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
            let handling = async {
                if call.hop == forward::HOP_CLAIM {
                    claims::serve(shared, call, deadline_ms).await
                } else {
                    forward::serve(shared, call, deadline_ms).await
                }
            };
            telemetry::in_span(name, SpanKind::Server, &request.traceparent, handling).await
        }
        messages::Body::SubmitRequest(submit) => {
            let shard = owned_shard(shared, submit.shard)?;
            Ok(messages::Body::SubmitReply(shard.submit(&submit).await?))
        }
        messages::Body::QueryRequest(query) => operators::handle_query(shared, &query),
        _ => Err(errors::Error::new(
            errors::ErrorKind::BadRequest,
            "messages of this kind are not requests",
        )),
    }
}

fn owned_group(
    shared: &shared::Shared,
    zone: &str,
    index: u32,
) -> errors::Result<Arc<crate::group::GroupOwner>> {
    let id = ids::GroupId::new(&ids::ZoneId::new(zone), index as u16);
    shared.group(&id).ok_or_else(|| not_owner_error(&id))
}

fn owned_shard(
    shared: &shared::Shared,
    number: u32,
) -> errors::Result<Arc<crate::shard::ShardOwner>> {
    let id = ids::ShardId(number as u16);
    shared
        .shard(id)
        .ok_or_else(|| not_owner_error(&format_args!("shard {id}")))
}

fn not_owner_error(what: &impl std::fmt::Display) -> errors::Error {
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
pub(crate) async fn send_to_shard(
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
        return Err(unknown_owner_error(&format_args!("shard {shard}")));
    };
    send_to_host(shared, &address, body, deadline_ms).await
}

/// Sends a request to the owner of a group.
///
/// # Errors
///
/// [`errors::ErrorKind::OwnerUnreachable`] if no owner is known, or what the owner answers.
pub(crate) async fn send_to_group(
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
        return Err(unknown_owner_error(group));
    };
    send_to_host(shared, &address, body, deadline_ms).await
}

/// Sends a request to a host; a request to this host is handled without the network.
///
/// The future is boxed because handling a request may send another one (async recursion).
pub(crate) fn send_to_host<'a>(
    shared: &'a Arc<shared::Shared>,
    address: &'a str,
    body: messages::Body,
    deadline_ms: u64,
) -> future::BoxFuture<'a, errors::Result<messages::Body>> {
    if address != shared.config.peer_address {
        return Box::pin(shared.send_request(address, body, deadline_ms));
    }
    let request = messages::Envelope {
        deadline_ms,
        traceparent: telemetry::current_traceparent(),
        body: Some(body),
        ..messages::Envelope::default()
    };
    Box::pin(handle_request(shared, request))
}

fn unknown_owner_error(what: &impl std::fmt::Display) -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::OwnerUnreachable,
        format!("no owner of {what} is known"),
    )
}
