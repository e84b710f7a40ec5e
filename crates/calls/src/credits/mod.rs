//! Credits: leases on slots that the owner of a group grants to entry hosts.
//!
//! A credit permits one open call on one instance until it expires. The owner counts the
//! slot as in use until the credit is returned or has expired on the slowest permitted
//! clock. The entry host stops using the credit earlier, since it counts the lifetime
//! from the time of its request. A takeover raises the epoch, and credits of older epochs
//! are dropped.

mod ledger;
mod pool;

use std::sync::Arc;

use kernel::ids;

use crate::dispatch;

pub use ledger::{CreditConfig, CreditLedger};
pub use pool::CreditPool;

/// Permission for one open call on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credit {
    /// ID of the credit, unique within its ledger.
    pub id: dispatch::CallId,
    /// The instance that the call is sent to.
    pub instance: ids::TaskAttempt,
    /// Network address of the instance, as `IP:PORT`.
    pub address: Arc<str>,
}

/// Request for credits from an entry host to the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditRequest {
    /// Incremented by the host for every request and copied into the grant.
    pub sequence: u64,
    /// Number of credits that the host could use now, including those that it holds.
    pub wanted: u32,
    /// IDs of the credits that the host returns.
    pub returned: Vec<dispatch::CallId>,
}

/// Response to a [`CreditRequest`]: the credits that the host holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditGrant {
    /// Sequence number of the request.
    pub sequence: u64,
    /// The owner's epoch.
    pub epoch: ids::Epoch,
    /// The complete set of credits that the host holds from now on.
    pub credits: Vec<Credit>,
    /// Lifetime of the credits, counted from the time at which the host sent its request.
    pub expires_in_ms: u64,
    /// Fair share of the host. It returns idle credits in excess of this number.
    pub fair_share: u32,
}
