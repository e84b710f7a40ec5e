//! Decisions about calls to upstreams, free of I/O and of clocks.
//!
//! An idempotent call goes from its caller to an entry host, from there to the
//! owner of a group of racks, and from there to an upstream instance (a minion).
//! The owner alone hands out the slots of its instances, so their limits hold for
//! all entry hosts together without any agreement between those hosts. The crate
//! is split along that path:
//!
//! - at the entry host: [`HostLimits`] and [`TeamRates`] bound what is taken in,
//!   [`Router`] picks a group, [`AttemptTable`] matches answers, [`RetryPolicy`] says
//!   whether a failed attempt may be repeated;
//! - at the owner: [`Dispatcher`] allots slots and holds the queue for them, and
//!   [`LeavingSet`] remembers which instances get nothing new;
//! - over all hops: [`Deadline`] carries the time left.
//!
//! [`CreditLedger`] and [`CreditPool`] are the other way to keep the limits, lending
//! slots to entry hosts; `docs/design/calls.md` weighs the two.
//!
//! Every method takes the current time in milliseconds and every random choice
//! comes from a seed, so a recorded trace replays to the same decisions. Nothing
//! here spawns, sleeps or locks: a driver calls in, and acts on what is returned.

mod attempts;
mod credits;
mod deadline;
mod dispatch;
mod leaving;
mod limits;
pub mod load_model;
mod retry;
mod router;

pub use attempts::{AttemptCounts, AttemptId, AttemptTable};
pub use credits::{Credit, CreditAsk, CreditConfig, CreditGrant, CreditLedger, CreditPool};
pub use deadline::{Deadline, NotStarted, Started, hop_reserve_ms};
pub use dispatch::{
    Admission, CallId, CallTicket, Dispatch, Dispatcher, DispatcherConfig, DispatcherLoad,
    QueueOrder, Refused,
};
pub use leaving::{LeavingSet, LeavingSource};
pub use limits::{ConnectionLimits, HostLimits, HostLimitsConfig, TeamRates, TeamRatesConfig};
pub use retry::{RetryConfig, RetryDecision, RetryPolicy, RetryRequest};
pub use router::{Distance, GroupLoad, LinkBudget, Route, RouteRequest, Router, RouterConfig};
