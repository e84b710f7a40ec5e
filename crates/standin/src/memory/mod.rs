//! The platform in memory, on tokio's time and with faults on demand.
//!
//! Every connection is made for a host's zone, so that cuts and latencies
//! apply by where the caller stands. The stand-in process serves the same
//! fakes over HTTP.

mod clock;
mod network;
mod platform;
mod store;
mod upstreams;
mod workers;

pub use clock::Clock;
pub use network::{LinkBytes, Network};
pub use platform::{Counters, MemoryPlatform};
pub use store::MemoryStore;
pub use upstreams::MemoryUpstreams;
pub use workers::MemoryWorkers;
