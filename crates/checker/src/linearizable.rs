//! Linearizability checks of release acceptance and of idempotency key claims.
//!
//! Both are objects in the store that many hosts modify concurrently. A history
//! of [`Operation`]s, each with a call time and a response time, is linearizable
//! if every operation can be assigned an instant between the two at which it took
//! effect, such that all responses match the sequential specification. An
//! operation whose response was lost has no end: it may take effect at any time
//! after its call, or never.

use todc_utils::linearizability::history::{Action, History};
use todc_utils::{Specification, WGLChecker};

/// An operation on a shared object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation<O> {
    /// Time of the call, in milliseconds.
    pub called_ms: u64,
    /// Time of the response, in milliseconds; `None` if it was lost.
    pub responded_ms: Option<u64>,
    /// The request together with its response.
    pub content: O,
}

/// An operation on the sequence of releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOperation {
    /// A note was submitted on a base version and accepted as the next one.
    Accepted {
        /// The version on which the note is based.
        base: u64,
    },
    /// A note was submitted on a base version that was no longer the latest.
    Refused {
        /// The version on which the note is based.
        base: u64,
    },
    /// A note was submitted, and the response was lost.
    Unanswered {
        /// The version on which the note is based.
        base: u64,
    },
    /// The latest version was read.
    Read {
        /// The version returned by the read.
        version: u64,
    },
}

/// An operation on the claim of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOperation {
    /// An attempt claimed the key successfully.
    Won {
        /// The claiming attempt.
        attempt_id: u64,
    },
    /// The key was already claimed.
    Lost {
        /// The attempt reported as the holder of the claim.
        holder: u64,
    },
    /// An attempt tried to claim the key, and the response was lost.
    Unanswered {
        /// The claiming attempt.
        attempt_id: u64,
    },
}

/// Whether the history of the release sequence is linearizable.
pub fn are_releases_linearizable(operations: &[Operation<ReleaseOperation>]) -> bool {
    is_linearizable::<Releases>(operations)
}

/// Whether the history of a key's claim is linearizable: at most one attempt won, and all others
/// were given that attempt as the holder.
pub fn is_claim(operations: &[Operation<ClaimOperation>]) -> bool {
    is_linearizable::<Claim>(operations)
}

#[derive(Debug)]
struct Releases;

impl Specification for Releases {
    type State = u64;
    type Operation = ReleaseOperation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &ReleaseOperation, latest: &u64) -> (bool, u64) {
        match *operation {
            ReleaseOperation::Accepted { base } | ReleaseOperation::Unanswered { base }
                if base == *latest =>
            {
                (true, base + 1)
            }
            ReleaseOperation::Accepted { .. } => (false, *latest),
            // A submission based on an outdated version has no effect.
            ReleaseOperation::Unanswered { .. } => (true, *latest),
            ReleaseOperation::Refused { base } => (base != *latest, *latest),
            ReleaseOperation::Read { version } => (version == *latest, *latest),
        }
    }
}

#[derive(Debug)]
struct Claim;

impl Specification for Claim {
    type State = Option<u64>;
    type Operation = ClaimOperation;

    fn init() -> Option<u64> {
        None
    }

    fn apply(operation: &ClaimOperation, holder: &Option<u64>) -> (bool, Option<u64>) {
        match *operation {
            ClaimOperation::Won { attempt_id } => (holder.is_none(), holder.or(Some(attempt_id))),
            ClaimOperation::Lost { holder: reported } => (*holder == Some(reported), *holder),
            ClaimOperation::Unanswered { attempt_id } => (true, holder.or(Some(attempt_id))),
        }
    }
}

/// Call or response of an operation, ordered by time; calls sort before responses of equal time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HistoryPoint {
    at_ms: u64,
    is_response: bool,
    index: usize,
}

fn is_linearizable<S: Specification>(operations: &[Operation<S::Operation>]) -> bool {
    if operations.is_empty() {
        return true;
    }
    let mut points = Vec::with_capacity(operations.len() * 2);
    for (index, operation) in operations.iter().enumerate() {
        let called = (operation.called_ms, false);
        let responded = (operation.responded_ms.unwrap_or(u64::MAX), true);
        points.extend(
            [called, responded].map(|(at_ms, is_response)| HistoryPoint {
                at_ms,
                is_response,
                index,
            }),
        );
    }
    points.sort();
    let actions = points.iter().map(|point| {
        let content = operations[point.index].content.clone();
        let action = if point.is_response {
            Action::Response(content)
        } else {
            Action::Call(content)
        };
        (point.index, action)
    });
    let history = History::from_actions(actions.collect());
    WGLChecker::<S>::is_linearizable(history)
}
