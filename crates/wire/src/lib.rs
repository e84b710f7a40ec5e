//! Messages between entry hosts and their framing.
//!
//! A connection carries length-prefixed frames, each one [`messages::Envelope`]
//! in protobuf encoding. Requests and replies of many calls share a connection
//! and are matched by number, so a late or crossed reply finds no open call and
//! is dropped. Frames are bounded by [`FRAME_LIMIT_BYTES`]; a peer that sends a
//! longer one, or bytes that do not decode, loses its connection and nothing
//! else.

mod codec;
#[expect(
    missing_docs,
    clippy::pedantic,
    reason = "written by the code generator from proto/hickorychute.proto"
)]
mod generated;

pub use codec::{EnvelopeCodec, FRAME_LIMIT_BYTES, FrameError};

/// The generated message types; `proto/hickorychute.proto` documents them.
pub mod messages {
    pub use crate::generated::hickorychute_wire::*;
}
