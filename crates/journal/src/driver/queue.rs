//! Queue of appends that are not durable yet.
//!
//! An append can be withdrawn, and reported as not durable, only while no write
//! that contains it may have reached the store. [`Queue`] tracks this condition.

use std::collections::VecDeque;

use kernel::errors;
use prost::Message;
use tokio::sync::oneshot;
use tokio::time;

use super::config::MAX_BATCH_BYTES;
use crate::record::{Entry, Record, RecordMessage};
use crate::state::Applied;

/// Result of an append.
pub(super) type Reply = errors::Result<Vec<Applied>>;

/// An append that is not durable yet.
#[derive(Debug)]
struct Pending {
    id: u64,
    records: Vec<Record>,
    bytes: usize,
    since: time::Instant,
    reply: oneshot::Sender<Reply>,
}

/// Waiting appends and the batch that is being written.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next_id: u64,
    waiting: VecDeque<Pending>,
    waiting_bytes: usize,
    batch: Vec<Pending>,
    batch_bytes: usize,
    /// Whether a write of the batch is in flight or may have taken effect.
    batch_may_be_durable: bool,
    /// Error kind for new appends once the queue is closed.
    closed: Option<errors::ErrorKind>,
}

/// Result of withdrawing an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Withdrawal {
    /// It is not and will not become durable.
    Withdrawn,
    /// It may become durable.
    TooLate,
}

/// Encoded size of records in an entry, before compression.
fn encoded_bytes(records: &[Record]) -> usize {
    let lengths = records.iter().map(|record| {
        let length = RecordMessage::from(record).encoded_len();
        length + prost::length_delimiter_len(length) + 1
    });
    lengths.sum()
}

impl Queue {
    /// Enqueues an append and returns its identifier and the receiver of its result.
    pub fn push(
        &mut self,
        records: Vec<Record>,
    ) -> errors::Result<(u64, oneshot::Receiver<Reply>)> {
        if let Some(kind) = self.closed {
            return Err(errors::Error::new(
                kind,
                "the journal accepts no more records",
            ));
        }
        let bytes = encoded_bytes(&records);
        if bytes > MAX_BATCH_BYTES {
            let detail = format!("{bytes} bytes of records exceed {MAX_BATCH_BYTES} of an entry");
            return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
        }
        let (reply, answer) = oneshot::channel();
        self.next_id += 1;
        self.waiting_bytes += bytes;
        self.waiting.push_back(Pending {
            id: self.next_id,
            records,
            bytes,
            since: time::Instant::now(),
            reply,
        });
        Ok((self.next_id, answer))
    }

    /// Enqueue time of the oldest waiting append, and the encoded size of all waiting ones.
    pub fn waiting(&self) -> Option<(time::Instant, usize)> {
        let oldest = self.waiting.front()?;
        Some((oldest.since, self.waiting_bytes))
    }

    /// Whether no append is waiting or being written.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.batch.is_empty()
    }

    /// Fills the batch and copies its records into `entry`; false if there is nothing to write.
    pub fn begin_write(&mut self, entry: &mut Entry) -> bool {
        while let Some(next) = self.waiting.front() {
            if self.batch_bytes + next.bytes > MAX_BATCH_BYTES {
                break;
            }
            self.batch_bytes += next.bytes;
            self.waiting_bytes -= next.bytes;
            self.batch.extend(self.waiting.pop_front());
        }
        let records = self.batch.iter().flat_map(|pending| pending.records.iter());
        entry.records = records.cloned().collect();
        self.batch_may_be_durable = !self.batch.is_empty();
        self.batch_may_be_durable
    }

    /// Marks the write as without effect, so that appends of the batch can be withdrawn again.
    pub fn write_had_no_effect(&mut self) {
        self.batch_may_be_durable = false;
    }

    /// Withdraws an append unless it may have become durable.
    pub fn withdraw(&mut self, id: u64) -> Withdrawal {
        if let Some(at) = self.waiting.iter().position(|pending| pending.id == id) {
            self.waiting_bytes -= self.waiting[at].bytes;
            self.waiting.remove(at);
            return Withdrawal::Withdrawn;
        }
        let at = self.batch.iter().position(|pending| pending.id == id);
        match at {
            Some(at) if !self.batch_may_be_durable => {
                self.batch_bytes -= self.batch[at].bytes;
                self.batch.remove(at);
                Withdrawal::Withdrawn
            }
            _ => Withdrawal::TooLate,
        }
    }

    /// Completes the appends of the batch, which is durable.
    pub fn finish_batch(&mut self, applied: &[Applied]) {
        let mut rest = applied;
        for pending in self.take_batch() {
            let (own, others) = rest.split_at(pending.records.len().min(rest.len()));
            rest = others;
            // The receiver is dropped if the append was cancelled.
            let _ = pending.reply.send(Ok(own.to_vec()));
        }
    }

    /// Fails the appends of the batch with the given error.
    pub fn refuse_batch(&mut self, kind: errors::ErrorKind, detail: &str) {
        for pending in self.take_batch() {
            let _ = pending.reply.send(Err(errors::Error::new(kind, detail)));
        }
    }

    /// Fails all waiting appends and refuses new ones.
    pub fn close(&mut self, kind: errors::ErrorKind, detail: &str) {
        self.closed = Some(kind);
        self.waiting_bytes = 0;
        for pending in self.waiting.drain(..) {
            let _ = pending.reply.send(Err(errors::Error::new(kind, detail)));
        }
    }

    /// Refuses new appends; waiting ones are still written.
    pub fn stop_accepting(&mut self, kind: errors::ErrorKind) {
        self.closed.get_or_insert(kind);
    }

    fn take_batch(&mut self) -> Vec<Pending> {
        self.batch_may_be_durable = false;
        self.batch_bytes = 0;
        std::mem::take(&mut self.batch)
    }
}
