//! Tests of the decisions of a group.

mod gangs;
mod harness;
mod learning;
mod mechanisms;
mod packing;
mod random_operations;
