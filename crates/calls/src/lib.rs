//! Admission, routing, slot allocation, deadlines and retries for calls to upstreams.
//!
//! An idempotent call goes from its caller to an entry host, from there to the
//! owner of a group of racks, and from there to an upstream instance (a minion).
//! Only the owner allocates the slots of its instances, so the limits of an instance
//! hold across all entry hosts without coordination between them. The types by hop:
//!
//! - entry host: [`HostLimits`] and [`TeamRates`] bound the admitted load, [`Router`]
//!   selects a group, [`AttemptTable`] matches responses to attempts, and
//!   [`RetryPolicy`] decides whether a failed attempt may be retried;
//! - owner: [`Dispatcher`] allocates slots and queues the calls that wait for one, and
//!   [`LeavingSet`] records the instances that get no new calls;
//! - all hops: [`Deadline`] carries the remaining time.
//!
//! [`CreditLedger`] and [`CreditPool`] implement an alternative in which owners grant
//! slots to entry hosts in advance; `docs/design/calls.md` compares the two.
//!
//! The crate performs no I/O, spawns no tasks and takes no locks. Methods receive the
//! current time in milliseconds, and random choices are seeded, so a recorded trace
//! replays to the same decisions. The driver executes the actions that are returned.

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
pub use credits::{Credit, CreditConfig, CreditGrant, CreditLedger, CreditPool, CreditRequest};
pub use deadline::{Deadline, NotStarted, Started, hop_reserve_ms};
pub use dispatch::{
    Admission, CallId, CallTicket, Dispatch, Dispatcher, DispatcherConfig, DispatcherLoad,
    QueueOrder, Refused,
};
pub use leaving::{LeavingSet, LeavingSource};
pub use limits::{ConnectionLimits, HostLimits, HostLimitsConfig, TeamRates, TeamRatesConfig};
pub use retry::{RetryConfig, RetryDecision, RetryPolicy, RetryRequest};
pub use router::{Distance, GroupLoad, LinkBudget, Route, RouteRequest, Router, RouterConfig};
