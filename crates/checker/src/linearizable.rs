//! Linearizability of release acceptance and of claims.
//!
//! Both are objects of the store that many hosts change at once. A history of
//! [`Operation`]s, each with the times of its call and its response, is
//! linearizable if each operation can be given one instant between the two at
//! which it took effect, such that all responses are those of the sequential
//! object. An operation whose answer was lost has no end: it may take effect
//! at any time after its call, or never.

use todc_utils::linearizability::history::{Action, History};
use todc_utils::{Specification, WGLChecker};

/// An operation on a shared object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation<O> {
    /// When it was called, in milliseconds.
    pub called_ms: u64,
    /// When its response came, in milliseconds; `None` if it was lost.
    pub responded_ms: Option<u64>,
    /// What was asked and answered.
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
    /// A note was submitted, and the answer was lost.
    Unanswered {
        /// The version on which the note is based.
        base: u64,
    },
    /// The latest version was read.
    Read {
        /// What was read.
        version: u64,
    },
}

/// An operation on the claim of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOperation {
    /// An attempt claimed the key.
    Won {
        /// The attempt.
        attempt_id: u64,
    },
    /// The key was claimed already.
    Lost {
        /// The attempt that holds the claim.
        holder: u64,
    },
    /// An attempt tried to claim the key, and the answer was lost.
    Unanswered {
        /// The attempt.
        attempt_id: u64,
    },
}

/// Whether releases were accepted one after another.
pub fn are_releases(operations: &[Operation<ReleaseOperation>]) -> bool {
    is_linearizable::<Releases>(operations)
}

/// Whether at most one attempt claimed the key, and all others were told of it.
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
            // A submission that comes too late changes nothing.
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
            ClaimOperation::Lost { holder: told } => (*holder == Some(told), *holder),
            ClaimOperation::Unanswered { attempt_id } => (true, holder.or(Some(attempt_id))),
        }
    }
}

/// One end of an operation, ordered by time; calls come before responses of the same time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Edge {
    at_ms: u64,
    is_response: bool,
    index: usize,
}

fn is_linearizable<S: Specification>(operations: &[Operation<S::Operation>]) -> bool {
    if operations.is_empty() {
        return true;
    }
    let mut edges = Vec::with_capacity(operations.len() * 2);
    for (index, operation) in operations.iter().enumerate() {
        let called = (operation.called_ms, false);
        let responded = (operation.responded_ms.unwrap_or(u64::MAX), true);
        edges.extend([called, responded].map(|(at_ms, is_response)| Edge {
            at_ms,
            is_response,
            index,
        }));
    }
    edges.sort();
    let actions = edges.iter().map(|edge| {
        let content = operations[edge.index].content.clone();
        let action = if edge.is_response {
            Action::Response(content)
        } else {
            Action::Call(content)
        };
        (edge.index, action)
    });
    let history = History::from_actions(actions.collect());
    WGLChecker::<S>::is_linearizable(history)
}
