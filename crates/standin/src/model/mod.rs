//! Pure models of the platform: no I/O, the time passed in.

mod answer;
mod digest;
mod fleet;
mod host_list;
mod minion;
mod rate;
mod run;
mod store;
mod worker;

pub use digest::digest;
pub use fleet::FleetModel;
pub use minion::{CallRefusal, Echo, MinionAnswer, OpenCall};
pub use store::{StoreCounters, StoreModel};
