//! Requests to a dispatcher and their results.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use kernel::errors;
use kernel::ids;
use kernel::work;

/// ID of a call, unique within its dispatcher.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct CallId(pub u64);

/// A request to allocate a slot to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTicket {
    /// ID of the call, chosen by the driver.
    pub id: CallId,
    /// The team to which the slot time is charged.
    pub team: ids::TeamId,
    /// Determines the priority lane in which the call waits.
    pub urgency: work::Urgency,
    /// Time by which the response must leave the owner, on the dispatcher's clock.
    pub deadline_at_ms: u64,
    /// Size of the request body, which stays in memory while the call waits.
    pub body_bytes: u64,
}

/// A slot allocated to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// ID of the call.
    pub id: CallId,
    /// The instance that the call is sent to.
    pub instance: ids::TaskAttempt,
    /// Network address of the instance, as `IP:PORT`.
    pub address: Arc<str>,
}

/// A call that was refused before it was dispatched. It does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// ID of the call.
    pub id: CallId,
    /// The reason. All kinds used here have the outcome "not run".
    pub kind: errors::ErrorKind,
    /// Message for the caller.
    pub detail: String,
}

/// Result of a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot was allocated; the call is to be sent now.
    Dispatch(Dispatch),
    /// The call waits; a later [`Dispatch`] or [`Refused`] with its ID follows.
    Queued,
    /// The call was refused and does not run.
    Refused(Refused),
}
