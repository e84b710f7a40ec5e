//! Allots the slots of one service's instances in one group of racks.
//!
//! A [`Dispatcher`] belongs to the owner of a group and serves one service. It
//! counts every open call, so that no instance ever gets more than its slots and
//! connections allow, and keeps calls that find no free slot in a bounded queue.

mod dispatcher;
mod queue;
mod slots;
mod team;
mod ticket;

pub use dispatcher::{Dispatcher, DispatcherConfig, DispatcherLoad};
pub use queue::QueueOrder;
pub use ticket::{Admission, CallId, CallTicket, Dispatch, Refused};
