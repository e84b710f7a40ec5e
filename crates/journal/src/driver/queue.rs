//! Appends that are not durable yet.
//!
//! An append can be withdrawn, truthfully "not durable", only while no write
//! that contains it may have reached the store. [`Queue`] keeps that knowledge.

use std::collections::VecDeque;

use kernel::errors;
use prost::Message;
use tokio::sync::oneshot;
use tokio::time;

use super::config::BATCH_LIMIT_BYTES;
use crate::record::{Entry, Record, RecordMessage};
use crate::state::Applied;

/// What an append is answered with.
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

/// Appends that wait and the batch that is being written.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next_id: u64,
    waiting: VecDeque<Pending>,
    waiting_bytes: usize,
    batch: Vec<Pending>,
    batch_bytes: usize,
    /// A write of the batch is under way, or one may have taken effect.
    committed_to_batch: bool,
    /// Why no more appends are taken.
    closed: Option<errors::ErrorKind>,
}

/// What became of an append that was to be withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Withdrawal {
    /// It is not and will not become durable.
    Withdrawn,
    /// It may become durable.
    TooLate,
}

/// Size of records in an entry before compression, in bytes.
fn encoded_bytes(records: &[Record]) -> usize {
    let lengths = records.iter().map(|record| {
        let length = RecordMessage::from(record).encoded_len();
        length + prost::length_delimiter_len(length) + 1
    });
    lengths.sum()
}

impl Queue {
    /// Adds an append and returns its number and where its answer comes.
    pub fn push(
        &mut self,
        records: Vec<Record>,
    ) -> errors::Result<(u64, oneshot::Receiver<Reply>)> {
        if let Some(kind) = self.closed {
            return Err(errors::Error::new(
                kind,
                "the journal takes no more records",
            ));
        }
        let bytes = encoded_bytes(&records);
        if bytes > BATCH_LIMIT_BYTES {
            let detail = format!("{bytes} bytes of records; {BATCH_LIMIT_BYTES} fit one entry");
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

    /// Since when the oldest waiting append waits, and the size of all waiting ones.
    pub fn waiting(&self) -> Option<(time::Instant, usize)> {
        let oldest = self.waiting.front()?;
        Some((oldest.since, self.waiting_bytes))
    }

    /// Whether nothing waits and nothing is being written.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.batch.is_empty()
    }

    /// Fills the batch and puts its records into `entry`; false if there is nothing to write.
    pub fn begin_write(&mut self, entry: &mut Entry) -> bool {
        while let Some(next) = self.waiting.front() {
            if self.batch_bytes + next.bytes > BATCH_LIMIT_BYTES {
                break;
            }
            self.batch_bytes += next.bytes;
            self.waiting_bytes -= next.bytes;
            self.batch.extend(self.waiting.pop_front());
        }
        let records = self.batch.iter().flat_map(|pending| pending.records.iter());
        entry.records = records.cloned().collect();
        self.committed_to_batch = !self.batch.is_empty();
        self.committed_to_batch
    }

    /// The write took no effect: the batch may shrink and grow again.
    pub fn write_had_no_effect(&mut self) {
        self.committed_to_batch = false;
    }

    /// Withdraws an append if it cannot become durable.
    pub fn withdraw(&mut self, id: u64) -> Withdrawal {
        if let Some(at) = self.waiting.iter().position(|pending| pending.id == id) {
            self.waiting_bytes -= self.waiting[at].bytes;
            self.waiting.remove(at);
            return Withdrawal::Withdrawn;
        }
        let at = self.batch.iter().position(|pending| pending.id == id);
        match at {
            Some(at) if !self.committed_to_batch => {
                self.batch_bytes -= self.batch[at].bytes;
                self.batch.remove(at);
                Withdrawal::Withdrawn
            }
            _ => Withdrawal::TooLate,
        }
    }

    /// Answers the appends of the batch, which is durable.
    pub fn finish_batch(&mut self, applied: &[Applied]) {
        let mut rest = applied;
        for pending in self.take_batch() {
            let (own, others) = rest.split_at(pending.records.len().min(rest.len()));
            rest = others;
            // Whoever asked may have given up.
            let _ = pending.reply.send(Ok(own.to_vec()));
        }
    }

    /// Refuses the appends of the batch, which is certainly not durable.
    pub fn refuse_batch(&mut self, kind: errors::ErrorKind, detail: &str) {
        for pending in self.take_batch() {
            let _ = pending.reply.send(Err(errors::Error::new(kind, detail)));
        }
    }

    /// Refuses all waiting appends and those to come.
    pub fn close(&mut self, kind: errors::ErrorKind, detail: &str) {
        self.closed = Some(kind);
        self.waiting_bytes = 0;
        for pending in self.waiting.drain(..) {
            let _ = pending.reply.send(Err(errors::Error::new(kind, detail)));
        }
    }

    /// Refuses appends to come, but keeps those that wait.
    pub fn stop_taking(&mut self, kind: errors::ErrorKind) {
        self.closed.get_or_insert(kind);
    }

    fn take_batch(&mut self) -> Vec<Pending> {
        self.committed_to_batch = false;
        self.batch_bytes = 0;
        std::mem::take(&mut self.batch)
    }
}
