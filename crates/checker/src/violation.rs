//! Violations of the guarantees given to users.

use derive_more::Display;
use kernel::ids;
use kernel::work;

/// A violation of a guarantee found in a history. Times are in milliseconds of the history's clock.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A task was started while another run of it was still active.
    #[display(
        "at {at_ms} ms {second} started on {second_worker} while {first} ran on {first_worker}"
    )]
    Overlap {
        /// Time of the violation.
        at_ms: u64,
        /// The run that was still active.
        first: ids::TaskAttempt,
        /// Worker of the active run.
        first_worker: ids::WorkerId,
        /// The run that was started.
        second: ids::TaskAttempt,
        /// Worker of the started run.
        second_worker: ids::WorkerId,
    },
    /// The total demand of the tasks on a worker exceeded its capacity.
    #[display(
        "at {at_ms} ms {worker} held {} of {}",
        format_resources(*assigned),
        format_resources(*capacity)
    )]
    OverCapacity {
        /// Time of the violation.
        at_ms: u64,
        /// The worker.
        worker: ids::WorkerId,
        /// Total demand of its tasks.
        assigned: work::Resources,
        /// Capacity of the worker.
        capacity: work::Resources,
    },
    /// A task was started on a worker that was never added or has been lost.
    #[display("at {at_ms} ms {run} started on {worker}, which does not exist")]
    NoSuchWorker {
        /// Time of the violation.
        at_ms: u64,
        /// The worker.
        worker: ids::WorkerId,
        /// The run that was started.
        run: ids::TaskAttempt,
    },
    /// A worker accepted an order of a lower epoch than one it had accepted before.
    #[display("at {at_ms} ms {worker} started {run} under epoch {epoch} after epoch {seen}")]
    StaleEpochObeyed {
        /// Time of the violation.
        at_ms: u64,
        /// The worker.
        worker: ids::WorkerId,
        /// The run that was started.
        run: ids::TaskAttempt,
        /// Epoch of the start order.
        epoch: ids::Epoch,
        /// Highest epoch accepted before.
        seen: ids::Epoch,
    },
    /// Two runs of a task completed.
    #[display("at {at_ms} ms {run} completed, but an earlier run had already completed")]
    CompletedTwice {
        /// Time of the violation.
        at_ms: u64,
        /// The later run.
        run: ids::TaskAttempt,
    },
    /// An upstream instance had more open calls than slots.
    #[display("at {at_ms} ms {task} had {open_calls} calls open on {slots} slots")]
    OverSlots {
        /// Time of the violation.
        at_ms: u64,
        /// The instance.
        task: ids::TaskId,
        /// Number of open calls.
        open_calls: u32,
        /// Number of slots.
        slots: u32,
    },
    /// A request was answered "not run", but ran before or after the answer.
    #[display(
        "request {request} was answered \"not run\" at {answered_ms} ms but ran at {ran_ms} ms"
    )]
    NotRunButRan {
        /// Number of the request.
        request: u64,
        /// Time of the answer.
        answered_ms: u64,
        /// Time of the first run.
        ran_ms: u64,
    },
    /// A non-idempotent request ran more than once.
    #[display("key {key} ran at {first_ms} ms and again at {second_ms} ms")]
    RanTwice {
        /// The idempotency key of the request.
        key: ids::IdempotencyKey,
        /// Time of the first run.
        first_ms: u64,
        /// Time of the repeated run.
        second_ms: u64,
    },
    /// A caller received the answer to another request.
    #[display("request {request} got the answer to another request at {at_ms} ms")]
    CrossedAnswer {
        /// Number of the request.
        request: u64,
        /// Time of the violation.
        at_ms: u64,
    },
    /// A caller received a truncated answer as complete.
    #[display("request {request} got a cut answer at {at_ms} ms")]
    CutAnswer {
        /// Number of the request.
        request: u64,
        /// Time of the violation.
        at_ms: u64,
    },
    /// A request was answered more than once.
    #[display("request {request} was answered again at {at_ms} ms")]
    AnsweredTwice {
        /// Number of the request.
        request: u64,
        /// Time of the violation.
        at_ms: u64,
    },
    /// A request was never answered.
    #[display("request {request} of {sent_ms} ms was never answered")]
    Unanswered {
        /// Number of the request.
        request: u64,
        /// Time at which the request was sent.
        sent_ms: u64,
    },
    /// Accepted work neither completed nor is still known to the system.
    #[display("{work} was accepted at {accepted_ms} ms and is lost with {missing} of its tasks")]
    WorkLost {
        /// The work.
        work: ids::WorkId,
        /// Time of acceptance.
        accepted_ms: u64,
        /// Number of tasks that did not complete.
        missing: u32,
    },
    /// An upstream received a request too long after it started leaving.
    #[display(
        "{task} started leaving at {leaving_ms} ms and received request {request} at {at_ms} ms"
    )]
    WorkToLeaving {
        /// The instance.
        task: ids::TaskId,
        /// Time at which the instance started leaving.
        leaving_ms: u64,
        /// Number of the request.
        request: u64,
        /// Time at which it received the request.
        at_ms: u64,
    },
    /// A release number was accepted twice.
    #[display("release {version} was accepted at {first_ms} ms and again at {second_ms} ms")]
    ReleaseAcceptedTwice {
        /// The release.
        version: ids::ReleaseVersion,
        /// Time of the first acceptance.
        first_ms: u64,
        /// Time of the repeated acceptance.
        second_ms: u64,
    },
    /// A host reverted to an older release.
    #[display("at {at_ms} ms {host} put release {version} in force after {before}")]
    ReleaseReverted {
        /// Time of the violation.
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
        /// Time of acceptance.
        accepted_ms: u64,
        /// The host.
        host: ids::HostId,
        /// Time at which it came into force on the host; `None` if it never did.
        in_force_ms: Option<u64>,
    },
}

fn format_resources(resources: work::Resources) -> String {
    format!(
        "{} m of processors, {} MB and {} accelerators",
        resources.cpu_milli, resources.memory_mb, resources.accelerators
    )
}
