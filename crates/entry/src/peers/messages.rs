//! Messages between hosts.

use std::fmt;

use cell::{
    coordinator::StartResponse,
    credentials::{KeyClaim, KeyDigest},
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobState},
    workers::{EndKind, HoldReport, ReportedEnd, ReportedRun},
};
use prost::Message;

/// Frame of a call or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Identifier that matches an answer to its call.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Request or reply; absent if this version does not support it, which ends the connection.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28"
    )]
    pub body: Option<Body>,
}

/// Requests and replies.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Request: accept a job.
    #[prost(message, tag = "2")]
    Submit(SubmitCall),
    /// Request: return a job's state.
    #[prost(fixed64, tag = "3")]
    State(u64),
    /// Request: return the number of waiting jobs in a queue.
    #[prost(string, tag = "4")]
    Pending(String),
    /// Request: cancel a job.
    #[prost(fixed64, tag = "5")]
    Cancel(u64),
    /// Request: query the advice service.
    #[prost(message, tag = "6")]
    Advise(AdviceCall),
    /// Request: return the leader and the answering process. Also used as a liveness probe.
    #[prost(bool, tag = "7")]
    GetLeader(bool),
    /// Request: extend the runs of a worker and return its lists.
    #[prost(message, tag = "8")]
    Hold(HoldCall),
    /// Request: start a run on a worker.
    #[prost(message, tag = "9")]
    Start(StartCall),
    /// Reply: the host is not the leader or cannot handle the request. True if the request had no
    /// effect.
    #[prost(bool, tag = "10")]
    NotHandled(bool),
    /// Reply: outcome of a submission.
    #[prost(message, tag = "11")]
    SubmitReply(SubmitReply),
    /// Reply: a job's state.
    #[prost(message, tag = "12")]
    StateReply(StateReply),
    /// Reply: number of waiting jobs.
    #[prost(uint64, tag = "13")]
    PendingReply(u64),
    /// Reply: whether the cancellation is durable; false if the leader does not have the job.
    #[prost(bool, tag = "14")]
    Cancelled(bool),
    /// Reply: result of an advice query.
    #[prost(message, tag = "15")]
    AdviceReply(AdviceReply),
    /// Reply: the leader known to the host.
    #[prost(message, tag = "16")]
    LeaderInfo(LeaderInfo),
    /// Reply: a worker's answer to a hold.
    #[prost(message, tag = "17")]
    HoldReply(HoldReply),
    /// Reply: a worker's answer to a start order, encoded by [`encode_start_response`].
    #[prost(uint32, tag = "18")]
    StartReply(u32),
    /// Request: stop a run on a worker.
    #[prost(message, tag = "19")]
    Stop(RunCall),
    /// Request: set the share of a best-effort run on a worker.
    #[prost(message, tag = "20")]
    Pace(RunCall),
    /// Reply: whether a stop, a share or a written job was confirmed.
    #[prost(bool, tag = "21")]
    Confirmed(bool),
    /// Request: return a job's payload.
    #[prost(message, tag = "22")]
    Payload(PayloadCall),
    /// Reply: a job's payload.
    #[prost(message, tag = "23")]
    PayloadReply(PayloadReply),
    /// Reply: the leader cannot reach the store. The request had no effect.
    #[prost(bool, tag = "24")]
    StoreAway(bool),
    /// Reply: the job is admitted, and the host is to write it to the store itself, on condition
    /// that the leader key is still at this revision. The request had no effect so far.
    #[prost(uint64, tag = "25")]
    WriteDirectly(u64),
    /// Request: accept a job that the host has written to the store.
    #[prost(message, tag = "26")]
    WrittenJob(WrittenJob),
    /// Request: return the orders that the host has relayed for former leaders, with a fence lower
    /// than this one, and that got no response.
    #[prost(uint64, tag = "27")]
    LateOrders(u64),
    /// Reply: these orders.
    #[prost(message, tag = "28")]
    LateOrdersReply(LateOrdersReply),
}

/// An order to start that got no response and may reach a later process of its worker.
#[derive(Clone, PartialEq, Message)]
pub struct LateOrder {
    /// Identifier of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Task identifier.
    #[prost(message, required, tag = "2")]
    pub task: TaskRef,
    /// Run number of the task.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// Time for which it may still take effect, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub left_ms: u64,
}

/// Orders of former leaders that may take effect late.
#[derive(Clone, PartialEq, Message)]
pub struct LateOrdersReply {
    /// The orders, in no defined order.
    #[prost(message, repeated, tag = "1")]
    pub orders: Vec<LateOrder>,
}

