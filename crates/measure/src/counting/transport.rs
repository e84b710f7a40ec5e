//! Exchanges with peers.

use std::sync::Arc;

use futures::future;
use prost::Message as _;
use wire::{Transport, TransportError, messages};

use super::{Counts, Use};

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Counts the frames of another transport.
#[derive(Debug)]
pub(crate) struct CountingTransport {
    pub inner: Arc<dyn Transport>,
    pub counts: Counts,
}

impl Transport for CountingTransport {
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: messages::Envelope,
    ) -> future::BoxFuture<'a, Result<messages::Envelope, TransportError>> {
        Box::pin(async move {
            let purpose = Use::Peer(kind(&request));
            let sent = request.encoded_len() + LENGTH_BYTES;
            let result = self.inner.call(address, request).await;
            let received = result
                .as_ref()
                .map_or(0, |reply| reply.encoded_len() + LENGTH_BYTES);
            self.counts.add(purpose, sent + received);
            result
        })
    }
}

/// What an exchange is about.
fn kind(request: &messages::Envelope) -> &'static str {
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
