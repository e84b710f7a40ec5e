//! What hosts say to one another.

use cell::{
    coordinator::StartAnswer,
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobState},
    workers::{EndKind, HoldReport, ShownEnd, ShownRun},
};
use prost::Message;

/// A call or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Pairs an answer with its call.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// What is asked or answered.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26"
    )]
    pub body: Option<Body>,
}

/// What is asked or answered.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Accept a job.
    #[prost(message, tag = "2")]
    Submit(SubmitCall),
    /// Tell a job's state.
    #[prost(fixed64, tag = "3")]
    State(u64),
    /// Tell how many jobs wait in a queue.
    #[prost(string, tag = "4")]
    Pending(String),
    /// Cancel a job.
    #[prost(fixed64, tag = "5")]
    Cancel(u64),
    /// Ask the advice service.
    #[prost(message, tag = "6")]
    Advise(AdviseCall),
    /// Tell who coordinates.
    #[prost(bool, tag = "7")]
    GetLeader(bool),
    /// Extend what runs on a worker, and bring its lists.
    #[prost(message, tag = "8")]
    Hold(HoldCall),
    /// Start a run on a worker.
    #[prost(message, tag = "9")]
    Start(StartCall),
    /// The host does not coordinate, or cannot do what is asked now. Nothing was done.
    #[prost(bool, tag = "10")]
    NotHandled(bool),
    /// What became of a job that was handed in.
    #[prost(message, tag = "11")]
    SubmitReply(SubmitReply),
    /// A job's state; absent for a job that the coordinator does not know.
    #[prost(message, tag = "12")]
    StateReply(StateReply),
    /// Jobs that wait.
    #[prost(uint64, tag = "13")]
    PendingReply(u64),
    /// A job's cancelling is durable; false for a job that the coordinator does not know.
    #[prost(bool, tag = "14")]
    Cancelled(bool),
    /// What the advice service answered.
    #[prost(message, tag = "15")]
    AdviceReply(AdviceReply),
    /// Who coordinates, as far as the host knows.
    #[prost(message, tag = "16")]
    LeaderInfo(LeaderInfo),
    /// What a worker answered to a hold.
    #[prost(message, tag = "17")]
    HoldReply(HoldReply),
    /// What a worker answered to an order to start, as [`encode_start_answer`] gives it.
    #[prost(uint32, tag = "18")]
    StartReply(u32),
    /// Stop a run on a worker.
    #[prost(message, tag = "19")]
    Stop(RunCall),
    /// Let a filling run on a worker work at a share.
    #[prost(message, tag = "20")]
    Pace(RunCall),
    /// Whether a worker confirmed a stop or a share.
    #[prost(bool, tag = "21")]
    Confirmed(bool),
    /// Tell the text of a job that its tasks are handed.
    #[prost(message, tag = "22")]
    Payload(PayloadCall),
    /// That text; absent if the host does not have it and cannot get it.
    #[prost(message, tag = "23")]
    PayloadReply(PayloadReply),
    /// The coordinator does not reach the store. Nothing was done.
    #[prost(bool, tag = "24")]
    StoreAway(bool),
    /// The job may be accepted; the host writes it to the store itself, on condition that the coordinator's entry
    /// is still at this revision. Nothing was done.
    #[prost(uint64, tag = "25")]
    WriteDirectly(u64),
    /// The host has written a job.
    #[prost(message, tag = "26")]
    WrittenJob(WrittenJob),
}

/// Who coordinates, as far as a host knows.
#[derive(Clone, PartialEq, Message)]
pub struct LeaderInfo {
    /// Where the coordinator takes messages; empty if the host does not know.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Tells apart processes of the host that answers.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
}

/// A job that a client handed in.
#[derive(Clone, PartialEq, Message)]
pub struct SubmitCall {
    /// The job, with its text.
    #[prost(message, optional, tag = "1")]
    pub record: Option<JobRecord>,
    /// How long its client still waits, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub client_timeout_ms: u64,
    /// The record lacks the job's text, so that only the host that sends it can write it.
    #[prost(bool, tag = "4")]
    pub without_text: bool,
}

