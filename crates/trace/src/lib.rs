//! Recording and replay of placement decisions.
//!
//! `placement` reads no clock and performs no I/O, so the calls that a group
//! took, with their times, are all that is needed to see an incident again. A
//! [`TracedGroup`] stands in a group's place and hands every call with its
//! effect to a [`Recorder`]; [`replay()`] feeds the calls to a fresh group and
//! compares the effects.
//!
//! - A line is a JSON object: [`Line`]. Lines of several groups may be mixed.
//! - Recording never delays a decision: lines go through a bounded channel to a
//!   thread of the recorder, and a full channel drops them. Numbers in the
//!   lines show what is missing, and a replay stops comparing there.
//! - A trace may end with stated outcomes ([`Expectation`]), which makes it a
//!   test: they are checked on what the replayed group decides.

mod call;
pub mod events;
mod outcome;
mod recorder;
mod replay;
mod traced;

pub use call::{Call, Effect, Entry, Line};
pub use outcome::Expectation;
pub use recorder::{FILE_LIMIT_BYTES, Recorder, RecorderConfig};
pub use replay::{Difference, Replay, replay};
pub use traced::TracedGroup;
