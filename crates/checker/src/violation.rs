//! Broken promises.

use derive_more::Display;
use kernel::ids;
use kernel::work;

/// A promise that a history shows to be broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A task began to run while another run of it had not ended.
    #[display(
        "at {at_ms} ms {second} started on {second_worker} while {first} ran on {first_worker}"
    )]
    Overlap {
        /// When.
        at_ms: u64,
        /// The run that had not ended.
        first: ids::TaskAttempt,
        /// Where it ran.
        first_worker: ids::WorkerId,
        /// The run that began.
        second: ids::TaskAttempt,
        /// Where it began.
        second_worker: ids::WorkerId,
    },
    /// The tasks on a worker were together larger than the worker.
    #[display(
        "at {at_ms} ms {worker} held {} of {}",
        amount(*assigned),
        amount(*capacity)
    )]
    OverCapacity {
        /// When.
        at_ms: u64,
        /// The worker.
        worker: ids::WorkerId,
        /// What was assigned to its tasks.
        assigned: work::Resources,
        /// What it can hold.
        capacity: work::Resources,
    },
    /// A task began on a worker that the history does not have.
    #[display("at {at_ms} ms {run} started on {worker}, which is not there")]
    NoSuchWorker {
        /// When.
        at_ms: u64,
        /// The worker.
        worker: ids::WorkerId,
        /// The run.
        run: ids::TaskAttempt,
    },
    /// A worker obeyed an epoch lower than one it had obeyed before.
    #[display("at {at_ms} ms {worker} started {run} under epoch {epoch} after epoch {seen}")]
    StaleEpochObeyed {
        /// When.
        at_ms: u64,
        /// The worker.
        worker: ids::WorkerId,
        /// The run that began.
        run: ids::TaskAttempt,
        /// Its epoch.
        epoch: ids::Epoch,
        /// The higher epoch.
        seen: ids::Epoch,
    },
    /// A task ran to its own end twice.
    #[display("at {at_ms} ms {run} completed, and an earlier run had completed too")]
    CompletedTwice {
        /// When.
        at_ms: u64,
        /// The later run.
        run: ids::TaskAttempt,
    },
    /// An upstream instance had more calls open than slots.
    #[display("at {at_ms} ms {task} had {open_calls} calls open on {slots} slots")]
    OverSlots {
        /// When.
        at_ms: u64,
        /// The instance.
        task: ids::TaskId,
        /// Open calls.
        open_calls: u32,
        /// Slots.
        slots: u32,
    },
    /// A caller was told "not run", but the request ran.
    #[display(
        "request {request} was answered \"not run\" at {answered_ms} ms but ran at {ran_ms} ms"
    )]
    NotRunButRan {
        /// The request.
        request: u64,
        /// When the caller was told.
        answered_ms: u64,
        /// When it ran.
        ran_ms: u64,
    },
    /// A non-idempotent request ran more than once.
    #[display("key {key} ran at {first_ms} ms and again at {second_ms} ms")]
    RanTwice {
        /// The request's key.
        key: ids::IdempotencyKey,
        /// When it ran first.
        first_ms: u64,
        /// When it ran again.
        second_ms: u64,
    },
    /// A caller got the answer to another request.
    #[display("request {request} got the answer to another request at {at_ms} ms")]
    CrossedAnswer {
        /// The request.
        request: u64,
        /// When.
        at_ms: u64,
    },
    /// A caller got a part of an answer as if it were whole.
    #[display("request {request} got a cut answer at {at_ms} ms")]
    CutAnswer {
        /// The request.
        request: u64,
        /// When.
        at_ms: u64,
    },
    /// A request was answered more than once.
    #[display("request {request} was answered again at {at_ms} ms")]
    AnsweredTwice {
        /// The request.
        request: u64,
        /// When.
        at_ms: u64,
    },
    /// A request was never answered.
    #[display("request {request} of {sent_ms} ms was never answered")]
    Unanswered {
        /// The request.
        request: u64,
        /// When it was sent.
        sent_ms: u64,
    },
    /// Accepted work neither completed nor is known any more.
    #[display("{work} was accepted at {accepted_ms} ms and is lost with {missing} of its tasks")]
    WorkLost {
        /// The work.
        work: ids::WorkId,
        /// When it was accepted.
        accepted_ms: u64,
        /// Tasks that did not complete.
        missing: u32,
    },
    /// An upstream got new work long after it was told to leave.
    #[display(
        "{task} was told to leave at {leaving_ms} ms and got request {request} at {at_ms} ms"
    )]
    WorkToLeaving {
        /// The instance.
        task: ids::TaskId,
        /// When it was told to leave.
        leaving_ms: u64,
        /// The request.
        request: u64,
        /// When it got the request.
        at_ms: u64,
    },
    /// A release number was accepted twice.
    #[display("release {version} was accepted at {first_ms} ms and again at {second_ms} ms")]
    ReleaseAcceptedTwice {
        /// The release.
        version: ids::ReleaseVersion,
        /// When first.
        first_ms: u64,
        /// When again.
        second_ms: u64,
    },
    /// A host went back to an older release.
    #[display("at {at_ms} ms {host} put release {version} in force after {before}")]
    ReleaseReverted {
        /// When.
        at_ms: u64,
        /// The host.
        host: ids::HostId,
        /// The older release.
        version: ids::ReleaseVersion,
        /// The release that had been in force.
        before: ids::ReleaseVersion,
    },
    /// A release was not in force on a reachable host in time.
    #[display(
        "release {version}, accepted at {accepted_ms} ms, was not in force on {host} in time"
    )]
    ReleaseLate {
        /// The release.
        version: ids::ReleaseVersion,
        /// When it was accepted.
        accepted_ms: u64,
        /// The host.
        host: ids::HostId,
        /// When it came into force there, if it did.
        in_force_ms: Option<u64>,
    },
}

fn amount(resources: work::Resources) -> String {
    format!(
        "{} m of processors, {} MB and {} accelerators",
        resources.cpu_milli, resources.memory_mb, resources.accelerators
    )
}
