//! The entry host: its roles and the daemon that runs them.
//!
//! Decision logic lives in `placement`, `calls`, `journal`, `ownership` and `release`; this
//! crate runs it in a process. A [`Node`] is generic over three traits (the platform, the
//! transport between hosts and the history sink), so that the same code runs in the daemon
//! and, as many hosts in one process with a paused clock, in simulation tests.
//!
//! - [`Node`]: the life cycle of a host;
//! - [`entry`]: the HTTP port for callers and operators;
//! - `group`: the owner of a rack group;
//! - `shard`: the owner of a journal shard;
//! - [`daemon`]: the programs `hickoryd serve` and `hickoryd dev`;
//! - [`settings`]: flags and environment variables.

mod claims;
mod clock;
pub mod config;
pub mod daemon;
mod directory;
pub mod entry;
mod events;
pub mod forward;
mod gossip;
mod group;
mod journals;
pub mod local;
mod node;
mod operations;
mod operators;
mod peer;
mod releases;
pub mod settings;
mod shard;
pub mod shared;
pub mod telemetry;
mod tenure;
pub mod topology;

pub use node::Node;
pub use operations::Operations;
pub use peer::PeerHandler;
