//! A [`Transport`] that counts its calls.

use std::sync::Arc;

use futures::future;
use prost::Message as _;
use wire::{Transport, TransportError, messages};

use super::{Traffic, TrafficCounters};

/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Forwards to another transport and counts the calls, with the bytes of their frames.
#[derive(Debug)]
pub(crate) struct CountingTransport {
    pub inner: Arc<dyn Transport>,
    pub counters: TrafficCounters,
}

impl Transport for CountingTransport {
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> future::BoxFuture<'a, Result<messages::Envelope, TransportError>> {
        Box::pin(async move {
            let traffic = Traffic::Peer(request_kind(&request));
            let sent_bytes = request.encoded_len() + LENGTH_PREFIX_BYTES;
            let result = self.inner.call(address, request).await;
            let received_bytes = result
                .as_ref()
                .map_or(0, |reply| reply.encoded_len() + LENGTH_PREFIX_BYTES);
            self.counters.add(traffic, sent_bytes + received_bytes);
            result
        })
    }
}

/// Returns the kind of a request as it appears in figure names.
fn request_kind(request: &messages::Envelope) -> &'static str {
    use messages::Body;
    match &request.body {
        Some(Body::GossipRequest(_)) => "gossip",
        Some(Body::ReleaseFetch(_) | Body::ReleaseContent(_)) => "release",
        Some(Body::AssignRequest(_)) => "assign",
        Some(Body::ReportRequest(_)) => "report",
        Some(Body::CallRequest(_) | Body::CreditRequest(_)) => "call",
        Some(Body::SubmitRequest(_)) => "submit",
        Some(Body::QueryRequest(_)) => "query",
        _ => "other",
    }
}
