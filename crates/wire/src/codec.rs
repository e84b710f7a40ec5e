//! Encoding of envelopes into bounded, length-prefixed frames.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::Snafu;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::messages;

/// Largest frame in bytes: the largest body and its envelope.
pub const FRAME_LIMIT_BYTES: usize = 17 * 1024 * 1024;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection broke, or a frame is longer than [`FRAME_LIMIT_BYTES`].
    #[snafu(display("reading or writing a frame"), context(false))]
    Io {
        /// The cause.
        source: io::Error,
    },
    /// The bytes of a frame are not an envelope.
    #[snafu(display("a frame does not decode"), context(false))]
    Malformed {
        /// The cause.
        source: prost::DecodeError,
    },
}

/// Turns envelopes into frames and frames into envelopes.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
    /// A frame's length was taken from the input and its content has not come yet.
    length_read: bool,
}

impl EnvelopeCodec {
    /// Whether the input ended within a frame whose length was already read.
    pub fn awaits_content(&self) -> bool {
        self.length_read
    }
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        Self {
            frames: LengthDelimitedCodec::builder()
                .max_frame_length(FRAME_LIMIT_BYTES)
                .new_codec(),
            length_read: false,
        }
    }
}

impl Decoder for EnvelopeCodec {
    type Item = messages::Envelope;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let bytes_before = source.len();
        let Some(frame) = self.frames.decode(source)? else {
            self.length_read |= source.len() < bytes_before;
            return Ok(None);
        };
        self.length_read = false;
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