/// A job that a host wrote to the store for the coordinator.
#[derive(Clone, PartialEq, Message)]
pub struct WrittenJob {
    /// The job, without its text.
    #[prost(message, optional, tag = "1")]
    pub record: Option<JobRecord>,
    /// The store's revision of the record.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A question to the advice service.
#[derive(Clone, PartialEq, Message)]
pub struct AdviseCall {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The occurrence.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// The step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Workers that are named.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// How long to wait for the answer, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub timeout_ms: u64,
}

/// What the advice service answered.
#[derive(Clone, PartialEq, Message)]
pub struct AdviceReply {
    /// It answered.
    #[prost(bool, tag = "1")]
    pub answered: bool,
    /// Workers that may run the step, as positions in the question.
    #[prost(uint32, repeated, tag = "2")]
    pub workers: Vec<u32>,
    /// The ticket for each of them.
    #[prost(string, repeated, tag = "3")]
    pub tickets: Vec<String>,
    /// How long the tickets can be used, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
}

/// What became of a job that was handed in.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SubmitReply {
    /// It is accepted and durable.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// It was not accepted; the caller may come back after this time, in milliseconds; 0 if no
    /// worker could ever run it.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// A job's state.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StateReply {
    /// The coordinator knows the job.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// The state, as [`encode_state`] gives it.
    #[prost(uint32, tag = "2")]
    pub state: u32,
}

/// Number of a state in a message.
pub fn encode_state(state: JobState) -> u32 {
    match state {
        JobState::Queued => 0,
        JobState::Running => 1,
        JobState::Completed => 2,
        JobState::Failed => 3,
        JobState::Cancelled => 4,
    }
}

/// The state with a number.
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

/// A worker, as the host that carries calls to it must know it.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerRef {
    /// The worker's name, of one life.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it takes orders, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The coordinator's fence.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// A hold that is to be carried to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct HoldCall {
    /// The worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerRef,
    /// Until when what runs there may go on, on the worker's clock; absent while that is unknown.
    #[prost(uint64, optional, tag = "2")]
    pub until_worker_ms: Option<u64>,
    /// Ends up to this number are durable. Holds only for the life of the worker that answered
    /// over the connection `connection`.
    #[prost(uint64, tag = "3")]
    pub acknowledged_end: u64,
    /// How long the worker waits for an end before it answers, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// The connection that carried the last answer, or 0. Over another one the worker
    /// answers at once, and no end is acknowledged.
    #[prost(fixed64, tag = "5")]
    pub connection: u64,
}

/// How a hold went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum HoldOutcome {
    /// The worker cannot be reached, or did not answer.
    Silent = 0,
    /// It has shown its lists.
    Listed = 1,
    /// A coordinator with a higher fence gives orders there.
    Fenced = 2,
    /// Another life answers at this address.
    OtherLife = 3,
    /// It is unhealthy, or its answer cannot be read.
    Unusable = 4,
}

/// What a worker answered to a hold.
#[derive(Clone, PartialEq, Message)]
pub struct HoldReply {
    /// How it went.
    #[prost(enumeration = "HoldOutcome", tag = "1")]
    pub outcome: i32,
    /// The connection that carried the answer.
    #[prost(fixed64, tag = "2")]
    pub connection: u64,
    /// The worker's steady clock when it answered, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub clock_ms: u64,
    /// When this life of it started, in Unix milliseconds; 0 where it does not say.
    #[prost(uint64, tag = "4")]
    pub born_unix_ms: u64,
    /// What runs there.
    #[prost(message, repeated, tag = "5")]
    pub running: Vec<RunRow>,
    /// What has ended and is not acknowledged.
    #[prost(message, repeated, tag = "6")]
    pub ended: Vec<EndRow>,
}

impl HoldReply {
    /// A hold that brought no lists.
    pub fn without_lists(outcome: HoldOutcome) -> Self {
        Self {
            outcome: outcome.into(),
            ..Self::default()
        }
    }

    /// Lists that a worker has shown over a connection.
    pub fn listed(connection: u64, report: &HoldReport) -> Self {
        Self {
            outcome: HoldOutcome::Listed.into(),
            connection,
            clock_ms: report.clock_ms,
            born_unix_ms: report.born_unix_ms,
            running: report.running.iter().map(RunRow::of).collect(),
            ended: report.ended.iter().map(EndRow::of).collect(),
        }
    }

    /// The lists. A row that cannot be read is left out.
    pub fn report(&self) -> HoldReport {
        HoldReport {
            clock_ms: self.clock_ms,
            born_unix_ms: self.born_unix_ms,
            running: self.running.iter().filter_map(RunRow::to_shown).collect(),
            ended: self.ended.iter().filter_map(EndRow::to_shown).collect(),
        }
    }
}

/// A task in a message.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TaskRef {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The occurrence.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// The step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// The task's position in the step.
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

/// A run that a worker shows as present.
#[derive(Clone, PartialEq, Message)]
pub struct RunRow {
    /// The task.
    #[prost(message, optional, tag = "1")]
    pub task: Option<TaskRef>,
    /// The number of its run.
    #[prost(uint64, tag = "2")]
    pub run: u64,
    /// Its newest checkpoint; empty for none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// How much of the task's work is done, in percent.
    #[prost(uint64, tag = "4")]
    pub percent: u64,
    /// The figure of [`ShownRun::figure`].
    #[prost(uint64, tag = "5")]
    pub figure: u64,
}

