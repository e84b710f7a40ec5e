//! Deterministic state machines of the platform: no I/O, with the time passed in by the caller.

mod answer;
mod counters;
mod digest;
mod fleet;
mod host_list;
mod minion;
mod rate;
mod run;
mod store;
mod watch_log;
mod worker;

pub use counters::StoreCounters;
pub use digest::digest;
pub use fleet::FleetModel;
pub use minion::{CallRefusal, Echo, MinionAnswer, OpenCall};
pub use store::StoreModel;
