//! Conversion between records and their wire form, and compression.

use std::io::Read;

use bytes::Bytes;
use kernel::errors;
use kernel::ids;
use platform::workers;

use super::message::{self, RecordBody, RecordMessage};
use super::{Answer, Record, Run};

/// Maximum size of an answer body that is retained for duplicates.
pub const MAX_RETAINED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of an entry after decompression; bounds the memory use of a corrupt value.
pub const DECODED_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// First byte of every value that the journal writes.
const FORMAT_VERSION: u8 = 1;
const ZSTD_COMPRESSION_LEVEL: i32 = 3;

pub(super) fn malformed(
    what: &str,
    source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> errors::Error {
    errors::Error::with_source(
        errors::ErrorKind::Internal,
        format!("malformed {what} in the journal"),
        source,
    )
}

/// Compresses a message and prepends the format version.
pub(crate) fn compress(plain: &[u8]) -> errors::Result<Bytes> {
    let packed = zstd::bulk::compress(plain, ZSTD_COMPRESSION_LEVEL)
        .map_err(|error| malformed("plain text", error))?;
    let mut value = Vec::with_capacity(packed.len() + 1);
    value.push(FORMAT_VERSION);
    value.extend_from_slice(&packed);
    Ok(Bytes::from(value))
}

/// Checks the format version and decompresses at most `limit_bytes`.
pub(crate) fn decompress(value: &[u8], limit_bytes: usize) -> errors::Result<Vec<u8>> {
    let Some((&FORMAT_VERSION, packed)) = value.split_first() else {
        return Err(malformed("value", "unknown format version"));
    };
    let decoder =
        zstd::stream::read::Decoder::new(packed).map_err(|error| malformed("frame", error))?;
    let mut plain = Vec::new();
    decoder
        .take(limit_bytes as u64 + 1)
        .read_to_end(&mut plain)
        .map_err(|error| malformed("frame", error))?;
    if plain.len() > limit_bytes {
        return Err(malformed("frame", "larger than the limit"));
    }
    Ok(plain)
}

/// Parses a group's name.
pub(crate) fn group_from_text(text: &str) -> errors::Result<ids::GroupId> {
    text.parse()
        .map_err(|error: errors::Error| malformed("group", error))
}

const ENDS: [workers::RunEnd; 5] = [
    workers::RunEnd::Completed,
    workers::RunEnd::Failed,
    workers::RunEnd::Checkpointed,
    workers::RunEnd::Stopped,
    workers::RunEnd::LeaseLapsed,
];

const OUTCOMES: [errors::Outcome; 3] = [
    errors::Outcome::Done,
    errors::Outcome::NotRun,
    errors::Outcome::Unknown,
];

fn code_of<T: PartialEq>(table: &[T], value: &T) -> u32 {
    table.iter().position(|known| known == value).unwrap_or(0) as u32
}

fn value_of<T: Copy>(table: &[T], code: u32, what: &str) -> errors::Result<T> {
    let found = table.get(code as usize).copied();
    found.ok_or_else(|| malformed(what, "unknown code"))
}

impl From<&Answer> for message::AnswerMessage {
    fn from(answer: &Answer) -> Self {
        Self {
            outcome: code_of(&OUTCOMES, &answer.outcome),
            status: u32::from(answer.status),
            body: answer.body.as_ref().map(|body| body.to_vec()),
        }
    }
}

impl TryFrom<message::AnswerMessage> for Answer {
    type Error = errors::Error;

    fn try_from(message: message::AnswerMessage) -> errors::Result<Self> {
        Ok(Self {
            outcome: value_of(&OUTCOMES, message.outcome, "outcome")?,
            status: u16::try_from(message.status).map_err(|error| malformed("status", error))?,
            body: message.body.map(Bytes::from),
        })
    }
}

fn runs_message(work: &ids::WorkId, runs: &[Run], group: String) -> message::RunsMessage {
    message::RunsMessage {
        work: work.to_string(),
        indexes: runs.iter().map(|run| run.index).collect(),
        attempts: runs.iter().map(|run| run.attempt.0).collect(),
        group,
    }
}

fn runs_from(message: &message::RunsMessage) -> errors::Result<Vec<Run>> {
    if message.indexes.len() != message.attempts.len() {
        return Err(malformed("runs", "as many attempts as indexes are needed"));
    }
    let pairs = message.indexes.iter().zip(&message.attempts);
    let runs = pairs.map(|(&index, &attempt)| Run {
        index,
        attempt: ids::Attempt(attempt),
    });
    Ok(runs.collect())
}

impl From<&Record> for RecordMessage {
    fn from(record: &Record) -> Self {
        Self {
            body: Some(RecordBody::from(record)),
        }
    }
}

impl From<&Record> for RecordBody {
    fn from(record: &Record) -> Self {
        match record {
            Record::Opened { epoch, writer } => Self::Opened(message::OpenedMessage {
                epoch: epoch.0,
                writer: writer.to_string(),
            }),
            Record::Accepted { work, key } => Self::Accepted(message::AcceptedMessage {
                // Cannot fail: work contains only values that JSON can represent.
                work: serde_json::to_vec(work).unwrap_or_default(),
                key: key.as_ref().map(ToString::to_string),
            }),
            Record::Assigned { work, runs, group } => {
                Self::Assigned(runs_message(work, runs, group.to_string()))
            }
            Record::Restarted { work, runs, group } => {
                Self::Restarted(runs_message(work, runs, group.to_string()))
            }
            Record::HandedBack { work, runs } => {
                Self::HandedBack(runs_message(work, runs, String::new()))
            }
            Record::GroupEpoch { group, epoch } => Self::GroupEpoch(message::GroupEpochMessage {
                group: group.to_string(),
                epoch: epoch.0,
            }),
            Record::Reported {
                group,
                epoch,
                records,
            } => Self::Reported(message::ReportedMessage {
                group: group.to_string(),
                epoch: epoch.0,
                records: records.iter().map(RecordMessage::from).collect(),
            }),
            Record::Ended { run, end } => Self::Ended(message::EndedMessage {
                work: run.task.work.to_string(),
                index: run.task.index,
                attempt: run.attempt.0,
                end: code_of(&ENDS, end),
            }),
            Record::Cancelled { work } => Self::Cancelled(work.to_string()),
            Record::Changed { work } => Self::Changed(serde_json::to_vec(work).unwrap_or_default()),
            Record::Withdrawn { work } => Self::Withdrawn(work.to_string()),
            Record::Followed { version } => Self::Followed(version.0),
            Record::Claimed {
                key,
                request_digest,
                attempt_id,
                host,
            } => Self::Claimed(message::ClaimedMessage {
                key: key.to_string(),
                request_digest: *request_digest,
                attempt_id: *attempt_id,
                host: host.to_string(),
            }),
            Record::Answered {
                key,
                attempt_id,
                answer,
            } => Self::Answered(message::AnsweredMessage {
                key: key.to_string(),
                attempt_id: *attempt_id,
                answer: Some(answer.into()),
            }),
            Record::ClaimUnknown { key, attempt_id } => {
                Self::ClaimUnknown(message::ClaimUnknownMessage {
                    key: key.to_string(),
                    attempt_id: *attempt_id,
                })
            }
        }
    }
}

impl TryFrom<RecordMessage> for Record {
    type Error = errors::Error;

    fn try_from(message: RecordMessage) -> errors::Result<Self> {
        let Some(body) = message.body else {
            return Err(malformed("record", "unknown kind"));
        };
        Ok(match body {
            RecordBody::Opened(opened) => Self::Opened {
                epoch: ids::Epoch(opened.epoch),
                writer: ids::HostId::from(opened.writer),
            },
            RecordBody::Accepted(accepted) => Self::Accepted {
                work: serde_json::from_slice(&accepted.work)
                    .map_err(|error| malformed("work", error))?,
                key: accepted.key.map(ids::IdempotencyKey::from),
            },
            RecordBody::Assigned(assigned) => Self::Assigned {
                runs: runs_from(&assigned)?,
                group: group_from_text(&assigned.group)?,
                work: ids::WorkId::from(assigned.work),
            },
            RecordBody::Restarted(restarted) => Self::Restarted {
                runs: runs_from(&restarted)?,
                group: group_from_text(&restarted.group)?,
                work: ids::WorkId::from(restarted.work),
            },
            RecordBody::HandedBack(back) => Self::HandedBack {
                runs: runs_from(&back)?,
                work: ids::WorkId::from(back.work),
            },
            RecordBody::GroupEpoch(owned) => Self::GroupEpoch {
                group: group_from_text(&owned.group)?,
                epoch: ids::Epoch(owned.epoch),
            },
            RecordBody::Reported(reported) => Self::Reported {
                group: group_from_text(&reported.group)?,
                epoch: ids::Epoch(reported.epoch),
                records: reported
                    .records
                    .into_iter()
                    .map(Self::try_from)
                    .collect::<errors::Result<_>>()?,
            },
            RecordBody::Ended(ended) => Self::Ended {
                run: ids::TaskAttempt {
                    task: ids::TaskId::new(&ids::WorkId::from(ended.work), ended.index),
                    attempt: ids::Attempt(ended.attempt),
                },
                end: value_of(&ENDS, ended.end, "end of a run")?,
            },
            RecordBody::Cancelled(work) => Self::Cancelled {
                work: ids::WorkId::from(work),
            },
            RecordBody::Changed(work) => Self::Changed {
                work: serde_json::from_slice(&work).map_err(|error| malformed("work", error))?,
            },
            RecordBody::Withdrawn(work) => Self::Withdrawn {
                work: ids::WorkId::from(work),
            },
            RecordBody::Followed(version) => Self::Followed {
                version: ids::ReleaseVersion(version),
            },
            RecordBody::Claimed(claimed) => Self::Claimed {
                key: ids::IdempotencyKey::from(claimed.key),
                request_digest: claimed.request_digest,
                attempt_id: claimed.attempt_id,
                host: ids::HostId::from(claimed.host),
            },
            RecordBody::Answered(answered) => Self::Answered {
                key: ids::IdempotencyKey::from(answered.key),
                attempt_id: answered.attempt_id,
                answer: Answer::try_from(answered.answer.unwrap_or_default())?,
            },
            RecordBody::ClaimUnknown(unknown) => Self::ClaimUnknown {
                key: ids::IdempotencyKey::from(unknown.key),
                attempt_id: unknown.attempt_id,
            },
        })
    }
}
