//! Messages between entry hosts, with their framing and transport.
//!
//! A connection carries length-prefixed frames, each one [`messages::Envelope`]
//! in protobuf encoding. Concurrent calls share a connection; replies are matched
//! to requests by call ID, and a reply without a pending call is dropped. Frames
//! are limited to [`MAX_FRAME_BYTES`]. If a peer sends an oversized, malformed
//! or incomplete frame, its connection is closed; other connections are not
//! affected.
//!
//! [`Transport`] is the client side and [`Handler`] the server side. Both are
//! traits, so that tests can connect hosts in memory.

mod client;
mod codec;
mod events;
#[expect(
    missing_docs,
    clippy::pedantic,
    reason = "generated from proto/hickorychute.proto"
)]
mod generated;
mod server;
mod transport;

pub use client::{ClientConfig, TcpTransport};
pub use codec::{EnvelopeCodec, FrameError, MAX_FRAME_BYTES};
pub use server::{Server, ServerConfig, ServerCounters};
pub use transport::{Handler, Transport, TransportError, failure, failure_of};

/// Generated message types; see `proto/hickorychute.proto` for their documentation.
pub mod messages {
    pub use crate::generated::hickorychute_wire::envelope::Body;
    pub use crate::generated::hickorychute_wire::*;
}
