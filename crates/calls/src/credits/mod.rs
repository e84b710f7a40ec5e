//! Slots that the owner of a group lends to entry hosts.
//!
//! A credit is the right to one open call on one instance until it expires. The
//! owner counts a lent slot as used until the credit is returned or has expired by
//! the slowest clock allowed; the entry host stops using it earlier, counting from
//! the time at which it asked. A takeover raises the epoch, and credits of older
//! epochs are dropped.

mod ledger;
mod pool;

use std::sync::Arc;

use kernel::ids;

use crate::dispatch;

pub use ledger::{CreditConfig, CreditLedger};
pub use pool::CreditPool;

/// The right to one open call on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credit {
    /// The credit's number, unique at its ledger.
    pub id: dispatch::CallId,
    /// The instance.
    pub instance: ids::TaskAttempt,
    /// Where the instance is reached, as `IP:PORT`.
    pub address: Arc<str>,
}

/// What an entry host asks of the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditAsk {
    /// Raised by the host with every request; the grant repeats it.
    pub sequence: u64,
    /// Credits that the host would use now, those that it holds included.
    pub wanted: u32,
    /// Credits that the host gives back.
    pub returned: Vec<dispatch::CallId>,
}

/// What the owner of a group lends to an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditGrant {
    /// The sequence number of the request.
    pub sequence: u64,
    /// The owner's epoch.
    pub epoch: ids::Epoch,
    /// All credits that the host holds from now on.
    pub credits: Vec<Credit>,
    /// How long they last, counted from the time at which the host asked.
    pub expires_in_ms: u64,
    /// The host's fair part; what it holds above that it gives back when idle.
    pub target: u32,
}