/// The leader known to a host.
#[derive(Clone, PartialEq, Message)]
pub struct LeaderInfo {
    /// Peer address of the leader; empty if unknown.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Random identifier of the answering host's process.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Whether the answering host shuts down and, if it is the leader, leads until it is replaced.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// A submission forwarded to the leader.
#[derive(Clone, PartialEq, Message)]
#[prost(skip_debug)]
pub struct SubmitCall {
    /// The job; contains its payload unless `without_text` is set.
    #[prost(message, optional, tag = "1")]
    pub record: Option<JobRecord>,
    /// Remaining time of the client, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub client_timeout_ms: u64,
    /// The record has no payload, so that only the sending host can write the job.
    #[prost(bool, tag = "4")]
    pub without_payload: bool,
    /// How long the request has waited, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub waited_ms: u64,
    /// Digest of the key with which the record's tenant submitted the job; empty if none was needed.
    #[prost(bytes = "vec", tag = "6")]
    pub key_digest: Vec<u8>,
    /// Version of the configuration that listed the key.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
}

impl fmt::Debug for SubmitCall {
    /// Leaves out the digest of the key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SubmitCall")
            .field("record", &self.record)
            .field("client_timeout_ms", &self.client_timeout_ms)
            .field("without_payload", &self.without_payload)
            .field("waited_ms", &self.waited_ms)
            .field("config_version", &self.config_version)
            .finish_non_exhaustive()
    }
}

impl SubmitCall {
    /// The key with which the job was submitted; `None` if none was needed.
    pub fn claim(&self) -> Option<KeyClaim> {
        let tenant = self.record.as_ref()?.tenant.as_str().into();
        Some(KeyClaim {
            tenant,
            digest: KeyDigest::from_bytes(&self.key_digest)?,
            config_version: self.config_version,
        })
    }
}

/// A job that a host wrote to the store for the leader.
#[derive(Clone, PartialEq, Message)]
pub struct WrittenJob {
    /// The job, without its payload.
    #[prost(message, optional, tag = "1")]
    pub record: Option<JobRecord>,
    /// Store revision of the record.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// An advice query.
#[derive(Clone, PartialEq, Message)]
pub struct AdviceCall {
    /// Job identifier.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Occurrence of the job.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// Index of the step in the job.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Candidate workers.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// Timeout of the query, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub timeout_ms: u64,
}

/// Result of an advice query.
#[derive(Clone, PartialEq, Message)]
pub struct AdviceReply {
    /// Whether the advice service answered.
    #[prost(bool, tag = "1")]
    pub answered: bool,
    /// Workers that may run the step, as indexes into [`AdviceCall::workers`].
    #[prost(uint32, repeated, tag = "2")]
    pub workers: Vec<u32>,
    /// Ticket for each of these workers, in the same order.
    #[prost(string, repeated, tag = "3")]
    pub tickets: Vec<String>,
    /// Validity of the tickets, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
}

/// Outcome of a submission.
#[derive(Clone, PartialEq, Message)]
pub struct SubmitReply {
    /// The job is accepted and durable.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// For a rejected job, the time in milliseconds after which the caller may retry; 0 if no
    /// worker could ever run it.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// The job is rejected because its key is no longer valid.
    #[prost(bool, tag = "3")]
    pub unauthorised: bool,
    /// For a rejected job that its tenant may never run, why, for the client. Older leaders leave it
    /// empty.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// State of a job.
#[derive(Clone, PartialEq, Message)]
pub struct StateReply {
    /// Whether the leader has the job.
    #[prost(bool, tag = "1")]
    pub found: bool,
    /// The state, encoded by [`encode_state`].
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Tenant under which it was accepted; empty if it has none.
    #[prost(string, tag = "3")]
    pub tenant: String,
}

/// Encodes a state as its number in messages.
pub fn encode_state(state: JobState) -> u32 {
    match state {
        JobState::Queued => 0,
        JobState::Running => 1,
        JobState::Completed => 2,
        JobState::Failed => 3,
        JobState::Cancelled => 4,
    }
}

/// Decodes a state; `None` for an unknown number.
pub fn decode_state(number: u32) -> Option<JobState> {
    Some(match number {
        0 => JobState::Queued,
        1 => JobState::Running,
        2 => JobState::Completed,
        3 => JobState::Failed,
        4 => JobState::Cancelled,
        _ => return None,
    })
}

/// What a relaying host needs to call a worker.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerRef {
    /// Identifier of one instance of the worker.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Order address, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Fencing token of the leader's term.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// A hold to be relayed to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct HoldCall {
    /// Target worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerRef,
    /// Time until which the worker's runs may continue, on the worker's clock in milliseconds;
    /// absent while that clock is unknown.
    #[prost(uint64, optional, tag = "2")]
    pub until_worker_ms: Option<u64>,
    /// Ends up to this number are durable. Valid only for the instance that answered over the
    /// connection `connection`.
    #[prost(uint64, tag = "3")]
    pub acknowledged_end: u64,
    /// How long the worker waits for a run to end before it answers, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Identifier of the connection that delivered the last answer, or 0. Over any other connection
    /// the worker answers immediately and no end is acknowledged.
    #[prost(fixed64, tag = "5")]
    pub connection: u64,
    /// How long after its wait the worker may answer, in milliseconds; 0 for the default.
    #[prost(uint64, tag = "6")]
    pub answer_timeout_ms: u64,
}

/// Outcome of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum HoldOutcome {
    /// The worker cannot be reached or did not answer.
    Silent = 0,
    /// The worker returned its lists.
    Listed = 1,
    /// The worker has accepted a higher fence.
    Fenced = 2,
    /// Another instance of the worker answers at this address.
    OtherLife = 3,
    /// The worker is unhealthy, or its answer is malformed.
    Unusable = 4,
    /// The worker's address refuses connections.
    Refused = 5,
}

