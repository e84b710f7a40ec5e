//! Small stand-ins for the platform.
//!
//! [`model`] holds pure state machines of the store and of the workers with
//! their minions. [`memory`] puts them behind the traits of the `platform`
//! crate, on tokio's time and with [`faults`] on demand, for tests with a paused
//! clock and many seeds. [`server`] serves the same fakes over HTTP, and
//! [`cli`] makes a process of that, of a balancer, of a cuttable proxy and of a
//! load generator, for tests with real processes. So a fault means the same in
//! all of them, and a promise proved in one can be tried in the other.
//!
//! The stand-in also defines what hickorychute assumes of a platform: workers
//! compare epochs, end tasks by themselves when their lease runs out, and come
//! back under a new id after they have lost their memory.

pub mod balancer;
pub mod cli;
pub mod config;
pub mod embedded;
pub mod events;
pub mod faults;
pub mod load;
pub mod memory;
pub mod model;
pub mod proxy;
pub mod server;

pub use config::{Config, Firm, Topology};
pub use embedded::Embedded;
pub use faults::{Fault, Faults, LostAnswers};
pub use memory::{MemoryPlatform, MemoryStore, MemoryUpstreams, MemoryWorkers};
pub use model::digest;
