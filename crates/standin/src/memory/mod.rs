//! In-memory implementation of the platform on tokio's time, with fault injection.
//!
//! Every connection belongs to the zone of the connecting host, which determines
//! the latencies and partitions that apply to it. The stand-in process serves the
//! same implementation over HTTP.

mod clock;
mod detach;
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
