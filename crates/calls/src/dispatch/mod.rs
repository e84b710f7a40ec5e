//! Slot allocation for the instances of one service in one group of racks.
//!
//! The owner of a group has one [`Dispatcher`] per service. It counts all open calls,
//! so that no instance exceeds its slots and connections, and keeps the calls for which
//! no slot is free in a bounded queue.

mod admission;
mod dispatcher;
mod queue;
mod slots;
mod team;

pub use admission::{Admission, CallId, CallTicket, Dispatch, Refused};
pub use dispatcher::{Dispatcher, DispatcherConfig, DispatcherLoad};
pub use queue::QueueOrder;
