//! Codec for envelopes in length-prefixed frames of bounded size.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::messages;

/// Maximum frame size: a body of the maximum size and its envelope.
pub const MAX_FRAME_BYTES: usize = 17 * 1024 * 1024;

/// Errors of reading or writing a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// I/O error, or a frame longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("failed to read or write a frame"), context(false))]
    Io {
        /// The I/O error.
        source: io::Error,
    },
    /// The payload of a frame is not a valid envelope.
    #[snafu(display("failed to decode a frame"), context(false))]
    Malformed {
        /// The protobuf error.
        source: prost::DecodeError,
    },
}

/// Encodes and decodes envelopes.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
    /// A length prefix was consumed and its payload is not complete yet.
    prefix_consumed: bool,
}

impl EnvelopeCodec {
    /// Whether the length prefix of a frame was consumed without its complete payload.
    pub fn awaits_payload(&self) -> bool {
        self.prefix_consumed
    }
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        Self {
            frames: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
            prefix_consumed: false,
        }
    }
}

impl Decoder for EnvelopeCodec {
    type Item = messages::Envelope;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let bytes_before = source.len();
        let Some(frame) = self.frames.decode(source)? else {
            self.prefix_consumed |= source.len() < bytes_before;
            return Ok(None);
        };
        self.prefix_consumed = false;
        Ok(Some(messages::Envelope::decode(frame)?))
    }
}

impl Encoder<messages::Envelope> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(
        &mut self,
        envelope: messages::Envelope,
        target: &mut BytesMut,
    ) -> Result<(), Self::Error> {
        self.frames
            .encode(Bytes::from(envelope.encode_to_vec()), target)?;
        Ok(())
    }
}