/// A worker's answer to a hold.
#[derive(Clone, PartialEq, Message)]
pub struct HoldReply {
    /// Outcome, a [`HoldOutcome`].
    #[prost(enumeration = "HoldOutcome", tag = "1")]
    pub outcome: i32,
    /// Identifier of the connection that delivered the answer.
    #[prost(fixed64, tag = "2")]
    pub connection: u64,
    /// The worker's monotonic clock when it answered, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub clock_ms: u64,
    /// When this instance started, in Unix milliseconds; 0 if the worker does not report it.
    #[prost(uint64, tag = "4")]
    pub started_unix_ms: u64,
    /// Runs in progress on the worker.
    #[prost(message, repeated, tag = "5")]
    pub running: Vec<RunRow>,
    /// Ended runs that are not acknowledged.
    #[prost(message, repeated, tag = "6")]
    pub ended: Vec<EndRow>,
    /// Whether there may be further ends that are not listed.
    #[prost(bool, tag = "7")]
    pub ends_truncated: bool,
}

impl HoldReply {
    /// Reply to a hold that returned no lists.
    pub fn with_outcome(outcome: HoldOutcome) -> Self {
        Self {
            outcome: outcome.into(),
            ..Self::default()
        }
    }

    /// Reply with the lists that a worker returned over a connection.
    pub fn listed(connection: u64, report: &HoldReport) -> Self {
        Self {
            outcome: HoldOutcome::Listed.into(),
            connection,
            clock_ms: report.clock_ms,
            started_unix_ms: report.started_unix_ms,
            running: report.running.iter().map(RunRow::of).collect(),
            ended: report.ended.iter().map(EndRow::of).collect(),
            ends_truncated: report.ends_truncated,
        }
    }

    /// Converts the lists, skipping malformed rows.
    pub fn report(&self) -> HoldReport {
        HoldReport {
            clock_ms: self.clock_ms,
            started_unix_ms: self.started_unix_ms,
            running: self
                .running
                .iter()
                .filter_map(RunRow::to_reported)
                .collect(),
            ended: self.ended.iter().filter_map(EndRow::to_reported).collect(),
            ends_truncated: self.ends_truncated,
        }
    }
}

/// Task identifier in a message.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TaskRef {
    /// Job identifier.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Occurrence of the job.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// Index of the step in the job.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Index of the task in the step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
}

impl From<TaskId> for TaskRef {
    fn from(task: TaskId) -> Self {
        Self {
            job: task.step.job.0,
            occurrence: task.step.occurrence,
            step: task.step.step,
            index: task.index,
        }
    }
}

impl From<TaskRef> for TaskId {
    fn from(task: TaskRef) -> Self {
        Self {
            step: StepId {
                job: JobId(task.job),
                occurrence: task.occurrence,
                step: task.step,
            },
            index: task.index,
        }
    }
}

/// A run in progress on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct RunRow {
    /// Task identifier.
    #[prost(message, optional, tag = "1")]
    pub task: Option<TaskRef>,
    /// Run number of the task.
    #[prost(uint64, tag = "2")]
    pub run: u64,
    /// Latest checkpoint; empty if there is none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// Progress of the task, in percent.
    #[prost(uint64, tag = "4")]
    pub percent: u64,
    /// Value of [`ReportedRun::measured_value`].
    #[prost(uint64, tag = "5")]
    pub measured_value: u64,
}