impl RunRow {
    fn of(run: &ShownRun) -> Self {
        Self {
            task: Some(run.task.into()),
            run: run.run,
            checkpoint: run.checkpoint.clone(),
            percent: run.percent,
            figure: run.figure,
        }
    }

    fn to_shown(&self) -> Option<ShownRun> {
        Some(ShownRun {
            task: self.task?.into(),
            run: self.run,
            checkpoint: self.checkpoint.clone(),
            percent: self.percent,
            figure: self.figure,
        })
    }
}

/// An end that a worker lists until it is acknowledged.
#[derive(Clone, PartialEq, Message)]
pub struct EndRow {
    /// Rises with each end of one life of the worker.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The task.
    #[prost(message, optional, tag = "2")]
    pub task: Option<TaskRef>,
    /// The number of its run.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// How it ended, as a position in [`END_KINDS`].
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// Its newest checkpoint; empty for none.
    #[prost(string, tag = "5")]
    pub checkpoint: String,
}

/// Kinds of ends, by their number in messages.
const END_KINDS: [EndKind; 6] = [
    EndKind::Done,
    EndKind::Failed,
    EndKind::Stopped,
    EndKind::Lapsed,
    EndKind::Broken,
    EndKind::Alone,
];

impl EndRow {
    fn of(end: &ShownEnd) -> Self {
        let kind = END_KINDS.iter().position(|kind| *kind == end.kind);
        Self {
            number: end.number,
            task: Some(end.task.into()),
            run: end.run,
            kind: kind.expect("every kind has a number") as u32,
            checkpoint: end.checkpoint.clone(),
        }
    }

    fn to_shown(&self) -> Option<ShownEnd> {
        Some(ShownEnd {
            number: self.number,
            task: self.task?.into(),
            run: self.run,
            kind: *END_KINDS.get(self.kind as usize)?,
            checkpoint: self.checkpoint.clone(),
        })
    }
}

/// An order to start that is to be carried to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct StartCall {
    /// The worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerRef,
    /// The task.
    #[prost(message, required, tag = "2")]
    pub task: TaskRef,
    /// The number of the run.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// The order's deadline on the worker's clock, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub until_worker_ms: u64,
    /// Progress to resume from; empty for none.
    #[prost(string, tag = "5")]
    pub checkpoint: String,
    /// Permission, where the queue needs one.
    #[prost(string, optional, tag = "6")]
    pub ticket: Option<String>,
    /// Which host has the job's text at hand, as `ip:port`; empty where that is not known.
    #[prost(string, tag = "7")]
    pub home: String,
}

/// An order about a run that is to be carried to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct RunCall {
    /// The worker.
    #[prost(message, required, tag = "1")]
    pub worker: WorkerRef,
    /// The task.
    #[prost(message, required, tag = "2")]
    pub task: TaskRef,
    /// The number of the run.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// The share at which a filling run is to work, in percent; 0 in a stop.
    #[prost(uint32, tag = "4")]
    pub percent: u32,
}

/// A question for the text of a job.
#[derive(Clone, PartialEq, Message)]
pub struct PayloadCall {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Which host has it at hand, as `ip:port`; empty where that is not known.
    #[prost(string, tag = "2")]
    pub home: String,
}

/// The text of a job.
#[derive(Clone, PartialEq, Message)]
pub struct PayloadReply {
    /// The text; absent if the host does not have it.
    #[prost(string, optional, tag = "1")]
    pub text: Option<String>,
}

/// Answers to an order to start, by their number in messages.
const START_ANSWERS: [StartAnswer; 11] = [
    StartAnswer::Unknown,
    StartAnswer::Started,
    StartAnswer::Fenced,
    StartAnswer::OldRun,
    StartAnswer::TooLate,
    StartAnswer::NoRoom,
    StartAnswer::BadTicket,
    StartAnswer::Unhealthy,
    StartAnswer::OtherLife,
    StartAnswer::Malformed,
    StartAnswer::NoText,
];

/// Number of an answer to an order to start in a message.
pub fn encode_start_answer(answer: StartAnswer) -> u32 {
    let position = START_ANSWERS.iter().position(|known| *known == answer);
    // The first one leaves the order in doubt.
    position.unwrap_or_default() as u32
}

/// The answer with a number; a number that is not known leaves the order in doubt.
pub fn decode_start_answer(number: u32) -> StartAnswer {
    let answer = START_ANSWERS.get(number as usize).copied();
    answer.unwrap_or(StartAnswer::Unknown)
}
