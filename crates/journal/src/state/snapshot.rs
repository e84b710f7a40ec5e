//! Encoding of a shard's state as a snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use prost::Message;

use super::claims::{Claim, ClaimOwner, Claims};
use super::task_table::{Span, TaskProgress, TaskState, TaskTable};
use super::{Job, JobPhase, Limits, ShardState};
use crate::record;

/// Maximum size of a snapshot after decompression.
const MAX_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

#[derive(Clone, PartialEq, prost::Message)]
struct SnapshotMessage {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(string, optional, tag = "3")]
    writer: Option<String>,
    #[prost(uint64, tag = "4")]
    session: u64,
    #[prost(uint64, tag = "5")]
    time_ms: u64,
    #[prost(uint64, tag = "6")]
    next_order: u64,
    #[prost(string, repeated, tag = "7")]
    groups: Vec<String>,
    #[prost(uint64, repeated, tag = "8")]
    seals: Vec<u64>,
    #[prost(message, repeated, tag = "9")]
    jobs: Vec<JobMessage>,
    #[prost(message, repeated, tag = "10")]
    claims: Vec<ClaimMessage>,
    /// Acceptance order numbers of the finished jobs, in the order in which they finished.
    #[prost(uint64, repeated, tag = "11")]
    finished: Vec<u64>,
    #[prost(uint64, tag = "12")]
    stripped_answers: u64,
    #[prost(uint64, tag = "13")]
    followed: u64,
    #[prost(message, repeated, tag = "14")]
    group_epochs: Vec<GroupEpochMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct GroupEpochMessage {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct JobMessage {
    #[prost(bytes = "vec", tag = "1")]
    work: Vec<u8>,
    #[prost(string, optional, tag = "2")]
    key: Option<String>,
    #[prost(uint64, tag = "3")]
    order: u64,
    #[prost(uint64, tag = "4")]
    accepted_ms: u64,
    #[prost(uint64, optional, tag = "5")]
    finished_ms: Option<u64>,
    #[prost(bool, tag = "6")]
    cancelled: bool,
    #[prost(message, repeated, tag = "7")]
    spans: Vec<SpanMessage>,
    #[prost(bytes = "vec", optional, tag = "8")]
    successor: Option<Vec<u8>>,
    #[prost(uint32, tag = "9")]
    attempt_floor: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SpanMessage {
    #[prost(uint32, tag = "1")]
    start: u32,
    #[prost(uint32, tag = "2")]
    end: u32,
    #[prost(uint32, tag = "3")]
    attempt: u32,
    #[prost(uint32, tag = "4")]
    group: u32,
    #[prost(uint32, tag = "5")]
    state: u32,
    #[prost(uint32, tag = "6")]
    failures: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ClaimMessage {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(fixed64, tag = "2")]
    request_digest: u64,
    #[prost(fixed64, tag = "3")]
    attempt_id: u64,
    #[prost(string, tag = "4")]
    host: String,
    #[prost(uint64, tag = "5")]
    epoch: u64,
    #[prost(uint64, tag = "6")]
    session: u64,
    #[prost(bool, tag = "7")]
    unknown: bool,
    #[prost(uint64, tag = "8")]
    answered_ms: u64,
    /// The answer, encoded as an `Answered` record.
    #[prost(message, optional, tag = "9")]
    answered: Option<record::RecordMessage>,
}

fn corrupt(detail: &str) -> errors::Error {
    errors::Error::new(
        errors::ErrorKind::Internal,
        format!("malformed snapshot: {detail}"),
    )
}

impl ShardState {
    /// Encodes and compresses the whole state.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the compressor fails.
    pub fn snapshot(&self) -> errors::Result<Bytes> {
        let claims = self.claims.in_order();
        let finished = self.finished.iter().map(|(_, work)| work);
        let message = SnapshotMessage {
            seq: self.seq,
            epoch: self.epoch.0,
            writer: self.writer.as_ref().map(ToString::to_string),
            session: self.session,
            time_ms: self.time_ms,
            next_order: self.next_order,
            groups: self.groups.iter().map(ToString::to_string).collect(),
            seals: self.seals().collect(),
            jobs: self.jobs.values().map(job_message).collect(),
            claims: claims
                .map(|(key, claim)| claim_message(key, claim))
                .collect(),
            finished: finished
                .filter_map(|work| Some(self.jobs.get(work)?.order))
                .collect(),
            stripped_answers: self.claims.stripped() as u64,
            followed: self.followed.0,
            group_epochs: self.group_epochs.iter().map(group_epoch_message).collect(),
        };
        record::compress(&message.encode_to_vec())
    }

    /// Restores a state encoded by [`snapshot`](Self::snapshot).
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the bytes are not a snapshot of a known format.
    pub fn restore(bytes: &[u8], limits: Limits) -> errors::Result<Self> {
        let plain = record::decompress(bytes, MAX_SNAPSHOT_BYTES)?;
        let message = SnapshotMessage::decode(plain.as_slice())
            .map_err(|error| corrupt(&error.to_string()))?;
        let groups = message.groups.iter();
        let groups: errors::Result<_> = groups.map(|text| record::group_from_text(text)).collect();
        let group_epochs = message.group_epochs.iter().map(restore_group_epoch);
        let mut state = Self {
            seq: message.seq,
            epoch: ids::Epoch(message.epoch),
            writer: message.writer.map(ids::HostId::from),
            session: message.session,
            time_ms: message.time_ms,
            next_order: message.next_order,
            groups: groups?,
            group_epochs: group_epochs.collect::<errors::Result<_>>()?,
            seals: message.seals.into(),
            followed: ids::ReleaseVersion(message.followed),
            claims: restore_claims(message.claims, message.stripped_answers)?,
            ..Self::new(limits)
        };
        for job in message.jobs {
            state.restore_job(restore_job(job)?);
        }
        state.restore_finished(&message.finished)?;
        Ok(state)
    }

    /// Restores the order in which finished jobs are evicted.
    fn restore_finished(&mut self, orders: &[u64]) -> errors::Result<()> {
        let jobs = self.jobs.values();
        let finished = jobs.filter(|job| job.phase() != JobPhase::Open);
        let by_order: IndexMap<u64, &Job> = finished.map(|job| (job.order, job)).collect();
        let jobs = orders.iter().map(|order| by_order.get(order));
        let jobs = jobs.map(|job| Some((job?.finished_ms?, job?.work.id.clone())));
        let listed: Option<VecDeque<(u64, ids::WorkId)>> = jobs.collect();
        let listed = listed.filter(|listed| listed.len() == by_order.len());
        self.finished = listed.ok_or_else(|| corrupt("order of finished jobs"))?;
        Ok(())
    }

    fn restore_job(&mut self, job: Job) {
        let work = job.work.id.clone();
        if let Some(key) = &job.key {
            self.job_keys.insert(key.clone(), work.clone());
        }
        let is_open = job.phase() == JobPhase::Open;
        self.jobs.insert(work.clone(), job);
        if is_open {
            self.index_job(&work);
        }
    }
}

fn group_epoch_message((group, epoch): (&ids::GroupId, &ids::Epoch)) -> GroupEpochMessage {
    GroupEpochMessage {
        group: group.to_string(),
        epoch: epoch.0,
    }
}

fn restore_group_epoch(message: &GroupEpochMessage) -> errors::Result<(ids::GroupId, ids::Epoch)> {
    let group = record::group_from_text(&message.group)?;
    Ok((group, ids::Epoch(message.epoch)))
}

fn job_message(job: &Job) -> JobMessage {
    let spans = job.task_table.spans().iter();
    JobMessage {
        work: encode_work(&job.work),
        key: job.key.as_ref().map(ToString::to_string),
        order: job.order,
        accepted_ms: job.accepted_ms,
        finished_ms: job.finished_ms,
        cancelled: job.cancelled,
        spans: spans.map(span_message).collect(),
        successor: job.successor.as_ref().map(encode_work),
        attempt_floor: job.attempt_floor,
    }
}

fn encode_work(work: &Arc<kernel::work::Work>) -> Vec<u8> {
    serde_json::to_vec(work).unwrap_or_default()
}

fn decode_work(bytes: &[u8]) -> errors::Result<kernel::work::Work> {
    serde_json::from_slice(bytes).map_err(|error| corrupt(&error.to_string()))
}

fn span_message(span: &Span) -> SpanMessage {
    let state = TaskState::ALL
        .iter()
        .position(|state| *state == span.progress.state);
    SpanMessage {
        start: span.start,
        end: span.end,
        attempt: span.progress.attempt,
        group: u32::from(span.progress.group),
        state: state.unwrap_or(0) as u32,
        failures: u32::from(span.progress.failures),
    }
}

fn restore_job(message: JobMessage) -> errors::Result<Job> {
    let work = decode_work(&message.work)?;
    let spans: Option<Vec<Span>> = message.spans.iter().map(restore_span).collect();
    let task_table = spans.and_then(TaskTable::from_spans);
    let task_table = task_table.filter(|task_table| task_table.len() >= work.tasks);
    let task_table = task_table.ok_or_else(|| corrupt("states of tasks"))?;
    let key = message.key.map(ids::IdempotencyKey::from);
    let mut job = Job::restored(
        Arc::new(work),
        key,
        message.order,
        message.accepted_ms,
        task_table,
    );
    job.finished_ms = message.finished_ms;
    job.cancelled = message.cancelled;
    job.attempt_floor = message.attempt_floor;
    let successor = message.successor.as_deref().map(decode_work).transpose()?;
    job.successor = successor.map(Arc::new);
    Ok(job)
}

fn restore_span(message: &SpanMessage) -> Option<Span> {
    let progress = TaskProgress {
        attempt: message.attempt,
        group: u16::try_from(message.group).ok()?,
        state: *TaskState::ALL.get(message.state as usize)?,
        failures: u8::try_from(message.failures).ok()?,
    };
    Some(Span {
        start: message.start,
        end: message.end,
        progress,
    })
}

fn claim_message(key: &ids::IdempotencyKey, claim: &Claim) -> ClaimMessage {
    let answered = claim.answer.as_ref().map(|(_, answer)| {
        record::RecordMessage::from(&record::Record::Answered {
            key: key.clone(),
            attempt_id: claim.owner.attempt_id,
            answer: answer.clone(),
        })
    });
    ClaimMessage {
        key: key.to_string(),
        request_digest: claim.request_digest,
        attempt_id: claim.owner.attempt_id,
        host: claim.owner.host.to_string(),
        epoch: claim.epoch,
        session: claim.session,
        unknown: claim.unknown,
        answered_ms: claim.answer.as_ref().map_or(0, |(at_ms, _)| *at_ms),
        answered,
    }
}

fn restore_claims(messages: Vec<ClaimMessage>, stripped: u64) -> errors::Result<Claims> {
    let mut claims = Claims::default();
    for message in messages {
        let answer = match message.answered.map(record::Record::try_from).transpose()? {
            Some(record::Record::Answered { answer, .. }) => Some((message.answered_ms, answer)),
            Some(_) => return Err(corrupt("an answer is expected")),
            None => None,
        };
        let claim = Claim {
            request_digest: message.request_digest,
            owner: ClaimOwner {
                attempt_id: message.attempt_id,
                host: ids::HostId::from(message.host),
            },
            epoch: message.epoch,
            session: message.session,
            unknown: message.unknown,
            answer,
        };
        let key = ids::IdempotencyKey::from(message.key);
        if claims.get(&key).is_some() {
            return Err(corrupt("a key is claimed twice"));
        }
        claims.insert(key, claim);
    }
    claims.restore_order(stripped as usize);
    Ok(claims)
}
