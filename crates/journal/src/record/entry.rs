//! Entries, the batches in which records are written.

use bytes::Bytes;
use kernel::errors;
use kernel::ids;
use prost::Message;

use super::codec;
use super::message;
use super::{Record, RecordMessage};

/// The value of one journal write.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The writer's epoch.
    pub epoch: ids::Epoch,
    /// The writer's host.
    pub writer: ids::HostId,
    /// Identifier of the writer's opening of the journal.
    pub session: u64,
    /// Number of the write, unique within the session.
    pub batch: u64,
    /// Journal time of the batch in milliseconds; see [`ShardState`](crate::ShardState).
    pub at_ms: u64,
    /// The records, in the order in which they are applied.
    pub records: Vec<Record>,
}

impl Entry {
    /// Encodes and compresses the entry.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the compressor fails.
    pub fn encode(&self) -> errors::Result<Bytes> {
        let message = message::EntryMessage {
            epoch: self.epoch.0,
            writer: self.writer.to_string(),
            session: self.session,
            batch: self.batch,
            at_ms: self.at_ms,
            records: self.records.iter().map(RecordMessage::from).collect(),
        };
        codec::compress(&message.encode_to_vec())
    }

    /// Decodes an entry.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the bytes are not an entry of a known
    /// format or are larger than [`DECODED_LIMIT_BYTES`](super::DECODED_LIMIT_BYTES).
    pub fn decode(bytes: &[u8]) -> errors::Result<Self> {
        let plain = codec::decompress(bytes, codec::DECODED_LIMIT_BYTES)?;
        let message = message::EntryMessage::decode(plain.as_slice())
            .map_err(|error| codec::malformed("entry", error))?;
        let records: errors::Result<Vec<Record>> =
            message.records.into_iter().map(Record::try_from).collect();
        Ok(Self {
            epoch: ids::Epoch(message.epoch),
            writer: ids::HostId::from(message.writer),
            session: message.session,
            batch: message.batch,
            at_ms: message.at_ms,
            records: records?,
        })
    }

    /// Whether both entries are the same write of the same writer.
    pub fn is_same_batch(&self, other: &Self) -> bool {
        self.epoch == other.epoch
            && self.writer == other.writer
            && self.session == other.session
            && self.batch == other.batch
    }
}
