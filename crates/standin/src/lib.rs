//! Test doubles of the platform.
//!
//! [`model`] holds pure state machines of the store and of the workers with
//! their minions. [`memory`] implements the traits of the `platform` crate on
//! top of them, using tokio's clock and injected [`faults`], for tests with a
//! paused clock and many seeds. [`server`] serves the same implementation over
//! HTTP, and [`cli`] provides processes for it, for a load balancer, for a proxy
//! that can drop or stall connections and for a load generator. A fault
//! therefore has the same semantics in simulations and in tests with real
//! processes, and a guarantee checked in one can be checked in the other.
//!
//! The stand-in also defines the platform behaviour that hickorychute relies
//! on: workers compare epochs, end tasks on their own when the task lease
//! expires, and rejoin under a new id after losing their state.

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
mod recent;
pub mod server;

pub use config::{Config, Firm, Topology};
pub use embedded::Embedded;
pub use faults::{Fault, Faults, LostAnswers};
pub use memory::{MemoryPlatform, MemoryStore, MemoryUpstreams, MemoryWorkers};
pub use model::digest;
pub use recent::RecentHistory;
