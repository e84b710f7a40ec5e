//! What a dispatcher is asked for and what it answers.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use kernel::errors;
use kernel::ids;
use kernel::work;

/// The number of a call, unique at its dispatcher.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct CallId(pub u64);

/// A call that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTicket {
    /// The call's number.
    pub id: CallId,
    /// The team whose share the call uses.
    pub team: ids::TeamId,
    /// Which lane of the queue the call waits in.
    pub urgency: work::Urgency,
    /// When the answer must have left the owner, on the dispatcher's clock.
    pub deadline_at_ms: u64,
    /// Size of the request's body, held in memory while the call waits.
    pub body_bytes: u64,
}

/// A slot allotted to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The call.
    pub id: CallId,
    /// The instance on which the slot was taken.
    pub instance: ids::TaskAttempt,
    /// Where the instance is reached, as `IP:PORT`.
    pub address: Arc<str>,
}

/// A call that was not and never will be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The call.
    pub id: CallId,
    /// Why; every kind used here means that the call did not run.
    pub kind: errors::ErrorKind,
    /// One sentence for the caller.
    pub detail: String,
}

/// The answer to a call that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call has a slot and goes to the instance now.
    Dispatch(Dispatch),
    /// The call waits; a later [`Dispatch`] or [`Refused`] carries its number.
    Queued,
    /// The call does not run.
    Refused(Refused),
}