impl RunRow {
    fn of(run: &ReportedRun) -> Self {
        Self {
            task: Some(run.task.into()),
            run: run.run,
            checkpoint: run.checkpoint.clone(),
            percent: run.percent,
            measured_value: run.measured_value,
        }
    }

    fn to_reported(&self) -> Option<ReportedRun> {
        Some(ReportedRun {
            task: self.task?.into(),
            run: self.run,
            checkpoint: self.checkpoint.clone(),
            percent: self.percent,
            measured_value: self.measured_value,
        })
    }
}

/// An ended run that a worker reports until it is acknowledged.
#[derive(Clone, PartialEq, Message)]
pub struct EndRow {
    /// Sequence number of the end within one instance of the worker.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Task identifier.
    #[prost(message, optional, tag = "2")]
    pub task: Option<TaskRef>,
    /// Run number of the task.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// Kind of end, as an index into [`END_KINDS`].
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// Latest checkpoint; empty if there is none.
    #[prost(string, tag = "5")]
    pub checkpoint: String,
}

/// Kinds of ends, indexed by their number in messages.
const END_KINDS: [EndKind; 6] = [
    EndKind::Done,
    EndKind::Failed,
    EndKind::Stopped,
    EndKind::Lapsed,
    EndKind::Broken,
    EndKind::Alone,
];

impl EndRow {
    fn of(end: &ReportedEnd) -> Self {
        let kind = END_KINDS.iter().position(|kind| *kind == end.kind);
        Self {
            number: end.number,
            task: Some(end.task.into()),
            run: end.run,
            kind: kind.expect("END_KINDS lists every kind") as u32,
            checkpoint: end.checkpoint.clone(),
        }
    }

    fn to_reported(&self) -> Option<ReportedEnd> {
        Some(ReportedEnd {
            number: self.number,
            task: self.task?.into(),
            run: self.run,
            kind: *END_KINDS.get(self.kind as usize)?,
            checkpoint: self.checkpoint.clone(),
        })
    }
}

/// A start order to be relayed to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct StartCall {
    /// Target worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerRef,
    /// Task identifier.
    #[prost(message, required, tag = "2")]
    pub task: TaskRef,
    /// Run number of the task.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// Deadline of the order on the worker's clock, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub until_worker_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    #[prost(string, tag = "5")]
    pub checkpoint: String,
    /// Ticket from the advice service, if the queue requires one.
    #[prost(string, optional, tag = "6")]
    pub ticket: Option<String>,
    /// Peer address of the host that accepted the job and caches its payload, as `ip:port`; empty
    /// if unknown.
    #[prost(string, tag = "7")]
    pub payload_host: String,
}

/// A stop or pace order to be relayed to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct RunCall {
    /// Target worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerRef,
    /// Task identifier.
    #[prost(message, required, tag = "2")]
    pub task: TaskRef,
    /// Run number of the task.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// Share at which a best-effort run is to work, in percent; 0 in a stop order.
    #[prost(uint32, tag = "4")]
    pub percent: u32,
}

/// A request for a job's payload.
#[derive(Clone, PartialEq, Message)]
pub struct PayloadCall {
    /// Job identifier.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Peer address of the host that accepted the job and caches its payload, as `ip:port`; empty
    /// if unknown.
    #[prost(string, tag = "2")]
    pub payload_host: String,
}

/// A job's payload.
#[derive(Clone, PartialEq, Message)]
pub struct PayloadReply {
    /// The payload; absent if the host neither has it nor can fetch it.
    #[prost(string, optional, tag = "1")]
    pub payload: Option<String>,
}

/// Answers to a start order, indexed by their number in messages.
const START_RESPONSES: [StartResponse; 11] = [
    StartResponse::Unknown,
    StartResponse::Started,
    StartResponse::Fenced,
    StartResponse::OldRun,
    StartResponse::TooLate,
    StartResponse::NoRoom,
    StartResponse::BadTicket,
    StartResponse::Unhealthy,
    StartResponse::OtherLife,
    StartResponse::Malformed,
    StartResponse::NoText,
];

/// Encodes an answer to a start order as its number in messages.
pub fn encode_start_response(answer: StartResponse) -> u32 {
    let position = START_RESPONSES.iter().position(|known| *known == answer);
    // An answer without a number is sent as [`StartResponse::Unknown`].
    position.unwrap_or_default() as u32
}

/// Decodes an answer to a start order; an unknown number gives [`StartResponse::Unknown`].
pub fn decode_start_response(number: u32) -> StartResponse {
    let answer = START_RESPONSES.get(number as usize).copied();
    answer.unwrap_or(StartResponse::Unknown)
}
