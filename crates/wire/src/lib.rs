//! Messages between entry hosts, their framing and their transport.
//!
//! A connection carries length-prefixed frames, each one [`messages::Envelope`]
//! in protobuf encoding. Requests and replies of many calls share a connection
//! and are matched by number, so a late or crossed reply finds no open call and
//! is dropped. Frames are bounded by [`FRAME_LIMIT_BYTES`]; a peer that sends a
//! longer one, bytes that do not decode, or a frame that does not end, loses its
//! connection and nothing else.
//!
//! [`Transport`] is the sending side and [`Handler`] the receiving side. Both
//! are traits, so that tests connect hosts in memory.

mod client;
mod codec;
mod events;
#[expect(
    missing_docs,
    clippy::pedantic,
    reason = "written by the code generator from proto/hickorychute.proto"
)]
mod generated;
mod server;
mod transport;

pub use client::{ClientConfig, TcpTransport};
pub use codec::{EnvelopeCodec, FRAME_LIMIT_BYTES, FrameError};
pub use server::{Server, ServerConfig, ServerCounters};
pub use transport::{Handler, Transport, TransportError, failure, failure_of};

/// The generated message types; `proto/hickorychute.proto` documents them.
pub mod messages {
    pub use crate::generated::hickorychute_wire::envelope::Body;
    pub use crate::generated::hickorychute_wire::*;
}
