//! Tests of the decisions of a group.

mod gangs;
mod learning;
mod mechanisms;
mod packing;
mod sequences;
mod world;
