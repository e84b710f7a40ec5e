//! Recording and replay of placement decisions.
//!
//! `placement` reads no clock and performs no I/O, so the calls on a group, with
//! their timestamps, suffice to reproduce an incident. [`TracedGroup`] wraps a
//! group and passes every state-changing call with its effect to a [`Recorder`];
//! [`replay()`] applies the calls to new groups and compares the effects.
//!
//! - Each line of a trace is a JSON object, [`Line`]. Lines of several groups
//!   may be interleaved.
//! - Recording never blocks a decision: lines go through a bounded channel to a
//!   writer thread and are dropped if the channel is full. Sequence numbers reveal
//!   dropped lines, and the replay of the affected group stops at the first one.
//! - A trace may contain [`Expectation`]s, which makes it a regression test: they
//!   are checked against the decisions of the replayed groups.

mod call;
pub mod events;
mod outcome;
mod recorder;
mod replay;
mod traced;

pub use call::{Call, Effect, Entry, Line};
pub use outcome::Expectation;
pub use recorder::{MAX_FILE_BYTES, Recorder, RecorderConfig};
pub use replay::{Divergence, Replay, replay};
pub use traced::TracedGroup;
